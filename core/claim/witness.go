package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Append sends log records to a witness.
type Append struct {
	// Pairing is the sequence number of the link at the sender.
	Pairing int64

	// Filed is the last record in the table; the witness may drop the records
	// up to it.
	Filed int64

	// Records are consecutive.
	Records []Record

	// Copy is set if the receiver is the spare, not a witness.
	Copy bool

	// Released is set if the receiver is a spare that is no longer needed.
	Released bool
}

// Ack acknowledges log records.
type Ack struct {
	// Pairing is the Pairing of the Append.
	Pairing int64

	// Through is the last record that the witness holds; all earlier ones are
	// held too, or filed.
	Through int64

	// Leaving requests that the primary names another witness soon.
	Leaving bool
}

// Nack reports that the log is sealed: the witness never accepts records for
// it again.
type Nack struct {
	// Pairing is the Pairing of the Append.
	Pairing int64
}

// pairing identifies a link between a primary and this router as its witness.
// Only the one named in the primary's node row counts; a primary whose log was
// sealed but not closed may start another one.
type pairing struct {
	primary waxwingwall.Incarnation
	number  int64
}

// witnessedLog is the unfiled part of the log of an incarnation that this router
// witnesses.
type witnessedLog struct {
	// records are the records after filed and up to held, without a gap.
	records []Record
	filed   int64
	held    int64

	// sealed is set permanently before the node row of the primary is closed.
	sealed bool

	// spare is set if this router only keeps a copy. receivedAt is when the
	// primary last sent anything.
	spare      bool
	receivedAt time.Time

	// confirmed is when the node row of the primary was last known to be open.
	// Records are not acknowledged for longer than one retention after that.
	confirmed time.Time
}

// receiveAppend stores records of a primary and acknowledges them.
func (l *Ledger) receiveAppend(now time.Time, from waxwingwall.Incarnation, m Append) {
	key := pairing{
		primary: from,
		number:  m.Pairing,
	}
	t := l.witnessedLogs[key]
	if m.Released {
		if t != nil && !t.sealed {
			delete(l.witnessedLogs, key)
		}
		return
	}
	if t == nil {
		t = &witnessedLog{
			filed: m.Filed,
			held:  m.Filed,
			spare: m.Copy,
		}
		l.witnessedLogs[key] = t
		l.pollSoon()
	}
	if t.sealed {
		l.send(from, Nack{
			Pairing: m.Pairing,
		})
		return
	}
	t.add(m)
	t.receivedAt = now
	if !t.spare && now.Sub(t.confirmed) > l.retention {
		return
	}
	l.send(from, Ack{
		Pairing: m.Pairing,
		Through: t.held,
		Leaving: l.draining,
	})
}

// add appends the records that follow and drops the filed ones.
func (t *witnessedLog) add(m Append) {
	if m.Filed > t.held {
		t.held = m.Filed
		t.records = nil
	}
	for _, r := range m.Records {
		if r.Seq == t.held+1 {
			t.records = append(t.records, r)
			t.held = r.Seq
		}
	}
	t.filed = max(t.filed, m.Filed)
	t.records = slices.DeleteFunc(t.records, func(r Record) bool {
		return r.Seq <= t.filed
	})
}

// applyNodeRow processes the node row of a primary as read. If it is closed, the
// log is sealed, whoever closed it. The log of an earlier pairing than the
// row's is dropped; that of a later one is kept, since the row may name it later.
func (l *Ledger) applyNodeRow(primary waxwingwall.Incarnation, s nodeView) {
	for _, p := range l.pairings() {
		t := l.witnessedLogs[p]
		switch {
		case p.primary != primary:
		case s.State == NodeClosed:
			if !s.Exact {
				l.late = append(l.late, t.late()...)
			}
			t.sealed = true
			t.records = nil
		case t.spare && s.readAt.Sub(t.receivedAt) > l.retention:
			delete(l.witnessedLogs, p) // the release was lost
		case !t.spare && s.Pairing > p.number:
			delete(l.witnessedLogs, p)
		default:
			t.confirmed = s.readAt
		}
	}
}

// receiveAck processes an acknowledgement of a witness.
func (l *Ledger) receiveAck(from waxwingwall.Incarnation, m Ack) {
	if k := l.linkOf(from, m.Pairing); k != nil {
		k.acked = max(k.acked, m.Through)
	}
	if m.Leaving && !l.leaving[from] {
		l.leaving[from] = true
		l.ranked = l.rankPeers()
	}
}

// receiveNack processes the notice that a witness has sealed this log.
func (l *Ledger) receiveNack(from waxwingwall.Incarnation, m Nack) {
	if k := l.linkOf(from, m.Pairing); k != nil {
		k.sealed = true
		l.pollSoon()
	}
}

func (l *Ledger) linkOf(to waxwingwall.Incarnation, pairing int64) *link {
	for _, k := range []*link{l.log.current, l.log.next, l.log.spare} {
		if k != nil && k.to == to && k.pairing == pairing {
			return k
		}
	}
	return nil
}

// chooseWitness keeps a live witness named in the node row, in another failure
// domain if there is one. The next witness first receives all stable records,
// so that it holds at least as much as the current one.
func (l *Ledger) chooseWitness(now time.Time) {
	g := &l.log
	if !l.table.registered || l.table.changingWitness || l.closing {
		return
	}
	if l.witnessAdequate() {
		g.next = nil
		return
	}
	if g.next != nil && (g.next.sealed || l.leaving[g.next.to] || !l.alive(g.next.to)) {
		g.next = nil
	}
	if g.next == nil {
		l.startPairing(now)
	}
	if g.next == nil || g.next.acked < g.stable || l.table.writing {
		return
	}
	row := l.table.node
	row.Witness = g.next.to
	row.Pairing = g.next.pairing
	l.table.changingWitness = true
	l.writeNode(now, row, func(time.Time) {
		l.table.changingWitness = false
		g.current = g.next
		g.next = nil
	})
}

// witnessAdequate reports whether the current witness need not be replaced.
func (l *Ledger) witnessAdequate() bool {
	k := l.log.current
	if k == nil || k.sealed || l.leaving[k.to] || !l.isCandidate(k.to) {
		return false
	}
	best := l.candidates()
	return l.domainOf(k.to) != l.domain || len(best) == 0 || best[0].Domain == l.domain
}

func (l *Ledger) startPairing(time.Time) {
	for _, p := range l.candidates() {
		if l.log.current != nil && l.log.current.to == p.Incarnation && !l.log.current.sealed {
			continue
		}
		l.log.pairings++
		l.log.next = &link{
			to:      p.Incarnation,
			pairing: l.log.pairings,
			acked:   -1,
			sent:    l.log.filed,
		}
		return
	}
}

// candidates returns the live peers that are not leaving, best witness first.
func (l *Ledger) candidates() []Peer {
	return l.ranked
}

// isCandidate reports whether a peer is considered live and is not leaving.
func (l *Ledger) isCandidate(i waxwingwall.Incarnation) bool {
	return slices.ContainsFunc(l.ranked, func(p Peer) bool {
		return p.Incarnation == i
	})
}

// rankPeers sorts the live peers that are not leaving: other failure domains
// first, then by a hash that spreads the load.
func (l *Ledger) rankPeers() []Peer {
	var list []Peer
	for _, p := range l.peers {
		if p.Alive && !p.Leaving && !l.leaving[p.Incarnation] {
			list = append(list, p)
		}
	}
	slices.SortStableFunc(list, func(a, b Peer) int {
		if aLocal, bLocal := a.Domain == l.domain, b.Domain == l.domain; aLocal != bLocal {
			if aLocal {
				return 1
			}
			return -1
		}
		return compareHash(pairHash(l.self, a.Incarnation), pairHash(l.self, b.Incarnation))
	})
	return list
}

func compareHash(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// pairHash returns a hash of an ordered pair of incarnations.
func pairHash(a, b waxwingwall.Incarnation) uint64 {
	return xxhash.Sum64String(a.String() + " " + b.String())
}

func (l *Ledger) send(to waxwingwall.Incarnation, message any) {
	l.emit(effect.Send{
		To:      to,
		Message: message,
	})
}

// pairings lists the logs that this router witnesses.
func (l *Ledger) pairings() []pairing {
	var list []pairing
	for p := range l.witnessedLogs {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b pairing) int {
		return cmp.Or(compareIncarnations(a.primary, b.primary), cmp.Compare(a.number, b.number))
	})
	return list
}
