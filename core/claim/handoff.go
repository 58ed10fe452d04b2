package claim

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// offerTimeout is the time in which the receiver of an offer has to file
	// its claims.
	offerTimeout = 3 * time.Second

	// offerBackoff is the delay after an offer that was cancelled because it
	// timed out, its receiver is dead or the table is unreachable. There is none
	// while draining.
	offerBackoff = 10 * time.Second

	// notifyInterval is the interval at which Give, Ended and Late messages are
	// repeated until they are answered.
	notifyInterval = time.Second

	// maxClaimsPerMessage limits the claims of one Ended or Late message.
	maxClaimsPerMessage = 128
)

// Give offers slots, together with all their claims, to another router.
type Give struct {
	// Offer is the sequence number of the offer at the sender.
	Offer int64

	// Slots and Epochs are the slots offered and their current epochs.
	Slots  []int
	Epochs []int64

	// Until is, for each slot, the time until which an unknown key may have
	// been used already.
	Until []time.Time

	// Claims are the claims of the slots. Those still running refer to the
	// sender as their Home.
	Claims []Claim
}

// Moved notifies the receiver of an offer that the slots have been moved, so
// that it reads the slots row at once. If the message is lost, the next poll
// has the same effect.
type Moved struct {
	// Unused makes the type encodable by gob.
	Unused bool
}

// Taken confirms that the claims of an offer are filed.
type Taken struct {
	// Offer is the Offer of the Give.
	Offer int64
}

// Ended notifies the owner of a slot of requests that have ended at the
// sender.
type Ended struct {
	// Claims are the final states.
	Claims []Claim
}

// EndedAck acknowledges the claims of an Ended that are stable at the owner.
type EndedAck struct {
	// Claims have only Identity and Run set.
	Claims []Claim
}

// offer is a handoff from this router to a peer.
type offer struct {
	to     waxwingwall.Incarnation
	give   Give
	sentAt time.Time
	since  time.Time

	// moving is set once the receiver has filed the claims; from then on the
	// offer cannot be cancelled.
	moving bool
}

// acceptedOffer is the last offer accepted from a peer.
type acceptedOffer struct {
	offer int64

	// seq is the last log record with claims of the offer; answered is set
	// once Taken was sent.
	seq      int64
	answered bool
}

// handoff offers the slots above this router's fair share to a peer, or all
// slots when draining.
func (l *Ledger) handoff(now time.Time) {
	l.acknowledgeOffers()
	if l.currentOffer == nil && l.Ready() && len(l.slots.moves) == 0 && !l.table.unreachable && now.Sub(l.handoffCheckedAt) >= checkInterval {
		l.handoffCheckedAt = now
		l.offer(now)
	}
	o := l.currentOffer
	if o == nil || o.moving {
		return
	}
	if now.Sub(o.since) > offerTimeout || !l.alive(o.to) || l.table.unreachable {
		l.currentOffer = nil
		if !l.draining {
			l.handoffCheckedAt = now.Add(offerBackoff)
		}
		for _, n := range o.give.Slots {
			l.refreshSlot(n)
		}
		return
	}
	if now.Sub(o.sentAt) >= notifyInterval {
		o.sentAt = now
		l.send(o.to, o.give)
	}
}

// offer starts a handoff if there are slots to offer and a peer to receive them.
func (l *Ledger) offer(now time.Time) {
	own := l.slots.owned(l.self)
	to, n := l.chooseReceiver(len(own))
	if n <= 0 {
		return
	}
	l.lastOffer++
	o := &offer{
		to:    to,
		since: now,
		give: Give{
			Offer: l.lastOffer,
			Slots: own[len(own)-n:],
		},
	}
	for _, slot := range o.give.Slots {
		l.slots.frozen[slot] = true
		o.give.Epochs = append(o.give.Epochs, l.slots.row.Slots[slot].Epoch)
		o.give.Until = append(o.give.Until, l.slots.uncertainUntil[slot])
	}
	for _, e := range l.selectClaims(func(e *entry) bool {
		return l.slots.frozen[e.Slot]
	}) {
		if e.State != StateNotRun || e.Home == l.self {
			o.give.Claims = append(o.give.Claims, e.handoffCopy(l.self))
		}
	}
	l.currentOffer = o
}

// handoffCopy returns the claim as a copy for another router, and marks it as
// referenced if the request is still running here.
func (e *entry) handoffCopy(self waxwingwall.Incarnation) Claim {
	if e.Home == self && (e.settling || e.State == StateBegun) {
		e.referenced = true
	}
	return e.stableClaim(self)
}

// stableClaim returns the last stable state of the claim: a request whose end
// here is not stable yet counts as running.
func (e *entry) stableClaim(self waxwingwall.Incarnation) Claim {
	c := e.Claim
	if e.Home == self && (e.settling || e.State == StateBegun) {
		c.State = StateBegun
		c.Outcome = ""
		c.Tokens = 0
		c.Answer = nil
	}
	return c
}

// chooseReceiver returns the peer with the fewest slots and the number of
// slots to offer; when draining, the next peer in turn.
func (l *Ledger) chooseReceiver(own int) (waxwingwall.Incarnation, int) {
	live := slices.Clone(l.candidates())
	if len(live) == 0 || own == 0 {
		return waxwingwall.Incarnation{}, 0
	}
	slices.SortFunc(live, func(a, b Peer) int {
		return compareIncarnations(a.Incarnation, b.Incarnation)
	})
	first := int(l.lastOffer) % len(live)
	live = append(live[first:], live[:first]...)
	fewest := slices.MinFunc(live, func(a, b Peer) int {
		return len(l.slots.owned(a.Incarnation)) - len(l.slots.owned(b.Incarnation))
	})
	if l.draining {
		return live[0].Incarnation, (own + len(live) - 1) / len(live)
	}
	all := len(live) + 1
	fair := len(l.slots.row.Slots) / all
	lack := fair - len(l.slots.owned(fewest.Incarnation))
	return fewest.Incarnation, min(lack, own-fair)
}

// acceptOffer appends the claims of an offer to the log.
func (l *Ledger) acceptOffer(now time.Time, from waxwingwall.Incarnation, m Give) {
	if r := l.acceptedOffers[from]; r != nil && r.offer >= m.Offer {
		r.answered = r.answered && r.offer != m.Offer
		return
	}
	if !l.Ready() || l.draining || l.closing || !l.validOffer(from, m) {
		return
	}
	for i, n := range m.Slots {
		l.replaceCopies(now, n, copySource{
			epoch: m.Epochs[i],
		}, m.Until[i], m.Claims)
	}
	l.acceptedOffers[from] = &acceptedOffer{
		offer: m.Offer,
		seq:   l.log.head,
	}
}

// validOffer reports whether an offer is well-formed, its slots belong to the
// sender as far as this router knows, and its claims are newer than the copies
// held here.
func (l *Ledger) validOffer(from waxwingwall.Incarnation, m Give) bool {
	for i, n := range m.Slots {
		if n < 0 || n >= len(l.slots.row.Slots) || i >= len(m.Epochs) || i >= len(m.Until) {
			return false
		}
		s := l.slots.row.Slots[n]
		if s.Epoch > m.Epochs[i] || s.Epoch == m.Epochs[i] && s.Owner != from {
			return false
		}
		o := copySource{
			epoch: m.Epochs[i],
		}
		if !o.newer(l.slots.sources[n]) {
			return false
		}
	}
	return true
}

// replaceCopies replaces the copies of a slot's claims by those of its owner.
// Requests that ran on this router are kept, unless the owner knows of a later
// run.
func (l *Ledger) replaceCopies(now time.Time, slot int, from copySource, uncertainUntil time.Time, claims []Claim) {
	l.slots.sources[slot] = from
	newer := make(map[waxwingwall.Identity]Claim)
	for _, c := range claims {
		if c.Slot == slot {
			newer[c.Identity] = c
		}
	}
	l.appendRecord(now, Claim{
		Slot:  slot,
		State: StateReset,
		At:    uncertainUntil,
	})
	delete(l.slots.uncertainUntil, slot)
	if uncertainUntil.After(now) {
		l.slots.uncertainUntil[slot] = uncertainUntil
	}
	for _, e := range l.inSlot(slot) {
		if l.keepsOwn(e, newer) {
			delete(newer, e.Identity)
			continue
		}
		delete(l.claims, e.Identity)
	}
	for _, c := range claims {
		if _, ok := newer[c.Identity]; !ok || c.Slot != slot {
			continue
		}
		l.claims[c.Identity] = &entry{
			Claim: c,
			seq:   l.appendRecord(now, c),
		}
	}
}

// keepsOwn reports whether an entry takes precedence over the owner's claim
// for the same identity.
func (l *Ledger) keepsOwn(e *entry, newer map[waxwingwall.Identity]Claim) bool {
	if e.Home != l.self {
		return false
	}
	c, ok := newer[e.Identity]
	switch {
	case e.State == StateBegun || e.State == StateFinished:
		return true
	case !ok:
		return false
	}
	return c.State == StateBegun && c.Home == l.self && c.Run == e.Run
}

// acknowledgeOffers answers the offers whose claims are filed.
func (l *Ledger) acknowledgeOffers() {
	for _, p := range l.peers {
		r := l.acceptedOffers[p.Incarnation]
		if r == nil || r.answered || l.log.filed < r.seq {
			continue
		}
		r.answered = true
		l.send(p.Incarnation, Taken{
			Offer: r.offer,
		})
	}
}

// offerTaken moves the slots of an offer whose claims the receiver has filed.
func (l *Ledger) offerTaken(_ time.Time, from waxwingwall.Incarnation, m Taken) {
	o := l.currentOffer
	if o == nil || o.moving || o.to != from || o.give.Offer != m.Offer {
		return
	}
	o.moving = true
	l.slots.moves = append(l.slots.moves, &slotMove{
		slots:  o.give.Slots,
		epochs: o.give.Epochs,
		to:     o.to,
		onDone: func(time.Time) {
			l.currentOffer = nil
			for _, n := range o.give.Slots {
				l.refreshSlot(n)
			}
			l.emit(effect.Send{
				To:      o.to,
				Message: Moved{},
			})
		},
	})
}

// notifyOwners sends the requests that ended here to the owners of their
// slots.
func (l *Ledger) notifyOwners(now time.Time) {
	if len(l.unreported) == 0 || now.Sub(l.notifiedAt) < notifyInterval {
		return
	}
	l.notifiedAt = now
	l.unreported = slices.DeleteFunc(l.unreported, func(id waxwingwall.Identity) bool {
		e := l.claims[id]
		return e == nil || !e.unreported
	})
	byOwner := make(map[waxwingwall.Incarnation][]Claim)
	var owners []waxwingwall.Incarnation
	for _, id := range l.unreported {
		e := l.claims[id]
		owner := l.slots.owner(e.Slot)
		if len(byOwner[owner]) == 0 {
			owners = append(owners, owner)
		}
		if len(byOwner[owner]) < maxClaimsPerMessage {
			byOwner[owner] = append(byOwner[owner], e.Claim)
		}
	}
	slices.SortFunc(owners, compareIncarnations)
	for _, o := range owners {
		l.send(o, Ended{
			Claims: byOwner[o],
		})
	}
}

// receiveEnded records the outcomes of requests that ran on another router.
func (l *Ledger) receiveEnded(now time.Time, from waxwingwall.Incarnation, m Ended) {
	var acked []Claim
	for _, c := range m.Claims {
		if !l.owns(c.Slot) {
			l.pollSoon()
			continue
		}
		e := l.claims[c.Identity]
		if e != nil && e.State == StateBegun && e.Home == from && e.Run == c.Run {
			l.conclude(now, e, c)
		}
		if e == nil || e.seq <= l.log.stable {
			acked = append(acked, Claim{
				Identity: c.Identity,
				Run:      c.Run,
			})
		}
	}
	if len(acked) > 0 {
		l.send(from, EndedAck{
			Claims: acked,
		})
	}
}

// conclude replaces the claim of a request that ran on another router by its
// final state.
func (l *Ledger) conclude(now time.Time, e *entry, c Claim) {
	e.Claim = c
	if c.State == StateInterrupted {
		e.Home = waxwingwall.Incarnation{}
	}
	e.settling = true
	l.appendAndWait(now, e)
}

// receiveEndedAck processes what the owner of a slot has acknowledged.
func (l *Ledger) receiveEndedAck(_ waxwingwall.Incarnation, m EndedAck) {
	for _, c := range m.Claims {
		e := l.claims[c.Identity]
		if e == nil || !e.unreported || e.Run != c.Run {
			continue
		}
		e.unreported = false
		e.referenced = false
		if e.State != StateFinished {
			delete(l.claims, c.Identity)
		}
	}
}
