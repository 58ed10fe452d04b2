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
	b := e.retryBudgets[service]
	if b == nil {
		b = &retryBudget{
			updatedAt: e.now,
		}
		b.balance = e.bounds.RetryReserve / float64(reserveDivisor*e.fleetSize())
		e.retryBudgets[service] = b
	}
	b.ratio = e.bounds.RetryRatio
	b.window = e.bounds.RetryWindow
	b.reserve = e.bounds.RetryReserve / float64(reserveDivisor*e.fleetSize())
	return b
}

// addRequest takes in the first attempt of a request.
func (b *retryBudget) addRequest() {
	b.balance = min(b.balance+b.ratio, b.reserve+b.ratio)
}

// take spends a retry, or reports false if none is left.
func (b *retryBudget) take(now time.Time) bool {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.balance = min(b.balance+b.reserve*elapsed.Seconds()/b.window.Seconds(), max(b.reserve, b.balance))
	}
	b.updatedAt = now
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
