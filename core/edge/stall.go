package edge

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// An endpoint that sends nothing may be dead, or sound and silent for a moment. Silence
// alone does not end an attempt: it is left only once the request is certain to go on
// elsewhere, with retries taken and a slot of an endpoint reserved. Until then it waits,
// and ends with the request's deadline, with its connection or with its answer. If no
// other endpoint takes the request after all, it goes back to the silent one.

const (
	// soundSilence is how long a sound endpoint may send nothing inside a stream.
	soundSilence = 2 * time.Second

	// stallInterval is the time between two looks at an attempt that has stalled.
	stallInterval = 500 * time.Millisecond

	// leaveRetries is the number of retries that are taken to leave an attempt: one for the
	// next attempt, and one more in case its endpoint declines.
	leaveRetries = 2

	// maxLeaveFailureRate is the failure rate up to which an endpoint counts as better
	// than a silent one.
	maxLeaveFailureRate = 0.5
)

// AttemptStalled is the event of an attempt whose endpoint has sent nothing for the time
// that the Dispatch or the last KeepWaiting allows. It is answered by KeepWaiting or
// LeaveAttempt.
type AttemptStalled struct {
	effect.IsEvent

	// Request and Attempt are those of the Dispatch.
	Request uint64
	Attempt int

	// Idle is how long the endpoint has sent nothing.
	Idle time.Duration
}

// KeepWaiting continues an attempt that has stalled.
type KeepWaiting struct {
	effect.IsAction

	// Request is that of the AttemptStalled event.
	Request uint64

	// For is how much longer to wait until the next AttemptStalled.
	For time.Duration
}

// CutAttempt ends the attempt of a request that is in flight, whatever its endpoint does. It
// is answered by AttemptEnded like any end of an attempt.
type CutAttempt struct {
	effect.IsAction

	// Request is Arrived.Request.
	Request uint64
}

// LeaveAttempt ends an attempt that has stalled. The AttemptEnded that follows, with the
// result IdleTimeout, is answered by the Dispatch of the next attempt.
type LeaveAttempt struct {
	effect.IsAction

	// Request is that of the AttemptStalled event.
	Request uint64
}

// handleAttemptStalled decides whether an attempt is left.
func (e *Edge) handleAttemptStalled(ev AttemptStalled) {
	r := e.requests[ev.Request]
	if r == nil || r.endpoint == nil || ev.Attempt != r.attempt {
		e.emit(KeepWaiting{
			Request: ev.Request,
			For:     stallInterval,
		})
		return
	}
	if silent := e.now.Sub(r.endpoint.heardAt) >= ev.Idle; silent && !e.LinkSuspect(e.now) {
		r.endpoint.avoid(e.now.Add(stallInterval))
	}
	next, obstacle := e.chooseNext(r, ev.Idle)
	if r.stalledAt != r.attempt || obstacle == "" {
		r.stalledAt = r.attempt
		e.log("attempt_stalled", r.call.ID,
			field("attempt", r.attempt), field("endpoint", r.endpoint.replica.Endpoint), field("idle", ev.Idle),
			field("answer_begun", r.answerStarted), field("endpoint_heard", since(r.endpoint.heardAt, e.now)),
			field("obstacle", obstacle))
	}
	if obstacle != "" {
		e.emit(KeepWaiting{
			Request: r.id,
			For:     stallInterval,
		})
		return
	}
	r.next = next
	next.reserved++
	e.emit(LeaveAttempt{
		Request: r.id,
	})
}

// chooseNext chooses the endpoint at which a request whose attempt has stalled is certain
// to go on, and takes the retries for it. It returns the obstacle if there is one.
func (e *Edge) chooseNext(r *request, idle time.Duration) (next *endpoint, obstacle string) {
	switch {
	case e.LinkSuspect(e.now):
		return nil, "link_busy"
	case r.answerStarted && r.route.Kind != waxwingwall.Streaming:
		return nil, "not_resumable"
	case r.answerStarted && idle < soundSilence, !r.answerStarted && e.now.Sub(r.sentAt) < r.firstTimeout:
		return nil, "sound_silence"
	case !r.route.Idempotent():
		return nil, "not_idempotent"
	case r.runs+1 >= r.route.Attempts:
		return nil, attemptsUsed
	case r.deadline.Sub(e.now) < minAttemptTime:
		return nil, "deadline"
	case !e.mayDispatch():
		return nil, "endpoints_unknown"
	}
	budget := e.retryBudget(r.service)
	if budget.available(e.now) < leaveRetries {
		return nil, "retry_budget_spent"
	}
	ofVersion := e.versionFilter(r)
	c, ok := e.choose(r, func(row *endpoint) bool { return ofVersion(row) && e.isFree(row) })
	switch {
	case !ok:
		return nil, "no_endpoint"
	case e.quarantined(r):
		return nil, "quarantined"
	}
	for range leaveRetries {
		budget.take(e.now)
	}
	return c.endpoint, ""
}

// isFree reports whether an endpoint is expected to run a request at once, as far as this
// router knows.
func (e *Edge) isFree(row *endpoint) bool {
	row.decay(e.now)
	return row.listed() && !e.now.Before(row.backoffUntil) && row.failureRate <= maxLeaveFailureRate &&
		!e.limits.Limited(row.replica.Endpoint) && !e.guard.Brittle(e.now, row.replica.Service) && e.hasRoom(row)
}

// hasRoom reports whether an endpoint has a free slot, as far as the routers know.
func (e *Edge) hasRoom(row *endpoint) bool {
	slots := e.slots(row)
	return slots == 0 || row.running+row.reserved+row.peerLoad.running < slots
}

// continueAt sends a request that has left its attempt to the endpoint that was chosen
// for it.
func (e *Edge) continueAt(r *request, next *endpoint) {
	next.reserved--
	r.spareRetry = true
	if e.endpoints.rows[next.replica.Endpoint] != next || next.replica.Service != r.service || !e.versionFilter(r)(next) || !e.isFree(next) || !e.mayDispatch() || !e.confirmed(r, next) {
		e.dispatch(r)
		return
	}
	e.startAttempt(r, e.cost(r, next, false))
}

// releaseNext returns the slot and the retries of a request that does not go on at the
// endpoint that was chosen for it.
func (e *Edge) releaseNext(r *request) {
	if r.next == nil {
		return
	}
	r.next.reserved--
	r.next = nil
	for range leaveRetries {
		e.retryBudget(r.service).giveBack()
	}
}

// releaseSpare returns the retry that was taken in case the next endpoint declines.
func (e *Edge) releaseSpare(r *request) {
	if r.spareRetry {
		r.spareRetry = false
		e.retryBudget(r.service).giveBack()
	}
}

// chooseLeft chooses again the endpoint whose attempt was left for its silence.
func (e *Edge) chooseLeft(r *request, accept func(*endpoint) bool) (placement, bool) {
	if r.left == "" {
		return placement{}, false
	}
	delete(r.tried, r.left)
	return e.choose(r, accept)
}

// goBack reports whether a request that has left its attempt, and that no other endpoint takes
// within the attempts that it has, is to be sent to the silent endpoint again. It takes the
// retry for it.
func (e *Edge) goBack(r *request) bool {
	if r.left == "" || r.wentBack || !r.declinedTooOften() || !e.retryBudget(r.service).take(e.now) {
		return false
	}
	r.wentBack = true
	for _, row := range e.endpoints.byService[r.service] {
		r.tried[row.replica.Endpoint] = row.replica.Endpoint != r.left
	}
	return true
}

// declinedTooOften reports whether nothing but the number of endpoints that have run nothing
// of a request keeps it from another attempt.
func (r *request) declinedTooOften() bool {
	switch r.lastAttempt.Result {
	case Declined, Unreachable, Expired:
		return r.noRetry == attemptsUsed
	}
	return false
}
