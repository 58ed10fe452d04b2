// Package sched decides when and on which endpoint the requests of one router
// run.
//
// A Scheduler belongs to one router. Schedulers of different routers share no
// state; they exchange short Demand messages. The owner sets the tables
// (SetRanks, SetEndpoints, SetAccounts, SetPeers) and then offers work.
//
// Life cycle of a request: Offer returns Queued or Refused without waiting.
// Work that can't be answered in time is refused at once, with a jittered
// Retry-After that is derived from the backlog. Queued work leaves the queue in
// exactly one of three ways: a Dispatch action, a Refuse action, or Withdraw.
// Dispatched work stays in the table until the driver reports Finished. A
// failed attempt of idempotent work may then be dispatched again, within a
// retry budget, and otherwise ends with Refuse. Non-idempotent work is
// dispatched at most once. Work with output is only dispatched to endpoints of the
// version that produced it; it waits for them, or ends with Refuse if there are none.
//
// All actions are returned by Step. Offer and Withdraw only change the tables,
// so the driver calls Step after them, with effect.Tick if there is no other
// event. Ticks every few tens of milliseconds drive timeouts and messages.
//
// Schedulers of several routers divide the endpoints among themselves if each
// knows its own incarnation (WithSelf) and its live peers (SetPeers), and if
// the driver transports Demand messages between them: effect.Send out,
// effect.Received in. A single router needs none of this.
//
// An endpoint that names a limit gets requests only with permits (package limit),
// which the routers grant each other in messages of their own. Permits add to the
// shares: both must allow a dispatch.
package sched

import (
	"math/rand/v2"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/limit"
	"waxwingwall/core/quarantine"
	"waxwingwall/core/retry"
)

// RankSpec describes one rank of work.
type RankSpec struct {
	// Name is used in dumps and metrics.
	Name string

	// Level orders the ranks; zero is the most urgent. Levels are distinct.
	Level waxwingwall.Rank

	// FirstToken is the target for the time from Offer to the first token.
	FirstToken time.Duration

	// BetweenTokens is the target for the time between two successive tokens.
	BetweenTokens time.Duration

	// Floor is the fraction of capacity, from 0 to 1, that is reserved for this
	// rank while it has work, regardless of the demand of other ranks. The
	// floors of all ranks add up to at most 1.
	Floor float64

	// Worth is the value of one served request relative to the other ranks.
	Worth float64
}

// EndpointSpec describes one endpoint.
type EndpointSpec struct {
	// Name is unique.
	Name waxwingwall.Endpoint

	// Domain is the failure domain that the endpoint runs in.
	Domain waxwingwall.Domain

	// Models are the models, or plain services, that the endpoint serves.
	Models []waxwingwall.Model

	// Service is set for a plain service, which streams no tokens.
	Service bool

	// Concurrency is the maximum number of concurrent requests.
	Concurrency int

	// TokenRate is the declared output rate in tokens per second, zero if unknown.
	// The Scheduler does not use it.
	TokenRate float64

	// Version is the version of its software; endpoints that name none are of one
	// version. Output is only continued at the version that produced it.
	Version string

	// Leaving is set while the endpoint drains and gets no new requests.
	Leaving bool
}

// AccountSpec describes one client account.
type AccountSpec struct {
	// Name is unique.
	Name waxwingwall.Account

	// Weight is the account's weight in the division of a rank's slots; zero
	// counts as 1.
	Weight float64
}

// Work is a request that is offered to the Scheduler.
type Work struct {
	// Identity identifies the request.
	Identity waxwingwall.Identity

	// Account is the client account that the work is charged to.
	Account waxwingwall.Account

	// Rank is the level of one of the configured ranks.
	Rank waxwingwall.Rank

	// Model is the requested model or plain service.
	Model waxwingwall.Model

	// Idempotent is set if the work may run more than once.
	Idempotent bool

	// Prefix is the chain of hashes of the prompt's blocks; the hash of the
	// longest prefix is last.
	Prefix []uint64

	// Fingerprint is a hash of the request's content. Zero disables quarantine.
	Fingerprint uint64

	// Prompt is the length of the prompt in tokens.
	Prompt waxwingwall.Tokens

	// Output is the number of tokens that the caller already has from another owner;
	// Version is the version of the endpoint that produced them.
	Output  waxwingwall.Tokens
	Version string

	// MaxOutput limits the output in tokens.
	MaxOutput waxwingwall.Tokens

	// Deadline is the time by which the first token is due. Zero selects the
	// rank's FirstToken target, counted from the offer.
	Deadline time.Time
}

// Decision is the outcome of an offer.
type Decision int

// The outcomes of an offer.
const (
	// Queued means that a Dispatch or a Refuse action follows.
	Queued Decision = iota

	// Refused means that the request was not run and is not kept.
	Refused
)

// Verdict is the result of Offer.
type Verdict struct {
	// Decision is Queued or Refused.
	Decision Decision

	// Problem is the answer to the caller if Decision is Refused, nil
	// otherwise.
	Problem *waxwingwall.Problem
}

// Option configures a new Scheduler.
type Option func(*Scheduler)

// WithSeed sets the seed of the random numbers for jitter and endpoint
// sampling.
func WithSeed(seed uint64) Option {
	return func(s *Scheduler) {
		s.rng = rand.New(rand.NewPCG(seed, rngStream))
	}
}

// rngStream is the second part of the random generator's seed; it is constant, so
// that the seed of WithSeed alone determines the sequence.
const rngStream = 0x5eed

// WithSelf sets the incarnation of the Scheduler's router. Without it, the
// Scheduler sends no messages.
func WithSelf(self waxwingwall.Incarnation) Option {
	return func(s *Scheduler) {
		s.self = self
	}
}

// WithAffinity selects prefix affinity with bounded load, which is the default,
// or the less loaded of two random endpoints.
func WithAffinity(on bool) Option {
	return func(s *Scheduler) {
		s.affinity = on
	}
}

// WithDemandInterval sets the minimum time between two Demand messages to a
// peer.
func WithDemandInterval(d time.Duration) Option {
	return func(s *Scheduler) {
		s.demandInterval = d
	}
}

// WithRetryBudget sets the retry budget.
func WithRetryBudget(b retry.Budget) Option {
	return func(s *Scheduler) {
		s.retries = b
	}
}

// WithCrashLimit sets the number of crashes after which a request is blocked.
func WithCrashLimit(n int) Option {
	return func(s *Scheduler) {
		s.crashes.Limit = n
	}
}

// Scheduler schedules the requests of one router. It is not safe for concurrent
// use.
type Scheduler struct {
	// Set once by New and the options.
	rng            *rand.Rand
	self           waxwingwall.Incarnation
	affinity       bool
	demandInterval time.Duration

	// The tables. Iteration uses the slices, whose order is deterministic; the
	// maps are indexes only. removed holds the endpoints that left the table with
	// attempts that still run.
	ranks     []RankSpec
	endpoints []*endpoint
	removed   []*endpoint
	pools     []*pool
	peers     []*peer
	byName    map[waxwingwall.Endpoint]*endpoint
	byModel   map[waxwingwall.Model]*pool
	accounts  map[waxwingwall.Account]AccountSpec
	jobs      map[waxwingwall.Identity]*job
	estimates map[estimateKey]*estimates

	// now is the time of the last Offer or Step.
	now time.Time

	// seq numbers the jobs in the order of their offers, and the Demand
	// messages.
	seq uint64

	// The budgets and the crash table apply to all pools.
	retries     retry.Budget
	preemptions retry.Budget
	crashes     quarantine.Table
	parts       quarantine.Parts

	// limits keeps the limits that endpoints name; asks are the jobs that wait for a
	// permit, by the ID of their ask.
	limits *limit.Limiter
	asks   map[uint64]*job

	// routers is the number of registered routers; zero if unknown.
	routers int

	// rejected counts the invalid messages of peers.
	rejected int

	// pendingActions are returned by the next Step.
	pendingActions []effect.Action

	// sharesStale is set when demand or capacity has changed since the last
	// updateShares. peerDemandStale is set when the peers' demand must be summed
	// again. demandUnsent is set when this router's demand has changed since the
	// last Demand message.
	sharesStale     bool
	peerDemandStale bool
	demandUnsent    bool
	lastSent        time.Time
	lastMaintenance time.Time
}

// New returns a Scheduler without ranks and endpoints.
func New(opts ...Option) *Scheduler {
	s := &Scheduler{
		affinity:       true,
		demandInterval: DefaultDemandInterval,
		byName:         map[waxwingwall.Endpoint]*endpoint{},
		byModel:        map[waxwingwall.Model]*pool{},
		accounts:       map[waxwingwall.Account]AccountSpec{},
		jobs:           map[waxwingwall.Identity]*job{},
		estimates:      map[estimateKey]*estimates{},
		asks:           map[uint64]*job{},
		preemptions: retry.Budget{
			Ratio: preemptRatio,
		},
	}
	WithSeed(1)(s)
	for _, o := range opts {
		o(s)
	}
	s.limits = limit.New(s.self, s.lookupEndpoint)
	s.limits.SetPeers(nil, 1, true, false)
	return s
}
