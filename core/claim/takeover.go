package claim

import (
	"slices"
	"time"

	"waxwingwall"
)

// unseenFactor divides the time for which an incarnation that this router has
// never seen live has been suspected, since membership may not know that
// incarnation yet.
const unseenFactor = 4

// takeover is the takeover of the slots of a dead incarnation, closing it
// first if needed. There is one at a time.
type takeover struct {
	dead waxwingwall.Incarnation

	// row and version are the node row as read. If this router is the witness,
	// sealedRecords are the unfiled records of the sealed log and sealedThrough
	// is the number of its last record.
	row           NodeRow
	version       int64
	sealedRecords []Record
	sealedThrough int64

	// seq is the last own log record with claims taken over. filing is set
	// until that record is filed and the move of the slots is queued.
	seq    int64
	filing bool

	slots  []int
	epochs []int64

	// sharesReturned is set once the budget shares are returned; announcedAt
	// is when PeerClosed was emitted.
	sharesReturned bool
	announcedAt    time.Time
}

// shareReturnTimeout limits how long the slots wait for the shares.
const shareReturnTimeout = 10 * time.Second

// SharesReturned reports that the budget shares of a closed incarnation are
// returned.
func (l *Ledger) SharesReturned(dead waxwingwall.Incarnation) {
	if l.takeover != nil && l.takeover.dead == dead {
		l.takeover.sharesReturned = true
	}
}

// alive reports whether membership considers i live.
func (l *Ledger) alive(i waxwingwall.Incarnation) bool {
	n, ok := slices.BinarySearchFunc(l.peers, i, func(p Peer, i waxwingwall.Incarnation) int {
		return compareIncarnations(p.Incarnation, i)
	})
	return i == l.self || ok && l.peers[n].Alive
}

func (l *Ledger) domainOf(i waxwingwall.Incarnation) waxwingwall.Domain {
	for _, p := range l.peers {
		if p.Incarnation == i {
			return p.Domain
		}
	}
	return ""
}

// updateSuspects updates the set of suspected incarnations: those not live
// among the owners of slots, the peers, the witnesses of dead peers, the
// primaries of this router, and the homes of running requests in own slots.
func (l *Ledger) updateSuspects(now time.Time) {
	dead := make(map[waxwingwall.Incarnation]bool)
	add := func(i waxwingwall.Incarnation) {
		if !i.IsZero() && !l.alive(i) {
			dead[i] = true
		}
	}
	for _, s := range l.slots.row.Slots {
		add(s.Owner)
	}
	for _, p := range l.peers {
		add(p.Incarnation)
		if s, ok := l.table.others[p.Incarnation]; ok && dead[p.Incarnation] {
			add(s.Witness)
		}
	}
	for p := range l.witnessedLogs {
		add(p.primary)
	}
	for _, e := range l.claims {
		if e.State == StateBegun && l.owns(e.Slot) {
			add(e.Home)
		}
	}
	for i := range l.suspects {
		if !dead[i] {
			delete(l.suspects, i)
		}
	}
	for i := range dead {
		if _, ok := l.suspects[i]; !ok {
			l.suspects[i] = now
			l.pollSoon()
		}
	}
}

// checkTakeover closes dead incarnations and takes over their slots.
func (l *Ledger) checkTakeover(now time.Time) {
	if l.takeover != nil {
		l.finishTakeover(now)
		return
	}
	if !l.Ready() || l.closing || l.table.unreachable {
		return
	}
	if now.Sub(l.takeoverCheckedAt) < checkInterval {
		return
	}
	l.takeoverCheckedAt = now
	for _, i := range l.sortedSuspects() {
		s, ok := l.table.others[i]
		if !ok || !l.takeoverDue(now, i, s) {
			continue
		}
		l.startTakeover(now, i, s)
		return
	}
}

// sortedSuspects lists the suspected incarnations in order.
func (l *Ledger) sortedSuspects() []waxwingwall.Incarnation {
	var list []waxwingwall.Incarnation
	for i := range l.suspects {
		list = append(list, i)
	}
	slices.SortFunc(list, compareIncarnations)
	return list
}

// takeoverDue reports whether this router should act on a dead incarnation
// now.
func (l *Ledger) takeoverDue(now time.Time, dead waxwingwall.Incarnation, s nodeView) bool {
	waited := now.Sub(l.suspects[dead])
	if !l.everAlive[dead] && !l.replaced(dead) {
		waited /= unseenFactor
	}
	if s.State == NodeClosed {
		return !l.draining && l.needsTakeover(dead) && (s.Closer == l.self || l.hasRequestAt(dead) || waited >= l.turnDelay(dead))
	}
	if waited < l.suspectTimeout || now.Sub(s.unchangedSince) < l.suspectTimeout {
		return false
	}
	switch {
	case l.witnessedLogOf(dead, s.NodeRow) != nil:
		return true
	case l.draining:
		return false
	case s.Witness.IsZero():
		return waited >= l.suspectTimeout+l.turnDelay(dead)
	case s.Witness != l.self && l.alive(s.Witness):
		return false
	}
	threshold := 2 * l.suspectTimeout
	if l.suspectsMost() {
		threshold *= 4
	}
	return waited >= threshold+l.turnDelay(dead)
}

// replaced reports whether a later incarnation of the same VM is live.
func (l *Ledger) replaced(dead waxwingwall.Incarnation) bool {
	if dead.VM == l.self.VM {
		return dead.Boot < l.self.Boot
	}
	return slices.ContainsFunc(l.ranked, func(p Peer) bool {
		return p.Incarnation.VM == dead.VM && p.Incarnation.Boot > dead.Boot
	})
}

// suspectsMost reports whether more than half of the peers are suspected or
// leaving. If most are suspected, it is more likely that this router's own
// network has failed.
func (l *Ledger) suspectsMost() bool {
	return 2*len(l.candidates()) < len(l.peers)
}

// witnessedLogOf returns the log of an incarnation if its row names this router
// as the witness, otherwise nil.
func (l *Ledger) witnessedLogOf(dead waxwingwall.Incarnation, row NodeRow) *witnessedLog {
	if row.Witness != l.self {
		return nil
	}
	return l.witnessedLogs[pairing{
		primary: dead,
		number:  row.Pairing,
	}]
}

// turnDelay returns how long this router waits before an action that any
// router may perform. The delay differs between routers, so that mostly one of
// them acts.
func (l *Ledger) turnDelay(dead waxwingwall.Incarnation) time.Duration {
	var wait time.Duration
	own := pairHash(dead, l.self)
	for _, p := range l.candidates() {
		if pairHash(dead, p.Incarnation) < own {
			wait += l.suspectTimeout
		}
	}
	return wait
}

// needsTakeover reports whether this router has work left for a closed
// incarnation.
func (l *Ledger) needsTakeover(dead waxwingwall.Incarnation) bool {
	return len(l.slots.owned(dead)) > 0 || l.hasRequestAt(dead)
}

// hasRequestAt reports whether a request of an own slot is running at i.
func (l *Ledger) hasRequestAt(i waxwingwall.Incarnation) bool {
	for _, e := range l.claims {
		if e.State == StateBegun && e.Home == i && l.owns(e.Slot) {
			return true
		}
	}
	return false
}

// startTakeover reads the bill rows, and closes an incarnation that is still
// open.
func (l *Ledger) startTakeover(now time.Time, dead waxwingwall.Incarnation, s nodeView) {
	r := &takeover{
		dead:    dead,
		row:     s.NodeRow,
		version: s.version,
	}
	l.takeover = r
	if s.State == NodeOpen {
		r.row.State = NodeClosed
		r.row.Closer = l.self
	}
	l.readHistory(now, dead, func(now time.Time, rows []waxwingwall.Row) {
		h := replay(dead, rows)
		if s.State == NodeOpen {
			l.sealLog(r, s)
			l.close(now, r, h)
			return
		}
		l.copyClaims(now, r, h)
	})
}

// sealLog stops accepting records of the dead incarnation, if this router is
// its witness. It is called only after the table has answered: a sealed
// incarnation that cannot be closed would make no progress.
func (l *Ledger) sealLog(r *takeover, s nodeView) {
	r.row.Exact = s.Witness.IsZero()
	t := l.witnessedLogOf(r.dead, s.NodeRow)
	if t == nil {
		return
	}
	t.sealed = true
	r.row.Exact = true
	r.sealedRecords = slices.Clone(t.records)
	r.sealedThrough = t.held
}

// close files the rest of the log and closes the node row, in one transaction.
func (l *Ledger) close(now time.Time, r *takeover, h *history) {
	r.sealedRecords = slices.DeleteFunc(r.sealedRecords, func(rec Record) bool {
		return rec.Seq <= h.through
	})
	rest := compact(r.sealedRecords)
	h.applyBilled(rest)
	ends := h.endOpen(now)
	h.applyBilled(ends)
	final := BillRow{
		Through: max(h.through, r.sealedThrough),
		Claims:  append(rest, ends...),
	}
	l.commit([]waxwingwall.Write{
		{
			Key:    NodeKey(r.dead),
			Expect: r.version,
			Value:  encode(r.row),
		},
		{
			Key:   BillKey(r.dead, h.rows+1),
			Value: encode(final),
		},
	}, func(now time.Time, done bool, _ []int64) {
		if !done {
			l.abortTakeover(r)
			return
		}
		l.copyClaims(now, r, h)
	})
}

// abortTakeover cancels a takeover after a conflict; the next poll reads the
// actual state.
func (l *Ledger) abortTakeover(r *takeover) {
	delete(l.table.others, r.dead)
	l.takeover = nil
	l.pollSoon()
}

// copyClaims records copies of the claims of a closed incarnation's slots, and
// the outcomes of requests that ran there and belong to slots of this router.
func (l *Ledger) copyClaims(now time.Time, r *takeover, h *history) {
	for _, p := range l.pairings() {
		if p.primary == r.dead {
			if t := l.witnessedLogs[p]; t.spare && !r.row.Exact {
				l.late = append(l.late, t.late()...)
			}
			delete(l.witnessedLogs, p)
		}
	}
	l.table.others[r.dead] = nodeView{
		NodeRow: r.row,
		version: r.version + 1,
		readAt:  now,
	}
	r.announcedAt = now
	l.emit(PeerClosed{
		Dead:  r.dead,
		Exact: r.row.Exact,
		Spent: h.spentByBudget(),
	})
	l.resolveRequests(now, r, h)
	for _, n := range l.slots.owned(r.dead) {
		from := copySource{
			epoch: l.slots.row.Slots[n].Epoch,
			final: true,
		}
		if !from.newer(l.slots.sources[n]) {
			continue
		}
		r.slots = append(r.slots, n)
		r.epochs = append(r.epochs, from.epoch)
		l.replaceCopies(now, n, from, l.uncertainUntil(now, r, h.until[n]), h.retained(now, n, l.retention))
	}
	r.seq = l.log.head
	r.filing = true
}

// uncertainUntil returns the time until which unknown keys of a slot may have
// been used already.
func (l *Ledger) uncertainUntil(now time.Time, r *takeover, until time.Time) time.Time {
	if r.row.Exact {
		return until
	}
	if later := now.Add(2 * l.retention); later.After(until) {
		return later
	}
	return until
}

// retained lists the claims of a slot that are within the retention or have
// not finished.
func (h *history) retained(now time.Time, slot int, retention time.Duration) []Claim {
	var list []Claim
	for _, c := range h.sorted() {
		if c.Slot == slot && (c.State != StateFinished || now.Sub(c.At) <= retention) {
			list = append(list, c)
		}
	}
	return list
}

// resolveRequests records the outcomes of requests of own slots that ran at a
// closed incarnation, according to its log.
func (l *Ledger) resolveRequests(now time.Time, r *takeover, h *history) {
	for _, e := range l.selectClaims(func(e *entry) bool {
		return e.State == StateBegun && e.Home == r.dead && l.owns(e.Slot)
	}) {
		c, ok := h.claims[e.Identity]
		switch {
		case ok:
		case r.row.Exact:
			c = e.Claim
			c.State = StateNotRun
		case e.Idempotent:
			c = e.Claim
			c.State = StateInterrupted
			c.Tokens = e.Earlier
		default:
			c = unknownOutcome(e.Claim, l.self)
			e.noCaller = true
		}
		c.At = now
		l.conclude(now, e, c)
	}
}

// finishTakeover moves the slots once their claims are filed and the budget
// shares are returned.
func (l *Ledger) finishTakeover(now time.Time) {
	r := l.takeover
	if !r.filing || l.log.filed < r.seq {
		return
	}
	if l.awaitShares && !r.sharesReturned && now.Sub(r.announcedAt) < shareReturnTimeout {
		return
	}
	r.filing = false
	l.slots.moves = append(l.slots.moves, &slotMove{
		slots:  r.slots,
		epochs: r.epochs,
		to:     l.self,
		onDone: func(time.Time) {
			l.takeover = nil
			for _, n := range r.slots {
				if !l.owns(n) {
					l.refreshSlot(n)
				}
			}
		},
	})
}
