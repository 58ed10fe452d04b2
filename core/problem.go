package core

import (
	"net/http"
	"time"

	"waxwingwall"
)

// CodeSlotUnavailable marks a request that was not accepted because the owner of its
// slot is changing or the slot's records can't be stored at present. A retry may find
// it settled.
const CodeSlotUnavailable = "slot_unavailable"

// CodeStopping marks a request that is not served because the router is stopping.
// Gateways retry an idempotent request on another router.
const CodeStopping = "router_stopping"

// statusClientClosed is the recorded status of a request whose caller has left. No
// caller reads it.
const statusClientClosed = 499

// refused returns the result for a request that is refused on submission.
func refused(p *waxwingwall.Problem) waxwingwall.Submitted {
	return waxwingwall.Submitted{
		Problem: p,
	}
}

func keyReused() *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:  http.StatusUnprocessableEntity,
		Code:    "key_reused",
		Message: "this idempotency key was used for another request",
		Outcome: waxwingwall.NotRun,
	}
}

func outcomeUnknown() *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:  http.StatusConflict,
		Code:    "outcome_unknown",
		Message: "this request may have run; it will not be run again",
		Outcome: waxwingwall.Unknown,
	}
}

func budgetExhausted(q *request) *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:  http.StatusPaymentRequired,
		Code:    "budget_exhausted",
		Message: "budget " + string(q.Budget) + " can't pay for this request",
		Outcome: waxwingwall.NotRun,
	}
}

// unavailable returns the Problem for a request that may succeed on a later retry.
func unavailable(code, message string, retry time.Duration) *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Message:    message,
		Outcome:    waxwingwall.NotRun,
		RetryAfter: retry,
	}
}

func routerStopping() *waxwingwall.Problem {
	return unavailable(CodeStopping, "this router is going away", time.Second)
}
