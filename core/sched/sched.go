// Package sched decides when and where the requests of one router run.
//
// A Scheduler belongs to one router and shares nothing with the schedulers of
// other routers but short messages (Demand). Its owner puts the tables in
// place (SetRanks, SetEndpoints, SetAccounts, SetPeers) and then offers work.
//
// The life of a request: Offer answers at once whether it is Queued or
// Refused. Work that can't be answered in time is refused at once, with a
// jittered time to come back that follows from the backlog. Queued work leaves
// the queue by exactly one of three ways: a Dispatch action, a Refuse action,
// or Withdraw. Dispatched work stays in the table until the driver reports
// Finished; a failed attempt of idempotent work may then be dispatched again,
// paid from a retry budget, and ends with Refuse where that is not possible.
// Work that is not idempotent is dispatched at most once.
//
// Every action comes out of Step. Offer and Withdraw only change the tables,
// so the driver steps the Scheduler after them, with effect.Tick if it has
// nothing else to tell. Ticks every few tens of milliseconds keep timeouts and
// messages going.
//
// Schedulers of several routers divide the endpoints among themselves if each
// knows its own name (WithSelf) and the living others (SetPeers), and if the
// driver carries Demand messages between them: effect.Send out, effect.Received
// in. A router alone needs none of this.
package sched

import (
	"math/rand/v2"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/quarantine"
	"waxwingwall/core/retry"
)

// RankSpec describes one rank of work.
type RankSpec struct {
	// Name is for dumps and measures.
	Name string

	// Level orders the ranks; zero is the most urgent. Levels are distinct.
	Level waxwingwall.Rank

	// FirstToken is the target for the time from Offer to the first token.
	FirstToken time.Duration

	// BetweenTokens is the target for the time between two tokens.
	BetweenTokens time.Duration

	// Floor is the share of capacity, from 0 to 1, that this rank keeps while
	// it has work, whatever the other ranks ask for. The floors of all ranks
	// add up to at most 1.
	Floor float64

	// Worth is the value of one served request relative to other ranks.
	Worth float64
}

// EndpointSpec describes one endpoint.
type EndpointSpec struct {
	// Name is unique.
	Name waxwingwall.Endpoint

	// Domain is the failure domain that the endpoint runs in.
	Domain waxwingwall.Domain

	// Models are the models, or plain services, that it serves.
	Models []waxwingwall.Model

	// Service is set for a plain service, which streams no tokens.
	Service bool

	// Concurrency is the number of requests that it runs at the same time.
	Concurrency int

	// TokenRate is the output of the endpoint in tokens per second with all
	// its slots in use; zero if not known.
	TokenRate float64

	// Leaving is set once the endpoint must get nothing new.
	Leaving bool
}

// AccountSpec describes one client account.
type AccountSpec struct {
	// Name is unique.
	Name waxwingwall.Account

	// Weight is the account's part in its ranks; zero counts as 1.
	Weight float64
}

// Work is a request that is offered to the Scheduler.
type Work struct {
	// Identity names the request.
	Identity waxwingwall.Identity

	// Account is the client account that the work is counted against.
	Account waxwingwall.Account

	// Rank is the level of one of the ranks set.
	Rank waxwingwall.Rank

	// Model is the model, or plain service, that is asked for.
	Model waxwingwall.Model

	// Idempotent is set if the work may run more than once.
	Idempotent bool

	// Prefix is the chain of hashes of the prompt's blocks, the longest prefix
	// last.
	Prefix []uint64

	// Fingerprint is a hash of the request's content. Zero is never
	// quarantined.
	Fingerprint uint64

	// Prompt is the length of the prompt.
	Prompt waxwingwall.Tokens

	// MaxOutput is the limit for the output.
	MaxOutput waxwingwall.Tokens

	// Deadline is the time by which the first token is worth having. Zero
	// stands for the rank's target, counted from the offer.
	Deadline time.Time
}

// Decision is what became of an offer.
type Decision int

// The decisions.
const (
	// Queued means that a Dispatch or a Refuse will follow.
	Queued Decision = iota

	// Refused means that the request was not run and is forgotten.
	Refused
)

// Verdict answers Offer.
type Verdict struct {
	// Decision is Queued or Refused.
	Decision Decision

	// Problem is the answer to the caller when Refused, nil otherwise.
	Problem *waxwingwall.Problem
}

// Option changes a new Scheduler.
type Option func(*Scheduler)

// WithSeed sets the seed of the jitter and of the sampling of endpoints.
func WithSeed(seed uint64) Option {
	return func(s *Scheduler) {
		s.rng = rand.New(rand.NewPCG(seed, rngStream))
	}
}

const rngStream = 0x5eed

// WithSelf tells the Scheduler which router it decides for. Without it, it
// sends no messages.
func WithSelf(self waxwingwall.Incarnation) Option {
	return func(s *Scheduler) {
		s.self = self
	}
}

// WithAffinity chooses between prefix affinity with bounded load, which is the
// default, and the less loaded of two random endpoints.
func WithAffinity(on bool) Option {
	return func(s *Scheduler) {
		s.affinity = on
	}
}

// WithDemandInterval sets the least time between two demand messages to a
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

// WithCrashLimit sets the number of crashes after which a request is stopped.
func WithCrashLimit(n int) Option {
	return func(s *Scheduler) {
		s.suspects.Limit = n
	}
}

// Scheduler decides for one router. It is not safe for concurrent use.
type Scheduler struct {
	// Set once by New and the options.
	rng            *rand.Rand
	self           waxwingwall.Incarnation
	affinity       bool
	demandInterval time.Duration

	// The entity tables. Slices keep the order in which they are walked; the
	// maps are indexes that are never walked.
	ranks     []RankSpec
	endpoints []*endpoint
	pools     []*pool
	peers     []*peer
	byName    map[waxwingwall.Endpoint]*endpoint
	byModel   map[waxwingwall.Model]*pool
	accounts  map[waxwingwall.Account]AccountSpec
	jobs      map[waxwingwall.Identity]*job
	estimates map[estimateKey]*estimates

	// now is the last time told.
	now time.Time

	// seq numbers the jobs in the order of their offers.
	seq uint64

	// retries, preemptions and suspects are spent and filled by all systems.
	retries     retry.Budget
	preemptions retry.Budget
	suspects    quarantine.Table

	// pendingActions holds actions that the next Step returns.
	pendingActions []effect.Action

	// sharesStale is set when demand or capacity is not yet shared anew, heard when
	// the peers' part of it is not yet summed up, unsent when the peers don't
	// know of this router's; all are settled by Step.
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
		preemptions: retry.Budget{
			Ratio: preemptRatio,
		},
	}
	WithSeed(1)(s)
	for _, o := range opts {
		o(s)
	}
	return s
}
