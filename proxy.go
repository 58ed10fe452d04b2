package waxwingwall

import (
	"net/http"
	"net/netip"
	"time"
)

// Part is one part of a prompt. Prompts share parts; what an engine keeps of a
// part is of use only if it keeps all parts before it as well.
type Part struct {
	// ID names the part.
	ID uint64

	// Tokens is its length.
	Tokens Tokens
}

// Call is a request that passes through unchanged: what a router has to know of
// it to decide where it goes and who pays.
type Call struct {
	// ID names this one try of the caller. A caller that tries again uses
	// another one.
	ID string

	// Host and Path choose the route.
	Host, Path string

	// Key is the caller's key; empty if there is none.
	Key string

	// CallerTimeout is how long the caller waits, counted from the arrival; zero if
	// it didn't say.
	CallerTimeout time.Duration

	// Model is the model asked for; empty for a plain service.
	Model Model

	// Prompt and MaxOutput are the tokens that go in and the most that come
	// out; both zero for a plain service.
	Prompt, MaxOutput Tokens

	// Parts are those of the prompt, in order; the last one is the caller's own.
	Parts []Part

	// Offset is the last event that the caller has of a stream that it goes on
	// with; empty at the start of a stream.
	Offset string

	// Fingerprint is a hash of path, key and body. A request that comes again
	// has the same one.
	Fingerprint uint64
}

// WorstCase is the most that c can cost.
func (c *Call) WorstCase() Tokens {
	return c.Prompt + c.MaxOutput
}

// CallKind tells what may be repeated.
type CallKind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once for each try of the caller.
	NonIdempotent CallKind = iota

	// Idempotent requests may run more than once.
	Idempotent

	// Streaming requests are answered by a series of events.
	Streaming
)

// Weighted is one of the services between which a route is split.
type Weighted struct {
	// Service is the service.
	Service Model

	// Weight is its part relative to the others.
	Weight int
}

// Route tells what becomes of the requests below a path.
type Route struct {
	// Name names the route.
	Name string

	// Host and Prefix choose it; of several the longest prefix wins.
	Host, Prefix string

	// Kind tells what may be repeated.
	Kind CallKind

	// Resumable is set if a broken stream may go on at another endpoint.
	Resumable bool

	// Services are the services that run the requests; at least one.
	Services []Weighted

	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration

	// Objective is the time to the answer, or to the first event.
	Objective time.Duration

	// Pause is the longest pause between the events of a stream that is still
	// in time.
	Pause time.Duration

	// Attempts is the most endpoints that may run one request; at least 1.
	Attempts int

	// Rank is used for accounts that have none of their own.
	Rank Rank

	// Open is set if no key is needed.
	Open bool

	// Affine is set if requests with a common start are best kept together.
	Affine bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service describes the endpoints of one model or plain service.
type Service struct {
	// Name names the service.
	Name Model

	// Connections is the most connections that one endpoint accepts.
	Connections int

	// Engine is set if its endpoints are model engines.
	Engine bool

	// Slots is how many requests an engine runs at once.
	Slots int

	// Memory is how many tokens an engine keeps.
	Memory Tokens

	// EventTokens is the most tokens that one event of a stream holds; at least
	// 1 for an engine.
	EventTokens Tokens
}

// ClientAccount is a client account with its keys and its prepaid tokens.
type ClientAccount struct {
	// Name names the account and its budget.
	Name Account

	// Keys are the keys in force.
	Keys []string

	// Rank goes before that of the route, if HasRank is set.
	Rank    Rank
	HasRank bool

	// Prepaid is the sum of all that was paid in; Metered is unset if the
	// account may use as much as it likes.
	Prepaid Tokens
	Metered bool
}

// CallerLimits bound what a caller may send. Zero means no bound.
type CallerLimits struct {
	// HeaderBytes and BodyBytes bound a request.
	HeaderBytes, BodyBytes int64

	// HeaderTime bounds the time until a request is there, IdleTime that
	// between two requests of one connection.
	HeaderTime, IdleTime time.Duration
}

// Configuration is what operators set for requests that pass through.
type Configuration struct {
	// Version is raised by every change.
	Version int64

	// Routes, Services and Accounts are in the order of the document.
	Routes   []Route
	Services []Service
	Accounts []ClientAccount

	// Limits hold for all callers.
	Limits CallerLimits
}

// Replica is one endpoint as it registered itself.
type Replica struct {
	// Endpoint names this life of the endpoint.
	Endpoint Endpoint

	// Service is what it runs.
	Service Model

	// Address is where it listens.
	Address netip.AddrPort

	// Domain is its failure domain.
	Domain Domain

	// Slots is how many requests it runs at once.
	Slots int

	// Leaving is set once it must get nothing new.
	Leaving bool

	// Cold is how much longer it is slow after its start.
	Cold time.Duration

	// Born tells one life under a name from the next; zero if it didn't say.
	Born int64
}

// ForwardParams is what a router adds to a request for an endpoint.
type ForwardParams struct {
	// Endpoint must be the one that runs it.
	Endpoint Endpoint

	// Account is who pays.
	Account Account

	// Timeout is how long the endpoint may work.
	Timeout time.Duration

	// Rank is the request's urgency for engines; HasRank is unset for plain
	// services.
	Rank    Rank
	HasRank bool

	// Offset is the last event that the caller has; empty at the start.
	Offset string
}

// Reply is the head of an endpoint's answer.
type Reply struct {
	// Call is the ID of the call that it answers.
	Call string

	// NotRun is set if the endpoint promises that it did not run the request.
	NotRun bool

	// Sealed is set if the answer is signed by the endpoint.
	Sealed bool
}

// HeaderCodec translates between the headers of callers and endpoints and the types of
// this package.
type HeaderCodec interface {
	// ParseCall reads the headers of a request; the error is for its sender.
	ParseCall(host, path string, h http.Header) (Call, error)

	// Forward returns the headers for an endpoint: those of the caller, without
	// what concerns one connection only and without what is not the caller's to
	// set, and those of the handover.
	Forward(caller http.Header, to ForwardParams) http.Header

	// ParseReply reads the head of an answer.
	ParseReply(status int, h http.Header) Reply
}
