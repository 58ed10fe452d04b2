package core

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/claim"
)

// settle settles a request that ran or may have run. The caller gets the final answer
// once the settle record is stable. An idempotent request whose caller is asked to
// retry may run again under its key.
func (n *Node) settle(now time.Time, q *request, end waxwingwall.End) {
	if q.phase == settling {
		return
	}
	q.phase = settling
	result := claim.Result{
		Outcome: waxwingwall.Ran,
		Tokens:  q.Prompt + q.output,
		Answer:  []byte(end.Body),
	}
	if end.Problem != nil {
		result.Outcome = end.Problem.Outcome
	}
	if end.Problem != nil && result.Outcome == waxwingwall.Ran && q.Service {
		// A repeat would get the answer, and there is none.
		result.Outcome = waxwingwall.Unknown
	}
	if result.Outcome == waxwingwall.NotRun {
		result.Tokens = 0
	} else {
		end.Prompt = q.Prompt
		end.Output = q.output
	}
	q.end = end
	q.actual = result.Tokens
	if q.alreadyBilled {
		n.claimSettled(now, q.Identity)
		return
	}
	n.stepLedger = true
	if end.Problem != nil && end.Problem.RetryAfter > 0 && q.Idempotent && result.Outcome == waxwingwall.Unknown {
		n.Ledger.Interrupt(now, q.Identity, result.Tokens)
		return
	}
	n.Ledger.Settle(now, q.Identity, result)
}

// claimSettled delivers the final answer of a request whose claim is settled or
// abandoned. What it did not use is free only now, or once the end is filed: whoever
// finds the begin record of an order alone bills the reservation.
func (n *Node) claimSettled(now time.Time, id waxwingwall.Identity) {
	q := n.requests[id]
	if q == nil || q.phase != settling {
		return
	}
	delete(n.requests, id)
	if !q.Idempotent && q.reserved > q.actual {
		n.held = append(n.held, heldReservation{
			request: q,
			through: n.Ledger.Head(),
		})
	} else {
		n.release(now, q, q.actual)
	}
	n.finish(id, q.end)
}

// heldReservation is the reservation of a request that has ended, until the table has
// the log through a record.
type heldReservation struct {
	request *request
	through int64
}

// releaseFiled releases the reservations whose records are filed.
func (n *Node) releaseFiled(now time.Time) {
	filed := n.Ledger.FiledThrough()
	n.held = slices.DeleteFunc(n.held, func(h heldReservation) bool {
		if h.through > filed {
			return false
		}
		n.release(now, h.request, h.request.actual)
		return true
	})
}

// callerLeft cancels a request whose caller has left and bills the output so far. A
// caller with a key may retry to get the complete answer.
func (n *Node) callerLeft(now time.Time, e CallerLeft) {
	q := n.requests[e.Identity]
	if q == nil || q.phase == settling {
		return
	}
	n.withdraw(now, e.Identity)
	if q.phase == running {
		n.actions = append(n.actions, CancelAttempt{
			Identity: e.Identity,
			Attempt:  q.next.Attempt,
		})
		q.mayHaveRun = true
	}
	p := &waxwingwall.Problem{
		Status:  statusClientClosed,
		Code:    "caller_left",
		Message: "the caller went away",
		Outcome: waxwingwall.NotRun,
	}
	switch {
	case q.mayHaveRun && q.Idempotent && q.Keyed:
		p.Outcome = waxwingwall.Unknown
		p.RetryAfter = time.Second
	case q.mayHaveRun && q.Idempotent:
		p.Outcome = waxwingwall.Ran
	}
	n.refuse(now, e.Identity, p)
}

// release settles the reservation of a request: actual is spent and the rest is
// freed.
func (n *Node) release(now time.Time, q *request, actual waxwingwall.Tokens) {
	if q.reserved > 0 {
		n.Book.Settle(now, q.Budget, q.reserved, actual)
		q.reserved = 0
	}
}

// finish passes the final answer of a request to the driver.
func (n *Node) finish(id waxwingwall.Identity, e waxwingwall.End) {
	n.actions = append(n.actions, Finish{
		Identity: id,
		End:      e,
	})
}
