package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/api/operatorapi"
	"waxwingwall/core/config/ini"
)

// pollInterval is the time between two queries of a router's state.
const pollInterval = 100 * time.Millisecond

// bearer is an operator's key. It implements operatorapi.SecuritySource.
type bearer string

// Bearer implements operatorapi.SecuritySource.
func (b bearer) Bearer(context.Context, operatorapi.OperationName) (operatorapi.Bearer, error) {
	return operatorapi.Bearer{
		Token: string(b),
	}, nil
}

// operatorKey reads the operator's key from its file.
func (a *app) operatorKey() (bearer, error) {
	if a.KeyFile == "" {
		return "", usagef("no --key-file given")
	}
	text, err := os.ReadFile(a.KeyFile)
	if err != nil {
		return "", &usageError{
			err: trace.ConvertSystemError(err),
		}
	}
	return bearer(strings.TrimSpace(string(text))), nil
}

// tlsConfig loads the certificates for a router's operator API.
func (a *app) tlsConfig() (*tls.Config, error) {
	c := &tls.Config{
		MinVersion: tls.VersionTLS13,
	}
	if a.Authority != "" {
		pem, err := os.ReadFile(a.Authority)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s: no certificate", a.Authority)
		}
	}
	if a.Certificate != "" {
		cert, err := tls.LoadX509KeyPair(a.Certificate, a.Key)
		if err != nil {
			return nil, err
		}
		c.Certificates = []tls.Certificate{cert}
	}
	return c, nil
}

// withRouter calls do with a client of the router's operator API.
func (a *app) withRouter(do func(context.Context, *operatorapi.Client) error) error {
	if a.Router == "" {
		return usagef("no --router given")
	}
	base, err := ini.BaseURL(a.Router)
	if err != nil {
		return usagef("--router: %v", err)
	}
	key, err := a.operatorKey()
	if err != nil {
		return err
	}
	tc, err := a.tlsConfig()
	if err != nil {
		return &usageError{
			err: err,
		}
	}
	transport := &http.Transport{
		TLSClientConfig: tc,
	}
	defer transport.CloseIdleConnections()
	c, err := operatorapi.NewClient(base, key, operatorapi.WithClient(&http.Client{
		Transport: transport,
	}))
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	return routerError(do(ctx, c))
}

// routerError converts an error of a call to a router to one with a readable
// message.
func routerError(err error) error {
	var problem *operatorapi.ProblemStatusCode
	if errors.As(err, &problem) {
		if problem.StatusCode >= http.StatusInternalServerError {
			return trace.Wrap(errUnavailable, "%s: %s", problem.Response.Code, problem.Response.Message)
		}
		return fmt.Errorf("refused: %s: %s", problem.Response.Code, problem.Response.Message)
	}
	var urlErr *url.Error
	var netErr net.Error
	if errors.As(err, &urlErr) || errors.As(err, &netErr) {
		return trace.Wrap(errUnavailable, "%v", err)
	}
	return err
}

// routerState is the part of a state dump that commands use.
type routerState struct {
	Config struct {
		Environment string `json:"environment"`
		Head        struct {
			Version int64 `json:"version"`
		} `json:"head"`
	} `json:"config"`
	Members struct {
		Self struct {
			Incarnation waxwingwall.Incarnation `json:"incarnation"`
		} `json:"self"`
	} `json:"members"`
}

func fetchState(ctx context.Context, c *operatorapi.Client) (routerState, error) {
	var s routerState
	raw, err := c.DumpState(ctx)
	if err != nil {
		return s, err
	}
	text, err := json.Marshal(raw)
	if err != nil {
		return s, trace.Wrap(err)
	}
	return s, trace.Wrap(json.Unmarshal(text, &s))
}

// waitForVersion waits until a version is active on the router.
func (a *app) waitForVersion(environment string, version int64, timeout time.Duration) error {
	return a.withRouter(func(ctx context.Context, c *operatorapi.Client) error {
		start := a.now()
		for {
			s, err := fetchState(ctx, c)
			if err != nil {
				return err
			}
			if s.Config.Environment != environment {
				return fmt.Errorf("the router at %s serves %s, not %s", a.Router, s.Config.Environment, environment)
			}
			elapsed := a.now().Sub(start).Round(time.Millisecond)
			if s.Config.Head.Version >= version {
				if a.JSON {
					return nil
				}
				_, err := fmt.Fprintf(a.out, "in force on %s after %v\n", s.Members.Self.Incarnation.VM, elapsed)
				return err
			}
			if elapsed > timeout {
				return trace.Wrap(errUnavailable, "%s still has version %d after %v",
					s.Members.Self.Incarnation.VM, s.Config.Head.Version, elapsed)
			}
			time.Sleep(pollInterval)
		}
	})
}

type vmDrain struct {
	Args struct {
		VM string `positional-arg-name:"VM" required:"yes"`
	} `positional-args:"yes"`
	app *app
}

// Execute implements flags.Commander. It drains the router only if it runs on
// the named VM.
func (c *vmDrain) Execute([]string) error {
	return c.app.withRouter(func(ctx context.Context, r *operatorapi.Client) error {
		s, err := fetchState(ctx, r)
		if err != nil {
			return err
		}
		if vm := s.Members.Self.Incarnation.VM; string(vm) != c.Args.VM {
			return fmt.Errorf("refused: the router at %s is %s, not %s", c.app.Router, vm, c.Args.VM)
		}
		if err := r.Drain(ctx); err != nil {
			return err
		}
		return c.app.printResult(s.Members.Self.Incarnation, "%s begins to drain", c.Args.VM)
	})
}

type endpointDrain struct {
	Args struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"yes"`
	} `positional-args:"yes"`
	app *app
}

// Execute implements flags.Commander.
func (c *endpointDrain) Execute([]string) error {
	return c.app.withRouter(func(ctx context.Context, r *operatorapi.Client) error {
		params := operatorapi.DrainEndpointParams{
			Endpoint: c.Args.Endpoint,
		}
		if err := r.DrainEndpoint(ctx, params); err != nil {
			return err
		}
		return c.app.printResult(c.Args.Endpoint, "%s gets nothing new until a router restarts; set leaving = true in the configuration to keep it so", c.Args.Endpoint)
	})
}

type dump struct {
	app *app
}

// Execute implements flags.Commander.
func (c *dump) Execute([]string) error {
	return c.app.withRouter(func(ctx context.Context, r *operatorapi.Client) error {
		raw, err := r.DumpState(ctx)
		if err != nil {
			return err
		}
		return c.app.printJSON(raw)
	})
}
