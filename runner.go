package waxwingwall

import (
	"context"
	"net/netip"
	"time"
)

// Attempt is one try to run a request on an endpoint.
type Attempt struct {
	// ID names the attempt; the endpoint repeats it in every frame, and frames
	// with another one are dropped.
	ID string

	// Request is what to run.
	Request *Request

	// Address is the endpoint's.
	Address netip.AddrPort

	// Offset is how many frames of the answer exist already; the endpoint goes
	// on after them.
	Offset int

	// NewConnection asks for a new connection.
	NewConnection bool

	// IdleTimeout is the longest time without progress.
	IdleTimeout time.Duration
}

// Failure tells how an attempt failed.
type Failure int

// The failures of an attempt.
const (
	// FailureNone means that the answer is whole.
	FailureNone Failure = iota

	// FailureRejected means that the endpoint provably did not run it.
	FailureRejected

	// FailureCrashed means that the connection was reset.
	FailureCrashed

	// FailureIdleTimeout means that nothing came for the idle time.
	FailureIdleTimeout

	// FailureBroken means that the answer ended without its closing frame, or
	// made no sense.
	FailureBroken

	// FailureCancelled means that the router stopped it.
	FailureCancelled
)

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	// Failure is FailureNone if the answer is whole.
	Failure Failure

	// Finish is FinishStop or FinishLength.
	Finish string

	// Body is the answer of a plain service.
	Body string

	// Err has the cause of a failure, for the log.
	Err error
}

// Load is an endpoint's report.
type Load struct {
	// Running and Waiting count its requests.
	Running, Waiting int

	// TokenRate is in tokens a second.
	TokenRate float64

	// At is when the report was true.
	At time.Time
}

// Runner runs attempts on endpoints.
type Runner interface {
	// Run runs an attempt to its end. Each frame goes to emit; the attempt is
	// cancelled when emit returns false.
	Run(ctx context.Context, a Attempt, emit func(Frame) bool) AttemptResult

	// Load asks an endpoint for its load.
	Load(ctx context.Context, addr netip.AddrPort) (Load, error)
}
