package claim

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// offerTimeout is how long a receiver may take to file the claims of an offer.
	offerTimeout = 3 * time.Second

	// offerBackoff is the time after an offer that was not taken before the next.
	offerBackoff = 10 * time.Second

	// notifyInterval is the time between two messages that ask for the same answer.
	notifyInterval = time.Second

	// maxEnded bounds the claims of one Ended message.
	maxEnded = 128
)

// Give offers slots with all their claims.
type Give struct {
	// Offer counts the offers of the sender.
	Offer int64

	// Slots are offered at Epochs.
	Slots  []int
	Epochs []int64

	// Until is, for each slot, when unaccounted keys may be taken for new ones.
	Until []time.Time

	// Claims are those of the slots; those that run at the sender point to it.
	Claims []Claim
}

// Moved tells the receiver of slots that they have moved, so that it reads the
// slots row at once. When it is lost, the next survey tells.
type Moved struct {
	// Unused keeps the type encodable.
	Unused bool
}

// Taken tells that the claims of an offer are filed.
type Taken struct {
	// Offer is that of the Give.
	Offer int64
}

// Ended tells the owner of a slot how requests that it points to have ended.
type Ended struct {
	// Claims are in their last state at the sender.
	Claims []Claim
}

// EndedAck tells which claims of an Ended the owner has on record.
type EndedAck struct {
	// Claims hold Identity and Run only.
	Claims []Claim
}

// offer is the handoff that this router makes.
type offer struct {
	to     waxwingwall.Incarnation
	give   Give
	sentAt time.Time
	since  time.Time

	// moving is set once the claims are filed at the receiver; from then on the
	// offer cannot be taken back.
	moving bool
}

// receipt is the last offer that was taken from a peer.
type receipt struct {
	offer int64

	// seq is the log record that completes the claims.
	seq      int64
	answered bool
}

// handoff gives slots away that are above the fair part, or all when draining.
func (l *Ledger) handoff(now time.Time) {
	l.acknowledgeOffers()
	if l.give == nil && l.Ready() && len(l.slots.moves) == 0 && !l.table.unreachable && now.Sub(l.balancedAt) >= checkInterval {
		l.balancedAt = now
		l.offer(now)
	}
	o := l.give
	if o == nil || o.moving {
		return
	}
	if now.Sub(o.since) > offerTimeout || !l.alive(o.to) || l.table.unreachable {
		l.give = nil
		if !l.draining {
			l.balancedAt = now.Add(offerBackoff)
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

// offer chooses slots and a receiver.
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
		if e.State != StateGone || e.Home == l.self {
			o.give.Claims = append(o.give.Claims, e.handoffCopy(l.self))
		}
	}
	l.give = o
}

// handoffCopy returns the claim as another router is to hold it. A request that has
// not ended for certain is running here.
func (e *entry) handoffCopy(self waxwingwall.Incarnation) Claim {
	if e.Home == self && (e.settling || e.State == StateBegun) {
		e.referenced = true
	}
	return e.stableClaim(self)
}

// stableClaim returns the claim as it is known for certain: one whose end here is
// not stable yet is still running.
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

// chooseReceiver returns the peer with the fewest slots and how many it should get.
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

// acceptOffer files the claims of an offer.
func (l *Ledger) acceptOffer(now time.Time, from waxwingwall.Incarnation, m Give) {
	if r := l.receipts[from]; r != nil && r.offer >= m.Offer {
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
	l.receipts[from] = &receipt{
		offer: m.Offer,
		seq:   l.log.head,
	}
}

// validOffer reports whether the slots of an offer are the sender's, as far as is
// known here.
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

// replaceCopies replaces the copies of a slot's claims by those of its owner. What ran
// here itself is kept, unless the owner knows of a later run.
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

// keepsOwn reports whether an own entry outlasts the owner's view of its identity.
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
		r := l.receipts[p.Incarnation]
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
	o := l.give
	if o == nil || o.moving || o.to != from || o.give.Offer != m.Offer {
		return
	}
	o.moving = true
	l.slots.moves = append(l.slots.moves, &slotMove{
		slots:  o.give.Slots,
		epochs: o.give.Epochs,
		to:     o.to,
		onDone: func(time.Time) {
			l.give = nil
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

// notifyOwners sends ended requests to the owners of their slots.
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
		if len(byOwner[owner]) < maxEnded {
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

// receiveEnded takes in how requests that this owner points to have ended.
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

// conclude replaces a pointer by how the request ended.
func (l *Ledger) conclude(now time.Time, e *entry, c Claim) {
	e.Claim = c
	if c.State == StateInterrupted {
		e.Home = waxwingwall.Incarnation{}
	}
	e.settling = true
	l.appendAndWait(now, e)
}

// receiveEndedAck takes in what the owner of a slot has on record.
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
