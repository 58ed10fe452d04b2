package router

import (
	"context"
	"time"

	"waxwingwall/core"
	"waxwingwall/core/effect"
	"waxwingwall/io/peer"
	"waxwingwall/io/table"
)

// perform carries out actions. It never waits. What follows the end of an
// incarnation is not carried out.
func (r *Router) perform(now time.Time, actions []effect.Action) {
	for _, a := range actions {
		r.performOne(now, a)
		if _, over := a.(core.IncarnationClosed); over {
			return
		}
	}
}

// performOne carries out one action, or hands it to a goroutine.
func (r *Router) performOne(now time.Time, a effect.Action) {
	switch a := a.(type) {
	case effect.Transact, effect.Read, effect.List:
		boot := r.self.Boot
		r.goDo(func() { r.onTable(boot, a) })
	case effect.Send:
		r.links.Send(peer.Envelope{
			From:    r.self,
			To:      a.To,
			Message: a.Message,
		})
	case core.StartAttempt:
		r.start(a)
	case core.CancelAttempt:
		if one := r.runs.get(a.Identity); one != nil {
			one.cancel(a.Attempt)
		}
	case core.Finish:
		r.finish(now, a)
	case core.PeersChanged:
		for _, p := range a.Peers {
			r.links.Know(p.Incarnation.VM, p.Address)
		}
	case core.Configured:
		r.configured(a)
	case core.IncarnationClosed:
		r.stopped(now, a)
	default:
		r.log.Errorf("action %T is not known", a)
	}
}

// onTable carries out an action on the table and feeds the answer back to the
// incarnation that asked.
func (r *Router) onTable(boot int64, a effect.Action) {
	ctx, cancel := context.WithTimeout(r.ctx, r.settings.Platform.Timeout)
	defer cancel()
	answer := table.Perform(ctx, r.platform, a)
	r.metrics.table(answer)
	r.postTo(boot, answer)
}

// finish gives a run its end. It is kept for a while for a caller's retry.
func (r *Router) finish(now time.Time, a core.Finish) {
	one := r.runs.get(a.Identity)
	if one == nil {
		return
	}
	one.finish(a.End)
	r.metrics.finished(one.request, a.End)
	one.touch(now)
}

// configured shows traffic goroutines a new configuration.
func (r *Router) configured(a core.Configured) {
	r.snapshot.Store(&Snapshot{
		Document: a.Document,
		Keys:     a.Document.KeyTable(),
	})
	r.log.WithField("version", a.Document.Version).Info("configuration in force")
}

// stopped ends an incarnation that another router has closed. In the middle of a
// graceful stop there is no next one.
func (r *Router) stopped(now time.Time, a core.IncarnationClosed) {
	r.log.WithField("reason", a.Reason).Warn("incarnation closed by another router")
	r.runs.stopAll(stopping())
	if r.node.Draining() {
		r.closed.Store(true)
		r.endDrain()
		return
	}
	node, actions := r.node.Successor(now, r.nextBoot(now), r.seed(now))
	r.begin(node)
	r.perform(now, actions)
}
