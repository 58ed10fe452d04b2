package sched

import (
	"time"

	"waxwingwall/core/effect"
)

const (
	// preemptWaitFraction is the fraction of the FirstToken target for which
	// urgent work waits for a slot before it preempts work of a lower rank.
	preemptWaitFraction = 0.15

	// maxPreemptAttempts is the number of attempts up to which a job may be
	// preempted.
	maxPreemptAttempts = 2

	// preemptRatio limits preemptions to a fraction of first attempts. This
	// budget is separate from the retry budget.
	preemptRatio = 0.05
)

// preempt frees a slot for urgent work that waits: it cancels and requeues the
// youngest job of the lowest rank that exceeds its share, to be resumed later.
// It returns nil if there is no need or no such job.
func (s *Scheduler) preempt(now time.Time, p *pool) effect.Action {
	if len(p.classes) == 0 {
		return nil
	}
	all := p.urgentWaiting(now)
	if s.preemptions.Left() < 1 {
		return nil
	}
	for _, waiting := range all {
		for i := len(p.classes) - 1; i > 0; i-- {
			c := p.classes[i]
			if float64(c.inFlight) <= p.room(c) {
				continue
			}
			if j := s.youngest(now, p, c, waiting); j != nil {
				return s.requeue(now, j)
			}
		}
	}
	return nil
}

// urgentWaiting returns the work of the most urgent class that has waited too long
// although the router's share allows its dispatch: the head of each flow, and what it
// doesn't hold up. Work that waits for a permit does not count, as a free slot is of no
// use to it.
func (p *pool) urgentWaiting(now time.Time) []*job {
	top := p.classes[0]
	limit := time.Duration(preemptWaitFraction * float64(top.spec.FirstToken))
	var waiting []*job
	for _, f := range top.flows {
		for _, j := range f.queue {
			if j.ask == 0 && now.Sub(j.offeredAt) > limit {
				waiting = append(waiting, j)
			}
			if j.ask != 0 || j.tokens == 0 {
				break
			}
		}
	}
	if len(waiting) > 0 && !p.mayStart(now, top) {
		return nil
	}
	return waiting
}

// youngest returns the idempotent job of a class that was offered last, among
// those on endpoints where its slot becomes free and the waiting job may use it. Jobs
// dispatched in this step don't count, as the driver doesn't know of them yet.
func (s *Scheduler) youngest(now time.Time, p *pool, c *class, waiting *job) *job {
	var best *job
	for _, e := range p.endpoints {
		if waiting.tokens > 0 && e.spec.Version != waiting.version {
			continue
		}
		if !e.usable(now) || s.limits.Limited(e.spec.Name) || float64(e.load()) > e.window {
			continue
		}
		for _, j := range e.running {
			if j.class != c || j.held || !j.dispatchedAt.Before(now) || !j.work.Idempotent || j.attempt > maxPreemptAttempts {
				continue
			}
			if best == nil || j.seq > best.seq {
				best = j
			}
		}
	}
	return best
}

// requeue cancels an attempt and puts the job at the head of its queue.
func (s *Scheduler) requeue(now time.Time, j *job) effect.Action {
	s.preemptions.Take()
	s.releaseSlot(j)
	j.newConnection = false
	j.queuedAt = now
	j.flow.queue = append([]*job{j}, j.flow.queue...)
	s.demandUnsent = true
	return Cancel{
		Identity: j.work.Identity,
		Attempt:  j.attempt,
		Reason:   Cancelled,
	}
}
