package escrow

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// After the table came back from a copy, it lacks the latest writes of all nodes: a pool
// seems to hold tokens that nodes have drawn, and the versions of rows are given out
// again. Each node then writes its share rows anew, and adds to each budget's row what
// it had drawn since the copy. Its peers do so for a node that has died, by its notices
// (GrantNotice, Restorer). Until all nodes have done so (Resume), none draws from a pool;
// each spends what it holds, and nodes pass tokens to each other as in an outage.

// grantLogTime is how long a node remembers what it drew: the longest age of a copy.
const grantLogTime = 2 * time.Minute

// grant is the change of one grant by the write seq of a share row.
type grant struct {
	entry  *entry
	seq    uint64
	tokens waxwingwall.Tokens
	at     time.Time
}

// recordGrant records a change of a grant in the log of its shard.
func (b *Book) recordGrant(s *shard, e *entry, seq uint64, tokens waxwingwall.Tokens) {
	if tokens == 0 {
		return
	}
	old := 0
	for old < len(s.grants) && b.now.Sub(s.grants[old].at) > grantLogTime {
		old++
	}
	s.grants = append(s.grants[old:], grant{
		entry:  e,
		seq:    seq,
		tokens: tokens,
		at:     b.now,
	})
}

// restored handles the return of the table from a copy.
func (b *Book) restored(ev effect.Restored) {
	b.minVersion = ev.MinVersion
	b.frozen = true
	for i := range b.shards {
		s := &b.shards[i]
		if s.pendingCall != 0 {
			b.lost(s)
		}
		s.restoring = true
		s.mustRead = true
		s.failures = 0
		s.retryAt = b.now
		for _, e := range s.entries {
			e.pool.known = false
			e.assumeReturned()
		}
	}
}

// assumeReturned takes a return of tokens without an answer for done: before the table
// lost it, others may have drawn what was returned.
func (e *entry) assumeReturned() {
	if !e.lostWrites.set || e.lostWrites.allowance >= e.row.Allowance {
		return
	}
	tokens := e.row.Allowance - e.lostWrites.allowance
	e.row.Allowance -= tokens
	e.row.Granted -= tokens
	e.lostGrant -= tokens
	e.assumedReturn += tokens
}

// forgetReturned undoes assumeReturned: the table did not lose the write.
func (e *entry) forgetReturned() {
	e.row.Allowance += e.assumedReturn
	e.row.Granted += e.assumedReturn
	e.lostGrant += e.assumedReturn
	e.assumedReturn = 0
}

// Restoring reports whether share rows are still to be written anew after the table came
// back from a copy.
func (b *Book) Restoring() bool {
	for i := range b.shards {
		if b.shards[i].restoring && !b.shards[i].closed {
			return true
		}
	}
	return false
}

// Resume permits draws again: all nodes have written their shares anew.
func (b *Book) Resume() {
	b.frozen = false
}

// keysToRestore returns the rows that are needed to write a share row anew.
func (s *shard) keysToRestore() []string {
	keys := []string{s.key}
	for _, e := range s.entries {
		if e.row.Granted != 0 || e.pool.version != 0 {
			keys = append(keys, BudgetKey(e.row.Budget))
		}
	}
	return keys
}

// readRestored handles the share row of a shard that is to be written anew. The row may
// also be newer than the last acknowledged one, by a write that had no answer.
func (b *Book) readRestored(s *shard, content ShareRow) {
	s.closing = false
	if s.restoreSeq != 0 && content.Seq >= s.restoreSeq {
		for _, e := range s.entries {
			b.recordGrant(s, e, content.Seq, e.lostGrant)
			e.lostGrant = 0
			e.assumedReturn = 0
		}
		s.restoreSeq = 0
	}
	if content.Seq > s.ackedSeq {
		for _, e := range s.entries {
			e.forgetReturned()
		}
		b.adopt(s, content)
	} else {
		s.loseGrants(content.Seq)
	}
	s.restoring = content.Seq < s.ackedSeq || slices.ContainsFunc(s.entries, func(e *entry) bool { return e.lostGrant != 0 })
}

// writeRestored writes a share row anew, if it has content.
func (b *Book) writeRestored(i int) {
	s := &b.shards[i]
	changes, ok := b.planRestore(s)
	switch {
	case !ok:
		s.mustRead = true
		b.write(i)
	case len(changes) == 0:
		s.restoring = false
	default:
		if s.restoreSeq == 0 {
			s.restoreSeq = s.seq + 1
		}
		b.transact(s, changes, false)
	}
}

// loseGrants adds the grants of the writes that the table has lost, those after stored, to
// those that are still to be added to the budgets' rows.
func (s *shard) loseGrants(stored uint64) {
	kept := s.grants[:0]
	for _, g := range s.grants {
		if g.seq <= stored {
			kept = append(kept, g)
			continue
		}
		g.entry.lostGrant += g.tokens
	}
	s.grants = kept
}

// planRestore returns the changes that write a share row anew: each entry as it was,
// and the lost grants of the budgets. It returns false if a budget's row is not known.
func (b *Book) planRestore(s *shard) ([]change, bool) {
	var changes []change
	for _, e := range s.entries {
		if e.row.Granted == 0 && e.row.Allowance == 0 && len(e.row.Receipts) == 0 && e.lostGrant == 0 {
			continue
		}
		c := change{
			entry: e,
			row:   e.row,
		}
		if e.lostGrant != 0 {
			if !e.pool.known {
				return nil, false
			}
			c.writesPool = true
			c.pool = e.pool.row
			c.pool.Granted += max(e.lostGrant, 0)
			c.pool.Returned += max(-e.lostGrant, 0)
			c.pool.Holders = withHolder(b.holders(c.pool), b.self)
		}
		changes = append(changes, c)
	}
	return changes, true
}
