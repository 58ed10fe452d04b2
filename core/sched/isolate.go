package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// suspectTurn is by how much longer a suspect waits for an endpoint for each
// router before its own in the endpoint's order: several times what a message
// between routers takes, so that it learns of suspects that were started before.
const suspectTurn = 100 * time.Millisecond

// suspect reports whether runs of the job's fingerprint ended with a crash.
func (s *Scheduler) suspect(now time.Time, j *job) bool {
	return s.suspects.Len() > 0 && s.suspects.Crashes(now, j.work.Fingerprint) > 0
}

// isolates reports whether the endpoint runs no other suspect of any router, so
// that its next crash tells the innocent from the guilty. Routers take turns at an
// endpoint, because the crash that makes suspects makes them at several routers at
// the same moment.
func (s *Scheduler) isolates(now time.Time, j *job, e *endpoint) bool {
	if s.holdsSuspect(now, e) || s.peerHoldsSuspect(now, e) {
		e.suspected = now
		return false
	}
	since := latest(j.queued, e.restUntil, e.suspected)
	return now.Sub(since) >= time.Duration(s.turn(now, e))*suspectTurn
}

// latest returns the last of some times.
func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// holdsSuspect reports whether this router runs a suspect at the endpoint.
func (s *Scheduler) holdsSuspect(now time.Time, e *endpoint) bool {
	for _, r := range e.running {
		if s.suspect(now, r) {
			return true
		}
	}
	return false
}

// peerHoldsSuspect reports whether a live peer told that it does.
func (s *Scheduler) peerHoldsSuspect(now time.Time, e *endpoint) bool {
	for _, p := range s.peers {
		if !p.live(now, s.stretch()) {
			continue
		}
		for _, l := range p.last.Loads {
			if l.Suspect && l.Endpoint == e.spec.Name {
				return true
			}
		}
	}
	return false
}

// turn returns how many live routers come before this one in the endpoint's
// order, which is the same at all of them.
func (s *Scheduler) turn(now time.Time, e *endpoint) int {
	n := 0
	own := mix(xxhash.Sum64String(s.self.String()), e.spec.Name)
	for _, p := range s.peers {
		if p.live(now, s.stretch()) && mix(xxhash.Sum64String(p.inc.String()), e.spec.Name) > own {
			n++
		}
	}
	return n
}

// tellSuspect tells the peers at once where a suspect starts.
func (s *Scheduler) tellSuspect(now time.Time, j *job) {
	if s.suspect(now, j) && !s.self.IsZero() {
		s.pending = append(s.pending, s.sendDemand(now, nil)...)
	}
}
