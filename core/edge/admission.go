package edge

import (
	"net/http"
	"sort"

	"waxwingwall"
	"waxwingwall/core/escrow"
)

// arrived takes in a request.
func (e *Edge) arrived(ev Arrived) {
	r := &request{
		id:      ev.Request,
		call:    ev.Call,
		arrived: e.now,
		tried:   map[waxwingwall.Endpoint]bool{},
	}
	e.requests[r.id] = r
	if p := e.admit(r); p != nil {
		e.refuse(r, p)
		return
	}
	e.allowance(r.service).first()
	e.fundRequest(r)
}

// admit checks a request against the configuration.
func (e *Edge) admit(r *request) *waxwingwall.Problem {
	if e.rules.version == 0 {
		return e.unavailable("not_ready", "no configuration yet", backSoon)
	}
	r.route = e.rules.route(r.call.Host, r.call.Path)
	if r.route == nil {
		return e.unknown(http.StatusNotFound, "no_route", "no route has this host and path")
	}
	r.account = e.rules.accounts[r.call.Key]
	if r.account == nil && !r.route.Open && len(e.rules.configuration.Accounts) > 0 {
		return e.unknown(http.StatusUnauthorized, "unknown_key", "the key is not in force")
	}
	if e.leaving() {
		return e.unavailable("stopping", "this router is about to stop", 0)
	}
	r.service = split(r.route, r.call.ID)
	r.rank = r.route.Rank
	if r.account != nil && r.account.HasRank {
		r.rank = r.account.Rank
	}
	patience := r.route.Timeout
	if r.call.CallerTimeout > 0 && (patience <= 0 || r.call.CallerTimeout < patience) {
		patience = r.call.CallerTimeout
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	r.until = r.arrived.Add(patience)
	if e.suspects.table.Blocked(e.now, r.call.Fingerprint) {
		return e.unavailable("quarantined", "this request crashed the endpoints that ran it", suspectTime)
	}
	return e.linkRefusal(r)
}

// unknown is the answer to a request for what the configuration doesn't have; a
// newer one may have it.
func (e *Edge) unknown(status int, code, message string) *waxwingwall.Problem {
	if e.outdated() {
		return e.unavailable("old_configuration", "a newer configuration is on its way", backSoon)
	}
	return notServed(status, code, message)
}

// fundRequest reserves what the request can cost at most.
func (e *Edge) fundRequest(r *request) {
	worst := r.call.WorstCase()
	if r.account == nil || !r.account.Metered || worst == 0 {
		e.dispatch(r)
		return
	}
	r.budget = waxwingwall.Budget(r.account.Name)
	verdict := e.book.Reserve(e.now, r.budget, worst)
	switch verdict.Kind {
	case escrow.Granted:
		r.waiting = false
		r.reserved = worst
		r.book = e.book
		e.dispatch(r)
	case escrow.Waiting:
		r.waiting = true
		e.stepBook()
	case escrow.Exhausted:
		r.waiting = false
		e.noteBudget(r, verdict)
		e.refuse(r, &waxwingwall.Problem{
			Status:  http.StatusPaymentRequired,
			Code:    "budget_exhausted",
			Message: "the prepaid budget does not cover the request at its most",
			Outcome: waxwingwall.NotRun,
		})
	case escrow.OutOfReach:
		r.waiting = false
		e.noteBudget(r, verdict)
		after := verdict.RetryAfter
		if verdict.Reason == escrow.ReasonTableUnreachable {
			after = backAfterOutage
		}
		e.refuse(r, e.unavailable("budget_out_of_reach", "no share of the budget can be had now", after))
	}
}

// noteBudget logs what decided that a request can't be paid.
func (e *Edge) noteBudget(r *request, v escrow.Verdict) {
	s := e.book.Balance(r.budget)
	e.note("budget_short", r.call.ID,
		field("budget", r.budget), field("verdict", v.Kind.String()), field("reason", v.Reason), field("worst", r.call.WorstCase()),
		field("free", s.Free), field("spare", s.Spare), field("granted", s.Granted), field("allowance", s.Allowance),
		field("reserved", s.Reserved), field("pool", s.Pool), field("pool_known", s.PoolKnown),
		field("pool_version", s.PoolVersion), field("total", s.Total), field("store_lost", e.endpoints.lost))
}

// noteTrade logs a change of a share.
func (e *Edge) noteTrade(t escrow.Traded) {
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
	e.note("share_traded", "", fields...)
}

// resolved lets the requests that wait for a budget try again: the most urgent
// first, then in the order of their arrival.
func (e *Edge) resolved(budget waxwingwall.Budget) {
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
		if !e.now.Before(r.until) {
			r.waiting = false
			e.refuse(r, e.unavailable("budget_out_of_reach", "no share of the budget came in time", backSoon))
			continue
		}
		e.fundRequest(r)
	}
}
