package escrow

import (
	"time"

	"waxwingwall"
)

const (
	// roundTimeout is how long a round, in which peers are asked for reports or
	// tokens, waits for answers. It is also the time between two rounds while
	// the table does not answer, except with even shares.
	roundTimeout = 300 * time.Millisecond

	// offlineRoundInterval is the time between two rounds while the table does
	// not answer, with even shares.
	offlineRoundInterval = 100 * time.Millisecond

	// maxRoundDoublings is how often the time between these rounds doubles.
	maxRoundDoublings = 2

	// Peers that are asked in a first round are asked for askSurplus times what is missing
	// together, as some of them have none, and for what later requests use in askLeadTime.
	askSurplus  = 4
	askLeadTime = time.Second

	// contendedFailures is the number of consecutive failed calls of a shard from
	// which peers are asked in parallel.
	contendedFailures = 2
)

// wait is the state of the requests that wait for a budget.
type wait struct {
	// open is set from the first Waiting until Resolved.
	open bool

	// need is the sum of the worst cases that wait, smallest the least of them.
	need, smallest waxwingwall.Tokens

	// poolRead is set once the pool was read during this wait or round, by the
	// call poolReadCall.
	poolRead     bool
	poolReadCall uint64
	deadline     time.Time

	// The current round: its number, when it was sent, when the next one is
	// due, and the answers. While collect is set, the round asks peers
	// for tokens, otherwise for reports.
	round     uint64
	askedAt   time.Time
	nextRound time.Time
	collect   bool
	reports   []holderReport

	// offlineRounds counts the rounds while the table did not answer. drawer is the
	// peer that was last asked to draw, at drawerAskedAt.
	offlineRounds int
	drawer        waxwingwall.Incarnation
	drawerAskedAt time.Time

	// unlisted are nodes other than the holders that must be asked, in order.
	unlisted []waxwingwall.Incarnation

	// register is set if this node must become a holder before it asks peers
	// for tokens, so that others find them here.
	register bool

	// lastView is the view of the previous round.
	lastView roundView
}

// holderReport is the answer of one holder in a round.
type holderReport struct {
	node       waxwingwall.Incarnation
	answered   bool
	silent     bool
	free, held waxwingwall.Tokens
	moves      uint64
}

// roundView is the state observed by a round. Two equal, complete views mean that
// nothing changed in between.
type roundView struct {
	complete bool
	version  int64
	moves    uint64
	holders  int
}

// addWaiter adds a request to the wait and opens it if needed.
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

// resolve ends the wait of an entry and caches its verdict; Granted caches
// none.
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

// advance advances the wait of an entry as far as possible without the table.
func (b *Book) advance(e *entry) {
	w := &e.wait
	switch {
	case !w.open:
	case e.free() >= w.smallest:
		b.resolve(e, Granted, 0, "")
	case b.fenced || b.draining:
		b.resolve(e, OutOfReach, 0, "closing")
	case !b.now.Before(w.deadline) && !b.soonFree(e):
		b.resolve(e, OutOfReach, 0, w.timeoutReason())
	case e.loose() >= w.smallest && !b.marksLate(e):
	case b.tableDown || b.frozen || b.pacing.evenShares && b.callSlow(e):
		b.askWithoutTable(e)
	case w.poolRead && e.spare() < w.smallest && e.pool.known && e.spare()+e.pool.row.Pool() < w.smallest:
		b.pollHolders(e)
	case b.pacing.evenShares && b.contended(e):
		b.askWithoutTable(e)
	}
}

// timeoutReason returns the reason for a wait that timed out: the stage that it
// reached.
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

// callSlow reports whether a call of the entry's shard is slow.
func (b *Book) callSlow(e *entry) bool {
	s := &b.shards[e.shard]
	return s.pendingCall != 0 && b.now.Sub(s.calledAt) >= slowCallTime
}

// contended reports whether writes of the entry's shard conflict repeatedly. Nodes
// with quicker access to the table may change the budget's row between each read
// and write of this one.
func (b *Book) contended(e *entry) bool {
	return b.shards[e.shard].failures >= contendedFailures
}

// askWithoutTable asks a few peers for tokens while the table does not answer.
func (b *Book) askWithoutTable(e *entry) {
	w := &e.wait
	if b.now.Before(w.nextRound) {
		return
	}
	if b.pacing.evenShares {
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

// askPeersInRotation asks peers for tokens in rotation: the holders last read, and others
// as well while there are few of these, since they may be only a few of the current ones. It
// asks for what is missing and for the next requests, from each for a part of it, and for
// more in later rounds, which follow each other more slowly.
func (b *Book) askPeersInRotation(e *entry) {
	w := &e.wait
	nodes := b.others(b.peers)
	if len(nodes) == 0 {
		nodes = b.others(e.pool.row.Holders)
	}
	if len(nodes) == 0 {
		return
	}
	holders := b.liveHolders(e)
	missing := max(w.need, w.smallest) - e.loose()
	if b.marksLate(e) {
		missing = max(w.need, w.smallest) - e.free()
	}
	asked := min(b.pacing.fallbackPeers, len(nodes))
	want := missing
	if w.offlineRounds == 0 {
		lead := waxwingwall.Tokens(e.demand.spendRate(b.now) * askLeadTime.Seconds())
		want = min(missing, askSurplus*missing/waxwingwall.Tokens(asked)+1) + lead/waxwingwall.Tokens(asked)
	}
	w.offlineRounds++
	w.nextRound = b.now.Add(offlineRoundInterval << min(w.offlineRounds-1, maxRoundDoublings))
	b.roundCount++
	if b.now.Sub(w.drawerAskedAt) >= drawInterval {
		w.drawer = b.nextDrawer(e, nodes)
		w.drawerAskedAt = b.now
		b.askToDraw(e, w.drawer, missing, b.roundCount)
	}
	fromHolders := asked
	if len(holders) < asked {
		fromHolders = len(holders)
	}
	for i := range asked {
		from := nodes
		if i < fromHolders {
			from = holders
		}
		b.nextPeer++
		if to := from[b.nextPeer%len(from)]; to != w.drawer {
			b.ask(e, to, want, b.roundCount)
		}
	}
}

// liveHolders returns the other holders last read that are live.
func (b *Book) liveHolders(e *entry) []waxwingwall.Incarnation {
	var live []waxwingwall.Incarnation
	for _, node := range e.pool.row.Holders {
		if node != b.self && isHolder(b.peers, node) {
			live = append(live, node)
		}
	}
	return live
}

// nextDrawer returns the peer to ask to draw: first the one that last did, then the
// others in rotation.
func (b *Book) nextDrawer(e *entry, nodes []waxwingwall.Incarnation) waxwingwall.Incarnation {
	if e.wait.drawer.IsZero() && isHolder(nodes, b.donor) {
		return b.donor
	}
	b.nextPeer++
	return nodes[b.nextPeer%len(nodes)]
}

// pollHolders asks all holders for reports if the pool can't pay, and evaluates
// the answers.
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
	answered, silent := 0, 0
	for i := range w.reports {
		switch {
		case w.reports[i].answered:
			answered++
		case w.reports[i].silent:
			silent++
		}
	}
	if answered+silent < len(w.reports) && b.now.Before(w.askedAt.Add(roundTimeout)) {
		return
	}
	b.evaluateRound(e, answered == len(w.reports))
	if w.open && w.round == 0 && silent > 0 && !w.register {
		b.resolve(e, OutOfReach, 0, ReasonHoldersSilent)
	}
}

// startRound begins a round of reports.
func (b *Book) startRound(e *entry) {
	w := &e.wait
	b.roundCount++
	w.round = b.roundCount
	w.askedAt = b.now
	w.collect = false
	w.reports = w.reports[:0]
	nodes := b.holders(e.pool.row)
	for _, node := range append(e.unlisted(), w.unlisted...) {
		if !b.closed(node) {
			nodes = withHolder(nodes, node)
		}
	}
	for _, node := range b.others(nodes) {
		silent := b.silent(node)
		w.reports = append(w.reports, holderReport{
			node:   node,
			silent: silent,
		})
		if !silent {
			b.ask(e, node, 0, w.round)
		}
	}
}

// silent reports whether a holder is not among the live peers: it would not answer.
func (b *Book) silent(node waxwingwall.Incarnation) bool {
	return b.pacing.evenShares && len(b.peers) > 0 && !isHolder(b.peers, node)
}

// evaluateRound decides the next step from the answers of a round.
func (b *Book) evaluateRound(e *entry, allAnswered bool) {
	w := &e.wait
	free := e.spare() + e.pool.row.Pool()
	held := e.held() + e.pool.row.Pool()
	current := roundView{
		complete: allAnswered && b.askedAll(w),
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

// askedAll reports whether the round asked every unlisted node known so far that
// may be open.
func (b *Book) askedAll(w *wait) bool {
	for _, node := range w.unlisted {
		asked := node == b.self || b.closed(node)
		for i := range w.reports {
			asked = asked || w.reports[i].node == node
		}
		if !asked {
			return false
		}
	}
	return true
}

// collect asks holders for the missing tokens. The next write of the
// shard draws what is in the pool.
func (b *Book) collect(e *entry) {
	w := &e.wait
	missing := w.need - e.spare() - e.pool.row.Pool()
	b.roundCount++
	w.round = b.roundCount
	w.askedAt = b.now
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
