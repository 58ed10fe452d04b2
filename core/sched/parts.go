package sched

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/quarantine"
)

// sharedPrefixes returns the hashes of the prefixes of a prompt that other requests may
// have: all but that of the whole prompt.
func sharedPrefixes(w Work) []uint64 {
	return w.Prefix[:max(len(w.Prefix)-1, 0)]
}

// isBlocked reports whether work must not run, as it or a prefix of its prompt crashed
// endpoints.
func (s *Scheduler) isBlocked(now time.Time, w Work) bool {
	if s.crashes.Blocked(now, w.Fingerprint) {
		return true
	}
	part, blocked := s.parts.Blocked(sharedPrefixes(w))
	if !blocked || s.triesPart(now, part) && s.parts.Trial(now, part) {
		return false
	}
	s.parts.Refused(now, part)
	return true
}

// triesPart reports whether this router tries a blocked prefix: the first live one in an
// order that all routers agree on.
func (s *Scheduler) triesPart(now time.Time, part uint64) bool {
	order := func(vm waxwingwall.VM) uint64 {
		return rendezvousHash(part, waxwingwall.Endpoint(vm))
	}
	own := order(s.self.VM)
	return !slices.ContainsFunc(s.peers, func(p *peer) bool {
		return p.live(now, s.intervalFactor()) && order(p.inc.VM) < own
	})
}

// suspectParts records a crash under the prefixes of a job that had no output yet, and
// returns what is news for the peers. The instances of an endpoint can't be told apart
// here, so each router names a crash by its time; reports of one crash follow each other
// at once and count as one.
func (s *Scheduler) suspectParts(now time.Time, j *job, e *endpoint) []quarantine.Suspect {
	if j.hasOutput {
		return nil
	}
	shared := sharedPrefixes(j.work)
	if !s.parts.Record(now, quarantine.Crash{
		Endpoint: e.spec.Name,
		Born:     now.UnixMilli(),
	}, shared) {
		return nil
	}
	return s.parts.Get(now, shared)
}

// clearParts clears the prefixes of a job that was answered.
func (s *Scheduler) clearParts(now time.Time, j *job) []effect.Action {
	cleared := s.parts.Clear(now, j.dispatchedAt, sharedPrefixes(j.work))
	if len(cleared) == 0 || s.self.IsZero() {
		return nil
	}
	return s.sendDemand(now, nil, cleared...)
}
