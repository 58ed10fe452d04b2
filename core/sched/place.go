package sched

import (
	"time"

	"waxwingwall"
)

const (
	// affinityBlocks is the number of leading prompt blocks whose hash selects
	// an endpoint.
	affinityBlocks = 8

	// affinityLoadFactor and affinityLoadSlack, in requests, bound the load of
	// an endpoint relative to the mean: load above mean*factor + slack disables
	// prefix affinity to it.
	affinityLoadFactor = 1.5
	affinityLoadSlack  = 3.0

	// An endpoint within the BetweenTokens target is still slow for a job if
	// its token gap exceeds slowTargetPercent of the target and slowFactor
	// times the gap of the fastest endpoint.
	slowTargetPercent = 60
	slowFactor        = 2

	// shortSlotTime is the slot time below which the load reported by peers is
	// ignored: requests this short end before the report that counts them
	// arrives, so it does not show which slots are in use.
	shortSlotTime = 4 * DefaultDemandInterval

	// pickDepth is the number of jobs at the head of a queue that pick searches
	// for one whose affine endpoint has room. maxBypassed is the number of later
	// jobs that may be dispatched before the head.
	pickDepth   = 8
	maxBypassed = 8
)

// pick returns the job of a flow to dispatch and its endpoint. A job whose
// affine endpoint has room may bypass the head of the queue, a bounded number
// of times.
func (s *Scheduler) pick(now time.Time, f *flow) (*job, *endpoint) {
	head, e := s.firstThatFits(now, f)
	if e == nil || !s.affinity || head.attempt > 0 || head.bypassed >= maxBypassed {
		return head, e
	}
	for _, j := range f.queue[:min(len(f.queue), pickDepth)] {
		affine := s.affineEndpoint(now, j)
		if affine == nil || j.attempt > 0 || !s.fits(now, j, affine) {
			continue
		}
		if j != head {
			head.bypassed++
		}
		return j, affine
	}
	return head, e
}

// firstThatFits returns the first job of a queue and its endpoint. Jobs with output that
// wait for an endpoint of its version don't hold up the others.
func (s *Scheduler) firstThatFits(now time.Time, f *flow) (*job, *endpoint) {
	for _, j := range f.queue {
		if j.ask != 0 {
			return j, nil
		}
		if e := s.chooseEndpoint(now, j); e != nil || j.tokens == 0 {
			return j, e
		}
	}
	return f.queue[0], nil
}

// affineEndpoint returns the usable endpoint with the highest rendezvous hash
// for the job's prefix.
func (s *Scheduler) affineEndpoint(now time.Time, j *job) *endpoint {
	chain := j.work.Prefix
	if len(chain) == 0 {
		return nil
	}
	key := chain[min(len(chain), affinityBlocks)-1]
	var best *endpoint
	var highest uint64
	for _, e := range j.pool.endpoints {
		hash := rendezvousHash(key, e.spec.Name)
		if e.usable(now) && (best == nil || hash > highest) {
			best = e
			highest = hash
		}
	}
	return best
}

// chooseEndpoint returns the endpoint for a job, or nil if none has room. After an
// idle timeout, the same endpoint is tried again over a new connection, since only
// the old connection may have failed. Otherwise slow endpoints and that of the last
// failure are considered only if no other one fits.
func (s *Scheduler) chooseEndpoint(now time.Time, j *job) *endpoint {
	if j.newConnection && s.fits(now, j, j.failedEndpoint) {
		return j.failedEndpoint
	}
	if e := s.chooseOther(now, j, j.failedEndpoint); e != nil {
		return e
	}
	return s.chooseAny(now, j, nil)
}

// chooseOther returns an endpoint that fits, is not slow and is not failed; nil if there
// is none.
func (s *Scheduler) chooseOther(now time.Time, j *job, failed *endpoint) *endpoint {
	var candidates []*endpoint
	for _, e := range j.pool.endpoints {
		if e != failed && s.fits(now, j, e) && !e.isSlowFor(j) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	if s.affinity && len(j.work.Prefix) > 0 {
		if e := s.chooseByPrefix(j, candidates); e != nil {
			return e
		}
	}
	return s.lessLoaded(candidates)
}

// chooseAny returns the least loaded endpoint that fits, slow and avoided ones
// included, other than failed.
func (s *Scheduler) chooseAny(now time.Time, j *job, failed *endpoint) *endpoint {
	var best *endpoint
	for _, e := range j.pool.endpoints {
		if e != failed && s.fits(now, j, e) && (best == nil || e.relativeLoad() < best.relativeLoad()) {
			best = e
		}
	}
	return best
}

// fits reports whether an endpoint may take the job in addition to its load.
func (s *Scheduler) fits(now time.Time, j *job, e *endpoint) bool {
	return e != nil && !s.limits.Limited(e.spec.Name) && s.hasRoom(now, j, e)
}

// hasRoom is fits for endpoints with and without limits.
func (s *Scheduler) hasRoom(now time.Time, j *job, e *endpoint) bool {
	if !e.usable(now) || !j.mayRunOn(e) {
		return false
	}
	load := e.load()
	if j.flow.estimates.slotTime.seconds() < shortSlotTime.Seconds() {
		load = len(e.running)
	}
	if e == j.endpoint {
		load-- // the slot that the job holds itself
	}
	if float64(load)+1 > e.window {
		return false
	}
	return !s.isSuspect(now, j) || s.canIsolate(now, j, e)
}

// isSlowFor reports whether the endpoint's token gap exceeds the job's target,
// or is close to it and far above that of the pool's fastest endpoint.
func (e *endpoint) isSlowFor(j *job) bool {
	target := j.class.spec.BetweenTokens
	gap := e.tokenGap.duration()
	if target == 0 || gap <= target*slowTargetPercent/100 {
		return false
	}
	return gap > target || gap > j.pool.fastestTokenGap()*slowFactor
}

// fastestTokenGap returns the token gap of the pool's fastest endpoint.
func (p *pool) fastestTokenGap() time.Duration {
	var least time.Duration
	for _, e := range p.endpoints {
		if gap := e.tokenGap.duration(); gap > 0 && (least == 0 || gap < least) {
			least = gap
		}
	}
	return least
}

func (e *endpoint) relativeLoad() float64 {
	return float64(e.load()) / e.window
}

// chooseByPrefix returns the endpoint with the highest rendezvous hash for the
// start of the prompt, skipping endpoints loaded far above the mean. The hash
// order is the same at all routers, so that they need not exchange cache
// contents.
func (s *Scheduler) chooseByPrefix(j *job, candidates []*endpoint) *endpoint {
	bound := meanLoad(j.pool.endpoints)*affinityLoadFactor + affinityLoadSlack
	chain := j.work.Prefix
	key := chain[min(len(chain), affinityBlocks)-1]
	var best *endpoint
	var highest uint64
	for _, e := range candidates {
		hash := rendezvousHash(key, e.spec.Name)
		if float64(e.load()) <= bound && (best == nil || hash > highest) {
			best = e
			highest = hash
		}
	}
	return best
}

func meanLoad(es []*endpoint) float64 {
	sum := 0
	for _, e := range es {
		sum += e.load()
	}
	return float64(sum) / float64(len(es))
}

// lessLoaded returns the less loaded of two random endpoints.
func (s *Scheduler) lessLoaded(candidates []*endpoint) *endpoint {
	a := candidates[s.rng.IntN(len(candidates))]
	b := candidates[s.rng.IntN(len(candidates))]
	if b.relativeLoad() < a.relativeLoad() {
		return b
	}
	return a
}

// rendezvousHash hashes a prefix together with an endpoint name (FNV-1a and a
// finalizer).
func rendezvousHash(key uint64, e waxwingwall.Endpoint) uint64 {
	h := uint64(14695981039346656037) ^ key
	for _, b := range []byte(e) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
