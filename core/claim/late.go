package claim

import (
	"slices"
	"time"

	"waxwingwall"
)

// Late sends the owner of a slot the claims of an incarnation that was closed
// without its log. The sender is the next incarnation of the same process, or
// its witness. This prevents the loss of bills if both were unreachable but
// alive.
type Late struct {
	// Claims have the closed incarnation as their Home.
	Claims []Claim
}

// LateAck acknowledges the claims of a Late that are stable at the owner.
type LateAck struct {
	// Claims have only Identity, Home and Run set.
	Claims []Claim
}

// WithLate passes the result of Late of the process's previous incarnation.
func WithLate(claims []Claim) Option {
	return func(s *settings) {
		s.late = slices.Clone(claims)
	}
}

// Late returns the claims that a closed incarnation ran and did not file, and
// those that it holds as a witness. They must be passed to the next
// incarnation of the process by WithLate.
func (l *Ledger) Late() []Claim {
	late := slices.Clone(l.late)
	for _, e := range l.selectClaims(func(e *entry) bool {
		return e.Home == l.self && (e.State == StateBegun && e.dispatched ||
			e.State == StateFinished && e.seq > l.log.filed)
	}) {
		late = append(late, e.Claim)
	}
	for _, p := range l.pairings() {
		for _, c := range l.witnessedLogs[p].late() {
			if c.State == StateFinished {
				late = append(late, c) // the next incarnation of its home has the others
			}
		}
	}
	return late
}

// late lists the claims of requests that were dispatched, or may have been. A
// spare lists only those that were settled: its log may end before that of the
// witness, and a request that is settled there must not be billed with its
// reservation, of which a part was free again.
func (t *witnessedLog) late() []Claim {
	return slices.DeleteFunc(compact(t.records), func(c Claim) bool {
		return c.State != StateFinished && (t.spare || c.State != StateBegun)
	})
}

// notifyLate sends late claims to the owners of the slots, once the node row
// of their home is known to be closed without the log. If it was closed with
// the log, they are dropped: what the log lacks was never settled, and what it
// has is billed.
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
		if len(byOwner[owner]) < maxClaimsPerMessage {
			byOwner[owner] = append(byOwner[owner], c)
		}
	}
	slices.SortFunc(owners, compareIncarnations)
	for _, o := range owners {
		if o == l.self {
			l.dropLate(l.recordLate(now, byOwner[o]))
			continue
		}
		l.send(o, Late{
			Claims: byOwner[o],
		})
	}
}

// receiveLate processes a Late.
func (l *Ledger) receiveLate(now time.Time, from waxwingwall.Incarnation, m Late) {
	if acked := l.recordLate(now, m.Claims); len(acked) > 0 {
		l.send(from, LateAck{
			Claims: acked,
		})
	}
}

// recordLate records late claims of own slots and returns those that are
// stable.
func (l *Ledger) recordLate(now time.Time, claims []Claim) []Claim {
	var acked []Claim
	for _, c := range claims {
		if c.Home == l.self {
			l.pollSoon() // this incarnation was closed; the poll detects it
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

// recordLateClaim records a late claim and reports whether that is stable. An
// identity that is known here has been or will be billed, so the late run adds
// no second bill. Other claims are billed by this router.
func (l *Ledger) recordLateClaim(now time.Time, c Claim) bool {
	e := l.claims[c.Identity]
	switch {
	case e == nil && now.Sub(c.At) > l.retention:
		return true
	case e == nil:
		e = &entry{
			noCaller: true,
		}
		l.claims[c.Identity] = e
		l.conclude(now, e, recordedOutcome(c, l.self))
	case e.State == StateInterrupted && !e.settling && c.State == StateFinished:
		e.noCaller = true
		l.conclude(now, e, recordedOutcome(c, l.self))
	case e.State == StateBegun && e.Home == c.Home:
		return false // the bill rows of its home are not read yet
	}
	return e.seq <= l.log.stable
}

// recordedOutcome returns the final state that this router records for a late
// claim.
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

// dropLate drops late claims that the owners of their slots have
// acknowledged.
func (l *Ledger) dropLate(acked []Claim) {
	l.late = slices.DeleteFunc(l.late, func(c Claim) bool {
		return slices.ContainsFunc(acked, func(a Claim) bool {
			return a.Identity == c.Identity && a.Home == c.Home && a.Run == c.Run
		})
	})
}
