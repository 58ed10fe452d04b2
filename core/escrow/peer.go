package escrow

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// drawLeadTime is how long tokens that a peer draws for this node should last,
	// beyond the requests that wait for them.
	drawLeadTime = 2 * time.Second

	// drawInterval is the time after which another peer is asked to draw.
	drawInterval = 200 * time.Millisecond

	// resendInterval is the interval at which an unacknowledged transfer is
	// resent.
	resendInterval = 500 * time.Millisecond

	// checkAfterResends is the number of resends after which the receiver's
	// share row is read, every checkInterval.
	checkAfterResends = 4
	checkInterval     = 5 * time.Second

	// maxResends is the maximum number of resends. After that the transfer and
	// its receiver count as lost.
	maxResends = 120
)

// AskShare asks a peer for tokens of a budget.
type AskShare struct {
	// Budget is the budget that the tokens belong to.
	Budget waxwingwall.Budget

	// Want is the number of tokens asked for; zero asks for a report only.
	Want waxwingwall.Tokens

	// Round is repeated in the answer.
	Round uint64

	// Took is the sum of all tokens ever received from the peer.
	Took waxwingwall.Tokens

	// Draw asks the peer to draw from the pool what it can't spare, as the sender
	// has no access to it, and Lead tokens more for later requests.
	Draw bool
	Lead waxwingwall.Tokens
}

// PassShare transfers tokens and reports what its sender holds.
type PassShare struct {
	// Budget is the budget that the tokens belong to.
	Budget waxwingwall.Budget

	// Round is the round of the AskShare; zero if unsolicited.
	Round uint64

	// Sent is the sum of all tokens ever sent to the receiver. The receiver
	// keeps the maximum.
	Sent waxwingwall.Tokens

	// Free is what the receiver could ask for.
	Free waxwingwall.Tokens

	// Held is all that may become free at the sender, including Free.
	Held waxwingwall.Tokens

	// Moves counts the changes of the sender's share other than by use.
	Moves uint64

	// Unlisted are nodes to which the sender sent tokens and that may not be
	// among the holders yet. The receiver has to ask them as well.
	Unlisted []waxwingwall.Incarnation
}

// TookShare acknowledges PassShare.
type TookShare struct {
	// Budget is the budget that the tokens belong to.
	Budget waxwingwall.Budget

	// Took is the sum of all tokens ever received from the peer.
	Took waxwingwall.Tokens
}

// others returns the nodes except this one.
func (b *Book) others(nodes []waxwingwall.Incarnation) []waxwingwall.Incarnation {
	others := make([]waxwingwall.Incarnation, 0, len(nodes))
	for _, node := range nodes {
		if node != b.self {
			others = append(others, node)
		}
	}
	return others
}

// ask sends an AskShare to a peer.
func (b *Book) ask(e *entry, to waxwingwall.Incarnation, want waxwingwall.Tokens, round uint64) {
	b.sendAsk(e, to, AskShare{
		Want:  max(want, 0),
		Round: round,
	})
}

// askToDraw asks a peer for tokens, which it draws from the pool if necessary.
func (b *Book) askToDraw(e *entry, to waxwingwall.Incarnation, want waxwingwall.Tokens, round uint64) {
	b.sendAsk(e, to, AskShare{
		Want:  max(want, 0),
		Round: round,
		Draw:  true,
		Lead:  waxwingwall.Tokens(e.demand.spendRate(b.now) * drawLeadTime.Seconds()),
	})
}

// sendAsk sends an AskShare and sets the fields that do not depend on its purpose.
func (b *Book) sendAsk(e *entry, to waxwingwall.Incarnation, m AskShare) {
	m.Budget = e.row.Budget
	m.Took = e.receivedFrom(to)
	b.counts.Asks++
	b.emit(effect.Send{
		To:      to,
		Message: m,
	})
}

// receivedFrom returns what was received from a peer.
func (e *entry) receivedFrom(node waxwingwall.Incarnation) waxwingwall.Tokens {
	for i := range e.peers {
		if e.peers[i].node == node {
			return e.peers[i].received
		}
	}
	return 0
}

// received handles a message from a peer.
func (b *Book) received(ev effect.Received) {
	switch m := ev.Message.(type) {
	case AskShare:
		b.receivedAsk(ev.From, m)
	case PassShare:
		b.receivedPass(ev.From, m)
	case TookShare:
		if e, ok := b.entries[m.Budget]; ok {
			e.ack(ev.From, m.Took)
		}
	case MarksKept:
		b.marksKept(ev.From, m)
	}
}

// ack records how much a peer has received from this node.
func (e *entry) ack(from waxwingwall.Incarnation, received waxwingwall.Tokens) {
	if received == 0 {
		return
	}
	p := e.peer(from)
	p.acked = max(p.acked, min(received, p.sent))
}

// receivedAsk sends the requested tokens as far as this node can spare them.
func (b *Book) receivedAsk(from waxwingwall.Incarnation, m AskShare) {
	e, ok := b.entries[m.Budget]
	if !ok || b.fenced {
		b.emit(effect.Send{
			To: from,
			Message: PassShare{
				Budget: m.Budget,
				Round:  m.Round,
			},
		})
		return
	}
	e.ack(from, m.Took)
	if m.Want == 0 {
		b.pass(e, from, m.Round)
		return
	}
	p := e.peer(from)
	if m.Round <= p.lastRound {
		return
	}
	p.lastRound = m.Round
	e.quietUntil = b.now.Add(b.pacing.waitTimeout)
	want, limit := m.Want, b.available(e, from)+p.pending
	p.drawing = m.Draw && !b.tableDown && !b.frozen && !b.draining && e.exists()
	switch {
	case p.drawing && !e.pool.known:
		limit = want
	case p.drawing:
		want += min(m.Lead, b.target(e))
		limit += max(e.pool.row.Pool(), 0)
	}
	p.pending = min(want, limit)
	p.pendingUntil = b.now.Add(2 * roundTimeout)
	b.sendMarks(&b.shards[e.shard])
	b.sendPending(e)
	if p.pending == 0 || b.tableDown || b.frozen {
		p.pending = 0
		b.pass(e, from, m.Round)
	}
	b.write(e.shard)
}

// drawing returns the sum of the pending transfers for which tokens are drawn from
// the pool.
func (e *entry) drawing() waxwingwall.Tokens {
	var sum waxwingwall.Tokens
	for i := range e.peers {
		if e.peers[i].drawing {
			sum += e.peers[i].pending
		}
	}
	return sum
}

// limitDrawing reduces the pending transfers for which tokens are drawn to what the
// pool and this node have.
func (e *entry) limitDrawing() {
	left := max(e.pool.row.Pool()+e.spare(), 0)
	for i := range e.peers {
		p := &e.peers[i]
		if p.drawing {
			p.pending = min(p.pending, left)
			left -= p.pending
		}
	}
}

// donateSpare sends the spare tokens of a retiring node to a peer while the
// table is unreachable.
func (b *Book) donateSpare(e *entry) {
	if !b.retiring || b.fenced || !b.tableDown && !b.callSlow(e) || e.wait.open {
		return
	}
	nodes := b.others(b.peers)
	amount := min(e.loose()-e.pending(), e.row.Sendable-e.sent-e.pending())
	if amount <= 0 || len(nodes) == 0 {
		return
	}
	b.nextPeer++
	p := e.peer(nodes[b.nextPeer%len(nodes)])
	p.pending += amount
	p.pendingUntil = b.now.Add(2 * roundTimeout)
	b.sendPending(e)
}

// available returns what a peer could have of an entry. If both nodes wait, the
// first one in the order of incarnations keeps what it needs, so that one of them
// gets all.
func (b *Book) available(e *entry, from waxwingwall.Incarnation) waxwingwall.Tokens {
	if b.fenced || b.draining {
		return 0
	}
	spare := e.spare() - e.pending()
	if e.wait.open && compare(b.self, from) < 0 {
		spare -= e.wait.need
	}
	return max(spare, 0)
}

// sendPending makes the pending transfers to peers as far as the share row allows.
func (b *Book) sendPending(e *entry) {
	for i := range e.peers {
		p := &e.peers[i]
		if !b.now.Before(p.pendingUntil) {
			p.pending = 0
		}
		amount := min(p.pending, e.free(), e.row.Sendable-e.sent)
		if amount <= 0 {
			continue
		}
		p.pending -= amount
		p.sent += amount
		e.sent += amount
		e.moves++
		p.resends = 0
		if !p.unlisted {
			p.unlisted = true
			p.nextCheck = b.now.Add(checkInterval)
		}
		b.counts.Passed += amount
		b.emitTraded(e, Passed, amount, p.node)
		b.pass(e, p.node, p.lastRound)
	}
}

// pass sends a peer its counter and a report.
func (b *Book) pass(e *entry, to waxwingwall.Incarnation, round uint64) {
	var sent waxwingwall.Tokens
	for i := range e.peers {
		p := &e.peers[i]
		if p.node == to {
			sent = p.sent
			p.nextResend = b.now.Add(resendInterval)
		}
	}
	b.emit(effect.Send{
		To: to,
		Message: PassShare{
			Budget: e.row.Budget,
			Round:  round,
			Sent:   sent,
			Free:   b.available(e, to),
			Held:   e.held(),
			Moves:  e.moves,

			Unlisted: e.unlisted(),
		},
	})
}

// receivedPass handles a transfer and report from a peer.
func (b *Book) receivedPass(from waxwingwall.Incarnation, m PassShare) {
	e := b.entry(m.Budget)
	if m.Sent > 0 && b.acceptTransfer(e, from, m.Sent) {
		b.emit(effect.Send{
			To: from,
			Message: TookShare{
				Budget: m.Budget,
				Took:   e.receivedFrom(from),
			},
		})
	}
	w := &e.wait
	if w.open && w.round == m.Round {
		for _, node := range m.Unlisted {
			w.unlisted = withHolder(w.unlisted, node)
		}
		for i := range w.reports {
			r := &w.reports[i]
			if r.node == from {
				r.answered = true
				r.free = m.Free
				r.held = m.Held
				r.moves = m.Moves
			}
		}
	}
	b.advance(e)
	b.write(e.shard)
}

// acceptTransfer raises the received counter of a peer and reports whether to
// acknowledge it. A closed share row accepts nothing, as it could not return
// it.
func (b *Book) acceptTransfer(e *entry, from waxwingwall.Incarnation, sent waxwingwall.Tokens) bool {
	if b.fenced || b.shards[e.shard].noReceive {
		return false
	}
	p := e.peer(from)
	if sent > p.received {
		e.received += sent - p.received
		b.emitTraded(e, Took, sent-p.received, from)
		if from == e.wait.drawer {
			b.donor = from
		}
		p.received = sent
		e.moves++
		e.lastActive = b.now
	}
	return true
}

// resendAll resends the unacknowledged transfers of an entry.
func (b *Book) resendAll(e *entry) {
	for i := range e.peers {
		p := &e.peers[i]
		if p.sent > p.acked && p.resends < maxResends && !b.now.Before(p.nextResend) {
			p.resends++
			b.pass(e, p.node, 0)
		}
	}
}

// keysToCheck returns the share rows of the peers that don't acknowledge or
// have not been seen among the holders, and in the latter case the budget's
// row.
func (b *Book) keysToCheck(e *entry) []string {
	var keys []string
	unlisted := false
	for i := range e.peers {
		p := &e.peers[i]
		due := p.sent > p.acked && p.resends >= checkAfterResends || p.unlisted
		if due && !b.now.Before(p.nextCheck) {
			p.nextCheck = b.now.Add(checkInterval)
			keys = append(keys, ShareKey(p.node, e.shard))
			unlisted = unlisted || p.unlisted
		}
	}
	if unlisted {
		keys = append(keys, BudgetKey(e.row.Budget))
	}
	return keys
}

// reclaim takes back what a peer had not received when it drained: such a peer
// closed the row itself and accepts no more tokens. A row closed by another
// node proves nothing: its owner may be live and use what it received since.
func (b *Book) reclaim(s *shard, row waxwingwall.Row) {
	for _, e := range s.entries {
		for i := range e.peers {
			p := &e.peers[i]
			if row.Key != ShareKey(p.node, e.shard) {
				continue
			}
			content, err := Decode[ShareRow](row)
			if err != nil || !content.Closed {
				continue
			}
			p.unlisted = false
			if content.ClosedBy != p.node {
				continue
			}
			entry, _ := content.Find(e.row.Budget)
			received := entry.ReceivedFrom(b.self)
			e.sent -= p.sent - received
			e.moves++
			p.sent = received
			p.acked = received
		}
	}
}

// Messages returns one value of each message type exchanged between nodes, for
// their codec.
func Messages() []any {
	return []any{
		AskShare{},
		PassShare{},
		TookShare{},
		GrantNotice{},
		MarksKept{},
		SealMarks{},
		MarksSealed{},
	}
}
