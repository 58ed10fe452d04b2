// Package origin is an HTTP/1.1 client for endpoints that passes bodies through
// unchanged. The origin of a forwarded request is the endpoint that it is sent to.
//
// A Pool keeps connections. Do writes a request on one of them and returns the
// header of the matching answer. The body is read from the Answer; Close
// returns the connection to the pool if the answer is complete, and otherwise
// closes it. The failures differ in whether the endpoint may have run the
// request: only ErrUnreachable and ErrExpired guarantee that nothing was sent.
//
// The end of a connection is not taken for the end of an answer, unless Request.Confirm
// tells that its endpoint has lived on. A Companion helps to tell.
//
// An endpoint can send more than it should: an answer to an earlier, abandoned
// request, an earlier answer once more, or bytes after a complete answer. Answers to
// other requests are skipped, and a connection with unexpected bytes is not reused.
// An answer that names no request is accepted only as the first one on its
// connection, which is then not reused. A request that failed on a connection is not
// sent again there, since a repetition of that failure would name it as well. The
// connection of a rejected answer is not reused at all. A head with a status that is none of HTTP is no
// answer, and nothing after it is read.
package origin

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall/io/http1"
	"waxwingwall/io/quota"
	"waxwingwall/io/tcp"
	"waxwingwall/io/tunnel"
)

const (
	// defaultKeepAlive is how long an idle connection is kept if the endpoint does
	// not specify it.
	defaultKeepAlive = 10 * time.Second

	// keepAliveMargin is how much earlier than the endpoint the pool closes an
	// idle connection, so that no request is sent while the endpoint closes it.
	keepAliveMargin = 500 * time.Millisecond

	// preconnectTTL is how long a connection without a first request is kept. The
	// endpoint has not yet specified its own limit.
	preconnectTTL = 500 * time.Millisecond

	// tunnelKeepAlive limits how long an idle connection through a peer is kept, which
	// takes room there.
	tunnelKeepAlive = 2 * time.Second

	// maxIdlePerAddress limits the idle connections to one address in one way, directly or
	// through one peer.
	maxIdlePerAddress = 32

	// maxInlineBytes is the largest body that is written before the answer is
	// read; a larger one is written concurrently.
	maxInlineBytes = 2 << 10

	// maxSkippedAnswers limits how many answers to other requests are skipped, and
	// maxSkippedBytes how much of each is read.
	maxSkippedAnswers = 4
	maxSkippedBytes   = 1 << 20

	// maxHeadBytes limits what is read until the head of an answer is complete.
	maxHeadBytes = 64 << 10

	// maxFailedRequests limits how many requests may fail on a connection before it is
	// no longer reused.
	maxFailedRequests = 256

	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// The errors of Do. After any other error it is unknown whether the endpoint
// ran the request.
var (
	// ErrUnreachable means that nothing was sent.
	ErrUnreachable = errors.New("endpoint unreachable")

	// ErrVia is an ErrUnreachable for which the peer of Request.Via is the reason.
	ErrVia = fmt.Errorf("no way through the peer: %w", ErrUnreachable)

	// ErrExpired means that Request.SendBy passed, or Request.Withhold applied, before
	// anything was sent.
	ErrExpired = errors.New("endpoint connected too late")

	// ErrTarget means that the target can't be sent, and that nothing was.
	ErrTarget = errors.New("target has spaces or control characters, or is empty")

	// ErrIdleTimeout means that nothing arrived within the time limit.
	ErrIdleTimeout = errors.New("endpoint idle timeout")

	// ErrUnconfirmed means that the answer ended with its connection, and that nothing shows
	// that the endpoint has meant it to. The answer may be cut.
	ErrUnconfirmed = errors.New("answer ended with its connection, and nothing confirms its end")
)

// Request is one request to an endpoint.
type Request struct {
	// Address is the address of the endpoint.
	Address netip.AddrPort

	// Via is the address of a peer's tunnel server through which the endpoint is reached;
	// zero if it is reached directly.
	Via netip.AddrPort

	// Method, Target and Host are the caller's; Target is the unmodified path with
	// its query, or "*". A target that is empty or has spaces or control characters is not sent.
	Method, Target, Host string

	// Header is the header to send.
	Header http.Header

	// Body is the complete body.
	Body []byte

	// HeaderTimeout limits the wait for the header of the answer, IdleTimeout the
	// wait for each part of its body; zero leaves only the limit of the context.
	HeaderTimeout, IdleTimeout time.Duration

	// KeepWaiting is asked when HeaderTimeout or IdleTimeout has passed and nothing has
	// arrived for the time idle. It returns how much longer to wait until it is asked
	// again; zero ends the wait. It is called on the goroutine that waits; nil never
	// prolongs a wait.
	KeepWaiting func(idle time.Duration) time.Duration

	// DialTimeout limits the wait for a new connection; zero selects the default.
	DialTimeout time.Duration

	// NewConnection forbids the use of an idle connection.
	NewConnection bool

	// SendBy is the time until which the request may be sent; zero if there is no limit.
	SendBy time.Time

	// Withhold, unless it is nil, is asked once there is a connection whether the request
	// must not be sent any more.
	Withhold func() bool

	// ID identifies the request. A request is not sent on a connection on which one
	// with the same ID was answered with a failure; empty if nothing identifies it.
	ID string

	// Confirm is asked after an answer without a length and without chunks, which ends with its
	// connection, whether its endpoint still runs. If not, the answer may be cut: the kernel
	// ends the connections of a killed process in order as well. The Companion can take one
	// request; it is nil if there is none. nil never confirms.
	Confirm func(context.Context, *Companion) bool

	// Companion, unless it is nil, is the connection to send on. If it has ended, Do returns
	// ErrUnreachable.
	Companion *Companion

	// Match reports whether the header of an answer belongs to this request, and
	// Unnamed whether it names no request at all. If they are nil, each answer belongs
	// to the request.
	Match, Unnamed func(http.Header) bool

	// Head bounds the head of the answer; nil if only maxHeadBytes does.
	Head *quota.Holding

	// Trace is called at each stage of the request, possibly from another goroutine;
	// nil if nobody is interested.
	Trace func(Stage)
}

// Stage is a stage of a request.
type Stage int

const (
	// Connected means that the request has a connection.
	Connected Stage = iota

	// Sent means that the request was completely written to the connection.
	Sent

	// Received means that a part of the answer has arrived. It is traced for each part.
	Received
)

func (r Request) trace(s Stage) {
	if r.Trace != nil {
		r.Trace(s)
	}
}

// Pool keeps connections to endpoints. Create it with New.
type Pool struct {
	// connect makes a direct connection; its context ends when the time for it is over.
	connect tcp.Dial
	seed    maphash.Seed

	// onDial is called after each direct dial, but for those of companions.
	onDial dialObserver

	// mu guards the fields below. idle holds the idle connections by the way to their
	// address, the most recently used last.
	mu     sync.Mutex
	idle   map[way][]*conn
	closed bool

	// companions counts the open companions by address, companionCount all. unframed has the
	// addresses that have answered, and is set for those that did so without framing.
	companions     map[netip.AddrPort]int
	companionCount int
	unframed       map[netip.AddrPort]bool

	// dials counts the successful dials.
	dials int
}

// dialObserver is called after a direct dial; err is nil if it succeeded.
type dialObserver func(to netip.AddrPort, took time.Duration, err error)

// unobserved observes the dials of companions, whose failures say little of requests: an endpoint
// that closed its listener still ends its answers.
func unobserved(netip.AddrPort, time.Duration, error) {}

// New returns a Pool and a function that closes its idle connections.
func New(opts ...Option) (*Pool, func()) {
	dialer := tcp.Dialer()
	dialer.Timeout = 0
	p := &Pool{
		connect: dialer.DialContext,
		seed:    maphash.MakeSeed(),
		onDial:  unobserved,
		idle:    map[way][]*conn{},

		companions: map[netip.AddrPort]int{},
		unframed:   map[netip.AddrPort]bool{},
	}
	for _, o := range opts {
		o(p)
	}
	return p, p.close
}

// Option configures a Pool.
type Option func(*Pool)

// WithDialObserver sets a function that receives the duration of each direct dial and
// its error, if it failed. Those of companions are left out.
func WithDialObserver(onDial func(to netip.AddrPort, took time.Duration, err error)) Option {
	return func(p *Pool) {
		p.onDial = onDial
	}
}

// WithDial replaces the function that makes direct connections. They must implement syscall.Conn
// to be reused.
func WithDial(dial tcp.Dial) Option {
	return func(p *Pool) {
		p.connect = dial
	}
}

// way is an address and the peer through which it is reached; via is zero if it is
// reached directly.
type way struct {
	addr, via netip.AddrPort
}

// conn is one connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	source source
	way    way

	// expires is the time after which it must not be reused; zero if it is new.
	expires time.Time

	// answered is set once an answer was read. failed are the hashes of the IDs of the
	// requests that were answered with a failure.
	answered bool
	failed   []uint64
}

// Answer is an endpoint's answer.
type Answer struct {
	// Status and Header are its status and header.
	Status int
	Header http.Header

	// Length is the length of the body; -1 if unknown. Chunked is set if a last chunk ends
	// the body; one of unknown length without chunks ends with its connection.
	Length  int64
	Chunked bool

	// ctx is the context of Do, confirm is Request.Confirm; companion is nil if there is none.
	ctx         context.Context
	confirm     func(context.Context, *Companion) bool
	companion   *Companion
	pool        *Pool
	conn        *conn
	resp        *http.Response
	written     chan error
	stop        func() bool
	idleTimeout time.Duration
	trace       func(Stage)
	complete    bool
	rejected    bool

	// unnamed is set if the answer names no request.
	unnamed bool

	// received is when the last bytes of the body came. ending is how the connection ended that
	// ends the body; nil if it has not.
	received time.Time
	ending   *Ending
}

// Ending is how the connection ended that ends the body of an answer.
type Ending struct {
	// At is when it ended.
	At time.Time

	// Quiet is the time from the last bytes to the end.
	Quiet time.Duration

	// Closed is set if nothing could be sent any more then, as after a reset.
	Closed bool

	// Companion is how long the companion had been open, zero if there was none. Outlived is set
	// if it was open for some time after the end, too.
	Companion time.Duration
	Outlived  bool
}

// Ending returns how the connection ended that ends the body; nil if it has not.
func (a *Answer) Ending() *Ending {
	return a.ending
}

// Do sends a request and returns its answer once the header has arrived. The
// answer must be closed. The connection is closed when the context ends.
func (p *Pool) Do(ctx context.Context, r Request) (*Answer, error) {
	if !validTarget(r.Target) {
		return nil, trace.Wrap(ErrTarget)
	}
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	companion := p.companionFor(ctx, c, r)
	if !r.SendBy.IsZero() && time.Now().After(r.SendBy) || r.Withhold != nil && r.Withhold() {
		if c.expires.IsZero() {
			c.expires = time.Now().Add(preconnectTTL)
		}
		p.putIdle(c)
		companion.Close()
		return nil, trace.Wrap(ErrExpired)
	}
	r.trace(Connected)
	a := &Answer{
		ctx:         ctx,
		confirm:     r.Confirm,
		companion:   companion,
		pool:        p,
		conn:        c,
		written:     make(chan error, 1),
		idleTimeout: r.IdleTimeout,
		stop:        context.AfterFunc(ctx, func() { _ = c.Close() }),
	}
	if err := a.exchange(r); err != nil {
		a.companion.Close()
		a.closeConn()
		if ctx.Err() != nil {
			return nil, trace.Wrap(context.Cause(ctx))
		}
		return nil, err
	}
	a.recordFraming(r)
	return a, nil
}

// acquire returns the connection of the request's companion or an idle one, or makes a new one.
func (p *Pool) acquire(ctx context.Context, r Request) (*conn, error) {
	if r.Companion != nil {
		return r.Companion.take()
	}
	w := way{
		addr: r.Address,
		via:  r.Via,
	}
	for !r.NewConnection && !p.needsCompanion(r) {
		c := p.popIdle(w, r.ID)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, w, r.DialTimeout, p.onDial)
}

// dial makes a connection; a timeout of zero selects the default. A direct dial is observed.
func (p *Pool) dial(ctx context.Context, w way, timeout time.Duration, observe dialObserver) (*conn, error) {
	var nc net.Conn
	var err error
	if w.via.IsValid() {
		nc, err = dialVia(ctx, w, timeout)
	} else {
		nc, err = p.dialDirectly(ctx, w.addr, timeout, observe)
	}
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	c := &conn{
		Conn: nc,
		source: source{
			Conn: nc,
		},
		way: w,
	}
	c.reader = bufio.NewReaderSize(&c.source, readBufferBytes)
	return c, nil
}

func (p *Pool) dialDirectly(ctx context.Context, to netip.AddrPort, timeout time.Duration, observe dialObserver) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(timeout, tcp.DialTimeout))
	defer cancel()
	began := time.Now()
	nc, err := p.connect(ctx, "tcp", to.String())
	observe(to, time.Since(began), err)
	if err != nil {
		return nil, trace.Wrap(ErrUnreachable, "%v", err)
	}
	return tcp.NewConn(nc), nil
}

func dialVia(ctx context.Context, w way, timeout time.Duration) (net.Conn, error) {
	nc, err := tunnel.Dial(ctx, w.via, w.addr, timeout)
	if errors.Is(err, tunnel.ErrPeer) {
		return nil, trace.Wrap(ErrVia, "%v", err)
	}
	if err != nil {
		return nil, trace.Wrap(ErrUnreachable, "%v", err)
	}
	return nc, nil
}

// source reads from a connection within limits of time and size.
type source struct {
	net.Conn

	// timeout limits each wait for bytes; zero means no limit. keepWaiting, unless it
	// is nil, is asked whether to prolong a wait; idleSince is when the wait began or the
	// last bytes arrived.
	timeout     time.Duration
	keepWaiting func(idle time.Duration) time.Duration
	idleSince   time.Time

	// limited is set if only remaining bytes may be read, of which head bounds those
	// that were.
	limited   bool
	remaining int
	head      *quota.Holding
}

// wait sets the limit for the following waits.
func (s *source) wait(timeout time.Duration) error {
	s.timeout = timeout
	s.idleSince = time.Now()
	deadline := time.Time{}
	if timeout > 0 {
		deadline = s.idleSince.Add(timeout)
	}
	return s.SetReadDeadline(deadline)
}

// Read implements io.Reader.
func (s *source) Read(b []byte) (int, error) {
	if s.limited && s.remaining <= 0 {
		return 0, errHeadTooLong
	}
	if s.limited {
		b = b[:min(len(b), s.remaining)]
	}
	for {
		n, err := s.Conn.Read(b)
		s.remaining -= n
		if s.limited && !s.head.Set(maxHeadBytes-s.remaining) {
			return 0, quota.ErrFull
		}
		if n > 0 {
			s.idleSince = time.Now()
			return n, err
		}
		// After a timeout of TCP, which ends the connection, a read would report a plain end.
		if s.timeout == 0 || s.keepWaiting == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		more := s.keepWaiting(time.Since(s.idleSince))
		if more <= 0 {
			return n, err
		}
		if err := s.SetReadDeadline(time.Now().Add(more)); err != nil {
			return 0, err
		}
	}
}

var errHeadTooLong = errors.New("head of the answer too long")

// Preconnect makes a direct connection and keeps it for a request.
func (p *Pool) Preconnect(ctx context.Context, to netip.AddrPort, timeout time.Duration) error {
	return p.PreconnectVia(ctx, netip.AddrPort{}, to, timeout)
}

// PreconnectVia is like Preconnect through the peer at Request.Via.
func (p *Pool) PreconnectVia(ctx context.Context, via, to netip.AddrPort, timeout time.Duration) error {
	c, err := p.dial(ctx, way{
		addr: to,
		via:  via,
	}, timeout, p.onDial)
	if err != nil {
		return err
	}
	c.expires = time.Now().Add(preconnectTTL)
	p.putIdle(c)
	return nil
}

// popIdle takes the most recently used idle connection of a way on which the request
// with an ID has not failed, or returns nil.
func (p *Pool) popIdle(w way, id string) *conn {
	hash := p.hash(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[w]
	for i, c := range slices.Backward(conns) {
		if id != "" && slices.Contains(c.failed, hash) {
			continue
		}
		if len(conns) == 1 {
			delete(p.idle, w)
		} else {
			p.idle[w] = slices.Delete(conns, i, i+1)
		}
		return c
	}
	return nil
}

// hash returns the hash of the ID of a request.
func (p *Pool) hash(id string) uint64 {
	return maphash.String(p.seed, id)
}

// recordFraming records how the end of the answer is known, and closes a companion that it doesn't
// need.
func (a *Answer) recordFraming(r Request) {
	if r.Confirm == nil {
		return
	}
	a.pool.Framed(r.Address, !a.endsWithConnection())
	if !a.endsWithConnection() {
		a.companion.Close()
		a.companion = nil
	}
}

// isNew reports whether the connection was made for the request that is sent on it.
func (c *conn) isNew() bool {
	return c.expires.IsZero()
}

// tellsEnd reports whether an end in order is one of the endpoint, and not of a peer that marks no
// ends.
func (c *conn) tellsEnd() bool {
	_, marked := c.Conn.(*tunnel.Conn)
	return marked || !c.way.via.IsValid()
}

// usable reports whether an idle connection has not expired and is drained.
func (c *conn) usable() bool {
	return !time.Now().After(c.expires) && c.drained()
}

// drained reports whether a connection is still open and has no unread bytes, not even ones of a
// frame that are still to come.
func (c *conn) drained() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if t, ok := c.Conn.(*tunnel.Conn); ok && !t.BetweenFrames() {
		return false
	}
	return tcp.Idle(c.Conn)
}

// closed reports whether nothing can be sent on a connection any more.
func (c *conn) closed() bool {
	t, ok := c.Conn.(interface{ IsClosed() bool })
	return ok && t.IsClosed()
}

// CloseExpired closes idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for w, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.After(c.expires) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, w)
			continue
		}
		p.idle[w] = kept
	}
}

// CloseIdle closes the idle connections to an address, direct ones and others.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.closeIdle(func(w way) bool { return w.addr == addr })
}

// CloseVia closes the idle connections through a peer.
func (p *Pool) CloseVia(via netip.AddrPort) {
	p.closeIdle(func(w way) bool { return w.via.IsValid() && w.via == via })
}

// closeIdle closes the idle connections of some ways.
func (p *Pool) closeIdle(matches func(way) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w, conns := range p.idle {
		if !matches(w) {
			continue
		}
		for _, c := range conns {
			_ = c.Close()
		}
		delete(p.idle, w)
	}
}

// Dials returns the number of successful dials.
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
	p.idle = map[way][]*conn{}
}

// putIdle adds an idle connection to the pool.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.way]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.way] = append(p.idle[c.way], c)
}

// exchange writes the request and reads the header of its answer.
func (a *Answer) exchange(r Request) error {
	req := &http.Request{
		Method: r.Method,
		URL:    &url.URL{},
		Host:   r.Host,
		Header: r.Header,
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from sending its default.
		req.Header["User-Agent"] = []string{""}
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	if len(r.Body) <= maxInlineBytes {
		if err := a.write(req, r); err != nil {
			a.written <- err
			// The endpoint may have answered before it closed the connection.
			if a.readHeader(req, r) == nil {
				return nil
			}
			return err
		}
		a.written <- nil
	} else {
		go func() { a.written <- a.write(req, r) }()
	}
	return a.readHeader(req, r)
}

func (a *Answer) write(req *http.Request, r Request) error {
	w := bufio.NewWriter(a.conn)
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\n", cmp.Or(r.Method, http.MethodGet), r.Target); err != nil {
		return trace.Wrap(err)
	}
	// The line of net/http would have "://" in front of a target that begins with two slashes.
	if err := req.Write(&afterLine{
		Writer: w,
	}); err != nil {
		return trace.Wrap(err)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	r.trace(Sent)
	return nil
}

// afterLine passes on what is written after the first line.
type afterLine struct {
	*bufio.Writer
	passed bool
}

// Write implements io.Writer.
func (l *afterLine) Write(b []byte) (int, error) {
	if l.passed {
		return l.Writer.Write(b)
	}
	_, rest, found := bytes.Cut(b, []byte("\n"))
	l.passed = found
	n, err := l.Writer.Write(rest)
	return len(b) - len(rest) + n, err
}

// validTarget reports whether a target can be a part of a request line.
func validTarget(target string) bool {
	return target != "" && !strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// readHeader reads headers until one belongs to the request. It skips answers to
// other requests.
func (a *Answer) readHeader(req *http.Request, r Request) error {
	a.conn.source.keepWaiting = r.KeepWaiting
	if err := a.conn.source.wait(r.HeaderTimeout); err != nil {
		return trace.Wrap(err)
	}
	for range maxSkippedAnswers {
		resp, err := a.readFinalHeader(req, r)
		if err != nil {
			return classifyError(err)
		}
		unnamed := r.Unnamed != nil && r.Unnamed(resp.Header)
		if unnamed && a.conn.answered {
			return trace.Errorf("answer that names no request on a reused connection")
		}
		a.conn.answered = true
		if unnamed || r.Match == nil || r.Match(resp.Header) {
			if resp.StatusCode >= http.StatusMultipleChoices && r.ID != "" {
				a.conn.failed = append(a.conn.failed, a.pool.hash(r.ID))
			}
			a.unnamed = unnamed
			a.resp = resp
			a.Status = resp.StatusCode
			a.Header = resp.Header
			a.Length = resp.ContentLength
			a.Chunked = len(resp.TransferEncoding) > 0
			a.trace = r.trace
			a.received = time.Now()
			a.trace(Received)
			return trace.Wrap(a.conn.source.wait(a.idleTimeout))
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

// readFinalHeader reads the header of the next final answer and those of the interim ones before it,
// which have maxHeadBytes together.
func (a *Answer) readFinalHeader(req *http.Request, r Request) (*http.Response, error) {
	a.conn.source.limited = true
	a.conn.source.remaining = maxHeadBytes
	a.conn.source.head = r.Head
	defer func() { a.conn.source.limited = false }()
	for interim := 1; ; interim++ {
		if err := http1.CheckStatus(a.conn.reader); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(a.conn.reader, req)
		if err != nil || http1.IsFinal(resp.StatusCode) {
			return resp, err
		}
		if err := http1.CheckInterim(resp, interim); err != nil {
			return nil, err
		}
	}
}

// classifyError returns ErrIdleTimeout for a timeout, and other errors
// unchanged.
func classifyError(err error) error {
	if isTimeout(err) {
		return trace.Wrap(ErrIdleTimeout)
	}
	return trace.Wrap(err)
}

// isTimeout reports whether err is a timeout, of the pool or of TCP.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Read reads the body. It returns io.EOF only after a complete one, see Request.Confirm.
func (a *Answer) Read(b []byte) (int, error) {
	if a.idleTimeout > 0 {
		if err := a.conn.source.wait(a.idleTimeout); err != nil {
			return 0, trace.Wrap(err)
		}
	}
	n, err := a.resp.Body.Read(b)
	if n > 0 {
		a.received = time.Now()
		a.trace(Received)
	}
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, classifyError(err)
	}
	if a.endsWithConnection() && !a.complete && !a.confirmEnd() {
		return n, trace.Wrap(ErrUnconfirmed)
	}
	a.complete = true
	return n, io.EOF
}

// confirmEnd reports whether the end of the connection is that of the answer.
func (a *Answer) confirmEnd() bool {
	a.ending = &Ending{
		At:        time.Now(),
		Quiet:     time.Since(a.received),
		Closed:    a.conn.closed(),
		Companion: a.companion.Age(),
	}
	if a.confirm == nil || !a.conn.tellsEnd() {
		return false
	}
	a.ending.Outlived = a.companion.Settle(a.ctx)
	if !a.ending.Outlived {
		return a.confirm(a.ctx, nil)
	}
	return a.confirm(a.ctx, a.companion)
}

// endsWithConnection reports whether only the end of the connection ends the body.
func (a *Answer) endsWithConnection() bool {
	return a.Length < 0 && !a.Chunked && a.resp.Body != http.NoBody
}

// Reject marks the answer as one that the receiver can't use, so that Close closes the
// connection: it may bring the same answer once more.
func (a *Answer) Reject() {
	a.rejected = true
}

// Close ends the exchange. The connection is kept for reuse if the answer was
// read and the request written completely, unless the answer was rejected.
func (a *Answer) Close() {
	a.companion.Close()
	if !a.stop() || !a.reusable() {
		a.closeConn()
		return
	}
	a.conn.source.keepWaiting = nil
	if err := a.conn.source.wait(0); err != nil {
		a.closeConn()
		return
	}
	keepAlive := keepAliveTimeout(a.Header)
	if a.conn.way.via.IsValid() {
		keepAlive = min(keepAlive, tunnelKeepAlive)
	}
	a.conn.expires = time.Now().Add(keepAlive)
	a.pool.putIdle(a.conn)
}

// reusable reports whether the exchange is complete, its answer was not rejected and no
// unread bytes are left.
func (a *Answer) reusable() bool {
	if !a.complete || a.rejected || a.resp.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.unnamed || len(a.conn.failed) >= maxFailedRequests {
		return false
	}
	if a.endsWithConnection() {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

func (a *Answer) closeConn() {
	a.stop()
	_ = a.conn.Close()
}

// keepAliveTimeout returns how long a connection may stay idle, according to
// the endpoint's Keep-Alive header.
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
