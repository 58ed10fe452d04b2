package edge

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/limit"
)

// permitSendBy limits how long a request with a permit may wait for its connection, so
// that it arrives in the time that the permit counts for.
const permitSendBy = 500 * time.Millisecond

// lookupEndpoint is the limit.Lookup of the router's endpoints.
func (e *Edge) lookupEndpoint(id waxwingwall.Endpoint) (born int64, usable, known bool) {
	row := e.endpoints.rows[id]
	if row == nil {
		return 0, false, false
	}
	return row.replica.Born, !row.departing() && !row.evacuated, true
}

// updateLimiter passes the routers to the limiter and the guard.
func (e *Edge) updateLimiter() {
	if !e.limiterStale {
		return
	}
	e.limiterStale = false
	var live []waxwingwall.Incarnation
	for _, p := range e.view.Peers(e.now) {
		if p.Alive && !p.Leaving {
			live = append(live, p.Incarnation)
		}
	}
	vms := len(e.nodes.newest)
	if _, listed := e.nodes.newest[e.Self.VM]; !listed {
		vms++
	}
	e.limits.SetPeers(live, vms, e.nodes.registered && e.nodes.loaded, e.Draining())
	e.guard.SetPeers(e.now, live, vms, e.nodes.registered && e.nodes.loaded && !e.Draining())
}

// takeLimits performs the pending actions of the limiter. They can cause others.
func (e *Edge) takeLimits() {
	for {
		actions := e.limits.Take()
		if len(actions) == 0 {
			return
		}
		e.handleActions(actions)
	}
}

// handleHeadReceived records what an answer says of its endpoint's limit.
func (e *Edge) handleHeadReceived(ev HeadReceived) {
	r := e.requests[ev.Request]
	if r == nil || r.endpoint == nil || ev.Attempt != r.attempt {
		return
	}
	replica := r.endpoint.replica
	e.limits.Observe(e.now, limit.Observation{
		Endpoint: replica.Endpoint,
		Pool:     replica.Service,
		Born:     replica.Born,
		Seq:      r.limitSeq,
		Limit:    ev.Limit,
	})
	e.takeLimits()
}

// logLimit logs a change of an endpoint's limit.
func (e *Edge) logLimit(c limit.Changed) {
	fields := []Field{
		field("endpoint", c.Notice.Endpoint), field("rate", c.Notice.Rate), field("named", c.Notice.Named),
		field("ended", c.Notice.Ended), field("before", c.Before.Rate), field("seq", c.Notice.Seq),
	}
	if !c.From.IsZero() {
		fields = append(fields, field("peer", c.From.String()))
	}
	e.log("endpoint_limit", "", fields...)
}

// limitFilter returns which endpoints a request may be sent to, or ask a permit for. If
// the request has an endpoint without a limit, it asks only while a permit may be free.
func (e *Edge) limitFilter(r *request) func(*endpoint) bool {
	if !r.denied && (e.limits.MayAsk(e.now, r.service) || !e.hasUnlimited(r)) {
		return func(*endpoint) bool { return true }
	}
	return func(row *endpoint) bool { return !e.limits.Limited(row.replica.Endpoint) }
}

// hasUnlimited reports whether a request can be sent to an endpoint without a limit.
func (e *Edge) hasUnlimited(r *request) bool {
	mayUse := e.versionFilter(r)
	for _, row := range e.endpoints.byService[r.service] {
		if row.listed() && mayUse(row) && !r.tried[row.replica.Endpoint] && !e.now.Before(row.backoffUntil) && !e.limits.Limited(row.replica.Endpoint) {
			return true
		}
	}
	return false
}

// askPermit asks for a permit to send a request. If there is no endpoint without a limit,
// the request may wait for it as long as that leaves time to reach its objective.
func (e *Edge) askPermit(r *request, c placement) {
	ask := limit.Ask{
		ID:     e.limits.NextID(),
		Pool:   r.service,
		Rank:   r.rank,
		Prefer: c.endpoint.replica.Endpoint,
	}
	if r.account != nil {
		ask.Account = r.account.Name
	}
	mayUse := e.versionFilter(r)
	for _, row := range e.endpoints.byService[r.service] {
		id := row.replica.Endpoint
		if row != c.endpoint && e.limits.Limited(id) && (!row.usable() || !mayUse(row) || r.tried[id] || e.now.Before(row.backoffUntil)) {
			ask.Exclude = append(ask.Exclude, id)
		}
	}
	hasWarm := e.hasUnlimited(r)
	if !hasWarm {
		due := r.arrived.Add(r.route.Objective - time.Duration(c.cost)*time.Millisecond)
		if due.After(r.deadline) {
			due = r.deadline
		}
		ask.Wait = max(due.Sub(e.now), 0)
	}
	r.ask = ask.ID
	e.noteColdAsk(r, ask.Prefer, hasWarm)
	e.permits[ask.ID] = r
	e.limits.Ask(e.now, ask)
	e.takeLimits()
}

// handleGranted sends the request that a permit was granted for.
func (e *Edge) handleGranted(g limit.Granted) {
	r := e.permits[g.ID]
	if r == nil {
		e.limits.GiveBack(e.now, g)
		return
	}
	delete(e.permits, g.ID)
	r.ask = 0
	row := e.endpoints.rows[g.Endpoint]
	if row == nil || !row.usable() || row.replica.Service != r.service || !e.versionFilter(r)(row) || r.tried[g.Endpoint] || !e.mayDispatch() || r.deadline.Sub(e.now) < minAttemptTime {
		e.limits.GiveBack(e.now, g)
		e.dispatchDenied(r, defaultRetryAfter)
		return
	}
	r.permit = g
	e.noteColdAnswer(r, g.Endpoint, 0)
	c := e.cost(r, row, false)
	c.candidates = 1
	e.startWithSlot(r, c)
}

// handleDenied sends the request elsewhere or refuses it.
func (e *Edge) handleDenied(d limit.Denied) {
	r := e.permits[d.ID]
	if r == nil {
		return
	}
	delete(e.permits, d.ID)
	r.ask = 0
	if d.Silent {
		e.log("permit_silent", r.call.ID, field("service", r.service), field("after", e.now.Sub(r.arrived)))
	}
	e.noteColdAnswer(r, "", d.RetryAfter)
	e.dispatchDenied(r, d.RetryAfter)
}

// dispatchDenied dispatches a request to the endpoints without a limit.
func (e *Edge) dispatchDenied(r *request, retryAfter time.Duration) {
	r.denied = true
	r.retryAfter = retryAfter
	e.dispatch(r)
	r.denied = false
}

// refuseLimited refuses a request for which only limited endpoints are left.
func (e *Edge) refuseLimited(r *request) {
	if r.mayHaveRun() {
		e.fail(r, Expired)
		return
	}
	if p := e.pausedProblem(r); p != nil {
		e.refuse(r, p)
		return
	}
	p := e.unavailableProblem("endpoints_limited", "the endpoints take no more requests now", 0)
	p.RetryAfter = r.retryAfter
	e.refuse(r, p)
}

// returnUnusedPermit returns the permit of an attempt that sent nothing.
func (e *Edge) returnUnusedPermit(r *request, ev AttemptEnded) {
	g := r.permit
	r.permit = limit.Granted{}
	if g.ID != 0 && (ev.Result == Unreachable || ev.Result == Expired) {
		e.limits.GiveBack(e.now, g)
		e.takeLimits()
	}
}

// cancelAsk withdraws the pending ask of a request that ends.
func (e *Edge) cancelAsk(r *request) {
	if r.ask == 0 {
		return
	}
	delete(e.permits, r.ask)
	e.limits.Cancel(e.now, r.ask)
	r.ask = 0
	e.takeLimits()
}

// sendByFor returns the time until which a request may be sent.
func (e *Edge) sendByFor(r *request) time.Time {
	by := e.sendBy()
	if r.permit.ID == 0 {
		return by
	}
	if limited := e.permitUntil(r); limited.Before(by) {
		return limited
	}
	return by
}
