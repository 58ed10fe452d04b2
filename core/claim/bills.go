package claim

import (
	"slices"
	"time"

	"waxwingwall"
)

// maxRowRecords limits the log records of one bill row.
const maxRowRecords = 512

// file writes the next part of the log into a bill row: at the filing
// interval, when a row is full, or at once if a record cannot rely on the
// witness.
func (l *Ledger) file(now time.Time) {
	g := &l.log
	if !l.table.registered || l.table.writing || g.head == g.filed {
		return
	}
	if now.Sub(g.filedAt) < l.filingInterval && len(g.records) < maxRowRecords && !l.urgent(now) {
		return
	}
	batch := g.records[:min(len(g.records), maxRowRecords)]
	row := BillRow{
		Through: batch[len(batch)-1].Seq,
		Claims:  compact(batch),
		At:      now,
	}
	for _, c := range row.Bills(l.self) {
		l.billed[c.Budget] += c.Tokens
	}
	if (g.rows+1)%checkpointRows == 0 {
		row.Checkpoint = l.checkpoint(now)
	}
	l.fileRow(now, row)
}

// urgent reports whether the log must be filed at once.
func (l *Ledger) urgent(now time.Time) bool {
	if l.log.current == nil || l.log.current.sealed || l.draining ||
		l.oldestAfter(now, l.log.stable) >= witnessTimeout || l.oldestAfter(now, l.log.copied) >= spareTimeout {
		return true
	}
	for _, r := range l.acceptedOffers {
		if r.seq > l.log.filed {
			return true
		}
	}
	return l.takeover != nil && l.takeover.seq > l.log.filed
}

// fileRow writes a bill row, on condition that the node row is unchanged and
// thus open.
func (l *Ledger) fileRow(_ time.Time, row BillRow) {
	g := &l.log
	key := BillKey(l.self, g.rows+1)
	value := encode(row)
	l.table.writing = true
	done := func(now time.Time) {
		l.table.writing = false
		g.records = slices.Clone(g.records[row.Through-g.filed:])
		g.filed = row.Through
		g.rows++
		g.filedAt = now
		l.updateStable(now)
	}
	l.commit([]waxwingwall.Write{
		{
			Key:       NodeKey(l.self),
			Expect:    l.table.version,
			CheckOnly: true,
		},
		{
			Key:   key,
			Value: value,
		},
	}, func(now time.Time, ok bool, _ []int64) {
		if ok {
			done(now)
			return
		}
		l.read([]string{key}, func(now time.Time, rows []waxwingwall.Row) {
			if rows[0].Value != value {
				l.markClosed()
				return
			}
			done(now)
		})
	})
}

// compact keeps the last state of each identity, in log order.
func compact(batch []Record) []Claim {
	last := make(map[waxwingwall.Identity]int64)
	for _, r := range batch {
		last[r.Claim.Identity] = r.Seq
	}
	var claims []Claim
	for _, r := range batch {
		if r.Claim.State == StateReset || last[r.Claim.Identity] == r.Seq {
			claims = append(claims, r.Claim)
		}
	}
	return claims
}

// expire bills interrupted requests that were not retried in time, and deletes
// finished claims after the retention.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.expiredAt) < l.pollInterval {
		return
	}
	l.expiredAt = now
	for _, e := range l.selectClaims(func(e *entry) bool {
		return e.State == StateInterrupted && !e.settling && l.owns(e.Slot) && !l.slots.frozen[e.Slot] &&
			now.Sub(e.At) > l.interruptedTimeout
	}) {
		e.State = StateFinished
		e.Outcome = waxwingwall.Unknown
		e.Earlier = max(e.Earlier, e.Tokens)
		e.Home = l.self
		e.At = now
		e.noCaller = true
		l.recordEnd(now, e)
	}
	for _, e := range l.selectClaims(func(e *entry) bool {
		return now.Sub(e.At) > l.retention && l.deletable(e)
	}) {
		delete(l.claims, e.Identity)
	}
}

// deletable reports whether an old claim may be deleted: it is finished and
// filed, or a copy for a slot that this router does not own.
func (l *Ledger) deletable(e *entry) bool {
	if e.State == StateFinished {
		return !e.settling && !e.unreported && e.seq <= l.log.filed
	}
	return e.Home != l.self && !l.owns(e.Slot)
}

// finishDrain closes the own node row once a graceful stop is complete.
func (l *Ledger) finishDrain(now time.Time) {
	if !l.draining || l.closing || l.table.writing || !l.idle(now) {
		return
	}
	row := l.table.node
	row.State = NodeClosed
	row.Closer = l.self
	row.Exact = true
	l.closing = true
	l.writeNode(now, row, func(time.Time) {
		l.drained = true
		l.closed = true
	})
}

// idle reports whether the node row may be closed. Slots may remain only if
// there is no peer to take them.
func (l *Ledger) idle(now time.Time) bool {
	if !l.table.registered || l.log.head != l.log.filed || l.currentOffer != nil || l.takeover != nil || l.slots.writing {
		return false
	}
	if l.HandsOff() {
		return false
	}
	if now.Sub(l.drainStartedAt) < leaveTimeout && (l.replaceable(now) || len(l.late) > 0) {
		return false
	}
	for _, e := range l.claims {
		if e.Home == l.self && (e.State == StateBegun || e.settling || e.unreported && l.reportable(e)) {
			return false
		}
	}
	return true
}

// reportable reports whether the end of a request can be acknowledged: by the owner of
// its slot, or by a router that takes the slot over. After the last one has stopped,
// the filed bill is all that is needed.
func (l *Ledger) reportable(e *entry) bool {
	return l.alive(l.slots.owner(e.Slot)) || len(l.candidates()) > 0
}

// replaceable reports whether a primary of this router can find another
// witness. The last remaining router has no other peer to name.
func (l *Ledger) replaceable(now time.Time) bool {
	return l.witnessing(now) && len(l.candidates()) > 1
}

// witnessing reports whether this router may be the witness of an open log, or is the
// spare of one.
func (l *Ledger) witnessing(now time.Time) bool {
	for _, t := range l.witnessedLogs {
		if !t.sealed && (!t.spare || now.Sub(t.receivedAt) <= 2*filedNoticeInterval) {
			return true
		}
	}
	return false
}
