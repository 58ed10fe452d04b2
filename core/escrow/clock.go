package escrow

import (
	"slices"
	"time"

	"waxwingwall"
)

// Marks in the table let the share of a dead node be returned although all peers are dead too.
// While a node reaches the table, its share row tells for each budget the most that it may have
// committed (Mark), and a time by the table's steady clock before which the row was not sent
// (Clock). A node stays within the mark of each row that may be in force, until freeTime has
// passed by its own clock since it sent that row; then it may commit all of its share, as the
// table must be away. The next row that it writes bounds it again.
//
// So if the process has ended before the table's clock was Clock + freeTime, it has committed
// no more than the mark, and the rest is returned. A Closer knows that from the first answer to
// a call that it made after the end. Otherwise all of the allowance counts as spent. None of
// this holds for a process that lives: it may go beyond its mark after its row was closed.
//
// The clocks of different eras of the table are not compared: a copy has older marks.

const (
	// freeTime is how long a node stays within a mark. It is what a process may take to come
	// back, with clockInterval.
	freeTime = 2500 * time.Millisecond

	// clockInterval is the longest time between two writes of a share row that marks bound.
	// They are raised ahead of need at most every raiseInterval.
	clockInterval = 250 * time.Millisecond
	raiseInterval = 100 * time.Millisecond

	// Clocks differ in their rate by at most 1/clockDrift.
	clockDrift = 20

	// maxClock limits the table's clock in a row, in milliseconds.
	maxClock = 1 << 50
)

// RowClock is a time by the table's clock. Its zero value is no time.
type RowClock struct {
	// Era is the number of the table's era and Ms the time in milliseconds.
	Era int64 `json:"era,omitempty"`
	Ms  int64 `json:"ms"`

	// Day is the time of day at the router then, in milliseconds since 1970; zero if it is not known.
	Day int64 `json:"day,omitempty"`
}

// Known reports whether c is a time.
func (c RowClock) Known() bool {
	return c.Ms > 0
}

// Valid reports whether a node can have written the time.
func (c RowClock) Valid() bool {
	return c.Ms >= 0 && c.Ms <= maxClock && c.Era >= 0 && c.Day >= 0 && c.Day <= maxClock
}

// ClockOf returns the time of an answer of the table.
func ClockOf(c waxwingwall.StoreClock) RowClock {
	clock := RowClock{
		Era: c.Era,
		Ms:  c.Now.Milliseconds(),
	}
	if !clock.Known() || !clock.Valid() {
		return RowClock{}
	}
	return clock
}

// tableClock bounds the table's clock from below, by the answers of the table.
type tableClock struct {
	last RowClock
	at   time.Time

	// broken is set in an era in which the clock went back.
	broken bool
}

// observe records the time of an answer.
func (c *tableClock) observe(now time.Time, answer RowClock) {
	if !answer.Known() || answer.Era < c.last.Era {
		return
	}
	known, ok := c.read(now)
	switch {
	case answer.Era > c.last.Era || !c.last.Known():
		*c = tableClock{}
	case c.broken:
		return
	case ok && answer.Ms < known.Ms-callTimeout.Milliseconds():
		c.broken = true
		return
	case ok && answer.Ms <= known.Ms:
		// The answer was on its way longer than an earlier one.
		return
	}
	c.last = answer
	c.at = now
}

// read returns a time that the table's clock has reached.
func (c *tableClock) read(now time.Time) (RowClock, bool) {
	passed := max(now.Sub(c.at), 0)
	clock := c.last
	clock.Ms += (passed - passed/clockDrift).Milliseconds()
	return clock, c.last.Known() && !c.broken
}

// storedMark is the mark of an entry in a row that may be in force.
type storedMark struct {
	// seq is the ShareRow.Seq of the row. The mark holds until freeAt.
	seq    uint64
	tokens waxwingwall.Tokens
	freeAt time.Time
}

// clocked reports whether marks in the table bound what this node commits.
func (b *Book) clocked() bool {
	_, ok := b.clock.read(b.now)
	return b.pacing.evenShares && ok
}

// limitStored updates the limit of an entry by the marks in the table.
func (b *Book) limitStored(e *entry) {
	e.storedLimit = unmarked
	for _, m := range e.stored {
		if !b.now.After(m.freeAt) {
			e.storedLimit = min(e.storedLimit, m.tokens)
		}
	}
}

// limitStoredMarks updates these limits of a shard.
func (b *Book) limitStoredMarks(s *shard) {
	for _, e := range s.entries {
		b.limitStored(e)
	}
}

// markRow adds the marks and the clock to a row that is about to be written.
func (b *Book) markRow(s *shard, row *ShareRow) {
	clock, ok := b.clock.read(b.now)
	s.clocked = b.pacing.evenShares && ok && !row.Closed && !s.restoring
	for i := range row.Entries {
		next := &row.Entries[i]
		next.Mark, next.Used, next.Marked = 0, 0, false
		if !s.clocked {
			continue
		}
		e := b.entries[next.Budget]
		next.Marked = true
		next.Mark = max(min(e.needed()+b.storedLead(e), next.Granted), e.net())
		next.Used = e.settled + e.sent - e.received
		e.stored = append(e.stored, storedMark{
			seq:    row.Seq,
			tokens: next.Mark,
			freeAt: b.now.Add(freeTime),
		})
		e.newestMark = next.Mark
		b.limitStored(e)
	}
	if s.clocked {
		row.Clock = clock.seenAt(b.now)
		b.counts.Clocked++
	}
}

// keepStored keeps the marks of a shard of which the row may be in force.
func (b *Book) keepStored(s *shard, inForce func(seq uint64) bool) {
	for _, e := range s.entries {
		e.stored = slices.DeleteFunc(e.stored, func(m storedMark) bool { return !inForce(m.seq) })
		b.limitStored(e)
	}
}

// storedLead returns what the marks in the table allow beyond what is committed and asked for;
// it is lost with the node.
func (b *Book) storedLead(e *entry) waxwingwall.Tokens {
	return b.leadWithin(e, e.pool.row.Total/markLeadDivisor/waxwingwall.Tokens(b.holderCount(e)))
}

// marksDue reports whether a shard should be written for the sake of its marks alone: they let
// too little be committed, or would soon no longer be proven.
func (b *Book) marksDue(s *shard) bool {
	if b.frozen || b.draining || b.tableDown || !b.clocked() {
		return false
	}
	passed := b.now.Sub(s.clockedAt)
	if passed < raiseInterval {
		return false
	}
	return slices.ContainsFunc(s.entries, func(e *entry) bool {
		lead := b.storedLead(e)
		if e.row.Granted-e.needed() <= lead {
			return false
		}
		return passed >= clockInterval || len(e.stored) == 0 ||
			e.newestMark < e.needed()+lead/2 || e.newestMark > e.needed()+maxMarkLeads*lead
	})
}

// soonFree reports whether a wait goes on beyond its deadline, as the marks of the rows in force,
// which no longer hold soon, are all that holds it back.
func (b *Book) soonFree(e *entry) bool {
	w := &e.wait
	_, held := b.heldBack(e, w.smallest)
	return held && b.now.Before(w.deadline.Add(freeTime))
}

// HeldBack reports whether a request can be paid for, but only once marks in the table no longer
// hold, and when that is.
func (b *Book) HeldBack(now time.Time, budget waxwingwall.Budget, worst waxwingwall.Tokens) (time.Duration, bool) {
	b.now = now
	e, ok := b.entries[budget]
	if !ok {
		return 0, false
	}
	return b.heldBack(e, worst)
}

// heldBack reports whether a request can be paid for, but not within the marks of the rows in
// force, and when these no longer hold, with jitter.
func (b *Book) heldBack(e *entry, worst waxwingwall.Tokens) (time.Duration, bool) {
	if e.storedLimit-e.net() >= worst || e.rowLimit()-e.net() < worst {
		return 0, false
	}
	var left time.Duration
	for _, m := range e.stored {
		if m.tokens-e.net() < worst {
			left = max(left, m.freeAt.Sub(b.now))
		}
	}
	return left + b.pacing.minDrawInterval/2 + b.jitter(b.pacing.minDrawInterval), true
}

// seenAt returns the time with the time of day at which a router knew it.
func (c RowClock) seenAt(now time.Time) RowClock {
	if c.Known() {
		c.Day = now.UnixMilli()
	}
	return c
}

// AnsweredAt returns the time of an answer of the table that came at a time of day.
func AnsweredAt(now time.Time, c waxwingwall.StoreClock) RowClock {
	return ClockOf(c).seenAt(now)
}

// Why the marks in the table of a share don't bound what its owner committed.
const (
	unprovenUnmarked  = "no_marks"
	unprovenEnd       = "end_unknown"
	unprovenEra       = "other_era"
	unprovenClock     = "clock_back"
	unprovenTimeOfDay = "no_time_of_day"
	unprovenLate      = "late"
)

// until returns how long a process that had ended by a time, by the table's clock, may have run
// after it sent a row of clock c, by its own steady clock. If that is not known it returns why. The
// time of day of the machine counts as well, so that a table's clock alone that goes back or stands
// still, though it should be steady, proves nothing.
func (c RowClock) until(endedBy RowClock) (passed time.Duration, unproven string) {
	switch {
	case !c.Known():
		return 0, unprovenUnmarked
	case !endedBy.Known():
		return 0, unprovenEnd
	case c.Era != endedBy.Era:
		return 0, unprovenEra
	case endedBy.Ms <= c.Ms:
		// Within one millisecond no process ends and the next one starts: the clock stands still.
		return 0, unprovenClock
	case c.Day == 0 || endedBy.Day == 0:
		return 0, unprovenTimeOfDay
	}
	byTable := time.Duration(endedBy.Ms+1-c.Ms) * time.Millisecond
	byDay := time.Duration(endedBy.Day-c.Day) * time.Millisecond
	return max(byTable+byTable/(clockDrift-1), byDay), ""
}
