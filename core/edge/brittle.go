package edge

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/brittle"
	"waxwingwall/core/limit"
)

// maxSlotAsks limits the endpoints at which a request asks for a slot; the owner of one may
// be silent or its endpoint fuller than this router knows.
const maxSlotAsks = 2

// slot is the slot of a brittle endpoint that a request waits for or has.
type slot struct {
	// id is the ID of the ask and the lease; zero if there is none. asked is set until
	// the ask is answered.
	id    uint64
	asked bool

	// denied counts the asks that were denied since the last attempt, and retryAfter is
	// the shortest time after which one may be repeated.
	denied     int
	retryAfter time.Duration
}

// slotState is the brittle.Lookup of the router's endpoints.
func (e *Edge) slotState(id waxwingwall.Endpoint) (brittle.State, bool) {
	row := e.endpoints.rows[id]
	if row == nil {
		return brittle.State{}, false
	}
	return brittle.State{
		Service: row.replica.Service,
		Born:    row.replica.Born,
		Slots:   e.slots(row),
		Running: row.running,
	}, true
}

// slots returns the number of requests that an endpoint runs at the same time.
func (e *Edge) slots(row *endpoint) int {
	if s := e.config.services[row.replica.Service]; s != nil && s.Engine && s.Slots > 0 {
		return s.Slots
	}
	return row.replica.Slots
}

// endpointNames is the brittle.List of the router's endpoints.
func (e *Edge) endpointNames(service waxwingwall.Model) []waxwingwall.Endpoint {
	var all []waxwingwall.Endpoint
	for _, row := range e.endpoints.byService[service] {
		all = append(all, row.replica.Endpoint)
	}
	return all
}

// handleBrittle records that an answer of an endpoint says that it is brittle.
func (e *Edge) handleBrittle(ev NoticeReceived) {
	row := e.endpoints.rows[ev.Endpoint]
	if row == nil || row.replica.Born != ev.Born {
		return
	}
	e.guard.Named(e.now, row.replica.Service, ev.Brittle.Declines)
	e.takeSlots()
}

// takeSlots performs the pending actions of the guard. They can cause others.
func (e *Edge) takeSlots() {
	for {
		actions := e.guard.Take()
		if len(actions) == 0 {
			return
		}
		e.handleActions(actions)
	}
}

// logBrittle logs that a service is brittle, with another number, or not any more.
func (e *Edge) logBrittle(c brittle.Changed) {
	fields := []Field{field("service", c.Service), field("declines", c.Declines), field("ended", c.Ended)}
	if !c.From.IsZero() {
		fields = append(fields, field("peer", c.From.String()))
	}
	e.log("service_brittle", "", fields...)
}

// startWithSlot sends a request to an endpoint, once it has a slot if that is brittle.
func (e *Edge) startWithSlot(r *request, c placement) {
	if !e.guard.Brittle(e.now, r.service) || e.slots(c.endpoint) == 0 {
		e.startAttempt(r, c)
		return
	}
	if wait := e.unreachableFor(c.endpoint); wait > 0 {
		e.giveBackPermit(r)
		e.askElsewhere(r, c.endpoint.replica.Endpoint, wait)
		return
	}
	r.slot.id = e.guard.NextID()
	r.slot.asked = true
	e.slotAsks[r.slot.id] = r
	e.guard.Ask(e.now, brittle.Ask{
		ID:       r.slot.id,
		Endpoint: c.endpoint.replica.Endpoint,
		Rank:     r.rank,
		Wait:     e.slotWait(r, c),
	})
	e.takeSlots()
}

// unreachableFor returns how long this router may not ask for a slot of an endpoint; zero if
// it may. A slot is not used while its request waits for a connection, so after a failure one
// request at a time finds out whether there is a connection again.
func (e *Edge) unreachableFor(row *endpoint) time.Duration {
	switch {
	case row.failures == 0:
		return 0
	case e.now.Before(row.backoffUntil):
		return row.backoffUntil.Sub(e.now)
	case row.running > 0:
		return minBackoff
	}
	return 0
}

// slotWait returns how long a request may wait for a slot: a new one as long as that leaves
// time to reach its objective, and one that was sent before for half of its time, as its end
// would not be a refusal.
func (e *Edge) slotWait(r *request, c placement) time.Duration {
	remaining := r.deadline.Sub(e.now)
	wait := r.arrived.Add(r.route.Objective - time.Duration(c.cost)*time.Millisecond).Sub(e.now)
	if r.attempt > 0 {
		wait = remaining / 2
	}
	if r.permit.ID != 0 {
		wait = min(wait, e.permitUntil(r).Sub(e.now))
	}
	return min(max(wait, 0), remaining)
}

// handleSlotGranted sends the request that a slot was leased for.
func (e *Edge) handleSlotGranted(g brittle.Granted) {
	r := e.slotAsks[g.ID]
	if r == nil {
		e.guard.End(e.now, g.ID, false)
		return
	}
	delete(e.slotAsks, g.ID)
	r.slot.asked = false
	row := e.endpoints.rows[g.Endpoint]
	if row == nil || !row.usable() || row.replica.Service != r.service || !e.versionFilter(r)(row) || !e.mayDispatch() || r.deadline.Sub(e.now) < minAttemptTime {
		e.endSlot(r, false)
		e.giveBackPermit(r)
		e.dispatch(r)
		return
	}
	r.slot.denied = 0
	if r.permit.ID == 0 && e.limits.Limited(g.Endpoint) {
		// It got a limit while the request waited for the slot.
		e.endSlot(r, false)
		e.dispatch(r)
		return
	}
	c := e.cost(r, row, false)
	c.candidates = 1
	e.startAttempt(r, c)
}

// handleSlotDenied asks for a slot of another endpoint or refuses the request.
func (e *Edge) handleSlotDenied(d brittle.Denied) {
	r := e.slotAsks[d.ID]
	if r == nil {
		return
	}
	delete(e.slotAsks, d.ID)
	e.giveBackPermit(r)
	if d.Silent {
		e.log("slot_silent", r.call.ID, field("endpoint", d.Endpoint), field("after", e.now.Sub(r.arrived)))
	}
	e.askElsewhere(r, d.Endpoint, d.RetryAfter)
}

// askElsewhere asks for a slot of another endpoint than one that has none for some time, or
// refuses the request.
func (e *Edge) askElsewhere(r *request, full waxwingwall.Endpoint, wait time.Duration) {
	if r.slot.denied > 0 {
		wait = min(wait, r.slot.retryAfter)
	}
	r.slot = slot{
		denied:     r.slot.denied + 1,
		retryAfter: wait,
	}
	r.tried[full] = true
	if r.slot.denied < maxSlotAsks && e.hasUntried(r, func(*endpoint) bool { return true }) {
		e.dispatch(r)
		return
	}
	e.refuseFull(r)
}

// slotFilter returns which endpoints a request may ask a slot of: not those whose owner is
// silent, while there are others.
func (e *Edge) slotFilter(r *request) func(*endpoint) bool {
	sound := func(row *endpoint) bool { return !e.guard.Silent(e.now, row.replica.Endpoint) }
	if e.guard.Brittle(e.now, r.service) && e.hasUntried(r, sound) {
		return sound
	}
	return func(*endpoint) bool { return true }
}

// hasUntried reports whether a request may be sent to an accepted endpoint at which it was
// not tried.
func (e *Edge) hasUntried(r *request, accept func(*endpoint) bool) bool {
	mayUse := e.versionFilter(r)
	for _, row := range e.endpoints.byService[r.service] {
		if row.listed() && mayUse(row) && accept(row) && !r.tried[row.replica.Endpoint] && !e.now.Before(row.backoffUntil) {
			return true
		}
	}
	return false
}

// refuseFull refuses a request for which no slot is free.
func (e *Edge) refuseFull(r *request) {
	if r.mayHaveRun() {
		e.fail(r, Expired)
		return
	}
	if p := e.pausedProblem(r); p != nil {
		e.refuse(r, p)
		return
	}
	e.refuse(r, e.unavailableProblem("endpoints_full", "the endpoints have no room now", r.slot.retryAfter))
}

// endSlot ends the lease of a request's attempt.
func (e *Edge) endSlot(r *request, declined bool) {
	if declined {
		e.guard.Declined(e.now, r.service)
	}
	id := r.slot.id
	r.slot.id = 0
	if id != 0 {
		e.guard.End(e.now, id, declined)
		e.takeSlots()
	}
}

// cancelSlot withdraws the pending ask of a request that ends, or ends its lease.
func (e *Edge) cancelSlot(r *request) {
	if r.slot.asked {
		delete(e.slotAsks, r.slot.id)
		r.slot.asked = false
		e.giveBackPermit(r)
	}
	e.endSlot(r, false)
}

// giveBackPermit returns the permit of a request that was not sent.
func (e *Edge) giveBackPermit(r *request) {
	g := r.permit
	r.permit = limit.Granted{}
	if g.ID != 0 {
		e.limits.GiveBack(e.now, g)
		e.takeLimits()
	}
}
