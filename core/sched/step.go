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
	// maxAttempts limits the dispatches of one request.
	maxAttempts = 4

	// Backoff of a failed endpoint, doubled with each consecutive failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 5 * time.Second

	// maintenanceInterval is the interval at which queues are checked and
	// expired entries removed.
	maintenanceInterval = 50 * time.Millisecond

	// reportTTL is the age above which a load report is ignored.
	reportTTL = 3 * time.Second

	// tokenGapTTL is the time without new samples after which the token gap of
	// an endpoint is discarded.
	tokenGapTTL = 5 * time.Second

	// maxOverdueTargets is the delay, in FirstToken targets, by which queued work
	// must be expected to miss its deadline before it is refused.
	maxOverdueTargets = 4

	// maxCreditSlotSeconds bounds the credit of a class, in both directions.
	maxCreditSlotSeconds = 1.0

	// saturatedReports is the number of consecutive saturated load reports
	// after which a window is reduced.
	saturatedReports = 2

	// reportSamples is the number of token gap samples that one load report
	// counts for.
	reportSamples = 7

	// busyDivisor sets the utilization from which load reports are used as
	// token gap samples: at least 1/busyDivisor of the endpoint's slots in use.
	busyDivisor = 4

	// windowChangeInterval is the minimum time between two changes of a window.
	windowChangeInterval = 500 * time.Millisecond
)

// Step applies an event and returns the resulting actions.
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
	case LimitNamed:
		s.handleLimitNamed(now, ev)
	case LoadReport:
		s.handleLoadReport(now, ev)
		s.observeReport(now, ev)
	case effect.Received:
		s.handleReceived(now, ev)
	case effect.Tick:
		acts = s.handleTick(now)
	}
	s.performLimits(now, s.limits.Step(now, ev))
	acts = append(acts, s.takePendingActions()...)
	if s.sharesStale {
		s.updateShares(now)
	}
	acts = append(acts, s.dispatchQueued(now)...)
	return append(acts, s.sendDueDemand(now)...)
}

func (s *Scheduler) handleTick(now time.Time) []effect.Action {
	acts := s.handleIdle(now)
	if now.Sub(s.lastMaintenance) < maintenanceInterval {
		return acts
	}
	s.lastMaintenance = now
	s.crashes.Expire(now)
	s.parts.Expire(now)
	s.updatePeerInFlight(now)
	s.dropIdleFlows(now)
	s.dropRemoved()
	s.peerDemandStale = true
	for _, e := range s.endpoints {
		if now.Sub(e.tokenGapAt) > tokenGapTTL {
			e.tokenGap = mean{}
		}
	}
	s.sharesStale = true
	return append(acts, s.refuseOverdue(now)...)
}

// dropIdleFlows removes flows without demand and without an outstanding
// Retry-After.
func (s *Scheduler) dropIdleFlows(now time.Time) {
	for _, p := range s.pools {
		for _, c := range p.classes {
			c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool {
				return f.demand(now) < negligibleSlots && now.After(f.nextRetryAt)
			})
		}
	}
}

// refuseOverdue refuses queued work that is expected to miss its deadline by
// far because capacity was lost since its offer. Work that is only a little
// late is served: refusing it after it was queued would be worse.
// Work that has run before waits up to maxSilence for its next attempt.
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
		if a, ok := s.refusePaused(now, j); ok {
			acts = append(acts, a)
			continue
		}
		if j.attempt > 0 {
			if now.Sub(j.queuedAt) > maxSilence {
				s.drop(j)
				acts = append(acts, s.refuse(j, s.noEndpointProblem(j)))
			}
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

// dispatchQueued dispatches queued jobs within the router's shares.
func (s *Scheduler) dispatchQueued(now time.Time) []effect.Action {
	var acts []effect.Action
	for _, p := range s.pools {
		for {
			if j, e := s.nextDispatch(now, p); j != nil {
				acts = append(acts, s.dispatch(now, j, e))
				continue
			}
			if resolved := s.limits.Take(); len(resolved) > 0 {
				s.performLimits(now, resolved)
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

// nextDispatch returns the next job of a pool to dispatch and its endpoint.
func (s *Scheduler) nextDispatch(now time.Time, p *pool) (*job, *endpoint) {
	for _, c := range p.classes {
		if !p.mayStart(now, c) {
			continue
		}
		for _, f := range c.byUtilization() {
			s.dropBlocked(now, f)
			if len(f.queue) == 0 || f.queue[0].ask != 0 {
				continue
			}
			j, e := s.pick(now, f)
			if e != nil && !s.prefersLimited(now, j, e) {
				return j, e
			}
			s.askPermit(now, j)
			if e != nil && j.ask == 0 {
				return j, e
			}
		}
	}
	return nil, nil
}

// mayStart reports whether the router's share of the pool allows one more job
// of the class. Credit accounts for fractional slots, which are used part of
// the time.
func (p *pool) mayStart(now time.Time, c *class) bool {
	room := p.room(c)
	c.updateCredit(now, room)
	running := float64(c.inFlight)
	return running+1 <= room || running < room && c.credit >= 0
}

// room returns the router's share of the pool that the class may use, in slots.
func (p *pool) room(c *class) float64 {
	room := c.granted + p.spare
	if c == p.classes[0] {
		room += p.headroom
	}
	return room
}

// updateCredit adds the class's unused share since the last update to its
// credit, or subtracts its overuse.
func (c *class) updateCredit(now time.Time, room float64) {
	if !c.creditAt.IsZero() {
		c.credit += (room - float64(c.inFlight)) * now.Sub(c.creditAt).Seconds()
		c.credit = min(max(c.credit, -maxCreditSlotSeconds), maxCreditSlotSeconds)
	}
	c.creditAt = now
}

// byUtilization returns the flows with queued work in ascending order of
// utilization.
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
	for s.crashes.Len()+s.parts.Len() > 0 && len(f.queue) > 0 {
		j := f.queue[0]
		if !s.isBlocked(now, j.work) {
			return
		}
		s.drop(j)
		s.pendingActions = append(s.pendingActions, s.refuse(j, quarantinedProblem()))
	}
}

// refuse returns the Refuse action of a job. The outcome remains not_run only
// if the job was never dispatched, here or by an earlier owner.
func (s *Scheduler) refuse(j *job, p *waxwingwall.Problem) Refuse {
	if j.attempt > 0 || j.tokens > 0 {
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
	j.attemptVersion = e.spec.Version
	j.dispatchedAt = now
	j.lastProgress = now
	j.held = false
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
	s.cancelAsk(j)
	j.limitSeq = s.limits.Seq(e.spec.Name)
	return Dispatch{
		Identity:      j.work.Identity,
		Attempt:       j.attempt,
		Endpoint:      e.spec.Name,
		Version:       e.spec.Version,
		Resume:        j.tokens > 0,
		NewConnection: j.newConnection || !j.work.Idempotent,
		Limited:       s.limits.Limited(e.spec.Name),
	}
}

// recordProgress updates an attempt and its endpoint after output from the
// attempt.
func (s *Scheduler) recordProgress(now time.Time, id waxwingwall.Identity, attempt int, tokens waxwingwall.Tokens) {
	j := s.jobs[id]
	if j == nil || j.endpoint == nil || j.attempt != attempt {
		return
	}
	e := j.endpoint
	e.lastActivity = now
	e.failures = 0
	j.setVersion(tokens)
	if !j.hasOutput {
		s.returnSpare(j)
		j.hasOutput = true
		j.tokens = max(j.tokens, tokens)
		if j.flow != nil {
			j.flow.estimates.firstToken.add(now.Sub(j.dispatchedAt))
		}
	} else if n := tokens - j.tokens; n > 0 {
		// Tokens that arrive together are no sample of the token gap, and
		// neither are those just after a resumption, some of which are old.
		idle := now.Sub(j.lastProgress)
		if idle > 0 && (j.attempt == 1 || j.hasProgress) {
			s.recordTokenGap(now, e, idle/time.Duration(n))
		}
		j.hasProgress = true
		j.tokens = tokens
	}
	j.lastProgress = now
}

// recordTokenGap adds a sample of the time between two tokens of an endpoint.
func (s *Scheduler) recordTokenGap(now time.Time, e *endpoint, gap time.Duration) {
	e.tokenGap.add(gap)
	e.tokenGapAt = now
	s.adjustWindow(now, e)
}

// adjustWindow adapts an endpoint's window to its token gap.
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

// handleLoadReport applies a load report. Consecutive reports with at least as
// many waiting as running requests, while fewer run than the window allows,
// show the endpoint's actual concurrency. Shorter queues form between the steps
// of a batch and are ignored.
func (s *Scheduler) handleLoadReport(now time.Time, r LoadReport) {
	e := s.byName[r.Endpoint]
	if e == nil || now.Sub(r.At) > reportTTL {
		return
	}
	busy := r.Running*busyDivisor >= max(1, e.spec.Concurrency)
	if r.TokenRate > 0 && busy && e.busy && !e.spec.Service {
		// The reported rate is an average over all streams and some time,
		// during which an endpoint that was not busy may have been idle.
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

// handleFinished applies the end of an attempt.
func (s *Scheduler) handleFinished(now time.Time, ev Finished) []effect.Action {
	j := s.jobs[ev.Identity]
	if j == nil || j.endpoint == nil || j.attempt != ev.Attempt {
		return nil
	}
	e := j.endpoint
	j.setVersion(ev.Tokens)
	j.tokens = max(j.tokens, ev.Tokens)
	if ev.Failure == OtherVersion {
		j.version = ev.Version
		return s.handleFailure(now, j, ev.Failure)
	}
	var acts []effect.Action
	if ev.Failure == None || ev.Failure == Cancelled {
		if ev.Failure == None {
			s.recordSuccess(now, j, e)
			acts = s.clearParts(now, j)
		}
		s.drop(j)
		return acts
	}
	if ev.RetryAfter > 0 {
		e.pause(now, ev.RetryAfter)
	}
	if ev.Failure != IdleTimeout || j.newConnection {
		e.backOff(now)
	}
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

// backOff stops new dispatches to a failed endpoint for a while.
func (e *endpoint) backOff(now time.Time) {
	if now.Before(e.backoffUntil) {
		return
	}
	d := min(minBackoff<<min(e.failures, 10), maxBackoff)
	e.failures++
	e.backoffUntil = now.Add(d)
}

// recordCrash counts a crash and notifies the peers at once.
func (s *Scheduler) recordCrash(now time.Time, j *job, e *endpoint) []effect.Action {
	var notices []quarantine.Notice
	if n, counted := s.crashes.RecordCrash(now, s.self, j.work.Fingerprint, e.spec.Name); counted {
		notices = append(notices, n)
	}
	parts := s.suspectParts(now, j, e)
	if len(notices)+len(parts) == 0 || s.self.IsZero() {
		return nil
	}
	return s.sendDemand(now, notices, parts...)
}

// handleFailure queues a failed job for a retry if that is allowed, or ends it.
func (s *Scheduler) handleFailure(now time.Time, j *job, f Failure) []effect.Action {
	e := j.endpoint
	s.releaseSlot(j)
	s.sharesStale = true
	s.demandUnsent = true
	if f == Declined {
		j.declined++
	}
	if !j.mayHaveRun() {
		if a, ok := s.refusePaused(now, j); ok {
			return []effect.Action{a}
		}
	}
	if s.mayRetry(now, j) {
		if !j.spareRetry {
			s.retries.Take()
		}
		j.spareRetry = false
		j.failedEndpoint = e
		j.newConnection = f == IdleTimeout && !e.lastActivity.After(j.dispatchedAt)
		j.queuedAt = now
		j.flow.queue = append([]*job{j}, j.flow.queue...)
		return nil
	}
	s.drop(j)
	if s.isBlocked(now, j.work) {
		return []effect.Action{s.refuse(j, quarantinedProblem())}
	}
	p := notRunProblem(http.StatusBadGateway, "endpoint_failed",
		"The endpoint failed while it ran the request.", s.jittered(defaultRetryAfter))
	if f == Declined && j.attempt == 1 {
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

// mayRetry reports whether the job may be dispatched again.
func (s *Scheduler) mayRetry(now time.Time, j *job) bool {
	if !j.work.Idempotent || j.flow == nil || j.attempt >= maxAttempts {
		return false
	}
	if s.isBlocked(now, j.work) || !j.pool.servesVersion(j) {
		return false
	}
	return j.spareRetry || s.retries.Left() >= 1
}
