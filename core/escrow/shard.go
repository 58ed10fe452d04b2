package escrow

import (
	"sort"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// callTimeout is the time after which a call without an answer counts as
	// lost.
	callTimeout = 10 * time.Second

	// minBackoff is the backoff after a lost answer. It doubles with each
	// consecutive failure, up to the maxBackoff of its pacing for a Book and to
	// defaultMaxBackoff for a Closer. With jitter, the delay is 0.5 to 1.5 times
	// the backoff for a Book and 0.5 to 1 times for a Closer.
	// conflictBackoff is the unit of the backoff after conflicts. The backoff
	// window of a Book starts at a quarter of it for each holder of the budget,
	// doubles with each of the first four failures and never exceeds
	// maxConflictBackoff. With at most immediateRetryHolders, the first retry
	// is immediate.
	minBackoff            = 100 * time.Millisecond
	defaultMaxBackoff     = 5 * time.Second
	conflictBackoff       = 5 * time.Millisecond
	maxConflictBackoff    = 1000 * time.Millisecond
	immediateRetryHolders = 8

	// maxBudgetWrites is the maximum number of budget rows in one transaction.
	maxBudgetWrites = 8
)

// shard is one share row and the state machine that writes it.
type shard struct {
	key   string
	index int

	// entries are in the order of their budgets.
	entries []*entry

	// version is the last known version of the row; seq counts the writes, ackedSeq is
	// the seq of the last one that is known to be applied.
	version  int64
	seq      uint64
	ackedSeq uint64

	// The call in flight; pendingCall is zero if there is none.
	pendingCall uint64
	calledAt    time.Time
	changes     []change

	// mustRead is set if the row must be read before the next write. No call is
	// made before retryAt; failures counts the consecutive failed calls, and contended is set
	// if the last of them was a conflict.
	mustRead  bool
	retryAt   time.Time
	failures  int
	contended bool

	// noticed is the seq of the last write that peers were notified of.
	noticed uint64

	// nextEntry is the index of the entry with which the next write begins.
	nextEntry int

	// grants are the latest changes of grants, in order. restoring is set from the
	// return of the table from a copy until the row is written anew.
	// restoreSeq is the seq of the first write that does so, zero before.
	grants     []grant
	restoring  bool
	restoreSeq uint64

	// keepers are those of the last known row, nextKeepers those of the write in flight and
	// lostKeepers those of the writes with an unknown result. Before keepersHold they
	// are not changed without need; before keepersCheck that is not checked.
	keepers, nextKeepers      []waxwingwall.Incarnation
	lostKeepers               [][]waxwingwall.Incarnation
	keepersHold, keepersCheck time.Time

	// closing is set while the tombstone is being written, closed permanently
	// once it is. While noReceive is set no tokens are accepted: the tombstone
	// may be in force and would not record them.
	closing, closed, noReceive bool

	// clocked is set if the last write has lines and a clock, and clockedAt is when the last
	// such write with an answer was sent.
	clocked   bool
	clockedAt time.Time
}

// change is the part of a write that concerns one budget.
type change struct {
	entry *entry
	row   ShareEntry

	// pool is the budget row to write if writesPool is set.
	writesPool bool
	pool       BudgetRow
}

// add inserts an entry in order.
func (s *shard) add(e *entry) {
	at := sort.Search(len(s.entries), func(i int) bool {
		return s.entries[i].row.Budget >= e.row.Budget
	})
	s.entries = append(s.entries, nil)
	copy(s.entries[at+1:], s.entries[at:])
	s.entries[at] = e
}

// tick handles timeouts and advances all shards.
func (b *Book) tick() {
	for i := range b.shards {
		s := &b.shards[i]
		if s.pendingCall != 0 && b.now.Sub(s.calledAt) >= callTimeout {
			b.lost(s)
		}
		for _, e := range s.entries {
			b.resendAll(e)
			b.donateSpare(e)
		}
		b.advanceShard(i)
	}
}

// advanceShard advances the waits and writes of a shard after a change.
func (b *Book) advanceShard(i int) {
	b.limitStoredLines(&b.shards[i])
	b.sendMarks(&b.shards[i])
	for _, e := range b.shards[i].entries {
		b.sendPending(e)
		b.advance(e)
	}
	b.write(i)
	b.sendMarks(&b.shards[i])
}

// write begins the next read or write of a shard, if one is due.
func (b *Book) write(i int) {
	s := &b.shards[i]
	if s.pendingCall != 0 || s.closed || b.fenced {
		return
	}
	// Other nodes may change the budgets' rows all the time, so marks don't wait for them.
	overdue := s.failures > 0 && !s.restoring && b.now.Sub(s.clockedAt) >= clockInterval && b.marksDue(s)
	if b.now.Before(s.retryAt) && !overdue {
		return
	}
	if b.read(s) {
		return
	}
	if overdue {
		b.transact(s, nil, false)
		return
	}
	if s.restoring {
		b.writeRestored(i)
		return
	}
	changes := b.plan(s)
	switch {
	case len(changes) > 0 || b.keepersDue(s) || b.marksDue(s):
		b.transact(s, changes, false)
	case b.draining && s.idle():
		b.closeShard(s)
	}
}

// read reads the rows that are needed first, and reports whether there are any.
func (b *Book) read(s *shard) bool {
	var keys []string
	if s.mustRead {
		keys = append(keys, s.key)
	}
	if s.restoring {
		if !s.mustRead {
			return false
		}
		keys = s.keysToRestore()
	}
	for _, e := range s.entries {
		if !s.restoring && b.needsPoolRead(e) {
			keys = append(keys, BudgetKey(e.row.Budget))
			e.wait.poolReadCall = b.callCount + 1
		}
	}
	for _, e := range s.entries {
		if !s.restoring {
			keys = append(keys, b.keysToCheck(e)...)
		}
	}
	if len(keys) == 0 {
		return false
	}
	id := b.id()
	s.pendingCall = id.N
	s.calledAt = b.now
	b.counts.Reads += len(keys)
	b.emit(effect.Read{
		ID:   id,
		Keys: keys,
	})
	return true
}

// needsPoolRead reports whether the budget's row must be read.
func (b *Book) needsPoolRead(e *entry) bool {
	if b.draining || e.idle(b.now) {
		return !e.pool.known && e.reserved == 0 && e.spare() > 0
	}
	if !e.pool.known && e.drawing() > 0 {
		return true
	}
	w := &e.wait
	switch {
	case !w.open:
		return !e.pool.known && b.wantsPrefetch(e) || b.needsRefresh(e)
	case e.spare() >= w.smallest:
		return false
	case !e.pool.known:
		return true
	case w.poolRead || b.now.Before(w.nextRound):
		return false
	}
	return e.spare()+e.pool.row.Pool() < w.smallest
}

// wantsPrefetch reports whether the pool is needed although no request waits.
func (b *Book) wantsPrefetch(e *entry) bool {
	if e.received > 0 && e.spare() > 0 {
		return true
	}
	if b.needsDeregistration(e) {
		return true
	}
	if b.pacing.evenShares {
		eligible := !e.lastActive.IsZero() || len(b.entries) <= evenPrefetchBudgets && !b.largeFleet()
		draws := !b.now.Before(e.holdUntil) && b.belowTarget(e)
		return eligible && !b.now.Before(e.quietUntil) && (draws || !b.now.Before(e.returnAfter) && b.surplus(e) > 0)
	}
	return e.exists() && !b.now.Before(e.quietUntil) && e.spare() < e.demand.buffer(b.now, b.buffer)
}

// transact writes the share row with the given changes.
func (b *Book) transact(s *shard, changes []change, closing bool) {
	s.seq++
	row := ShareRow{
		Seq:    s.seq,
		Closed: closing,
	}
	if closing {
		row.ClosedBy = b.self
		s.noReceive = true
	}
	changes = b.planKeepers(s, changes, closing)
	if len(s.nextKeepers) > 0 {
		row.Keepers = s.nextKeepers
		row.Answers = answersToClose(len(s.nextKeepers))
	}
	rows := make(map[*entry]ShareEntry, len(changes))
	writes := make([]waxwingwall.Write, 1, 1+len(changes))
	for _, c := range changes {
		rows[c.entry] = c.row
		c.entry.inFlight.merge(bound{
			set:       true,
			allowance: c.row.Allowance,
			granted:   c.row.Granted,
			kept:      c.row.Kept,
		})
		if c.writesPool {
			writes = append(writes, waxwingwall.Write{
				Key:    BudgetKey(c.row.Budget),
				Expect: c.entry.pool.version,
				Value:  Encode(c.pool),
			})
		}
	}
	for _, e := range s.entries {
		if next, changed := rows[e]; changed {
			row.Entries = append(row.Entries, next)
		} else if !e.droppable() {
			next = e.row
			next.Kept = next.Kept && !closing
			row.Entries = append(row.Entries, next)
		}
	}
	b.markRow(s, &row)
	writes[0] = waxwingwall.Write{
		Key:    s.key,
		Expect: s.version,
		Value:  Encode(row),
	}
	id := b.id()
	s.pendingCall = id.N
	s.calledAt = b.now
	s.changes = changes
	s.closing = closing
	b.limitMarks(s)
	b.counts.write(writes)
	b.emit(effect.Transact{
		ID:     id,
		Writes: writes,
	})
}

// droppable reports whether an entry can be omitted from a row that leaves it
// unchanged: there is nothing to return, with or without a sealed log. A
// changed entry is always written, so that the row shows the change when it is
// read back.
func (e *entry) droppable() bool {
	return e.received == 0 && e.row.Granted == e.row.Allowance && e.row.Granted == e.settled+e.sent
}

// idle reports whether no tokens of the shard are in use or in flight, and the
// row records all that was received.
func (s *shard) idle() bool {
	for _, e := range s.entries {
		if e.reserved != 0 || e.spare() != 0 || e.unacked() != 0 || e.row.Received() != e.received {
			return false
		}
	}
	return true
}

// closeShard writes the tombstone of a drained shard.
func (b *Book) closeShard(s *shard) {
	if len(s.entries) == 0 {
		s.closed = true
		return
	}
	b.transact(s, nil, true)
}

// shardOfCall returns the index of the shard that waits for an answer, or -1.
func (b *Book) shardOfCall(id effect.ID) int {
	for i := range b.shards {
		if id.Part == Part && id.N != 0 && b.shards[i].pendingCall == id.N {
			return i
		}
	}
	return -1
}

// transacted handles the result of a write.
func (b *Book) transacted(ev effect.Transacted) {
	i := b.shardOfCall(ev.ID)
	if i < 0 {
		return
	}
	s := &b.shards[i]
	switch ev.Result {
	case effect.Done:
		if ev.Versions[0] < b.minVersion {
			b.lost(s)
			break
		}
		b.done(s, ev.Versions)
	case effect.Conflict:
		b.conflict(s)
	case effect.Lost:
		b.lost(s)
	}
	b.advanceShard(i)
}

// done records the written content as acknowledged.
func (b *Book) done(s *shard, versions []int64) {
	b.tableDown = false
	s.pendingCall = 0
	if len(s.changes) > 0 || !s.contended {
		s.failures = 0
	}
	s.version = versions[0]
	if s.clocked {
		s.clockedAt = s.calledAt
	}
	s.closed = s.closing
	s.ackedSeq = s.seq
	s.restoring = false
	s.restoreSeq = 0
	at := 1
	var notice []GrantChange
	relisted := b.relist(s, s.nextKeepers)
	for _, c := range s.changes {
		e := c.entry
		drawn := c.row.Granted - e.row.Granted
		b.recordGrant(s, e, s.seq, drawn+e.lostGrant)
		if drawn != 0 || e.row.Kept && (relisted || !c.row.Kept) {
			notice = append(notice, GrantChange{
				Budget: c.row.Budget,
				Tokens: drawn,
			})
		}
		e.lostGrant = 0
		e.assumedReturn = 0
		if drawn != 0 {
			e.moves++
			e.holdUntil = b.now.Add(b.pacing.minDrawInterval + b.jitter(b.pacing.minDrawInterval))
			e.returnAfter = e.holdUntil
		}
		e.row = c.row
		if c.writesPool {
			e.pool = pool{
				known:   true,
				version: versions[at],
				row:     c.pool,
				at:      b.now,
			}
			at++
		}
		switch {
		case drawn > 0:
			b.emitTraded(e, Drawn, drawn, waxwingwall.Incarnation{})
		case drawn < 0:
			b.emitTraded(e, Returned, -drawn, waxwingwall.Incarnation{})
		}
	}
	s.changes = nil
	b.clearBounds(s)
	b.notifyPeers(s, s.seq, notice)
}

// clearBounds drops the bounds of earlier writes: the row's version has
// changed, so none of them can be applied any more.
func (b *Book) clearBounds(s *shard) {
	for _, e := range s.entries {
		e.inFlight = bound{}
		e.lostWrites = bound{}
	}
	s.nextKeepers = nil
	s.lostKeepers = nil
	b.keepStored(s, func(seq uint64) bool { return seq == s.ackedSeq })
	b.limitMarks(s)
}

// conflict handles a write that was not applied and never will be.
func (b *Book) conflict(s *shard) {
	b.tableDown = false
	s.contended = true
	b.counts.Conflicts++
	s.pendingCall = 0
	s.mustRead = true
	s.closing = false
	holders := 0
	for _, c := range s.changes {
		c.entry.inFlight = bound{}
		c.entry.pool.known = false
		holders = max(holders, len(c.entry.pool.row.Holders))
	}
	window := min(conflictBackoff*time.Duration(holders)<<min(s.failures, 4)/4, maxConflictBackoff)
	if s.failures > 0 || holders > immediateRetryHolders {
		s.retryAt = b.now.Add(b.jitter(window))
	}
	for _, c := range s.changes {
		c.entry.holdUntil = b.now.Add(window + b.jitter(4*window))
		c.entry.returnAfter = b.now.Add(b.jitter(2 * window))
	}
	s.changes = nil
	s.nextKeepers = nil
	b.keepStored(s, func(seq uint64) bool { return seq != s.seq })
	b.limitMarks(s)
	s.failures++
}

// jitter returns a random duration within a window.
func (b *Book) jitter(window time.Duration) time.Duration {
	return time.Duration(b.random.Int64N(int64(max(window, 1))))
}

// lost handles a call whose result is unknown.
func (b *Book) lost(s *shard) {
	b.tableDown = true
	s.contended = false
	b.counts.Lost++
	s.pendingCall = 0
	s.mustRead = true
	for _, c := range s.changes {
		c.entry.lostWrites.merge(c.entry.inFlight)
		c.entry.inFlight = bound{}
		c.entry.pool.known = false
	}
	if s.nextKeepers != nil {
		s.lostKeepers = append(s.lostKeepers, s.nextKeepers)
		s.nextKeepers = nil
	}
	s.changes = nil
	b.limitMarks(s)
	wait := min(minBackoff<<min(s.failures, 8), b.pacing.maxBackoff)
	s.retryAt = b.now.Add(wait/2 + b.jitter(wait))
	s.failures++
}

// rows handles the rows that a shard requested.
func (b *Book) rows(ev effect.Rows) {
	i := b.shardOfCall(ev.ID)
	if i < 0 {
		return
	}
	s := &b.shards[i]
	if ev.Result != effect.Done {
		b.lost(s)
		b.advanceShard(i)
		return
	}
	b.tableDown = false
	s.pendingCall = 0
	for _, row := range ev.Rows {
		if row.Key == s.key {
			b.applyShareRow(s, row)
		}
	}
	for _, e := range s.entries {
		if e.wait.poolReadCall == ev.ID.N {
			e.wait.poolRead = true
		}
	}
	for _, row := range ev.Rows {
		b.applyBudgetRow(row)
		b.reclaim(s, row)
	}
	b.advanceShard(i)
}

// applyBudgetRow updates the pool from a budget's row.
func (b *Book) applyBudgetRow(row waxwingwall.Row) {
	budget, found := strings.CutPrefix(row.Key, BudgetKey(""))
	if !found {
		return
	}
	e := b.entry(waxwingwall.Budget(budget))
	content, err := Decode[BudgetRow](row)
	if err != nil {
		b.counts.Unreadable++
		return
	}
	e.pool = pool{
		known:   true,
		version: row.Version,
		row:     e.withFunding(content),
		at:      b.now,
	}
	e.clearUnlisted()
	e.limitDrawing()
}

// applyShareRow adopts a share row that was read as the acknowledged one.
func (b *Book) applyShareRow(s *shard, row waxwingwall.Row) {
	content, err := Decode[ShareRow](row)
	if err != nil {
		b.counts.Unreadable++
		return
	}
	s.mustRead = false
	if row.Version == s.version {
		s.closing = false
		return
	}
	s.version = row.Version
	if content.Closed {
		s.closed = true
		if content.ClosedBy != b.self {
			b.fence()
			return
		}
	}
	if s.restoring {
		b.readRestored(s, content)
		return
	}
	b.adopt(s, content)
}

// adopt takes the content of a share row that one of this node's writes has set.
func (b *Book) adopt(s *shard, content ShareRow) {
	s.ackedSeq = content.Seq
	var notice []GrantChange
	relisted := b.relist(s, content.Keepers)
	for _, e := range s.entries {
		if next, ok := content.Find(e.row.Budget); ok {
			drawn := next.Granted - e.row.Granted
			b.recordGrant(s, e, content.Seq, drawn)
			if drawn != 0 {
				e.moves++
			}
			if drawn != 0 || e.row.Kept && (relisted || !next.Kept) {
				notice = append(notice, GrantChange{
					Budget: e.row.Budget,
					Tokens: drawn,
				})
			}
			e.row = next
		}
	}
	b.clearBounds(s)
	b.notifyPeers(s, content.Seq, notice)
}

// fence stops all reservations and ends all waits.
func (b *Book) fence() {
	if b.fenced {
		return
	}
	b.fenced = true
	b.emit(Fenced{})
	for i := range b.shards {
		for _, e := range b.shards[i].entries {
			b.advance(e)
		}
	}
}
