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

// Load is what an engine tells of itself. It is late.
type Load struct {
	// Running is the number of streams in its batch.
	Running int `json:"running"`

	// Waiting is the number of streams in its queue.
	Waiting int `json:"waiting"`

	// TokensPerSecond is what it generates, over all streams.
	TokensPerSecond float64 `json:"tokens_per_second"`

	// Models are the models it has loaded.
	Models []waxwingwall.Model `json:"models"`

	// Role is its role.
	Role string `json:"role"`

	// At is when this was so, by the engine's clock.
	At time.Time `json:"at"`
}

// Order is an order to an engine.
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

// ErrFenced means that an engine has seen a higher fencing number.
var ErrFenced = errors.New("fencing number is old")

// Load asks an engine for its load. A failure is an *endpoint.Error.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (Load, error) {
	var l Load
	if err := c.call(ctx, address, http.MethodGet, "/v1/load", nil, &l); err != nil {
		return Load{}, err
	}
	return l, nil
}

// Order gives an order. It fails with ErrFenced if the engine refuses the
// fencing number. Another failure is an *endpoint.Error.
func (c *Client) Order(ctx context.Context, address netip.AddrPort, o Order) error {
	return c.call(ctx, address, http.MethodPost, "/v1/orders", o, &Order{})
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, method, path string, in, out any) error {
	watchdog, ctx := endpoint.NewWatchdog(ctx, c.idleTimeout)
	defer watchdog.Stop()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, body)
	if err != nil {
		return trace.Wrap(err)
	}
	target := Call{
		Address: address,
	}
	res, err := c.pool.Transport(address, false).RoundTrip(req)
	if err != nil {
		return c.callError(watchdog, target, 0, err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return trace.Wrap(ErrFenced)
	default:
		return statusError(res)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(out); err != nil {
		return c.callError(watchdog, target, 0, err)
	}
	return nil
}
