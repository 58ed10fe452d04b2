package escrow

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// closerBatch is the maximum number of budget rows that a Closer writes in one
// transaction.
const closerBatch = 16

const (
	// sealTimeout is how long a Closer waits for keepers, and sealInterval how often it
	// asks those that have not answered.
	sealTimeout  = 3 * time.Second
	sealInterval = 200 * time.Millisecond
)

// Spent is the spend of one budget according to a sealed log.
type Spent struct {
	// Budget is the budget that the tokens were spent from.
	Budget waxwingwall.Budget

	// Tokens is the sum over the whole life of the incarnation, without
	// transfers between peers: what settled requests used, the recorded progress
	// of interrupted ones and the reservations of those with an unknown outcome.
	Tokens waxwingwall.Tokens
}

// CloserOption configures a Closer.
type CloserOption func(*Closer)

// WithCloserShards sets the number of share rows of the dead incarnation.
func WithCloserShards(shards int) CloserOption {
	return func(c *Closer) {
		c.shards = shards
	}
}

// WithCompleteLog states that the log covers the whole life of the incarnation:
// a budget that is not in it was not spent.
func WithCompleteLog() CloserOption {
	return func(c *Closer) {
		c.completeLog = true
	}
}

// WithCloserSeed sets the random seed for backoff.
func WithCloserSeed(seed uint64) CloserOption {
	return func(c *Closer) {
		c.seed = seed
	}
}

// WithKeeper sets the keeper of the incarnation that closes, which may keep marks of the
// dead one itself.
func WithKeeper(k *Keeper) CloserOption {
	return func(c *Closer) {
		c.keeper = k
	}
}

// WithEnded tells that the process of the dead incarnation has ended, as one whose VM runs a newer
// incarnation. Only then its shares are closed by marks: one that is only silent would not know
// of it if the table forgot the closing, and could spend what went back.
func WithEnded() CloserOption {
	return func(c *Closer) {
		c.ended = true
	}
}

// WithLinesInTable tells that the process had ended by a time of the table's clock, or if that is
// zero before the Closer was made, so that shares are closed by the lines in the table. It must be
// true: a process that lives goes on along its line.
func WithLinesInTable(endedBy RowClock) CloserOption {
	return func(c *Closer) {
		c.byClock = true
		c.endedBy = endedBy
	}
}

// WithClosedBy sets the incarnation recorded as having closed the rows.
func WithClosedBy(closedBy waxwingwall.Incarnation) CloserOption {
	return func(c *Closer) {
		c.closedBy = closedBy
	}
}

// Closer closes the share rows of a dead incarnation. For each row it first writes
// the tombstone, which fences the owner and freezes the entries. In the same or in
// later transactions it removes entries from the tombstone and returns their
// tokens, always both together. Any number of Closers may therefore work on one
// incarnation, concurrently or repeatedly, and each entry is returned once. Rows
// that don't exist get a tombstone as well, so that the owner can't create them
// later.
//
// If marks bound entries of a row and the owner has ended, the Closer first seals the owner at its keepers, and waits
// for their answers up to sealTimeout.
//
// It is stepped like a Book and emits Transact, Read and List under Part, and Send.
type Closer struct {
	// Dead is the incarnation that is closed.
	Dead waxwingwall.Incarnation

	closedBy    waxwingwall.Incarnation
	logged      map[waxwingwall.Budget]waxwingwall.Tokens
	completeLog bool
	shards      int
	seed        uint64

	// The rows still to be closed, in order, and the state of the calls. postponed
	// counts the rows in a row that could not be closed, skipped holds the budgets
	// whose rows can't be read.
	pending     []string
	postponed   int
	skipped     map[waxwingwall.Budget]bool
	listed      bool
	done        bool
	step        closerStep
	pendingCall uint64
	callCount   uint64
	calledAt    time.Time
	retryAt     time.Time
	failures    int

	// ended is set if shares are closed by marks, see WithEnded.
	ended bool

	// keeper is that of this incarnation. answers are those of keepers by which the dead
	// incarnation is sealed. They are asked from sealingSince on, again at sealAt, and no
	// longer once unanswered is set.
	keeper       *Keeper
	answers      map[waxwingwall.Incarnation]MarksSealed
	sealingSince time.Time
	sealAt       time.Time
	unanswered   bool

	// byClock is set if shares are closed by lines in the table, see WithLinesInTable. The process
	// had ended by endedBy, which is the table's clock in the first answer if it was not given.
	byClock bool
	endedBy RowClock

	// The rows read for the next transaction, and the actions of this step. readAt is the
	// table's clock in the answer with the share row.
	share   waxwingwall.Row
	content ShareRow
	readAt  RowClock
	actions []effect.Action

	// Returned is the sum that this Closer knows to have returned, and Shares are
	// the entries behind it; transactions with a lost answer are not counted.
	Returned waxwingwall.Tokens
	Shares   []ClosedShare

	// pendingShares are the entries of the transaction in flight, holders is the largest number
	// of holders of their budgets.
	pendingShares []ClosedShare
	holders       int
}

// ClosedShare is the share of one budget that a Closer has closed.
type ClosedShare struct {
	// Budget is the budget that the tokens belong to.
	Budget waxwingwall.Budget

	// Returned is what went back to the pool, Retained what counts as spent.
	Returned, Retained waxwingwall.Tokens

	// Marked is set if keepers had marks of the share or its line in the table bounds it, InTable
	// in the second case. Lost is the part of Retained that the incarnation had not used when it
	// last sent a mark; set only if Marked is.
	Marked  bool
	InTable bool
	Lost    waxwingwall.Tokens

	// Unproven states in snake case why the line in the table doesn't bound Retained; empty if it
	// does. Age is how long the owner may have run after it sent the row; zero if it is not known.
	Unproven string
	Age      time.Duration
}

// Proof returns in one word which marks bound Retained, if any.
func (s ClosedShare) Proof() string {
	switch {
	case s.InTable:
		return "table"
	case s.Marked:
		return "keepers"
	}
	return "none"
}

// Unmarked returns what counts as spent for want of marks, whether it was or not.
func (s ClosedShare) Unmarked() waxwingwall.Tokens {
	if s.Marked {
		return 0
	}
	return s.Retained
}

// closerStep is what a Closer does with the first pending row.
type closerStep int

const (
	// readingShare reads the share row.
	readingShare closerStep = iota

	// sealing waits for the answers of keepers.
	sealing

	// readingBudgets reads the budget rows of the batch.
	readingBudgets

	// writingClose executes the transaction.
	writingClose
)

// NewCloser returns a Closer. The IDs of its calls have the part "escrow/close/"
// followed by the incarnation. A budget without an entry in logged counts its
// allowance as spent.
//
// logged may only come from a log that its witness has sealed: nothing that the
// log does not contain can be dispatched later.
func NewCloser(dead waxwingwall.Incarnation, logged []Spent, opts ...CloserOption) *Closer {
	c := &Closer{
		Dead:    dead,
		logged:  make(map[waxwingwall.Budget]waxwingwall.Tokens, len(logged)),
		shards:  DefaultShards,
		skipped: make(map[waxwingwall.Budget]bool),
		answers: make(map[waxwingwall.Incarnation]MarksSealed),
	}
	for _, s := range logged {
		c.logged[s.Budget] += s.Tokens
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Part returns the ID.Part of this Closer's actions.
func (c *Closer) Part() string {
	return Part + "/close/" + c.Dead.String()
}

// Done reports whether every share row is closed and all its tokens returned.
func (c *Closer) Done() bool {
	return c.done
}

// Step handles an event and returns the resulting actions. A Closer starts with
// its first Tick.
func (c *Closer) Step(now time.Time, ev effect.Event) []effect.Action {
	c.actions = nil
	switch ev := ev.(type) {
	case effect.Tick:
		c.tick(now)
	case effect.Rows:
		if c.answered(ev.ID) {
			c.rows(now, ev)
		}
	case effect.Transacted:
		if c.answered(ev.ID) {
			c.transacted(now, ev)
		}
	case effect.Received:
		if m, ok := ev.Message.(MarksSealed); ok && m.Node == c.Dead {
			c.answers[ev.From] = m
			c.sealStep(now)
		}
	}
	return c.actions
}

// answered reports whether an answer is expected, and clears the pending call.
func (c *Closer) answered(id effect.ID) bool {
	if c.pendingCall == 0 || id.N != c.pendingCall || id.Part != c.Part() {
		return false
	}
	c.pendingCall = 0
	return true
}

// beginCall returns the ID of a new call and marks it pending.
func (c *Closer) beginCall(now time.Time) effect.ID {
	c.callCount++
	c.pendingCall = c.callCount
	c.calledAt = now
	return effect.ID{
		Part: c.Part(),
		N:    c.callCount,
	}
}

// tick starts the first call and repeats failed ones.
func (c *Closer) tick(now time.Time) {
	if c.pendingCall != 0 && now.Sub(c.calledAt) >= callTimeout {
		c.pendingCall = 0
		c.backOff(now, minBackoff)
	}
	if c.done || c.pendingCall != 0 || now.Before(c.retryAt) {
		return
	}
	if c.step == sealing {
		c.sealStep(now)
		return
	}
	c.nextCall(now)
}

// needsSeal reports whether the marks of a batch are not yet known, and may be.
func (c *Closer) needsSeal(batch []ShareEntry) bool {
	unknown := slices.ContainsFunc(batch, func(e ShareEntry) bool {
		_, _, unproven := c.line(e)
		return e.Kept && unproven != ""
	})
	return c.ended && !c.unanswered && unknown && len(c.keeperAnswers()) < c.content.Answers
}

// age returns how long the process may have run after it sent the row last read, or why that is not
// known. An answer of another era may have a row that an older one has replaced.
func (c *Closer) age() (passed time.Duration, unproven string) {
	if !c.byClock {
		return 0, unprovenEnd
	}
	passed, unproven = c.content.Clock.until(c.endedBy)
	if unproven == "" && (!c.readAt.Known() || c.readAt.Era != c.content.Clock.Era) {
		unproven = unprovenEra
	}
	return passed, unproven
}

// line returns what the line of an entry allowed its owner to commit until it ended, or why that is
// not known.
func (c *Closer) line(e ShareEntry) (bound, used waxwingwall.Tokens, unproven string) {
	passed, unproven := c.age()
	switch {
	case e.Line == nil && !e.Marked:
		return 0, 0, unprovenNoLine
	case unproven != "":
		return 0, 0, unproven
	case e.Line != nil:
		return e.Line.at(passed), e.Line.Used, ""
	case passed > flatTime:
		return 0, 0, unprovenLate
	}
	return e.Mark, e.Used, ""
}

// keeperAnswers returns the answers of the keepers that the row names.
func (c *Closer) keeperAnswers() []MarksSealed {
	var answers []MarksSealed
	for _, node := range c.content.Keepers {
		if answer, ok := c.answers[node]; ok {
			answers = append(answers, answer)
		}
	}
	return answers
}

// seal begins to seal the dead incarnation at its keepers.
func (c *Closer) seal(now time.Time) {
	c.step = sealing
	if c.sealingSince.IsZero() {
		c.sealingSince = now
	}
	c.sealAt = now
	if c.keeper != nil && isHolder(c.content.Keepers, c.closedBy) {
		c.answers[c.closedBy] = c.keeper.Seal(c.Dead)
	}
	c.sealStep(now)
}

// sealStep asks the keepers that have not answered, and goes on once enough have.
func (c *Closer) sealStep(now time.Time) {
	if c.step != sealing {
		return
	}
	c.unanswered = now.Sub(c.sealingSince) >= sealTimeout
	if c.unanswered || len(c.keeperAnswers()) >= c.content.Answers {
		c.step = readingShare
		c.nextCall(now)
		return
	}
	if now.Before(c.sealAt) {
		return
	}
	c.sealAt = now.Add(sealInterval)
	for _, node := range c.content.Keepers {
		if _, answered := c.answers[node]; !answered && node != c.closedBy {
			c.actions = append(c.actions, effect.Send{
				To: node,
				Message: SealMarks{
					Node: c.Dead,
				},
			})
		}
	}
}

// nextCall starts the next call.
func (c *Closer) nextCall(now time.Time) {
	switch {
	case !c.listed:
		c.actions = append(c.actions, effect.List{
			ID:     c.beginCall(now),
			Prefix: SharePrefix(c.Dead),
		})
	case len(c.pending) == 0:
		c.done = true
	default:
		c.actions = append(c.actions, effect.Read{
			ID:   c.beginCall(now),
			Keys: []string{c.pending[0]},
		})
	}
}

// backOff restarts with the current row after a delay. The jitter is a hash of the
// seed and the number of calls; its two multipliers, close to 2^32 and 2^16 divided
// by the golden ratio, spread consecutive values.
func (c *Closer) backOff(now time.Time, unit time.Duration) {
	c.step = readingShare
	wait := min(unit<<min(c.failures, 8), defaultMaxBackoff)
	c.failures++
	c.retryAt = now.Add(wait/2 + c.jitter(wait)/2)
}

// jitter returns a duration within a window.
func (c *Closer) jitter(window time.Duration) time.Duration {
	return time.Duration((c.seed*2654435761 + uint64(c.callCount)*40503) % uint64(window))
}

// rows handles the rows read.
func (c *Closer) rows(now time.Time, ev effect.Rows) {
	if ev.Result != effect.Done {
		c.backOff(now, minBackoff)
		return
	}
	if !c.endedBy.Known() {
		c.endedBy = AnsweredAt(now, ev.Clock)
	}
	if !c.listed {
		c.applyList(ev.Rows)
		c.nextCall(now)
		return
	}
	if c.step == readingShare {
		c.readAt = ClockOf(ev.Clock)
		c.readShare(now, ev.Rows)
		return
	}
	c.write(now, ev.Rows)
}

// applyList adds the existing share rows to the pending ones.
func (c *Closer) applyList(rows []waxwingwall.Row) {
	c.listed = true
	known := map[string]bool{}
	for i := range c.shards {
		key := ShareKey(c.Dead, i)
		known[key] = true
		c.pending = append(c.pending, key)
	}
	for _, row := range rows {
		if !known[row.Key] {
			c.pending = append(c.pending, row.Key)
		}
	}
}

// readShare records a share row and reads the budget rows of its batch. It skips a
// closed row that has no entries left or that its owner closed while draining.
func (c *Closer) readShare(now time.Time, rows []waxwingwall.Row) {
	content, err := Decode[ShareRow](rows[0])
	if err != nil {
		c.postpone(now)
		return
	}
	if content.Closed && (len(content.Entries) == 0 || content.ClosedBy == c.Dead) {
		c.pending = c.pending[1:]
		c.nextCall(now)
		return
	}
	c.share = rows[0]
	c.content = content
	batch := c.batch()
	if content.Closed && len(batch) == 0 {
		c.postpone(now)
		return
	}
	if c.needsSeal(batch) {
		c.seal(now)
		return
	}
	var keys []string
	for _, e := range batch {
		keys = append(keys, BudgetKey(e.Budget))
	}
	if len(keys) == 0 {
		c.write(now, nil)
		return
	}
	c.step = readingBudgets
	c.actions = append(c.actions, effect.Read{
		ID:   c.beginCall(now),
		Keys: keys,
	})
}

// postpone continues with the next row: the current one, or a budget's row that it
// needs, can't be read. After all rows had their turn it waits.
func (c *Closer) postpone(now time.Time) {
	c.step = readingShare
	c.pending = append(c.pending[1:], c.pending[0])
	c.postponed++
	if c.postponed >= len(c.pending) {
		c.postponed = 0
		clear(c.skipped)
		c.backOff(now, defaultMaxBackoff)
		return
	}
	c.nextCall(now)
}

// batch returns the entries that the next transaction returns. An open row with
// too many entries is only closed first, so that its owner is fenced
// immediately.
func (c *Closer) batch() []ShareEntry {
	if !c.content.Closed && len(c.content.Entries) > closerBatch {
		return nil
	}
	var batch []ShareEntry
	for _, e := range c.content.Entries {
		if len(batch) < closerBatch && !c.skipped[e.Budget] {
			batch = append(batch, e)
		}
	}
	return batch
}

// write closes the share row and returns the tokens of the batch.
func (c *Closer) write(now time.Time, budgets []waxwingwall.Row) {
	batch := c.batch()
	next := c.content
	next.Entries = slices.DeleteFunc(slices.Clone(next.Entries), func(e ShareEntry) bool {
		return slices.ContainsFunc(batch, func(b ShareEntry) bool { return b.Budget == e.Budget })
	})
	if !next.Closed {
		next.Closed = true
		next.ClosedBy = c.closedBy
	}
	writes := []waxwingwall.Write{{
		Key:    c.share.Key,
		Expect: c.share.Version,
		Value:  Encode(next),
	}}
	c.pendingShares = nil
	c.holders = 0
	for i, e := range batch {
		refund, lost, marked := c.refund(e)
		row, err := Decode[BudgetRow](budgets[i])
		if err != nil || budgets[i].Version == 0 {
			c.skipped[e.Budget] = true
			c.step = readingShare
			c.nextCall(now)
			return
		}
		row.Returned += refund
		c.holders = max(c.holders, len(row.Holders))
		row.Holders = withoutHolder(row.Holders, c.Dead)
		writes = append(writes, waxwingwall.Write{
			Key:    BudgetKey(e.Budget),
			Expect: budgets[i].Version,
			Value:  Encode(row),
		})
		age, _ := c.age()
		_, _, unproven := c.line(e)
		c.pendingShares = append(c.pendingShares, ClosedShare{
			Budget:   e.Budget,
			Returned: refund,
			Retained: e.Granted - refund,
			Marked:   marked,
			InTable:  unproven == "",
			Lost:     lost,
			Unproven: unproven,
			Age:      age,
		})
	}
	c.step = writingClose
	c.actions = append(c.actions, effect.Transact{
		ID:     c.beginCall(now),
		Writes: writes,
	})
}

// refund returns how much of an entry is returned to the pool, and what is lost of the rest
// if marks tell.
func (c *Closer) refund(e ShareEntry) (refund, lost waxwingwall.Tokens, marked bool) {
	retained := e.Allowance
	spent, known := c.logged[e.Budget]
	if known || c.completeLog {
		retained = min(retained, spent+e.Sendable-e.Received())
	}
	mark, marked := c.mark(e)
	if marked {
		retained = min(retained, mark.Tokens)
		lost = max(retained-mark.Used, 0)
	}
	if bound, used, unproven := c.line(e); unproven == "" {
		retained = min(retained, bound)
		lost = max(retained-used, 0)
		marked = true
	}
	return e.Granted - retained, lost, marked
}

// mark returns the mark that bounds an entry, if enough keepers have one. There is none if a
// keeper knows of a later write of the row: the table came back from a copy without it, and
// the marks may be those of other keepers.
func (c *Closer) mark(e ShareEntry) (Mark, bool) {
	if !e.Kept || !c.ended {
		return Mark{}, false
	}
	shard := c.shardOf(c.share.Key)
	var highest Mark
	found := 0
	for _, answer := range c.keeperAnswers() {
		if slices.ContainsFunc(answer.Writes, func(w ShareWrite) bool { return w.Shard == shard && w.Seq > c.content.Seq }) {
			return Mark{}, false
		}
		at := slices.IndexFunc(answer.Marks, func(m Mark) bool { return m.Budget == e.Budget && m.valid() })
		if at < 0 {
			continue
		}
		m := answer.Marks[at]
		if found == 0 {
			highest = m
		}
		highest.Tokens = max(highest.Tokens, m.Tokens)
		highest.Used = max(highest.Used, m.Used)
		found++
	}
	return highest, found > 0 && found >= c.content.Answers
}

// shardOf returns the number of a share row.
func (c *Closer) shardOf(key string) int {
	shard, err := strconv.Atoi(strings.TrimPrefix(key, SharePrefix(c.Dead)))
	if err != nil {
		return -1
	}
	return shard
}

// transacted handles the result of a write. In each case the row is read again
// and shows what is left to do.
func (c *Closer) transacted(now time.Time, ev effect.Transacted) {
	c.step = readingShare
	switch ev.Result {
	case effect.Done:
		c.failures = 0
		c.postponed = 0
		for _, share := range c.pendingShares {
			c.Returned += share.Returned
		}
		c.Shares = append(c.Shares, c.pendingShares...)
		c.nextCall(now)
	case effect.Conflict:
		c.backOff(now, conflictBackoff)
		if c.holders > 0 {
			// Each of them may be closed now, as when all nodes have died, and leaves the
			// holders then.
			window := min(max(conflictBackoff*time.Duration(c.holders)/2, conflictBackoff), defaultMaxBackoff)
			c.retryAt = now.Add(c.jitter(window))
		}
	case effect.Lost:
		c.backOff(now, minBackoff)
	}
}
