package sched

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Failure is how an attempt failed.
type Failure int

// The failures.
const (
	// None means that the attempt ran to its end.
	None Failure = iota

	// Crashed means that the endpoint crashed while it ran the attempt.
	Crashed

	// IdleTimeout means that the connection stopped to carry anything.
	IdleTimeout

	// Rejected means that the endpoint refused before it ran anything.
	Rejected

	// Broken means that the connection broke; the endpoint may have run it.
	Broken

	// Cancelled means that the attempt was cancelled, by a Cancel action or
	// because the caller left.
	Cancelled
)

// FirstToken tells that the first token of an attempt arrived.
type FirstToken struct {
	effect.IsEvent

	// Identity and Attempt are those of the Dispatch.
	Identity waxwingwall.Identity
	Attempt  int
}

// Progress tells that an attempt is alive. A driver tells it at least every
// eight tokens.
type Progress struct {
	effect.IsEvent

	// Identity and Attempt are those of the Dispatch.
	Identity waxwingwall.Identity
	Attempt  int

	// Tokens is the output of the request so far, that of earlier attempts
	// included where this one resumes them.
	Tokens waxwingwall.Tokens
}

// Finished tells that an attempt ended.
type Finished struct {
	effect.IsEvent

	// Identity and Attempt are those of the Dispatch.
	Identity waxwingwall.Identity
	Attempt  int

	// Tokens is the output of the request.
	Tokens waxwingwall.Tokens

	// Failure is None if it ran to its end.
	Failure Failure
}

// LoadReport is an endpoint's report of its load. It lags.
type LoadReport struct {
	effect.IsEvent

	// Endpoint is the endpoint that reports.
	Endpoint waxwingwall.Endpoint

	// Running and Waiting count its requests, of all routers.
	Running int
	Waiting int

	// TokenRate is its output in tokens per second.
	TokenRate float64

	// At is when the report was true.
	At time.Time
}

// Dispatch asks to run a request on an endpoint.
type Dispatch struct {
	effect.IsAction

	// Identity names the request.
	Identity waxwingwall.Identity

	// Attempt counts the dispatches of the request from 1.
	Attempt int

	// Endpoint is where to run it.
	Endpoint waxwingwall.Endpoint

	// Resume is set if an earlier attempt gave output already; the driver
	// carries on after the last token that the caller has.
	Resume bool

	// NewConnection is set if the attempt must go over a new connection, because the
	// one before was silent or because the work can't be repeated if this one
	// turns out to be.
	NewConnection bool
}

// Refuse ends a request without service.
type Refuse struct {
	effect.IsAction

	// Identity names the request.
	Identity waxwingwall.Identity

	// Problem is the answer to the caller.
	Problem *waxwingwall.Problem
}

// Cancel asks to stop an attempt. Its connection is not used again if it is
// Silent. No Finished is needed for it; one that comes late is ignored.
type Cancel struct {
	effect.IsAction

	// Identity and Attempt are those of the Dispatch.
	Identity waxwingwall.Identity
	Attempt  int

	// Reason tells why.
	Reason Failure
}
