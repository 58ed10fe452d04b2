package router

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/effect"
)

// sweepInterval is the time between two sweeps. A sweep visits every run of the
// last runRetention and blocks the control goroutine meanwhile, so it does not
// run on every tick.
const sweepInterval = time.Second

// control is the main loop of the control goroutine. It handles jobs and ticks
// sequentially until the router stops. On a busy VM the inbox is long, so updates go before it: a
// request must not be judged by an older configuration or list of endpoints than the router has
// received.
func (r *Router) control() {
	ticker := time.NewTicker(r.settings.Timing.TickInterval)
	defer ticker.Stop()
	sweeper := time.NewTicker(sweepInterval)
	defer sweeper.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case j := <-r.updates:
			r.runJob(j)
		case j := <-r.inbox:
			r.runUpdates()
			r.runJob(j)
		case now := <-ticker.C:
			r.step(now, effect.Tick{})
		case now := <-sweeper.C:
			r.sweep(now)
		}
	}
}

// runUpdates runs the updates that wait, but no more than their queue holds: jobs go on as well
// while peers send updates without a pause.
func (r *Router) runUpdates() {
	for range updatesSize {
		select {
		case j := <-r.updates:
			r.runJob(j)
		default:
			return
		}
	}
}

// runJob runs one job. It drops events for another incarnation.
func (r *Router) runJob(j job) {
	now := time.Now()
	if j.call != nil {
		j.call(now)
		return
	}
	if j.boot == 0 || j.boot == r.self.Boot {
		r.step(now, j.event)
	}
}

// step passes an event to the node and performs the resulting actions.
func (r *Router) step(now time.Time, ev effect.Event) {
	r.perform(now, r.node.Step(now, ev))
	if r.node.Drained() {
		r.endDrain()
	}
}

// endDrain signals, once, that a graceful stop is complete.
func (r *Router) endDrain() {
	r.drainedOnce.Do(func() {
		r.log.Info("drain is complete")
		close(r.drained)
	})
}

// sweep removes expired runs and cancels abandoned ones.
func (r *Router) sweep(now time.Time) {
	for _, id := range r.runs.sweep(now) {
		r.step(now, core.CallerLeft{
			Identity: id,
		})
	}
}

// post queues an event for the control goroutine.
func (r *Router) post(ev effect.Event) {
	r.enqueue(r.ctx, job{event: ev})
}

// postTo queues an event for one incarnation. It is dropped if a later
// incarnation is current when it is handled.
func (r *Router) postTo(boot int64, ev effect.Event) {
	r.enqueue(r.ctx, job{
		event: ev,
		boot:  boot,
	})
}

// enqueue queues a job. It returns false if ctx or the router's context is done
// first.
func (r *Router) enqueue(ctx context.Context, j job) bool {
	queue := r.inbox
	if j.update || core.IsUpdate(j.event) {
		queue = r.updates
	}
	select {
	case queue <- j:
		return true
	case <-ctx.Done():
		return false
	case <-r.ctx.Done():
		return false
	}
}

// callControl calls f on the control goroutine and waits for it to return.
func (r *Router) callControl(ctx context.Context, f func(now time.Time)) error {
	return r.callQueued(ctx, f, false)
}

// callUpdate is callControl for an update.
func (r *Router) callUpdate(ctx context.Context, f func(now time.Time)) error {
	return r.callQueued(ctx, f, true)
}

// callQueued calls f on the control goroutine, as an update or not, and waits for it to return.
func (r *Router) callQueued(ctx context.Context, f func(now time.Time), update bool) error {
	done := make(chan struct{})
	sent := r.enqueue(ctx, job{
		call: func(now time.Time) {
			f(now)
			close(done)
		},
		update: update,
	})
	if !sent {
		return trace.Wrap(r.abortCause(ctx))
	}
	select {
	case <-done:
		return nil
	case <-r.ctx.Done():
		return trace.Wrap(r.abortCause(ctx))
	}
}

// abortCause returns why a job did not run: ctx is done, or the router is
// stopping.
func (r *Router) abortCause(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return stopping()
}

// stopping returns the problem of a run whose router is stopping. The request
// may have run.
func stopping() *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       core.CodeStopping,
		Message:    "this router is going away",
		Outcome:    waxwingwall.Unknown,
		RetryAfter: unavailableRetryAfter,
	}
}
