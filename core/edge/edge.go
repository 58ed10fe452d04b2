// Package edge decides how a router handles the requests that it forwards
// unchanged.
//
// An Edge belongs to one router. It has a table for each kind of entity
// (routes, accounts, endpoints, requests, other routers) and systems that run
// over them. It is a state machine: each step takes the time and an event and
// returns actions (package effect). It does no I/O, reads no clock and draws
// random numbers from its seed alone.
//
// # Requests
//
// A request starts with Arrived. It is checked against the configuration, its
// worst-case cost is reserved from the account's prepaid budget (package
// escrow), and an endpoint is chosen. Each Dispatch is answered by an
// AttemptEnded, which leads to another Dispatch or to a final action:
//
//	Finished  the caller has received the whole answer
//	Refuse    the caller has received nothing; the Problem is the answer
//	Deliver   the buffered answer of the last attempt is sent to the caller
//	Abort     the answer was interrupted and can't be resumed
//
// An attempt whose endpoint is silent for long causes AttemptStalled, which is answered
// by KeepWaiting or, once the request is certain to go on elsewhere, by LeaveAttempt.
//
// CallerLeft ends a request from the caller's side. A request of which an
// endpoint may have run a part is never refused as not run, and runs again only
// if it is idempotent.
//
// An endpoint that names a limit gets a request only with a permit (package limit). A
// request waits for one no longer than its objective allows. An endpoint of a service that
// is brittle gets a request only with the lease of a slot (package brittle).
//
// # Routers
//
// An Edge registers its incarnation in the platform's table (rows "node/"),
// finds the other routers there, and monitors them by heartbeats (package
// member). The shares of incarnations that are dead, or replaced by newer ones
// of their VM, are closed and returned to their budgets. A router whose shares
// were closed by mistake continues as a new incarnation. Drain first leaves the
// fleet, then serves the requests that still arrive for a while, and returns
// all shares.
package edge

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	"waxwingwall"
	"waxwingwall/core/brittle"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
	"waxwingwall/core/limit"
	"waxwingwall/core/member"
	"waxwingwall/core/quarantine"
)

// RouterInfo describes the router's addresses, failure domain and link.
type RouterInfo struct {
	// Peers is the listen address for other routers.
	Peers netip.AddrPort

	// Callers is the listen address for callers.
	Callers netip.AddrPort

	// Tunnels is the listen address for peers that are cut off from endpoints; invalid if
	// there is none.
	Tunnels netip.AddrPort

	// Domain is the router's failure domain.
	Domain waxwingwall.Domain

	// LinkMbps is the speed of the VM's network link in Mbit/s; zero if unknown.
	LinkMbps int
}

// Bounds are the times and limits that the operators set for the fleet.
type Bounds struct {
	// RetryRatio, RetryReserve and RetryWindow limit the retries of all routers
	// together: in each window, RetryRatio times the number of requests plus
	// RetryReserve.
	RetryRatio, RetryReserve float64
	RetryWindow              time.Duration

	// Grace limits the duration of a graceful stop.
	Grace time.Duration

	// AddressTTL is how long a caller may cache the result of Addresses.
	AddressTTL time.Duration

	// EndpointDrain is how long after the store acknowledged that an endpoint leaves
	// a request may still reach it; zero selects the default.
	EndpointDrain time.Duration

	// Evacuate is how long after the store acknowledged that a failure domain is to be empty a
	// request may still reach its endpoints; zero selects the default.
	Evacuate time.Duration
}

// Option configures an Edge.
type Option func(*Edge)

// WithSeed sets the seed of the random number generator.
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

// Edge makes the decisions of one router. It is not safe for concurrent use.
type Edge struct {
	// Self is the current incarnation.
	Self waxwingwall.Incarnation

	info   RouterInfo
	seed   uint64
	rng    *rand.Rand
	bounds Bounds
	now    time.Time

	// The components that are stepped with every event.
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
	listed       listing
	link         link
	overload     overload
	rotation     rotation
	reach        reach
	departures   departures
	evacuations  evacuations
	versions     versions

	announcements announcements
	pauses        pauses

	// notices are the draws of other routers, for the return of the store from a copy.
	notices escrow.Notices

	// keeper keeps the marks of other routers.
	keeper         escrow.Keeper
	nextMarkExpiry time.Time

	// limits keeps the limits that endpoints name.
	limits *limit.Limiter

	// coldEndpoints counts the endpoints with the limit of cold ones.
	coldEndpoints int

	// warmed are the services of endpoints that have become warm, or whose failure domain was
	// taken back, since the last tick.
	warmed []waxwingwall.Model

	// permits are the requests that wait for a permit, by the ID of their ask.
	permits map[uint64]*request

	// guard keeps the requests at brittle endpoints within their slots.
	guard *brittle.Guard

	// slotAsks are the requests that wait for a slot, by the ID of their ask.
	slotAsks map[uint64]*request

	// queues are those of the services; turnsDue is set if turns in them may have come.
	queues   map[waxwingwall.Model]*serviceTurns
	turnsDue bool

	// limiterStale is set if the routers that limits and guard know are out of date.
	limiterStale bool

	// outages are those of the store, as the endpoints' table and the shares show them.
	outages outages

	// births tell when processes have ended.
	births births

	// durations are the times of requests by the name of their route.
	durations map[string]*duration

	// drainStart is when a graceful stop began; zero before that. drainLogged is set once
	// the log has an entry of its end.
	drainStart  time.Time
	drainLogged bool

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
		permits:      map[uint64]*request{},
		slotAsks:     map[uint64]*request{},
		queues:       map[waxwingwall.Model]*serviceTurns{},
		durations:    map[string]*duration{},
		crashes: crashTracker{
			table: quarantine.Table{
				Retention:        crashRetention,
				BlockedRetention: blockedRetention,
			},
			parts: quarantine.Parts{
				Retention: crashRetention,
			},
		},
	}
	for _, o := range opts {
		o(e)
	}
	e.SetBounds(e.bounds)
	e.rng = rand.New(rand.NewPCG(e.seed, uint64(self.Boot)))
	e.endpoints.init()
	e.nodes.init()
	e.versions.init()
	e.reach.init()
	e.limits = limit.New(self, e.lookupEndpoint, limit.WithSeed(e.seed))
	e.guard = brittle.New(self, e.slotState, e.endpointNames, brittle.WithSeed(e.seed))
	e.initIncarnation(self)
	return e
}

// Defaults of Bounds.
const (
	defaultRetryRatio    = 0.1
	defaultRetryReserve  = 10
	defaultRetryWindow   = 10 * time.Second
	defaultGrace         = 8 * time.Second
	defaultAddressTTL    = 2 * time.Second
	defaultEndpointDrain = 2 * time.Second
)

// initIncarnation creates the components that belong to an incarnation.
func (e *Edge) initIncarnation(self waxwingwall.Incarnation) {
	e.Self = self
	e.limits.SetSelf(self)
	e.guard.SetSelf(self)
	e.book = escrow.New(
		self,
		escrow.WithSeed(e.seed),
		escrow.WithShards(Shards),
		escrow.WithEvenShares(),
		escrow.WithPredecessor(e.book),
	)
	e.view = member.New(
		self,
		e.info.Peers,
		e.info.Domain,
		member.WithSeed(e.seed),
		member.WithCallers(e.info.Callers),
	)
	e.nodes.registered = false
	// A write in flight is of the former incarnation's row.
	e.nodes.pendingCall = 0
	e.nodes.perhapsDeadStale = true
	e.nodes.peersEpoch++
	e.nodes.peerUnresponsive = false
	e.gossip.targets = nil
	e.limiterStale = true
	e.fundBudgets()
	switch e.nodes.stage {
	case notRestoring:
	case joining:
		e.book.Freeze()
	default:
		e.beginRestore()
	}
}

// Step processes an event and returns the resulting actions.
func (e *Edge) Step(now time.Time, ev effect.Event) []effect.Action {
	e.now = now
	e.outages.observe(now, e.endpoints.storeUnavailable || e.book.TableAway())
	e.endPauses()
	switch ev := ev.(type) {
	case Arrived:
		e.handleArrived(ev)
	case HeadReceived:
		e.handleHeadReceived(ev)
	case NoticeReceived:
		e.handleEndpointNotice(ev)
	case InstanceReported:
		e.handleInstanceReported(ev)
	case AnswerStarted:
		e.handleAnswerStarted(ev)
	case AttemptStalled:
		e.handleAttemptStalled(ev)
	case AttemptEnded:
		e.handleAttemptEnded(ev)
	case CallerLeft:
		e.handleCallerLeft(ev)
	case Configured:
		e.applyConfiguration(ev.Configuration, "store")
	case Evacuated:
		e.handleEvacuated(ev)
	case Replicas:
		e.handleReplicas(ev)
	case Nodes:
		e.handleNodes(ev)
	case StoreEra:
		e.handleStoreEra(ev)
	case effect.Received:
		e.handleMessage(ev)
		e.stepComponents(ev)
	case effect.Transacted:
		e.births.observe(now, ev.Clock)
		e.handleTransacted(ev)
		e.stepComponents(ev)
	case effect.Rows:
		e.births.observe(now, ev.Clock)
		e.stepComponents(ev)
	case Dialed:
		e.handleDialed(ev)
	case CallerLoad:
		e.handleCallerLoad(ev)
	case TunnelProbed:
		e.handleTunnelProbed(ev)
	case effect.Tick:
		e.stepComponents(ev)
		e.tick()
		e.turnsDue = true
	default:
		e.stepComponents(ev)
	}
	e.stepQueues()
	out := e.out
	e.out = nil
	return out
}

// tick runs the systems that depend on time alone.
func (e *Edge) tick() {
	e.rotationStep()
	e.register()
	e.restoreStep()
	e.closeDead()
	e.askNews()
	e.sendReports()
	e.endpoints.expireParts(e.now)
	e.probeLink()
	e.reachStep()
	e.countCrashes()
	e.crashes.expire(e.now)
	e.notices.Expire(e.now)
	e.expireMarks()
	e.expireNotices()
	e.evacuationStep()
	e.reviewCold(coldByTime)
	e.releaseWaiting()
	e.removeMissing()
	e.expireRooms()
	e.expireWaits()
	e.logOverdue()
	e.versionStep()
	e.drainStep()
}

// stepComponents passes an event to the components.
func (e *Edge) stepComponents(ev effect.Event) {
	e.handleActions(e.view.Step(e.now, ev))
	e.handleActions(e.book.Step(e.now, ev))
	e.updateLimiter()
	e.handleActions(e.limits.Step(e.now, ev))
	e.takeLimits()
	e.handleActions(e.guard.Step(e.now, ev))
	e.takeSlots()
	e.stepClosers(ev)
	e.stepRestorers(ev)
}

// stepBook makes the book process the pending calls of its methods.
func (e *Edge) stepBook() {
	e.handleActions(e.book.Step(e.now, effect.Tick{}))
}

// handleActions performs the actions that one component has for another and
// emits the rest for the driver.
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
		case limit.Granted:
			e.handleGranted(a)
		case limit.Denied:
			e.handleDenied(a)
		case limit.Changed:
			e.logLimit(a)
		case brittle.Granted:
			e.handleSlotGranted(a)
		case brittle.Denied:
			e.handleSlotDenied(a)
		case brittle.Changed:
			e.logBrittle(a)
		default:
			e.emit(a)
		}
	}
}

// emit adds an action to the output of this step.
func (e *Edge) emit(a effect.Action) {
	e.out = append(e.out, a)
}

// log emits a log entry.
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

// Ready reports whether the router accepts new callers.
func (e *Edge) Ready() bool {
	return e.config.version > 0 && e.drainStart.IsZero() && !e.rotation.out
}

// Draining reports whether a graceful stop has begun.
func (e *Edge) Draining() bool {
	return !e.drainStart.IsZero()
}

// Limits returns the limits on what callers may send.
func (e *Edge) Limits() waxwingwall.CallerLimits {
	return e.config.configuration.Limits
}

// SetBounds replaces the operators' bounds. A stop that has begun does not get more time, as
// the process may be killed at the end of its grace period.
func (e *Edge) SetBounds(b Bounds) {
	if e.Draining() {
		b.Grace = min(b.Grace, e.bounds.Grace)
	}
	b.EndpointDrain = cmp.Or(b.EndpointDrain, defaultEndpointDrain)
	b.Evacuate = cmp.Or(b.Evacuate, defaultEvacuate)
	e.bounds = b
}
