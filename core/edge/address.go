package edge

import (
	"net/netip"
	"slices"
	"time"
)

// listInterval is how long a list of addresses is used while neither this router nor the
// state of a peer changes: all routers are gone through for it.
const listInterval = 200 * time.Millisecond

// listing is the result of RecentAddresses, as of the time at.
type listing struct {
	addresses  []netip.AddrPort
	ready      bool
	peersEpoch int
	at         time.Time
}

// candidate is a router that may be listed to callers.
type candidate struct {
	address netip.AddrPort

	// link is the speed of the router's link in Mbit/s, zero if unknown, which
	// counts as slow; running counts the router's requests in flight.
	link, running int

	// out is set if the router is out of rotation.
	out bool

	// cut is set if the router reaches a service only through peers, stale if its list of
	// endpoints is too old.
	cut, stale bool
}

// Addresses returns the addresses to which callers may connect: those of the
// routers that are reachable and not leaving. Routers whose list of endpoints is too
// old, routers with slow links and routers that are much busier than the others are
// omitted while enough others remain: a few large callers keep using the routers that they know until these
// are no longer listed. Callers that the platform places take no account of this; see rotation.
func (e *Edge) Addresses(now time.Time) ([]netip.AddrPort, time.Duration) {
	return e.selectAddresses(now), e.bounds.AddressTTL
}

// RecentAddresses is like Addresses, but the result may be as old as listInterval. It costs
// little when it is called in each tick.
func (e *Edge) RecentAddresses(now time.Time) ([]netip.AddrPort, time.Duration) {
	l := &e.listed
	if l.ready != e.Ready() || l.peersEpoch != e.nodes.peersEpoch || now.Sub(l.at) >= listInterval {
		l.addresses = e.selectAddresses(now)
		l.ready = e.Ready()
		l.peersEpoch = e.nodes.peersEpoch
		l.at = now
	}
	return l.addresses, e.bounds.AddressTTL
}

// selectAddresses returns the addresses of the routers that callers should use.
func (e *Edge) selectAddresses(now time.Time) []netip.AddrPort {
	all := withoutCut(e.candidates(now))
	all = filterCandidates(all, func(c candidate) bool { return !c.out })
	all = filterCandidates(all, func(c candidate) bool { return !c.stale })
	fastest := 0
	for _, c := range all {
		fastest = max(fastest, c.link)
	}
	all = filterCandidates(all, func(c candidate) bool { return c.link*slowLinkFactor >= fastest })
	sum := 0
	for _, c := range all {
		sum += c.running
	}
	all = filterCandidates(all, func(c candidate) bool {
		return c.running*len(all) <= busyFactor*sum+busySlack*len(all)
	})
	addresses := make([]netip.AddrPort, 0, len(all))
	for _, c := range all {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// withoutCut returns the candidates that reach all services themselves, or all candidates if
// fewer than half do: the rest could not take the load of all, and tunnels cost them less.
func withoutCut(all []candidate) []candidate {
	kept := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return c.cut })
	if 2*len(kept) < len(all) {
		return all
	}
	return kept
}

// filterCandidates returns the accepted candidates, or all if too few are
// accepted.
func filterCandidates(all []candidate, accept func(candidate) bool) []candidate {
	var kept []candidate
	for _, c := range all {
		if accept(c) {
			kept = append(kept, c)
		}
	}
	if len(kept) < min(minListed, len(all)) {
		return all
	}
	return kept
}

// candidates returns the routers that accept callers, this one first.
func (e *Edge) candidates(now time.Time) []candidate {
	var all []candidate
	if e.Ready() {
		all = append(all, candidate{
			address: e.info.Callers,
			link:    e.info.LinkMbps,
			running: len(e.requests),
			cut:     len(e.cuts()) > 0,
			stale:   !e.mayDispatch(),
		})
	}
	for _, p := range e.view.Peers(now) {
		if !p.Alive || p.Suspect || !p.Reachable || p.Leaving || !p.Callers.IsValid() {
			continue
		}
		c := candidate{
			address: p.Callers,
			link:    e.peerLink(p.Incarnation),
			running: e.peerRunning(p.Incarnation),
			out:     e.peerOut(p.Incarnation),
			cut:     len(e.gossip.reports[p.Incarnation].Cuts) > 0,
			stale:   e.peerStale(e.gossip.reports[p.Incarnation]),
		}
		all = append(all, c)
	}
	return all
}
