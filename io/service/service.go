// Package service is the client of plain services: one call and one answer over
// HTTP.
//
// Some calls are not idempotent. For those the package guarantees two things.
// It sends a call at most once: net/http resends a request by itself when a
// reused connection turns out to be closed, so a non-idempotent call gets a new
// connection and a body that can't be read twice. And it reports Declined, which
// means "not run", only if no connection was established. Any complete response of the
// service, whatever its status, counts as an answer. Status 200 has JSON that marks its own
// end; a response of another status that only the end of its connection ends counts if the
// service still answers then.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/io/endpoint"
	"waxwingwall/io/quota"
)

const (
	defaultTimeout = 10 * time.Second

	// maxAnswerBytes limits the body of an answer, maxReadBytes those that are being read
	// together.
	maxAnswerBytes = 4 << 20
	maxReadBytes   = 32 << 20
)

// Client is the client of all plain services. It is safe for concurrent use.
type Client struct {
	pool    *endpoint.Pool
	timeout time.Duration

	// reading bounds the answers that are being read.
	reading *quota.Quota
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout limits the wait for an answer.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a Client and a function that closes its idle connections.
func New(opts ...Option) (*Client, func()) {
	pool, closePool := endpoint.NewPool()
	c := &Client{
		pool:    pool,
		timeout: defaultTimeout,
		reading: quota.New(maxReadBytes),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c, closePool
}

// Call is one attempt at a call.
type Call struct {
	// Address is where the service listens.
	Address netip.AddrPort

	// Attempt identifies the attempt; it is unique.
	Attempt string

	// Identity identifies the request.
	Identity waxwingwall.Identity

	// Idempotent permits reuse of an existing connection.
	Idempotent bool

	// NewConnection forbids reuse of an existing connection for an idempotent call
	// too.
	NewConnection bool

	// Body is the body passed to the service.
	Body string

	// OnHead is called with the header of the service's answer, whatever its status; nil
	// if nobody is interested.
	OnHead func(http.Header)

	// OnEnding is called once an answer has ended with its connection; nil if nobody is
	// interested.
	OnEnding func(waxwingwall.Ending)

	// Timeout overrides the Client's limit, if set.
	Timeout time.Duration
}

// Answer is the answer of a service.
type Answer struct {
	// Status is the HTTP status.
	Status int

	// Body is the body.
	Body string

	// RetryAfter is the text of the time that the service named as it was unavailable,
	// see endpoint.RetryAfter; empty if there is none.
	RetryAfter string
}

// request is the wire format of a call.
type request struct {
	Body string `json:"body"`
}

// response is the wire format of an answer.
type response struct {
	ID   string `json:"id"`
	Body string `json:"body"`
}

var (
	errMismatched = errors.New("the answer belongs to another attempt")
	errTooLong    = errors.New("the answer is too long")
	errGone       = errors.New("the service is gone at the end of its answer")
)

// Do makes the call. A failure is an *endpoint.Error.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	timeout := c.timeout
	if call.Timeout > 0 {
		timeout = call.Timeout
	}
	watchdog, ctx := endpoint.NewWatchdog(ctx, timeout)
	defer watchdog.Stop()
	end, ctx := c.pool.WatchEnd(ctx, call.Address)
	defer end.Close()
	req, err := newRequest(ctx, call)
	if err != nil {
		return Answer{}, newError(endpoint.Declined, err)
	}
	unshared := call.NewConnection || !call.Idempotent || c.pool.AnswersUnframed(call.Address)
	transport := c.pool.Transport(call.Address, unshared)
	res, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{}, c.newError(watchdog, call, err)
	}
	defer res.Body.Close()
	marked := end.Framed(res) || res.StatusCode == http.StatusOK
	if !marked {
		end.Accompany(ctx)
	}
	if res.StatusCode == http.StatusOK {
		watchdog.Accept()
	} else {
		watchdog.Refuse()
	}
	if call.OnHead != nil {
		call.OnHead(res.Header)
	}
	held, done := c.reading.Open()
	defer done()
	body, err := held.ReadAll(res.Body, maxAnswerBytes+1)
	if errors.Is(err, quota.ErrFull) {
		return Answer{}, newError(endpoint.Broken, err)
	}
	if err != nil {
		return Answer{}, c.newError(watchdog, call, err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, newError(endpoint.Broken, errTooLong)
	}
	if !marked && !confirmed(ctx, end, call) {
		return Answer{}, trace.Wrap(&endpoint.Error{
			Failure:    endpoint.Broken,
			Status:     res.StatusCode,
			RetryAfter: endpoint.RetryAfter(res),
			Err:        errGone,
		})
	}
	if res.StatusCode != http.StatusOK {
		return Answer{
			Status:     res.StatusCode,
			Body:       string(body),
			RetryAfter: endpoint.RetryAfter(res),
		}, nil
	}
	var r response
	if err := json.Unmarshal(body, &r); err != nil {
		watchdog.Refuse()
		return Answer{}, newError(endpoint.Broken, err)
	}
	if r.ID != call.Attempt {
		watchdog.Refuse()
		return Answer{}, newError(endpoint.Broken, errMismatched)
	}
	return Answer{
		Status: res.StatusCode,
		Body:   r.Body,
	}, nil
}

// confirmed reports whether the end of an answer's connection is that of the answer.
func confirmed(ctx context.Context, end *endpoint.End, call Call) bool {
	ok := end.Confirmed(ctx)
	if call.OnEnding != nil {
		call.OnEnding(end.Ending())
	}
	return ok
}

func (c *Client) newError(watchdog *endpoint.Watchdog, call Call, err error) error {
	f := watchdog.Failure(err)
	if f == endpoint.IdleTimeout {
		c.pool.Suspect(call.Address)
	}
	return newError(f, err)
}

func newError(f endpoint.Failure, err error) error {
	return trace.Wrap(&endpoint.Error{
		Failure: f,
		Err:     err,
	})
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	body, err := json.Marshal(request{
		Body: call.Body,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	url := "http://" + call.Address.String() + "/call"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !call.Idempotent {
		req.GetBody = nil
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(endpoint.HeaderAttempt, call.Attempt)
	req.Header.Set(endpoint.HeaderIdentity, endpoint.IdentityHeader(call.Identity))
	return req, nil
}
