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

	// overloadTime is how long callers must ask for that much. A burst of bodies passes in
	// less.
	overloadTime = 300 * time.Millisecond
)

// LinkAsked is the event of a new measurement of what callers ask of the VM's link.
type LinkAsked struct {
	effect.IsEvent

	// Part is what they ask for as a part of the link's speed, refused requests included;
	// 0 if the speed is not known.
	Part float64
}

// overload is the state of the VM's link by what callers ask for.
type overload struct {
	// part is that of the newest LinkAsked.
	part float64

	// since is when part reached overloadedPart; zero while it is less. It counts as an
	// overload after overloadTime, which logged shows.
	since  time.Time
	logged bool
}

// handleLinkAsked records what callers ask of the link and logs the begin and the end of an
// overload.
func (e *Edge) handleLinkAsked(ev LinkAsked) {
	o := &e.overload
	o.part = ev.Part
	if ev.Part < overloadedPart {
		o.since = time.Time{}
	} else if o.since.IsZero() {
		o.since = e.now
	}
	if e.overloaded() == o.logged {
		return
	}
	o.logged = !o.logged
	account, requests := e.largestAccount()
	e.log("link_overloaded", "", field("overloaded", o.logged), field("asked", o.part), field("link_mbps", e.info.LinkMbps),
		field("account", account), field("of_account", requests), field("requests", len(e.requests)))
}

// overloaded reports whether callers have asked for more than the link carries in time for
// overloadTime.
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
