package sched

import (
	"time"

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

	// nonIdempotentTargets is the time, in FirstToken targets, for which an attempt
	// that can't be retried may be idle before its outcome is reported as unknown.
	nonIdempotentTargets = 4
)

// cancelIdle cancels attempts whose idle timeout has passed. Idempotent work is
// dispatched again on a new connection; the endpoint backs off only if the new
// connection times out too.
func (s *Scheduler) cancelIdle(now time.Time) []effect.Action {
	var acts []effect.Action
	for _, e := range s.endpoints {
		var idle []*job
		for _, j := range e.running {
			if s.isIdle(now, j) {
				idle = append(idle, j)
			}
		}
		for _, j := range idle {
			acts = append(acts, s.cancelIdleAttempt(now, j, e)...)
		}
	}
	return acts
}

// isIdle reports whether an attempt has timed out. An attempt that can't be
// retried gets more time, because its connection may only be slow.
func (s *Scheduler) isIdle(now time.Time, j *job) bool {
	idle := now.Sub(j.lastProgress)
	if idle <= s.idleTimeout(j) {
		return false
	}
	if j.class == nil || s.mayRetry(now, j) {
		return true
	}
	return idle > nonIdempotentTargets*j.class.spec.FirstToken
}

// idleTimeout returns how long an attempt may produce no output.
func (s *Scheduler) idleTimeout(j *job) time.Duration {
	if j.class == nil {
		return maxRetryAfter
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

func (s *Scheduler) cancelIdleAttempt(now time.Time, j *job, e *endpoint) []effect.Action {
	if j.newConnection {
		e.backOff(now)
	}
	if j.hasOutput && e.lastActivity.After(j.lastProgress) {
		s.recordTokenGap(now, e, now.Sub(j.lastProgress)/maxProgressTokens)
	}
	acts := []effect.Action{Cancel{
		Identity: j.work.Identity,
		Attempt:  j.attempt,
		Reason:   IdleTimeout,
	}}
	return append(acts, s.handleFailure(now, j, IdleTimeout)...)
}
