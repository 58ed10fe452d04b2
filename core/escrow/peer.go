package escrow

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// resendEvery is when an unacknowledged transfer is sent again.
	resendEvery = 500 * time.Millisecond

	// doubtAfter is how often it is sent again before the receiver's share row
	// is read, which happens every checkEvery.
	doubtAfter = 4
	checkEvery = 5 * time.Second

	// resendLimit is how often it is sent again. Then it counts as lost with
	// its receiver.
	resendLimit = 120
)

// AskShare asks a peer for tokens of a budget.
type AskShare struct {
	// Budget names the budget.
	Budget waxwingwall.Budget

	// Want is how many tokens are asked for; zero asks for a report only.
	Want waxwingwall.Tokens

	// Round is repeated in the answer.
	Round uint64

	// Took is the sum of all tokens ever received from the peer.
	Took waxwingwall.Tokens
}

// PassShare passes tokens and reports what its sender holds.
type PassShare struct {
	// Budget names the budget.
	Budget waxwingwall.Budget

	// Round is that of the question, zero when nobody asked.
	Round uint64

	// Sent is the sum of all tokens ever passed to the receiver. The receiver
	// keeps the largest.
	Sent waxwingwall.Tokens

	// Free is what the receiver could ask for.
	Free waxwingwall.Tokens

	// Held is all that may become free at the sender, Free included.
	Held waxwingwall.Tokens

	// Moves counts the changes of the sender's share other than by use.
	Moves uint64

	// Unlisted are nodes to which the sender passed tokens and that may not be
	// among the holders yet. Whoever asks has to ask them as well.
	Unlisted []waxwingwall.Incarnation
}

// TookShare acknowledges PassShare.
type TookShare struct {
	// Budget names the budget.
	Budget waxwingwall.Budget

	// Took is the sum of all tokens ever received from the peer.
	Took waxwingwall.Tokens
}

// others returns the nodes without this one.
func (b *Book) others(nodes []waxwingwall.Incarnation) []waxwingwall.Incarnation {
	others := make([]waxwingwall.Incarnation, 0, len(nodes))
	for _, node := range nodes {
		if node != b.self {
			others = append(others, node)
		}
	}
	return others
}

// ask sends a question.
func (b *Book) ask(e *entry, to waxwingwall.Incarnation, want waxwingwall.Tokens, round uint64) {
	b.counts.Asks++
	b.do(effect.Send{
		To: to,
		Message: AskShare{
			Budget: e.row.Budget,
			Want:   max(want, 0),
			Round:  round,
			Took:   e.took(to),
		},
	})
}

// took returns what was received from a peer.
func (e *entry) took(node waxwingwall.Incarnation) waxwingwall.Tokens {
	for i := range e.partners {
		if e.partners[i].node == node {
			return e.partners[i].received
		}
	}
	return 0
}

// received takes in a message of a peer.
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
	}
}

// ack takes in how much a peer received from this node.
func (e *entry) ack(from waxwingwall.Incarnation, took waxwingwall.Tokens) {
	if took == 0 {
		return
	}
	p := e.partner(from)
	p.acked = max(p.acked, min(took, p.sent))
}

// receivedAsk passes on what is asked for as far as it can be missed.
func (b *Book) receivedAsk(from waxwingwall.Incarnation, m AskShare) {
	e, ok := b.entries[m.Budget]
	if !ok || b.fenced {
		b.do(effect.Send{
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
	p := e.partner(from)
	if m.Round <= p.round {
		return
	}
	p.round = m.Round
	e.quiet = b.now.Add(b.pacing.patience)
	p.owed = min(m.Want, b.available(e, from)+p.owed)
	p.due = b.now.Add(2 * roundTime)
	b.payOwed(e)
	if p.owed == 0 || b.down {
		p.owed = 0
		b.pass(e, from, m.Round)
	}
	b.write(e.shard)
}

// bequeath passes what a retiring node has to spare to a peer while the table is
// out of reach.
func (b *Book) bequeath(e *entry) {
	if !b.retiring || b.fenced || !b.down && !b.slow(e) || e.cycle.open {
		return
	}
	heirs := b.others(b.peers)
	gift := min(e.free(), e.row.Sendable-e.sent)
	if gift <= 0 || len(heirs) == 0 {
		return
	}
	b.asked++
	p := e.partner(heirs[b.asked%len(heirs)])
	p.owed += gift
	p.due = b.now.Add(2 * roundTime)
	b.payOwed(e)
}

// available returns what a peer could have of an entry. Of two nodes that both
// wait, the lower one keeps what it needs, so that one of them gets all.
func (b *Book) available(e *entry, from waxwingwall.Incarnation) waxwingwall.Tokens {
	if b.fenced || b.draining {
		return 0
	}
	spare := e.spare() - e.owed()
	if e.cycle.open && compare(b.self, from) < 0 {
		spare -= e.cycle.need
	}
	return max(spare, 0)
}

// payOwed sends to peers what they are owed as far as the share row allows.
func (b *Book) payOwed(e *entry) {
	for i := range e.partners {
		p := &e.partners[i]
		if !b.now.Before(p.due) {
			p.owed = 0
		}
		pay := min(p.owed, e.free(), e.row.Sendable-e.sent)
		if pay <= 0 {
			continue
		}
		p.owed -= pay
		p.sent += pay
		e.sent += pay
		e.moves++
		p.resent = 0
		if !p.unlisted {
			p.unlisted = true
			p.check = b.now.Add(checkEvery)
		}
		b.counts.Passed += pay
		b.traded(e, Passed, pay, p.node)
		b.pass(e, p.node, p.round)
	}
}

// pass sends a peer its counter and a report.
func (b *Book) pass(e *entry, to waxwingwall.Incarnation, round uint64) {
	var sent waxwingwall.Tokens
	for i := range e.partners {
		p := &e.partners[i]
		if p.node == to {
			sent = p.sent
			p.resend = b.now.Add(resendEvery)
		}
	}
	b.do(effect.Send{
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

// receivedPass adds what a peer passed.
func (b *Book) receivedPass(from waxwingwall.Incarnation, m PassShare) {
	e := b.entry(m.Budget)
	if m.Sent > 0 && b.take(e, from, m.Sent) {
		b.do(effect.Send{
			To: from,
			Message: TookShare{
				Budget: m.Budget,
				Took:   e.took(from),
			},
		})
	}
	c := &e.cycle
	if c.open && c.round == m.Round {
		for _, node := range m.Unlisted {
			c.unlisted = withHolder(c.unlisted, node)
		}
		for i := range c.reports {
			r := &c.reports[i]
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

// take raises the counter of a peer, and reports whether to acknowledge it. A
// closed share row takes nothing: it could not give it back.
func (b *Book) take(e *entry, from waxwingwall.Incarnation, sent waxwingwall.Tokens) bool {
	if b.fenced || b.shards[e.shard].full {
		return false
	}
	p := e.partner(from)
	if sent > p.received {
		e.received += sent - p.received
		b.traded(e, Took, sent-p.received, from)
		p.received = sent
		e.moves++
		e.active = b.now
	}
	return true
}

// resendAll sends unacknowledged transfers of an entry again.
func (b *Book) resendAll(e *entry) {
	for i := range e.partners {
		p := &e.partners[i]
		if p.sent > p.acked && p.resent < resendLimit && !b.now.Before(p.resend) {
			p.resent++
			b.pass(e, p.node, 0)
		}
	}
}

// doubtful returns the share rows of peers that don't acknowledge, or that were
// not seen among the holders, with the budget's row in that case.
func (b *Book) doubtful(e *entry) []string {
	var keys []string
	unlisted := false
	for i := range e.partners {
		p := &e.partners[i]
		doubt := p.sent > p.acked && p.resent >= doubtAfter || p.unlisted
		if doubt && !b.now.Before(p.check) {
			p.check = b.now.Add(checkEvery)
			keys = append(keys, ShareKey(p.node, e.shard))
			unlisted = unlisted || p.unlisted
		}
	}
	if unlisted {
		keys = append(keys, BudgetKey(e.row.Budget))
	}
	return keys
}

// reclaim takes back what a peer had not received when it drained. Such a peer
// closed the row itself and takes nothing any more. A row that another closed
// tells nothing: its owner may live and use what it received since.
func (b *Book) reclaim(s *shard, row waxwingwall.Row) {
	for _, e := range s.entries {
		for i := range e.partners {
			p := &e.partners[i]
			if row.Key != ShareKey(p.node, e.shard) {
				continue
			}
			content, err := Decode[ShareRow](row)
			if err != nil || !content.Closed {
				continue
			}
			p.unlisted = false
			if content.By != p.node {
				continue
			}
			entry, _ := content.Find(e.row.Budget)
			took := entry.ReceivedFrom(b.self)
			e.sent -= p.sent - took
			e.moves++
			p.sent = took
			p.acked = took
		}
	}
}

// Messages returns one of each type that nodes send to each other, for the
// codec between them.
func Messages() []any {
	return []any{
		AskShare{},
		PassShare{},
		TookShare{},
	}
}
