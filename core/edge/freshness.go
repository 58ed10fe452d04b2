package edge

import "time"

// A router must not send to an endpoint that left long ago. It knows of departures
// from the store's updates, which can be late: if the store is away, and if the
// router's own link is busy. The first is no reason to stop, since no router can
// know better then. The second is: other routers are up to date and can take the
// requests. Two observations show that the link is not the cause: quick round trips
// to endpoints for some time without any update, and peers that miss the updates as
// well.

const (
	// sendReserve is the part of Bounds.EndpointDrain that is left to connect to an
	// endpoint and send a request after the decision, and arriveReserve the part that
	// is left after the connection is made.
	sendReserve   = 500 * time.Millisecond
	arriveReserve = 250 * time.Millisecond

	// clearRoundTrip is the duration below which a round trip shows that the link is
	// clear, and clearRetention how long it shows it.
	clearRoundTrip = 500 * time.Millisecond
	clearRetention = 1500 * time.Millisecond

	// minStaleReports is the number of recent reports of peers, none with a current list
	// of endpoints, that show that the store is away; fewer are enough if there are
	// fewer peers.
	minStaleReports = 8

	// clearTime is how long the link must have been clear until missing updates mean
	// that the store is away: a watch that was interrupted by a busy link needs as
	// long to continue.
	clearTime = 2 * time.Second

	// staleProbeAge is the age of the list of endpoints from which the router probes
	// its link, and staleProbeInterval the time between two probes. While all is well
	// the list is at most a little over a second old.
	staleProbeAge      = 1200 * time.Millisecond
	staleProbeInterval = time.Second

	// staleRetryAfter is the Retry-After time while the list of endpoints is too old.
	staleRetryAfter = time.Second
)

// clearLink is a series of quick round trips over the VM's link, with less than
// clearRetention between two of them.
type clearLink struct {
	first, last time.Time
}

// add records a round trip.
func (c *clearLink) add(now time.Time, took time.Duration) {
	if took >= clearRoundTrip {
		return
	}
	if now.Sub(c.last) > clearRetention {
		c.first = now
	}
	c.last = now
}

// longEnough reports whether the series lasts and began at least clearTime ago.
func (c *clearLink) longEnough(now time.Time) bool {
	return now.Sub(c.last) <= clearRetention && now.Sub(c.first) >= clearTime
}

// endpointsStale reports whether an endpoint that the list of endpoints shows as
// usable may have left too long ago.
func (e *Edge) endpointsStale() bool {
	t := &e.endpoints
	return t.asOf.IsZero() || t.age(e.now) > e.bounds.EndpointDrain-sendReserve
}

// mayDispatch reports whether the list of endpoints is good enough to dispatch
// requests by it.
func (e *Edge) mayDispatch() bool {
	return !e.endpointsStale() || e.link.clear.longEnough(e.now) || e.peersStale()
}

// peersStale reports whether the peers have no current list of endpoints either.
func (e *Edge) peersStale() bool {
	n := 0
	for _, r := range e.gossip.reports {
		if e.now.Sub(r.receivedAt) > reportTTL {
			continue
		}
		if !r.EndpointsStale {
			return false
		}
		n++
	}
	return n >= max(1, min(minStaleReports, len(e.nodes.rows)-1))
}

// sendBy returns the time until which a request that is dispatched now may be sent;
// zero if it has no limit.
func (e *Edge) sendBy() time.Time {
	if e.endpointsStale() {
		return time.Time{}
	}
	return e.endpoints.asOf.Add(e.bounds.EndpointDrain - arriveReserve)
}

// wantsClearProbe reports whether the router needs another round trip to know
// whether its link is clear.
func (e *Edge) wantsClearProbe() bool {
	t := &e.endpoints
	return (t.asOf.IsZero() || t.age(e.now) > staleProbeAge) &&
		e.now.Sub(e.link.clear.last) >= staleProbeInterval && e.now.Sub(e.link.probedAt) >= staleProbeInterval
}

// LinkSuspect reports whether the router's own link may delay what endpoints send: new
// connections to several of them are slow, or updates from the store are late and
// nothing shows that the link is clear. Silence of an endpoint means nothing then.
func (e *Edge) LinkSuspect(now time.Time) bool {
	return e.link.queueDelay(now) > 0 || e.endpoints.age(now) > staleProbeAge && !e.link.clear.longEnough(now)
}
