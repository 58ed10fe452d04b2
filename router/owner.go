package router

import (
	"context"
	"net/http"
	"time"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/effect"
	"waxwingwall/io/peer"
)

// Submit implements waxwingwall.Owner for the requests of this router's slots.
func (r *Router) Submit(ctx context.Context, req *waxwingwall.Request) (s waxwingwall.Submitted, err error) {
	err = r.callControl(ctx, func(now time.Time) {
		s = r.submit(now, req)
	})
	return s, err
}

// submit attaches to an existing run or submits the request to the node. It
// runs on the control goroutine.
func (r *Router) submit(now time.Time, req *waxwingwall.Request) waxwingwall.Submitted {
	if existing := r.runs.get(req.Identity); existing != nil && !existing.replaceable(req) {
		return waxwingwall.Submitted{}
	}
	s, actions := r.node.Submit(now, req)
	if s.Problem == nil && s.Owner.IsZero() {
		r.runs.put(req.Identity, newRun(req, now))
	}
	r.perform(now, actions)
	return s
}

// Next implements waxwingwall.Owner.
func (r *Router) Next(ctx context.Context, id waxwingwall.Identity, offset int) (waxwingwall.Frames, error) {
	rn := r.runs.get(id)
	if rn == nil {
		return waxwingwall.Frames{
			End: &waxwingwall.End{
				Problem: requestNotFound(),
			},
		}, nil
	}
	return rn.next(ctx, offset), nil
}

// requestNotFound returns the problem of a request that has no run on this
// router, or no longer has one.
func requestNotFound() *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       core.CodeStopping,
		Message:    "the request is not here",
		Outcome:    waxwingwall.Unknown,
		RetryAfter: time.Second,
	}
}

// Leave implements waxwingwall.Owner.
func (r *Router) Leave(ctx context.Context, id waxwingwall.Identity) error {
	return r.callControl(ctx, func(now time.Time) {
		r.perform(now, r.node.Step(now, core.CallerLeft{
			Identity: id,
		}))
	})
}

// Status implements waxwingwall.Owner.
func (r *Router) Status(ctx context.Context, id waxwingwall.Identity, spread int) (s waxwingwall.Status, err error) {
	err = r.callControl(ctx, func(time.Time) {
		s = r.node.Status(id, spread)
	})
	return s, err
}

// Receive implements peer.Handler.
func (r *Router) Receive(e peer.Envelope) {
	if e.To.VM != r.settings.Router.VM || (e.To.Boot != 0 && e.To.Boot != r.boot.Load()) {
		return
	}
	r.postTo(e.To.Boot, effect.Received{
		From:    e.From,
		Message: e.Message,
	})
}
