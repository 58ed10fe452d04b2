package sched

import (
	"net/http"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/quarantine"
)

const (
	// maxAttempts bounds the dispatches of one request.
	maxAttempts = 4

	// Rest of an endpoint that failed, doubled with each failure in a row.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 5 * time.Second

	// maintenanceInterval is how often queues are looked through and old entries
	// dropped.
	maintenanceInterval = 50 * time.Millisecond

	// reportTTL is how old a load report may be to be of use.
	reportTTL = 3 * time.Second

	// tokenGapTTL is how long the pace of an endpoint counts without new samples.
	tokenGapTTL = 5 * time.Second

	// maxOverdueTargets is by how many targets queued work must be expected to miss
	// its deadline to be refused after all.
	maxOverdueTargets = 4

	// maxCreditSlotSeconds bounds the credit of a class, in slot seconds.
	maxCreditSlotSeconds = 1.0

	// saturatedReports is the number of reports in a row that shrink a window.
	saturatedReports = 2

	// reportSamples is how many samples of the pace a load report counts for.
	reportSamples = 7

	// busyDivisor is the part of its slots, one in so many, that an endpoint has in
	// use if its reports are to tell its pace.
	busyDivisor = 4

	// windowChangeInterval is the least time between two changes of a window.
	windowChangeInterval = 500 * time.Millisecond
)

// Step tells the Scheduler of an event and returns what is to be done.
func (s *Scheduler) Step(now time.Time, ev effect.Event) []effect.Action {
	s.now = now
	var acts []effect.Action
	switch ev := ev.(type) {
	case FirstToken:
		s.recordProgress(now, ev.Identity, ev.Attempt, 1)
	case Progress:
		s.recordProgress(now, ev.Identity, ev.Attempt, ev.Tokens)
	case Finished:
		acts = s.handleFinished(now, ev)
	case LoadReport:
		s.handleLoadReport(now, ev)
	case effect.Received:
		s.handleReceived(now, ev)
	case effect.Tick:
		acts = s.handleTick(now)
	}
	acts = append(acts, s.takePendingActions()...)
	if s.sharesStale {
		s.updateShares(now)
	}
	acts = append(acts, s.dispatchQueued(now)...)
	return append(acts, s.sendDueDemand(now)...)
}

func (s *Scheduler) handleTick(now time.Time) []effect.Action {
	acts := s.cancelIdle(now)
	if now.Sub(s.lastMaintenance) < maintenanceInterval {
		return acts
	}
	s.lastMaintenance = now
	s.suspects.Expire(now)
	s.updatePeerInFlight(now)
	s.dropIdleFlows(now)
	s.peerDemandStale = true
	for _, e := range s.endpoints {
		if now.Sub(e.tokenGapAt) > tokenGapTTL {
			e.tokenGap = mean{}
		}
	}
	s.sharesStale = true
	return append(acts, s.refuseOverdue(now)...)
}

// dropIdleFlows forgets the flows that have nothing to remember.
func (s *Scheduler) dropIdleFlows(now time.Time) {
	for _, p := range s.pools {
		for _, c := range p.classes {
			c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool {
				return f.demand(now) < negligibleSlots && now.After(f.nextRetryAt)
			})
		}
	}
}

// refuseOverdue refuses queued work that will be far too late, because capacity was
// lost since its offer. What is a little late is served: to hold it and then
// refuse it would be worse.
func (s *Scheduler) refuseOverdue(now time.Time) []effect.Action {
	var acts []effect.Action
	for _, p := range s.pools {
		for _, c := range p.classes {
			for _, f := range c.flows {
				acts = append(acts, s.refuseOverdueOfFlow(now, f)...)
			}
		}
	}
	return acts
}

func (s *Scheduler) refuseOverdueOfFlow(now time.Time, f *flow) []effect.Action {
	var acts []effect.Action
	for i := len(f.queue) - 1; i >= 0; i-- {
		j := f.queue[i]
		if j.attempt > 0 {
			continue
		}
		wait := s.estimateWait(now, j, i+1)
		cutoff := j.deadline.Add(maxOverdueTargets * j.class.spec.FirstToken)
		if !now.Add(wait).After(cutoff) {
			continue
		}
		s.drop(j)
		f.refusalRate.add(now)
		acts = append(acts, Refuse{
			Identity: j.work.Identity,
			Problem:  s.tooBusyProblem(now, j, wait),
		})
	}
	return acts
}

// dispatchQueued dispatches what the shares allow.
func (s *Scheduler) dispatchQueued(now time.Time) []effect.Action {
	var acts []effect.Action
	for _, p := range s.pools {
		for {
			if j, e := s.nextDispatch(now, p); j != nil {
				acts = append(acts, s.dispatch(now, j, e))
				continue
			}
			a := s.preempt(now, p)
			if a == nil {
				break
			}
			acts = append(acts, a)
		}
	}
	return append(acts, s.takePendingActions()...)
}

// nextDispatch returns the next job of a pool to start, and where.
func (s *Scheduler) nextDispatch(now time.Time, p *pool) (*job, *endpoint) {
	for _, c := range p.classes {
		if !p.mayStart(now, c) {
			continue
		}
		for _, f := range c.byUtilization() {
			s.dropBlocked(now, f)
			if len(f.queue) == 0 {
				continue
			}
			if j, e := s.pick(now, f); e != nil {
				return j, e
			}
		}
	}
	return nil, nil
}

// mayStart reports whether the router's part of the pool leaves room for one
// more job of the class. A fraction of a slot is used part of the time: credit
// keeps account of it.
func (p *pool) mayStart(now time.Time, c *class) bool {
	room := p.room(c)
	c.updateCredit(now, room)
	in := float64(c.inFlight)
	return in+1 <= room || in < room && c.credit >= 0
}

// room is the router's part of the pool that the class may use, in slots.
func (p *pool) room(c *class) float64 {
	room := c.granted + p.spare
	if c == p.classes[0] {
		room += p.headroom
	}
	return room
}

// updateCredit adds to the credit what the class left unused since the last time,
// less what it used above its part.
func (c *class) updateCredit(now time.Time, room float64) {
	if !c.creditAt.IsZero() {
		c.credit += (room - float64(c.inFlight)) * now.Sub(c.creditAt).Seconds()
		c.credit = min(max(c.credit, -maxCreditSlotSeconds), maxCreditSlotSeconds)
	}
	c.creditAt = now
}

// byUtilization returns the flows with queued work, the one with the smallest part of
// its grant in use first.
func (c *class) byUtilization() []*flow {
	var all []*flow
	for _, f := range c.flows {
		if len(f.queue) == 0 {
			continue
		}
		i := len(all)
		for i > 0 && f.utilization() < all[i-1].utilization() {
			i--
		}
		all = append(all, nil)
		copy(all[i+1:], all[i:])
		all[i] = f
	}
	return all
}

func (f *flow) utilization() float64 {
	return float64(f.inFlight) / max(f.granted, negligibleSlots)
}

// dropBlocked refuses quarantined work at the head of a queue.
func (s *Scheduler) dropBlocked(now time.Time, f *flow) {
	for s.suspects.Len() > 0 && len(f.queue) > 0 {
		j := f.queue[0]
		if !s.suspects.Blocked(now, j.work.Fingerprint) {
			return
		}
		s.drop(j)
		s.pendingActions = append(s.pendingActions, s.refuse(j, quarantinedProblem()))
	}
}

// refuse ends a job; it is not_run only if it never began.
func (s *Scheduler) refuse(j *job, p *waxwingwall.Problem) Refuse {
	if j.attempt > 0 {
		p.Outcome = waxwingwall.Unknown
	}
	return Refuse{
		Identity: j.work.Identity,
		Problem:  p,
	}
}

func (s *Scheduler) dispatch(now time.Time, j *job, e *endpoint) effect.Action {
	j.flow.queue = removed(j.flow.queue, j)
	j.endpoint = e
	j.attempt++
	j.dispatchedAt = now
	j.lastProgress = now
	j.hasOutput = false
	j.hasProgress = false
	e.running = append(e.running, j)
	j.pool.inFlight++
	j.class.inFlight++
	j.flow.inFlight++
	s.demandUnsent = true
	if j.attempt == 1 {
		s.retries.RecordFirstAttempt()
		s.preemptions.RecordFirstAttempt()
	}
	s.announceSuspect(now, j)
	return Dispatch{
		Identity:      j.work.Identity,
		Attempt:       j.attempt,
		Endpoint:      e.spec.Name,
		Resume:        j.tokens > 0,
		NewConnection: j.newConnection || !j.work.Idempotent,
	}
}

// recordProgress takes in a sign of life of an attempt.
func (s *Scheduler) recordProgress(now time.Time, id waxwingwall.Identity, attempt int, tokens waxwingwall.Tokens) {
	j := s.jobs[id]
	if j == nil || j.endpoint == nil || j.attempt != attempt {
		return
	}
	e := j.endpoint
	e.lastActivity = now
	e.failures = 0
	if !j.hasOutput {
		j.hasOutput = true
		j.tokens = max(j.tokens, tokens)
		if j.flow != nil {
			j.flow.estimates.firstToken.add(now.Sub(j.dispatchedAt))
		}
	} else if n := tokens - j.tokens; n > 0 {
		// Tokens that come together tell nothing, nor those just after a
		// resumption, some of which are old.
		idle := now.Sub(j.lastProgress)
		if idle > 0 && (j.attempt == 1 || j.hasProgress) {
			s.recordTokenGap(now, e, idle/time.Duration(n))
		}
		j.hasProgress = true
		j.tokens = tokens
	}
	j.lastProgress = now
}

// recordTokenGap takes in a time between two tokens of an endpoint.
func (s *Scheduler) recordTokenGap(now time.Time, e *endpoint, gap time.Duration) {
	e.tokenGap.add(gap)
	e.tokenGapAt = now
	s.adjustWindow(now, e)
}

// adjustWindow fits an endpoint's window to the time between its tokens.
func (s *Scheduler) adjustWindow(now time.Time, e *endpoint) {
	if now.Sub(e.windowChangedAt) < windowChangeInterval || len(s.ranks) == 0 {
		return
	}
	target := s.ranks[0].BetweenTokens
	maxWindow := float64(max(1, e.spec.Concurrency))
	old := e.window
	switch {
	case target == 0:
		return
	case e.tokenGap.duration() > target:
		e.window = max(1, e.window-1)
	case e.tokenGap.duration() < target*4/5:
		e.window = min(maxWindow, e.window+1)
	}
	if e.window != old {
		e.windowChangedAt = now
		s.sharesStale = true
	}
}

// handleLoadReport takes in a load report. Reports in a row that show as many waiting
// as running requests, while fewer run than the endpoint is set for, show its
// true concurrency. Shorter lines form between the steps of a batch and tell
// nothing.
func (s *Scheduler) handleLoadReport(now time.Time, r LoadReport) {
	e := s.byName[r.Endpoint]
	if e == nil || now.Sub(r.At) > reportTTL {
		return
	}
	busy := r.Running*busyDivisor >= max(1, e.spec.Concurrency)
	if r.TokenRate > 0 && busy && e.busy && !e.spec.Service {
		// A report speaks for all streams over some time, in which an endpoint
		// that was not busy may have been idle.
		gap := time.Duration(float64(r.Running) / r.TokenRate * float64(time.Second))
		for range reportSamples {
			s.recordTokenGap(now, e, gap)
		}
	}
	e.busy = busy
	if r.Running == 0 || r.Waiting < r.Running || float64(r.Running) >= e.window {
		e.saturated = 0
		return
	}
	e.saturated++
	if e.saturated >= saturatedReports {
		e.window = float64(r.Running)
		e.windowChangedAt = now
		s.sharesStale = true
	}
}

// handleFinished takes in the end of an attempt.
func (s *Scheduler) handleFinished(now time.Time, ev Finished) []effect.Action {
	j := s.jobs[ev.Identity]
	if j == nil || j.endpoint == nil || j.attempt != ev.Attempt {
		return nil
	}
	e := j.endpoint
	j.tokens = max(j.tokens, ev.Tokens)
	if ev.Failure == None || ev.Failure == Cancelled {
		if ev.Failure == None {
			s.recordSuccess(now, j, e)
		}
		s.drop(j)
		return nil
	}
	if ev.Failure != IdleTimeout || j.newConnection {
		e.backOff(now)
	}
	var acts []effect.Action
	if ev.Failure == Crashed {
		acts = s.recordCrash(now, j, e)
	}
	return append(acts, s.handleFailure(now, j, ev.Failure)...)
}

func (s *Scheduler) recordSuccess(now time.Time, j *job, e *endpoint) {
	e.lastActivity = now
	e.failures = 0
	if j.flow != nil && j.attempt == 1 {
		j.flow.estimates.slotTime.add(now.Sub(j.dispatchedAt))
	}
}

// backOff keeps an endpoint that failed from getting new work for a while.
func (e *endpoint) backOff(now time.Time) {
	if now.Before(e.backoffUntil) {
		return
	}
	d := min(minBackoff<<min(e.failures, 10), maxBackoff)
	e.failures++
	e.backoffUntil = now.Add(d)
}

// recordCrash counts a crash and tells the peers at once.
func (s *Scheduler) recordCrash(now time.Time, j *job, e *endpoint) []effect.Action {
	n, counted := s.suspects.RecordCrash(now, s.self, j.work.Fingerprint, e.spec.Name)
	if !counted || s.self.IsZero() {
		return nil
	}
	return s.sendDemand(now, []quarantine.Notice{n})
}

// handleFailure dispatches a failed job again if it may run again, or ends it.
func (s *Scheduler) handleFailure(now time.Time, j *job, f Failure) []effect.Action {
	e := j.endpoint
	s.releaseSlot(j)
	s.sharesStale = true
	s.demandUnsent = true
	if s.mayRetry(now, j) {
		s.retries.Take()
		j.avoid = e
		j.newConnection = f == IdleTimeout && !e.lastActivity.After(j.dispatchedAt)
		j.queuedAt = now
		j.flow.queue = append([]*job{j}, j.flow.queue...)
		return nil
	}
	s.drop(j)
	if s.suspects.Blocked(now, j.work.Fingerprint) {
		return []effect.Action{s.refuse(j, quarantinedProblem())}
	}
	p := notRunProblem(http.StatusBadGateway, "endpoint_failed",
		"The endpoint failed while it ran the request.", s.jittered(idleRetryAfter))
	if f == Rejected && j.attempt == 1 {
		p.Status = http.StatusServiceUnavailable
		return []effect.Action{Refuse{
			Identity: j.work.Identity,
			Problem:  p,
		}}
	}
	if !j.work.Idempotent {
		p.RetryAfter = 0
	}
	return []effect.Action{s.refuse(j, p)}
}

// mayRetry reports whether the job may be dispatched once more.
func (s *Scheduler) mayRetry(now time.Time, j *job) bool {
	if !j.work.Idempotent || j.flow == nil || j.attempt >= maxAttempts {
		return false
	}
	if s.suspects.Blocked(now, j.work.Fingerprint) {
		return false
	}
	return s.retries.Left() >= 1
}
