package claim

import (
	"time"

	"waxwingwall"
)

// The spare is a third router that keeps a copy of the log, so that the end of a run
// that its caller was told survives the loss of owner and witness before it is filed.
// It neither seals the log nor closes the node row, and the row does not name it: once
// the row is closed without the log, the spare sends the claims as late ones.

// chooseSpare keeps a live router besides the witnesses that holds a copy of the log.
// The former one is released once its successor holds as much, or if there is none.
func (l *Ledger) chooseSpare() {
	g := &l.log
	if !l.table.registered || l.closing || g.current == nil {
		return
	}
	if g.formerSpare != nil && (g.spare == nil || g.spare.acked >= g.copied) {
		l.send(g.formerSpare.to, Append{
			Pairing:  g.formerSpare.pairing,
			Copy:     true,
			Released: true,
		})
		g.formerSpare = nil
	}
	k := g.spare
	if k != nil && !k.sealed && l.isCandidate(k.to) && !l.isWitness(k.to) {
		return
	}
	g.spare = nil
	if k != nil && k.acked >= 0 {
		g.formerSpare = k
	}
	to, ok := l.spareCandidate()
	if !ok {
		return
	}
	g.pairings++
	g.spare = &link{
		to:      to,
		pairing: g.pairings,
		acked:   -1,
		sent:    g.filed,
	}
}

// spareCandidate returns the best router for the copy: one in a failure domain other
// than those of this router and its witness, if there is one.
func (l *Ledger) spareCandidate() (to waxwingwall.Incarnation, ok bool) {
	domain := l.domainOf(l.log.current.to)
	for _, p := range l.candidates() {
		if l.isWitness(p.Incarnation) {
			continue
		}
		if p.Domain != domain && p.Domain != l.domain {
			return p.Incarnation, true
		}
		if !ok {
			to, ok = p.Incarnation, true
		}
	}
	return to, ok
}

// isWitness reports whether i is the current or the next witness.
func (l *Ledger) isWitness(i waxwingwall.Incarnation) bool {
	g := &l.log
	return g.current != nil && g.current.to == i || g.next != nil && g.next.to == i
}

// copiedThrough returns the number of the last record that survives two routers, or
// that nothing more can be done for: there is no third router, or neither it nor the
// table takes the record.
func (l *Ledger) copiedThrough(now time.Time) int64 {
	g := &l.log
	if g.spare == nil || l.table.unreachable && l.oldestAfter(now, max(g.copied, g.filed)) >= spareTimeout {
		return g.stable
	}
	return max(g.filed, min(g.stable, g.spare.acked))
}
