package sched

import (
	"net/http"
	"time"

	"waxwingwall"
)

// pause records that an endpoint, which was unavailable, asks to be sent nothing for a
// time. Answers to attempts that ran side by side come in no order; the latest end applies.
func (e *endpoint) pause(now time.Time, wait time.Duration) {
	if until := now.Add(wait); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// paused reports whether an endpoint may be sent nothing yet.
func (e *endpoint) paused(now time.Time) bool {
	return now.Before(e.pausedUntil)
}

// pausedProblem returns the refusal of a job for which all endpoints are paused, with the
// time at which the first pause ends; nil if another endpoint serves its model.
func (s *Scheduler) pausedProblem(now time.Time, j *job) *waxwingwall.Problem {
	if j.pool == nil {
		return nil
	}
	var first time.Time
	for _, e := range j.pool.endpoints {
		if e.spec.Leaving || !e.serves(j.work.Model) {
			continue
		}
		if !e.paused(now) {
			return nil
		}
		if first.IsZero() || e.pausedUntil.Before(first) {
			first = e.pausedUntil
		}
	}
	if first.IsZero() {
		return nil
	}
	left := first.Sub(now)
	return notRunProblem(http.StatusServiceUnavailable, "endpoints_paused", "All endpoints asked for a pause.",
		left+time.Duration(s.rng.Float64()*maxRetryAfterJitter*float64(left)))
}

// mayHaveRun reports whether an endpoint may have run an attempt of a job that waits.
func (j *job) mayHaveRun() bool {
	return j.attempt > j.declined
}

// refusePaused refuses a job for which all endpoints are paused. It returns false if it is
// not such a job.
func (s *Scheduler) refusePaused(now time.Time, j *job) (Refuse, bool) {
	p := s.pausedProblem(now, j)
	if p == nil {
		return Refuse{}, false
	}
	s.drop(j)
	if j.mayHaveRun() {
		p.Status = http.StatusBadGateway
		return s.refuse(j, p), true
	}
	return Refuse{
		Identity: j.work.Identity,
		Problem:  p,
	}, true
}
