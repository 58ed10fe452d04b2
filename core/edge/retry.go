package edge

import (
	"time"

	"waxwingwall"
)

// retryBudget is this router's part of the retries of one service.
type retryBudget struct {
	ratio, reserve float64
	window         time.Duration

	// balance is what may still be spent, as of at.
	balance   float64
	updatedAt time.Time
}

// reserveDivisor is into how many parts, beside the number of routers, the
// reserve of the fleet is cut: what fills up again within a window must not add
// up to more than the reserve.
const reserveDivisor = 2

// retryBudget returns the retries of a service.
func (e *Edge) retryBudget(service waxwingwall.Model) *retryBudget {
	a := e.retryBudgets[service]
	if a == nil {
		a = &retryBudget{
			updatedAt: e.now,
		}
		a.balance = e.bounds.RetryReserve / float64(reserveDivisor*e.fleetSize())
		e.retryBudgets[service] = a
	}
	a.ratio = e.bounds.RetryRatio
	a.window = e.bounds.RetryWindow
	a.reserve = e.bounds.RetryReserve / float64(reserveDivisor*e.fleetSize())
	return a
}

// addRequest takes in the first attempt of a request.
func (a *retryBudget) addRequest() {
	a.balance = min(a.balance+a.ratio, a.reserve+a.ratio)
}

// take spends a retry, or reports false if none is left.
func (a *retryBudget) take(now time.Time) bool {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.balance = min(a.balance+a.reserve*elapsed.Seconds()/a.window.Seconds(), max(a.reserve, a.balance))
	}
	a.updatedAt = now
	if a.balance < 1 {
		return false
	}
	a.balance--
	return true
}
