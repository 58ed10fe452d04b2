package edge

import (
	"net/http"
	"time"

	"waxwingwall"
	"waxwingwall/core/escrow"
)

const (
	// backSoon is when to come back if nothing says how long it takes; up to as
	// much again is added.
	backSoon = 200 * time.Millisecond

	// backAfterOutage is when to come back while the budget's row is out of
	// reach: outages of the store last for seconds, and a caller has few tries.
	backAfterOutage = 2 * time.Second

	// leastTime is how much of a request's time has to be left for another
	// attempt.
	leastTime = 50 * time.Millisecond

	// silentObjectives is after how many times the objective an idempotent
	// request without an answer is tried elsewhere.
	silentObjectives = 2

	// silentPauses is after how many of the longest pauses a stream that may be
	// gone on with is taken to be silent.
	silentPauses = 2

	// maxDeclined bounds how often a request that was declined is sent on.
	maxDeclined = 3
)

// request is one request from its arrival to its end.
type request struct {
	id      uint64
	call    waxwingwall.Call
	route   *waxwingwall.Route
	service waxwingwall.Model
	account *waxwingwall.ClientAccount
	rank    waxwingwall.Rank

	// arrived is when it came, until when its time is over.
	arrived time.Time
	until   time.Time

	// budget is set if tokens are charged; reserved are those reserved, waiting
	// is set while there are none.
	budget   waxwingwall.Budget
	reserved waxwingwall.Tokens
	book     *escrow.Book
	waiting  bool

	// attempt counts dispatches, runs those of which an endpoint may have run a
	// part, declined those that were turned away.
	attempt  int
	runs     int
	declined int
	tried    map[waxwingwall.Endpoint]bool

	// The attempt under way; at is nil between attempts.
	at       *endpoint
	sent     time.Time
	unreadAt waxwingwall.Tokens
	expected float64
	began    bool
	first    time.Duration

	// events and offset are what the caller has of a stream.
	events int
	offset string

	// whole is set once the caller has the whole answer.
	whole bool
}

// defaultPatience bounds a request for which nobody set a time.
const defaultPatience = 30 * time.Second

// dispatch sends a request to an endpoint, or refuses it.
func (e *Edge) dispatch(r *request) {
	left := r.until.Sub(e.now)
	if left < leastTime {
		e.giveUp(r, DeadlineExceeded)
		return
	}
	c, ok := e.choose(r)
	if !ok && len(r.tried) > 0 && !r.mayHaveRun() {
		clear(r.tried)
		c, ok = e.choose(r)
	}
	if !ok {
		e.note("no_endpoint", r.call.ID, field("service", r.service),
			field("known", len(e.endpoints.byService[r.service])), field("store_lost", e.endpoints.lost))
		e.giveUp(r, Unreachable)
		return
	}
	r.attempt++
	r.at = c.endpoint
	r.sent = e.now
	r.expected = c.cost
	r.unreadAt = c.unread
	r.began = false
	r.first = 0
	r.tried[c.endpoint.replica.Endpoint] = true
	e.load(r, 1)
	e.noteReads(r, c.endpoint)
	d := Dispatch{
		Request: r.id,
		Attempt: r.attempt,
		Rank:    r.rank,
		Address: c.endpoint.replica.Address,
		Params: waxwingwall.ForwardParams{
			Endpoint: c.endpoint.replica.Endpoint,
			Timeout:  left,
			Offset:   r.resume(),
		},
		Deadline:    r.until,
		DialTimeout: e.dialTime(),
		Stream:      r.route.Kind == waxwingwall.Streaming,
		HoldFailure: r.route.Idempotent() && r.runs+1 < r.route.Attempts,
	}
	if r.account != nil {
		d.Params.Account = r.account.Name
	}
	if s := e.rules.services[r.service]; s != nil && s.Engine {
		d.Params.Rank = r.rank
		d.Params.HasRank = true
	}
	if d.HoldFailure {
		d.FirstTimeout = min(silentObjectives*r.route.Objective+time.Duration(c.cost)*time.Millisecond, left)
		if d.Stream && r.route.Pause > 0 {
			d.IdleTimeout = silentPauses * r.route.Pause
		}
	}
	e.note("dispatched", r.call.ID,
		field("route", r.route.Name), field("version", e.rules.version), field("rank", r.rank),
		field("attempt", r.attempt), field("endpoint", d.Params.Endpoint), field("among", c.among),
		field("cost_ms", int(c.cost)), field("unread", c.unread), field("running", c.endpoint.running),
		field("reserved", r.reserved), field("left", left))
	e.do(d)
}

// resume is where a stream goes on.
func (r *request) resume() string {
	if r.offset != "" {
		return r.offset
	}
	return r.call.Offset
}

// mayHaveRun reports whether an endpoint may have run a part of it.
func (r *request) mayHaveRun() bool {
	return r.runs > 0
}

// load counts a request at its endpoint, or takes it away.
func (e *Edge) load(r *request, n int) {
	row := r.at
	row.running += n
	row.memory += waxwingwall.Tokens(n) * r.holds()
	if !r.began {
		row.prefill += waxwingwall.Tokens(n) * r.unreadAt
	}
	e.news.loadChanged = true
}

// progressed takes in the first part of an answer.
func (e *Edge) progressed(ev AnswerStarted) {
	r := e.requests[ev.Request]
	if r == nil || r.at == nil || ev.Attempt != r.attempt || r.began {
		return
	}
	r.at.prefill -= r.unreadAt
	r.began = true
	r.first = e.now.Sub(r.sent)
	r.at.reached()
	r.at.paced(e.now.Sub(r.sent), r.expected/r.at.pace)
	e.news.loadChanged = true
}

// ended takes in the end of an attempt and decides what follows.
func (e *Edge) ended(ev AttemptEnded) {
	r := e.requests[ev.Request]
	if r == nil || r.at == nil || ev.Attempt != r.attempt {
		return
	}
	row := r.at
	e.load(r, -1)
	r.at = nil
	r.events = ev.Events
	if ev.Offset != "" {
		r.offset = ev.Offset
	}
	e.judge(r, row, ev)
	if ev.Result == Complete {
		e.finish(r, row, ev)
		return
	}
	e.note("attempt_ended", r.call.ID,
		field("attempt", ev.Attempt), field("endpoint", row.replica.Endpoint), field("result", ev.Result.String()),
		field("status", ev.Status), field("committed", ev.Committed), field("events", ev.Events),
		field("first", r.first), field("took", e.now.Sub(r.sent)), field("cause", ev.Err))
	switch {
	case ev.Committed && !(r.route.Kind == waxwingwall.Streaming && r.route.Resumable):
		e.abort(r)
	case e.again(r, ev):
		e.dispatch(r)
	case ev.Committed:
		e.abort(r)
	case ev.Result == Failed:
		e.settle(r)
		e.do(Deliver{
			Request: r.id,
		})
		e.forget(r)
	default:
		e.giveUp(r, ev.Result)
	}
}

// judge takes in what an attempt tells of its endpoint and of the request.
func (e *Edge) judge(r *request, row *endpoint, ev AttemptEnded) {
	switch ev.Result {
	case Complete:
		r.runs++
		row.reached()
		row.fault(e.now, false)
	case Failed:
		r.runs++
		row.reached()
		row.fault(e.now, true)
	case Declined:
		r.declined++
		row.fault(e.now, true)
		if ev.Status == http.StatusMisdirectedRequest {
			e.replacedAt(row)
		}
	case Unreachable:
		if e.link.queue(e.now) > 0 {
			break
		}
		row.unreached(e.now)
		e.confirmCrash(row)
	case Broken:
		r.runs++
		row.fault(e.now, true)
		row.unreached(e.now)
		e.suspects.broke(e.now, r.call.Fingerprint, row.replica)
	case IdleTimeout:
		r.runs++
		row.fault(e.now, true)
		row.unreached(e.now)
	case DeadlineExceeded:
		r.runs++
		row.fault(e.now, true)
	}
}

// replacedAt takes in that another endpoint has the address.
func (e *Edge) replacedAt(row *endpoint) {
	row.avoid = e.now.Add(avoidLast)
	e.confirmCrash(row)
}

// again reports whether a request may be sent once more, and pays for it.
func (e *Edge) again(r *request, ev AttemptEnded) bool {
	left := r.until.Sub(e.now)
	if left < leastTime || e.suspects.table.Blocked(e.now, r.call.Fingerprint) {
		return false
	}
	switch ev.Result {
	case Unreachable:
		// Nothing arrived, so nothing is repeated.
		r.declined++
		return r.declined <= 2*maxDeclined && (!r.mayHaveRun() || r.route.Idempotent())
	case Declined:
		if r.declined > maxDeclined || r.mayHaveRun() && !r.route.Idempotent() {
			return false
		}
	case Failed, Broken, IdleTimeout:
		if !r.route.Idempotent() || r.runs >= r.route.Attempts {
			return false
		}
	default:
		return false
	}
	if !e.allowance(r.service).take(e.now) {
		e.note("retry_budget_spent", r.call.ID, field("service", r.service))
		return false
	}
	return true
}

// giveUp ends a request that has no answer.
func (e *Edge) giveUp(r *request, result Result) {
	if r.events > 0 {
		e.abort(r)
		return
	}
	if !r.mayHaveRun() {
		code, message := "no_endpoint", "no endpoint can run the request now"
		if result == DeadlineExceeded {
			code, message = "too_late", "no endpoint was free in time"
		}
		e.refuse(r, e.unavailable(code, message, backSoon))
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

// refuse ends a request of which the caller has got nothing.
func (e *Edge) refuse(r *request, p *waxwingwall.Problem) {
	e.settle(r)
	e.note("refused", r.call.ID,
		field("status", p.Status), field("code", p.Code), field("outcome", string(p.Outcome)),
		field("retry_after", p.RetryAfter), field("after", e.now.Sub(r.arrived)),
		field("version", e.rules.version))
	e.do(Refuse{
		Request: r.id,
		Rank:    r.rank,
		Problem: p,
	})
	e.forget(r)
}

// abort ends a request whose answer broke off.
func (e *Edge) abort(r *request) {
	e.settle(r)
	e.note("cut", r.call.ID, field("events", r.events), field("after", e.now.Sub(r.arrived)))
	e.do(Abort{
		Request: r.id,
	})
	e.forget(r)
}

// finish ends a request whose answer the caller has. Its one line tells of the
// last attempt and the bill as well, as most requests end so.
func (e *Edge) finish(r *request, row *endpoint, ev AttemptEnded) {
	r.whole = true
	reserved := r.reserved
	used, _ := e.charge(r)
	e.note("served", r.call.ID,
		field("rank", r.rank), field("attempt", ev.Attempt), field("endpoint", row.replica.Endpoint),
		field("status", ev.Status), field("events", r.events),
		field("first", r.first), field("took", e.now.Sub(r.sent)), field("after", e.now.Sub(r.arrived)),
		field("budget", r.budget), field("used", used), field("reserved", reserved))
	e.do(Finished{
		Request: r.id,
	})
	e.forget(r)
}

// left takes in that the caller went away.
func (e *Edge) left(ev CallerLeft) {
	r := e.requests[ev.Request]
	if r == nil {
		return
	}
	if r.at != nil {
		e.load(r, -1)
		r.at = nil
		r.runs++
	}
	r.events = max(r.events, ev.Events)
	e.settle(r)
	e.note("caller_left", r.call.ID, field("events", r.events), field("after", e.now.Sub(r.arrived)))
	e.do(Finished{
		Request: r.id,
	})
	e.forget(r)
}

// settle charges what the caller got, and logs the bill.
func (e *Edge) settle(r *request) {
	reserved := r.reserved
	if used, ok := e.charge(r); ok {
		e.note("billed", r.call.ID, field("budget", r.budget), field("used", used), field("reserved", reserved))
	}
}

// charge charges what the caller got and frees the rest: the prompt, and each
// event at its most tokens. A request of which the caller got nothing costs
// nothing. It reports false if nothing was reserved.
func (e *Edge) charge(r *request) (waxwingwall.Tokens, bool) {
	if r.reserved == 0 || r.book != e.book {
		return 0, false
	}
	var used waxwingwall.Tokens
	if r.whole || r.events > 0 {
		each := waxwingwall.Tokens(1)
		if s := e.rules.services[r.service]; s != nil {
			each = max(s.EventTokens, 1)
		}
		used = r.call.Prompt + waxwingwall.Tokens(r.events)*each
	}
	e.book.Settle(e.now, r.budget, r.reserved, used)
	r.reserved = 0
	e.stepBook()
	return used, true
}

// forget drops a request from the table.
func (e *Edge) forget(r *request) {
	delete(e.requests, r.id)
}

// unavailable is the answer that asks to come back.
func (e *Edge) unavailable(code, message string, after time.Duration) *waxwingwall.Problem {
	if after > 0 {
		after += e.jitter(after)
	}
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Message:    message,
		Outcome:    waxwingwall.NotRun,
		RetryAfter: after,
	}
}

// notServed is the answer to a request that is not to be repeated as it is.
func notServed(status int, code, message string) *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:  status,
		Code:    code,
		Message: message,
		Outcome: waxwingwall.NotRun,
	}
}
