package escrow

import (
	"time"

	"waxwingwall"
)

const (
	// roundTime is how long a round of questions waits for answers.
	roundTimeout = 300 * time.Millisecond

	// offlineRound is the time between two rounds of questions to all peers.
	offlineRoundInterval = 100 * time.Millisecond
)

// cycle is one wait of requests for a budget.
type wait struct {
	// open is set from the first Waiting until Resolved.
	open bool

	// need is the sum of the worst cases that wait, least the smallest.
	need, smallest waxwingwall.Tokens

	// read is set once the pool was read in this wait or round, by the call
	// reading.
	poolRead     bool
	poolReadCall uint64
	deadline     time.Time

	// The round of questions: when it was sent, and the answers.
	round     uint64
	asked     time.Time
	nextRound time.Time
	collect   bool
	reports   []holderReport

	// offline counts the rounds of questions while the table did not answer.
	offlineRounds int

	// unlisted are nodes beside the holders that have to be asked, in order.
	unlisted []waxwingwall.Incarnation

	// register is set when this node has to be among the holders before it
	// asks for tokens, so that others find them here.
	register bool

	// last is the state seen by the round before, when that was complete.
	lastView roundView
}

// report is the answer of one holder in a round.
type holderReport struct {
	node       waxwingwall.Incarnation
	answered   bool
	free, held waxwingwall.Tokens
	moves      uint64
}

// view tells whether anything moved between two rounds.
type roundView struct {
	complete bool
	version  int64
	moves    uint64
	holders  int
}

// wait adds a request to the wait.
func (e *entry) addWaiter(now time.Time, worst waxwingwall.Tokens, timeout time.Duration) {
	if !e.wait.open {
		e.wait = wait{
			open:     true,
			smallest: worst,
			deadline: now.Add(timeout),
		}
	}
	e.lastActive = now
	e.demand.worst = max(e.demand.worst, worst)
	e.wait.need += worst
	e.wait.smallest = min(e.wait.smallest, worst)
}

// resolve ends the wait of an entry with a finding; Granted means none.
func (b *Book) resolve(e *entry, kind Kind, affordable waxwingwall.Tokens, reason string) {
	e.cached = cachedVerdict{}
	if kind != Granted {
		e.cached = cachedVerdict{
			kind:       kind,
			expiry:     b.now.Add(b.pacing.verdictTTL),
			affordable: affordable,
			reason:     reason,
		}
	}
	e.wait = wait{}
	b.emit(Resolved{
		Budget: e.row.Budget,
	})
}

// advance moves the wait of an entry on as far as it goes without the table.
func (b *Book) advance(e *entry) {
	w := &e.wait
	switch {
	case !w.open:
	case e.free() >= w.smallest:
		b.resolve(e, Granted, 0, "")
	case b.fenced || b.draining:
		b.resolve(e, OutOfReach, 0, "closing")
	case !b.now.Before(w.deadline):
		b.resolve(e, OutOfReach, 0, w.timeoutReason())
	case b.tableDown || b.pacing.evenShares && b.callSlow(e):
		b.askWithoutTable(e)
	case w.poolRead && e.spare() < w.smallest && e.pool.known && e.spare()+e.pool.row.Pool() < w.smallest:
		b.pollHolders(e)
	}
}

// stage tells how far a wait came.
func (w *wait) timeoutReason() string {
	switch {
	case w.offlineRounds > 0:
		return ReasonTableUnreachable
	case w.round != 0:
		return "holders_not_all_answered"
	case w.poolRead:
		return "holders_move"
	}
	return "pool_not_read"
}

// slow reports whether a call of the entry's shard takes long.
func (b *Book) callSlow(e *entry) bool {
	s := &b.shards[e.shard]
	return s.pendingCall != 0 && b.now.Sub(s.calledAt) >= slowCallTime
}

// askOffline asks a few peers while the table does not answer.
func (b *Book) askWithoutTable(e *entry) {
	w := &e.wait
	if b.now.Before(w.nextRound) {
		return
	}
	if b.pacing.evenShares {
		w.nextRound = b.now.Add(offlineRoundInterval)
		b.askPeersInRotation(e)
		return
	}
	w.nextRound = b.now.Add(roundTimeout)
	nodes := b.others(e.pool.row.Holders)
	if len(nodes) == 0 {
		nodes = b.others(b.peers)
	}
	b.roundCount++
	for range min(b.pacing.fallbackPeers, len(nodes)) {
		b.nextPeer++
		to := nodes[b.nextPeer%len(nodes)]
		b.ask(e, to, w.need-e.free(), b.roundCount)
	}
}

// askEven asks all peers, as the holders last read may be few of those there
// are by now: each for a part of what is missing first, for more of it later.
func (b *Book) askPeersInRotation(e *entry) {
	w := &e.wait
	nodes := b.others(b.peers)
	for _, node := range b.others(e.pool.row.Holders) {
		nodes = withHolder(nodes, node)
	}
	if len(nodes) == 0 {
		return
	}
	missing := max(w.need, w.smallest) - e.free()
	want := min(missing, missing<<min(w.offlineRounds+1, 16)/waxwingwall.Tokens(len(nodes))+1)
	w.offlineRounds++
	b.roundCount++
	for range min(b.pacing.fallbackPeers, len(nodes)) {
		b.nextPeer++
		b.ask(e, nodes[b.nextPeer%len(nodes)], want, b.roundCount)
	}
}

// collect asks all holders what they have, when the pool can't pay, and judges
// their answers.
func (b *Book) pollHolders(e *entry) {
	w := &e.wait
	if w.register && !isHolder(e.pool.row.Holders, b.self) {
		return
	}
	w.register = false
	if w.round == 0 {
		if b.now.Before(w.nextRound) {
			return
		}
		b.startRound(e)
	}
	answered := 0
	for i := range w.reports {
		if w.reports[i].answered {
			answered++
		}
	}
	allAnswered := answered == len(w.reports)
	if !allAnswered && b.now.Before(w.asked.Add(roundTimeout)) {
		return
	}
	b.evaluateRound(e, allAnswered)
}

// question begins a round.
func (b *Book) startRound(e *entry) {
	w := &e.wait
	b.roundCount++
	w.round = b.roundCount
	w.asked = b.now
	w.collect = false
	w.reports = w.reports[:0]
	nodes := b.holders(e.pool.row)
	for _, node := range append(e.unlisted(), w.unlisted...) {
		nodes = withHolder(nodes, node)
	}
	for _, node := range b.others(nodes) {
		w.reports = append(w.reports, holderReport{
			node: node,
		})
		b.ask(e, node, 0, w.round)
	}
}

// judge decides on the answers of a round.
func (b *Book) evaluateRound(e *entry, allAnswered bool) {
	w := &e.wait
	free := e.spare() + e.pool.row.Pool()
	held := e.held() + e.pool.row.Pool()
	current := roundView{
		complete: allAnswered && w.askedAll(b.self),
		version:  e.pool.version,
		moves:    e.moves,
		holders:  len(w.reports),
	}
	for i := range w.reports {
		free += w.reports[i].free
		held += w.reports[i].held
		current.moves += w.reports[i].moves
	}
	switch {
	case w.collect:
	case free >= w.smallest && !isHolder(e.pool.row.Holders, b.self):
		w.register = true
		w.round = 0
		return
	case free >= w.smallest:
		b.collect(e)
		return
	case current.complete && held < w.smallest && w.lastView == current:
		b.resolve(e, Exhausted, held, "all_asked_twice")
		return
	case b.pacing.evenShares && current.complete && held >= w.smallest:
		b.resolve(e, OutOfReach, free, "reserved_by_others")
		return
	}
	w.lastView = current
	w.round = 0
	w.poolRead = false
	if held >= w.smallest {
		w.nextRound = b.now.Add(roundTimeout)
	}
}

// askedAll reports whether the round asked every unlisted node named so far.
func (w *wait) askedAll(self waxwingwall.Incarnation) bool {
	for _, node := range w.unlisted {
		asked := node == self
		for i := range w.reports {
			asked = asked || w.reports[i].node == node
		}
		if !asked {
			return false
		}
	}
	return true
}

// gather asks holders for what is missing. What the pool holds is drawn by the
// next write of the shard.
func (b *Book) collect(e *entry) {
	w := &e.wait
	missing := w.need - e.spare() - e.pool.row.Pool()
	b.roundCount++
	w.round = b.roundCount
	w.asked = b.now
	w.collect = true
	asked := w.reports[:0]
	for _, r := range w.reports {
		want := min(missing, r.free)
		if want <= 0 {
			continue
		}
		missing -= want
		r.answered = false
		asked = append(asked, r)
		b.ask(e, r.node, want, w.round)
	}
	w.reports = asked
}
