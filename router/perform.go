package router

import (
	"context"
	"time"

	"waxwingwall/core"
	"waxwingwall/core/effect"
	"waxwingwall/core/limit"
	"waxwingwall/io/peer"
	"waxwingwall/io/table"
)

// perform performs actions without blocking. It drops the actions that follow
// the end of the incarnation.
func (r *Router) perform(now time.Time, actions []effect.Action) {
	for _, a := range actions {
		r.performOne(now, a)
		if _, stopped := a.(core.IncarnationClosed); stopped {
			return
		}
	}
}

// performOne performs one action, or starts a goroutine for it.
func (r *Router) performOne(now time.Time, a effect.Action) {
	switch a := a.(type) {
	case effect.Transact, effect.Read, effect.List:
		boot := r.self.Boot
		r.spawn(func() { r.performTable(boot, a) })
	case effect.Send:
		r.links.Send(peer.Envelope{
			From:    r.self,
			To:      a.To,
			Message: a.Message,
		})
	case core.StartAttempt:
		r.start(a)
	case core.CancelAttempt:
		if rn := r.runs.get(a.Identity); rn != nil {
			rn.cancel(a.Attempt)
		}
	case core.Finish:
		r.finish(now, a)
	case core.PeersChanged:
		for _, p := range a.Peers {
			r.links.SetAddress(p.Incarnation.VM, p.Address)
		}
	case core.Configured:
		r.publishConfiguration(a)
	case limit.Changed:
		r.log.WithField("endpoint", a.Notice.Endpoint).WithField("rate", a.Notice.Rate).
			WithField("named", a.Notice.Named).WithField("ended", a.Notice.Ended).
			WithField("before", a.Before.Rate).Info("endpoint_limit")
	case core.IncarnationClosed:
		r.incarnationClosed(now, a)
	default:
		r.log.Errorf("unknown action %T", a)
	}
}

// performTable performs a table action and posts the answer to the incarnation
// that requested it.
func (r *Router) performTable(boot int64, a effect.Action) {
	ctx, cancel := context.WithTimeout(r.ctx, r.settings.Platform.Timeout)
	defer cancel()
	answer := table.Perform(ctx, r.platform, a)
	r.metrics.recordTable(answer)
	r.postTo(boot, answer)
}

// finish ends a run. The run is kept for runRetention for retries by the
// caller.
func (r *Router) finish(now time.Time, a core.Finish) {
	rn := r.runs.get(a.Identity)
	if rn == nil {
		return
	}
	rn.finish(a.End)
	r.metrics.recordAnswer(rn.request, a.End)
	rn.markRead(now)
}

// publishConfiguration makes a new configuration visible to traffic goroutines.
func (r *Router) publishConfiguration(a core.Configured) {
	r.snapshot.Store(&Snapshot{
		Document: a.Document,
		Keys:     a.Document.KeyTable(),
	})
	r.log.WithField("version", a.Document.Version).Info("configuration in force")
}

// incarnationClosed ends an incarnation that another router has closed and
// starts its successor. During a graceful stop there is no successor.
func (r *Router) incarnationClosed(now time.Time, a core.IncarnationClosed) {
	r.log.WithField("reason", a.Reason).Warn("incarnation closed by another router")
	r.runs.stopAll(stopping())
	if r.node.Draining() {
		r.closed.Store(true)
		r.endDrain()
		return
	}
	node, actions := r.node.Successor(now, r.nextBoot(now), r.seed(now))
	r.beginIncarnation(node)
	r.perform(now, actions)
}
