package edge

import (
	"cmp"
	"net/http"
	"slices"
	"sort"

	"waxwingwall"
	"waxwingwall/core/escrow"
)

// handleArrived admits or refuses a new request.
func (e *Edge) handleArrived(ev Arrived) {
	r := &request{
		id:      ev.Request,
		call:    ev.Call,
		arrived: e.now,
		version: e.config.version,
		tried:   map[waxwingwall.Endpoint]bool{},
	}
	if !ev.At.IsZero() && ev.At.Before(e.now) {
		r.arrived = ev.At
	}
	e.requests[r.id] = r
	if p := e.admit(r); p != nil {
		e.refuse(r, p)
		return
	}
	if r.resumes() && !e.resolve(r) {
		return
	}
	e.start(r)
}

// start reserves the cost of an admitted request and dispatches it.
func (e *Edge) start(r *request) {
	e.retryBudget(r.service).addRequest()
	e.fundRequest(r)
}

// admit sets the route, account, service, rank and deadline of a request. It returns
// the answer if the request must be refused, and nil otherwise.
func (e *Edge) admit(r *request) *waxwingwall.Problem {
	if e.config.version == 0 {
		return e.unavailableProblem("not_ready", "no configuration yet", defaultRetryAfter)
	}
	r.route = e.config.route(r.call.Host, r.call.Path)
	if r.route == nil {
		return e.unknownProblem(http.StatusNotFound, "no_route", "no route has this host and path")
	}
	r.account = e.config.accounts[r.call.Key]
	if r.account == nil && !r.route.Open && len(e.config.configuration.Accounts) > 0 {
		return e.unknownProblem(http.StatusUnauthorized, "unknown_key", "the key is not in force")
	}
	if e.refusesRequests() {
		return e.unavailableProblem("stopping", "this router is about to stop", stoppingRetryAfter)
	}
	r.service = chooseService(r.route, cmp.Or(r.streamName(), r.call.ID))
	r.rank = r.route.Rank
	if r.account != nil && r.account.HasRank {
		r.rank = r.account.Rank
	}
	timeout := r.route.Timeout
	if r.call.CallerTimeout > 0 && (timeout <= 0 || r.call.CallerTimeout < timeout) {
		timeout = r.call.CallerTimeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.deadline = r.arrived.Add(timeout)
	if e.outlastsStop(r) {
		return e.unavailableProblem("stopping", "this router stops before the request could end", stoppingRetryAfter)
	}
	if e.quarantined(r) {
		return e.quarantineProblem()
	}
	return e.checkLink(r)
}

// quarantineProblem returns the answer to a request that crashed endpoints, or that has
// a part in common with those that did.
func (e *Edge) quarantineProblem() *waxwingwall.Problem {
	return e.unavailableProblem("quarantined", "requests like this one crashed the endpoints that ran them", crashRetention)
}

// unknownProblem returns the answer to a request for something that is not in
// the configuration; a newer configuration may contain it.
func (e *Edge) unknownProblem(status int, code, message string) *waxwingwall.Problem {
	if e.configOutdated() {
		return e.unavailableProblem("old_configuration", "a newer configuration is on its way", defaultRetryAfter)
	}
	return permanentProblem(status, code, message)
}

// fundRequest reserves the worst-case cost of the request.
func (e *Edge) fundRequest(r *request) {
	worstCase := r.call.WorstCase()
	if r.account == nil || !r.account.Metered || worstCase == 0 {
		e.dispatch(r)
		return
	}
	r.budget = waxwingwall.Budget(r.account.Name)
	if r.waiting && e.quarantined(r) {
		r.waiting = false
		e.refuse(r, e.quarantineProblem())
		return
	}
	verdict := e.book.Reserve(e.now, r.budget, worstCase)
	switch verdict.Kind {
	case escrow.Granted:
		r.waiting = false
		r.reserved = worstCase
		r.book = e.book
		e.dispatch(r)
	case escrow.Waiting:
		if e.refuseHeldBack(r) {
			return
		}
		r.waiting = true
		e.stepBook()
	case escrow.Exhausted:
		r.waiting = false
		e.logBudgetShort(r, verdict)
		e.refuse(r, &waxwingwall.Problem{
			Status:  http.StatusPaymentRequired,
			Code:    "budget_exhausted",
			Message: "the prepaid budget does not cover the request at its most",
			Outcome: waxwingwall.NotRun,
		})
	case escrow.OutOfReach:
		r.waiting = false
		e.logBudgetShort(r, verdict)
		e.refuse(r, e.outOfReachProblem(r, verdict))
	}
}

// refuseHeldBack refuses a request whose time ends before the lines in the store allow what could
// pay for it, and reports whether it did.
func (e *Edge) refuseHeldBack(r *request) bool {
	if !e.book.TableAway() {
		return false
	}
	left, held := e.book.HeldBack(e.now, r.budget, r.call.WorstCase())
	if !held || r.deadline.Sub(e.now) >= left+minAttemptTime {
		return false
	}
	r.waiting = false
	verdict := escrow.Verdict{
		Kind:       escrow.OutOfReach,
		Reason:     escrow.ReasonMarked,
		RetryAfter: left,
	}
	e.logBudgetShort(r, verdict)
	e.refuse(r, e.outOfReachProblem(r, verdict))
	return true
}

// outOfReachProblem returns the answer to a request whose tokens are not available now.
func (e *Edge) outOfReachProblem(r *request, v escrow.Verdict) *waxwingwall.Problem {
	const (
		code    = "budget_out_of_reach"
		message = "no share of the budget can be had now"
	)
	switch v.Reason {
	case escrow.ReasonTableUnreachable:
		return notRunProblem(code, message, e.outageRetryAfter(r.rank))
	case escrow.ReasonMarked:
		// Either the line in the store allows it, or the store is back.
		return notRunProblem(code, message, min(v.RetryAfter, e.outages.left(e.now))+e.rankDelay(r.rank))
	case escrow.ReasonHoldersSilent:
		return notRunProblem(code, message, e.closedIn(e.book.SilentHolders(r.budget))+e.rankDelay(r.rank))
	}
	return e.unavailableProblem(code, message, v.RetryAfter)
}

// logBudgetShort logs why the tokens for a request can't be reserved.
func (e *Edge) logBudgetShort(r *request, v escrow.Verdict) {
	s := e.book.Balance(r.budget)
	e.log("budget_short", r.call.ID,
		field("budget", r.budget), field("verdict", v.Kind.String()), field("reason", v.Reason), field("worst", r.call.WorstCase()),
		field("free", s.Free), field("spare", s.Spare), field("granted", s.Granted), field("allowance", s.Allowance),
		field("reserved", s.Reserved), field("pool", s.Pool), field("pool_known", s.PoolKnown),
		field("pool_version", s.PoolVersion), field("total", s.Total), field("store_lost", e.endpoints.storeUnavailable),
		field("outage", e.outages.lasted(e.now)), field("outage_left", e.outages.left(e.now)))
}

// logTrade logs a change of a share.
func (e *Edge) logTrade(t escrow.Traded) {
	fields := []Field{
		field("budget", t.Budget),
		field("trade", string(t.Trade)),
		field("tokens", t.Tokens),
		field("pool", t.Pool),
		field("pool_version", t.Version),
	}
	if !t.Peer.IsZero() {
		fields = append(fields, field("peer", t.Peer.String()))
	}
	e.log("share_traded", "", fields...)
}

// handleResolved retries the pending reservations of a budget: those of the most
// urgent requests first, then in order of arrival.
func (e *Edge) handleResolved(budget waxwingwall.Budget) {
	var waiting []*request
	for _, r := range e.requests {
		if r.waiting && r.budget == budget {
			waiting = append(waiting, r)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		a, b := waiting[i], waiting[j]
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		return a.id < b.id
	})
	for _, r := range waiting {
		if !r.waiting {
			// The end of another request has resolved the budget again.
			continue
		}
		if !e.now.Before(r.deadline) {
			e.refuseUnfunded(r)
			continue
		}
		e.fundRequest(r)
	}
}

// expireWaits ends the requests that wait for tokens, a permit or the version of their stream
// and have no time left for an attempt. What they wait for has limits of its own, which may
// be later.
func (e *Edge) expireWaits() {
	var expired []uint64
	var waiting []uint64
	for id, r := range e.requests {
		switch {
		case r.endpoint == nil && r.deadline.Sub(e.now) < minAttemptTime:
			expired = append(expired, id)
		case r.waiting && e.book.TableAway():
			waiting = append(waiting, id)
		}
	}
	slices.Sort(waiting)
	for _, id := range waiting {
		if r := e.requests[id]; r != nil && r.waiting {
			e.refuseHeldBack(r)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		r := e.requests[id]
		switch {
		case r == nil || r.endpoint != nil:
			// The end of another request has changed this one.
		case r.waiting:
			e.refuseUnfunded(r)
		default:
			e.fail(r, DeadlineExceeded)
		}
	}
}

// refuseUnfunded refuses a request that has waited for tokens until its deadline.
func (e *Edge) refuseUnfunded(r *request) {
	r.waiting = false
	e.refuse(r, e.unavailableProblem("budget_out_of_reach", "no share of the budget came in time", defaultRetryAfter))
}
