// Package platform is the client of the services of the hosting platform, on whose
// VMs the routers run (package router): the transactional table, the object store
// and the list of VMs. Package sim simulates them. The users' platform is a
// different system; its protocols are in the module's package platform.
//
// A Client implements the three interfaces of the root package over the
// generated HTTP client. It never retries. A missing answer is reported as
// ErrUnavailable and left to the caller, because a write whose answer was lost
// may have been applied or may still be.
package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/api/platformapi"
	"waxwingwall/io/http1"
	"waxwingwall/io/quota"
)

const (
	defaultTimeout     = 2 * time.Second
	defaultConnections = 32
	idleTimeout        = 30 * time.Second
	dialTimeout        = time.Second

	// listPageRows is the number of rows per page.
	listPageRows = 1000
)

// Client is a client of the hosting platform. It is safe for concurrent use.
type Client struct {
	api       *platformapi.Client
	transport *http.Transport
	timeout   time.Duration

	// connections is set by options before transport is created.
	connections int
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout limits the duration of every call.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithConnections limits the number of open connections.
func WithConnections(n int) Option {
	return func(c *Client) { c.connections = n }
}

// New returns a Client of the platform at baseURL, and a function that closes
// its idle connections. It fails if the URL can't be parsed.
func New(baseURL string, opts ...Option) (*Client, func(), error) {
	c := &Client{
		timeout:     defaultTimeout,
		connections: defaultConnections,
	}
	for _, opt := range opts {
		opt(c)
	}
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	c.transport = &http.Transport{
		DialContext:         http1.Dial(dialer.DialContext).Checked(),
		MaxConnsPerHost:     c.connections,
		MaxIdleConnsPerHost: c.connections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	api, err := platformapi.NewClient(baseURL, platformapi.WithClient(&http.Client{
		Transport: &boundedTransport{
			RoundTripper: &http1.Transport{
				RoundTripper: c.transport,
			},
			reading: quota.New(maxReadBytes),
		},
	}))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	c.api = api
	return c, c.transport.CloseIdleConnections, nil
}

// unavailable wraps err as an unknown result. After a timeout it closes the
// idle connections: if one stopped responding, the others probably have as
// well, and each would cost another timeout.
func (c *Client) unavailable(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		c.transport.CloseIdleConnections()
	}
	return trace.Wrap(waxwingwall.ErrUnavailable, "%v", err)
}

// Transact implements waxwingwall.Table.
func (c *Client) Transact(ctx context.Context, writes []waxwingwall.Write) ([]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	t := &platformapi.Transaction{
		Writes: make([]platformapi.Write, 0, len(writes)),
	}
	for _, w := range writes {
		t.Writes = append(t.Writes, encodeWrite(w))
	}
	res, err := c.api.Transact(ctx, t)
	if err != nil {
		return nil, c.unavailable(err)
	}
	switch res := res.(type) {
	case *platformapi.Committed:
		if len(res.Versions) != len(writes) {
			return nil, trace.Wrap(waxwingwall.ErrUnavailable, "%d versions for %d writes", len(res.Versions), len(writes))
		}
		return res.Versions, nil
	case *platformapi.Conflict:
		return nil, trace.Wrap(waxwingwall.ErrConflict, "%s", conflictText(res))
	}
	return nil, trace.Wrap(waxwingwall.ErrUnavailable, "unexpected answer %T", res)
}

func conflictText(c *platformapi.Conflict) string {
	if len(c.Rows) == 0 {
		return "transaction"
	}
	return "row " + c.Rows[0].Key
}

func encodeWrite(w waxwingwall.Write) platformapi.Write {
	out := platformapi.Write{
		Key: w.Key,
	}
	if w.Expect != waxwingwall.AnyVersion {
		out.Expect = platformapi.NewOptInt64(w.Expect)
	}
	switch {
	case w.CheckOnly:
	case w.Delete:
		out.Delete = platformapi.NewOptBool(true)
	default:
		out.Value = platformapi.NewOptString(w.Value)
	}
	return out
}

// Get implements waxwingwall.Table.
func (c *Client) Get(ctx context.Context, key string) (waxwingwall.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	row, err := c.api.GetRow(ctx, platformapi.GetRowParams{
		Key: key,
	})
	if err != nil {
		return waxwingwall.Row{}, c.unavailable(err)
	}
	return waxwingwall.Row(*row), nil
}

// List implements waxwingwall.Table. Each page is a consistent read; the list
// as a whole is not.
func (c *Client) List(ctx context.Context, prefix string) ([]waxwingwall.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	params := platformapi.ListRowsParams{
		Prefix: prefix,
		Limit:  platformapi.NewOptInt(listPageRows),
	}
	var rows []waxwingwall.Row
	for {
		page, err := c.api.ListRows(ctx, params)
		if err != nil {
			return nil, c.unavailable(err)
		}
		for _, row := range page.Rows {
			rows = append(rows, waxwingwall.Row(row))
		}
		if len(page.Rows) < listPageRows {
			return rows, nil
		}
		params.After = platformapi.NewOptString(page.Rows[len(page.Rows)-1].Key)
	}
}

// ObjectStore returns a client of the hosting platform's object store.
func (c *Client) ObjectStore() waxwingwall.ObjectStore {
	return objectStore{c}
}

// objectStore implements waxwingwall.ObjectStore, whose Get conflicts with that
// of waxwingwall.Table.
type objectStore struct {
	*Client
}

// Put implements waxwingwall.ObjectStore.
func (o objectStore) Put(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	err := o.api.PutObject(ctx, &platformapi.Object{
		Key:  key,
		Data: data,
	})
	if err != nil {
		return o.unavailable(err)
	}
	return nil
}

// Get implements waxwingwall.ObjectStore. For an absent object it returns a
// trace.NotFound error.
func (o objectStore) Get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	obj, err := o.api.GetObject(ctx, platformapi.GetObjectParams{
		Key: key,
	})
	var failure *platformapi.FailureStatusCode
	if errors.As(err, &failure) && failure.StatusCode == http.StatusNotFound {
		return nil, trace.NotFound("object %q", key)
	}
	if err != nil {
		return nil, o.unavailable(err)
	}
	return obj.Data, nil
}

// ListMembers implements waxwingwall.Members.
func (c *Client) ListMembers(ctx context.Context) ([]waxwingwall.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	list, err := c.api.ListMembers(ctx)
	if err != nil {
		return nil, c.unavailable(err)
	}
	ms := make([]waxwingwall.Member, 0, len(list.Members))
	for _, m := range list.Members {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return nil, trace.Wrap(err, "address of VM %q", m.VM)
		}
		ms = append(ms, waxwingwall.Member{
			VM:      waxwingwall.VM(m.VM),
			Address: address,
			Domain:  waxwingwall.Domain(m.Domain),
			Leaving: m.State == platformapi.MemberStateLeaving,
		})
	}
	return ms, nil
}
