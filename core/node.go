// Package core implements the decision logic of a router.
//
// A Node combines the escrow book of the budgets, the ledger of claims, the
// scheduler, the configuration watcher and the membership view, and connects them
// through a table of requests. It is a state machine that takes the time and events
// and returns actions (package effect). It does no I/O, reads no clock and uses only
// seeded random numbers, so that a daemon, a benchmark or a test can drive the same
// code.
//
// A request passes through these phases:
//
//	reserving  waiting for a share of its budget
//	queued     waiting for an endpoint
//	recording  its begin record is on the way to the witness
//	running    an attempt runs on an endpoint
//	settling   its settle record is on the way to the witness
//
// The caller learns that the answer is complete only after the settle record is
// stable (see package claim). A request that is refused before its begin record is
// written gets its final answer immediately.
package core

import (
	"net/netip"
	"sort"
	"time"

	"waxwingwall"
	"waxwingwall/core/claim"
	"waxwingwall/core/config"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
	"waxwingwall/core/member"
	"waxwingwall/core/sched"
)

// Options configures a Node.
type Options struct {
	// Peers is the address on which the router listens for other routers.
	Peers netip.AddrPort

	// Callers is the address on which the router listens for callers.
	Callers netip.AddrPort

	// Domain is the router's failure domain.
	Domain waxwingwall.Domain

	// Heartbeat is the interval of heartbeats to a peer, PollInterval that of
	// reads of the configuration's version; zero selects the component's default.
	Heartbeat, PollInterval time.Duration
}

// Node is the decision logic of one incarnation of a router.
type Node struct {
	// Self is this incarnation.
	Self waxwingwall.Incarnation

	// Options are the options that New received.
	Options Options

	// The components, each stepped with every event that isn't about a request.
	Book      *escrow.Book
	Ledger    *claim.Ledger
	Scheduler *sched.Scheduler
	Watcher   *config.Watcher
	View      *member.View

	// requests are the requests without a final answer, closers those that close
	// the budget shares of dead peers, and leaving the endpoints that operators
	// drain.
	requests map[waxwingwall.Identity]*request
	closers  []*escrow.Closer
	leaving  leavingTable

	// held are reservations of requests that have ended.
	held []heldReservation

	// document is the active configuration; its version is 0 before the first
	// one.
	document config.Document

	// listed is set once the platform's list of routers was received.
	listed bool

	// draining is set once a graceful stop has begun, closed once another
	// router has closed this incarnation.
	draining bool
	closed   bool

	// keysMade is the number of keys generated for requests without one.
	keysMade uint64

	// actions collects the actions of the current step.
	actions []effect.Action

	// stepLedger and stepScheduler are set when that component must be stepped
	// before the current step ends.
	stepLedger, stepScheduler bool
}

// New returns a Node for an incarnation. The seed determines all random choices of
// the components. unfiled are the claims that the process's previous incarnation
// could not file (Ledger.Late).
func New(self waxwingwall.Incarnation, opts Options, environment string, seed uint64, unfiled ...claim.Claim) *Node {
	return &Node{
		Self:      self,
		Options:   opts,
		Book:      escrow.New(self, escrow.WithSeed(seed)),
		Ledger:    claim.New(self, opts.Peers, opts.Domain, claim.WithSeed(seed), claim.WithLate(unfiled), claim.WithShareReturn()),
		Scheduler: sched.New(sched.WithSeed(seed), sched.WithSelf(self)),
		Watcher:   newWatcher(environment, opts, seed),
		View:      newView(self, opts, seed),
		requests:  make(map[waxwingwall.Identity]*request),
	}
}

func newWatcher(environment string, opts Options, seed uint64) *config.Watcher {
	watcherOpts := []config.Option{config.WithSeed(seed)}
	if opts.PollInterval > 0 {
		watcherOpts = append(watcherOpts, config.WithPollInterval(opts.PollInterval))
	}
	return config.NewWatcher(environment, watcherOpts...)
}

func newView(self waxwingwall.Incarnation, opts Options, seed uint64) *member.View {
	viewOpts := []member.Option{member.WithSeed(seed), member.WithCallers(opts.Callers)}
	if opts.Heartbeat > 0 {
		viewOpts = append(viewOpts, member.WithHeartbeat(opts.Heartbeat))
	}
	return member.New(self, opts.Peers, opts.Domain, viewOpts...)
}

// Successor returns the node of the next incarnation of the process after another
// router has closed this one. It keeps the configuration and the running closers, and
// its ledger sends the claims that the closed ledger returns from Late to the owners
// of their slots.
func (n *Node) Successor(now time.Time, boot int64, seed uint64) (*Node, []effect.Action) {
	self := waxwingwall.Incarnation{
		VM:   n.Self.VM,
		Boot: boot,
	}
	next := New(self, n.Options, n.Watcher.Environment, seed, n.Ledger.Late()...)
	next.closers = n.closers
	if n.document.Version > 0 {
		next.configure(now, n.document)
	}
	return next, next.takeActions(now)
}

// Step handles an event and returns the resulting actions.
func (n *Node) Step(now time.Time, ev effect.Event) []effect.Action {
	switch e := ev.(type) {
	case AttemptProgress:
		n.attemptProgress(now, e)
	case LimitNamed:
		n.limitNamed(now, e)
	case AttemptEnded:
		n.attemptEnded(now, e)
	case CallerLeft:
		n.callerLeft(now, e)
	default:
		n.stepComponents(now, ev)
	}
	return n.takeActions(now)
}

// takeActions steps the ledger and the scheduler while they need it and returns the
// actions of this step.
func (n *Node) takeActions(now time.Time) []effect.Action {
	if len(n.held) > 0 {
		n.releaseFiled(now)
	}
	for n.stepLedger || n.stepScheduler {
		if n.stepLedger {
			n.stepLedger = false
			n.routeAll(now, n.Ledger.Step(now, effect.Tick{}))
		}
		if n.stepScheduler {
			n.stepScheduler = false
			n.routeAll(now, n.Scheduler.Step(now, effect.Tick{}))
		}
	}
	actions := n.actions
	n.actions = nil
	return actions
}

// stepComponents passes an event to every component.
func (n *Node) stepComponents(now time.Time, ev effect.Event) {
	n.routeAll(now, n.View.Step(now, ev))
	n.routeAll(now, n.Watcher.Step(now, ev))
	n.routeAll(now, n.Ledger.Step(now, ev))
	n.routeAll(now, n.Book.Step(now, ev))
	n.routeAll(now, n.Scheduler.Step(now, ev))
	n.stepClosers(now, ev)
	switch e := ev.(type) {
	case member.Listed:
		n.listed = true
		n.updatePeers(now)
	case effect.Tick:
		n.tick(now)
	case effect.Received:
		if m, ok := e.Message.(LeavingEndpoints); ok {
			n.addLeaving(now, m.Endpoints)
		}
	}
}

// stepClosers steps the closers and removes those that are done, which allows the
// slots that waited for them to move.
func (n *Node) stepClosers(now time.Time, ev effect.Event) {
	var open []*escrow.Closer
	for _, c := range n.closers {
		n.routeAll(now, c.Step(now, ev))
		if c.Done() {
			n.Ledger.SharesReturned(c.Dead)
			n.stepLedger = true
			continue
		}
		open = append(open, c)
	}
	n.closers = open
}

// routeAll handles the actions that one component has for another, and keeps the
// rest for the driver.
func (n *Node) routeAll(now time.Time, actions []effect.Action) {
	for _, a := range actions {
		n.route(now, a)
	}
}

// route passes one action to the component that it is for, or to the driver.
func (n *Node) route(now time.Time, a effect.Action) {
	switch a := a.(type) {
	case escrow.Resolved:
		n.budgetResolved(now, a.Budget)
	case escrow.Traded:
	case escrow.Fenced:
		n.closeIncarnation("budget shares closed")
	case claim.Cleared:
		n.claimCleared(now, a.Identity)
	case claim.Refused:
		n.claimRefused(now, a.Identity, a.Problem)
	case claim.Settled:
		n.claimSettled(now, a.Identity)
	case claim.Closed:
		n.closeIncarnation("node row closed")
	case claim.PeerClosed:
		n.closePeer(now, a)
	case sched.Dispatch:
		n.dispatch(now, a)
	case sched.Refuse:
		n.refuse(now, a.Identity, a.Problem)
	case sched.Cancel:
		n.attemptCancelled(a)
	case config.Changed:
		n.configure(now, a.Document)
	case member.Changed:
		n.updatePeers(now)
	default:
		n.actions = append(n.actions, a)
	}
}

// closeIncarnation marks this incarnation as closed and reports it once.
func (n *Node) closeIncarnation(reason string) {
	if n.closed {
		return
	}
	n.closed = true
	n.actions = append(n.actions, IncarnationClosed{
		Reason: reason,
	})
}

// closePeer starts to close the budget shares of an incarnation that the ledger has
// closed. The tokens spent are known only from an exact log.
func (n *Node) closePeer(now time.Time, a claim.PeerClosed) {
	var spent []escrow.Spent
	for _, s := range a.Spent {
		spent = append(spent, escrow.Spent{
			Budget: s.Budget,
			Tokens: s.Tokens,
		})
	}
	opts := []escrow.CloserOption{escrow.WithClosedBy(n.Self)}
	if a.Exact {
		opts = append(opts, escrow.WithCompleteLog())
	} else {
		spent = nil
	}
	c := escrow.NewCloser(a.Dead, spent, opts...)
	n.closers = append(n.closers, c)
	n.routeAll(now, c.Step(now, effect.Tick{}))
}

// tick performs the periodic work of this package.
func (n *Node) tick(now time.Time) {
	n.sendLeaving(now)
	if n.draining {
		n.drainStep(now)
	}
}

// updatePeers passes the changed peers to the components and the driver.
func (n *Node) updatePeers(now time.Time) {
	var incarnations []waxwingwall.Incarnation
	var peers []claim.Peer
	all := n.View.Peers(now)
	n.actions = append(n.actions, PeersChanged{
		Peers: all,
	})
	for _, p := range all {
		peers = append(peers, claim.Peer{
			Incarnation: p.Incarnation,
			Address:     p.Address,
			Domain:      p.Domain,
			Alive:       p.Alive,
			Leaving:     p.Leaving,
		})
		if p.Alive && !p.Leaving {
			incarnations = append(incarnations, p.Incarnation)
		}
	}
	n.Ledger.SetPeers(now, peers)
	n.Book.SetPeers(incarnations)
	n.Watcher.SetPeers(incarnations)
	n.Scheduler.SetPeers(now, incarnations)
	if n.listed {
		n.Scheduler.SetRouters(len(all) + 1)
	}
}

// Drain starts a graceful stop: the node accepts no new requests and completes the
// running ones. It hands off its slots with their claims, files its bills and, once
// no request remains, returns its budget shares.
func (n *Node) Drain(now time.Time) []effect.Action {
	if !n.draining {
		n.draining = true
		n.routeAll(now, n.View.Leave(now))
		n.Ledger.Drain(now)
	}
	return n.takeActions(now)
}

// drainStep returns the budget shares once no requests remain and none can arrive for
// this node's slots.
func (n *Node) drainStep(now time.Time) {
	if len(n.requests) == 0 && len(n.held) == 0 && !n.Ledger.HandsOff() {
		n.Book.Drain(now)
	}
}

// Draining reports whether a graceful stop has begun.
func (n *Node) Draining() bool {
	return n.draining
}

// Drained reports whether a graceful stop is complete.
func (n *Node) Drained() bool {
	return n.draining && len(n.requests) == 0 && len(n.closers) == 0 && n.Book.Drained() && n.Ledger.Drained()
}

// identities returns the identities of the requests in sorted order.
func (n *Node) identities() []waxwingwall.Identity {
	ids := make([]waxwingwall.Identity, 0, len(n.requests))
	for id := range n.requests {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		if ids[i].Account != ids[j].Account {
			return ids[i].Account < ids[j].Account
		}
		return ids[i].Key < ids[j].Key
	})
	return ids
}

// NewKey generates a key for a request of an account without one. If local is set,
// the key's slot is owned by this router, if it owns any.
func (n *Node) NewKey(account waxwingwall.Account, spread int, local bool) string {
	n.keysMade++
	if local {
		if key, ok := n.Ledger.LocalKey(n.keysMade); ok {
			return key
		}
	}
	return n.Ledger.KeyFor(account, n.keysMade, spread)
}
