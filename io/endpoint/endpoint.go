// Package endpoint holds what the adapters to all kinds of endpoints share: the
// classes of failures, the headers that identify an attempt, and the connection
// pool.
//
// The failures differ in whether the endpoint may have started the run. Only
// Declined guarantees that it did not.
package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"waxwingwall"
	"waxwingwall/io/http1"
	"waxwingwall/io/origin"
	"waxwingwall/io/tcp"
)

// Headers of a call.
const (
	// HeaderAttempt identifies the attempt. The endpoint repeats it in its answer.
	HeaderAttempt = "X-Request-Id"

	// HeaderIdentity identifies the request that the attempt belongs to.
	HeaderIdentity = "X-Identity"

	// HeaderPriority orders the endpoint's queue; lower numbers run first.
	HeaderPriority = "X-Priority"

	// HeaderLimit is set in the answers of an endpoint that takes only so many requests
	// a second from all routers together, a decimal number, for as long as it says so.
	HeaderLimit = "X-Request-Limit"
)

// IdentityHeader returns the value of HeaderIdentity.
func IdentityHeader(i waxwingwall.Identity) string {
	return url.PathEscape(string(i.Account)) + "/" + url.PathEscape(i.Key)
}

// RetryAfter returns the text of the time after which an unavailable endpoint may be asked
// again (see waxwingwall.ParseRetryAfter); empty if the answer names none.
func RetryAfter(res *http.Response) string {
	if res.StatusCode != http.StatusServiceUnavailable {
		return ""
	}
	return strings.TrimSpace(res.Header.Get("Retry-After"))
}

// Failure classifies how a run failed.
type Failure string

// The failures of a run.
const (
	// Declined means that the endpoint provably did not start the run: no
	// connection was established, or the endpoint declined the request.
	Declined Failure = "refused"

	// Crashed means that the endpoint closed or reset the connection.
	Crashed Failure = "crashed"

	// IdleTimeout means that nothing arrived within the time limit.
	IdleTimeout Failure = "silent"

	// Broken means that the endpoint answered, but not with a complete answer to
	// this attempt.
	Broken Failure = "broken"

	// Cancelled means that the router cancelled the run.
	Cancelled Failure = "cancelled"
)

// Error describes how a run failed.
type Error struct {
	// Failure is the class of the failure.
	Failure Failure

	// Status is the HTTP status of the endpoint's answer, 0 without one.
	Status int

	// Tokens is the number of tokens forwarded before the failure.
	Tokens int

	// RetryAfter is the text of the time that the endpoint named as it was unavailable,
	// see RetryAfter; empty if there is none.
	RetryAfter string

	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("run %s: %v", e.Failure, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// ErrIdleTimeout is the cause with which a Watchdog cancels its context.
var ErrIdleTimeout = errors.New("endpoint idle timeout")

// Watchdog monitors one run. It records the connection of the run, if there is one,
// and cancels the run's context with ErrIdleTimeout when nothing arrives in
// time.
type Watchdog struct {
	connected atomic.Bool

	// conn is the connection of the run. trusted is set if all earlier answers on it
	// were accepted, so that a refusal can't be a repetition of one of them.
	conn    atomic.Pointer[conn]
	trusted atomic.Bool

	cancel context.CancelCauseFunc
	parent context.Context
	ctx    context.Context
	timer  *time.Timer
}

// NewWatchdog starts to monitor a run and returns the context of the run, which
// is cancelled if nothing arrives within first. Stop must be called.
func NewWatchdog(parent context.Context, first time.Duration) (*Watchdog, context.Context) {
	w := &Watchdog{
		parent: parent,
	}
	w.ctx, w.cancel = context.WithCancelCause(parent)
	w.timer = time.AfterFunc(first, func() { w.cancel(ErrIdleTimeout) })
	// net/http may request another connection, but for a POST only if nothing of
	// it was written on the previous one. Each time it calls GetConn first.
	return w, httptrace.WithClientTrace(w.ctx, &httptrace.ClientTrace{
		GetConn: func(string) { w.connected.Store(false) },
		GotConn: w.gotConn,
	})
}

func (w *Watchdog) gotConn(info httptrace.GotConnInfo) {
	w.connected.Store(true)
	c, ok := info.Conn.(*conn)
	if !ok {
		w.trusted.Store(false)
		return
	}
	w.conn.Store(c)
	w.trusted.Store(!c.pending.Swap(true))
	if c.retired.Load() {
		c.closed.Store(true)
	}
}

// Accept records that the answer is not a refusal, so that its connection can be
// reused.
func (w *Watchdog) Accept() {
	if c := w.conn.Load(); c != nil {
		c.pending.Store(false)
	}
}

// Refuse records that the answer is a refusal or can't be trusted. Its connection is
// not reused, since the endpoint may write the same answer there once more. Refuse
// reports whether the answer belongs to this run for certain.
func (w *Watchdog) Refuse() bool {
	if c := w.conn.Load(); c != nil {
		c.retired.Store(true)
	}
	return w.trusted.Load()
}

// Pause stops the timer while the router itself processes a frame.
func (w *Watchdog) Pause() {
	w.timer.Stop()
}

// Progress restarts the timer after something arrived: the run is cancelled if
// nothing more arrives within next.
func (w *Watchdog) Progress(next time.Duration) {
	w.timer.Reset(next)
}

// Stop stops the timer and cancels the run's context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// Failure classifies an error of the run.
func (w *Watchdog) Failure(err error) Failure {
	switch {
	case !w.connected.Load():
		return Declined
	case w.parent.Err() != nil:
		return Cancelled
	case errors.Is(context.Cause(w.ctx), ErrIdleTimeout):
		return IdleTimeout
	case isClosed(err):
		return Crashed
	}
	return Broken
}

// closedIdleText is the text of the error that net/http returns when the other
// side closed the connection before or while the request was written. net/http
// does not export the error.
const closedIdleText = "http: server closed idle connection"

func isClosed(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) ||
		strings.Contains(err.Error(), closedIdleText) ||
		errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, net.ErrClosed) ||
		errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF)
}

const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	maxIdlePerHost  = 64

	// confirmTimeout limits the wait for a sign that an endpoint still runs. A sound one may be silent
	// for as long.
	confirmTimeout = 2 * time.Second

	// maxHeadBytes limits the head of an answer.
	maxHeadBytes = 64 << 10
)

// Pool keeps connections to endpoints. An idle connection can fail without
// notice, and then other idle connections to the same address probably have
// failed as well. After a call of Suspect, calls to that address therefore use
// new connections until all idle ones have expired.
type Pool struct {
	reused   *http.Transport
	unshared *http.Transport

	// companions holds the connections beside answers that may end with theirs.
	companions *origin.Pool

	mu sync.Mutex

	// suspectUntil is the time until which an address gets new connections only.
	suspectUntil map[netip.AddrPort]time.Time
}

// NewPool returns a Pool and a function that closes its idle connections.
func NewPool() (*Pool, func()) {
	companions, closeCompanions := origin.New()
	p := &Pool{
		companions:   companions,
		reused:       newTransport(),
		unshared:     newTransport(),
		suspectUntil: map[netip.AddrPort]time.Time{},
	}
	p.unshared.DisableKeepAlives = true
	return p, func() {
		p.reused.CloseIdleConnections()
		closeCompanions()
	}
}

// conn is a connection of a Pool.
type conn struct {
	*http1.Conn

	// pending is set from the start of an exchange until its answer was accepted.
	pending atomic.Bool

	// retired is set if no other request may be sent. The current one may still be
	// written; closed is set when net/http begins the next one.
	retired, closed atomic.Bool
}

var errRetired = errors.New("the connection is not reused")

// Write implements net.Conn. After an error with which nothing was written, net/http
// sends the request on another connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, errRetired
	}
	return c.Conn.Write(b)
}

func newTransport() *http.Transport {
	dialer := tcp.PatientDialer()
	dialer.Timeout = dialTimeout
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{
				Conn: http1.NewConn(tcp.NewConn(c)),
			}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Transport returns the transport for a call to address. With unshared the
// call uses a connection of its own. A head that is none of an answer is a failure of the call.
func (p *Pool) Transport(address netip.AddrPort, unshared bool) http.RoundTripper {
	transport := p.reused
	if unshared || p.isSuspect(address) {
		transport = p.unshared
	}
	return &http1.Transport{
		RoundTripper: transport,
	}
}

func (p *Pool) isSuspect(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.suspectUntil[address]
	if !ok {
		return false
	}
	if time.Now().After(until) {
		delete(p.suspectUntil, address)
		return false
	}
	return true
}

// AnswersUnframed reports whether the endpoint at an address is known to have answered without framing.
// Calls whose answers may end with their connection need new ones then, see End.
func (p *Pool) AnswersUnframed(address netip.AddrPort) bool {
	return p.companions.AnswersUnframed(address)
}

// Suspect records that a connection to address stopped responding: until its idle
// connections have expired, calls to the address use new ones.
func (p *Pool) Suspect(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspectUntil[address] = time.Now().Add(idleConnTimeout)
}
