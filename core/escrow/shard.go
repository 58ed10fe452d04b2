package escrow

import (
	"sort"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// callTimeout is when an answer that never came counts as lost.
	callTimeout = 10 * time.Second

	// backoffFirst and backoffLast bound the wait after lost answers;
	// conflictBackoff is the unit of that after conflicts, for each other node
	// that draws on the budget. With fewRivals or less, the first retry is made
	// at once; no wait exceeds conflictLast.
	minBackoff            = 100 * time.Millisecond
	maxBackoff            = 5 * time.Second
	conflictBackoff       = 5 * time.Millisecond
	maxConflictBackoff    = 1000 * time.Millisecond
	immediateRetryHolders = 8

	// maxBudgets is how many budget rows one transaction writes at most.
	maxBudgetWrites = 8
)

// shard is one share row and the machine that writes it.
type shard struct {
	key string

	// entries are in the order of their budgets.
	entries []*entry

	// version is that of the row as last known; seq counts the writes.
	version int64
	seq     uint64

	// The call under way; call is zero when there is none.
	pendingCall uint64
	calledAt    time.Time
	changes     []change

	// suspect is set when the row has to be read before the next write.
	suspect  bool
	retryAt  time.Time
	failures int

	// next is the entry that the next write begins with.
	nextEntry int

	// closing is set while the tombstone is being written, closed for ever
	// once it was. Nothing is received any more once full is set: the tombstone
	// may be in force and could not tell of it.
	closing, closed, noReceive bool
}

// change is one budget's part of a write.
type change struct {
	entry *entry
	row   ShareEntry

	// pool is the budget row to be written, when budget is set.
	writesPool bool
	pool       BudgetRow
}

// add puts an entry into its place.
func (s *shard) add(e *entry) {
	at := sort.Search(len(s.entries), func(i int) bool {
		return s.entries[i].row.Budget >= e.row.Budget
	})
	s.entries = append(s.entries, nil)
	copy(s.entries[at+1:], s.entries[at:])
	s.entries[at] = e
}

// tick moves everything on.
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

// settleShard moves a shard on after a change.
func (b *Book) advanceShard(i int) {
	for _, e := range b.shards[i].entries {
		b.sendOwed(e)
		b.advance(e)
	}
	b.write(i)
}

// write begins the next read or write of a shard, if one is due.
func (b *Book) write(i int) {
	s := &b.shards[i]
	if s.pendingCall != 0 || s.closed || b.fenced || b.now.Before(s.retryAt) {
		return
	}
	if b.read(s) {
		return
	}
	changes := b.plan(s)
	switch {
	case len(changes) > 0:
		b.transact(s, changes, false)
	case b.draining && s.idle():
		b.closeShard(s)
	}
}

// read reads the rows that have to be known first, and reports whether there
// are any.
func (b *Book) read(s *shard) bool {
	var keys []string
	if s.suspect {
		keys = append(keys, s.key)
	}
	for _, e := range s.entries {
		if b.needsPoolRead(e) {
			keys = append(keys, BudgetKey(e.row.Budget))
			e.wait.poolReadCall = b.callCount + 1
		}
	}
	for _, e := range s.entries {
		keys = append(keys, b.keysToCheck(e)...)
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

// wantsPool reports whether the budget's row has to be read.
func (b *Book) needsPoolRead(e *entry) bool {
	if b.draining || e.idle(b.now) {
		return !e.pool.known && e.reserved == 0 && e.spare() > 0
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

// wantsInAdvance reports whether the pool is of use although nobody waits.
func (b *Book) wantsPrefetch(e *entry) bool {
	if e.received > 0 && e.spare() > 0 {
		return true
	}
	if b.pacing.evenShares {
		eligible := !e.lastActive.IsZero() || len(b.entries) <= evenEagerBudgets && !b.largeFleet()
		return eligible && !b.now.Before(e.quietUntil) && !b.now.Before(e.holdUntil) && (b.belowTarget(e) || b.surplus(e) > 0)
	}
	return e.exists() && !b.now.Before(e.quietUntil) && e.spare() < e.demand.buffer(b.now, b.buffer)
}

// transact writes the share row with the changes given.
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
	rows := make(map[*entry]ShareEntry, len(changes))
	writes := make([]waxwingwall.Write, 1, 1+len(changes))
	for _, c := range changes {
		rows[c.entry] = c.row
		c.entry.inFlight.merge(bound{
			set:       true,
			allowance: c.row.Allowance,
			granted:   c.row.Granted,
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
			row.Entries = append(row.Entries, e.row)
		}
	}
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
	b.counts.write(writes)
	b.emit(effect.Transact{
		ID:     id,
		Writes: writes,
	})
}

// droppable reports whether an entry needs no place in a row that leaves it
// unchanged: there is nothing to return, now or by a sealed log. A changed
// entry always has its place, so that a row read back tells of the change.
func (e *entry) droppable() bool {
	return e.received == 0 && e.row.Granted == e.row.Allowance && e.row.Granted == e.settled+e.sent
}

// idle reports whether nothing of the shard is in use or on its way, and the
// row tells all that was received.
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

// shardOfCall returns the shard that waits for an answer, or -1.
func (b *Book) shardOfCall(id effect.ID) int {
	for i := range b.shards {
		if id.Part == Part && id.N != 0 && b.shards[i].pendingCall == id.N {
			return i
		}
	}
	return -1
}

// transacted takes in the result of a write.
func (b *Book) transacted(ev effect.Transacted) {
	i := b.shardOfCall(ev.ID)
	if i < 0 {
		return
	}
	s := &b.shards[i]
	switch ev.Result {
	case effect.Done:
		b.done(s, ev.Versions)
	case effect.Conflict:
		b.conflict(s)
	case effect.Lost:
		b.lost(s)
	}
	b.advanceShard(i)
}

// done makes the written content the acknowledged one.
func (b *Book) done(s *shard, versions []int64) {
	b.tableDown = false
	s.pendingCall = 0
	s.failures = 0
	s.version = versions[0]
	s.closed = s.closing
	at := 1
	for _, c := range s.changes {
		e := c.entry
		drawn := c.row.Granted - e.row.Granted
		if drawn != 0 {
			e.moves++
			e.holdUntil = b.now.Add(b.pacing.minDrawInterval + b.jitter(b.pacing.minDrawInterval))
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
	s.clear()
}

// clear forgets what lost writes might put into force: the row's version has
// moved on, so none of them can.
func (s *shard) clear() {
	for _, e := range s.entries {
		e.inFlight = bound{}
		e.lostWrites = bound{}
	}
}

// conflict takes in that a write did not take effect and never will.
func (b *Book) conflict(s *shard) {
	b.tableDown = false
	b.counts.Conflicts++
	s.pendingCall = 0
	s.suspect = true
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
	}
	s.changes = nil
	s.failures++
}

// jitter returns a random part of a window.
func (b *Book) jitter(window time.Duration) time.Duration {
	return time.Duration(b.random.Int64N(int64(max(window, 1))))
}

// lost takes in that the result of a call is not known.
func (b *Book) lost(s *shard) {
	b.tableDown = true
	b.counts.Lost++
	s.pendingCall = 0
	s.suspect = true
	for _, c := range s.changes {
		c.entry.lostWrites.merge(c.entry.inFlight)
		c.entry.inFlight = bound{}
		c.entry.pool.known = false
	}
	s.changes = nil
	wait := min(minBackoff<<min(s.failures, 8), b.pacing.maxBackoff)
	s.retryAt = b.now.Add(wait/2 + b.jitter(wait))
	s.failures++
}

// rows takes in the rows that a shard asked for.
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

// learn takes in a budget's row.
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
}

// adopt makes the share row that was read the acknowledged one.
func (b *Book) applyShareRow(s *shard, row waxwingwall.Row) {
	content, err := Decode[ShareRow](row)
	if err != nil {
		b.counts.Unreadable++
		return
	}
	s.suspect = false
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
	for _, e := range s.entries {
		if next, ok := content.Find(e.row.Budget); ok {
			if next.Granted != e.row.Granted {
				e.moves++
			}
			e.row = next
		}
	}
	s.clear()
}

// fence ends all reserving.
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
