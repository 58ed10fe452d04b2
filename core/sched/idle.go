package sched

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// Bounds of the idle timeout of a connection, as fractions of the rank's
	// FirstToken target.
	minIdleFraction = 0.3
	maxIdleFraction = 0.5

	// activeIdleFraction replaces both bounds if another connection to the
	// endpoint has carried data since the dispatch, so that only this
	// connection may be dead.
	activeIdleFraction = 0.65

	// idleFactor times the expected time between outputs is the idle timeout,
	// before the bounds apply.
	idleFactor = 3

	// maxSilence is the longest time for which an attempt may produce no output, and a
	// request that has run before may wait for its next attempt. It is not less than
	// what the driver allows.
	maxSilence = 30 * time.Second

	// leaveRetries is the number of retries that are taken to leave an idle attempt: one
	// for the next attempt, and one more in case its endpoint declines.
	leaveRetries = 2

	// silentTimeouts is the time, in idle timeouts, after which an attempt that can't
	// be moved shows that its endpoint is silent, and not just its connection.
	silentTimeouts = 2
)

// handleIdle handles the attempts whose idle timeout has passed.
func (s *Scheduler) handleIdle(now time.Time) []effect.Action {
	var idle []*job
	for _, table := range [][]*endpoint{s.endpoints, s.removed} {
		for _, e := range table {
			for _, j := range e.running {
				if s.isIdle(now, j) {
					idle = append(idle, j)
				}
			}
		}
	}
	var acts []effect.Action
	for _, j := range idle {
		acts = append(acts, s.handleIdleAttempt(now, j)...)
	}
	return acts
}

// Hold stops the idle timeout of a dispatched attempt, and its preemption, until Start: the
// driver has yet to send the request.
func (s *Scheduler) Hold(id waxwingwall.Identity) {
	if j := s.jobs[id]; j != nil && j.endpoint != nil {
		j.held = true
	}
}

// Start restarts the idle timeout of a held attempt.
func (s *Scheduler) Start(now time.Time, id waxwingwall.Identity) {
	if j := s.jobs[id]; j != nil && j.held {
		j.held = false
		j.lastProgress = now
	}
}

// isIdle reports whether an attempt has timed out.
func (s *Scheduler) isIdle(now time.Time, j *job) bool {
	return !j.held && now.Sub(j.lastProgress) > s.idleTimeout(j)
}

// handleIdleAttempt moves an idle attempt to an endpoint that takes it at once. An
// attempt that can't be moved continues until maxSilence, because its endpoint may
// only be slow.
func (s *Scheduler) handleIdleAttempt(now time.Time, j *job) []effect.Action {
	if s.isSilent(now, j) {
		j.endpoint.backOff(now)
	}
	if now.Sub(j.lastProgress) > maxSilence {
		return append([]effect.Action{s.cancelIdle(now, j)}, s.handleFailure(now, j, IdleTimeout)...)
	}
	if !s.mayLeave(now, j) {
		return nil
	}
	to, newConnection := s.nextEndpoint(now, j)
	if to == nil {
		s.askPermit(now, j)
		return nil
	}
	cancel := s.leaveEndpoint(now, j)
	j.newConnection = newConnection
	return []effect.Action{cancel, s.dispatch(now, j, to)}
}

// mayLeave reports whether an idle attempt may be left: for another attempt, and for one
// more in case the endpoint declines that.
func (s *Scheduler) mayLeave(now time.Time, j *job) bool {
	return j.attempt+1 < maxAttempts && s.retries.Left() >= leaveRetries && s.mayRetry(now, j)
}

// returnSpare returns the retry that was taken in case the next endpoint declines.
func (s *Scheduler) returnSpare(j *job) {
	if j.spareRetry {
		j.spareRetry = false
		s.retries.Return()
	}
}

// isSilent reports whether an idle attempt shows that its endpoint is silent: nothing
// arrived on a new connection either.
func (s *Scheduler) isSilent(now time.Time, j *job) bool {
	if !j.work.Idempotent || j.endpoint.lastActivity.After(j.lastProgress) {
		return false
	}
	return j.newConnection || now.Sub(j.lastProgress) > silentTimeouts*s.idleTimeout(j)
}

// nextEndpoint returns the endpoint that takes the next attempt of an idle job at once,
// and whether the attempt needs a new connection. The endpoint is the same one if only
// the connection may have failed, and nil if none takes it.
func (s *Scheduler) nextEndpoint(now time.Time, j *job) (to *endpoint, newConnection bool) {
	e := j.endpoint
	newConnection = !e.lastActivity.After(j.dispatchedAt)
	if newConnection && s.fits(now, j, e) {
		return e, true
	}
	if to := s.chooseOther(now, j, e); to != nil {
		return to, newConnection
	}
	if to := s.chooseAny(now, j, e); to != nil {
		return to, newConnection
	}
	if now.Sub(e.lastActivity) <= s.idleTimeout(j) && s.fits(now, j, e) {
		return e, true
	}
	return nil, false
}

// leaveEndpoint ends an idle attempt for a retry that is dispatched next.
func (s *Scheduler) leaveEndpoint(now time.Time, j *job) effect.Action {
	cancel := s.cancelIdle(now, j)
	s.returnSpare(j)
	for range leaveRetries {
		s.retries.Take()
	}
	j.spareRetry = true
	j.failedEndpoint = j.endpoint
	s.releaseSlot(j)
	j.queuedAt = now
	s.sharesStale = true
	return cancel
}

// idleTimeout returns how long an attempt may produce no output.
func (s *Scheduler) idleTimeout(j *job) time.Duration {
	if j.class == nil {
		return maxSilence
	}
	target := j.class.spec.FirstToken
	low := time.Duration(minIdleFraction * float64(target))
	high := time.Duration(maxIdleFraction * float64(target))
	upper := j.flow.estimates.firstToken.upperBound()
	expected := idleFactor * upper
	if j.endpoint.lastActivity.After(j.dispatchedAt) {
		high = time.Duration(activeIdleFraction * float64(target))
		low = high
	}
	if j.hasOutput {
		gap := max(j.endpoint.tokenGap.duration(), j.class.spec.BetweenTokens/2)
		expected = idleFactor * maxProgressTokens * gap
		high = target
		upper = 0
	}
	return max(upper, min(max(expected, low), high))
}

// maxProgressTokens is the assumed maximum number of tokens between two Progress
// events of an attempt. A driver that limits the rate of these events can exceed
// it at a fast endpoint.
const maxProgressTokens = 8

// cancelIdle returns the action that cancels an idle attempt.
func (s *Scheduler) cancelIdle(now time.Time, j *job) effect.Action {
	e := j.endpoint
	if j.hasOutput && e.lastActivity.After(j.lastProgress) {
		s.recordTokenGap(now, e, now.Sub(j.lastProgress)/maxProgressTokens)
	}
	return Cancel{
		Identity: j.work.Identity,
		Attempt:  j.attempt,
		Reason:   IdleTimeout,
	}
}
