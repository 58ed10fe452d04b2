package core

import (
	"net/netip"
	"time"

	"waxwingwall"
	"waxwingwall/core/config"
	"waxwingwall/core/effect"
	"waxwingwall/core/member"
	"waxwingwall/core/sched"
)

// AttemptProgress reports that an attempt has produced output.
type AttemptProgress struct {
	effect.IsEvent

	// Identity is the request's identity.
	Identity waxwingwall.Identity

	// Attempt is the attempt's number.
	Attempt int

	// Output is the number of output tokens so far, including those of earlier
	// attempts.
	Output waxwingwall.Tokens
}

// LimitNamed reports the limit that an endpoint names in the header of an answer, or that
// it names none although StartAttempt.Limited is set.
type LimitNamed struct {
	effect.IsEvent

	// Identity is the request's identity.
	Identity waxwingwall.Identity

	// Attempt is the attempt's number.
	Attempt int

	// Limit is the limit.
	Limit waxwingwall.RateLimit
}

// AttemptEnded reports that an attempt has ended.
type AttemptEnded struct {
	effect.IsEvent

	// Identity is the request's identity.
	Identity waxwingwall.Identity

	// Attempt is the attempt's number.
	Attempt int

	// Output is the number of output tokens, including those of earlier
	// attempts.
	Output waxwingwall.Tokens

	// Failure is sched.None if the answer is complete.
	Failure sched.Failure

	// Version is the version that produced the output if Failure is
	// sched.OtherVersion.
	Version string

	// Finish is the finish reason of a complete answer.
	Finish string

	// Body is the answer of a plain service.
	Body string

	// RetryAfter is the time for which the endpoint, which was unavailable, asks to be
	// sent nothing; zero if it doesn't.
	RetryAfter time.Duration
}

// CallerLeft reports that the caller no longer wants the answer.
type CallerLeft struct {
	effect.IsEvent

	// Identity is the request's identity.
	Identity waxwingwall.Identity
}

// StartAttempt starts an attempt on an endpoint.
type StartAttempt struct {
	effect.IsAction

	// Identity is the request's identity.
	Identity waxwingwall.Identity

	// Attempt is the attempt's number, from 1.
	Attempt int

	// Endpoint is the endpoint to run on.
	Endpoint waxwingwall.Endpoint

	// Address is the endpoint's address.
	Address netip.AddrPort

	// Version is the version of the endpoint's software. Output of another version must
	// not be continued; the attempt ends with sched.OtherVersion then.
	Version string

	// NewConnection requires a new connection.
	NewConnection bool

	// Limited is set if the endpoint named a limit earlier.
	Limited bool
}

// CancelAttempt cancels an attempt. Any further output of it is discarded.
type CancelAttempt struct {
	effect.IsAction

	// Identity is the request's identity.
	Identity waxwingwall.Identity

	// Attempt is the attempt's number.
	Attempt int
}

// Finish delivers the final answer of a request.
type Finish struct {
	effect.IsAction

	// Identity is the request's identity.
	Identity waxwingwall.Identity

	// End is the end of the answer.
	End waxwingwall.End
}

// Configured reports that a new configuration is active on this node.
type Configured struct {
	effect.IsAction

	// Document is the configuration.
	Document config.Document
}

// IncarnationClosed reports that another router has closed this incarnation. It must
// stop; the process continues as a new incarnation.
type IncarnationClosed struct {
	effect.IsAction

	// Reason is the reason to log.
	Reason string
}

// PeersChanged delivers the peers after a change of their number or state.
type PeersChanged struct {
	effect.IsAction

	// Peers are all known peers, including dead ones.
	Peers []member.Peer
}

// IsUpdate reports whether an event may bring a newer configuration or list of endpoints. A driver
// passes these to the Node before requests that wait: they, and the messages and rows of other
// parts, have no order among each other.
func IsUpdate(ev effect.Event) bool {
	switch e := ev.(type) {
	case effect.Rows:
		return e.ID.Part == config.Part
	case effect.Received:
		switch e.Message.(type) {
		case config.Announce, config.Have, LeavingEndpoints:
			return true
		}
	}
	return false
}
