package edge

import "time"

// A router must not send to an endpoint that left long ago. It knows of departures
// from the store's updates, which can be late: if the store is away, if it turns this
// router away, and if the router's own link is busy. The first is no reason to stop,
// since no router can know better then. The others are: other routers are up to date.
//
// A router whose list grows old asks a peer, and has what that one has. The list then
// holds all changes up to the age of the peer's list before the question was sent,
// however late the answer comes. If the list becomes too old nevertheless, nothing is
// sent by it unless the peers have no current list either. Quick round trips over the
// router's own link show nothing of the kind where there are peers: the store may turn
// this router away alone.

const (
	// sendReserve is the part of Bounds.EndpointDrain that is left to connect to an
	// endpoint and send a request after the decision, and arriveReserve the part that
	// is left after the connection is made.
	sendReserve   = 500 * time.Millisecond
	arriveReserve = 250 * time.Millisecond

	// dispatchReserve is the part of Bounds.EndpointDrain that is left when the last request is
	// dispatched, for one that needs no new connection. Between sendReserve and this the peers
	// learn that the list of this router is too old, and it learns that theirs are.
	dispatchReserve = 300 * time.Millisecond

	// clearRoundTrip is the duration below which a round trip shows that the link is
	// clear, and clearRetention how long it shows it.
	clearRoundTrip = 500 * time.Millisecond
	clearRetention = 1500 * time.Millisecond

	// minStaleReports is the number of recent reports of peers, none with a current list
	// of endpoints, that show that the store is away; fewer are enough if there are
	// fewer peers.
	minStaleReports = 8

	// currentLead is how long before the list of endpoints is too old peers are asked for
	// theirs.
	currentLead = 300 * time.Millisecond

	// minAgeGain is how much younger than a list that is about to be too old that of a peer
	// must be to ask for its age.
	minAgeGain = 100 * time.Millisecond

	// clearTime is how long the link must have been clear until missing updates mean
	// that the store is away, at a router without peers: a watch that was interrupted by
	// a busy link needs as long to continue.
	clearTime = 2 * time.Second

	// staleProbeAge is the age of the list of endpoints from which the router probes
	// its link, and staleProbeInterval the time between two probes. While all is well
	// the list is at most a little over a second old.
	staleProbeAge      = 1200 * time.Millisecond
	staleProbeInterval = time.Second

	// staleRetryAfter is the Retry-After time while the list of endpoints is too old.
	staleRetryAfter = time.Second
)

// CodeOldList is the code of the answer to a request for which the list of endpoints is too old.
const CodeOldList = "endpoints_unknown"

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
	return t.asOf.IsZero() || t.age(e.now) > e.staleFrom()
}

// staleFrom returns the age from which endpointsStale holds.
func (e *Edge) staleFrom() time.Duration {
	return e.bounds.EndpointDrain - sendReserve
}

// endpointsAge returns the age of the list of endpoints for peers; zero if there is none.
func (e *Edge) endpointsAge() time.Duration {
	t := &e.endpoints
	if t.asOf.IsZero() {
		return 0
	}
	return min(max(t.age(e.now), 1), maxDuration)
}

// endpointsAging reports whether endpointsStale is about to hold.
func (e *Edge) endpointsAging() bool {
	t := &e.endpoints
	return t.asOf.IsZero() || t.age(e.now) > e.agingFrom()
}

// agingFrom returns the age from which endpointsAging holds.
func (e *Edge) agingFrom() time.Duration {
	return e.staleFrom() - currentLead
}

// mayDispatch reports whether the list of endpoints and the evacuations are good enough to
// dispatch requests by them.
func (e *Edge) mayDispatch() bool {
	return !e.evacuationsStale() && (e.listUsable() || e.peersStale() || e.alone() && e.link.clear.longEnough(e.now))
}

// listUsable reports whether a request may be dispatched by the list of endpoints whatever the
// peers have.
func (e *Edge) listUsable() bool {
	t := &e.endpoints
	return !t.asOf.IsZero() && t.age(e.now) <= e.bounds.EndpointDrain-dispatchReserve
}

// alone reports whether there is no other router, as far as this one knows.
func (e *Edge) alone() bool {
	for i := range e.nodes.rows {
		if i.VM != e.Self.VM {
			return false
		}
	}
	return len(e.gossip.reports) == 0
}

// peersStale reports whether the peers have no current list of endpoints either.
func (e *Edge) peersStale() bool {
	n := 0
	for _, r := range e.gossip.reports {
		if e.now.Sub(r.receivedAt) > reportTTL {
			continue
		}
		if !e.peerStale(r) {
			return false
		}
		n++
	}
	return n >= max(1, min(minStaleReports, len(e.nodes.rows)-1))
}

// peerStale reports whether the list of endpoints of a peer is too old, or was about to be by
// its report and must be now. A peer reports at once if that has changed.
func (e *Edge) peerStale(r report) bool {
	return r.EndpointsStale || r.EndpointsAge > e.agingFrom() && r.EndpointsAge+e.now.Sub(r.receivedAt) > e.staleFrom()
}

// sendBy returns the time until which a request that is dispatched now may be sent. It is
// decided anew after that. While the store is away for all, that is soon: it may be back.
func (e *Edge) sendBy() time.Time {
	if !e.listUsable() {
		return e.now.Add(sendReserve)
	}
	by := e.endpoints.asOf.Add(e.bounds.EndpointDrain - arriveReserve)
	if e.evacuations.asOf.IsZero() {
		return by
	}
	evacuated := e.evacuations.asOf.Add(e.bounds.Evacuate - arriveReserve)
	if evacuated.Before(e.now.Add(arriveReserve)) {
		// It is too old, or about to be, and no peer has a younger one.
		evacuated = e.now.Add(sendReserve)
	}
	if evacuated.Before(by) {
		return evacuated
	}
	return by
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
