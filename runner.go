package waxwingwall

import (
	"context"
	"net/netip"
	"time"
)

// Attempt is one execution of a request on an endpoint.
type Attempt struct {
	// ID identifies the attempt. The endpoint repeats it in every frame; frames
	// with another ID are dropped.
	ID string

	// Request is the request to run.
	Request *Request

	// Address is the address of the endpoint.
	Address netip.AddrPort

	// Offset is the number of frames that earlier attempts produced; the endpoint
	// resumes after them.
	Offset int

	// NewConnection forbids reuse of an existing connection.
	NewConnection bool

	// IdleTimeout is the longest time without output.
	IdleTimeout time.Duration

	// OnLimit is called once the header of the answer has arrived, with the text of the
	// limit that the endpoint names (see ParseRateLimit); empty if it names none.
	OnLimit func(text string)

	// OnEnding is called once an answer has ended with its connection.
	OnEnding func(Ending)
}

// Failure classifies how an attempt failed.
type Failure int

// The failures of an attempt. The zero value is a failure, so that only a result that was set
// says that an answer is complete.
const (
	// FailureBroken means that the answer was malformed or ended without its
	// final frame.
	FailureBroken Failure = iota

	// FailureNone means that the answer is complete.
	FailureNone

	// FailureDeclined means that the endpoint provably did not run the request.
	FailureDeclined

	// FailureCrashed means that the connection was reset.
	FailureCrashed

	// FailureIdleTimeout means that nothing arrived within IdleTimeout.
	FailureIdleTimeout

	// FailureCancelled means that the router cancelled the attempt.
	FailureCancelled
)

// ConfirmedByCompanion is the Ending.Confirmed of an answer whose endpoint answered another request on a
// connection that was open beside that of the answer.
const ConfirmedByCompanion = "companion"

// Ending is how an answer ended with its connection, for logging.
type Ending struct {
	// Confirmed is what confirmed that the endpoint meant it to end; empty if nothing did. Asked
	// counts the questions; Status is that of the answer to the last one, zero if there was none;
	// Took is the time for all.
	Confirmed string
	Asked     int
	Status    int
	Took      time.Duration

	// Accompanied is set if the companion was open before the request was sent.
	Accompanied bool
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	// Failure is FailureNone if the answer is complete.
	Failure Failure

	// Finish is FinishStop or FinishLength.
	Finish string

	// Body is the response body of a plain service.
	Body string

	// RetryAfter is the text of the time that the endpoint named as it was unavailable
	// (see ParseRetryAfter); empty if there is none.
	RetryAfter string

	// Err is the cause of a failure, for logging.
	Err error
}

// Load is an endpoint's load report.
type Load struct {
	// Running and Waiting are the numbers of running and queued requests.
	Running, Waiting int

	// TokenRate is the throughput in tokens per second.
	TokenRate float64

	// At is the time of the measurement.
	At time.Time

	// Limit is the text of the limit that the endpoint names; empty if it names none.
	Limit string
}

// Runner runs attempts on endpoints.
type Runner interface {
	// Run runs an attempt to completion and passes each frame to emit. It cancels
	// the attempt when emit returns false.
	Run(ctx context.Context, a Attempt, emit func(Frame) bool) AttemptResult

	// Load fetches the load report of an endpoint.
	Load(ctx context.Context, addr netip.AddrPort) (Load, error)
}
