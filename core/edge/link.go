package edge

import (
	"net/netip"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// dialRetention is how long the duration of a dial is used to estimate the
	// queue on the VM's link. The queue of a full link empties in a fraction of
	// this time.
	dialRetention = 2 * time.Second

	// maxDials is the number of most recent dials that are considered. They must
	// have gone to at least minDialEndpoints different endpoints, so that a slow
	// endpoint isn't mistaken for a slow link.
	maxDials         = 8
	minDialEndpoints = 3

	// slowDial is the duration from which a dial indicates a queue on the link.
	// Without a queue, a dial takes a small fraction of it, even to another
	// failure domain.
	slowDial = 100 * time.Millisecond

	// fullLinkDelay is the queueing delay from which new requests are refused:
	// updates about leaving endpoints are delayed by as much, and must arrive
	// within 2 s.
	fullLinkDelay = time.Second

	// probeInterval is the time between the connections that test whether a full
	// link is still full.
	probeInterval = 300 * time.Millisecond

	// linkRoundTrips is the minimum number of times that a request waits in the
	// link's queue: to open its connection and to get its answer.
	linkRoundTrips = 2

	// maxDialTimeout limits the wait for a connection over a slow link.
	maxDialTimeout = 1500 * time.Millisecond
)

// Dialed is the event of a new connection to an endpoint, or of a failed
// attempt to open one.
type Dialed struct {
	effect.IsEvent

	// Address is the address of the endpoint.
	Address netip.AddrPort

	// Took is the time until the connection was open or the attempt ended.
	Took time.Duration

	// Failed is set if there is no connection. Abandoned is set if the request ended before
	// the attempt could tell; it shows the state of the link alone.
	Failed, Abandoned bool

	// Refused is set if the VM refused the connection: nothing listens there.
	Refused bool
}

// link is the estimated state of the VM's link. A queue on the link delays
// every new connection, whichever endpoint it goes to, so the fastest of the
// most recent connections indicates the length of the queue.
type link struct {
	dials []dial
	clear clearLink

	// loggedDelay is the last logged queueing delay.
	loggedDelay time.Duration

	// probedAt is when the last probe was sent; probes counts probes.
	probedAt time.Time
	probes   int
}

type dial struct {
	Dialed
	receivedAt time.Time
}

// addDial records a new connection.
func (l *link) addDial(now time.Time, ev Dialed) {
	if len(l.dials) == maxDials {
		l.dials = append(l.dials[:0], l.dials[1:]...)
	}
	l.dials = append(l.dials, dial{
		Dialed:     ev,
		receivedAt: now,
	})
}

// queueDelay returns the estimated queueing delay of the link; zero if there is
// no queue.
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

// handleDialed records a new connection and logs a change of the link's state.
func (e *Edge) handleDialed(ev Dialed) {
	if e.countsForLink(ev) {
		e.link.addDial(e.now, ev)
	}
	e.recordDial(ev)
	delay := e.link.queueDelay(e.now)
	if !ev.Failed && !ev.Abandoned || ev.Refused {
		e.link.clear.add(e.now, ev.Took)
	}
	if ev.Refused {
		e.crashes.addressChanged(e.now, ev.Address)
		e.countCrashes()
	}
	if delay >= clearRoundTrip {
		e.link.clear = clearLink{}
	}
	if delay >= fullLinkDelay == (e.link.loggedDelay >= fullLinkDelay) && (delay > 0) == (e.link.loggedDelay > 0) {
		return
	}
	e.link.loggedDelay = delay
	e.log("link_queue", "", field("wait", delay), field("full", delay >= fullLinkDelay), field("link_mbps", e.info.LinkMbps))
}

// checkLink refuses a request that would not complete over the VM's link in
// time.
func (e *Edge) checkLink(r *request) *waxwingwall.Problem {
	delay := e.link.queueDelay(e.now)
	if delay < fullLinkDelay && linkRoundTrips*delay < r.deadline.Sub(e.now) {
		return nil
	}
	return e.unavailableProblem("link_full", "the link of this router carries no more", max(delay, defaultRetryAfter))
}

// probeLink requests a connection while the full link carries no requests, and while
// updates from the store are missing. The endpoints take turns.
func (e *Edge) probeLink() {
	full := e.link.queueDelay(e.now) >= fullLinkDelay && e.now.Sub(e.link.probedAt) >= probeInterval
	if !full && !e.wantsClearProbe() {
		return
	}
	var all []netip.AddrPort
	for _, s := range e.config.configuration.Services {
		for _, row := range e.endpoints.byService[s.Name] {
			if !row.evacuated {
				all = append(all, row.replica.Address)
			}
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

// dialTimeout returns the time limit for a connection; zero selects the
// default.
func (e *Edge) dialTimeout() time.Duration {
	delay := e.link.queueDelay(e.now)
	if delay == 0 {
		return 0
	}
	return min(linkRoundTrips*delay, maxDialTimeout)
}
