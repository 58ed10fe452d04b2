// Package endpoint holds what the adapters to all kinds of endpoints share:
// the ways in which a run can fail, the headers that name it, and the
// connections.
//
// What matters about a failed run is whether the endpoint may have begun it.
// Only Refused says that it did not. The other failures leave it open.
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
)

// Headers of a call.
const (
	// HeaderAttempt names the attempt. The endpoint repeats it in its answer.
	HeaderAttempt = "X-Request-Id"

	// HeaderIdentity names the request that the attempt is for.
	HeaderIdentity = "X-Identity"

	// HeaderPriority orders the endpoint's queue; lower numbers go first.
	HeaderPriority = "X-Priority"
)

// IdentityHeader is the value of HeaderIdentity.
func IdentityHeader(i waxwingwall.Identity) string {
	return url.PathEscape(string(i.Account)) + "/" + url.PathEscape(i.Key)
}

// Failure is a way in which a run can fail.
type Failure string

// The failures.
const (
	// Refused means that the endpoint provably did not begin to run: the
	// connection was not opened, or the endpoint said so.
	Refused Failure = "refused"

	// Crashed means that the endpoint closed or reset the connection.
	Crashed Failure = "crashed"

	// IdleTimeout means that nothing came for too long.
	IdleTimeout Failure = "silent"

	// Broken means that the endpoint answered, but not with a whole answer to
	// this attempt.
	Broken Failure = "broken"

	// Cancelled means that our side gave the run up.
	Cancelled Failure = "cancelled"
)

// Error tells how a run failed.
type Error struct {
	// Failure is the way it failed.
	Failure Failure

	// Status is the HTTP status of the endpoint's answer, 0 without one.
	Status int

	// Tokens is the number of tokens passed on before the failure.
	Tokens int

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

// ErrIdleTimeout is the cause with which a Watch cancels its context.
var ErrIdleTimeout = errors.New("no progress")

// Watchdog follows one run. It notes whether a connection was opened, and cancels
// the run's context with ErrIdleTimeout when nothing comes for too long.
type Watchdog struct {
	connected atomic.Bool
	cancel    context.CancelCauseFunc
	parent    context.Context
	ctx       context.Context
	timer     *time.Timer
}

// NewWatchdog starts to follow a run that has to show progress within first. The
// context returned is the run's. Stop has to be called.
func NewWatchdog(parent context.Context, first time.Duration) (*Watchdog, context.Context) {
	w := &Watchdog{
		parent: parent,
	}
	w.ctx, w.cancel = context.WithCancelCause(parent)
	w.timer = time.AfterFunc(first, func() { w.cancel(ErrIdleTimeout) })
	// net/http may look for a connection again. GetConn comes first each time.
	// It does so for a POST only if nothing of it was written before.
	return w, httptrace.WithClientTrace(w.ctx, &httptrace.ClientTrace{
		GetConn: func(string) { w.connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { w.connected.Store(true) },
	})
}

// Pause stops the clock while our own side is at work.
func (w *Watchdog) Pause() {
	w.timer.Stop()
}

// Progress starts the clock again: the next progress is due within next.
func (w *Watchdog) Progress(next time.Duration) {
	w.timer.Reset(next)
}

// Stop ends the run's context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// Failure tells what an error of the run means.
func (w *Watchdog) Failure(err error) Failure {
	switch {
	case !w.connected.Load():
		return Refused
	case w.parent.Err() != nil:
		return Cancelled
	case errors.Is(context.Cause(w.ctx), ErrIdleTimeout):
		return IdleTimeout
	case isClosed(err):
		return Crashed
	}
	return Broken
}

// closedIdleText is how net/http reports a connection that the other side closed
// before the request was written, or while it was. It doesn't export the error.
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
)

// Pool keeps connections to endpoints. A connection that was left open can
// have gone silent unnoticed, and others to the same address with it. So after
// Suspect an address gets fresh connections only, until all that were open
// have been closed for idleness.
type Pool struct {
	reused   *http.Transport
	unshared *http.Transport

	mu      sync.Mutex
	suspect map[netip.AddrPort]time.Time // until when
}

// NewPool returns a Pool and a function that closes its idle connections.
func NewPool() (*Pool, func()) {
	p := &Pool{
		reused:   newTransport(),
		unshared: newTransport(),
		suspect:  map[netip.AddrPort]time.Time{},
	}
	p.unshared.DisableKeepAlives = true
	return p, p.reused.CloseIdleConnections
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// Transport returns the connections to use for a call to address. Fresh ones
// are used for this call alone.
func (p *Pool) Transport(address netip.AddrPort, newConnection bool) http.RoundTripper {
	if newConnection || p.isSuspect(address) {
		return p.unshared
	}
	return p.reused
}

func (p *Pool) isSuspect(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.suspect[address]
	if !ok {
		return false
	}
	if time.Now().After(until) {
		delete(p.suspect, address)
		return false
	}
	return true
}

// Suspect tells that a connection to address went silent.
func (p *Pool) Suspect(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect[address] = time.Now().Add(idleConnTimeout)
}
