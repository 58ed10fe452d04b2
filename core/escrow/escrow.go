// Package escrow keeps spend within prepaid budgets.
//
// Payments into a budget are recorded in a row of the platform's table: the pool. A
// node is an incarnation of a router. It does not access the table for each
// request. It draws a share of the pool into a share row of its own and spends from
// that share, also while the table is unreachable.
//
// # Shares
//
// Two numbers in the share row control a share. Granted is what the node has drawn
// from the pool. Allowance, never above Granted, bounds what the node may commit. A
// node commits tokens by reserving them for a request or by sending them to a peer.
// It writes the allowance first and commits only after the write is acknowledged.
// The row therefore bounds what its owner can ever have spent, whether the owner is
// live, paused, partitioned or dead, and any node can close the row and return the
// rest. Closing replaces the row with a tombstone, with which every later write of
// the owner conflicts, and returns the tokens of an entry in the same transaction
// that removes the entry.
//
// With all quantities summed over the life of an incarnation:
//
//	net       = settled + reserved + sent - received
//	net      <= allowance <= granted
//	closing returns granted - allowance
//
// The sender counts a sent token before the message leaves, and the receiver counts
// it once, so the sum of net over all nodes is at least that of settled + reserved.
// No allowance that could still be in force exceeds its grant, and a grant changes
// in the same transaction as the pool, so spend never exceeds what was paid.
//
// # Lost answers
//
// Each share row has at most one write in flight. A write names the version that it
// replaces. If its answer is lost, the node reads the row. A changed version means
// that one of its writes was applied, and the row shows which. An unchanged version
// means that none was applied so far and that one may still be. Until the version
// changes, the node stays within the smallest allowance that any of these writes
// sets.
//
// # Reserve, wait, settle
//
// Reserve admits the worst case of a request and Settle frees what was not used. If
// the share is too small, Reserve returns Waiting and the Book draws from the pool.
// If the pool is too small as well, the Book asks the holders named in the budget's
// row for tokens that they don't need, which they send directly. The verdict is
// Exhausted only if the pool and every holder were read twice with no change in
// between and all of them together can't pay. Every other failure is OutOfReach,
// which may be retried.
//
// # Marks
//
// With even shares the allowance is all of the grant, so that a share can be spent while
// the table is unreachable. What is really committed is bounded by marks that peers keep
// (Keeper); the node raises them ahead of use. An entry that is Kept in the row satisfies
//
//	net <= mark
//
// for a mark that enough keepers have, and closing returns granted - mark.
//
// If the answers of the table tell its clock, marks in the share rows themselves take the place
// of those at peers (clock.go). They are proven also if all peers are dead.
//
// # Closing
//
// Closer closes the share rows of a dead incarnation. Once the witness of that
// incarnation has sealed its log, no further request can be dispatched, so the log
// bounds what was used. The log does not contain tokens sent to peers. A share row
// therefore also holds sendable, an upper bound on all tokens ever sent that is
// written before they are sent, and received, a lower bound on all tokens received.
// Then
//
//	net <= spent + sendable - received
//
// always holds, where spent is the bound of the log on what was used: spent is
// fixed by the seal, sent never exceeds sendable and received never falls. The
// closer returns granted less that bound, if this is more than granted - allowance.
// Without sendable it would return tokens that a live node, wrongly considered
// dead, can still send to others.
package escrow

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Part is the ID.Part of this package's actions.
const Part = "escrow"

const (
	// DefaultShards is the number of share rows over which an incarnation
	// spreads its budgets. All nodes of a fleet use the same number.
	DefaultShards = 8

	// DefaultBufferTime is how long a share should last without the table at
	// the current spend rate.
	DefaultBufferTime = 10 * time.Minute
)

// Option configures a Book.
type Option func(*Book)

// WithBufferTime sets how long a share should last without the table.
func WithBufferTime(buffer time.Duration) Option {
	return func(b *Book) {
		b.buffer = buffer
	}
}

// WithShards sets the number of share rows. A Closer of this Book must use the
// same number.
func WithShards(shards int) Option {
	return func(b *Book) {
		b.shards = make([]shard, shards)
	}
}

// WithSeed sets the random seed for backoff and peer selection.
func WithSeed(seed uint64) Option {
	return func(b *Book) {
		b.seed = seed
	}
}

// WithPredecessor continues the numbers of the calls of the Book that this one replaces, so
// that a late answer to a call of that Book is not taken for one to a call of this Book.
func WithPredecessor(p *Book) Option {
	return func(b *Book) {
		if p != nil {
			b.callCount = p.callCount
		}
	}
}

// Kind is the kind of a Verdict.
type Kind int

// The kinds of verdicts.
const (
	// Granted means that the tokens are reserved.
	Granted Kind = iota

	// Waiting means that the Book is obtaining tokens. A Resolved action
	// follows, after which the caller repeats Reserve.
	Waiting

	// Exhausted means that the pool and all holders together can't pay.
	Exhausted

	// OutOfReach means that tokens are not available now but may be later.
	OutOfReach
)

// String returns the name of the kind in snake case.
func (k Kind) String() string {
	switch k {
	case Granted:
		return "granted"
	case Waiting:
		return "waiting"
	case Exhausted:
		return "exhausted"
	case OutOfReach:
		return "out_of_reach"
	}
	return "unknown"
}

// ReasonTableUnreachable is the reason of a verdict reached while the table is
// unreachable and the peers that were asked have too few tokens.
const ReasonTableUnreachable = "table_away_peers_asked"

// ReasonHoldersSilent is the reason of a verdict reached while holders are silent that are not
// known to be closed: their tokens may come back.
const ReasonHoldersSilent = "holders_silent"

// ReasonMarked is the reason of a verdict reached while lines in the table hold back what could
// pay; they do so until RetryAfter at most.
const ReasonMarked = "marked"

// Verdict is the result of Reserve.
type Verdict struct {
	// Kind is the kind of the verdict.
	Kind Kind

	// RetryAfter is the delay before a retry; set only if Kind is OutOfReach.
	RetryAfter time.Duration

	// Reason states in snake case how the wait for tokens ended; set if Kind is
	// Exhausted or OutOfReach.
	Reason string
}

// Resolved is emitted when requests waiting for a budget should repeat Reserve.
type Resolved struct {
	effect.IsAction

	// Budget is the budget that the requests wait for.
	Budget waxwingwall.Budget
}

// Trade is the kind of a change of a share other than by use.
type Trade string

// The kinds of trades.
const (
	// Drawn and Returned are transfers between a share and the pool.
	Drawn    Trade = "drawn"
	Returned Trade = "returned"

	// Passed and Took are transfers to and from the share of a peer.
	Passed Trade = "passed"
	Took   Trade = "took"
)

// Traded is emitted when a share changes other than by use.
type Traded struct {
	effect.IsAction

	// Budget is the budget of the share.
	Budget waxwingwall.Budget

	// Trade is the kind of the change and Tokens its amount.
	Trade  Trade
	Tokens waxwingwall.Tokens

	// Peer is the peer of the transfer; zero if it was with the pool.
	Peer waxwingwall.Incarnation

	// Pool is the remainder in the budget's row at Version.
	Pool    waxwingwall.Tokens
	Version int64
}

// Fenced is emitted when another incarnation has closed a share row of this
// one. The Book refuses every later Reserve.
type Fenced struct {
	effect.IsAction
}

// Book manages the shares of one incarnation.
type Book struct {
	self waxwingwall.Incarnation
	seed uint64

	// buffer is how long a share should last without the table.
	buffer time.Duration

	pacing *pacing

	peers []waxwingwall.Incarnation

	// clock is the table's clock.
	clock tableClock

	// witnessList is the result of witnesses; nil if it is out of date.
	witnessList []waxwingwall.Incarnation

	// openNodes are the nodes that are not known to be closed; nil if unknown. openEpoch
	// counts its changes.
	openNodes []waxwingwall.Incarnation
	openEpoch int

	// The entries by budget; each shard holds its own in order.
	entries map[waxwingwall.Budget]*entry
	shards  []shard

	// Counters of calls and messages, the random source and the actions of this
	// step.
	callCount  uint64
	roundCount uint64
	random     *rand.Rand
	actions    []effect.Action

	// The state of the life cycle and of the table.
	now       time.Time
	fenced    bool
	draining  bool
	retiring  bool
	tableDown bool
	nextPeer  int

	// frozen is set while nothing may be drawn, since the table came back from a copy.
	// minVersion is less than all versions of rows since then.
	frozen     bool
	minVersion int64

	// keeperStates is what is known of keepers; keeperList is the result of
	// keeperCandidates, nil if it is out of date.
	keeperStates map[waxwingwall.Incarnation]*keeperState
	keeperList   []waxwingwall.Incarnation

	// donor is the peer that last drew tokens for this node.
	donor waxwingwall.Incarnation

	counts Counts
}

// New returns the Book of an incarnation that has not yet written a share row.
func New(self waxwingwall.Incarnation, opts ...Option) *Book {
	b := &Book{
		self:    self,
		buffer:  DefaultBufferTime,
		pacing:  &wideShares,
		entries: map[waxwingwall.Budget]*entry{},
		shards:  make([]shard, DefaultShards),

		keeperStates: map[waxwingwall.Incarnation]*keeperState{},
	}
	for _, opt := range opts {
		opt(b)
	}
	for i := range b.shards {
		b.shards[i].key = ShareKey(self, i)
		b.shards[i].index = i
	}
	hash := fnv.New64a()
	hash.Write([]byte(self.String()))
	b.random = rand.New(rand.NewPCG(b.seed, hash.Sum64()))
	return b
}

// SetPeers sets the peers to ask for tokens when the holders of a budget are
// not known.
func (b *Book) SetPeers(peers []waxwingwall.Incarnation) {
	b.peers = slices.SortedFunc(slices.Values(peers), compare)
	b.witnessList = nil
	b.keepersChanged()
}

// SetOpenNodes sets the nodes that are not known to be closed, including this
// one. Other nodes are no longer asked and are removed from the holders with
// the next draw.
func (b *Book) SetOpenNodes(nodes []waxwingwall.Incarnation) {
	b.openEpoch++
	b.openNodes = slices.SortedFunc(slices.Values(nodes), compare)
}

// holders returns the holders of a budget that are not known to be closed.
func (b *Book) holders(row BudgetRow) []waxwingwall.Incarnation {
	var open []waxwingwall.Incarnation
	for _, node := range row.Holders {
		if !b.closed(node) {
			open = append(open, node)
		}
	}
	return open
}

// SilentHolders returns the holders of a budget that are silent and not known to be closed.
func (b *Book) SilentHolders(budget waxwingwall.Budget) []waxwingwall.Incarnation {
	e, ok := b.entries[budget]
	if !ok {
		return nil
	}
	return slices.DeleteFunc(b.others(b.holders(e.pool.row)), func(i waxwingwall.Incarnation) bool { return !b.silent(i) })
}

// holderCount returns the number of holders of a budget that are not known to be closed,
// with this node.
func (b *Book) holderCount(e *entry) int {
	p := &e.pool
	if p.openHolders == 0 || p.openEpoch != b.openEpoch {
		p.openHolders = len(withHolder(b.holders(p.row), b.self))
		p.openEpoch = b.openEpoch
	}
	return p.openHolders
}

// closed reports whether another node is known to be closed.
func (b *Book) closed(node waxwingwall.Incarnation) bool {
	return b.openNodes != nil && node != b.self && !isHolder(b.openNodes, node)
}

// Reserve reserves the worst case of a request in the share. It returns no
// actions: after Waiting, call Step soon, with a Tick if there is no other
// event.
func (b *Book) Reserve(now time.Time, budget waxwingwall.Budget, worst waxwingwall.Tokens) Verdict {
	b.now = now
	if b.fenced || b.draining {
		return b.outOfReach("closing")
	}
	e := b.entry(budget)
	b.limitStored(e)
	if worst <= e.free() {
		e.reserved += worst
		e.lastActive = now
		e.demand.worst = max(e.demand.worst, worst)
		return Verdict{
			Kind: Granted,
		}
	}
	switch e.cached.lookup(now, worst) {
	case Exhausted:
		b.counts.Exhausted++
		return Verdict{
			Kind:   Exhausted,
			Reason: e.cached.reason,
		}
	case OutOfReach:
		b.counts.OutOfReach++
		verdict := b.outOfReach(e.cached.reason)
		if left, held := b.heldBack(e, worst); held {
			verdict.Reason = ReasonMarked
			verdict.RetryAfter = left + b.retryJitter()
		}
		return verdict
	}
	e.addWaiter(now, worst, b.pacing.waitTimeout)
	b.counts.Waiting++
	return Verdict{
		Kind: Waiting,
	}
}

// Freeze stops draws until Resume: the table may have come back from a copy shortly before
// this node has started.
func (b *Book) Freeze() {
	b.frozen = true
}

// Settle ends a reservation: actual tokens were used and the rest becomes free.
// An actual above reserved counts as reserved, so that a request never spends
// more than its reservation.
func (b *Book) Settle(now time.Time, budget waxwingwall.Budget, reserved, actual waxwingwall.Tokens) {
	b.now = now
	e := b.entry(budget)
	actual = min(actual, reserved)
	e.reserved -= reserved
	e.settled += actual
	e.lastActive = now
	e.demand.observe(now, reserved, actual)
}

// Step handles an event and returns the resulting actions.
func (b *Book) Step(now time.Time, ev effect.Event) []effect.Action {
	b.now = now
	switch ev := ev.(type) {
	case effect.Tick:
		b.tick()
	case effect.Transacted:
		b.clock.observe(now, ClockOf(ev.Clock))
		b.transacted(ev)
	case effect.Rows:
		b.clock.observe(now, ClockOf(ev.Clock))
		b.rows(ev)
	case effect.Received:
		b.received(ev)
	case effect.Restored:
		b.restored(ev)
	}
	actions := b.actions
	b.actions = nil
	return actions
}

// Retire prepares a graceful stop: the Book still reserves tokens for requests,
// but returns what none of them needs to the pool, or sends it to a peer while
// the table is unreachable.
func (b *Book) Retire(now time.Time) {
	b.now = now
	b.retiring = true
}

// Drain begins a graceful stop: no more tokens are reserved, and each share is
// returned to the pool once its reservations have settled.
func (b *Book) Drain(now time.Time) {
	b.now = now
	b.draining = true
	for i := range b.shards {
		for _, e := range b.shards[i].entries {
			e.dropPending()
		}
	}
}

// TableAway reports whether the last call to the table was lost.
func (b *Book) TableAway() bool {
	return b.tableDown
}

// Draining reports whether Drain was called.
func (b *Book) Draining() bool {
	return b.draining
}

// Drained reports whether every share is back in the pool or the Book is
// fenced.
func (b *Book) Drained() bool {
	if b.fenced {
		return true
	}
	if !b.draining {
		return false
	}
	for i := range b.shards {
		if !b.shards[i].closed {
			return false
		}
	}
	return true
}

// outOfReach returns an OutOfReach verdict with a jittered retry delay.
func (b *Book) outOfReach(reason string) Verdict {
	return Verdict{
		Kind:       OutOfReach,
		Reason:     reason,
		RetryAfter: minRetryAfter + b.jitter(minRetryAfter),
	}
}

// entry returns the entry of a budget and creates it if needed.
func (b *Book) entry(budget waxwingwall.Budget) *entry {
	if e, ok := b.entries[budget]; ok {
		return e
	}
	e := &entry{
		row: ShareEntry{
			Budget: budget,
		},
		shard: ShardOf(budget, len(b.shards)),
		demand: demand{
			pacing: b.pacing,
		},
		marks: marks{
			limit: unmarked,
		},
		storedLimit: unmarked,
	}
	b.entries[budget] = e
	b.shards[e.shard].add(e)
	return e
}

// emitTraded emits a Traded action.
func (b *Book) emitTraded(e *entry, trade Trade, tokens waxwingwall.Tokens, peer waxwingwall.Incarnation) {
	b.emit(Traded{
		Budget:  e.row.Budget,
		Trade:   trade,
		Tokens:  tokens,
		Peer:    peer,
		Pool:    e.pool.row.Pool(),
		Version: e.pool.version,
	})
}

// emit adds an action to the output of this step.
func (b *Book) emit(action effect.Action) {
	b.actions = append(b.actions, action)
}

// id returns a new ID.
func (b *Book) id() effect.ID {
	b.callCount++
	return effect.ID{
		Part: Part,
		N:    b.callCount,
	}
}
