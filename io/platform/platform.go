// Package platform speaks to the services of the hosting platform: the
// transactional table, the object store and the list of VMs.
//
// A Client implements the three interfaces of the root package over the
// generated HTTP client. It never retries: an answer that does not come is
// reported as ErrUnavailable, and whoever asked decides, because a write whose
// answer was lost may have taken effect or may take effect later.
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
)

const (
	defaultTimeout     = 2 * time.Second
	defaultConnections = 32
	idleTimeout        = 30 * time.Second
	dialTimeout        = time.Second

	// listPageRows is the number of rows asked for at once.
	listPageRows = 1000
)

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	api       *platformapi.Client
	transport *http.Transport
	timeout   time.Duration

	// Set by options before the client is built.
	connections int
}

// Option changes a Client.
type Option func(*Client)

// WithTimeout bounds every call.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithConnections bounds the open connections.
func WithConnections(n int) Option {
	return func(c *Client) { c.connections = n }
}

// New returns a Client of the platform at baseURL, and a function that closes
// its connections. It fails when the URL can't be parsed.
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
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     c.connections,
		MaxIdleConnsPerHost: c.connections,
		IdleConnTimeout:     idleTimeout,
	}
	api, err := platformapi.NewClient(baseURL, platformapi.WithClient(&http.Client{
		Transport: c.transport,
	}))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	c.api = api
	return c, c.transport.CloseIdleConnections, nil
}

// unavailable marks err as an answer that is not known. After a timeout the
// connections that lie open are closed: what made one of them silent has
// struck the others too, and each would cost a timeout of its own.
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

// List implements waxwingwall.Table. The rows of one page are read together;
// the pages are not.
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

// ObjectStore returns the object store of the same platform.
func (c *Client) ObjectStore() waxwingwall.ObjectStore {
	return objectStore{c}
}

// objectStore has the methods of the object store, whose names are those of the
// table.
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

// Get implements waxwingwall.ObjectStore. An absent object is a trace.NotFound.
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
