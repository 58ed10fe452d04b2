// Package edge decides what becomes of requests that pass through a router
// unchanged.
//
// An Edge belongs to one router. It has a table for each kind of entity
// (routes, accounts, endpoints, requests, other routers) and systems that run
// over them. It is stepped: time and events go in, actions come out (package
// effect). It does no I/O, reads no clock and draws chance from its seed alone.
//
// # Life of a request
//
// Arrived begins it. The request is checked against the configuration, its
// worst case is reserved from the account's prepaid budget (package escrow),
// and an endpoint is chosen. Each Dispatch is answered by an AttemptEnded, which leads
// to another Dispatch, or to one of the final actions:
//
//	Refuse   nothing reached the caller; the Problem is its answer
//	Deliver  the answer that the last attempt brought is the caller's
//	Abort    the answer broke off midway and can't be gone on with
//
// CallerLeft ends it from the caller's side. A request of which an endpoint may have
// run a part is never refused as not run, and runs again only if it is
// idempotent.
//
// # Life of a router
//
// An Edge registers its incarnation in the table (package directory of the
// rows "node/"), finds the others there, and hears of their health by
// heartbeats (package member). Shares of incarnations that are gone are closed
// and go back to their budgets. One that was closed by mistake goes on as a
// new incarnation. Drain leaves the fleet first, serves what still comes for a
// while, and gives all shares back.
package edge

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
	"waxwingwall/core/member"
	"waxwingwall/core/quarantine"
)

// RouterInfo tells where a router runs.
type RouterInfo struct {
	// Peers is where it listens for other routers.
	Peers netip.AddrPort

	// Callers is where it listens for callers.
	Callers netip.AddrPort

	// Domain is its failure domain.
	Domain waxwingwall.Domain

	// LinkMbps is the speed of its VM's link in Mbit/s; zero if it isn't known.
	LinkMbps int
}

// Bounds are the times and limits that the operators set for the fleet.
type Bounds struct {
	// RetryRatio, RetryReserve and RetryWindow bound the attempts beyond the
	// first of each request, over all routers: in each window RetryRatio times
	// the requests, plus RetryReserve.
	RetryRatio, RetryReserve float64
	RetryWindow              time.Duration

	// Grace is how long a stop may take.
	Grace time.Duration

	// AddressTTL is how long a caller may keep an answer to where to connect.
	AddressTTL time.Duration
}

// Option changes an Edge.
type Option func(*Edge)

// WithSeed sets the seed of every choice by chance.
func WithSeed(seed uint64) Option {
	return func(e *Edge) {
		e.seed = seed
	}
}

// WithBounds sets the operators' bounds.
func WithBounds(b Bounds) Option {
	return func(e *Edge) {
		e.bounds = b
	}
}

// Edge decides for one router. It is not safe for concurrent use.
type Edge struct {
	// Self is the incarnation.
	Self waxwingwall.Incarnation

	info   RouterInfo
	seed   uint64
	rng    *rand.Rand
	bounds Bounds
	now    time.Time

	// The parts, each stepped with every event.
	book    *escrow.Book
	view    *member.View
	closers []*closeTask

	// The tables.
	config       configIndex
	endpoints    endpoints
	requests     map[uint64]*request
	retryBudgets map[waxwingwall.Model]*retryBudget
	crashes      crashTracker
	nodes        nodes
	gossip       gossipState
	link         link
	departures   departures

	// drainStart is when a graceful stop began; zero before.
	drainStart time.Time

	callSeq uint64
	out     []effect.Action
}

// New returns the Edge of an incarnation that is not registered yet.
func New(self waxwingwall.Incarnation, info RouterInfo, opts ...Option) *Edge {
	e := &Edge{
		info: info,
		bounds: Bounds{
			RetryRatio:   defaultRetryRatio,
			RetryReserve: defaultRetryReserve,
			RetryWindow:  defaultRetryWindow,
			Grace:        defaultGrace,
			AddressTTL:   defaultAddressTTL,
		},
		requests:     map[uint64]*request{},
		retryBudgets: map[waxwingwall.Model]*retryBudget{},
		crashes: crashTracker{
			table: quarantine.Table{
				Retain: crashRetention,
			},
		},
	}
	for _, o := range opts {
		o(e)
	}
	e.rng = rand.New(rand.NewPCG(e.seed, uint64(self.Boot)))
	e.endpoints.init()
	e.nodes.init()
	e.initIncarnation(self)
	return e
}

// Defaults of the bounds.
const (
	defaultRetryRatio   = 0.1
	defaultRetryReserve = 10
	defaultRetryWindow  = 10 * time.Second
	defaultGrace        = 8 * time.Second
	defaultAddressTTL   = 2 * time.Second
)

// initIncarnation makes the parts that belong to an incarnation.
func (e *Edge) initIncarnation(self waxwingwall.Incarnation) {
	e.Self = self
	e.book = escrow.New(
		self,
		escrow.WithSeed(e.seed),
		escrow.WithShards(Shards),
		escrow.WithEvenShares(),
	)
	e.view = member.New(
		self,
		e.info.Peers,
		e.info.Domain,
		member.WithSeed(e.seed),
		member.WithCallers(e.info.Callers),
	)
	e.nodes.registered = false
	e.fundBudgets()
}

// Step tells the Edge of an event and returns what is to be done.
func (e *Edge) Step(now time.Time, ev effect.Event) []effect.Action {
	e.now = now
	switch ev := ev.(type) {
	case Arrived:
		e.handleArrived(ev)
	case AnswerStarted:
		e.handleAnswerStarted(ev)
	case AttemptEnded:
		e.handleAttemptEnded(ev)
	case CallerLeft:
		e.handleCallerLeft(ev)
	case Configured:
		e.applyConfiguration(ev.Configuration, "store")
	case Replicas:
		e.handleReplicas(ev)
	case Nodes:
		e.handleNodes(ev)
	case effect.Received:
		e.handleMessage(ev)
		e.stepComponents(ev)
	case effect.Transacted:
		e.handleTransacted(ev)
		e.stepComponents(ev)
	case Dialed:
		e.handleDialed(ev)
	case effect.Tick:
		e.stepComponents(ev)
		e.tick()
	default:
		e.stepComponents(ev)
	}
	out := e.out
	e.out = nil
	return out
}

// tick runs the systems that depend on time alone.
func (e *Edge) tick() {
	e.register()
	e.closeDead()
	e.sendReports()
	e.endpoints.expireParts(e.now)
	e.probeLink()
	e.countCrashes()
	e.crashes.expire(e.now)
	e.expireLapsed()
	e.drainStep()
}

// stepComponents hands an event to the parts.
func (e *Edge) stepComponents(ev effect.Event) {
	e.handleActions(e.view.Step(e.now, ev))
	e.handleActions(e.book.Step(e.now, ev))
	e.stepClosers(ev)
}

// stepBook lets the book act on what was asked of it.
func (e *Edge) stepBook() {
	e.handleActions(e.book.Step(e.now, effect.Tick{}))
}

// handleActions carries out the actions that one part has for another, and keeps the
// rest for the driver.
func (e *Edge) handleActions(actions []effect.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case escrow.Resolved:
			e.handleResolved(a.Budget)
		case escrow.Traded:
			e.logTrade(a)
		case escrow.Fenced:
			e.renew("shares closed by another router")
		case member.Changed:
			e.peersChanged()
		default:
			e.emit(a)
		}
	}
}

// emit adds an action to the output of this step.
func (e *Edge) emit(a effect.Action) {
	e.out = append(e.out, a)
}

// log adds a line for the log.
func (e *Edge) log(event, request string, fields ...Field) {
	e.emit(LogEntry{
		Event:   event,
		Request: request,
		Fields:  fields,
	})
}

// jitter returns a random duration below d.
func (e *Edge) jitter(d time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(max(d, 1))))
}

// Ready reports whether callers are welcome.
func (e *Edge) Ready() bool {
	return e.config.version > 0 && e.drainStart.IsZero()
}

// Draining reports whether a graceful stop has begun.
func (e *Edge) Draining() bool {
	return !e.drainStart.IsZero()
}

// Limits are what callers may send.
func (e *Edge) Limits() waxwingwall.CallerLimits {
	return e.config.configuration.Limits
}

// SetBounds puts other bounds in force.
func (e *Edge) SetBounds(b Bounds) {
	e.bounds = b
}
