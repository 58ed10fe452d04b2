// Package escrow keeps spend within prepaid budgets.
//
// A budget is paid into a row of the platform's table: the pool. Nodes don't
// ask the table for each request. Each draws a share of the pool into a share
// row of its own and spends from there, also while the table is out of reach.
//
// # Life of a share
//
// Two numbers in the share row rule a share. Granted is what the node took out
// of the pool. Allowance, never above it, bounds what the node may let go. A
// node lets go by reserving tokens for a request and by passing tokens to a
// peer; it first writes the allowance and lets go only when the write is
// acknowledged. So whoever reads the row knows a bound on what its owner can
// ever have spent, whether it is alive, paused, cut off or dead, and can close
// the row and return the rest. Closing writes a tombstone over the row in the
// same transaction that returns the tokens; all later writes of the owner
// conflict with it.
//
// In sums, with everything counted over the life of an incarnation:
//
//	net       = used + reserved + sent - received
//	net      <= allowance <= granted
//	closing returns granted - allowance
//
// A token that is sent is counted by its sender before the message leaves, and
// by its receiver once, so over all nodes the sum of net is at least the sum of
// what is used. Every allowance that could still be in force is either in the
// pool's favour or covered by a grant: spend never exceeds what was paid.
//
// # Lost answers
//
// Each share row has one write under way at a time. A write names the version
// that it replaces. When its answer is lost, the node reads the row: another
// version tells that one of its writes took effect and the row tells which;
// the same version tells that none did so far, and one may still. Until the
// version has moved on, the node stays within the smallest allowance that any
// of these writes may yet put into force.
//
// # Reserve, wait, settle
//
// Reserve admits the worst case of a request and Settle frees what was not
// used. When the share is too small, Reserve answers Waiting and the Book draws
// from the pool. When the pool is too small as well, it asks the holders named
// in the budget's row for what they don't need; they pass it on directly. The
// answer is Exhausted only when the pool and every holder were read twice
// without any movement between and all of them together can't pay. In every
// other case of failure it is OutOfReach, which is worth a retry.
//
// # Closing
//
// Closer closes the share rows of a dead incarnation. When the witness of the
// dead one has sealed its log, the log bounds what it used: no request can be
// dispatched any more. Tokens sent to peers are not in the log, so a share row
// also holds sendable, a bound on all tokens ever sent, written before they
// are, and received, a lower bound on all tokens received. Then
//
//	net <= used by the log + sendable - received
//
// holds for ever: used is fixed by the seal, sent never exceeds sendable and
// received never falls. The closer returns granted less that, where it is more
// than granted - allowance. Without sendable it would return tokens that a node
// which lives on, wrongly taken for dead, can still pass to others.
package escrow

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Part is the name under which the IDs of this package are routed.
const Part = "escrow"

const (
	// DefaultShards is how many share rows an incarnation spreads its budgets
	// over. All nodes of a fleet use the same number.
	DefaultShards = 8

	// DefaultBufferTime is how long a share should last at the present rate without
	// the table.
	DefaultBufferTime = 10 * time.Minute
)

// Option changes a Book.
type Option func(*Book)

// WithBufferTime sets how long a share should last without the table.
func WithBufferTime(buffer time.Duration) Option {
	return func(b *Book) {
		b.buffer = buffer
	}
}

// WithShards sets the number of share rows. It must be the same for the
// Closer of this Book.
func WithShards(shards int) Option {
	return func(b *Book) {
		b.shards = make([]shard, shards)
	}
}

// WithSeed sets the seed of back-offs and of the choice of peers.
func WithSeed(seed uint64) Option {
	return func(b *Book) {
		b.seed = seed
	}
}

// Kind is the kind of a Verdict.
type Kind int

// The kinds of verdicts.
const (
	// Granted means that the tokens are reserved.
	Granted Kind = iota

	// Waiting means that tokens are being fetched. A Resolved follows; then
	// Reserve is called again.
	Waiting

	// Exhausted means that the pool and all holders together can't pay.
	Exhausted

	// OutOfReach means that tokens can't be had now, and that they might be
	// later.
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

// ReasonTableUnreachable is the reason of a verdict that was reached without the table:
// the peers have too little, and the pool is out of reach.
const ReasonTableUnreachable = "table_away_peers_asked"

// Verdict answers Reserve.
type Verdict struct {
	// Kind tells what became of it.
	Kind Kind

	// RetryAfter is when to come back; it is set with OutOfReach only.
	RetryAfter time.Duration

	// Reason tells how the wait for tokens ended, in snake case; it is set with
	// Exhausted and OutOfReach.
	Reason string
}

// Resolved tells that requests waiting for a budget should Reserve again.
type Resolved struct {
	effect.IsAction

	// Budget is what they wait for.
	Budget waxwingwall.Budget
}

// Trade is a way in which a share changes other than by use.
type Trade string

// The trades.
const (
	// Drawn and Returned are between a share and the pool.
	Drawn    Trade = "drawn"
	Returned Trade = "returned"

	// Passed and Took are between a share and that of a peer.
	Passed Trade = "passed"
	Took   Trade = "took"
)

// Traded tells that a share has changed other than by use.
type Traded struct {
	effect.IsAction

	// Budget is the budget.
	Budget waxwingwall.Budget

	// Trade is how it changed, and Tokens by how much.
	Trade  Trade
	Tokens waxwingwall.Tokens

	// Peer is the other side; zero for the pool.
	Peer waxwingwall.Incarnation

	// Pool is what the budget's row had left, as of Version.
	Pool    waxwingwall.Tokens
	Version int64
}

// Fenced tells that a share row of this incarnation was closed by another.
// The Book refuses every later Reserve.
type Fenced struct {
	effect.IsAction
}

// Book holds the shares of one incarnation.
type Book struct {
	self   waxwingwall.Incarnation
	seed   uint64
	buffer time.Duration

	pacing *pacing

	peers []waxwingwall.Incarnation

	// listed are the nodes that are not known to be closed; nil if that isn't
	// known of any.
	openNodes []waxwingwall.Incarnation

	// What the Book holds: entries by budget, and by shard in order.
	entries map[waxwingwall.Budget]*entry
	shards  []shard

	// Calls, messages and the random numbers derived from the seed.
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
	counts    Counts
}

// New returns the Book of an incarnation that has written no share row yet.
func New(self waxwingwall.Incarnation, opts ...Option) *Book {
	b := &Book{
		self:    self,
		buffer:  DefaultBufferTime,
		pacing:  &wideShares,
		entries: map[waxwingwall.Budget]*entry{},
		shards:  make([]shard, DefaultShards),
	}
	for _, opt := range opts {
		opt(b)
	}
	for i := range b.shards {
		b.shards[i].key = ShareKey(self, i)
	}
	hash := fnv.New64a()
	hash.Write([]byte(self.String()))
	b.random = rand.New(rand.NewPCG(b.seed, hash.Sum64()))
	return b
}

// SetPeers sets whom to ask for shares when the holders of a budget are not
// known.
func (b *Book) SetPeers(peers []waxwingwall.Incarnation) {
	b.peers = slices.SortedFunc(slices.Values(peers), compare)
}

// SetOpenNodes tells which nodes are not known to be closed, this one included.
// Others are no longer asked, and leave the holders with the next draw.
func (b *Book) SetOpenNodes(nodes []waxwingwall.Incarnation) {
	b.openNodes = slices.SortedFunc(slices.Values(nodes), compare)
}

// holders returns the holders of a budget that are not known to be closed.
func (b *Book) holders(row BudgetRow) []waxwingwall.Incarnation {
	if b.openNodes == nil {
		return row.Holders
	}
	var open []waxwingwall.Incarnation
	for _, node := range row.Holders {
		if node == b.self || isHolder(b.openNodes, node) {
			open = append(open, node)
		}
	}
	return open
}

// Reserve takes the worst case of a request out of the share. It returns no
// actions: after a Waiting, Step soon, with a Tick if nothing else is at hand.
func (b *Book) Reserve(now time.Time, budget waxwingwall.Budget, worst waxwingwall.Tokens) Verdict {
	b.now = now
	if b.fenced || b.draining {
		return b.outOfReach("closing")
	}
	e := b.entry(budget)
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
		return b.outOfReach(e.cached.reason)
	}
	e.addWaiter(now, worst, b.pacing.waitTimeout)
	b.counts.Waiting++
	return Verdict{
		Kind: Waiting,
	}
}

// Settle ends a reservation: actual tokens were used and the rest is free
// again. An actual above reserved is counted as reserved: more than was
// reserved is never let go.
func (b *Book) Settle(now time.Time, budget waxwingwall.Budget, reserved, actual waxwingwall.Tokens) {
	b.now = now
	e := b.entry(budget)
	actual = min(actual, reserved)
	e.reserved -= reserved
	e.settled += actual
	e.lastActive = now
	e.demand.observe(now, reserved, actual)
}

// Step handles an event and returns what is to be done.
func (b *Book) Step(now time.Time, ev effect.Event) []effect.Action {
	b.now = now
	switch ev := ev.(type) {
	case effect.Tick:
		b.tick()
	case effect.Transacted:
		b.transacted(ev)
	case effect.Rows:
		b.rows(ev)
	case effect.Received:
		b.received(ev)
	}
	actions := b.actions
	b.actions = nil
	return actions
}

// Retire prepares a graceful stop: requests are still paid for, but what none of
// them needs goes back to the pool, or to a peer while the table is out of
// reach.
func (b *Book) Retire(now time.Time) {
	b.now = now
	b.retiring = true
}

// Drain begins a graceful stop: nothing more is reserved, and every share goes
// back to the pool once its reservations have settled.
func (b *Book) Drain(now time.Time) {
	b.now = now
	b.draining = true
	for i := range b.shards {
		for _, e := range b.shards[i].entries {
			e.dropOwed()
		}
	}
}

// Draining reports whether a graceful stop has begun.
func (b *Book) Draining() bool {
	return b.draining
}

// Drained reports whether every share is back in the pool, or the Book was
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

// later returns the verdict that asks to come back.
func (b *Book) outOfReach(reason string) Verdict {
	return Verdict{
		Kind:       OutOfReach,
		Reason:     reason,
		RetryAfter: minRetryAfter + b.jitter(minRetryAfter),
	}
}

// entry returns the entry of a budget, made when needed.
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
	}
	b.entries[budget] = e
	b.shards[e.shard].add(e)
	return e
}

// traded tells of a change of a share.
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

// do adds an action to the output of this step.
func (b *Book) emit(action effect.Action) {
	b.actions = append(b.actions, action)
}

// id returns a fresh ID.
func (b *Book) id() effect.ID {
	b.callCount++
	return effect.ID{
		Part: Part,
		N:    b.callCount,
	}
}
