package edge

import (
	"time"

	"waxwingwall"
)

// retryBudget is a token bucket with this router's part of the retries of one
// service.
type retryBudget struct {
	ratio, reserve float64
	window         time.Duration

	// balance is the number of available retries as of updatedAt.
	balance   float64
	updatedAt time.Time
}

// reserveDivisor divides a router's equal part of the fleet's reserve: within a
// window, the router can spend both a full budget and its refill, which together
// must not exceed that part.
const reserveDivisor = 2

// retryBudget returns the retry budget of a service.
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

// addRequest adds the retries earned by the first attempt of a request.
func (b *retryBudget) addRequest() {
	b.balance = min(b.balance+b.ratio, b.reserve+b.ratio)
}

// take takes one retry; it returns false if none is left.
func (b *retryBudget) take(now time.Time) bool {
	if b.available(now) < 1 {
		return false
	}
	b.balance--
	return true
}

// giveBack returns a retry that was taken and not used.
func (b *retryBudget) giveBack() {
	b.balance++
}

// available returns the number of retries that are left.
func (b *retryBudget) available(now time.Time) float64 {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.balance = min(b.balance+b.reserve*elapsed.Seconds()/b.window.Seconds(), max(b.reserve, b.balance))
	}
	b.updatedAt = now
	return b.balance
}
