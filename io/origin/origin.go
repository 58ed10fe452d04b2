// Package origin speaks HTTP/1.1 to endpoints and passes bytes through as they
// are.
//
// A Pool keeps connections. Do writes one request on one of them and returns
// the head of the answer that belongs to it; its body is read from the Answer,
// and Close gives the connection back if the answer is whole, or ends it. What
// matters about a failure is whether the endpoint may have begun to work: only
// ErrUnreachable says that nothing was sent.
//
// An endpoint can send more than it should: an answer to an earlier request
// that was given up on, or bytes behind a whole answer. Answers that belong to
// another request are skipped, and a connection with bytes that nobody asked
// for is not used again.
package origin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"waxwingwall/io/tcp"
)

const (
	// defaultKeepAlive is how long a connection is kept if the endpoint does not say.
	defaultKeepAlive = 10 * time.Second

	// keepAliveMargin is by how much earlier than the endpoint a connection is
	// closed: a request must not cross its close.
	keepAliveMargin = 500 * time.Millisecond

	// preconnectTTL is how long a connection is kept that no request has used yet,
	// as the endpoint hasn't said how long it keeps one.
	preconnectTTL = 500 * time.Millisecond

	// maxIdlePerAddress is how many unused connections are kept for an address.
	maxIdlePerAddress = 32

	// maxInlineBytes is the size up to which a request is written before its answer
	// is read.
	maxInlineBytes = 2 << 10

	// maxSkippedAnswers bounds how many answers to other requests are skipped, and
	// maxSkippedBytes how much of each is read.
	maxSkippedAnswers = 4
	maxSkippedBytes   = 1 << 20

	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// The ways in which Do fails. Every other error leaves open whether the
// endpoint ran the request.
var (
	// ErrUnreachable tells that nothing was sent.
	ErrUnreachable = errors.New("endpoint not reached")

	// ErrIdleTimeout tells that nothing came for too long.
	ErrIdleTimeout = errors.New("endpoint silent")
)

// Request is one request as the caller sent it.
type Request struct {
	// Address is the endpoint's.
	Address netip.AddrPort

	// Method, Target and Host are the caller's; Target is the path with its
	// query, as it was written.
	Method, Target, Host string

	// Header is what to send.
	Header http.Header

	// Body is whole.
	Body []byte

	// HeaderTimeout bounds the wait for the head of the answer, IdleTimeout the wait for each
	// part of its body; zero stands for no bound but the context's.
	HeaderTimeout, IdleTimeout time.Duration

	// DialTimeout bounds the wait for a new connection; zero stands for the usual time.
	DialTimeout time.Duration

	// Match reports whether the head of an answer belongs to this request.
	Match func(http.Header) bool
}

// Pool keeps connections to endpoints. Create it with New.
type Pool struct {
	dialer *net.Dialer
	onDial func(to netip.AddrPort, took time.Duration)

	// mu guards idle, by address, the most recently used last.
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	closed bool

	// dials counts connections made.
	dials int
}

// New returns a Pool and a function that closes its unused connections.
func New(opts ...Option) (*Pool, func()) {
	p := &Pool{
		dialer: tcp.Dialer(),
		onDial: func(netip.AddrPort, time.Duration) {},
		idle:   map[netip.AddrPort][]*conn{},
	}
	for _, o := range opts {
		o(p)
	}
	return p, p.close
}

// Option changes a Pool.
type Option func(*Pool)

// WithDialObserver tells how long each new connection took, or was waited for.
func WithDialObserver(observe func(to netip.AddrPort, took time.Duration)) Option {
	return func(p *Pool) {
		p.onDial = observe
	}
}

// conn is one connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	addr   netip.AddrPort

	// expires is when it must not be used any more.
	expires time.Time
}

// Answer is an endpoint's answer.
type Answer struct {
	// Status and Header are its head.
	Status int
	Header http.Header

	// Length is that of the body; -1 if it isn't known before its end.
	Length int64

	pool        *Pool
	conn        *conn
	resp        *http.Response
	written     chan error
	stop        func() bool
	idleTimeout time.Duration
	complete    bool
}

// Do sends a request and returns the head of its answer. The answer has to be
// closed. When the context ends, so does the connection.
func (p *Pool) Do(ctx context.Context, r Request) (*Answer, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	a := &Answer{
		pool:        p,
		conn:        c,
		written:     make(chan error, 1),
		idleTimeout: r.IdleTimeout,
		stop:        context.AfterFunc(ctx, func() { _ = c.Close() }),
	}
	if err := a.exchange(r); err != nil {
		a.closeConn()
		if ctx.Err() != nil {
			return nil, trace.Wrap(context.Cause(ctx))
		}
		return nil, err
	}
	return a, nil
}

// acquire returns a connection that was kept, or makes one.
func (p *Pool) acquire(ctx context.Context, r Request) (*conn, error) {
	for {
		c := p.popIdle(r.Address)
		if c == nil {
			break
		}
		if c.isIdle() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, r.Address, r.DialTimeout)
}

// dial makes a connection; a patience of zero stands for the usual time.
func (p *Pool) dial(ctx context.Context, to netip.AddrPort, timeout time.Duration) (*conn, error) {
	dialer := *p.dialer
	if timeout > 0 {
		dialer.Timeout = timeout
	}
	began := time.Now()
	nc, err := dialer.DialContext(ctx, "tcp", to.String())
	p.onDial(to, time.Since(began))
	if err != nil {
		return nil, trace.Wrap(ErrUnreachable, "%v", err)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return &conn{
		Conn:   nc,
		reader: bufio.NewReaderSize(nc, readBufferBytes),
		addr:   to,
	}, nil
}

// Preconnect makes a connection and keeps it for a request.
func (p *Pool) Preconnect(ctx context.Context, to netip.AddrPort, timeout time.Duration) error {
	c, err := p.dial(ctx, to, timeout)
	if err != nil {
		return err
	}
	c.expires = time.Now().Add(preconnectTTL)
	p.putIdle(c)
	return nil
}

// popIdle takes the most recently used connection to an address, or returns nil.
func (p *Pool) popIdle(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	if len(conns) == 1 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = conns[:len(conns)-1]
	}
	return c
}

// isIdle reports whether a kept connection is still open and carries nothing.
func (c *conn) isIdle() bool {
	if time.Now().After(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	if err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(rerr, unix.EAGAIN)
		return true
	}); err != nil {
		return false
	}
	return idle
}

// CloseExpired closes kept connections whose time is over.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.After(c.expires) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// CloseIdle closes the kept connections to an address.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// Dials returns how many connections were made.
func (p *Pool) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.idle = map[netip.AddrPort][]*conn{}
}

// putIdle keeps a connection.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// exchange writes the request and reads the head of its answer.
func (a *Answer) exchange(r Request) error {
	req := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Opaque: r.Target,
		},
		Host:   r.Host,
		Header: r.Header,
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// An empty one keeps net/http from sending its own.
		req.Header["User-Agent"] = []string{""}
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(strings.NewReader(string(r.Body)))
		req.ContentLength = int64(len(r.Body))
	}
	if len(r.Body) <= maxInlineBytes {
		if err := a.write(req); err != nil {
			a.written <- err
			// The endpoint may have answered before it closed.
			if a.read(req, r) == nil {
				return nil
			}
			return err
		}
		a.written <- nil
	} else {
		go func() { a.written <- a.write(req) }()
	}
	return a.read(req, r)
}

// write writes the request.
func (a *Answer) write(req *http.Request) error {
	w := bufio.NewWriter(a.conn)
	if err := req.Write(w); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(w.Flush())
}

// read reads heads until one belongs to the request.
func (a *Answer) read(req *http.Request, r Request) error {
	deadline := time.Time{}
	if r.HeaderTimeout > 0 {
		deadline = time.Now().Add(r.HeaderTimeout)
	}
	if err := a.conn.SetReadDeadline(deadline); err != nil {
		return trace.Wrap(err)
	}
	for range maxSkippedAnswers {
		resp, err := http.ReadResponse(a.conn.reader, req)
		if err != nil {
			return classifyError(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Match == nil || r.Match(resp.Header) {
			a.resp = resp
			a.Status = resp.StatusCode
			a.Header = resp.Header
			a.Length = resp.ContentLength
			return nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return trace.Errorf("answer to another request")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes)); err != nil {
			return classifyError(err)
		}
	}
	return trace.Errorf("too many answers to other requests")
}

// classifyError tells silence from other failures.
func classifyError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return trace.Wrap(ErrIdleTimeout)
	}
	return trace.Wrap(err)
}

// Read reads the body. It returns io.EOF only behind a whole one.
func (a *Answer) Read(b []byte) (int, error) {
	if a.idleTimeout > 0 {
		if err := a.conn.SetReadDeadline(time.Now().Add(a.idleTimeout)); err != nil {
			return 0, trace.Wrap(err)
		}
	}
	n, err := a.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, classifyError(err)
	}
	return n, nil
}

// Close ends the exchange. The connection is kept if the answer was read to its
// end and the request written to its own.
func (a *Answer) Close() {
	if !a.stop() || !a.reusable() {
		a.closeConn()
		return
	}
	if err := a.conn.SetReadDeadline(time.Time{}); err != nil {
		a.closeConn()
		return
	}
	a.conn.expires = time.Now().Add(keepAliveTimeout(a.Header))
	a.pool.putIdle(a.conn)
}

// reusable reports whether nothing is left on the connection.
func (a *Answer) reusable() bool {
	if !a.complete || a.resp.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.Length < 0 && len(a.resp.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// closeConn closes the connection.
func (a *Answer) closeConn() {
	a.stop()
	_ = a.conn.Close()
}

// keepAliveTimeout returns how long an unused connection may be keepAliveTimeout, by what the endpoint
// says.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return max(time.Duration(s)*time.Second-keepAliveMargin, 0)
		}
	}
	return defaultKeepAlive
}
