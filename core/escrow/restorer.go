package escrow

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Restorer rewrites the share rows of a node that can't do so itself, after the table came
// back from a copy: it adds the draws and returns of which there are notices and that
// the row, by its Seq, does not have. The budgets' rows change in the same transaction, so
// any number of Restorers may work on one node, also while it is live. Rows that are closed
// are handled like others, as they may have been closed by what the copy had.
//
// A Restorer whose notices have a gap waits for others to fill it, since the row's Seq would
// hide from them what they still have to add. After gapTimeout it goes on without.
//
// It is stepped like a Closer, but starts after a random delay, as all peers of a dead node
// do the same work.
type Restorer struct {
	// Node is the node whose rows are restored.
	Node waxwingwall.Incarnation

	// Restored is the number of tokens that this Restorer knows to have added to the
	// grants, less what was returned.
	Restored waxwingwall.Tokens

	// notices are those that were not found in the rows yet, in order; batch are those
	// of the transaction that is being prepared.
	notices []GrantNotice
	batch   []GrantNotice

	share       waxwingwall.Row
	content     ShareRow
	jitter      func(time.Duration) time.Duration
	startedAt   time.Time
	pendingCall uint64
	callCount   uint64
	calledAt    time.Time
	retryAt     time.Time
	failures    int
	actions     []effect.Action
}

const (
	// restorerStagger is the longest delay before a Restorer's first call.
	restorerStagger = 100 * time.Millisecond

	// gapTimeout is how long a Restorer waits for others to fill a gap, and gapInterval
	// the interval at which it reads the row meanwhile.
	gapTimeout  = time.Second
	gapInterval = 100 * time.Millisecond
)

// NewRestorer returns the Restorer of a node. jitter returns a random duration below its
// argument.
func NewRestorer(node waxwingwall.Incarnation, notices *Notices, jitter func(time.Duration) time.Duration) *Restorer {
	return &Restorer{
		Node:    node,
		notices: notices.of(node),
		jitter:  jitter,
	}
}

// Part returns the ID.Part of this Restorer's actions.
func (r *Restorer) Part() string {
	return Part + "/restore/" + r.Node.String()
}

// Done reports whether the node's rows have all that there are notices of.
func (r *Restorer) Done() bool {
	return len(r.notices) == 0
}

// Step handles an event and returns the resulting actions.
func (r *Restorer) Step(now time.Time, ev effect.Event) []effect.Action {
	r.actions = nil
	switch ev := ev.(type) {
	case effect.Tick:
		r.tick(now)
	case effect.Rows:
		if r.answered(ev.ID) {
			r.rows(now, ev)
		}
	case effect.Transacted:
		if r.answered(ev.ID) {
			r.transacted(now, ev)
		}
	}
	return r.actions
}

func (r *Restorer) tick(now time.Time) {
	if r.startedAt.IsZero() {
		r.startedAt = now
		r.retryAt = now.Add(r.jitter(restorerStagger))
	}
	if r.pendingCall != 0 && now.Sub(r.calledAt) >= callTimeout {
		r.pendingCall = 0
		r.backOff(now)
	}
	if r.Done() || r.pendingCall != 0 || now.Before(r.retryAt) {
		return
	}
	r.readShare(now)
}

// answered reports whether an answer is expected, and clears the pending call.
func (r *Restorer) answered(id effect.ID) bool {
	if r.pendingCall == 0 || id.N != r.pendingCall || id.Part != r.Part() {
		return false
	}
	r.pendingCall = 0
	return true
}

func (r *Restorer) beginCall(now time.Time) effect.ID {
	r.callCount++
	r.pendingCall = r.callCount
	r.calledAt = now
	return effect.ID{
		Part: r.Part(),
		N:    r.callCount,
	}
}

// backOff restarts with the share row after a delay.
func (r *Restorer) backOff(now time.Time) {
	r.batch = nil
	wait := min(minBackoff<<min(r.failures, 8), defaultMaxBackoff)
	r.failures++
	r.retryAt = now.Add(wait/2 + r.jitter(wait/2))
}

// readShare reads the row of the first notice.
func (r *Restorer) readShare(now time.Time) {
	r.batch = nil
	r.actions = append(r.actions, effect.Read{
		ID:   r.beginCall(now),
		Keys: []string{ShareKey(r.Node, r.notices[0].Shard)},
	})
}

// rows handles the share row, or the budgets' rows of a batch.
func (r *Restorer) rows(now time.Time, ev effect.Rows) {
	if ev.Result != effect.Done {
		r.backOff(now)
		return
	}
	if r.batch != nil {
		r.write(now, ev.Rows)
		return
	}
	content, err := Decode[ShareRow](ev.Rows[0])
	if err != nil {
		r.backOff(now)
		return
	}
	r.share = ev.Rows[0]
	r.content = content
	shard := r.notices[0].Shard
	r.notices = slices.DeleteFunc(r.notices, func(n GrantNotice) bool { return n.Shard == shard && n.Seq <= content.Seq })
	if len(r.notices) > 0 && r.notices[0].Shard == shard && r.notices[0].After > content.Seq && now.Sub(r.startedAt) < gapTimeout {
		r.retryAt = now.Add(gapInterval)
		return
	}
	keys := r.nextBatch(shard)
	if len(keys) > 0 {
		r.actions = append(r.actions, effect.Read{
			ID:   r.beginCall(now),
			Keys: keys,
		})
		return
	}
	if !r.Done() {
		r.readShare(now)
	}
}

// nextBatch chooses the first notices of a shard that have no gap between them and fit into
// a transaction, and returns the keys of their budgets' rows.
func (r *Restorer) nextBatch(shard int) []string {
	var keys []string
	for _, n := range r.notices {
		gap := len(r.batch) > 0 && n.After != r.batch[len(r.batch)-1].Seq
		if n.Shard != shard || gap || len(r.batch) > 0 && len(keys)+len(n.Changes) > closerBatch {
			break
		}
		r.batch = append(r.batch, n)
		for _, c := range n.Changes {
			if key := BudgetKey(c.Budget); !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// write adds a batch to the share row and to the budgets' rows.
func (r *Restorer) write(now time.Time, budgets []waxwingwall.Row) {
	next := r.content
	next.Entries = slices.Clone(next.Entries)
	writes := make([]waxwingwall.Write, 1, 1+len(budgets))
	for _, row := range budgets {
		content, err := Decode[BudgetRow](row)
		if err != nil {
			r.backOff(now)
			return
		}
		budget := waxwingwall.Budget(row.Key[len(BudgetKey("")):])
		drawn, returned := r.batchSums(budget)
		content.Granted += drawn
		content.Returned += returned
		writes = append(writes, waxwingwall.Write{
			Key:    row.Key,
			Expect: row.Version,
			Value:  Encode(content),
		})
		if !next.Closed {
			next.add(budget, drawn-returned)
		}
	}
	next.Seq = r.batch[len(r.batch)-1].Seq
	writes[0] = waxwingwall.Write{
		Key:    r.share.Key,
		Expect: r.share.Version,
		Value:  Encode(next),
	}
	r.actions = append(r.actions, effect.Transact{
		ID:     r.beginCall(now),
		Writes: writes,
	})
}

// batchSums returns what a batch has drawn and returned of a budget.
func (r *Restorer) batchSums(budget waxwingwall.Budget) (drawn, returned waxwingwall.Tokens) {
	for _, n := range r.batch {
		for _, c := range n.Changes {
			if c.Budget == budget {
				drawn += max(c.Tokens, 0)
				returned += max(-c.Tokens, 0)
			}
		}
	}
	return drawn, returned
}

// add adds tokens to the grant of a budget. All of the grant counts as spent, as only the
// owner knows better.
func (r *ShareRow) add(budget waxwingwall.Budget, tokens waxwingwall.Tokens) {
	at, found := slices.BinarySearchFunc(r.Entries, budget, func(e ShareEntry, b waxwingwall.Budget) int {
		if e.Budget < b {
			return -1
		}
		if e.Budget > b {
			return 1
		}
		return 0
	})
	if !found {
		r.Entries = slices.Insert(r.Entries, at, ShareEntry{
			Budget: budget,
		})
	}
	e := &r.Entries[at]
	e.Granted += tokens
	e.Allowance = e.Granted
	e.Kept = false
	e.Marked = false
}

// transacted handles the result of a write. The row is read again and shows what is left.
func (r *Restorer) transacted(now time.Time, ev effect.Transacted) {
	if ev.Result != effect.Done {
		r.backOff(now)
		return
	}
	r.failures = 0
	for _, n := range r.batch {
		for _, c := range n.Changes {
			r.Restored += c.Tokens
		}
	}
	r.readShare(now)
}
