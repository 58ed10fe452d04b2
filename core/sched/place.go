package sched

import (
	"time"

	"waxwingwall"
)

const (
	// affinityBlocks is the number of prompt blocks whose hash chooses an
	// endpoint.
	affinityBlocks = 8

	// affinityLoadFactor is how far above the mean load, as a factor and in requests,
	// an endpoint may be for a prefix to draw work to it.
	affinityLoadFactor = 1.5
	affinityLoadSlack  = 3.0

	// slowTargetPercent, in percent, of the target between tokens is slow for an
	// endpoint that takes slowFactor times as long as the fastest.
	slowTargetPercent = 60
	slowFactor        = 2

	// shortSlotTime ends before the peers have told of it, so that what they told of
	// an endpoint says nothing of its free slots.
	shortSlotTime = 4 * DefaultDemandInterval

	// pickDepth is how deep a queue is searched for a job whose prefix is cached
	// where there is room, maxPassed how often its head may be passed.
	pickDepth   = 8
	maxBypassed = 8
)

// pick returns the job of a flow to start and where. A job whose prefix falls
// to an endpoint with room may pass the head of the queue, a bounded number of
// times.
func (s *Scheduler) pick(now time.Time, f *flow) (*job, *endpoint) {
	head := f.queue[0]
	e := s.chooseEndpoint(now, head)
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

// affineEndpoint is the endpoint that the job's prefix falls to.
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

// chooseEndpoint returns the endpoint for a job, nil if none has room.
func (s *Scheduler) chooseEndpoint(now time.Time, j *job) *endpoint {
	if j.newConnection && s.fits(now, j, j.avoid) {
		return j.avoid
	}
	var candidates []*endpoint
	for _, e := range j.pool.endpoints {
		if s.fits(now, j, e) && e != j.avoid && !e.isSlowFor(j) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return s.chooseAny(now, j)
	}
	if s.affinity && len(j.work.Prefix) > 0 {
		if e := s.chooseByPrefix(j, candidates); e != nil {
			return e
		}
	}
	return s.lessLoaded(candidates)
}

// chooseAny is choose without preferences.
func (s *Scheduler) chooseAny(now time.Time, j *job) *endpoint {
	var best *endpoint
	for _, e := range j.pool.endpoints {
		if s.fits(now, j, e) && (best == nil || e.relativeLoad() < best.relativeLoad()) {
			best = e
		}
	}
	return best
}

// fits reports whether an endpoint may take one more job.
func (s *Scheduler) fits(now time.Time, j *job, e *endpoint) bool {
	if e == nil || !e.usable(now) || !e.serves(j.work.Model) {
		return false
	}
	load := e.load()
	if j.flow.estimates.slotTime.seconds() < shortSlotTime.Seconds() {
		load = len(e.running)
	}
	if float64(load)+1 > e.window {
		return false
	}
	return !s.isSuspect(now, j) || s.canIsolate(now, j, e)
}

// isSlowFor reports whether the endpoint's tokens come too slowly for the job, or
// nearly so and slower than the pool's others.
func (e *endpoint) isSlowFor(j *job) bool {
	target := j.class.spec.BetweenTokens
	gap := e.tokenGap.duration()
	if target == 0 || gap <= target*slowTargetPercent/100 {
		return false
	}
	return gap > target || gap > j.pool.fastestTokenGap()*slowFactor
}

// fastestTokenGap is the time between tokens of the fastest endpoint.
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

// chooseByPrefix returns the endpoint that the start of the prompt falls to, unless
// it is loaded far above the mean, and then the next in the prefix's own order.
// The order is the same at all routers, so that they need not tell each other
// what is cached where.
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

// rendezvousHash hashes a prefix together with an endpoint (FNV-1a).
func rendezvousHash(key uint64, e waxwingwall.Endpoint) uint64 {
	h := uint64(14695981039346656037) ^ key
	for _, b := range []byte(e) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
