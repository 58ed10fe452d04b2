package claim

import (
	"time"

	"waxwingwall"
)

const (
	// resendInterval is the time after which unacknowledged records are sent
	// again.
	resendInterval = 100 * time.Millisecond

	// filedNoticeInterval is the time between messages that carry no records
	// and only report what is filed.
	filedNoticeInterval = time.Second

	// maxAppend limits the records of one message.
	maxAppend = 256
)

// Record is a numbered entry of a log.
type Record struct {
	// Seq numbers the records from 1 without gaps.
	Seq int64

	// Claim is the new state of a claim.
	Claim Claim

	// at is when the record was appended.
	at time.Time
}

// log is the log of this incarnation.
type log struct {
	// records are the records after filed, in order.
	records []Record

	// head is the number of the last record, filed that of the last one in the
	// table, stable that of the last one that any closer is certain to find.
	// Invariants: filed <= head, stable <= head.
	head   int64
	filed  int64
	stable int64

	// rows is the number of bill rows written; filedAt is when the last one
	// was.
	rows    int64
	filedAt time.Time

	// current is the link to the witness named in the node row, next the link
	// to its replacement. Either may be nil. pairings is the number of links
	// so far.
	current  *link
	next     *link
	pairings int64

	// copied is the number of the last record that is filed, or held by the
	// witness and by a third router. Invariant: copied <= head. spare is the
	// link to the third router, formerSpare the one before it, until spare
	// holds as much.
	copied      int64
	spare       *link
	formerSpare *link

	// waiting are the requests that wait for a record to become stable,
	// ordered by record.
	waiting []wait
}

// link is the sending side of the connection to one witness.
type link struct {
	to waxwingwall.Incarnation

	// pairing numbers the links of this incarnation.
	pairing int64

	// acked is the last record that the witness holds, or -1 before its first
	// answer.
	acked int64

	// sent is the last record sent; sentAt is the time of the last message.
	sent   int64
	sentAt time.Time

	// sealed is set once the witness accepts no more records.
	sealed bool
}

// wait is a request that waits for a record to become stable.
type wait struct {
	seq      int64
	identity waxwingwall.Identity
}

// appendRecord appends a record and returns its number.
func (l *Ledger) appendRecord(now time.Time, c Claim) int64 {
	l.log.head++
	if c.State == StateInterrupted && c.Home == l.self {
		c.Home = waxwingwall.Incarnation{}
	}
	l.log.records = append(l.log.records, Record{
		Seq:   l.log.head,
		Claim: c,
		at:    now,
	})
	return l.log.head
}

// appendAndWait appends the state of e; e is advanced when the record is
// stable.
func (l *Ledger) appendAndWait(now time.Time, e *entry) {
	e.seq = l.appendRecord(now, e.Claim)
	e.appendedAt = now
	l.log.waiting = append(l.log.waiting, wait{
		seq:      e.seq,
		identity: e.Identity,
	})
}

// updateStable determines which records every possible closer would find and
// which survive two routers, and advances the requests that waited for them. The
// end of a run waits for both.
func (l *Ledger) updateStable(now time.Time) {
	g := &l.log
	stable := g.filed
	if g.current != nil {
		held := g.current.acked
		if l.table.changingWitness {
			held = min(held, g.next.acked)
		}
		stable = max(stable, held)
	}
	g.stable = max(g.stable, stable)
	g.copied = max(g.copied, l.copiedThrough(now))
	waiting := g.waiting
	g.waiting = nil
	for _, w := range waiting {
		e := l.claims[w.identity]
		switch {
		case e == nil || e.seq != w.seq:
			if w.seq > g.stable {
				g.waiting = append(g.waiting, w)
			}
		case w.seq <= g.copied || w.seq <= g.stable && !e.settling:
			l.advance(e)
		default:
			g.waiting = append(g.waiting, w)
		}
	}
}

// advance performs the next step of a request whose record is stable.
func (l *Ledger) advance(e *entry) {
	if !e.settling {
		if e.State == StateBegun && e.Home == l.self {
			e.cleared = true
			l.emit(Cleared{
				Identity: e.Identity,
			})
		}
		return
	}
	e.settling = false
	if e.Home == l.self && !e.noCaller {
		l.emit(Settled{
			Identity: e.Identity,
		})
	}
	l.dropEnded(e)
}

// refuseTimedOut refuses requests whose begin record is not stable in time.
// They were never cleared, so they did not run.
func (l *Ledger) refuseTimedOut(now time.Time) {
	waiting := l.log.waiting
	for _, w := range waiting {
		e := l.claims[w.identity]
		if e == nil || e.seq != w.seq || e.State != StateBegun || now.Sub(e.appendedAt) < beginTimeout {
			continue
		}
		e.noCaller = true
		l.retract(now, e)
		l.emit(Refused{
			Identity: e.Identity,
			Problem: &waxwingwall.Problem{
				Status:     503,
				Code:       "no_record",
				Message:    "neither the witness nor the platform's table could record the request",
				Outcome:    waxwingwall.NotRun,
				RetryAfter: unavailableRetryAfter,
			},
		})
	}
}

// oldestAfter returns the age of the oldest record after seq, which is not before
// filed.
func (l *Ledger) oldestAfter(now time.Time, seq int64) time.Duration {
	i := int(seq - l.log.filed)
	if i < 0 || i >= len(l.log.records) {
		return 0
	}
	return now.Sub(l.log.records[i].at)
}

// stalled reports whether a new record would not become stable soon: earlier
// ones have waited for long, or neither the witness nor the table is
// reachable.
func (l *Ledger) stalled(now time.Time) bool {
	k := l.log.current
	paired := k != nil && !k.sealed && l.alive(k.to)
	return l.oldestAfter(now, l.log.stable) >= beginTimeout/2 || l.table.unreachable && !paired
}

// sendRecords sends records to the current and the next witness and the spare.
func (l *Ledger) sendRecords(now time.Time) {
	if l.log.current != nil {
		l.sendRecordsTo(now, l.log.current)
	}
	if l.log.next != nil {
		l.sendRecordsTo(now, l.log.next)
	}
	if l.log.spare != nil {
		l.sendRecordsTo(now, l.log.spare)
	}
}

func (l *Ledger) sendRecordsTo(now time.Time, k *link) {
	g := &l.log
	if k.sealed {
		return
	}
	waited := now.Sub(k.sentAt)
	if waited >= resendInterval && k.acked < k.sent {
		k.sent = k.acked
	}
	first := max(k.sent, g.filed)
	batch := g.records[first-g.filed:]
	batch = batch[:min(len(batch), maxAppend)]
	if len(batch) == 0 && (k.acked >= 0 && waited < filedNoticeInterval || waited < resendInterval) {
		return
	}
	k.sent = first + int64(len(batch))
	k.sentAt = now
	l.send(k.to, Append{
		Pairing: k.pairing,
		Filed:   g.filed,
		Records: batch,
		Copy:    k == g.spare,
	})
}
