package edge

import (
	"net/netip"
	"time"

	"waxwingwall"
	"waxwingwall/core/escrow"
)

// unprovenCloseDelay is how long a router must have been dead before its shares are closed by
// others if a newer incarnation of its VM has started, but has not told when: without that, all
// that it held counts as spent, and the newer one closes them itself.
const unprovenCloseDelay = 6 * time.Second

// births tell when processes have ended, by the table's clock: the process of a VM that runs now
// had its first answer from the table after the one before it had ended.
type births struct {
	// first is the table's clock in the first answer to this process, and written is set once
	// the router's row has it.
	first            escrow.RowClock
	written, pending bool

	// renewed is set once the process goes on as a newer incarnation. The one before it did not
	// end before first, so its row does not have it.
	renewed bool
}

// observe records the clock of an answer of the table.
func (b *births) observe(now time.Time, c waxwingwall.StoreClock) {
	if !b.first.Known() {
		b.first = escrow.AnsweredAt(now, c)
	}
}

// clock returns the clock for the router's row.
func (b *births) clock() escrow.RowClock {
	if b.renewed {
		return escrow.RowClock{}
	}
	return b.first
}

// outdated reports whether the router's row lacks the clock.
func (b *births) outdated() bool {
	return !b.written && b.clock().Known()
}

// MarkWrites returns the number of writes of share rows with marks and the store's clock by the
// present incarnation.
func (e *Edge) MarkWrites() int {
	return e.book.Counts().Clocked
}

// address returns the address of an incarnation for other routers by its row; not valid without one.
func (t *nodes) address(i waxwingwall.Incarnation) netip.AddrPort {
	if n := t.rows[i]; n != nil {
		return n.row.Peers
	}
	return netip.AddrPort{}
}

// endedBy returns a time by the table's clock by which the process of a dead incarnation of
// another VM had ended; it is not known if no newer incarnation tells. One at another address is
// a machine of the same name, and the dead one may be cut off and live.
func (e *Edge) endedBy(dead waxwingwall.Incarnation) escrow.RowClock {
	address := e.nodes.address(dead)
	var earliest escrow.RowClock
	boot := int64(0)
	for i, n := range e.nodes.rows {
		if i.VM == dead.VM && i.Boot > dead.Boot && n.row.Peers == address && n.row.Clock.Known() && (boot == 0 || i.Boot < boot) {
			earliest, boot = n.row.Clock, i.Boot
		}
	}
	return earliest
}

// linesInTable returns the option that closes the shares of a dead incarnation by the lines in the
// table, if it is known by when its process had ended.
func (e *Edge) linesInTable(dead waxwingwall.Incarnation) []escrow.CloserOption {
	if dead.VM == e.Self.VM && e.nodes.address(dead) == e.info.Peers {
		// This process runs, or has run itself as that incarnation.
		return []escrow.CloserOption{escrow.WithLinesInTable(escrow.RowClock{})}
	}
	if by := e.endedBy(dead); by.Known() {
		return []escrow.CloserOption{escrow.WithLinesInTable(by)}
	}
	return nil
}
