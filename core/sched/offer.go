package sched

import (
	"math"
	"net/http"
	"time"

	"waxwingwall"
)

const (
	// Bounds of Retry-After, and its default without a backlog, before jitter.
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second

	// maxWaitFraction limits the expected wait for a slot with which work is
	// queued, as a fraction of the time to its deadline less the estimated time
	// from dispatch to the first token.
	maxWaitFraction = 0.6

	// maxRetryAfterJitter is the largest fraction by which jitter lengthens a
	// Retry-After.
	maxRetryAfterJitter = 0.25

	// defaultSlotTime is the slot time assumed without samples.
	defaultSlotTime = time.Second
)

// Offer queues a request or refuses it at once. For a request that is already
// queued or running it returns Queued and changes nothing.
func (s *Scheduler) Offer(now time.Time, w Work) Verdict {
	if s.jobs[w.Identity] != nil {
		return Verdict{}
	}
	s.now = now
	j, p := s.newJob(now, w)
	if p != nil {
		return refused(p)
	}
	if p := s.pausedProblem(now, j); p != nil {
		return refused(p)
	}
	s.jobs[w.Identity] = j
	j.flow.queue = append(j.flow.queue, j)
	s.updateShares(now)
	wait := s.estimateWait(now, j, len(j.flow.queue))
	if wait > s.maxWait(now, j) {
		s.drop(j)
		j.flow.refusalRate.add(now)
		s.sharesStale = true
		s.demandUnsent = true
		return refused(s.tooBusyProblem(now, j, wait))
	}
	s.demandUnsent = true
	return Verdict{}
}

func refused(p *waxwingwall.Problem) Verdict {
	return Verdict{
		Decision: Refused,
		Problem:  p,
	}
}

// newJob validates the work and creates its job.
func (s *Scheduler) newJob(now time.Time, w Work) (*job, *waxwingwall.Problem) {
	p := s.byModel[w.Model]
	if p == nil {
		return nil, notRunProblem(http.StatusNotFound, "unknown_model", "No endpoint serves the model.", 0)
	}
	c := p.class(w.Rank)
	if c == nil {
		return nil, notRunProblem(http.StatusBadRequest, "unknown_rank", "The rank is not configured.", 0)
	}
	if s.isBlocked(now, w) {
		return nil, quarantinedProblem()
	}
	s.seq++
	j := &job{
		work:      w,
		seq:       s.seq,
		offeredAt: now,
		queuedAt:  now,
		deadline:  w.Deadline,
		tokens:    w.Output,
		version:   w.Version,
		pool:      p,
		class:     c,
		flow:      s.flow(c, w.Account, w.Model),
	}
	if !p.servesVersion(j) {
		return nil, s.noEndpointProblem(j)
	}
	if j.deadline.IsZero() {
		j.deadline = now.Add(c.spec.FirstToken)
	}
	s.seedEstimates(j)
	return j, nil
}

// seedEstimates sets an initial slot time for a flow without samples.
func (s *Scheduler) seedEstimates(j *job) {
	est := j.flow.estimates
	if est.slotTime.known {
		return
	}
	guess := defaultSlotTime
	if gap := j.class.spec.BetweenTokens; gap > 0 {
		guess = time.Duration(j.work.MaxOutput/4) * gap
	}
	est.slotTime = mean{
		value: guess.Seconds(),
	}
}

// maxWait returns the longest expected wait for a slot with which a job is
// queued. It is never negative, so that work that need not wait is always
// accepted and the estimates keep getting samples.
func (s *Scheduler) maxWait(now time.Time, j *job) time.Duration {
	left := j.deadline.Sub(now) - j.flow.estimates.firstToken.duration()
	return time.Duration(maxWaitFraction * float64(max(0, left)))
}

// estimateWait estimates how long the n-th job in a flow's queue waits for a
// slot.
func (s *Scheduler) estimateWait(now time.Time, j *job, n int) time.Duration {
	f := j.flow
	if j.pool.capacity(now) == 0 {
		return math.MaxInt64 / 4
	}
	free := max(f.granted, 1) - float64(f.inFlight) + j.pool.spare
	if j.class == j.pool.classes[0] {
		free += j.pool.headroom
	}
	ahead := float64(n) - max(0, free)
	if ahead <= 0 {
		return 0
	}
	perSlot := f.estimates.slotTime.seconds() / max(f.granted, negligibleSlots)
	return time.Duration(min(ahead*perSlot, maxRetryAfter.Seconds()) * float64(time.Second))
}

// Withdraw removes a request whose caller disconnected. It returns the running
// attempt, which the driver must stop, or zero if none was running.
func (s *Scheduler) Withdraw(_ time.Time, id waxwingwall.Identity) int {
	j := s.jobs[id]
	if j == nil {
		return 0
	}
	attempt := 0
	if j.endpoint != nil {
		attempt = j.attempt
	}
	s.drop(j)
	return attempt
}

// drop removes a job from all tables.
func (s *Scheduler) drop(j *job) {
	delete(s.jobs, j.work.Identity)
	s.cancelAsk(j)
	s.returnSpare(j)
	if j.endpoint != nil {
		s.releaseSlot(j)
	} else if j.flow != nil {
		j.flow.queue = removed(j.flow.queue, j)
	}
	s.sharesStale = true
	s.demandUnsent = true
}

func removed(jobs []*job, j *job) []*job {
	for i, x := range jobs {
		if x == j {
			copy(jobs[i:], jobs[i+1:])
			jobs[len(jobs)-1] = nil
			return jobs[:len(jobs)-1]
		}
	}
	return jobs
}

// releaseSlot removes a job from its endpoint.
func (s *Scheduler) releaseSlot(j *job) {
	j.endpoint.running = removed(j.endpoint.running, j)
	j.endpoint = nil
	if j.flow != nil {
		j.pool.inFlight--
		j.class.inFlight--
		j.flow.inFlight--
	}
}

// tooBusyProblem returns the refusal for an overloaded flow. Its Retry-After
// covers the flow's backlog and the Retry-After times of earlier refusals.
func (s *Scheduler) tooBusyProblem(now time.Time, j *job, wait time.Duration) *waxwingwall.Problem {
	f := j.flow
	if j.pool.capacity(now) == 0 {
		return s.noEndpointProblem(j)
	}
	overdue := wait - s.maxWait(now, j)
	at := now.Add(max(overdue, 0))
	if f.nextRetryAt.After(at) {
		at = f.nextRetryAt
	}
	perSlot := f.estimates.slotTime.seconds() / max(f.granted, negligibleSlots)
	at = at.Add(time.Duration(min(perSlot, 1) * float64(time.Second)))
	if at.Sub(now) < maxRetryAfter {
		f.nextRetryAt = at
	}
	return notRunProblem(http.StatusTooManyRequests, "too_busy",
		"The request can't be answered in time.", s.jittered(at.Sub(now)))
}

// noEndpointProblem returns the refusal for a request that no endpoint can
// take.
func (s *Scheduler) noEndpointProblem(j *job) *waxwingwall.Problem {
	if s.byModel[j.work.Model] == nil {
		return notRunProblem(http.StatusNotFound, "unknown_model", "No endpoint serves the model.", 0)
	}
	return notRunProblem(http.StatusServiceUnavailable, "no_endpoint",
		"No endpoint can take the request.", s.jittered(defaultRetryAfter))
}

// jittered bounds a Retry-After and adds jitter.
func (s *Scheduler) jittered(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(s.rng.Float64()*maxRetryAfterJitter*float64(d))
}

// notRunProblem returns the problem of a request that was not run.
func notRunProblem(status int, code, message string, after time.Duration) *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     status,
		Code:       code,
		Message:    message,
		Outcome:    waxwingwall.NotRun,
		RetryAfter: after,
	}
}

func quarantinedProblem() *waxwingwall.Problem {
	return notRunProblem(http.StatusUnprocessableEntity, "quarantined",
		"The request crashed the endpoints that ran it.", 0)
}
