package escrow

import (
	"slices"
	"time"

	"waxwingwall"
)

// Lines in the table let the share of a dead node be returned although all peers are dead too.
// While a node reaches the table, its share row has for each budget a Line, which bounds what it
// may have committed by the time since it sent the row, and a time by the table's steady clock
// before which the row was not sent (Clock). By its own clock the node stays below the line of
// each row that may be in force. It goes beyond the mark only once flatTime has passed, as the
// table must be away then, and only as fast as the line rises.
//
// So if the process has ended by some time of the table's clock, it has committed no more than
// the line allows then, and the rest is returned, however long the absence was. A Closer knows that
// time from the first answer to a call that was made after the end. Otherwise all of the allowance
// counts as spent. None of this holds for a process that lives: it goes on along its line after its
// row was closed.
//
// The clocks of different eras of the table are not compared: a copy has older lines.

const (
	// flatTime is how long a node stays within a mark: what a process may take to come back, with
	// clockInterval, before more than the lead is lost.
	flatTime = 2500 * time.Millisecond

	// A line rises by lineHeadroom times the present use, so that what has waited for it to rise is
	// served too, and at least so fast that all of the share can be used within lineTime.
	lineHeadroom = 2
	lineTime     = 15 * time.Second

	// maxLineTime is how long a line rises at most. maxLineRate limits how fast, in tokens a second.
	maxLineTime = time.Hour
	maxLineRate = maxTokens / waxwingwall.Tokens(maxLineTime/time.Second)

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

// Line bounds what a node has committed of a budget, less what it received, by the time since it
// sent the row.
type Line struct {
	// Mark is the bound until flatTime has passed.
	Mark waxwingwall.Tokens `json:"mark"`

	// Rate is by how many tokens a second the bound rises from then on; not negative.
	Rate waxwingwall.Tokens `json:"rate"`

	// Used is what was used and sent, less what was received, as the row was sent; at most Mark.
	Used waxwingwall.Tokens `json:"used,omitempty"`
}

// valid reports whether a node can have written the line.
func (l *Line) valid() bool {
	return l.Mark >= -maxTokens && l.Mark <= maxTokens && l.Used >= -maxTokens && l.Used <= l.Mark &&
		l.Rate >= 0 && l.Rate <= maxLineRate
}

// at returns the bound once a time has passed.
func (l *Line) at(passed time.Duration) waxwingwall.Tokens {
	rising := min(max(passed-flatTime, 0), maxLineTime)
	return l.Mark + l.Rate*waxwingwall.Tokens(rising.Milliseconds())/1000
}

// reaches returns the time after which the bound is at least so many tokens, and whether it ever
// is.
func (l *Line) reaches(tokens waxwingwall.Tokens) (time.Duration, bool) {
	missing := tokens - l.Mark
	switch {
	case missing <= 0:
		return 0, true
	case l.Rate == 0 || missing/l.Rate >= waxwingwall.Tokens(maxLineTime/time.Second):
		return 0, false
	}
	return flatTime + time.Duration((missing*1000+l.Rate-1)/l.Rate)*time.Millisecond, true
}

// storedLine is the line of an entry in a row that may be in force.
type storedLine struct {
	line Line

	// seq is the ShareRow.Seq of the row, and sentAt when it was sent.
	seq    uint64
	sentAt time.Time
}

// clocked reports whether lines in the table bound what this node commits.
func (b *Book) clocked() bool {
	_, ok := b.clock.read(b.now)
	return b.pacing.evenShares && ok
}

// limitStored updates the limit of an entry by the lines in the table.
func (b *Book) limitStored(e *entry) {
	e.storedLimit = unmarked
	for i := range e.stored {
		l := &e.stored[i]
		e.storedLimit = min(e.storedLimit, l.line.at(b.now.Sub(l.sentAt)))
	}
}

// limitStoredLines updates these limits of a shard.
func (b *Book) limitStoredLines(s *shard) {
	for _, e := range s.entries {
		b.limitStored(e)
	}
}

// markRow adds the lines and the clock to a row that is about to be written.
func (b *Book) markRow(s *shard, row *ShareRow) {
	clock, ok := b.clock.read(b.now)
	s.clocked = b.pacing.evenShares && ok && !row.Closed && !s.restoring
	for i := range row.Entries {
		next := &row.Entries[i]
		next.Line = nil
		if !s.clocked {
			continue
		}
		e := b.entries[next.Budget]
		line := Line{
			Mark: max(min(e.needed()+b.storedLead(e), next.Granted), e.net()),
			Rate: b.lineRate(e, next.Granted),
			Used: e.settled + e.sent - e.received,
		}
		next.Line = &line
		e.stored = append(e.stored, storedLine{
			line:   line,
			seq:    row.Seq,
			sentAt: b.now,
		})
		e.newestMark = line.Mark
		b.limitStored(e)
	}
	if s.clocked {
		row.Clock = clock.seenAt(b.now)
		b.counts.Clocked++
	}
}

// lineRate returns by how much the line of an entry with a grant rises, in tokens a second.
func (b *Book) lineRate(e *entry, granted waxwingwall.Tokens) waxwingwall.Tokens {
	e.demand.decay(b.now)
	use := waxwingwall.Tokens(lineHeadroom * e.demand.spendRate(b.now))
	all := max(granted-e.net(), 0) / waxwingwall.Tokens(lineTime/time.Second)
	return min(max(use, all), maxLineRate)
}

// keepStored keeps the lines of a shard of which the row may be in force.
func (b *Book) keepStored(s *shard, inForce func(seq uint64) bool) {
	for _, e := range s.entries {
		e.stored = slices.DeleteFunc(e.stored, func(l storedLine) bool { return !inForce(l.seq) })
		b.limitStored(e)
	}
}

// storedLead returns what the marks of lines allow beyond what is committed and asked for;
// it is lost with the node.
func (b *Book) storedLead(e *entry) waxwingwall.Tokens {
	return b.leadWithin(e, e.pool.row.Total/markLeadDivisor/waxwingwall.Tokens(b.holderCount(e)))
}

// marksDue reports whether a shard should be written for the sake of its lines alone: they let
// too little be committed, or would soon rise beyond their marks.
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

// soonFree reports whether a wait goes on beyond its deadline, as the lines of the rows in force,
// which soon allow enough, are all that holds it back.
func (b *Book) soonFree(e *entry) bool {
	left, held := b.heldBack(e, e.wait.smallest)
	return held && left <= flatTime
}

// HeldBack reports whether a request can be paid for, but only once lines in the table allow it, and
// when that is, with jitter. The time is at least maxLineTime if it is never.
func (b *Book) HeldBack(now time.Time, budget waxwingwall.Budget, worst waxwingwall.Tokens) (time.Duration, bool) {
	b.now = now
	e, ok := b.entries[budget]
	if !ok {
		return 0, false
	}
	b.limitStored(e)
	left, held := b.heldBack(e, worst)
	return left + b.retryJitter(), held
}

// heldBack reports whether a request can be paid for, but not within the lines of the rows in force,
// and how long that lasts.
func (b *Book) heldBack(e *entry, worst waxwingwall.Tokens) (time.Duration, bool) {
	if e.storedLimit-e.net() >= worst || e.rowLimit()-e.net() < worst {
		return 0, false
	}
	var left time.Duration
	for i := range e.stored {
		l := &e.stored[i]
		after, reached := l.line.reaches(e.net() + worst)
		if !reached {
			return maxLineTime, true
		}
		left = max(left, l.sentAt.Add(after).Sub(b.now))
	}
	return left, true
}

// retryJitter returns what is added to the time after which lines allow a request, so that callers
// don't return all at once.
func (b *Book) retryJitter() time.Duration {
	return b.pacing.minDrawInterval/2 + b.jitter(b.pacing.minDrawInterval)
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

// Why the line in the table of a share doesn't bound what its owner committed.
const (
	unprovenNoLine    = "no_line"
	unprovenEnd       = "end_unknown"
	unprovenEra       = "other_era"
	unprovenClock     = "clock_back"
	unprovenTimeOfDay = "no_time_of_day"
	unprovenLate      = "late"
)

// until returns how long a process that had ended by a time, by the table's clock, may have run
// after it sent a row of clock c, by its own steady clock. If that is not known it returns why. The
// time of day of the machine counts as well, so that neither a table's clock alone that goes back or
// stands still, though it should be steady, nor a time of day that does, shows less.
func (c RowClock) until(endedBy RowClock) (passed time.Duration, unproven string) {
	switch {
	case !c.Known():
		return 0, unprovenNoLine
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
	longest := max(byTable, byDay)
	return longest + longest/(clockDrift-1), ""
}
