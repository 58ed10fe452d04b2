package sched

import (
	"time"

	"waxwingwall/core/effect"
)

const (
	// Bounds for the time without a sign of life after which a connection is
	// thought silent, as parts of the rank's target for the first token.
	minIdleFraction = 0.3
	maxIdleFraction = 0.5

	// activeIdleFraction stands for maxSilence while other connections to the endpoint
	// carry something, so that only this one may be silent.
	activeIdleFraction = 0.65

	// idleFactor times what is usual is the time allowed between them.
	idleFactor = 3

	// nonIdempotentTargets is how many targets work that can't be repeated waits for
	// an answer before its outcome is said to be unknown.
	nonIdempotentTargets = 4
)

// cancelIdle cancels attempts on connections that went silent. Idempotent work is
// dispatched again on a new connection; the endpoint rests only if that one is
// silent too.
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

// isIdle reports whether to stop waiting for an attempt. One that can't be
// repeated is given more time, for its connection may only be slow.
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

// idleTimeout is how long an attempt may show no sign of life.
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

// maxProgressTokens is the number of tokens after which a driver tells of
// progress at the latest.
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
