package sched

import (
	"time"

	"waxwingwall/core/effect"
)

const (
	// preemptWaitFraction is the part of its target that urgent work waits for a slot
	// before one is taken back from a lower rank.
	preemptWaitFraction = 0.15

	// maxPreemptAttempts bounds the attempts of work that is cancelled for urgent
	// work.
	maxPreemptAttempts = 2

	// preemptRatio bounds cancellations to a part of the first tries, beside
	// the budget for retries after failures.
	preemptRatio = 0.05
)

// preempt takes a slot back for urgent work that waits: the youngest work of
// the lowest rank that holds more than its part is cancelled and queued again,
// to be resumed later. It returns nil if there is no need, or no such work.
func (s *Scheduler) preempt(now time.Time, p *pool) effect.Action {
	if !p.urgentWaits(now) || s.preemptions.Left() < 1 {
		return nil
	}
	for i := len(p.classes) - 1; i > 0; i-- {
		c := p.classes[i]
		if float64(c.inFlight) <= p.room(c) {
			continue
		}
		if j := s.youngest(now, p, c); j != nil {
			return s.requeue(j)
		}
	}
	return nil
}

// urgentWaits reports whether work of the most urgent class has waited too long
// though the router's part allows it.
func (p *pool) urgentWaits(now time.Time) bool {
	top := p.classes[0]
	limit := time.Duration(preemptWaitFraction * float64(top.spec.FirstToken))
	for _, f := range top.flows {
		if len(f.queue) > 0 && now.Sub(f.queue[0].offeredAt) > limit {
			return p.mayStart(now, top)
		}
	}
	return false
}

// youngest returns the job of a class that began last and may be repeated, on
// an endpoint where its slot would be free.
func (s *Scheduler) youngest(now time.Time, p *pool, c *class) *job {
	var best *job
	for _, e := range p.endpoints {
		if !e.usable(now) || float64(e.load()) > e.window {
			continue
		}
		for _, j := range e.running {
			if j.class != c || !j.work.Idempotent || j.attempt > maxPreemptAttempts {
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
func (s *Scheduler) requeue(j *job) effect.Action {
	s.preemptions.Take()
	s.releaseSlot(j)
	j.newConnection = false
	j.flow.queue = append([]*job{j}, j.flow.queue...)
	s.demandUnsent = true
	return Cancel{
		Identity: j.work.Identity,
		Attempt:  j.attempt,
		Reason:   Cancelled,
	}
}
