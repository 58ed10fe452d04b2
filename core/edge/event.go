package edge

import (
	"net/netip"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Arrived is the event of a request whose header and body have been received.
type Arrived struct {
	effect.IsEvent

	// Request identifies the request at this router.
	Request uint64

	// Call is the metadata of the request.
	Call waxwingwall.Call

	// At is when the header arrived, from which the time of the caller and the route runs;
	// zero stands for the time of the event.
	At time.Time
}

// Result is the result of an attempt; the zero value claims nothing.
type Result int

// The results of attempts.
const (
	// Broken means that the connection was reset or closed, or that the answer was
	// malformed or may be cut. The endpoint may have run the request.
	Broken Result = iota

	// Complete means that the answer is known to be complete. If Committed is set, the caller
	// already has it.
	Complete

	// Failed means that the endpoint ran the request and answered with a failure.
	Failed

	// Declined means that the endpoint guarantees that it did not run the request.
	Declined

	// Unreachable means that no connection was established; nothing was sent.
	Unreachable

	// IdleTimeout means that the endpoint sent nothing for too long and the attempt was
	// left.
	IdleTimeout

	// Expired means that Dispatch.SendBy passed before there was a connection; nothing
	// was sent.
	Expired

	// DeadlineExceeded means that the deadline of the request has passed.
	DeadlineExceeded
)

// String returns the name of the result in logs and problem codes.
func (r Result) String() string {
	return [...]string{"broken", "whole", "failed", "declined", "unreached", "silent", "expired", "late"}[r]
}

// Framing is how the end of an answer's body is known, as the log names it; empty without
// an answer.
type Framing string

// The framings of answers.
const (
	// ByLength means that the header names the length of the body.
	ByLength Framing = "length"

	// ByChunks means that a last chunk ends the body.
	ByChunks Framing = "chunks"

	// ByConnection means that the body ends with its connection.
	ByConnection Framing = "connection"
)

// AnswerStarted is the event of the first part of an answer.
type AnswerStarted struct {
	effect.IsEvent

	// Request and Attempt are those of the Dispatch.
	Request uint64
	Attempt int

	// Event is set if the part is the first complete event of a stream; the event is
	// not passed on to the caller before it is posted.
	Event bool

	// Confirming is how long the end of the answer, which has arrived since, was being confirmed.
	Confirming time.Duration
}

// HeadReceived is the event of the header of an answer. It is needed only if the
// endpoint names a limit, or names none although Dispatch.Limited is set.
type HeadReceived struct {
	effect.IsEvent

	// Request and Attempt are those of the Dispatch.
	Request uint64
	Attempt int

	// Limit is the limit that the endpoint names.
	Limit waxwingwall.RateLimit
}

// NoticeReceived is the event of the header of an answer that says something of the
// endpoint itself. It does not depend on the request, which may have ended.
type NoticeReceived struct {
	effect.IsEvent

	// Endpoint and Born are those of the Dispatch.
	Endpoint waxwingwall.Endpoint
	Born     int64

	// Leaving is set if the endpoint says that it leaves.
	Leaving bool

	// Brittle is what the endpoint says of the declines that it can stand.
	Brittle waxwingwall.Brittleness

	// RetryAfter is the time for which the endpoint, which declined the request, asks
	// this router to send it nothing; zero if it doesn't.
	RetryAfter time.Duration

	// Cold is how much longer the endpoint says that it is cold; zero if it doesn't.
	Cold time.Duration
}

// Confirmation is what confirmed that the end of a connection is that of an answer, as the log
// names it; empty if nothing did.
type Confirmation string

// The confirmations. Both are answers to another request, asked after the end: on a connection that
// was open beside that of the answer, or a report of the same start on a new one.
const (
	ByCompanion Confirmation = "companion"
	ByReport    Confirmation = "report"
)

// Ending is how an answer ended with its connection, for the log.
type Ending struct {
	// Confirmed is what confirmed it. Asked counts the questions; Status is that of the last
	// answer to one, zero if there was none; Took is the time for all.
	Confirmed Confirmation
	Asked     int
	Status    int
	Took      time.Duration

	// Quiet is the time from the last bytes to the end of the connection.
	Quiet time.Duration

	// Closed is set if nothing could be sent on the connection any more, as after a reset.
	Closed bool

	// Companion is how long the companion had been open at the end, zero if there was none.
	// Outlived is set if it was open for some time after the end, too.
	Companion time.Duration
	Outlived  bool
}

// AttemptEnded is the event of the end of an attempt.
type AttemptEnded struct {
	effect.IsEvent

	// Request and Attempt are those of the Dispatch.
	Request uint64
	Attempt int

	// Result is the result of the attempt.
	Result Result

	// Status is the status of the endpoint's answer; zero without an answer.
	Status int

	// Framing is that of the endpoint's answer. Ending is how the connection of one ByConnection
	// ended; nil if it has not.
	Framing Framing
	Ending  *Ending

	// Committed is set if the caller has received part of the answer.
	Committed bool

	// Events counts the events that the caller received in all attempts, and
	// Offset is the ID of the last of them.
	Events int
	Offset string

	// ConnectedAt is when the attempt had a connection, SentAt when the request was
	// completely written to it; zero if it was not.
	ConnectedAt, SentAt time.Time

	// Idle is the time since the endpoint last sent anything, or since the request was
	// sent to it; zero if it was not.
	Idle time.Duration

	// PeerFailed is set if the result is Unreachable because the peer of Dispatch.Via could
	// not be reached or makes no tunnel.
	PeerFailed bool

	// Err is the cause of a failure, for the log.
	Err string
}

// CallerLeft is the event of a caller that disconnected.
type CallerLeft struct {
	effect.IsEvent

	// Request is that of the Arrived event.
	Request uint64

	// Events counts the events that the caller received.
	Events int
}

// Configured is the event of a configuration read from the store.
type Configured struct {
	effect.IsEvent

	// Configuration is the complete configuration.
	Configuration waxwingwall.Configuration
}

// Replicas is the event of an update of the endpoints in the store.
type Replicas struct {
	effect.IsEvent

	// Snapshot is set if Replicas holds all endpoints rather than changes.
	Snapshot bool

	// Replicas are the new or changed endpoints.
	Replicas []waxwingwall.Replica

	// Removed are the endpoints that are no longer registered.
	Removed []waxwingwall.Endpoint

	// Revision is the store's revision of the update.
	Revision int64

	// AsOf is a time before which the update holds all changes; zero stands for the
	// time of the event.
	AsOf time.Time

	// Unavailable is set if the store can't be read, with the cause in Err for the
	// log; the other fields are empty then.
	Unavailable bool
	Err         string
}

// Nodes is the event of an update of the routers in the store.
type Nodes struct {
	effect.IsEvent

	// Snapshot is set if Rows holds all rows rather than changes.
	Snapshot bool

	// Rows are those with the prefix "node/"; a removed row has version 0.
	Rows []waxwingwall.Row

	// Unavailable is set if the store can't be read; the other fields are empty
	// then.
	Unavailable bool
}

// StoreEra is the event of a new era of the store: it came back from a copy, without its
// latest writes.
type StoreEra struct {
	effect.IsEvent

	// MinVersion is less than all versions of the era, and greater than those before.
	MinVersion int64

	// First is set for the first era that this router has seen; it has lost nothing.
	First bool
}

// Dispatch requests an attempt.
type Dispatch struct {
	effect.IsAction

	// Request identifies the request; Attempt counts from 1.
	Request uint64
	Attempt int

	// Rank is the rank of the request.
	Rank waxwingwall.Rank

	// Address is the address of the endpoint, Born identifies its instance.
	Address netip.AddrPort
	Born    int64

	// Params are the values added to the forwarded request.
	Params waxwingwall.ForwardParams

	// Via is the address at which a peer makes a tunnel to the endpoint; invalid if the
	// request is sent directly.
	Via netip.AddrPort

	// Deadline is the deadline of the request.
	Deadline time.Time

	// DialTimeout limits the wait for a connection; zero selects the default.
	DialTimeout time.Duration

	// SendBy is the time until which the request may be sent, as the endpoint may leave
	// without the router's knowledge; zero if there is no limit.
	SendBy time.Time

	// FirstTimeout is the wait for the start of the answer, IdleTimeout that between its
	// parts, after which the attempt has stalled (AttemptStalled); zero means never.
	FirstTimeout, IdleTimeout time.Duration

	// Limited is set if the endpoint named a limit earlier.
	Limited bool

	// Stream is set if the answer is a stream of events.
	Stream bool

	// BufferFailure is set if the request may be sent again after a failure that
	// the endpoint reports: the answer is buffered until Deliver or another
	// Dispatch.
	BufferFailure bool
}

// Probe requests a new connection to an endpoint to measure how long it takes.
// The answer is Dialed.
type Probe struct {
	effect.IsAction

	// Address is the address of the endpoint; DialTimeout limits the wait, zero selects the default.
	Address     netip.AddrPort
	DialTimeout time.Duration
}

// Refuse ends a request of which the caller has received nothing.
type Refuse struct {
	effect.IsAction

	// Request identifies the request; Rank is its rank if it has a route.
	Request uint64
	Rank    waxwingwall.Rank

	// Problem is the answer to the caller.
	Problem *waxwingwall.Problem
}

// Deliver ends a request with the buffered answer, which reports a failure.
type Deliver struct {
	effect.IsAction

	// Request is that of the Arrived event.
	Request uint64
}

// Abort ends a request whose answer was interrupted: the caller's connection is
// closed so that the answer does not look complete.
type Abort struct {
	effect.IsAction

	// Request is that of the Arrived event.
	Request uint64
}

// Finished means that a request has ended because its caller received the whole
// answer or disconnected.
type Finished struct {
	effect.IsAction

	// Request is that of the Arrived event.
	Request uint64
}

// IncarnationChanged informs the driver of the router's new incarnation.
type IncarnationChanged struct {
	effect.IsAction

	// Self is the new incarnation.
	Self waxwingwall.Incarnation
}

// PeerAddress informs the driver where the router of a VM listens for peers.
type PeerAddress struct {
	effect.IsAction

	// VM names the router's VM.
	VM waxwingwall.VM

	// Address is the listen address.
	Address netip.AddrPort
}

// Drained means that a graceful stop is complete, but for the answers that are being
// written.
type Drained struct {
	effect.IsAction

	// End is when the grace period ends.
	End time.Time
}

// Field is a named value in a log entry.
type Field struct {
	// Name is in snake case.
	Name string

	// Value is a number, a string or a duration.
	Value any
}

// LogEntry is an entry for the log: a decision or a state change.
type LogEntry struct {
	effect.IsAction

	// Event names the entry in snake case.
	Event string

	// Request is the caller's ID of the request; empty if the entry concerns no
	// request.
	Request string

	// Fields are the values behind the decision.
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

// Text returns the value of a string field; empty if there is none.
func (n LogEntry) Text(name string) string {
	s, _ := n.value(name).(string)
	return s
}

// Number returns the value of a field that counts tokens; 0 if there is none.
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
