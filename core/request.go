package core

import (
	"net/http"
	"time"

	"waxwingwall"
	"waxwingwall/core/claim"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
	"waxwingwall/core/sched"
)

// phase is the phase of a request, as described in the package comment.
type phase int

const (
	reserving phase = iota
	queued
	recording
	running
	settling
)

// request is an entry in the table of requests that this node runs.
type request struct {
	*waxwingwall.Request

	// phase only advances, except that a retry returns from running to queued and a
	// request that fails while recording returns to queued before it is refused.
	phase phase

	// reserved is the amount that the book holds for the request.
	reserved waxwingwall.Tokens

	// actual is what the request has used of it, once phase is settling.
	actual waxwingwall.Tokens

	// alreadyBilled is set for a request that runs again, without a claim or a
	// reservation, because its output was lost with its owner after it was billed.
	alreadyBilled bool

	// recorded is set once the begin record is stable.
	recorded bool

	// attempted is set once an attempt has been started; the claim is then settled
	// instead of abandoned.
	attempted bool

	// mayHaveRun is set unless it is certain that no attempt so far has reached an
	// endpoint; once set, the request is never reported as not run.
	mayHaveRun bool

	// output is the number of output tokens so far.
	output waxwingwall.Tokens

	// firstTokenAttempt is the last attempt whose first token was reported to the
	// scheduler.
	firstTokenAttempt int

	// next is the latest dispatch; it starts once the begin record is stable.
	next sched.Dispatch

	// end is the final answer, held back until the claim is settled or abandoned.
	end waxwingwall.End
}

// budgetRetryAfter is the minimum retry delay for a request whose budget is out of
// reach.
const budgetRetryAfter = 2 * time.Second

// Submit accepts a request for one of this router's slots. The result has no field
// set if the request runs here or is attached to a running one; otherwise it names
// another owner, or the problem with which the request is refused. The actions start
// the request.
func (n *Node) Submit(now time.Time, r *waxwingwall.Request) (waxwingwall.Submitted, []effect.Action) {
	s := n.submit(now, r)
	return s, n.takeActions(now)
}

func (n *Node) submit(now time.Time, r *waxwingwall.Request) waxwingwall.Submitted {
	if q, ok := n.requests[r.Identity]; ok {
		if q.Digest != r.Digest {
			return refused(keyReused())
		}
		return waxwingwall.Submitted{}
	}
	v := n.Ledger.Peek(now, runRequest(r))
	switch v.Kind {
	case claim.Redirect:
		return waxwingwall.Submitted{
			Owner: v.Owner,
		}
	case claim.Mismatch:
		return refused(keyReused())
	case claim.Finished:
		return n.answerRepeat(now, r, v)
	case claim.Fresh:
		if n.closed {
			return refused(markUnknown(r, routerStopping()))
		}
		return n.admit(now, &request{
			Request:    r,
			mayHaveRun: v.Rerun || len(r.Prior) > 0,
		})
	}
	return refused(markUnknown(r, unavailable(CodeSlotUnavailable, "the owner of this request can't be reached", max(v.RetryAfter, time.Second))))
}

// markUnknown sets the outcome to unknown for a request that may have run on another
// router.
func markUnknown(r *waxwingwall.Request, p *waxwingwall.Problem) *waxwingwall.Problem {
	if r.Keyed || len(r.Prior) > 0 {
		p.Outcome = waxwingwall.Unknown
	}
	return p
}

// answerRepeat answers a repeat of a settled request. A model request that ran on
// another incarnation runs again, because its output is not kept here.
func (n *Node) answerRepeat(now time.Time, r *waxwingwall.Request, v claim.Verdict) waxwingwall.Submitted {
	switch {
	case v.Result.Outcome == waxwingwall.Unknown:
		return refused(outcomeUnknown())
	case r.Service:
		n.finish(r.Identity, waxwingwall.End{
			Finish: waxwingwall.FinishStop,
			Prompt: v.Result.Tokens,
			Body:   string(v.Result.Answer),
		})
		return waxwingwall.Submitted{}
	case v.Remote:
		return n.admit(now, &request{
			Request:       r,
			alreadyBilled: true,
			mayHaveRun:    true,
		})
	}
	return refused(&waxwingwall.Problem{
		Status:  http.StatusConflict,
		Code:    "already_answered",
		Message: "this request ran and was answered; its output is no longer kept",
		Outcome: waxwingwall.Ran,
	})
}

// admit adds a request to the table and reserves its budget.
func (n *Node) admit(now time.Time, q *request) waxwingwall.Submitted {
	q.output = waxwingwall.Tokens(len(q.Prior))
	n.requests[q.Identity] = q
	if p := n.reserve(now, q); p != nil {
		delete(n.requests, q.Identity)
		return refused(q.correctOutcome(p))
	}
	return waxwingwall.Submitted{}
}

// correctOutcome replaces the outcome not run by unknown if the request may have
// run.
func (q *request) correctOutcome(p *waxwingwall.Problem) *waxwingwall.Problem {
	if q.mayHaveRun && p.Outcome == waxwingwall.NotRun {
		corrected := *p
		corrected.Outcome = waxwingwall.Unknown
		return &corrected
	}
	return p
}

// reserve requests the worst case from the book and offers the request to the
// scheduler once it is granted. It returns a problem if the request is refused; the
// request then holds no reservation.
func (n *Node) reserve(now time.Time, q *request) *waxwingwall.Problem {
	if q.alreadyBilled {
		return n.offer(now, q)
	}
	v := n.Book.Reserve(now, q.Budget, q.WorstCase())
	switch v.Kind {
	case escrow.Waiting:
		q.phase = reserving
		return nil
	case escrow.Exhausted:
		return budgetExhausted(q)
	case escrow.OutOfReach:
		return unavailable("budget_out_of_reach", "the budget's remaining tokens can't be reached now", max(v.RetryAfter, budgetRetryAfter))
	}
	q.reserved = q.WorstCase()
	if p := n.offer(now, q); p != nil {
		n.release(now, q, 0)
		return p
	}
	return nil
}

// offer submits a request to the scheduler.
func (n *Node) offer(now time.Time, q *request) *waxwingwall.Problem {
	q.phase = queued
	v := n.Scheduler.Offer(now, sched.Work{
		Identity:    q.Identity,
		Account:     q.Identity.Account,
		Rank:        q.Rank,
		Model:       q.Model,
		Idempotent:  q.Idempotent,
		Prefix:      q.Prefix,
		Fingerprint: q.Digest,
		Prompt:      q.Prompt,
		Output:      q.output,
		Version:     q.PriorVersion,
		MaxOutput:   q.MaxOutput,
	})
	if v.Decision == sched.Refused {
		return v.Problem
	}
	n.stepScheduler = true
	return nil
}

// budgetResolved retries the reservations of the requests that wait for a budget, in
// order of identity.
func (n *Node) budgetResolved(now time.Time, b waxwingwall.Budget) {
	for _, id := range n.identities() {
		q := n.requests[id]
		if q == nil || q.phase != reserving || q.Budget != b {
			continue
		}
		if p := n.reserve(now, q); p != nil {
			n.refuse(now, id, p)
		}
	}
}

// refuse ends a request with a problem. A begin record is abandoned first; otherwise
// the request could be billed after its caller received "not run", if this router
// died immediately afterwards.
func (n *Node) refuse(now time.Time, id waxwingwall.Identity, p *waxwingwall.Problem) {
	q := n.requests[id]
	if q == nil || q.phase == settling {
		return
	}
	p = q.correctOutcome(p)
	if q.attempted && !q.alreadyBilled {
		n.settle(now, q, waxwingwall.End{
			Problem: p,
		})
		return
	}
	if q.phase == recording || q.recorded {
		n.Ledger.Abandon(now, id)
		n.stepLedger = true
		q.phase = settling
		q.end = waxwingwall.End{
			Problem: p,
		}
		return
	}
	n.release(now, q, 0)
	delete(n.requests, id)
	n.finish(id, waxwingwall.End{
		Problem: p,
	})
}

// dispatch writes the begin record of a request that the scheduler has assigned to
// an endpoint. A retry has its record and starts immediately.
func (n *Node) dispatch(now time.Time, d sched.Dispatch) {
	q := n.requests[d.Identity]
	if q == nil || q.phase == settling {
		return
	}
	q.next = d
	if q.recorded || q.alreadyBilled {
		n.startAttempt(now, q)
		return
	}
	q.phase = recording
	n.Scheduler.Hold(q.Identity)
	n.stepLedger = true
	if v := n.Ledger.Begin(now, runRequest(q.Request)); v.Kind != claim.Fresh {
		n.beginFailed(now, q, v)
	}
}

// beginFailed handles a slot whose owner changed while the request waited.
func (n *Node) beginFailed(now time.Time, q *request, v claim.Verdict) {
	p := markUnknown(q.Request, unavailable(CodeSlotUnavailable, "the owner of this request is changing", max(v.RetryAfter, time.Second)))
	if v.Kind == claim.Finished {
		p = outcomeUnknown()
	}
	n.withdraw(now, q.Identity)
	q.phase = queued
	n.refuse(now, q.Identity, p)
}

// withdraw removes a request from the scheduler.
func (n *Node) withdraw(now time.Time, id waxwingwall.Identity) {
	n.Scheduler.Withdraw(now, id)
	n.stepScheduler = true
}

// claimCleared starts a request whose begin record is stable. The claim of a request
// that has ended in the meantime is abandoned.
func (n *Node) claimCleared(now time.Time, id waxwingwall.Identity) {
	q := n.requests[id]
	if q == nil || q.phase != recording {
		n.Ledger.Abandon(now, id)
		n.stepLedger = true
		return
	}
	q.recorded = true
	n.startAttempt(now, q)
}

// claimRefused ends a request whose begin record did not become stable.
func (n *Node) claimRefused(now time.Time, id waxwingwall.Identity, p *waxwingwall.Problem) {
	q := n.requests[id]
	if q == nil || q.phase != recording {
		return
	}
	n.withdraw(now, id)
	q.phase = queued
	n.refuse(now, id, p)
}

// startAttempt emits StartAttempt; from then on the request may have run. It
// refuses the request if this incarnation is closed, the endpoint is no longer
// configured with the version of the dispatch or the claim may not be dispatched.
func (n *Node) startAttempt(now time.Time, q *request) {
	e, ok := n.document.Endpoint(q.next.Endpoint)
	if n.closed || !ok || e.Version != q.next.Version || (!q.alreadyBilled && !n.Ledger.Dispatched(now, q.Identity)) {
		n.withdraw(now, q.Identity)
		n.refuse(now, q.Identity, unavailable("endpoint_gone", "the endpoint has left", time.Second))
		return
	}
	q.phase = running
	q.attempted = true
	n.Scheduler.Start(now, q.Identity)
	n.actions = append(n.actions, StartAttempt{
		Identity:      q.Identity,
		Attempt:       q.next.Attempt,
		Endpoint:      q.next.Endpoint,
		Address:       e.Address,
		Version:       e.Version,
		NewConnection: q.next.NewConnection,
		Limited:       q.next.Limited,
	})
}

// attemptCancelled cancels an attempt that the scheduler has abandoned. A dispatch or
// a refusal follows.
func (n *Node) attemptCancelled(c sched.Cancel) {
	q := n.requests[c.Identity]
	if q == nil || q.next.Attempt != c.Attempt {
		return
	}
	q.mayHaveRun = true
	if q.phase == running {
		q.phase = queued
	}
	n.actions = append(n.actions, CancelAttempt{
		Identity: c.Identity,
		Attempt:  c.Attempt,
	})
}

// attemptProgress records the progress of an attempt.
func (n *Node) attemptProgress(now time.Time, e AttemptProgress) {
	q := n.requests[e.Identity]
	if q == nil || q.phase != running || q.next.Attempt != e.Attempt {
		return
	}
	q.mayHaveRun = true
	q.output = min(e.Output, q.MaxOutput)
	n.Ledger.Progress(now, e.Identity, q.Prompt+q.output)
	if q.firstTokenAttempt != e.Attempt {
		q.firstTokenAttempt = e.Attempt
		n.routeAll(now, n.Scheduler.Step(now, sched.FirstToken{
			Identity: e.Identity,
			Attempt:  e.Attempt,
		}))
	}
	n.routeAll(now, n.Scheduler.Step(now, sched.Progress{
		Identity: e.Identity,
		Attempt:  e.Attempt,
		Tokens:   e.Output,
	}))
}

// limitNamed passes on what an answer says of its endpoint's limit.
func (n *Node) limitNamed(now time.Time, e LimitNamed) {
	q := n.requests[e.Identity]
	if q == nil || q.phase != running || q.next.Attempt != e.Attempt {
		return
	}
	n.routeAll(now, n.Scheduler.Step(now, sched.LimitNamed{
		Identity: e.Identity,
		Attempt:  e.Attempt,
		Limit:    e.Limit,
	}))
}

// attemptEnded handles the end of an attempt: the answer is complete, or the
// scheduler decides whether to retry.
func (n *Node) attemptEnded(now time.Time, e AttemptEnded) {
	q := n.requests[e.Identity]
	if q == nil || q.phase != running || q.next.Attempt != e.Attempt {
		return
	}
	q.output = min(e.Output, q.MaxOutput)
	q.mayHaveRun = q.mayHaveRun || e.Failure != sched.Declined
	if e.Failure == sched.None {
		n.settle(now, q, waxwingwall.End{
			Finish: e.Finish,
			Body:   e.Body,
		})
	} else {
		q.phase = queued
	}
	n.routeAll(now, n.Scheduler.Step(now, sched.Finished{
		Identity: e.Identity,
		Attempt:  e.Attempt,
		Tokens:   e.Output,
		Failure:  e.Failure,
		Version:  e.Version,

		RetryAfter: e.RetryAfter,
	}))
}

// runRequest returns the ledger's description of a request.
func runRequest(r *waxwingwall.Request) claim.RunRequest {
	return claim.RunRequest{
		Identity:   r.Identity,
		Spread:     r.Spread,
		Idempotent: r.Idempotent,
		Budget:     r.Budget,
		Worst:      r.WorstCase(),
		Digest:     r.Digest,
	}
}
