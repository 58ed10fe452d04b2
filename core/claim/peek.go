package claim

import (
	"time"

	"waxwingwall"
)

// Peek returns the verdict that Begin would return, without starting anything.
func (l *Ledger) Peek(now time.Time, req RunRequest) Verdict {
	slot := l.slotOf(req.Identity, req.Spread)
	e := l.claims[req.Identity]
	if e != nil && e.State != StateNotRun && e.Digest != req.Digest {
		return Verdict{
			Kind: Mismatch,
		}
	}
	if v, ok := l.answerFor(e); ok {
		return v
	}
	if l.closed || l.closing || !l.Ready() {
		return unavailable()
	}
	owner := l.slots.owner(slot)
	switch {
	case owner.IsZero():
		return unavailable()
	case owner != l.self:
		return Verdict{
			Kind:  Redirect,
			Owner: owner,
		}
	case l.slots.frozen[slot] || l.stalled(now):
		return unavailable()
	case e == nil && !req.Idempotent && now.Before(l.slots.uncertainUntil[slot]):
		return Verdict{
			Kind: Finished,
			Result: Result{
				Outcome: waxwingwall.Unknown,
			},
		}
	}
	return Verdict{
		Kind:  Fresh,
		Rerun: e != nil && e.State == StateInterrupted,
	}
}

// Status returns the verdict on an identity: Attached, Finished, Redirect, or
// Unavailable if nothing is known about it.
func (l *Ledger) Status(id waxwingwall.Identity, spread int) Verdict {
	e := l.claims[id]
	if v, ok := l.answerFor(e); ok {
		return v
	}
	if owner := l.slots.owner(l.slotOf(id, spread)); !owner.IsZero() && owner != l.self {
		return Verdict{
			Kind:  Redirect,
			Owner: owner,
		}
	}
	if e != nil {
		return Verdict{
			Kind: Finished,
			Result: Result{
				Outcome: waxwingwall.Unknown,
				Tokens:  e.Tokens,
			},
		}
	}
	return unavailable()
}

// answerFor returns the verdict on a known claim, if that does not depend on
// the slot's state. A request that is still running here never gets
// Unavailable, which would mean that it was not run.
func (l *Ledger) answerFor(e *entry) (Verdict, bool) {
	switch {
	case e == nil || e.State == StateInterrupted && !e.settling:
		return Verdict{}, false
	case e.State == StateBegun && e.Home != l.self && !l.owns(e.Slot):
		return Verdict{}, false // a copy that may be stale
	case e.State == StateFinished && !e.settling:
		return Verdict{
			Kind: Finished,
			Result: Result{
				Outcome: e.Outcome,
				Tokens:  e.Tokens,
				Answer:  e.Answer,
			},
			Remote: e.Home != l.self,
		}, true
	case e.State == StateBegun && e.Home != l.self:
		return Verdict{
			Kind:  Redirect,
			Owner: e.Home,
		}, true
	case e.State == StateBegun || e.State == StateFinished:
		return Verdict{
			Kind: Attached,
		}, true
	}
	return unavailable(), true
}

func unavailable() Verdict {
	return Verdict{
		Kind:       Unavailable,
		RetryAfter: unavailableRetryAfter,
	}
}
