package edge

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// overloadedPart is the part of the link's speed from which what callers ask for delays
	// the answers and the updates of the store, which share the link with it.
	overloadedPart = 0.8

	// loadedPart is the part from which callers count as the cause if events wait
	// overloadedWait for a decision, as the processor is too slow for them.
	loadedPart     = 0.3
	overloadedWait = 100 * time.Millisecond

	// waitRetention is how long such a wait counts: a VM that may use a part of a processor stands still
	// and runs by turns, and nothing waits for long while it runs.
	waitRetention = 600 * time.Millisecond

	// overloadTime is how long that must last. A burst of bodies passes in less.
	overloadTime = 300 * time.Millisecond
)

// CallerLoad is the event of a new measurement of what callers ask of the VM.
type CallerLoad struct {
	effect.IsEvent

	// LinkPart is what they ask of the link as a part of its speed, refused requests
	// included; 0 if the speed is not known.
	LinkPart float64

	// Wait is the longest time that an event has waited for a decision since the last
	// measurement, or by which this one is late.
	Wait time.Duration
}

// overload is the state of the VM by what callers ask for.
type overload struct {
	// load is the newest measurement.
	load CallerLoad

	// waitedAt is when an event had last waited overloadedWait.
	waitedAt time.Time

	// since is when the load became too much; zero while it is not. It counts as an overload
	// after overloadTime, which logged shows.
	since  time.Time
	logged bool

	// movedSince is since when callers have asked for movedPart of the link; zero if for less.
	movedSince time.Time
}

// handleCallerLoad records what callers ask of the VM and logs the begin and the end of an
// overload.
func (e *Edge) handleCallerLoad(ev CallerLoad) {
	o := &e.overload
	o.load = ev
	if ev.Wait >= overloadedWait {
		o.waitedAt = e.now
	}
	waits := !o.waitedAt.IsZero() && e.now.Sub(o.waitedAt) < waitRetention
	switch {
	case ev.LinkPart < overloadedPart && (ev.LinkPart < loadedPart || !waits):
		o.since = time.Time{}
	case o.since.IsZero():
		o.since = e.now
	}
	switch {
	case ev.LinkPart < movedPart:
		o.movedSince = time.Time{}
	case o.movedSince.IsZero():
		o.movedSince = e.now
	}
	if e.overloaded() == o.logged {
		return
	}
	o.logged = !o.logged
	account, requests := e.largestAccount()
	e.log("overloaded", "", field("overloaded", o.logged), field("asked", o.load.LinkPart), field("wait", o.load.Wait), field("link_mbps", e.info.LinkMbps),
		field("account", account), field("of_account", requests), field("requests", len(e.requests)))
}

// overloaded reports whether callers have asked for more than the link or the processor does in
// time for overloadTime.
func (e *Edge) overloaded() bool {
	since := e.overload.since
	return !since.IsZero() && e.now.Sub(since) >= overloadTime
}

// largestAccount returns the client account with most requests in flight here, and their
// number.
func (e *Edge) largestAccount() (waxwingwall.Account, int) {
	counts := map[waxwingwall.Account]int{}
	var largest waxwingwall.Account
	for _, r := range e.requests {
		if r.account == nil {
			continue
		}
		name := r.account.Name
		counts[name]++
		if n := counts[name]; n > counts[largest] || n == counts[largest] && name < largest {
			largest = name
		}
	}
	return largest, counts[largest]
}
