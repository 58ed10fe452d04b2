package edge

import (
	"net/netip"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// linkMemory is how long a new connection tells of the VM's own link: a few
	// times as long as a full link takes to empty.
	linkMemory = 2 * time.Second

	// linkDials is how many of the last new connections are looked at, and
	// linkEndpoints to how many endpoints they have to go at least, so that a
	// slow endpoint isn't taken for a slow link.
	linkDials     = 8
	linkEndpoints = 3

	// linkSlow is how long even the quickest new connection takes over a link on
	// which bytes queue: many times what a connection between failure domains
	// takes.
	linkSlow = 100 * time.Millisecond

	// linkFull is from when on nothing new is sent: what the router hears of
	// leaving endpoints is as late, and has to be known within 2 s.
	linkFull = time.Second

	// linkProbe is the time between the connections that are made to see whether
	// a full link still is.
	linkProbe = 300 * time.Millisecond

	// linkTrips is over how many times the queue a request has to come at least:
	// the opening of its connection and its answer.
	linkTrips = 2

	// longestDial bounds the wait for a connection over a slow link.
	longestDial = 1500 * time.Millisecond
)

// Dialed tells how long a new connection to an endpoint took, or was waited for.
type Dialed struct {
	effect.IsEvent

	// Address is the endpoint's.
	Address netip.AddrPort

	// Took is the time until the connection was open or given up on.
	Took time.Duration
}

// link is what is believed of the VM's own link. A queue on it delays every new
// connection, whichever endpoint it goes to, so the quickest of the last ones
// tells how long the queue is.
type link struct {
	dials []dial

	// wait is the queue as last noted.
	wait time.Duration

	// probed is when the last probe was sent, probes counts them.
	probed time.Time
	probes int
}

type dial struct {
	Dialed
	at time.Time
}

// dialed takes in a new connection.
func (l *link) dialed(now time.Time, ev Dialed) {
	if len(l.dials) == linkDials {
		l.dials = append(l.dials[:0], l.dials[1:]...)
	}
	l.dials = append(l.dials, dial{
		Dialed: ev,
		at:     now,
	})
}

// queue returns how long bytes wait on the link, zero if it is free.
func (l *link) queue(now time.Time) time.Duration {
	var quickest time.Duration
	var endpoints []netip.AddrPort
	for _, d := range l.dials {
		if now.Sub(d.at) > linkMemory {
			continue
		}
		if d.Took < linkSlow {
			return 0
		}
		if len(endpoints) == 0 || d.Took < quickest {
			quickest = d.Took
		}
		if !slices.Contains(endpoints, d.Address) {
			endpoints = append(endpoints, d.Address)
		}
	}
	if len(endpoints) < linkEndpoints {
		return 0
	}
	return quickest
}

// dialed takes in a new connection and logs a change of the belief.
func (e *Edge) dialed(ev Dialed) {
	e.link.dialed(e.now, ev)
	queue := e.link.queue(e.now)
	if queue >= linkFull == (e.link.wait >= linkFull) && (queue > 0) == (e.link.wait > 0) {
		return
	}
	e.link.wait = queue
	e.note("link_queue", "", field("wait", queue), field("full", queue >= linkFull), field("link_mbps", e.place.LinkMbps))
}

// linkRefusal refuses a request that would not come over the VM's link in time.
func (e *Edge) linkRefusal(r *request) *waxwingwall.Problem {
	queue := e.link.queue(e.now)
	if queue < linkFull && linkTrips*queue < r.until.Sub(e.now) {
		return nil
	}
	return e.unavailable("link_full", "the link of this router carries no more", max(queue, backSoon))
}

// probeLink asks for a connection while nothing else is sent. The endpoints take
// turns.
func (e *Edge) probeLink() {
	if e.link.queue(e.now) < linkFull || e.now.Sub(e.link.probed) < linkProbe {
		return
	}
	var all []netip.AddrPort
	for _, s := range e.rules.configuration.Services {
		for _, row := range e.endpoints.byService[s.Name] {
			all = append(all, row.replica.Address)
		}
	}
	if len(all) == 0 {
		return
	}
	e.link.probed = e.now
	e.link.probes++
	e.do(Probe{
		Address:     all[e.link.probes%len(all)],
		DialTimeout: longestDial,
	})
}

// dialTime is how long to wait for a connection; zero stands for the usual time.
func (e *Edge) dialTime() time.Duration {
	queue := e.link.queue(e.now)
	if queue == 0 {
		return 0
	}
	return min(linkTrips*queue, longestDial)
}
