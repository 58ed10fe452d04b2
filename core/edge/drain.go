package edge

import (
	"maps"
	"slices"
	"time"

	"waxwingwall/core/effect"
)

const (
	// drainAcceptTime is how long a draining router still accepts requests:
	// callers cache the list of routers for a while.
	drainAcceptTime = 2500 * time.Millisecond

	// drainReserve is the part of the grace period reserved for returning shares.
	drainReserve = 700 * time.Millisecond
)

// Drain begins a graceful stop.
func (e *Edge) Drain(now time.Time) []effect.Action {
	e.now = now
	if e.drainStart.IsZero() {
		e.drainStart = now
		e.limiterStale = true
		e.log("drain_begins", "", field("requests", len(e.requests)))
		e.handleActions(e.view.Leave(now))
		e.book.Retire(now)
		e.stepBook()
	}
	out := e.out
	e.out = nil
	return out
}

// refusesRequests reports whether new requests are refused.
func (e *Edge) refusesRequests() bool {
	return !e.drainStart.IsZero() && e.now.Sub(e.drainStart) >= drainAcceptTime
}

// refuseWaiting refuses the requests that wait for tokens, a permit or the version of their
// stream: there is no time left to run them.
func (e *Edge) refuseWaiting() {
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if r := e.requests[id]; r.endpoint == nil && !r.mayHaveRun() {
			e.refuse(r, e.unavailableProblem("stopping", "this router stops", defaultRetryAfter))
		}
	}
}

// drainStep advances a graceful stop.
func (e *Edge) drainStep() {
	if !e.refusesRequests() {
		return
	}
	timedOut := e.now.Sub(e.drainStart) >= e.bounds.Grace-drainReserve
	if len(e.requests) > 0 && !timedOut {
		return
	}
	e.refuseWaiting()
	if !e.book.Draining() {
		e.book.Drain(e.now)
		e.stepBook()
	}
	if !e.book.Drained() && !timedOut {
		return
	}
	if e.book.Drained() && e.nodes.registered {
		e.nodes.registered = false
		e.deleteNode(e.Self)
	}
	if !e.drainLogged {
		e.drainLogged = true
		e.log("drain_ends", "", field("requests", len(e.requests)), field("after", e.now.Sub(e.drainStart)))
	}
	e.emit(Drained{})
}
