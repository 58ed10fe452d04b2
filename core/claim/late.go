package claim

import (
	"slices"
	"time"

	"waxwingwall"
)

// Late brings the owner of a slot what an incarnation that was closed without
// its log did, from the incarnation itself or from its witness. It keeps bills
// from being lost when both were cut off and only believed dead.
type Late struct {
	// Claims have that incarnation as their Home.
	Claims []Claim
}

// LateAck tells which claims of a Late the owner has on record.
type LateAck struct {
	// Claims hold Identity, Home and Run only.
	Claims []Claim
}

// WithLate passes on what Late of an earlier incarnation of this process
// returned.
func WithLate(claims []Claim) Option {
	return func(s *settings) {
		s.late = slices.Clone(claims)
	}
}

// Late returns what a closed incarnation ran and did not file, and what it holds
// as a witness. The incarnation that the process goes on as has to be given it
// (WithLate).
func (l *Ledger) Late() []Claim {
	late := slices.Clone(l.late)
	for _, e := range l.selectClaims(func(e *entry) bool {
		return e.Home == l.self && (e.State == StateBegun && e.dispatched ||
			e.State == StateFinished && e.seq > l.log.filed)
	}) {
		late = append(late, e.Claim)
	}
	for _, p := range l.pairings() {
		for _, c := range l.tails[p].late() {
			if c.State == StateFinished {
				late = append(late, c) // its home may go on with the others
			}
		}
	}
	return late
}

// late lists the requests of a tail that were dispatched, or may have been.
func (t *tail) late() []Claim {
	return slices.DeleteFunc(compact(t.records), func(c Claim) bool {
		return c.State != StateBegun && c.State != StateFinished
	})
}

// notifyLate sends what came late to the owners of the slots, once the node row
// of its home is known to be closed without the log. With the log there is
// nothing to tell: what it lacks was never settled, and what it has is billed.
func (l *Ledger) notifyLate(now time.Time) {
	if len(l.late) == 0 || !l.Ready() || now.Sub(l.lateNotifiedAt) < notifyInterval {
		return
	}
	l.lateNotifiedAt = now
	l.late = slices.DeleteFunc(l.late, func(c Claim) bool {
		return l.table.others[c.Home].Exact || now.Sub(c.At) > 2*l.retention
	})
	byOwner := make(map[waxwingwall.Incarnation][]Claim)
	var owners []waxwingwall.Incarnation
	for _, c := range l.late {
		if l.table.others[c.Home].State != NodeClosed {
			continue
		}
		owner := l.slots.owner(c.Slot)
		if len(byOwner[owner]) == 0 {
			owners = append(owners, owner)
		}
		if len(byOwner[owner]) < maxEnded {
			byOwner[owner] = append(byOwner[owner], c)
		}
	}
	slices.SortFunc(owners, compareIncarnations)
	for _, o := range owners {
		if o == l.self {
			l.forgetLate(l.recordLate(now, byOwner[o]))
			continue
		}
		l.send(o, Late{
			Claims: byOwner[o],
		})
	}
}

// receiveLate answers a Late.
func (l *Ledger) receiveLate(now time.Time, from waxwingwall.Incarnation, m Late) {
	if acked := l.recordLate(now, m.Claims); len(acked) > 0 {
		l.send(from, LateAck{
			Claims: acked,
		})
	}
}

// recordLate takes in late claims of own slots and returns those on record.
func (l *Ledger) recordLate(now time.Time, claims []Claim) []Claim {
	var acked []Claim
	for _, c := range claims {
		if c.Home == l.self {
			l.pollSoon() // this incarnation was closed and does not know yet
			continue
		}
		if !l.Ready() || !l.owns(c.Slot) || l.slots.frozen[c.Slot] {
			continue
		}
		if l.recordLateClaim(now, c) {
			acked = append(acked, Claim{
				Identity: c.Identity,
				Home:     c.Home,
				Run:      c.Run,
			})
		}
	}
	return acked
}

// recordLateClaim takes in one late claim and reports whether it is on record. An
// identity that is known here was billed, or will be: the late run adds no
// second bill. This router bills the others.
func (l *Ledger) recordLateClaim(now time.Time, c Claim) bool {
	e := l.claims[c.Identity]
	switch {
	case e == nil && now.Sub(c.At) > l.retention:
		return true
	case e == nil:
		e = &entry{
			refused: true,
		}
		l.claims[c.Identity] = e
		l.conclude(now, e, recordedOutcome(c, l.self))
	case e.State == StateInterrupted && !e.settling && c.State == StateFinished:
		e.refused = true
		l.conclude(now, e, recordedOutcome(c, l.self))
	case e.State == StateBegun && e.Home == c.Home:
		return false // its rows are yet to be read
	}
	return e.seq <= l.log.stable
}

// recordedOutcome returns a late claim as this router records and bills it.
func recordedOutcome(c Claim, self waxwingwall.Incarnation) Claim {
	switch {
	case c.State == StateFinished:
		c.Home = self
	case c.Idempotent:
		c.State = StateInterrupted
		c.Tokens = max(c.Tokens, c.Earlier)
	default:
		c = unknownOutcome(c, self)
	}
	return c
}

// forgetLate drops late claims that their owner has on record.
func (l *Ledger) forgetLate(acked []Claim) {
	l.late = slices.DeleteFunc(l.late, func(c Claim) bool {
		return slices.ContainsFunc(acked, func(a Claim) bool {
			return a.Identity == c.Identity && a.Home == c.Home && a.Run == c.Run
		})
	})
}
