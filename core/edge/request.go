package edge

import (
	"net/http"
	"time"

	"waxwingwall"
	"waxwingwall/core/escrow"
	"waxwingwall/core/limit"
)

const (
	// defaultRetryAfter is the Retry-After time when no better estimate is
	// available; a jitter of up to the same length is added.
	defaultRetryAfter = 200 * time.Millisecond

	// minAttemptTime is the minimum time before the deadline to start an attempt.
	minAttemptTime = 50 * time.Millisecond

	// firstTimeoutObjectives is the multiple of the route's Objective, in addition
	// to the estimated time, after which an idempotent request without an answer may
	// be retried elsewhere.
	firstTimeoutObjectives = 2

	// idleTimeoutPauses is the multiple of the route's Pause after which a
	// resumable stream counts as stalled.
	idleTimeoutPauses = 2

	// maxDeclined limits the retries of a request that endpoints declined. After an
	// attempt at an unreachable endpoint, the limit is twice as high.
	maxDeclined = 3

	// overdueTime is the time after its deadline from which a request that has not ended
	// is logged.
	overdueTime = 500 * time.Millisecond
)

// attemptsUsed is the request.noRetry of a request that was tried as often as it may be.
const attemptsUsed = "attempts_used"

// request is a request from its arrival to its end.
type request struct {
	id      uint64
	call    waxwingwall.Call
	route   *waxwingwall.Route
	service waxwingwall.Model
	account *waxwingwall.ClientAccount
	rank    waxwingwall.Rank

	// arrived is the time of arrival, version that of the configuration then.
	arrived  time.Time
	version  int64
	deadline time.Time

	// budget is set if tokens are charged; reserved is the number of tokens
	// reserved in book; waiting is set while a reservation is pending.
	budget   waxwingwall.Budget
	reserved waxwingwall.Tokens
	book     *escrow.Book
	waiting  bool

	// trial is set if requests like it are blocked and this one is tried.
	trial bool

	// attempt counts the dispatches. runs counts those in which an endpoint may
	// have run part of the request, declined counts those in which none did.
	attempt  int
	runs     int
	declined int
	tried    map[waxwingwall.Endpoint]bool

	// The attempt in flight; endpoint is nil between attempts. via is the peer through which
	// it goes; its VM is empty if the endpoint is reached directly. expectedCost is the
	// cost of the placement in milliseconds, firstLatency the time from sentAt to
	// the first part of the answer.
	endpoint       *endpoint
	via            waxwingwall.Incarnation
	sentAt         time.Time
	sentBuild      build
	uncachedTokens waxwingwall.Tokens
	expectedCost   float64

	// expectedSlowdown is the slowdown in expectedCost.
	expectedSlowdown float64
	answerStarted    bool
	firstLatency     time.Duration

	// firstTimeout is the time from sentAt after which the attempt may be left if the
	// answer has not begun. stalledAt is the last attempt that has stalled; next is the
	// endpoint for which the attempt in flight is left, with a slot reserved and retries
	// taken. After that left is the endpoint that was silent, and spareRetry is set until
	// the next one has declined or begun to answer. wentBack is set once the request was sent
	// to left again.
	firstTimeout time.Duration
	stalledAt    int
	next         *endpoint
	left         waxwingwall.Endpoint
	wentBack     bool
	spareRetry   bool

	// pin is the build that a stream is bound to.
	pin pin

	// ask is the ID of the pending ask for a permit; zero if there is none. denied is set
	// while the request is dispatched after a denial, retryAfter is the delay before the
	// caller may retry.
	ask        uint64
	denied     bool
	retryAfter time.Duration

	// permit is that of the attempt in flight; its ID is zero if it needs none. limitSeq
	// is the number of the notice of the endpoint's limit when the attempt was sent.
	permit   limit.Granted
	limitSeq uint64

	// cold is the last ask for a permit, if it was for one of a cold endpoint.
	cold coldAsk

	// turn is the place in the queue of the service.
	turn turn

	// slot is the slot of a brittle endpoint that the request waits for or has.
	slot slot

	// events and offset are the position of the caller in a stream.
	events int
	offset string

	// eventsBefore is the value of events when the last attempt began.
	eventsBefore int

	// completed is set once the caller has the whole answer, cut once the attempt in flight
	// is cut for the end of a graceful stop.
	completed bool
	cut       bool

	// lastAttempt is the result of the last attempt and noRetry why no other followed, for
	// the log. overdueLogged is set once the log has an entry of a request that has not
	// ended in time.
	lastAttempt   AttemptEnded
	noRetry       string
	overdueLogged bool
}

// defaultTimeout applies to a request for which no timeout is set.
const defaultTimeout = 30 * time.Second

// dispatch sends a request to an endpoint, or refuses it.
func (e *Edge) dispatch(r *request) {
	remaining := r.deadline.Sub(e.now)
	if remaining < minAttemptTime {
		e.fail(r, DeadlineExceeded)
		return
	}
	if e.evacuationsStale() {
		if r.mayHaveRun() {
			e.fail(r, Expired)
			return
		}
		e.refuse(r, e.unavailableProblem(CodeOldEvacuations, "this router does not know which failure domains are to be empty", staleRetryAfter))
		return
	}
	if !e.mayDispatch() {
		if r.mayHaveRun() {
			e.fail(r, Expired)
			return
		}
		e.refuse(r, e.unavailableProblem(CodeOldList, "this router has no current list of endpoints", max(e.link.queueDelay(e.now), staleRetryAfter)))
		return
	}
	if !e.takeTurn(r) {
		return
	}
	unlimited, ofVersion := e.limitFilter(r), e.versionFilter(r)
	answering := e.slotFilter(r)
	mayUse := func(row *endpoint) bool { return unlimited(row) && ofVersion(row) && answering(row) }
	c, ok := e.chooseWarmUp(r, e.evacuating(), func(row *endpoint) bool { return row.listed() && mayUse(row) })
	if !ok {
		c, ok = e.choose(r, func(row *endpoint) bool { return row.listed() && mayUse(row) })
	}
	if !ok && len(r.tried) > 0 && !r.mayHaveRun() {
		clear(r.tried)
		c, ok = e.choose(r, func(row *endpoint) bool { return row.listed() && mayUse(row) })
	}
	if !ok {
		// After an outage of the store, the entries of all endpoints may be missing.
		c, ok = e.choose(r, func(row *endpoint) bool { return row.usable() && mayUse(row) })
	}
	if !ok {
		c, ok = e.chooseLeft(r, func(row *endpoint) bool { return row.usable() && mayUse(row) })
	}
	if !ok && r.denied {
		e.refuseLimited(r)
		return
	}
	if !ok && r.pin.set {
		e.refusePinned(r)
		return
	}
	if !ok {
		e.log("no_endpoint", r.call.ID, field("service", r.service),
			field("known", len(e.endpoints.byService[r.service])), field("store_lost", e.endpoints.storeUnavailable))
		e.fail(r, Unreachable)
		return
	}
	if !e.confirmed(r, c.endpoint) {
		return
	}
	if e.limits.Limited(c.endpoint.replica.Endpoint) {
		e.askPermit(r, c)
		return
	}
	e.startWithSlot(r, c)
}

// startAttempt sends a request to an endpoint.
func (e *Edge) startAttempt(r *request, c placement) {
	remaining := r.deadline.Sub(e.now)
	r.attempt++
	r.endpoint = c.endpoint
	r.limitSeq = e.limits.Seq(c.endpoint.replica.Endpoint)
	r.sentAt = e.now
	r.sentBuild = c.endpoint.build
	r.expectedCost = c.cost
	r.expectedSlowdown = max(c.slowdown, minSlowdown)
	r.uncachedTokens = c.uncached
	r.answerStarted = false
	r.firstLatency = 0
	r.tried[c.endpoint.replica.Endpoint] = true
	r.via, _ = e.chooseTunnel(c.endpoint)
	e.addLoad(r, 1)
	e.recordReads(r, c.endpoint)
	d := Dispatch{
		Request: r.id,
		Attempt: r.attempt,
		Rank:    r.rank,
		Address: c.endpoint.replica.Address,
		Born:    c.endpoint.replica.Born,
		Params: waxwingwall.ForwardParams{
			Endpoint: c.endpoint.replica.Endpoint,
			Timeout:  remaining,
			Offset:   r.resumeOffset(),
		},
		Via:           e.tunnelAddress(r.via),
		Deadline:      r.deadline,
		Limited:       e.limits.Limited(c.endpoint.replica.Endpoint),
		DialTimeout:   e.dialTimeout(),
		SendBy:        e.sendByFor(r),
		Stream:        r.route.Kind == waxwingwall.Streaming,
		BufferFailure: r.route.Idempotent() && r.runs+1 < r.route.Attempts,
	}
	if r.account != nil {
		d.Params.Account = r.account.Name
	}
	if s := e.config.services[r.service]; s != nil && s.Engine {
		d.Params.Rank = r.rank
		d.Params.HasRank = true
	}
	if d.BufferFailure {
		d.FirstTimeout = min(firstTimeoutObjectives*r.route.Objective+time.Duration(c.cost)*time.Millisecond, remaining)
		d.IdleTimeout = d.FirstTimeout
		if d.Stream && r.route.Pause > 0 {
			d.IdleTimeout = idleTimeoutPauses * r.route.Pause
		}
	}
	r.firstTimeout = d.FirstTimeout
	e.log("dispatched", r.call.ID,
		field("route", r.route.Name), field("version", e.config.version), field("rank", r.rank),
		field("attempt", r.attempt), field("endpoint", d.Params.Endpoint),
		field("via", r.via.VM), field("software", c.endpoint.replica.Version), field("among", c.candidates),
		field("cost_ms", int(c.cost)), field("unread", c.uncached), field("running", c.endpoint.running),
		field("reserved", r.reserved), field("left", remaining), field("endpoints_age", e.endpoints.age(e.now)))
	e.emit(d)
}

// resumeOffset returns the offset from which a stream resumes.
func (r *request) resumeOffset() string {
	if r.offset != "" {
		return r.offset
	}
	return r.call.Offset
}

// mayHaveRun reports whether an endpoint may have run part of the request.
func (r *request) mayHaveRun() bool {
	return r.runs > 0
}

// addLoad adds n times the load of a request to its endpoint.
func (e *Edge) addLoad(r *request, n int) {
	target := r.endpoint
	target.running += n
	target.memory += waxwingwall.Tokens(n) * r.memoryTokens()
	if !r.answerStarted {
		target.prefill += waxwingwall.Tokens(n) * r.uncachedTokens
	}
	e.gossip.loadChanged = true
	e.turnsDue = e.turnsDue || n < 0
}

// handleAnswerStarted handles the first part of an answer.
func (e *Edge) handleAnswerStarted(ev AnswerStarted) {
	r := e.requests[ev.Request]
	if r == nil || r.endpoint == nil || ev.Attempt != r.attempt || r.answerStarted {
		return
	}
	r.endpoint.prefill -= r.uncachedTokens
	r.answerStarted = true
	r.firstLatency = e.now.Sub(r.sentAt) - ev.Confirming
	e.link.clear.add(e.now, r.firstLatency)
	e.releaseSpare(r)
	r.endpoint.heardAt = e.now
	e.recordAnswer(r)
	r.endpoint.recordReachable()
	r.endpoint.recordLatency(r.firstLatency, r.expectedCost/r.expectedSlowdown)
	e.gossip.loadChanged = true
	if ev.Event {
		e.streamBegins(r)
	}
}

// handleAttemptEnded handles the end of an attempt and decides what follows.
func (e *Edge) handleAttemptEnded(ev AttemptEnded) {
	r := e.requests[ev.Request]
	if r == nil || r.endpoint == nil || ev.Attempt != r.attempt {
		return
	}
	target := r.endpoint
	e.addLoad(r, -1)
	r.endpoint = nil
	r.lastAttempt = ev
	next := r.next
	if ev.Result != IdleTimeout {
		e.releaseNext(r)
	}
	r.next = nil
	r.eventsBefore, r.events = r.events, ev.Events
	if ev.Offset != "" {
		r.offset = ev.Offset
	}
	e.returnUnusedPermit(r, ev)
	e.endSlot(r, ev.Result == Declined && ev.Status == http.StatusServiceUnavailable)
	runs := r.runs
	e.recordResult(r, target, ev)
	if r.runs > runs {
		e.recordRun(r, ev.Result == Complete)
	}
	if ev.Result == Complete {
		e.finish(r, target, ev)
		return
	}
	e.log("attempt_ended", r.call.ID,
		field("attempt", ev.Attempt), field("endpoint", target.replica.Endpoint), field("result", ev.Result.String()),
		field("status", ev.Status), field("framing", string(ev.Framing)), field("committed", ev.Committed), field("events", ev.Events),
		field("connected", since(r.sentAt, ev.ConnectedAt)), field("sent", since(r.sentAt, ev.SentAt)),
		field("first", r.firstLatency), field("took", e.now.Sub(r.sentAt)), field("idle", ev.Idle), field("cause", ev.Err))
	e.logEnding(r, target, ev)
	switch {
	case ev.Result == IdleTimeout && next != nil:
		r.left = target.replica.Endpoint
		e.continueAt(r, next)
	case ev.Committed && !(r.route.Kind == waxwingwall.Streaming && r.route.Resumable):
		r.noRetry = "not_resumable"
		e.abort(r)
	case e.takeRetry(r, ev), e.goBack(r):
		e.dispatch(r)
	case ev.Committed:
		e.abort(r)
	case ev.Result == Failed:
		e.settle(r)
		e.emit(Deliver{
			Request: r.id,
		})
		e.removeRequest(r)
	default:
		e.fail(r, ev.Result)
	}
}

// recordResult updates the state of the endpoint and of the request with the
// result of an attempt.
func (e *Edge) recordResult(r *request, target *endpoint, ev AttemptEnded) {
	switch ev.Result {
	case Complete:
		r.runs++
		target.heardAt = e.now
		e.recordAnswer(r)
		target.recordReachable()
		target.recordRun(e.now, false)
	case Failed:
		r.runs++
		e.recordAnswer(r)
		target.recordReachable()
		target.recordRun(e.now, true)
	case Declined:
		r.declined++
		e.recordAnswer(r)
		target.recordRun(e.now, true)
		if ev.Status == http.StatusServiceUnavailable {
			target.fullUntil = e.now.Add(declineTime)
		}
		if ev.Status == http.StatusMisdirectedRequest {
			e.handleMisdirected(target)
		}
	case Unreachable:
		if r.via.VM != "" {
			e.recordTunnelFailure(r, target, ev)
			break
		}
		if e.link.queueDelay(e.now) > 0 {
			// The queue on the router's link may be the cause.
			break
		}
		target.recordUnreachable(e.now)
		e.confirmCrash(target)
	case Broken:
		r.runs++
		target.recordRun(e.now, true)
		target.recordUnreachable(e.now)
		e.handleBroken(r, target, ev.Events > r.eventsBefore)
	case IdleTimeout:
		r.runs++
		target.recordRun(e.now, true)
		target.recordUnreachable(e.now)
	case DeadlineExceeded:
		r.runs++
		target.recordRun(e.now, true)
	}
}

// handleMisdirected handles an answer that shows that another endpoint has the
// address.
func (e *Edge) handleMisdirected(target *endpoint) {
	target.backoffUntil = e.now.Add(maxBackoff)
	e.confirmCrash(target)
}

// takeRetry reports whether a request may be sent again, and takes the retry
// from the retry budget.
func (e *Edge) takeRetry(r *request, ev AttemptEnded) bool {
	r.noRetry = e.retryObstacle(r, ev)
	return r.noRetry == ""
}

// retryObstacle returns why a request may not be sent again; empty if it may, and then a
// retry is taken from the retry budget.
func (e *Edge) retryObstacle(r *request, ev AttemptEnded) string {
	switch {
	case r.cut:
		return "stopping"
	case r.deadline.Sub(e.now) < minAttemptTime:
		return "deadline"
	case e.quarantined(r) || e.blocksRetry(r):
		return "quarantined"
	}
	switch ev.Result {
	case Unreachable, Expired:
		// Nothing was sent, so this does not count against the retry budget.
		r.declined++
		switch {
		case r.declined > 2*maxDeclined:
			return attemptsUsed
		case r.mayHaveRun() && !r.route.Idempotent():
			return "not_idempotent"
		}
		return ""
	case Declined:
		switch {
		case r.declined > maxDeclined:
			return attemptsUsed
		case r.mayHaveRun() && !r.route.Idempotent():
			return "not_idempotent"
		}
	case Failed, Broken, IdleTimeout:
		switch {
		case !r.route.Idempotent():
			return "not_idempotent"
		case r.runs >= r.route.Attempts:
			return attemptsUsed
		}
	default:
		return "deadline"
	}
	if r.spareRetry {
		r.spareRetry = false
		return ""
	}
	if !e.retryBudget(r.service).take(e.now) {
		e.log("retry_budget_spent", r.call.ID, field("service", r.service))
		return "retry_budget_spent"
	}
	return ""
}

// fail ends a request without a complete answer.
func (e *Edge) fail(r *request, result Result) {
	if r.attempt > 0 && !r.cut {
		e.recordDuration(r)
	}
	if r.events > 0 || r.lastAttempt.Committed {
		e.abort(r)
		return
	}
	if !r.mayHaveRun() {
		if p := e.pausedProblem(r); p != nil {
			e.refuse(r, p)
			return
		}
		code, message := "no_endpoint", "no endpoint can run the request now"
		if result == DeadlineExceeded {
			code, message = "too_late", "no endpoint was free in time"
		}
		e.refuse(r, e.unavailableProblem(code, message, defaultRetryAfter))
		return
	}
	status := http.StatusBadGateway
	if result == IdleTimeout || result == DeadlineExceeded {
		status = http.StatusGatewayTimeout
	}
	e.refuse(r, &waxwingwall.Problem{
		Status:  status,
		Code:    "endpoint_" + result.String(),
		Message: "the endpoint gave no whole answer; it may have run the request",
		Outcome: waxwingwall.Unknown,
	})
}

// refuse ends a request of which the caller has received nothing.
func (e *Edge) refuse(r *request, p *waxwingwall.Problem) {
	e.settle(r)
	e.log("refused", r.call.ID, append([]Field{
		field("status", p.Status), field("code", p.Code), field("outcome", string(p.Outcome)),
		field("retry_after", p.RetryAfter), field("after", e.now.Sub(r.arrived)),
		field("version", e.config.version),
	}, r.endFields()...)...)
	e.emit(Refuse{
		Request: r.id,
		Rank:    r.rank,
		Problem: p,
	})
	e.removeRequest(r)
}

// abort ends a request whose answer was interrupted.
func (e *Edge) abort(r *request) {
	e.settle(r)
	e.log("cut", r.call.ID, append([]Field{
		field("events", r.events), field("after", e.now.Sub(r.arrived)), field("version", e.config.version),
	}, r.endFields()...)...)
	e.emit(Abort{
		Request: r.id,
	})
	e.removeRequest(r)
}

// endFields returns what explains the end of a request that was sent to an endpoint; nil
// for others.
func (r *request) endFields() []Field {
	if r.attempt == 0 {
		return nil
	}
	return []Field{
		field("arrived_version", r.version), field("attempt", r.attempt), field("result", r.lastAttempt.Result.String()),
		field("idle", r.lastAttempt.Idle), field("no_retry", r.noRetry),
	}
}

// logOverdue logs the requests that have not ended although their deadline has passed.
func (e *Edge) logOverdue() {
	for _, r := range e.requests {
		if r.overdueLogged || r.deadline.IsZero() || e.now.Sub(r.deadline) < overdueTime {
			continue
		}
		r.overdueLogged = true
		e.log("request_overdue", r.call.ID,
			field("after", e.now.Sub(r.arrived)), field("arrived_version", r.version), field("version", e.config.version),
			field("attempt", r.attempt), field("in_flight", r.endpoint != nil), field("waits_for_budget", r.waiting), field("waits_for_permit", r.ask != 0), field("waits_for_slot", r.slot.asked), field("waits_for_turn", r.turn.waits))
	}
}

// finish ends a request whose answer the caller has received. Since most
// requests end this way, a single log entry covers the last attempt and the
// bill as well.
func (e *Edge) finish(r *request, target *endpoint, ev AttemptEnded) {
	r.completed = true
	e.recordDuration(r)
	if ev.Status < http.StatusMultipleChoices {
		e.clearParts(r)
		e.clearBlocked(r)
	}
	reserved := r.reserved
	used, _ := e.charge(r)
	e.log("served", r.call.ID,
		field("rank", r.rank), field("attempt", ev.Attempt), field("endpoint", target.replica.Endpoint),
		field("status", ev.Status), field("framing", string(ev.Framing)), field("events", r.events),
		field("connected", since(r.sentAt, ev.ConnectedAt)), field("sent", since(r.sentAt, ev.SentAt)),
		field("first", r.firstLatency), field("took", e.now.Sub(r.sentAt)), field("after", e.now.Sub(r.arrived)),
		field("budget", r.budget), field("used", used), field("reserved", reserved), field("confirmed", confirmation(ev)))
	e.logEnding(r, target, ev)
	e.emit(Finished{
		Request: r.id,
	})
	e.removeRequest(r)
}

// confirmation returns what confirmed the end of an answer; empty if its framing did.
func confirmation(ev AttemptEnded) string {
	if ev.Ending == nil {
		return ""
	}
	return string(ev.Ending.Confirmed)
}

// logEnding logs how an answer ended with its connection.
func (e *Edge) logEnding(r *request, target *endpoint, ev AttemptEnded) {
	if ev.Ending == nil {
		return
	}
	e.log("connection_ended", r.call.ID,
		field("attempt", ev.Attempt), field("endpoint", target.replica.Endpoint), field("confirmed", confirmation(ev)),
		field("asked", ev.Ending.Asked), field("status", ev.Ending.Status), field("took", ev.Ending.Took), field("quiet", ev.Ending.Quiet),
		field("closed", ev.Ending.Closed), field("companion", ev.Ending.Companion), field("outlived", ev.Ending.Outlived))
}

// since returns the time from start to end; zero if end is zero.
func since(start, end time.Time) time.Duration {
	if end.IsZero() {
		return 0
	}
	return end.Sub(start)
}

// handleCallerLeft handles the disconnection of the caller.
func (e *Edge) handleCallerLeft(ev CallerLeft) {
	r := e.requests[ev.Request]
	if r == nil {
		return
	}
	if r.endpoint != nil {
		e.addLoad(r, -1)
		r.endpoint = nil
		r.runs++
		e.recordRun(r, false)
	}
	r.events = max(r.events, ev.Events)
	e.settle(r)
	e.log("caller_left", r.call.ID, field("events", r.events), field("after", e.now.Sub(r.arrived)))
	e.emit(Finished{
		Request: r.id,
	})
	e.removeRequest(r)
}

// settle withdraws the ask of a request that ends, charges what the caller received and logs
// the bill. The tokens that become free may let others go on, so the ask goes first: one of
// them could displace it and have the request dispatched or refused once more.
func (e *Edge) settle(r *request) {
	e.cancelAsk(r)
	reserved := r.reserved
	if used, ok := e.charge(r); ok {
		e.log("billed", r.call.ID, field("budget", r.budget), field("used", used), field("reserved", reserved))
	}
}

// charge charges what the caller received and releases the rest of the
// reservation. It charges the prompt, and each event at its maximum number of
// tokens. A request of which the caller received nothing costs nothing. It
// returns false if nothing was reserved.
func (e *Edge) charge(r *request) (waxwingwall.Tokens, bool) {
	if r.reserved == 0 || r.book != e.book {
		return 0, false
	}
	var used waxwingwall.Tokens
	if r.completed || r.events > 0 {
		eventTokens := waxwingwall.Tokens(1)
		if s := e.config.services[r.service]; s != nil {
			eventTokens = max(s.EventTokens, 1)
		}
		used = r.call.Prompt + waxwingwall.Tokens(r.events)*eventTokens
	}
	e.book.Settle(e.now, r.budget, r.reserved, used)
	r.reserved = 0
	e.stepBook()
	return used, true
}

// removeRequest removes a request from the table.
func (e *Edge) removeRequest(r *request) {
	e.cancelAsk(r)
	e.cancelSlot(r)
	e.endTurn(r)
	e.releaseNext(r)
	e.releaseSpare(r)
	delete(e.versions.asks, r.id)
	delete(e.versions.unconfirmed, r.id)
	delete(e.requests, r.id)
}

// unavailableProblem returns an answer that asks the caller to retry.
func (e *Edge) unavailableProblem(code, message string, retryAfter time.Duration) *waxwingwall.Problem {
	if retryAfter > 0 {
		retryAfter += e.jitter(retryAfter)
	}
	return notRunProblem(code, message, retryAfter)
}

// notRunProblem returns the answer to a request that can be repeated after a time, as it is.
func notRunProblem(code, message string, retryAfter time.Duration) *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Message:    message,
		Outcome:    waxwingwall.NotRun,
		RetryAfter: retryAfter,
	}
}

// permanentProblem returns an answer to a request that should not be repeated
// unchanged.
func permanentProblem(status int, code, message string) *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:  status,
		Code:    code,
		Message: message,
		Outcome: waxwingwall.NotRun,
	}
}
