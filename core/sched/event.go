package sched

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Failure is the way in which an attempt failed.
type Failure int

// The kinds of failure. The zero value is a failure, so that only an end that was set says
// that an attempt completed.
const (
	// Broken means that the connection was lost; the endpoint may have run the
	// attempt.
	Broken Failure = iota

	// None means that the attempt completed.
	None

	// Crashed means that the endpoint crashed while it ran the attempt.
	Crashed

	// IdleTimeout means that the connection carried no data for too long.
	IdleTimeout

	// Declined means that the endpoint declined the attempt: it did not run it.
	Declined

	// Cancelled means that the attempt was cancelled by a Cancel action or
	// because the caller disconnected.
	Cancelled

	// OtherVersion means that the attempt was not sent: an earlier attempt has output of
	// another version that had not been reported when this one was dispatched.
	OtherVersion
)

// FirstToken reports the first token of an attempt.
type FirstToken struct {
	effect.IsEvent

	// Identity and Attempt are those of the Dispatch.
	Identity waxwingwall.Identity
	Attempt  int
}

// Progress reports output of an attempt. Idle timeouts assume that it arrives
// at least every maxProgressTokens tokens.
type Progress struct {
	effect.IsEvent

	// Identity and Attempt are those of the Dispatch.
	Identity waxwingwall.Identity
	Attempt  int

	// Tokens is the total output of the request so far, including that of
	// earlier attempts that this one resumes.
	Tokens waxwingwall.Tokens
}

// Finished reports the end of an attempt.
type Finished struct {
	effect.IsEvent

	// Identity and Attempt are those of the Dispatch.
	Identity waxwingwall.Identity
	Attempt  int

	// Tokens is the total output of the request.
	Tokens waxwingwall.Tokens

	// Failure is None if the attempt completed.
	Failure Failure

	// RetryAfter is the time for which the endpoint, which was unavailable, asks to be
	// sent nothing; zero if it doesn't.
	RetryAfter time.Duration

	// Version is the version that produced the output if Failure is OtherVersion.
	Version string
}

// LoadReport is an endpoint's report of its load. It arrives with a delay.
type LoadReport struct {
	effect.IsEvent

	// Endpoint is the reporting endpoint.
	Endpoint waxwingwall.Endpoint

	// Running and Waiting count the endpoint's requests from all routers.
	Running int
	Waiting int

	// TokenRate is the endpoint's output rate in tokens per second.
	TokenRate float64

	// At is the time at which the load was measured.
	At time.Time

	// Limit is the limit that the report names.
	Limit waxwingwall.RateLimit
}

// LimitNamed reports the limit that an endpoint names in the header of an answer, or that
// it names none although Dispatch.Limited is set.
type LimitNamed struct {
	effect.IsEvent

	// Identity and Attempt are those of the Dispatch.
	Identity waxwingwall.Identity
	Attempt  int

	// Limit is the limit.
	Limit waxwingwall.RateLimit
}

// Dispatch requests that an attempt run on an endpoint.
type Dispatch struct {
	effect.IsAction

	// Identity is that of the offered Work.
	Identity waxwingwall.Identity

	// Attempt counts the dispatches of the request, starting at 1.
	Attempt int

	// Endpoint is the endpoint that runs the attempt, Version that of its software.
	Endpoint waxwingwall.Endpoint
	Version  string

	// Resume is set if an earlier attempt produced output; the driver continues
	// after the last token that the caller received.
	Resume bool

	// NewConnection is set if the attempt must use a new connection: the
	// previous one timed out while idle, or the work is not idempotent and
	// can't be retried if a reused connection turns out to be dead.
	NewConnection bool

	// Limited is set if the endpoint named a limit earlier.
	Limited bool
}

// Refuse ends a request with an error.
type Refuse struct {
	effect.IsAction

	// Identity is that of the offered Work.
	Identity waxwingwall.Identity

	// Problem is the answer to the caller.
	Problem *waxwingwall.Problem
}

// Cancel stops an attempt. Its connection is not reused if Reason is
// IdleTimeout. The driver need not report Finished for it; a late one is
// ignored.
type Cancel struct {
	effect.IsAction

	// Identity and Attempt are those of the Dispatch.
	Identity waxwingwall.Identity
	Attempt  int

	// Reason is the reason for the cancellation.
	Reason Failure
}
