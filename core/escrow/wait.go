package escrow

import (
	"time"

	"waxwingwall"
)

const (
	// roundTime is how long a round of questions waits for answers.
	roundTime = 300 * time.Millisecond

	// offlineRound is the time between two rounds of questions to all peers.
	offlineRound = 100 * time.Millisecond
)

// cycle is one wait of requests for a budget.
type cycle struct {
	// open is set from the first Waiting until Resolved.
	open bool

	// need is the sum of the worst cases that wait, least the smallest.
	need, least waxwingwall.Tokens

	// read is set once the pool was read in this wait or round, by the call
	// reading.
	read     bool
	reading  uint64
	deadline time.Time

	// The round of questions: when it was sent, and the answers.
	round   uint64
	asked   time.Time
	again   time.Time
	gather  bool
	reports []report

	// offline counts the rounds of questions while the table did not answer.
	offline int

	// unlisted are nodes beside the holders that have to be asked, in order.
	unlisted []waxwingwall.Incarnation

	// register is set when this node has to be among the holders before it
	// asks for tokens, so that others find them here.
	register bool

	// last is the state seen by the round before, when that was complete.
	last view
}

// report is the answer of one holder in a round.
type report struct {
	node       waxwingwall.Incarnation
	answered   bool
	free, held waxwingwall.Tokens
	moves      uint64
}

// view tells whether anything moved between two rounds.
type view struct {
	complete bool
	version  int64
	moves    uint64
	holders  int
}

// wait adds a request to the wait.
func (e *entry) wait(now time.Time, worst waxwingwall.Tokens, patience time.Duration) {
	if !e.cycle.open {
		e.cycle = cycle{
			open:     true,
			least:    worst,
			deadline: now.Add(patience),
		}
	}
	e.active = now
	e.demand.worst = max(e.demand.worst, worst)
	e.cycle.need += worst
	e.cycle.least = min(e.cycle.least, worst)
}

// resolve ends the wait of an entry with a finding; Granted means none.
func (b *Book) resolve(e *entry, kind Kind, bound waxwingwall.Tokens, reason string) {
	e.found = finding{}
	if kind != Granted {
		e.found = finding{
			kind:   kind,
			until:  b.now.Add(b.pacing.foundLife),
			bound:  bound,
			reason: reason,
		}
	}
	e.cycle = cycle{}
	b.do(Resolved{
		Budget: e.row.Budget,
	})
}

// advance moves the wait of an entry on as far as it goes without the table.
func (b *Book) advance(e *entry) {
	c := &e.cycle
	switch {
	case !c.open:
	case e.free() >= c.least:
		b.resolve(e, Granted, 0, "")
	case b.fenced || b.draining:
		b.resolve(e, OutOfReach, 0, "closing")
	case !b.now.Before(c.deadline):
		b.resolve(e, OutOfReach, 0, c.stage())
	case b.down || b.pacing.even && b.slow(e):
		b.askOffline(e)
	case c.read && e.spare() < c.least && e.pool.known && e.spare()+e.pool.row.Pool() < c.least:
		b.collect(e)
	}
}

// stage tells how far a wait came.
func (c *cycle) stage() string {
	switch {
	case c.offline > 0:
		return ReasonTableAway
	case c.round != 0:
		return "holders_not_all_answered"
	case c.read:
		return "holders_move"
	}
	return "pool_not_read"
}

// slow reports whether a call of the entry's shard takes long.
func (b *Book) slow(e *entry) bool {
	s := &b.shards[e.shard]
	return s.call != 0 && b.now.Sub(s.called) >= slowCall
}

// askOffline asks a few peers while the table does not answer.
func (b *Book) askOffline(e *entry) {
	c := &e.cycle
	if b.now.Before(c.again) {
		return
	}
	if b.pacing.even {
		c.again = b.now.Add(offlineRound)
		b.askEven(e)
		return
	}
	c.again = b.now.Add(roundTime)
	nodes := b.others(e.pool.row.Holders)
	if len(nodes) == 0 {
		nodes = b.others(b.peers)
	}
	b.rounds++
	for range min(b.pacing.strangers, len(nodes)) {
		b.asked++
		to := nodes[b.asked%len(nodes)]
		b.ask(e, to, c.need-e.free(), b.rounds)
	}
}

// askEven asks all peers, as the holders last read may be few of those there
// are by now: each for a part of what is missing first, for more of it later.
func (b *Book) askEven(e *entry) {
	c := &e.cycle
	nodes := b.others(b.peers)
	for _, node := range b.others(e.pool.row.Holders) {
		nodes = withHolder(nodes, node)
	}
	if len(nodes) == 0 {
		return
	}
	missing := max(c.need, c.least) - e.free()
	want := min(missing, missing<<min(c.offline+1, 16)/waxwingwall.Tokens(len(nodes))+1)
	c.offline++
	b.rounds++
	for range min(b.pacing.strangers, len(nodes)) {
		b.asked++
		b.ask(e, nodes[b.asked%len(nodes)], want, b.rounds)
	}
}

// collect asks all holders what they have, when the pool can't pay, and judges
// their answers.
func (b *Book) collect(e *entry) {
	c := &e.cycle
	if c.register && !isHolder(e.pool.row.Holders, b.self) {
		return
	}
	c.register = false
	if c.round == 0 {
		if b.now.Before(c.again) {
			return
		}
		b.question(e)
	}
	answered := 0
	for i := range c.reports {
		if c.reports[i].answered {
			answered++
		}
	}
	whole := answered == len(c.reports)
	if !whole && b.now.Before(c.asked.Add(roundTime)) {
		return
	}
	b.judge(e, whole)
}

// question begins a round.
func (b *Book) question(e *entry) {
	c := &e.cycle
	b.rounds++
	c.round = b.rounds
	c.asked = b.now
	c.gather = false
	c.reports = c.reports[:0]
	nodes := b.holders(e.pool.row)
	for _, node := range append(e.unlisted(), c.unlisted...) {
		nodes = withHolder(nodes, node)
	}
	for _, node := range b.others(nodes) {
		c.reports = append(c.reports, report{
			node: node,
		})
		b.ask(e, node, 0, c.round)
	}
}

// judge decides on the answers of a round.
func (b *Book) judge(e *entry, whole bool) {
	c := &e.cycle
	free := e.spare() + e.pool.row.Pool()
	held := e.held() + e.pool.row.Pool()
	seen := view{
		complete: whole && c.askedAll(b.self),
		version:  e.pool.version,
		moves:    e.moves,
		holders:  len(c.reports),
	}
	for i := range c.reports {
		free += c.reports[i].free
		held += c.reports[i].held
		seen.moves += c.reports[i].moves
	}
	switch {
	case c.gather:
	case free >= c.least && !isHolder(e.pool.row.Holders, b.self):
		c.register = true
		c.round = 0
		return
	case free >= c.least:
		b.gather(e)
		return
	case seen.complete && held < c.least && c.last == seen:
		b.resolve(e, Exhausted, held, "all_asked_twice")
		return
	case b.pacing.even && seen.complete && held >= c.least:
		b.resolve(e, OutOfReach, free, "reserved_by_others")
		return
	}
	c.last = seen
	c.round = 0
	c.read = false
	if held >= c.least {
		c.again = b.now.Add(roundTime)
	}
}

// askedAll reports whether the round asked every unlisted node named so far.
func (c *cycle) askedAll(self waxwingwall.Incarnation) bool {
	for _, node := range c.unlisted {
		asked := node == self
		for i := range c.reports {
			asked = asked || c.reports[i].node == node
		}
		if !asked {
			return false
		}
	}
	return true
}

// gather asks holders for what is missing. What the pool holds is drawn by the
// next write of the shard.
func (b *Book) gather(e *entry) {
	c := &e.cycle
	missing := c.need - e.spare() - e.pool.row.Pool()
	b.rounds++
	c.round = b.rounds
	c.asked = b.now
	c.gather = true
	asked := c.reports[:0]
	for _, r := range c.reports {
		want := min(missing, r.free)
		if want <= 0 {
			continue
		}
		missing -= want
		r.answered = false
		asked = append(asked, r)
		b.ask(e, r.node, want, c.round)
	}
	c.reports = asked
}
