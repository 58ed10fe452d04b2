package router

import (
	"context"
	"fmt"
	"time"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/sched"
)

// progressPause is the least time between two events about one attempt's
// output.
const progressPause = 25 * time.Millisecond

// attemptIdle is the longest time that an attempt may make no progress. The
// scheduler mostly cancels a silent attempt before, but for slow ranks and for
// work that can't be repeated it may wait longer; then this bound ends it.
const attemptIdle = 30 * time.Second

// start begins an attempt on an endpoint.
func (r *Router) start(a core.StartAttempt) {
	one := r.runs.get(a.Identity)
	if one == nil {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	t := &attempt{
		boot:   r.self.Boot,
		id:     fmt.Sprintf("%s.%s.%d", r.self, a.Identity.Key, a.Attempt),
		router: r,
		run:    one,
		start:  a,
		from:   one.begin(a.Attempt, cancel),
	}
	r.goDo(func() {
		defer cancel()
		t.execute(ctx)
	})
}

// attempt is a running attempt. Only its own goroutine touches it.
type attempt struct {
	// boot is that of the incarnation that began the attempt.
	boot int64

	// id is the attempt's name at the endpoint.
	id string

	router *Router
	run    *run

	// start is the order, from the number of frames that there were before.
	start core.StartAttempt
	from  int

	// told is when the control goroutine last heard of progress.
	told time.Time

	// cut is set if the reservation is used up.
	cut bool
}

// execute runs the attempt to its end and tells the control goroutine.
func (t *attempt) execute(ctx context.Context) {
	e := t.router.runner.Run(ctx, waxwingwall.Attempt{
		ID:            t.id,
		Request:       t.run.request,
		Address:       t.start.Address,
		Offset:        t.from,
		NewConnection: t.start.NewConnection,
		IdleTimeout:   attemptIdle,
	}, t.emit)
	if t.cut {
		e = waxwingwall.AttemptResult{
			Finish: waxwingwall.FinishLength,
		}
	}
	if e.Err != nil {
		t.router.log.WithError(e.Err).WithField("endpoint", t.start.Endpoint).Debug("attempt failed")
	}
	t.router.postTo(t.boot, core.AttemptEnded{
		Identity: t.start.Identity,
		Attempt:  t.start.Attempt,
		Output:   waxwingwall.Tokens(t.run.count()),
		Failure:  failureOf(e.Failure),
		Finish:   e.Finish,
		Body:     e.Body,
	})
}

// emit takes one frame and tells the control goroutine of the first one and
// then now and again.
func (t *attempt) emit(f waxwingwall.Frame) bool {
	count, ok := t.run.add(t.start.Attempt, f)
	if !ok {
		t.cut = count >= t.run.limit
		return false
	}
	now := time.Now()
	if count == 1 {
		t.router.metrics.first(t.run.request, now.Sub(t.run.arrived))
	}
	if now.Sub(t.told) >= progressPause {
		t.told = now
		t.router.postTo(t.boot, core.AttemptProgress{
			Identity: t.start.Identity,
			Attempt:  t.start.Attempt,
			Output:   waxwingwall.Tokens(count),
		})
	}
	return true
}

// failureOf maps an adapter's failure to the scheduler's.
func failureOf(f waxwingwall.Failure) sched.Failure {
	switch f {
	case waxwingwall.FailureNone:
		return sched.None
	case waxwingwall.FailureRejected:
		return sched.Rejected
	case waxwingwall.FailureCrashed:
		return sched.Crashed
	case waxwingwall.FailureIdleTimeout:
		return sched.IdleTimeout
	case waxwingwall.FailureCancelled:
		return sched.Cancelled
	}
	return sched.Broken
}
