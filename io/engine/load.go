package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/io/endpoint"
)

// Load is an engine's load report. It lags behind the actual load.
type Load struct {
	// Running is the number of streams in the batch.
	Running int `json:"running"`

	// Waiting is the number of streams in the queue.
	Waiting int `json:"waiting"`

	// TokensPerSecond is the throughput of all streams together.
	TokensPerSecond float64 `json:"tokens_per_second"`

	// Models are the loaded models.
	Models []waxwingwall.Model `json:"models"`

	// Role is the engine's role.
	Role string `json:"role"`

	// At is the time of the report by the engine's clock.
	At time.Time `json:"at"`

	// Limit is the limit that the header of the report names, see
	// endpoint.HeaderLimit; empty if there is none.
	Limit string `json:"-"`
}

// Order is a control command for an engine.
type Order struct {
	// Kind is "load" or "unload" for a model, or "role".
	Kind string `json:"kind"`

	// Model is the model to load or unload.
	Model waxwingwall.Model `json:"model,omitempty"`

	// Role is the new role.
	Role string `json:"role,omitempty"`

	// Fence is the fencing number. Some engines ignore it.
	Fence int64 `json:"fence"`
}

// ErrFenced means that the engine has seen a higher fencing number.
var ErrFenced = errors.New("stale fencing number")

// Load fetches an engine's load report. A failure is an *endpoint.Error.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (Load, error) {
	var l Load
	head, err := c.call(ctx, address, http.MethodGet, "/v1/load", nil, &l)
	if err != nil {
		return Load{}, err
	}
	l.Limit = head.Get(endpoint.HeaderLimit)
	return l, nil
}

// Order sends a control command. It fails with ErrFenced if the engine rejects
// the fencing number; any other failure is an *endpoint.Error.
func (c *Client) Order(ctx context.Context, address netip.AddrPort, o Order) error {
	_, err := c.call(ctx, address, http.MethodPost, "/v1/orders", o, &Order{})
	return err
}

// call makes a control call and returns the header of the answer.
func (c *Client) call(ctx context.Context, address netip.AddrPort, method, path string, in, out any) (http.Header, error) {
	watchdog, ctx := endpoint.NewWatchdog(ctx, c.idleTimeout)
	defer watchdog.Stop()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	target := Call{
		Address: address,
	}
	res, err := c.pool.Transport(address, false).RoundTrip(req)
	if err != nil {
		return nil, c.attemptError(watchdog, target, 0, err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		watchdog.Accept()
	case http.StatusConflict:
		watchdog.Refuse()
		return nil, trace.Wrap(ErrFenced)
	default:
		return nil, statusError(watchdog, res)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(out); err != nil {
		return nil, c.attemptError(watchdog, target, 0, err)
	}
	return res.Header, nil
}
