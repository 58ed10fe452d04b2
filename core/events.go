package core

import (
	"net/netip"

	"waxwingwall"
	"waxwingwall/core/config"
	"waxwingwall/core/effect"
	"waxwingwall/core/member"
	"waxwingwall/core/sched"
)

// AttemptProgress tells that an attempt has produced output.
type AttemptProgress struct {
	effect.IsEvent

	// Identity names the request.
	Identity waxwingwall.Identity

	// Attempt is the attempt's number.
	Attempt int

	// Output counts the tokens of the answer so far, those of earlier attempts
	// included.
	Output waxwingwall.Tokens
}

// AttemptEnded tells that an attempt is over.
type AttemptEnded struct {
	effect.IsEvent

	// Identity names the request.
	Identity waxwingwall.Identity

	// Attempt is the attempt's number.
	Attempt int

	// Output counts the tokens of the answer, those of earlier attempts
	// included.
	Output waxwingwall.Tokens

	// Failure is sched.None if the answer is whole.
	Failure sched.Failure

	// Finish is the finish reason of a whole answer.
	Finish string

	// Body is the answer of a plain service.
	Body string
}

// CallerLeft tells that the caller no longer wants the answer.
type CallerLeft struct {
	effect.IsEvent

	// Identity names the request.
	Identity waxwingwall.Identity
}

// StartAttempt asks for an attempt on an endpoint.
type StartAttempt struct {
	effect.IsAction

	// Identity names the request.
	Identity waxwingwall.Identity

	// Attempt is the attempt's number, from 1.
	Attempt int

	// Endpoint is where it runs.
	Endpoint waxwingwall.Endpoint

	// Address is the endpoint's address.
	Address netip.AddrPort

	// NewConnection asks for a new connection.
	NewConnection bool
}

// CancelAttempt asks to cancel an attempt. What it still produces is dropped.
type CancelAttempt struct {
	effect.IsAction

	// Identity names the request.
	Identity waxwingwall.Identity

	// Attempt is the attempt's number.
	Attempt int
}

// Finish gives a request its final answer.
type Finish struct {
	effect.IsAction

	// Identity names the request.
	Identity waxwingwall.Identity

	// End is the answer's end.
	End waxwingwall.End
}

// Configured tells that a new configuration is in force here.
type Configured struct {
	effect.IsAction

	// Document is the configuration.
	Document config.Document
}

// IncarnationClosed tells that this incarnation was closed by another and must not go
// on: the process starts again as a new one.
type IncarnationClosed struct {
	effect.IsAction

	// Reason is for the log.
	Reason string
}

// PeersChanged tells where the other routers listen for peers.
type PeersChanged struct {
	effect.IsAction

	// Peers are all that are known, dead ones included.
	Peers []member.Peer
}
