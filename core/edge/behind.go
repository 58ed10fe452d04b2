package edge

import (
	"cmp"
	"slices"
	"time"

	"waxwingwall"
)

// The store may turn some routers away while it serves others. These get the configuration
// and the endpoints from peers that have newer ones.

// newsWait is the wait for one kind of state that peers have and this router has not.
type newsWait struct {
	// since is the time from which some peer has had newer state than this router; zero
	// while none has. What other peers report does not change it.
	since time.Time

	// askedAt is the time of the last AskNews for this state, asked the peer that got it.
	askedAt time.Time
	asked   waxwingwall.Incarnation
}

// next returns the peer to ask now, if one is to be asked: any of those that are known to
// have newer state, and another one than before if there are several. choose returns a
// number below n.
func (w *newsWait) next(now time.Time, ahead []waxwingwall.Incarnation, choose func(n int) int) (waxwingwall.Incarnation, bool) {
	if len(ahead) == 0 || now.Sub(w.since) < askDelay || now.Sub(w.askedAt) < askInterval {
		return waxwingwall.Incarnation{}, false
	}
	if last := slices.Index(ahead, w.asked); last >= 0 && len(ahead) > 1 {
		ahead = slices.Delete(ahead, last, last+1)
	}
	w.askedAt = now
	w.asked = ahead[choose(len(ahead))]
	return w.asked, true
}

// askNews requests newer state from peers that have had it for some time.
func (e *Edge) askNews() {
	g := &e.gossip
	versions := e.peersAhead(&g.configuration, func(r report) bool { return r.Version > e.config.version })
	revisions := e.peersAhead(&g.endpoints, func(r report) bool { return r.Revision > e.endpoints.revision || e.tellsAge(r) })
	if to, ok := g.configuration.next(e.now, versions, e.rng.IntN); ok {
		e.send(to, AskNews{
			Version:  e.config.version,
			Revision: maxRevision,
		})
	}
	if !e.takesEndpoints() {
		return
	}
	asked := time.Duration(0)
	if e.endpointsAging() {
		revisions = e.bestLists(revisions)
		asked = e.newsClock()
	}
	if to, ok := g.endpoints.next(e.now, revisions, e.rng.IntN); ok {
		e.send(to, AskNews{
			Version:  maxVersion,
			Revision: e.endpoints.revision,
			Asked:    asked,
		})
	}
}

// tellsAge reports whether the answer of a peer can show that this router's list of endpoints,
// which is about to be too old, is less old than it is known to be.
func (e *Edge) tellsAge(r report) bool {
	switch {
	case !e.endpointsAging() || e.peerStale(r):
		return false
	case r.EndpointsAge == 0 || e.gossip.livePeers <= reportFanout:
		return true
	}
	return r.EndpointsAge+e.now.Sub(r.receivedAt) < e.agingFrom()-minAgeGain
}

// bestLists returns those of the peers that have newer lists of endpoints which are current.
// If there are none, it returns those with newer lists, and if there are none, all.
func (e *Edge) bestLists(peers []waxwingwall.Incarnation) []waxwingwall.Incarnation {
	filter := func(all []waxwingwall.Incarnation, accept func(r report) bool) []waxwingwall.Incarnation {
		kept := slices.DeleteFunc(slices.Clone(all), func(p waxwingwall.Incarnation) bool { return !accept(e.gossip.reports[p]) })
		if len(kept) == 0 {
			return all
		}
		return kept
	}
	peers = filter(peers, func(r report) bool { return r.Revision > e.endpoints.revision })
	return filter(peers, func(r report) bool { return !e.peerStale(r) })
}

// newsClock returns the time of AskNews.Asked. It is never zero.
func (e *Edge) newsClock() time.Duration {
	g := &e.gossip
	if g.clockStart.IsZero() {
		g.clockStart = e.now.Add(-1)
	}
	return e.now.Sub(g.clockStart)
}

// newsDate returns the time up to which something of an age in the news of a peer holds all
// changes. It returns false if the peer does not tell.
func (e *Edge) newsDate(m News, age time.Duration) (time.Time, bool) {
	if m.Asked <= 0 || m.Asked > e.newsClock() {
		return time.Time{}, false
	}
	return e.gossip.clockStart.Add(m.Asked - age), true
}

// peersAhead returns the peers whose newest reports show newer state, in order, and begins or
// ends the wait for it.
func (e *Edge) peersAhead(w *newsWait, newer func(r report) bool) []waxwingwall.Incarnation {
	var ahead []waxwingwall.Incarnation
	for from, r := range e.gossip.reports {
		if e.now.Sub(r.receivedAt) <= reportTTL && newer(r) {
			ahead = append(ahead, from)
		}
	}
	if len(ahead) == 0 {
		w.since = time.Time{}
	} else if w.since.IsZero() {
		w.since = e.now
	}
	slices.SortFunc(ahead, func(a, b waxwingwall.Incarnation) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Boot, b.Boot))
	})
	return ahead
}

// takesEndpoints reports whether the endpoints of a peer may replace this router's, which
// the store does not keep up to date.
func (e *Edge) takesEndpoints() bool {
	return e.endpoints.storeUnavailable || !e.endpoints.complete || e.endpointsAging()
}

// configOutdated reports whether a peer has a newer configuration.
func (e *Edge) configOutdated() bool {
	return e.gossip.newestVersion > e.config.version
}

// answerAskNews sends a peer the state that is newer than its own.
func (e *Edge) answerAskNews(to waxwingwall.Incarnation, m AskNews) {
	n := News{
		Evacuations: e.evacuationState(),
		Blocked:     e.crashes.table.List(e.now, maxBlockedNotices, true),
	}
	if e.config.version > m.Version {
		n.Configuration = e.config.configuration
	}
	if e.endpoints.complete && e.endpoints.revision > m.Revision {
		n.Revision = e.endpoints.revision
		for _, rows := range e.endpoints.byService {
			for _, row := range rows {
				n.Replicas = append(n.Replicas, e.agedReplica(row))
			}
		}
	}
	if t := &e.endpoints; t.complete && !t.asOf.IsZero() {
		n.Asked = m.Asked
		n.Age = e.endpointsAge()
	}
	e.send(to, n)
}

// handleNews applies newer state from a peer.
func (e *Edge) handleNews(from waxwingwall.Incarnation, m News) {
	if err := m.check(); err != nil {
		e.log("message_rejected", "", field("peer", waxwingwall.Excerpt(from.String())), field("message", "news"), field("cause", waxwingwall.Excerpt(err.Error())))
		return
	}
	evacuated, _ := e.newsDate(m, m.Evacuations.Age)
	e.learnEvacuations(from, m.Evacuations, evacuated)
	e.learnCrashes(from, "news", m.Blocked)
	e.applyConfiguration(m.Configuration, "peer")
	t := &e.endpoints
	m.Replicas = validReplicas(m.Replicas)
	newer := m.Revision > t.revision && e.takesEndpoints()
	if newer {
		e.beforeReplicas(true)
	}
	// What is not merged may be newer than this router's list, and then its date is not that
	// of this list.
	asOf, dated := e.newsDate(m, m.Age)
	if dated && asOf.After(t.asOf) && (newer || t.complete && m.Revision <= t.revision) {
		t.asOf = asOf
	}
	if newer {
		e.mergeReplicas(Replicas{
			Snapshot: true,
			Replicas: m.Replicas,
			Revision: m.Revision,
		}, "peer")
		t.peerRevision = m.Revision
	}
}
