package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// suspectTurnDelay is the additional wait of a suspect for an endpoint, for
// each router that precedes its own in the endpoint's order. It is several
// times the delivery time of a message between routers, so that the router
// learns of suspects that others dispatched before.
const suspectTurnDelay = 100 * time.Millisecond

// isSuspect reports whether runs of the job's fingerprint ended with a crash.
func (s *Scheduler) isSuspect(now time.Time, j *job) bool {
	return s.crashes.Len() > 0 && s.crashes.Crashes(now, j.work.Fingerprint) > 0
}

// canIsolate reports whether the endpoint runs no other suspect of any router,
// so that its next crash identifies the cause. Routers take turns at an
// endpoint, because one crash creates suspects at several routers at the same
// time.
func (s *Scheduler) canIsolate(now time.Time, j *job, e *endpoint) bool {
	if s.runsSuspect(now, e, j) || s.peerRunsSuspect(now, e) {
		e.lastSuspect = now
		return false
	}
	since := latest(j.queuedAt, e.backoffUntil, e.lastSuspect)
	return now.Sub(since) >= time.Duration(s.turnIndex(now, e))*suspectTurnDelay
}

// latest returns the latest of the given times.
func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// runsSuspect reports whether this router runs a suspect other than except on the
// endpoint.
func (s *Scheduler) runsSuspect(now time.Time, e *endpoint, except *job) bool {
	for _, r := range e.running {
		if r != except && s.isSuspect(now, r) {
			return true
		}
	}
	return false
}

// peerRunsSuspect reports whether a live peer reported that it runs a suspect
// on the endpoint.
func (s *Scheduler) peerRunsSuspect(now time.Time, e *endpoint) bool {
	for _, p := range s.peers {
		if !p.live(now, s.intervalFactor()) {
			continue
		}
		for _, l := range p.lastDemand.Loads {
			if l.Suspect && l.Endpoint == e.spec.Name {
				return true
			}
		}
	}
	return false
}

// turnIndex returns the number of live routers that precede this one in the
// endpoint's order, which is the same at all routers.
func (s *Scheduler) turnIndex(now time.Time, e *endpoint) int {
	n := 0
	ownHash := rendezvousHash(xxhash.Sum64String(s.self.String()), e.spec.Name)
	for _, p := range s.peers {
		if p.live(now, s.intervalFactor()) && rendezvousHash(xxhash.Sum64String(p.inc.String()), e.spec.Name) > ownHash {
			n++
		}
	}
	return n
}

// announceSuspect notifies the peers at once of the dispatch of a suspect.
func (s *Scheduler) announceSuspect(now time.Time, j *job) {
	if s.isSuspect(now, j) && !s.self.IsZero() {
		s.pendingActions = append(s.pendingActions, s.sendDemand(now, nil)...)
	}
}
