package edge

import (
	"net/netip"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// dialRetention is how long a new connection tells of the VM's own link: a few
	// times as long as a full link takes to empty.
	dialRetention = 2 * time.Second

	// maxDials is how many of the last new connections are looked at, and
	// linkEndpoints to how many endpoints they have to go at least, so that a
	// slow endpoint isn't taken for a slow link.
	maxDials         = 8
	minDialEndpoints = 3

	// slowDial is how long even the quickest new connection takes over a link on
	// which bytes queue: many times what a connection between failure domains
	// takes.
	slowDial = 100 * time.Millisecond

	// fullLinkDelay is from when on nothing new is sent: what the router hears of
	// leaving endpoints is as late, and has to be known within 2 s.
	fullLinkDelay = time.Second

	// probeInterval is the time between the connections that are made to see whether
	// a full link still is.
	probeInterval = 300 * time.Millisecond

	// linkRoundTrips is over how many times the queue a request has to come at least:
	// the opening of its connection and its answer.
	linkRoundTrips = 2

	// maxDialTimeout bounds the wait for a connection over a slow link.
	maxDialTimeout = 1500 * time.Millisecond
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

	// loggedDelay is the queue as last noted.
	loggedDelay time.Duration

	// probedAt is when the last probe was sent, probes counts them.
	probedAt time.Time
	probes   int
}

type dial struct {
	Dialed
	receivedAt time.Time
}

// addDial takes in a new connection.
func (l *link) addDial(now time.Time, ev Dialed) {
	if len(l.dials) == maxDials {
		l.dials = append(l.dials[:0], l.dials[1:]...)
	}
	l.dials = append(l.dials, dial{
		Dialed:     ev,
		receivedAt: now,
	})
}

// queueDelay returns how long bytes wait on the link, zero if it is free.
func (l *link) queueDelay(now time.Time) time.Duration {
	var shortest time.Duration
	var endpoints []netip.AddrPort
	for _, d := range l.dials {
		if now.Sub(d.receivedAt) > dialRetention {
			continue
		}
		if d.Took < slowDial {
			return 0
		}
		if len(endpoints) == 0 || d.Took < shortest {
			shortest = d.Took
		}
		if !slices.Contains(endpoints, d.Address) {
			endpoints = append(endpoints, d.Address)
		}
	}
	if len(endpoints) < minDialEndpoints {
		return 0
	}
	return shortest
}

// handleDialed takes in a new connection and logs a change of the belief.
func (e *Edge) handleDialed(ev Dialed) {
	e.link.addDial(e.now, ev)
	delay := e.link.queueDelay(e.now)
	if delay >= fullLinkDelay == (e.link.loggedDelay >= fullLinkDelay) && (delay > 0) == (e.link.loggedDelay > 0) {
		return
	}
	e.link.loggedDelay = delay
	e.log("link_queue", "", field("wait", delay), field("full", delay >= fullLinkDelay), field("link_mbps", e.info.LinkMbps))
}

// checkLink refuses a request that would not come over the VM's link in time.
func (e *Edge) checkLink(r *request) *waxwingwall.Problem {
	delay := e.link.queueDelay(e.now)
	if delay < fullLinkDelay && linkRoundTrips*delay < r.deadline.Sub(e.now) {
		return nil
	}
	return e.unavailableProblem("link_full", "the link of this router carries no more", max(delay, defaultRetryAfter))
}

// probeLink asks for a connection while nothing else is sent. The endpoints take
// turns.
func (e *Edge) probeLink() {
	if e.link.queueDelay(e.now) < fullLinkDelay || e.now.Sub(e.link.probedAt) < probeInterval {
		return
	}
	var all []netip.AddrPort
	for _, s := range e.config.configuration.Services {
		for _, row := range e.endpoints.byService[s.Name] {
			all = append(all, row.replica.Address)
		}
	}
	if len(all) == 0 {
		return
	}
	e.link.probedAt = e.now
	e.link.probes++
	e.emit(Probe{
		Address:     all[e.link.probes%len(all)],
		DialTimeout: maxDialTimeout,
	})
}

// dialTimeout is how long to wait for a connection; zero stands for the usual time.
func (e *Edge) dialTimeout() time.Duration {
	delay := e.link.queueDelay(e.now)
	if delay == 0 {
		return 0
	}
	return min(linkRoundTrips*delay, maxDialTimeout)
}
