package endpoint

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"time"

	"waxwingwall"
	"waxwingwall/io/origin"
)

// End tells whether an answer that ends with its connection is whole: whether its endpoint has run
// on. The end of the connection alone doesn't tell that, as the kernel also ends the connections
// of a killed process in order.
type End struct {
	pool    *Pool
	address netip.AddrPort

	// mu guards the fields below. companion is nil if there is none. kept is set if the
	// connection of the call was used before.
	mu        sync.Mutex
	companion *origin.Companion
	kept      bool
	closed    bool

	// late is set if the companion was opened after the call was sent.
	late bool

	// ending is set by Confirmed.
	ending waxwingwall.Ending
}

// WatchEnd returns an End for the call to an address that is made with the returned context. It must
// be closed.
func (p *Pool) WatchEnd(ctx context.Context, address netip.AddrPort) (*End, context.Context) {
	e := &End{
		pool:    p,
		address: address,
	}
	// The connection of the call comes first, and the companion before the call is sent.
	return e, httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { e.gotConn(ctx, info) },
	})
}

// gotConn opens the companion of a call, unless its connection was used before: a process that leaves
// serves these while another one may have its address. net/http may get a second connection for a call.
func (e *End) gotConn(ctx context.Context, info httptrace.GotConnInfo) {
	var companion *origin.Companion
	if !info.Reused {
		companion = e.pool.companions.Accompany(ctx, e.address)
	}
	e.setCompanion(companion, info.Reused)
}

// setCompanion replaces the companion.
func (e *End) setCompanion(companion *origin.Companion, kept bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept = kept
	if e.closed {
		companion.Close()
		return
	}
	e.companion.Close()
	e.companion = companion
}

// Framed reports whether the end of an answer is known without that of its connection. Then there
// is nothing left to tell.
func (e *End) Framed(res *http.Response) bool {
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	e.pool.companions.Framed(e.address, framed)
	if framed {
		e.Close()
	}
	return framed
}

// Accompany opens the companion of an answer whose end Confirmed will be asked for, if there was none
// when the call was sent.
func (e *End) Accompany(ctx context.Context) {
	e.mu.Lock()
	missing := !e.kept && !e.companion.Opened()
	e.mu.Unlock()
	if missing {
		e.setCompanion(e.pool.companions.AccompanyAnswer(ctx, e.address), false)
	}
	e.late = missing
}

// Confirmed reports whether the endpoint, which has just ended the connection of the answer in
// order, answers another request on the companion; any answer will do. Without one nothing confirms it.
func (e *End) Confirmed(ctx context.Context) bool {
	e.mu.Lock()
	companion := e.companion
	e.mu.Unlock()
	began := time.Now()
	e.ending = waxwingwall.Ending{
		Accompanied: !e.late && companion.Opened(),
	}
	defer func() { e.ending.Took = time.Since(began) }()
	if !companion.Settle(ctx) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	e.ending.Asked++
	answer, err := e.pool.companions.Do(ctx, origin.Request{
		Address:   e.address,
		Method:    http.MethodHead,
		Target:    "/",
		Host:      e.address.String(),
		Header:    http.Header{},
		Companion: companion,
	})
	if err != nil {
		return false
	}
	e.ending.Status = answer.Status
	e.ending.Confirmed = waxwingwall.ConfirmedByCompanion
	answer.Close()
	return true
}

// Ending returns how the answer ended, once Confirmed was called.
func (e *End) Ending() waxwingwall.Ending {
	return e.ending
}

// Close closes the companion.
func (e *End) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.companion.Close()
	e.companion = nil
}
