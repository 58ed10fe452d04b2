package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/io/quota"
)

// Timeouts of a client.
const (
	// dialTimeout limits the time to make a connection.
	dialTimeout = time.Second

	// callTimeout limits a call that the peer answers immediately.
	callTimeout = 2 * time.Second

	// nextTimeout limits a call that waits for output; it exceeds the peer's own
	// wait.
	nextTimeout = 4 * time.Second
)

// Client is the client of one peer. It implements waxwingwall.Owner.
type Client struct {
	addr netip.AddrPort
	tls  *tls.Config

	// receiving bounds the answers that are being received.
	receiving *quota.Quota

	// dialing is held while a connection is made, so that there is only one.
	dialing sync.Mutex

	// mu guards the fields below and is never held while waiting. conn is nil while there
	// is no connection, for good once closed is set. calls counts the calls in progress;
	// usedAt is when the last one began or ended.
	mu     sync.Mutex
	conn   *rpc.Client
	closed bool
	calls  int
	usedAt time.Time
}

// ErrBusy means that the peer has no room for the call beside those in progress. It has not
// begun it.
var ErrBusy = errors.New("no memory for the call")

// errClosed is the error of calls after the client was closed.
var errClosed = errors.New("peer client closed")

// New returns a client of the peer at addr and a function that closes its
// connection. The connection uses TLS unless tc is nil.
func New(addr netip.AddrPort, tc *tls.Config) (*Client, func()) {
	return newClient(addr, tc, quota.New(maxReceivedBytes))
}

// newClient is New with a quota for the answers that clients are receiving together.
func newClient(addr netip.AddrPort, tc *tls.Config, receiving *quota.Quota) (*Client, func()) {
	c := &Client{
		addr:      addr,
		tls:       tc,
		receiving: receiving,
	}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// closeUnused closes the connection if it has not been used since a time. The next call
// makes another one.
func (c *Client) closeUnused(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.calls == 0 && c.usedAt.Before(since) {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connected reports whether there is a connection.
func (c *Client) connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// begin and end count a call in progress.
func (c *Client) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.usedAt = time.Now()
}

func (c *Client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.usedAt = time.Now()
}

// connect returns the open connection, or makes one.
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	if conn, err := c.current(); conn != nil || err != nil {
		return conn, err
	}
	c.dialing.Lock()
	defer c.dialing.Unlock()
	if conn, err := c.current(); conn != nil || err != nil {
		return conn, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, trace.Wrap(err, "peer %v", c.addr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, trace.Wrap(errClosed)
	}
	c.conn = rpc.NewClientWithCodec(clientCodec{
		codec: newCodec(conn, c.receiving),
	})
	return c.conn, nil
}

// current returns the open connection; nil if there is none.
func (c *Client) current() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, trace.Wrap(errClosed)
	}
	return c.conn, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	if c.tls == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", c.addr.String())
	}
	d := tls.Dialer{
		Config: c.tls,
	}
	return d.DialContext(ctx, "tcp", c.addr.String())
}

// discard closes a failed connection and removes it, unless a newer one has
// replaced it.
func (c *Client) discard(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = conn.Close()
}

// call makes one call. If it times out, the connection is closed.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	c.begin()
	defer c.end()
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan *rpc.Call, 1)
	// Go waits while the buffers of the connection are full, and the context doesn't end it.
	go conn.Go(serviceName+"."+method, args, reply, done)
	select {
	case call := <-done:
		return c.callError(conn, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.discard(conn)
		}
		return trace.Wrap(ctx.Err(), "peer %v: %s", c.addr, method)
	}
}

// callError handles the error of a call. Any error that the peer itself did not
// return means that the connection is broken.
func (c *Client) callError(conn *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		c.discard(conn)
	}
	if remote.Error() == ErrBusy.Error() {
		err = ErrBusy
	}
	return trace.Wrap(err, "peer %v", c.addr)
}

// Messages sends messages. After an error they may be lost.
func (c *Client) Messages(ctx context.Context, batch []Envelope) error {
	return c.call(ctx, callTimeout, "Messages", batch, &Nothing{})
}

// Submit implements waxwingwall.Owner.
func (c *Client) Submit(ctx context.Context, r *waxwingwall.Request) (s waxwingwall.Submitted, err error) {
	err = c.call(ctx, callTimeout, "Submit", SubmitArgs{
		Request: *r,
	}, &s)
	return s, err
}

// Next implements waxwingwall.Owner.
func (c *Client) Next(ctx context.Context, id waxwingwall.Identity, offset int) (f waxwingwall.Frames, err error) {
	err = c.call(ctx, nextTimeout, "Next", NextArgs{
		Identity: id,
		Offset:   offset,
	}, &f)
	return f, err
}

// Leave implements waxwingwall.Owner.
func (c *Client) Leave(ctx context.Context, id waxwingwall.Identity) error {
	return c.call(ctx, callTimeout, "Leave", id, &Nothing{})
}

// Status implements waxwingwall.Owner.
func (c *Client) Status(ctx context.Context, id waxwingwall.Identity, spread int) (s waxwingwall.Status, err error) {
	err = c.call(ctx, callTimeout, "Status", StatusArgs{
		Identity: id,
		Spread:   spread,
	}, &s)
	return s, err
}
