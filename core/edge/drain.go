package edge

import (
	"time"

	"waxwingwall/core/effect"
)

const (
	// stayTime is how long a router that is about to stop still takes requests:
	// callers keep the answer to where to connect for a while.
	stayTime = 2500 * time.Millisecond

	// lastTime is how much of the grace is kept for giving shares back.
	lastTime = 700 * time.Millisecond
)

// Drain begins a graceful stop.
func (e *Edge) Drain(now time.Time) []effect.Action {
	e.now = now
	if e.drain.IsZero() {
		e.drain = now
		e.note("drain_begins", "", field("requests", len(e.requests)))
		e.absorb(e.view.Leave(now))
		e.book.Retire(now)
		e.stepBook()
	}
	out := e.out
	e.out = nil
	return out
}

// leaving reports whether new requests are turned away.
func (e *Edge) leaving() bool {
	return !e.drain.IsZero() && e.now.Sub(e.drain) >= stayTime
}

// drainStep moves a graceful stop on.
func (e *Edge) drainStep() {
	if !e.leaving() {
		return
	}
	over := e.now.Sub(e.drain) >= e.bounds.Grace-lastTime
	if len(e.requests) > 0 && !over {
		return
	}
	if !e.book.Draining() {
		e.book.Drain(e.now)
		e.stepBook()
	}
	if !e.book.Drained() && !over {
		return
	}
	if e.book.Drained() && e.nodes.registered {
		e.nodes.registered = false
		e.dropNode(e.Self)
	}
	e.do(Drained{})
}
