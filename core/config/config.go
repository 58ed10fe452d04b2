// Package config defines a fleet's configuration document and distributes it to
// all routers.
//
// Each environment has one Document, written as INI text: client accounts with
// the hashes of their keys, prepaid budgets, ranks with their latency targets,
// endpoints, and limits. Parse validates the whole text, reports every error
// with its line, and returns a Document only if there are none.
//
// An operator checks a document, submits it to the trial environment by
// compare-and-set on that environment's current version, verifies it there, and
// promotes exactly that version to production, again by compare-and-set. Of two
// concurrent changes one succeeds, and the other fails with a ConflictError
// that names the winner. The Watcher in every router polls the current version,
// sends its active version to peers, and fetches from them what the platform
// can't provide. It never returns to a lower version.
//
// NewKey makes the keys of client accounts from 256 random bits; only their
// SHA-256 is stored. A slow hash protects short secrets against guessing, but
// 256 random bits can't be guessed, and a slow hash on each request would cost
// the router more than the routing.
package config

import (
	"net/netip"
	"sort"
	"strings"
	"time"

	"waxwingwall"
)

// Document is a configuration that passed all checks. Its lists are sorted by
// name, ranks by level.
type Document struct {
	// Version increases by one with each accepted change; 0 means that the
	// document isn't in the table yet.
	Version int64 `json:"version"`

	// Limits apply to every request.
	Limits Limits `json:"limits"`

	// Ranks are the ranks, most urgent first. Their levels are distinct.
	Ranks []Rank `json:"ranks"`

	// Accounts are the client accounts.
	Accounts []Account `json:"accounts"`

	// Budgets are the prepaid budgets. Each belongs to one client account.
	Budgets []Budget `json:"budgets"`

	// Endpoints are the replicas of models and services.
	Endpoints []Endpoint `json:"endpoints"`
}

// Account is a client account.
type Account struct {
	// Name is unique.
	Name waxwingwall.Account `json:"name"`

	// KeyHashes are the SHA-256 of its keys in lower-case hex, sorted. No two
	// accounts share a hash.
	KeyHashes []string `json:"key_hashes"`

	// Rank is the default rank of its requests.
	Rank string `json:"rank"`

	// Budget is the default budget of its requests. It belongs to this account.
	Budget waxwingwall.Budget `json:"budget"`

	// Weight is its relative share among the accounts of a rank; above 0.
	Weight float64 `json:"weight"`

	// Spread is the number of slots over which its requests are divided; at least
	// 1. Its callers are steered to the owners of these slots.
	Spread int `json:"spread"`
}

// Budget is a prepaid budget. Its balance is in the platform's table.
type Budget struct {
	// Name is unique.
	Name waxwingwall.Budget `json:"name"`

	// Account is the only client account that may charge the budget.
	Account waxwingwall.Account `json:"account"`
}

// Rank is a priority class of requests.
type Rank struct {
	// Name is the name used by callers and accounts.
	Name string `json:"name"`

	// Level orders the ranks; 0 is the most urgent. No two ranks share a level.
	Level waxwingwall.Rank `json:"level"`

	// FirstToken is the target from arrival to the first token.
	FirstToken time.Duration `json:"first_token"`

	// BetweenTokens is the target between two consecutive tokens.
	BetweenTokens time.Duration `json:"between_tokens"`

	// Floor is the fraction of capacity guaranteed to the rank under overload by
	// other ranks; 0 to 1, the sum over all ranks is at most 1.
	Floor float64 `json:"floor"`

	// Worth is the relative value of an answer within the targets.
	Worth float64 `json:"worth"`
}

// Kind is the kind of an endpoint.
type Kind string

// The kinds of endpoints.
const (
	// ModelKind is a replica of model engines.
	ModelKind Kind = "model"

	// ServiceKind is a plain service.
	ServiceKind Kind = "service"
)

// Endpoint is one replica of models or of a plain service.
type Endpoint struct {
	// Name is unique.
	Name waxwingwall.Endpoint `json:"name"`

	// Address is its listen address. No two endpoints share an address.
	Address netip.AddrPort `json:"address"`

	// Kind is ModelKind or ServiceKind.
	Kind Kind `json:"kind"`

	// Models are the models or services that it serves, sorted; at least one.
	Models []waxwingwall.Model `json:"models"`

	// Domain is its failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// Fencing reports whether it rejects orders with a stale fencing number.
	Fencing bool `json:"fencing"`

	// Idempotent reports whether a call may be repeated.
	Idempotent bool `json:"idempotent"`

	// Concurrency is the maximum number of concurrent requests; at least 1.
	Concurrency int `json:"concurrency"`

	// TokenRate is the declared output rate of a model endpoint, in tokens per
	// second; 0 for services. Scheduling does not use it.
	TokenRate float64 `json:"token_rate"`

	// Price is the cost of one call of a service, in tokens; 0 for models.
	Price waxwingwall.Tokens `json:"price"`

	// Version is the version of its software; empty if the document names none. The
	// output of two versions doesn't fit together in one answer.
	Version string `json:"version"`

	// Leaving means that it gets no new requests.
	Leaving bool `json:"leaving"`
}

// Limits apply to every request.
type Limits struct {
	// MaxPrompt is the maximum prompt length, in tokens.
	MaxPrompt waxwingwall.Tokens `json:"max_prompt"`

	// MaxOutput is the maximum output that a request may ask for, in tokens.
	MaxOutput waxwingwall.Tokens `json:"max_output"`

	// DefaultOutput applies to requests without a limit; at most MaxOutput.
	DefaultOutput waxwingwall.Tokens `json:"default_output"`

	// BodyTimeout is the maximum time for a request's body to arrive.
	BodyTimeout time.Duration `json:"body_timeout"`

	// EvacuatedDomains are the failure domains whose endpoints get no new requests, sorted,
	// with ", " between them.
	EvacuatedDomains string `json:"evacuated_domains,omitempty"`
}

// Evacuated reports whether endpoints in a failure domain get no new requests.
func (l Limits) Evacuated(domain waxwingwall.Domain) bool {
	for name := range strings.SplitSeq(l.EvacuatedDomains, domainSeparator) {
		if name == string(domain) {
			return true
		}
	}
	return false
}

// domainSeparator separates the names in EvacuatedDomains.
const domainSeparator = ", "

// Account returns the client account with this name.
func (d *Document) Account(name waxwingwall.Account) (Account, bool) {
	i := sort.Search(len(d.Accounts), func(i int) bool { return d.Accounts[i].Name >= name })
	if i == len(d.Accounts) || d.Accounts[i].Name != name {
		return Account{}, false
	}
	return d.Accounts[i], true
}

// Budget returns the budget with this name.
func (d *Document) Budget(name waxwingwall.Budget) (Budget, bool) {
	i := sort.Search(len(d.Budgets), func(i int) bool { return d.Budgets[i].Name >= name })
	if i == len(d.Budgets) || d.Budgets[i].Name != name {
		return Budget{}, false
	}
	return d.Budgets[i], true
}

// Endpoint returns the endpoint with this name.
func (d *Document) Endpoint(name waxwingwall.Endpoint) (Endpoint, bool) {
	i := sort.Search(len(d.Endpoints), func(i int) bool { return d.Endpoints[i].Name >= name })
	if i == len(d.Endpoints) || d.Endpoints[i].Name != name {
		return Endpoint{}, false
	}
	return d.Endpoints[i], true
}

// Rank returns the rank with this name.
func (d *Document) Rank(name string) (Rank, bool) {
	for _, r := range d.Ranks {
		if r.Name == name {
			return r, true
		}
	}
	return Rank{}, false
}

// Serving returns the endpoints of a kind that serve a model or service, without
// those that are leaving.
func (d *Document) Serving(kind Kind, model waxwingwall.Model) []Endpoint {
	var found []Endpoint
	for _, e := range d.Endpoints {
		if e.Kind != kind || e.Leaving {
			continue
		}
		for _, m := range e.Models {
			if m == model {
				found = append(found, e)
				break
			}
		}
	}
	return found
}
