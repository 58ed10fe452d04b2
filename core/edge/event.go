package edge

import (
	"net/netip"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Arrived tells of a request whose head and body are there.
type Arrived struct {
	effect.IsEvent

	// Request names the request at this router.
	Request uint64

	// Call is what it asks for.
	Call waxwingwall.Call
}

// Result is how an attempt ended.
type Result int

// The results of attempts.
const (
	// Complete means that the answer is complete. A Committed one is with the
	// caller already.
	Complete Result = iota

	// Failed means that the endpoint ran the request and answered with a
	// failure of its own.
	Failed

	// Declined means that the endpoint promised that it did not run it.
	Declined

	// Unreachable means that no connection could be made: nothing was sent.
	Unreachable

	// Broken means that the connection was reset or closed, or that the answer
	// made no sense. The endpoint may have run the request.
	Broken

	// IdleTimeout means that nothing came for too long.
	IdleTimeout

	// DeadlineExceeded means that the time of the request is over.
	DeadlineExceeded
)

// String returns the name of the result in snake case.
func (r Result) String() string {
	return [...]string{"whole", "failed", "declined", "unreached", "broken", "silent", "late"}[r]
}

// AnswerStarted tells that the first part of an answer came.
type AnswerStarted struct {
	effect.IsEvent

	// Request and Attempt are those of the Dispatch.
	Request uint64
	Attempt int
}

// AttemptEnded tells how an attempt ended.
type AttemptEnded struct {
	effect.IsEvent

	// Request and Attempt are those of the Dispatch.
	Request uint64
	Attempt int

	// Result is how.
	Result Result

	// Status is that of the endpoint's answer; zero without one.
	Status int

	// Committed is set if the caller has a part of the answer.
	Committed bool

	// Events are those that the caller got in all attempts, and Offset is the
	// ID of the last of them.
	Events int
	Offset string

	// Err is the cause of a failure, for the log.
	Err string
}

// CallerLeft tells that the caller went away.
type CallerLeft struct {
	effect.IsEvent

	// Request names the request.
	Request uint64

	// Events are those that the caller got.
	Events int
}

// Configured tells of a configuration that is in force.
type Configured struct {
	effect.IsEvent

	// Configuration is whole.
	Configuration waxwingwall.Configuration
}

// Replicas tells what the store says of endpoints.
type Replicas struct {
	effect.IsEvent

	// Snapshot is set if Replicas are all there are.
	Snapshot bool

	// Replicas are new or changed.
	Replicas []waxwingwall.Replica

	// Removed are no longer registered.
	Removed []waxwingwall.Endpoint

	// Revision orders what is told.
	Revision int64

	// Unavailable is set if the store can't be read; the rest is empty then.
	Unavailable bool
}

// Nodes tells what the store says of routers.
type Nodes struct {
	effect.IsEvent

	// Snapshot is set if Rows are all there are.
	Snapshot bool

	// Rows are those below "node/"; one with version 0 was dropped.
	Rows []waxwingwall.Row

	// Unavailable is set if the store can't be read; the rest is empty then.
	Unavailable bool
}

// Dispatch asks to run an attempt.
type Dispatch struct {
	effect.IsAction

	// Request names the request; Attempt counts from 1.
	Request uint64
	Attempt int

	// Rank is the request's.
	Rank waxwingwall.Rank

	// Address is where to send it.
	Address netip.AddrPort

	// Params is what to add to it.
	Params waxwingwall.ForwardParams

	// Deadline is when the request's time is over.
	Deadline time.Time

	// DialTimeout is how long to wait for a connection; zero stands for the usual time.
	DialTimeout time.Duration

	// FirstTimeout bounds the silence before the answer, IdleTimeout that between its
	// parts; zero stands for no bound but Deadline.
	FirstTimeout, IdleTimeout time.Duration

	// Stream is set if the answer is a series of events.
	Stream bool

	// HoldFailure is set if a failure of the endpoint's own is to be kept back until
	// Deliver or another Dispatch.
	HoldFailure bool
}

// Probe asks for a new connection to an endpoint, to be told how long it takes.
type Probe struct {
	effect.IsAction

	// Address is the endpoint's; DialTimeout is how long to wait.
	Address     netip.AddrPort
	DialTimeout time.Duration
}

// Refuse ends a request of which the caller has got nothing.
type Refuse struct {
	effect.IsAction

	// Request names the request; Rank is its own, if it has a route.
	Request uint64
	Rank    waxwingwall.Rank

	// Problem is the answer.
	Problem *waxwingwall.Problem
}

// Deliver ends a request with the answer that was held back.
type Deliver struct {
	effect.IsAction

	// Request names the request.
	Request uint64
}

// Abort ends a request whose answer broke off: the caller's connection is
// closed, so that the answer doesn't look complete.
type Abort struct {
	effect.IsAction

	// Request names the request.
	Request uint64
}

// Finished tells that the Edge knows nothing of a request any more, after its
// caller has got all or went away.
type Finished struct {
	effect.IsAction

	// Request names the request.
	Request uint64
}

// IncarnationChanged tells which incarnation the router is now.
type IncarnationChanged struct {
	effect.IsAction

	// Self is the incarnation.
	Self waxwingwall.Incarnation
}

// PeerAddress tells where the router of a VM listens for peers.
type PeerAddress struct {
	effect.IsAction

	// VM names its VM.
	VM waxwingwall.VM

	// Address is where it listens.
	Address netip.AddrPort
}

// Drained tells that a graceful stop is complete.
type Drained struct {
	effect.IsAction
}

// Field is one input of a decision.
type Field struct {
	// Name is in snake case.
	Name string

	// Value is a number, a text or a duration.
	Value any
}

// LogEntry is a line for the log: a decision, or a change of what is believed.
type LogEntry struct {
	effect.IsAction

	// Event names the decision in snake case.
	Event string

	// Request is the caller's ID of the request; empty if it concerns none.
	Request string

	// Fields are what decided it.
	Fields []Field
}

// value returns the value of a field, or nil.
func (n LogEntry) value(name string) any {
	for _, f := range n.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return nil
}

// Text returns a field that is a text, or an empty one.
func (n LogEntry) Text(name string) string {
	s, _ := n.value(name).(string)
	return s
}

// Number returns a field that counts tokens, or 0.
func (n LogEntry) Number(name string) int64 {
	t, _ := n.value(name).(waxwingwall.Tokens)
	return int64(t)
}

// field returns a Field.
func field(name string, value any) Field {
	return Field{
		Name:  name,
		Value: value,
	}
}
