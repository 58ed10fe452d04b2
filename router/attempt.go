package router

import (
	"context"
	"fmt"
	"time"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/sched"
)

// progressInterval is the minimum time between two progress events of one
// attempt.
const progressInterval = 25 * time.Millisecond

// attemptIdleTimeout is the longest time that an attempt may run without
// output. The scheduler leaves a stalled attempt earlier if another endpoint takes
// the request at once; otherwise the attempt waits, until this timeout ends it.
const attemptIdleTimeout = 30 * time.Second

// start starts an attempt on an endpoint.
func (r *Router) start(a core.StartAttempt) {
	rn := r.runs.get(a.Identity)
	if rn == nil {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	offset, version, ok := rn.beginAttempt(a.Attempt, a.Version, cancel)
	if !ok {
		cancel()
		boot := r.self.Boot
		r.spawn(func() {
			r.postTo(boot, core.AttemptEnded{
				Identity: a.Identity,
				Attempt:  a.Attempt,
				Output:   waxwingwall.Tokens(offset),
				Failure:  sched.OtherVersion,
				Version:  version,
			})
		})
		return
	}
	t := &attempt{
		boot:   r.self.Boot,
		id:     fmt.Sprintf("%s.%s.%d", r.self, a.Identity.Key, a.Attempt),
		router: r,
		run:    rn,
		start:  a,
		offset: offset,
	}
	r.spawn(func() {
		defer cancel()
		t.execute(ctx)
	})
}

// attempt is a running attempt. Only its own goroutine accesses it.
type attempt struct {
	// boot is the boot time of the incarnation that started the attempt.
	boot int64

	// id identifies the attempt at the endpoint.
	id string

	router *Router
	run    *run

	// start is the action that requested the attempt; offset is the number of
	// frames from earlier attempts.
	start  core.StartAttempt
	offset int

	// lastReport is the time of the last progress event sent to the control
	// goroutine.
	lastReport time.Time

	// truncated is set if the attempt used up the reservation.
	truncated bool
}

// execute runs the attempt to completion and reports the result to the control
// goroutine.
func (t *attempt) execute(ctx context.Context) {
	res := t.router.runner.Run(ctx, waxwingwall.Attempt{
		ID:            t.id,
		Request:       t.run.request,
		Address:       t.start.Address,
		Offset:        t.offset,
		NewConnection: t.start.NewConnection,
		IdleTimeout:   attemptIdleTimeout,
		OnLimit:       t.reportLimit,
		OnEnding:      t.logEnding,
	}, t.emit)
	if t.truncated {
		res = waxwingwall.AttemptResult{
			Failure: waxwingwall.FailureNone,
			Finish:  waxwingwall.FinishLength,
		}
	}
	if res.Err != nil {
		t.router.log.WithError(res.Err).WithField("endpoint", t.start.Endpoint).Debug("attempt failed")
	}
	t.router.postTo(t.boot, core.AttemptEnded{
		Identity: t.start.Identity,
		Attempt:  t.start.Attempt,
		Output:   waxwingwall.Tokens(t.run.count()),
		Failure:  failureOf(res.Failure),
		Finish:   res.Finish,
		Body:     res.Body,

		RetryAfter: t.parseRetryAfter(res.RetryAfter),
	})
}

// logEnding logs how the answer ended with its connection.
func (t *attempt) logEnding(e waxwingwall.Ending) {
	t.router.log.WithField("attempt", t.id).WithField("endpoint", t.start.Endpoint).
		WithField("confirmed", e.Confirmed).WithField("asked", e.Asked).WithField("status", e.Status).
		WithField("took", e.Took).WithField("accompanied", e.Accompanied).Info("connection_ended")
}

// reportLimit reports the limit that the endpoint names in the header of its answer, or
// that it names none any more.
func (t *attempt) reportLimit(text string) {
	limit, ok := t.router.parseLimit(t.start.Endpoint, text)
	if !ok || !limit.Named && !t.start.Limited {
		return
	}
	t.router.postTo(t.boot, core.LimitNamed{
		Identity: t.start.Identity,
		Attempt:  t.start.Attempt,
		Limit:    limit,
	})
}

// parseLimit parses the limit that an endpoint names; an empty text is no limit.
func (r *Router) parseLimit(endpoint waxwingwall.Endpoint, text string) (waxwingwall.RateLimit, bool) {
	if text == "" {
		return waxwingwall.RateLimit{}, true
	}
	limit, ok := waxwingwall.ParseRateLimit(text)
	if !ok {
		r.log.WithField("endpoint", endpoint).WithField("limit", text).Warn("limit_unreadable")
	}
	return limit, ok
}

// parseRetryAfter parses the time that an unavailable endpoint names; zero if it names
// none.
func (t *attempt) parseRetryAfter(text string) time.Duration {
	if text == "" {
		return 0
	}
	wait, ok := waxwingwall.ParseRetryAfter(text)
	if !ok {
		t.router.log.WithField("endpoint", t.start.Endpoint).WithField("retry_after", waxwingwall.Excerpt(text)).Warn("retry_after_unreadable")
	}
	return wait
}

// emit appends one frame. It reports progress to the control goroutine on the
// first frame and then at most once per progressInterval.
func (t *attempt) emit(f waxwingwall.Frame) bool {
	count, what := t.run.add(t.start.Attempt, f)
	if what != added {
		t.truncated = what == beyondLimit
		return false
	}
	now := time.Now()
	if count == 1 {
		t.router.metrics.recordFirstToken(t.run.request, now.Sub(t.run.arrived))
	}
	if now.Sub(t.lastReport) >= progressInterval {
		t.lastReport = now
		t.router.postTo(t.boot, core.AttemptProgress{
			Identity: t.start.Identity,
			Attempt:  t.start.Attempt,
			Output:   waxwingwall.Tokens(count),
		})
	}
	return true
}

// failureOf converts an adapter's failure to the scheduler's.
func failureOf(f waxwingwall.Failure) sched.Failure {
	switch f {
	case waxwingwall.FailureNone:
		return sched.None
	case waxwingwall.FailureDeclined:
		return sched.Declined
	case waxwingwall.FailureCrashed:
		return sched.Crashed
	case waxwingwall.FailureIdleTimeout:
		return sched.IdleTimeout
	case waxwingwall.FailureCancelled:
		return sched.Cancelled
	}
	return sched.Broken
}
