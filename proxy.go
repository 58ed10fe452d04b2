package waxwingwall

import (
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Part is one part of a prompt. Prompts share parts. An engine can reuse a
// cached part only if it has all preceding parts cached as well.
type Part struct {
	// ID identifies the part.
	ID uint64

	// Tokens is the length of the part.
	Tokens Tokens
}

// Call is the metadata of a proxied request that a router needs for routing and
// billing. The request itself is forwarded unchanged.
type Call struct {
	// ID identifies this attempt of the caller. A retry by the caller has another
	// ID.
	ID string

	// Host and Path select the route.
	Host, Path string

	// Key is the caller's key; empty if there is none.
	Key string

	// CallerTimeout is how long the caller waits from the arrival of the request;
	// zero if unspecified.
	CallerTimeout time.Duration

	// Model is the requested model; empty for a plain service.
	Model Model

	// Prompt is the number of input tokens and MaxOutput the largest number of
	// output tokens; both are zero for a plain service.
	Prompt, MaxOutput Tokens

	// Parts are the parts of the prompt, in order; the last one is not shared with
	// other callers.
	Parts []Part

	// Offset is the ID of the last event that the caller has of a resumed stream;
	// empty at the start of a stream.
	Offset string

	// Resumes is the ID of the caller's attempt that brought the first event of a
	// resumed stream; empty if the caller names none.
	Resumes string

	// Fingerprint is a hash of path, key and body. It is the same for a repeated
	// request.
	Fingerprint uint64
}

// WorstCase returns the most that c can cost.
func (c *Call) WorstCase() Tokens {
	return c.Prompt + c.MaxOutput
}

// CallKind states how the requests of a route are answered and whether they may
// run more than once.
type CallKind int

// The kinds of requests of a route.
const (
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent CallKind = iota

	// Idempotent requests may run more than once.
	Idempotent

	// Streaming requests are answered by a stream of events, and may run more than
	// once only if the route is Resumable.
	Streaming
)

// Weighted is one of the services among which a route's requests are split.
type Weighted struct {
	// Service names the service.
	Service Model

	// Weight is the service's share relative to the other weights.
	Weight int
}

// Route configures the handling of the requests below a path.
type Route struct {
	// Name names the route.
	Name string

	// Host and Prefix select the route; the longest matching prefix wins.
	Host, Prefix string

	// Kind states how requests are answered and whether they may run more than
	// once.
	Kind CallKind

	// Resumable is set if an interrupted stream may resume on another endpoint.
	Resumable bool

	// Services are the services that run the requests; at least one.
	Services []Weighted

	// Timeout limits how long a caller waits.
	Timeout time.Duration

	// Objective is the target time to the answer, or to the first event of a
	// stream.
	Objective time.Duration

	// Pause is the target for the time between two events of a stream.
	Pause time.Duration

	// Attempts is the maximum number of endpoints that may run one request; at
	// least 1.
	Attempts int

	// Rank applies to accounts without a rank of their own.
	Rank Rank

	// Open is set if no key is required.
	Open bool

	// Affine is set if requests with a common prefix should go to the same
	// endpoint.
	Affine bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service configures the endpoints of one model or plain service.
type Service struct {
	// Name names the service.
	Name Model

	// Connections is the maximum number of connections that one endpoint accepts.
	Connections int

	// Engine is set if the endpoints are model engines.
	Engine bool

	// Slots is the number of requests that an engine runs concurrently.
	Slots int

	// Memory is the capacity of an engine's cache in tokens.
	Memory Tokens

	// EventTokens is the maximum number of tokens in one event of a stream; at
	// least 1 for an engine.
	EventTokens Tokens

	// ColdRate is the number of requests a second that a cold endpoint takes from all
	// routers together, finite and not negative; zero if it has no limit.
	ColdRate float64

	// ColdTime is how long an endpoint is cold after its start, zero if unspecified.
	ColdTime time.Duration
}

// ClientAccount is a client account with its keys and its prepaid tokens.
type ClientAccount struct {
	// Name identifies the account and its budget.
	Name Account

	// Keys are the valid keys.
	Keys []string

	// Rank overrides the rank of the route if HasRank is set.
	Rank    Rank
	HasRank bool

	// Prepaid is the total of all payments, in tokens; Metered is unset if the
	// account's use is unlimited.
	Prepaid Tokens
	Metered bool
}

// CallerLimits limit what a caller may send. Zero means no limit.
type CallerLimits struct {
	// HeaderBytes and BodyBytes limit the size of a request.
	HeaderBytes, BodyBytes int64

	// HeaderTime limits the time to receive a request, IdleTime the time between
	// two requests on one connection.
	HeaderTime, IdleTime time.Duration
}

// Configuration is the operators' configuration for proxied requests.
type Configuration struct {
	// Version increases with every change.
	Version int64

	// Routes, Services and Accounts keep the order of the document.
	Routes   []Route
	Services []Service
	Accounts []ClientAccount

	// Limits apply to all callers.
	Limits CallerLimits
}

// Replica is the registration of one endpoint.
type Replica struct {
	// Endpoint identifies this instance of the endpoint.
	Endpoint Endpoint

	// Service is the service that it runs.
	Service Model

	// Version is the version of its software, a text without an order. What two
	// versions write into one stream doesn't fit together.
	Version string

	// Address is where it listens.
	Address netip.AddrPort

	// Domain is its failure domain.
	Domain Domain

	// Slots is the number of requests that it runs concurrently.
	Slots int

	// Leaving is set once it must not receive new requests.
	Leaving bool

	// Cold is how much longer it was cold when the entry was written; in the news of a
	// router, how much longer it was when they were sent.
	Cold time.Duration

	// Born distinguishes successive instances with the same name; zero if
	// unspecified.
	Born int64
}

// ForwardParams are the values that a router adds to a forwarded request.
type ForwardParams struct {
	// Endpoint is the only endpoint that may run the request.
	Endpoint Endpoint

	// Account is the account that pays.
	Account Account

	// Timeout is how long the endpoint may run the request.
	Timeout time.Duration

	// Rank is the request's urgency for engines; HasRank is unset for plain
	// services.
	Rank    Rank
	HasRank bool

	// Offset is the ID of the last event that the caller has; empty at the start.
	Offset string
}

// Reply is the parsed header of an endpoint's answer.
type Reply struct {
	// Call is the ID of the answered call.
	Call string

	// NotRun is set if the endpoint guarantees that it did not run the request.
	NotRun bool

	// Sealed is set if the endpoint signed the answer.
	Sealed bool

	// Limit is the limit that the endpoint names; InvalidLimit is the text of a limit
	// that can't be read, empty otherwise.
	Limit        RateLimit
	InvalidLimit string

	// Brittle is what the endpoint says of the declines that it can stand; InvalidBrittle
	// is the text if it can't be read, empty otherwise.
	Brittle        Brittleness
	InvalidBrittle string

	// Leaving is set if the endpoint says that it leaves and takes nothing new;
	// InvalidLeaving is the text if it can't be read, empty otherwise.
	Leaving        bool
	InvalidLeaving string

	// RetryAfter is how long the endpoint, which is unavailable and did not run the
	// request, asks to be sent nothing; InvalidRetryAfter is the text if it can't be
	// read, empty otherwise.
	RetryAfter        time.Duration
	InvalidRetryAfter string

	// Cold is how much longer the endpoint is cold, zero if it doesn't say; InvalidCold is
	// the text if it can't be read, empty otherwise.
	Cold        time.Duration
	InvalidCold string
}

// RateLimit is the number of requests that an endpoint takes in a second from all
// routers together. The zero value is no limit.
type RateLimit struct {
	// Named is set if there is a limit.
	Named bool

	// Rate is in requests per second, finite and not negative.
	Rate float64
}

// maxNamedRate is the highest rate that ParseRateLimit accepts.
const maxNamedRate = 1e6

// ParseRateLimit parses a decimal number of requests per second. It reports false for
// any other text, and for a rate that no endpoint can mean.
func ParseRateLimit(text string) (RateLimit, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return RateLimit{}, false
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate > maxNamedRate {
		return RateLimit{}, false
	}
	return RateLimit{
		Named: true,
		Rate:  rate,
	}, true
}

// Brittleness is how many requests an endpoint can decline in a second for want of room
// before it falls over. The zero value is an endpoint that isn't brittle.
type Brittleness struct {
	// Named is set if the endpoint is brittle.
	Named bool

	// Declines is the number of requests, not negative.
	Declines int
}

// maxDeclines is the highest number that ParseBrittleness accepts.
const maxDeclines = 1e6

// ParseBrittleness parses a decimal number of requests. It reports false for any other
// text, and for a number that no endpoint can mean.
func ParseBrittleness(text string) (Brittleness, bool) {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n > maxDeclines {
		return Brittleness{}, false
	}
	return Brittleness{
		Named:    true,
		Declines: int(n),
	}, true
}

// MaxRetryAfter limits how long an endpoint can make a router wait.
const MaxRetryAfter = 10 * time.Minute

// ParseRetryAfter parses a decimal number of seconds, up to MaxRetryAfter. It reports false
// for any other text, dates included.
func ParseRetryAfter(text string) (time.Duration, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second)), true
}

// MaxColdTime limits how long an endpoint can say that it is cold.
const MaxColdTime = 24 * time.Hour

// ParseColdTime parses a decimal number of milliseconds. It reports false for any other text,
// and for a time above MaxColdTime.
func ParseColdTime(text string) (time.Duration, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms > float64(MaxColdTime.Milliseconds()) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// HeaderCodec converts between the headers of callers and endpoints and the
// types of this package.
type HeaderCodec interface {
	// ParseCall parses the headers of a request. The error is meant for the
	// caller.
	ParseCall(host, path string, h http.Header) (Call, error)

	// Forward returns the headers for an endpoint: those of the caller, without
	// hop-by-hop headers and headers that callers may not set, and those for to.
	Forward(caller http.Header, to ForwardParams) http.Header

	// ParseReply parses the header of an answer.
	ParseReply(status int, h http.Header) Reply
}
