package relay

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/edge"
	"waxwingwall/core/effect"
	"waxwingwall/io/peer"
	"waxwingwall/io/table"
	"waxwingwall/platform"
)

// control is the control goroutine: it processes jobs and ticks in sequence until
// the relay stops. On a busy VM the inbox is long, so updates go before it: a request must not
// be judged by an older list of endpoints or configuration than the router has received.
func (r *Relay) control() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	sweeper := time.NewTicker(sweepInterval)
	defer sweeper.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-r.ctx.Done():
			return
		case j := <-r.updates:
			r.runJob(j)
		case j := <-r.inbox:
			r.runUpdates()
			r.runJob(j)
		case <-ticker.C:
			now := time.Now()
			r.step(now, edge.CallerLoad{
				LinkPart: r.link.asked(),
				Wait:     max(r.longestWait, now.Sub(lastTick)-tickInterval),
			})
			lastTick = now
			r.longestWait = 0
			r.step(now, effect.Tick{})
			r.publish(now)
		case <-sweeper.C:
			r.origins.CloseExpired()
		}
	}
}

// runUpdates runs the updates that wait. All that were posted before a job are run before it.
func (r *Relay) runUpdates() {
	for {
		select {
		case j := <-r.updates:
			r.runJob(j)
		default:
			return
		}
	}
}

// runJob runs a job that was queued.
func (r *Relay) runJob(j job) {
	now := time.Now()
	wait := now.Sub(j.postedAt)
	r.longestWait = max(r.longestWait, wait)
	r.metrics.jobStarted(wait)
	if j.call != nil {
		j.call(now)
		return
	}
	r.step(now, j.event)
}

// post queues a job for the control goroutine. It blocks while the inbox is full.
func (r *Relay) post(j job) {
	r.queue(r.inbox, j)
}

// postUpdate queues an update of the list of endpoints or of the configuration, or a new era of
// the store. They are processed in the order in which they are posted.
func (r *Relay) postUpdate(ev effect.Event) {
	r.queue(r.updates, job{
		event: ev,
	})
}

func (r *Relay) queue(queue chan<- job, j job) {
	j.postedAt = time.Now()
	select {
	case queue <- j:
	case <-r.ctx.Done():
	}
}

func (r *Relay) postEvent(ev effect.Event) {
	r.post(job{
		event: ev,
	})
}

// step passes an event to the edge and performs the resulting actions.
func (r *Relay) step(now time.Time, ev effect.Event) {
	r.perform(now, r.edge.Step(now, ev))
}

// publish updates the state that is shared with other goroutines.
func (r *Relay) publish(now time.Time) {
	r.metrics.observeMarkWrites(r.edge.MarkWrites())
	addresses, addressTTL := r.edge.RecentAddresses(now)
	previous, evacuated := r.sharedState.Load(), r.edge.Evacuating()
	if previous != nil && previous.evacuated != evacuated {
		r.metrics.evacuated.Record(r.ctx, int64(evacuated))
	}
	if previous == nil || !slices.Equal(previous.addresses, addresses) {
		r.logEntry(now, edge.LogEntry{
			Event: "addresses_changed",
			Fields: []edge.Field{
				{
					Name:  "listed",
					Value: addresses,
				},
			},
		})
	}
	r.sharedState.Store(&sharedState{
		ready:      r.edge.Ready(),
		draining:   r.edge.Draining(),
		limits:     r.edge.Limits(),
		addresses:  addresses,
		addressTTL: addressTTL,

		endpointsAge: r.edge.EndpointsAge(now),
		cold:         r.edge.ColdInstances(),
		paths:        r.edge.Paths(),
		withheld:     r.edge.Withheld(now),
		silenced:     r.edge.Silenced(),
		evacuated:    evacuated,
	})
}

// probe opens a connection to an endpoint; the pool keeps it for a later request.
func (r *Relay) probe(a edge.Probe) {
	if err := r.origins.Preconnect(r.ctx, a.Address, a.DialTimeout); err != nil {
		r.log.WithError(err).WithField("address", a.Address.String()).Debug("probe_failed")
	}
}

// reportDial reports a dial of an endpoint to the control goroutine.
func (r *Relay) reportDial(to netip.AddrPort, took time.Duration, err error) {
	r.postEvent(dialed(to, took, err))
}

// dialed returns the event of a dial.
func dialed(to netip.AddrPort, took time.Duration, err error) edge.Dialed {
	abandoned := errors.Is(err, context.Canceled) || isTimeout(err) && took < minFailedDial
	return edge.Dialed{
		Address:   to,
		Took:      took,
		Failed:    err != nil && !abandoned,
		Abandoned: abandoned,
		Refused:   errors.Is(err, syscall.ECONNREFUSED),
	}
}

// reportEra reports a new era of the store to the control goroutine. Neither an update nor an
// answer of that era overtakes it.
func (r *Relay) reportEra(era platform.Era) {
	r.postUpdate(edge.StoreEra{
		MinVersion: era.MinRevision,
		First:      era.First,
	})
}

// perform performs actions without blocking.
func (r *Relay) perform(now time.Time, actions []effect.Action) {
	for _, a := range actions {
		r.performOne(now, a)
	}
}

func (r *Relay) performOne(now time.Time, a effect.Action) {
	switch a := a.(type) {
	case effect.Transact, effect.Read, effect.List:
		r.spawn(func() { r.callStore(a) })
	case effect.Send:
		r.links.Send(peer.Envelope{
			From:    r.self,
			To:      a.To,
			Message: a.Message,
		})
	case edge.PeerAddress:
		r.links.SetAddress(a.VM, a.Address)
	case edge.IncarnationChanged:
		r.self = a.Self
	case edge.LogEntry:
		r.logEntry(now, a)
	case edge.Drained:
		r.drainedOnce.Do(func() { r.spawn(func() { r.finishAnswers(a.End) }) })
	case edge.Probe:
		r.spawn(func() { r.probe(a) })
	case edge.ProbeTunnel:
		r.spawn(func() { r.probeTunnel(a) })
	case edge.AskInstance:
		r.spawn(func() { r.askInstance(a) })
	case edge.Dispatch:
		r.sendAction(a.Request, a, false)
	case edge.KeepWaiting:
		r.sendAction(a.Request, a, false)
	case edge.CutAttempt:
		if p := r.requests[a.Request]; p != nil {
			p.cut()
		}
	case edge.LeaveAttempt:
		r.sendAction(a.Request, a, false)
	case edge.Refuse:
		r.sendAction(a.Request, a, true)
	case edge.Deliver:
		r.sendAction(a.Request, a, true)
	case edge.Abort:
		r.sendAction(a.Request, a, true)
	case edge.Finished:
		r.sendAction(a.Request, a, true)
	default:
		r.log.WithField("action", a).Error("unknown_action")
	}
}

// finishAnswers ends a graceful stop once no request of a caller is being read or answered,
// but before the end of its grace period. It waits no longer than unusedTimeout for new
// connections without a request. Others are refused from now on.
func (r *Relay) finishAnswers(end time.Time) {
	defer close(r.drained)
	ctx, cancel := context.WithDeadline(r.ctx, end.Add(-exitReserve))
	defer cancel()
	unused := time.AfterFunc(unusedTimeout, func() { r.endUnused(ctx, cancel) })
	defer unused.Stop()
	if err := r.callers.Shutdown(ctx); err != nil {
		r.logUnfinished(err)
	}
	r.finishTunnels(end)
}

// logUnfinished logs the connections that are open as a graceful stop ends.
func (r *Relay) logUnfinished(err error) {
	busy, unused := r.callerConns.count()
	if busy == 0 {
		r.log.WithField("connections", unused).Info("connections_unused")
		return
	}
	r.log.WithError(err).WithField("requests", busy).WithField("whole", r.wholeRequests.Load()).Warning("answers_unfinished")
}

// endUnused calls end once no connection has a request, or the context ends.
func (r *Relay) endUnused(ctx context.Context, end func()) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if busy, _ := r.callerConns.count(); busy == 0 {
			end()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendAction queues the next action of a request; the last one removes the
// request.
func (r *Relay) sendAction(request uint64, a effect.Action, last bool) {
	p := r.requests[request]
	if p == nil {
		return
	}
	p.actions <- a
	if last {
		delete(r.requests, request)
	}
}

// callStore performs a call to the store and posts its result.
func (r *Relay) callStore(a effect.Action) {
	start := time.Now()
	answer := table.Perform(r.ctx, r.store, a)
	if answer == nil {
		return
	}
	r.metrics.storeCall(answer, time.Since(start))
	r.postEvent(answer)
}

// watchConfiguration posts each new configuration; it logs an unreadable version
// once.
func (r *Relay) watchConfiguration() {
	lastUnreadable := int64(-1)
	r.store.WatchConfiguration(r.ctx, func(c waxwingwall.Configuration, found bool, err error) {
		switch {
		case found:
			r.postUpdate(edge.Configured{
				Configuration: c,
			})
		case err != nil && !errors.Is(err, waxwingwall.ErrUnavailable) && c.Version != lastUnreadable:
			lastUnreadable = c.Version
			r.log.WithError(err).WithField("version", c.Version).Error("configuration_unreadable")
		}
	}, r.postEvacuations)
}

// postEvacuations posts the failure domains that are to be empty.
func (r *Relay) postEvacuations(u platform.Evacuations) {
	for _, err := range u.Unreadable {
		r.log.WithError(err).WithField("revision", u.Revision).Warning("evacuation_unreadable")
	}
	r.postUpdate(edge.Evacuated{
		Domains:  u.Domains,
		Revision: u.Revision,
		AsOf:     u.AsOf,
	})
}

// watchReplicas posts the updates of the registered endpoints.
func (r *Relay) watchReplicas() {
	r.store.WatchReplicas(r.ctx, func(u platform.ReplicaUpdate) {
		for _, err := range u.Unreadable {
			r.log.WithError(err).WithField("revision", u.Revision).Warning("endpoint_unreadable")
		}
		ev := edge.Replicas{
			Snapshot:    u.Snapshot,
			Replicas:    u.Replicas,
			Removed:     u.Removed,
			Revision:    u.Revision,
			AsOf:        u.AsOf,
			Unavailable: u.Err != nil,
		}
		if u.Err != nil {
			ev.Err = trace.UserMessage(u.Err)
		}
		r.postUpdate(ev)
	})
}

// watchNodes posts the updates of the registered routers.
func (r *Relay) watchNodes() {
	r.store.WatchRows(r.ctx, edge.NodeTable, func(rows []waxwingwall.Row, snapshot bool, err error) {
		r.postEvent(edge.Nodes{
			Snapshot:    snapshot,
			Rows:        rows,
			Unavailable: err != nil,
		})
	})
}

// callControl runs f in the control goroutine and waits until it returns.
func (r *Relay) callControl(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	r.post(job{
		call: func(now time.Time) {
			f(now)
			close(done)
		},
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}
