package claim

import (
	"cmp"
	"slices"
	"time"

	"waxwingwall"
)

// maxEpoch limits Slot.Epoch, so that a next one can be given out.
const maxEpoch = 1 << 53

// slots is the local view of the slots row.
type slots struct {
	row     SlotsRow
	version int64

	// frozen are own slots that are being handed off; they accept no new key.
	frozen map[int]bool

	// uncertainUntil is set for slots whose previous owner lost a part of its
	// log. Until that time an unknown key may have been used already.
	uncertainUntil map[int]time.Time

	// sources is, for each slot, the source of the copies of its claims.
	sources map[int]copySource

	// moves are pending changes of the row, made one at a time. writing is set
	// while a write of the row is in flight.
	moves   []*slotMove
	writing bool
}

// copySource identifies where the copies of a slot's claims come from: its
// owner at an epoch. A router that holds them can gain the slot only at the
// next epoch.
type copySource struct {
	epoch int64

	// final is set if that owner was closed, so that the copies are complete.
	// A late offer of that owner does not replace them.
	final bool
}

// newer reports whether copies from o may replace those from p.
func (o copySource) newer(p copySource) bool {
	return o.epoch > p.epoch || o.epoch == p.epoch && (o.final || !p.final)
}

// slotMove is a change of the owner of some slots in the table.
type slotMove struct {
	// slots and epochs correspond by index. A slot whose epoch differs is
	// skipped.
	slots  []int
	epochs []int64
	to     waxwingwall.Incarnation

	// onDone is called once no slot is left to move.
	onDone func(now time.Time)
}

// owner returns the owner of a slot, or the zero value if it is not known.
func (s *slots) owner(slot int) waxwingwall.Incarnation {
	if slot < 0 || slot >= len(s.row.Slots) {
		return waxwingwall.Incarnation{}
	}
	return s.row.Slots[slot].Owner
}

// owned lists the slots of an incarnation.
func (s *slots) owned(i waxwingwall.Incarnation) []int {
	var list []int
	for n, slot := range s.row.Slots {
		if slot.Owner == i {
			list = append(list, n)
		}
	}
	return list
}

func (l *Ledger) slotOf(id waxwingwall.Identity, spread int) int {
	if n := len(l.slots.row.Slots); n > 0 {
		return SlotOf(id, spread, n)
	}
	return -1
}

func (l *Ledger) owns(slot int) bool {
	return l.slots.owner(slot) == l.self
}

// acceptSlots processes the slots row as read, and creates it if it is absent.
func (l *Ledger) acceptSlots(now time.Time, row waxwingwall.Row) {
	if row.Version == 0 {
		l.createSlots()
		return
	}
	var next SlotsRow
	if row.Version <= l.slots.version || !decode(row, &next) || !l.validSlots(next) {
		return
	}
	l.replaceSlots(now, next, row.Version)
}

// validSlots reports whether a router of this fleet can have written the row.
func (l *Ledger) validSlots(row SlotsRow) bool {
	for _, s := range row.Slots {
		if s.Epoch < 0 || s.Epoch > maxEpoch {
			return false
		}
	}
	return len(row.Slots) == l.slotCount
}

// replaceSlots replaces the local view of the slots row by a newer one.
func (l *Ledger) replaceSlots(now time.Time, next SlotsRow, version int64) {
	before := l.slots.row
	l.slots.row = next
	l.slots.version = version
	for n := range before.Slots {
		was, is := before.Slots[n].Owner == l.self, next.Slots[n].Owner == l.self
		if was != is {
			l.refreshSlot(n)
		}
	}
	l.updateSuspects(now)
}

// refreshSlot updates the claims of a slot that was gained or lost, or that
// stays after a cancelled handoff. It deletes stale copies of a slot that was
// lost.
func (l *Ledger) refreshSlot(slot int) {
	delete(l.slots.frozen, slot)
	owns := l.owns(slot)
	stale := !owns && l.slots.sources[slot].epoch < l.slots.row.Slots[slot].Epoch
	if stale {
		delete(l.slots.uncertainUntil, slot)
	}
	for _, e := range l.inSlot(slot) {
		switch {
		case e.Home == l.self:
			l.dropEnded(e)
		case stale:
			delete(l.claims, e.Identity)
		}
	}
}

// dropEnded removes a request that ended here if it is no longer needed, or
// marks it as unreported to the slot's owner. It does nothing before the end
// is stable.
func (l *Ledger) dropEnded(e *entry) {
	if e.settling || e.State == StateBegun || l.slots.frozen[e.Slot] {
		return
	}
	if !l.owns(e.Slot) {
		if e.Home == l.self && e.referenced && !e.unreported {
			e.unreported = true
			l.unreported = append(l.unreported, e.Identity)
		}
		return
	}
	e.unreported = false
	switch e.State {
	case StateNotRun:
		delete(l.claims, e.Identity)
	case StateInterrupted:
		e.Home = waxwingwall.Incarnation{}
	}
}

// inSlot lists the claims of a slot, ordered by identity.
func (l *Ledger) inSlot(slot int) []*entry {
	return l.selectClaims(func(e *entry) bool {
		return e.Slot == slot
	})
}

// selectClaims lists the claims that match, ordered by identity.
func (l *Ledger) selectClaims(match func(e *entry) bool) []*entry {
	var list []*entry
	for _, e := range l.claims {
		if match(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return compareIdentity(a.Identity, b.Identity)
	})
	return list
}

// createSlots creates the slots row with all slots owned by this router.
func (l *Ledger) createSlots() {
	if l.slots.writing || l.slots.version > 0 {
		return
	}
	row := SlotsRow{
		Slots: make([]Slot, l.slotCount),
	}
	for n := range row.Slots {
		row.Slots[n] = Slot{
			Owner: l.self,
			Epoch: 1,
		}
	}
	l.writeSlots(row)
}

// applyMoves starts the first pending change that is still needed, and
// completes those that are not.
func (l *Ledger) applyMoves(now time.Time) {
	for len(l.slots.moves) > 0 && !l.slots.writing {
		m := l.slots.moves[0]
		row, left := m.apply(l.slots.row)
		if left > 0 {
			l.writeSlots(row)
			return
		}
		l.slots.moves = l.slots.moves[1:]
		m.onDone(now)
	}
}

// apply returns the changed row and the number of slots changed.
func (m *slotMove) apply(row SlotsRow) (SlotsRow, int) {
	next := SlotsRow{
		Slots: slices.Clone(row.Slots),
	}
	left := 0
	for i, n := range m.slots {
		if next.Slots[n].Epoch != m.epochs[i] {
			continue
		}
		next.Slots[n] = Slot{
			Owner: m.to,
			Epoch: m.epochs[i] + 1,
		}
		left++
	}
	return next, left
}

// writeSlots replaces the slots row. After a conflict it reads the row; a
// change that is still needed is then made again.
func (l *Ledger) writeSlots(next SlotsRow) {
	l.slots.writing = true
	l.commit([]waxwingwall.Write{
		{
			Key:    slotsKey,
			Expect: l.slots.version,
			Value:  encode(next),
		},
	}, func(now time.Time, done bool, versions []int64) {
		if done {
			l.slots.writing = false
			if versions[0] > l.slots.version {
				l.replaceSlots(now, next, versions[0])
			}
			return
		}
		l.read([]string{slotsKey}, func(now time.Time, rows []waxwingwall.Row) {
			l.slots.writing = false
			l.acceptSlots(now, rows[0])
		})
	})
}

// compareIncarnations orders incarnations.
func compareIncarnations(a, b waxwingwall.Incarnation) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Boot, b.Boot))
}

func compareIdentity(a, b waxwingwall.Identity) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Key, b.Key))
}
