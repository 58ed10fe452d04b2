package edge

import (
	"net/netip"
	"time"
)

// candidate is a router to which callers may be sent.
type candidate struct {
	address netip.AddrPort

	// link is the speed of its link in Mbit/s, zero if it isn't known; running
	// counts its requests.
	link, running int
}

// Addresses returns where callers may connect: the routers that are heard and
// not about to stop. Those with slow links and those that are much busier than
// the others are left out while enough others are there: a few large callers
// stay with the routers that they know until these are no longer listed.
func (e *Edge) Addresses(now time.Time) ([]netip.AddrPort, time.Duration) {
	all := e.candidates(now)
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
	return addresses, e.bounds.AddressTTL
}

// filterCandidates returns the candidates that are good, or all if too few are.
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

// candidates returns the routers that serve, this one first.
func (e *Edge) candidates(now time.Time) []candidate {
	var all []candidate
	if e.Ready() {
		all = append(all, candidate{
			address: e.info.Callers,
			link:    e.info.LinkMbps,
			running: len(e.requests),
		})
	}
	for _, p := range e.view.Peers(now) {
		if !p.Alive || p.Suspect || !p.Reachable || p.Leaving || !p.Callers.IsValid() {
			continue
		}
		c := candidate{
			address: p.Callers,
		}
		if n := e.nodes.rows[p.Incarnation]; n != nil {
			c.link = n.row.LinkMbps
		}
		for _, l := range e.gossip.reports[p.Incarnation].Loads {
			c.running += l.Running
		}
		all = append(all, c)
	}
	return all
}
