// Package core is the decision logic of a router.
//
// A Node is the whole of it: the budgets' escrow book, the ledger of claims,
// the scheduler, the configuration watcher and the membership view, and the
// table of requests that ties them together. It is stepped: time and events go
// in, actions come out (package effect). It does no I/O, reads no clock and
// draws no random number of its own, so a daemon, a bench or a test drives the
// same code.
//
// A request goes through these states:
//
//	reserving  waiting for a share of its budget
//	queued     waiting for an endpoint
//	recording  its begin record is on the way to the witness
//	running    an attempt runs on an endpoint
//	settling   its settle record is on the way to the witness
//
// Only then the caller is told that the answer is whole. A request that is
// given up on before it ran gets its final answer at once.
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

// Options tells where a router runs.
type Options struct {
	// Peers is where it listens for other routers.
	Peers netip.AddrPort

	// Callers is where it listens for callers.
	Callers netip.AddrPort

	// Domain is its failure domain.
	Domain waxwingwall.Domain

	// Heartbeat is the time between two heartbeats to a peer, PollInterval that
	// between two looks at the configuration's version; zero takes the parts'
	// own.
	Heartbeat, PollInterval time.Duration
}

// Node is the decision logic of one incarnation of a router.
type Node struct {
	// Self is the incarnation.
	Self waxwingwall.Incarnation

	// Options is where it runs.
	Options Options

	// The parts, each stepped with every event.
	Book      *escrow.Book
	Ledger    *claim.Ledger
	Scheduler *sched.Scheduler
	Watcher   *config.Watcher
	View      *member.View

	// requests, closers and leaving are tables that the systems of this package
	// run over.
	requests map[waxwingwall.Identity]*request
	closers  []*escrow.Closer
	leaving  leavingTable

	// document is the configuration in force; its version is 0 before the
	// first.
	document config.Document

	// draining is set once a graceful stop has begun, stopped once another
	// router has closed this incarnation.
	draining bool
	closed   bool

	// keysMade counts the keys made for requests without one.
	keysMade uint64

	// actions collects the actions of the current step.
	actions []effect.Action

	// stepLedger and stepScheduler are set when those parts have something to
	// say before the current step ends.
	stepLedger, stepScheduler bool
}

// New returns a node for an incarnation. The seed feeds every choice that the
// parts make by chance. Late are the claims that an earlier incarnation of this
// process left behind.
func New(self waxwingwall.Incarnation, at Options, environment string, seed uint64, late ...claim.Claim) *Node {
	return &Node{
		Self:      self,
		Options:   at,
		Book:      escrow.New(self, escrow.WithSeed(seed)),
		Ledger:    claim.New(self, at.Peers, at.Domain, claim.WithSeed(seed), claim.WithLate(late), claim.WithShareReturn()),
		Scheduler: sched.New(sched.WithSeed(seed), sched.WithSelf(self)),
		Watcher:   newWatcher(environment, at, seed),
		View:      newView(self, at, seed),
		requests:  make(map[waxwingwall.Identity]*request),
	}
}

func newWatcher(environment string, at Options, seed uint64) *config.Watcher {
	opts := []config.Option{config.WithSeed(seed)}
	if at.PollInterval > 0 {
		opts = append(opts, config.WithPoll(at.PollInterval))
	}
	return config.NewWatcher(environment, opts...)
}

func newView(self waxwingwall.Incarnation, at Options, seed uint64) *member.View {
	opts := []member.Option{member.WithSeed(seed), member.WithCallers(at.Callers)}
	if at.Heartbeat > 0 {
		opts = append(opts, member.WithHeartbeat(at.Heartbeat))
	}
	return member.New(self, at.Peers, at.Domain, opts...)
}

// Successor returns the node that a process goes on as after another router has
// closed its incarnation. It keeps the configuration, and files what the closed
// incarnation ran and the closer could not know of.
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

// Step tells the node of an event and returns what is to be done.
func (n *Node) Step(now time.Time, ev effect.Event) []effect.Action {
	switch e := ev.(type) {
	case AttemptProgress:
		n.attemptProgress(now, e)
	case AttemptEnded:
		n.attemptEnded(now, e)
	case CallerLeft:
		n.callerLeft(now, e)
	default:
		n.stepComponents(now, ev)
	}
	return n.takeActions(now)
}

// takeActions steps the parts that were called in this step, until nothing more comes
// out of them, and returns the actions.
func (n *Node) takeActions(now time.Time) []effect.Action {
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
	out := n.actions
	n.actions = nil
	return out
}

// stepComponents hands an event to every part.
func (n *Node) stepComponents(now time.Time, ev effect.Event) {
	n.routeAll(now, n.View.Step(now, ev))
	n.routeAll(now, n.Watcher.Step(now, ev))
	n.routeAll(now, n.Ledger.Step(now, ev))
	n.routeAll(now, n.Book.Step(now, ev))
	n.routeAll(now, n.Scheduler.Step(now, ev))
	n.stepClosers(now, ev)
	switch e := ev.(type) {
	case effect.Tick:
		n.tick(now)
	case effect.Received:
		if m, ok := e.Message.(LeavingEndpoints); ok {
			n.addLeaving(now, m.Endpoints)
		}
	}
}

// stepClosers steps the closers, forgets those that are done, and lets the slots
// that waited for them move.
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

// routeAll carries out the actions that one part has for another, and keeps the
// rest for the driver.
func (n *Node) routeAll(now time.Time, actions []effect.Action) {
	for _, a := range actions {
		n.route(now, a)
	}
}

// route gives one action to the part that it is for.
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
		n.claimSettled(a.Identity)
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

// closeIncarnation ends this incarnation, once.
func (n *Node) closeIncarnation(reason string) {
	if n.closed {
		return
	}
	n.closed = true
	n.actions = append(n.actions, IncarnationClosed{
		Reason: reason,
	})
}

// closePeer begins to close the budget shares of an incarnation that the ledger has
// closed. Only an exact log says what was spent.
func (n *Node) closePeer(now time.Time, a claim.PeerClosed) {
	var exact []escrow.Spent
	for _, s := range a.Spent {
		exact = append(exact, escrow.Spent{
			Budget: s.Budget,
			Tokens: s.Tokens,
		})
	}
	opts := []escrow.CloserOption{escrow.WithClosedBy(n.Self)}
	if a.Exact {
		opts = append(opts, escrow.WithCompleteLog())
	} else {
		exact = nil
	}
	c := escrow.NewCloser(a.Dead, exact, opts...)
	n.closers = append(n.closers, c)
	n.routeAll(now, c.Step(now, effect.Tick{}))
}

// tick does what is due in this package.
func (n *Node) tick(now time.Time) {
	n.sendLeaving(now)
	if n.draining {
		n.drainStep(now)
	}
}

// updatePeers tells the parts who the live updatePeers are.
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
}

// Drain begins a graceful stop: no new work, running work to its end, shares,
// claims and bills passed on.
func (n *Node) Drain(now time.Time) []effect.Action {
	if !n.draining {
		n.draining = true
		n.routeAll(now, n.View.Leave(now))
		n.Ledger.Drain(now)
	}
	return n.takeActions(now)
}

// drainStep returns the budget shares once no request needs them.
func (n *Node) drainStep(now time.Time) {
	if len(n.requests) == 0 {
		n.Book.Drain(now)
	}
}

// Draining reports that a graceful stop has begun.
func (n *Node) Draining() bool {
	return n.draining
}

// Drained reports that a graceful stop is complete.
func (n *Node) Drained() bool {
	return n.draining && len(n.requests) == 0 && len(n.closers) == 0 && n.Book.Drained() && n.Ledger.Drained()
}

// identities returns the identities of the requests in a fixed order.
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

// NewKey makes a key for a request of an account that brought none. With local
// set the key's slot is one of this router.
func (n *Node) NewKey(account waxwingwall.Account, spread int, local bool) string {
	n.keysMade++
	if local {
		if key, ok := n.Ledger.LocalKey(n.keysMade); ok {
			return key
		}
	}
	return n.Ledger.KeyFor(account, n.keysMade, spread)
}
