package edge

import (
	"time"

	"waxwingwall"
)

const (
	// outputDivisor divides the largest number of output tokens to what an answer has as a rule.
	outputDivisor = 3

	// plainAnswerBytes is the expected length of an answer that is no stream, and eventBytes
	// that of an event of a stream with what it takes on the link beside its text.
	plainAnswerBytes = 1 << 10
	eventBytes       = 160
)

// Routing tells what the active configuration says of a request. It is immutable.
type Routing struct {
	config configIndex
}

// Terms are what is known of a request before its body is read. The zero value is a request
// without a route.
type Terms struct {
	// Account is the client account that sends the request; empty if it is unknown.
	Account waxwingwall.Account

	// Rank is the urgency.
	Rank waxwingwall.Rank

	// Timeout is how long the request may take; zero without a route.
	Timeout time.Duration

	// Answer is the expected length of the answer in bytes.
	Answer int64
}

// Routing returns the Routing of the active configuration.
func (e *Edge) Routing() *Routing {
	if e.routing == nil || e.routing.config.version != e.config.version {
		e.routing = &Routing{
			config: e.config,
		}
	}
	return e.routing
}

// Terms returns the terms of a request.
func (r *Routing) Terms(c *waxwingwall.Call) Terms {
	route := r.config.route(c.Host, c.Path)
	if route == nil {
		return Terms{}
	}
	account := r.config.accounts[c.Key]
	t := Terms{
		Rank:    rankOf(route, account),
		Timeout: timeLimit(route, c),
		Answer:  plainAnswerBytes,
	}
	if account != nil {
		t.Account = account.Name
	}
	if s := r.config.services[route.Services[0].Service]; s != nil && route.Kind == waxwingwall.Streaming {
		t.Answer += eventBytes * int64(c.MaxOutput/max(s.EventTokens, 1)) / outputDivisor
	}
	return t
}

// rankOf returns the rank of the requests of an account on a route; the account may be nil.
func rankOf(route *waxwingwall.Route, account *waxwingwall.ClientAccount) waxwingwall.Rank {
	if account != nil && account.HasRank {
		return account.Rank
	}
	return route.Rank
}

// timeLimit returns how long a request may take.
func timeLimit(route *waxwingwall.Route, c *waxwingwall.Call) time.Duration {
	timeout := route.Timeout
	if c.CallerTimeout > 0 && (timeout <= 0 || c.CallerTimeout < timeout) {
		timeout = c.CallerTimeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return timeout
}
