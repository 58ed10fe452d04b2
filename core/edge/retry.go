package edge

import (
	"time"

	"waxwingwall"
)

// allowance is this router's part of the retries of one service.
type allowance struct {
	ratio, reserve float64
	window         time.Duration

	// left is what may still be spent, as of at.
	left float64
	at   time.Time
}

// reserveParts is into how many parts, beside the number of routers, the
// reserve of the fleet is cut: what fills up again within a window must not add
// up to more than the reserve.
const reserveParts = 2

// allowance returns the retries of a service.
func (e *Edge) allowance(service waxwingwall.Model) *allowance {
	a := e.retries[service]
	if a == nil {
		a = &allowance{
			at: e.now,
		}
		a.left = e.bounds.RetryReserve / float64(reserveParts*e.fleet())
		e.retries[service] = a
	}
	a.ratio = e.bounds.RetryRatio
	a.window = e.bounds.RetryWindow
	a.reserve = e.bounds.RetryReserve / float64(reserveParts*e.fleet())
	return a
}

// first takes in the first attempt of a request.
func (a *allowance) first() {
	a.left = min(a.left+a.ratio, a.reserve+a.ratio)
}

// take spends a retry, or reports false if none is left.
func (a *allowance) take(now time.Time) bool {
	if past := now.Sub(a.at); past > 0 {
		a.left = min(a.left+a.reserve*past.Seconds()/a.window.Seconds(), max(a.reserve, a.left))
	}
	a.at = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
