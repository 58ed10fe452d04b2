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

// sweepPause is the time between two sweeps. A sweep visits every run of the
// last runKeep while events wait, so it is not made at every tick.
const sweepPause = time.Second

// control is the control goroutine: it takes jobs and ticks, one after the
// other, until the router stops.
func (r *Router) control() {
	ticker := time.NewTicker(r.settings.Timing.Tick)
	defer ticker.Stop()
	sweeper := time.NewTicker(sweepPause)
	defer sweeper.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case j := <-r.inbox:
			r.do(j)
		case now := <-ticker.C:
			r.step(now, effect.Tick{})
		case now := <-sweeper.C:
			r.sweep(now)
		}
	}
}

// do does one job.
func (r *Router) do(j job) {
	now := time.Now()
	if j.call != nil {
		j.call(now)
		return
	}
	if j.boot == 0 || j.boot == r.self.Boot {
		r.step(now, j.event)
	}
}

// step tells the node of an event and performs what comes out.
func (r *Router) step(now time.Time, ev effect.Event) {
	r.perform(now, r.node.Step(now, ev))
	if r.node.Drained() {
		r.endDrain()
	}
}

// endDrain tells, once, that a graceful stop is over.
func (r *Router) endDrain() {
	r.drainedOnce.Do(func() {
		r.log.Info("drain is complete")
		close(r.drained)
	})
}

// sweep forgets old runs and cancels those that nobody reads.
func (r *Router) sweep(now time.Time) {
	for _, id := range r.runs.sweep(now) {
		r.step(now, core.CallerLeft{
			Identity: id,
		})
	}
}

// post gives an event to the control goroutine.
func (r *Router) post(ev effect.Event) {
	r.send(r.ctx, job{event: ev})
}

// send queues a job. It reports false if the caller's context or the router is
// over first.
// postTo gives an event to the control goroutine for one incarnation; a later one
// does not get it.
func (r *Router) postTo(boot int64, ev effect.Event) {
	r.send(r.ctx, job{
		event: ev,
		boot:  boot,
	})
}

func (r *Router) send(ctx context.Context, j job) bool {
	select {
	case r.inbox <- j:
		return true
	case <-ctx.Done():
		return false
	case <-r.ctx.Done():
		return false
	}
}

// ask calls f in the control goroutine and waits for it.
func (r *Router) ask(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	sent := r.send(ctx, job{
		call: func(now time.Time) {
			f(now)
			close(done)
		},
	})
	if !sent {
		return trace.Wrap(r.gone(ctx))
	}
	select {
	case <-done:
		return nil
	case <-r.ctx.Done():
		return trace.Wrap(r.gone(ctx))
	}
}

// gone says why a job was not done: the caller's context or the router is over.
func (r *Router) gone(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return stopping()
}

// stopping is the end of a run whose router is going away. It may have run.
func stopping() *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       core.CodeStopping,
		Message:    "this router is going away",
		Outcome:    waxwingwall.Unknown,
		RetryAfter: ownerRetry,
	}
}
