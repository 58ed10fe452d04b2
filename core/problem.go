package core

import (
	"net/http"
	"time"

	"waxwingwall"
)

// CodeSlotUnavailable marks a request that was not taken because its slot is changing hands
// or the slot's records can't be kept now. Another look may find it settled.
const CodeSlotUnavailable = "slot_unavailable"

// CodeStopping marks a request that is not served here because the router is
// going away. Gateways carry an idempotent one on elsewhere.
const CodeStopping = "router_stopping"

// statusClientClosed is the status in the books for a caller that went away;
// nobody reads it.
const statusClientClosed = 499

// rejected is the answer to a request that is given up on at once.
func rejected(p *waxwingwall.Problem) waxwingwall.Submitted {
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

// unavailable is the answer to a request that may be served after a while.
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
