package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"waxwingwall"
)

const (
	// floorShare is the part of the permits that each rank may have while more urgent
	// ranks ask for all of them; rankTTL is how long after its last ask a rank counts.
	floorShare = 0.05
	rankTTL    = 5 * time.Second

	// rateSmoothing is the time over which the rate of a rank's asks is smoothed.
	rateSmoothing = 2 * time.Second

	// admittedPercent is the part of Ask.Wait up to which an ask is queued: others that
	// come before it later must not make it late.
	admittedPercent = 80

	// maxWaiting limits the queue of a pool, maxTurns the accounts whose turns are kept.
	maxWaiting = 256
	maxTurns   = 1024

	// minRetryAfter and maxRetryAfter limit the time after which a denied ask may be
	// repeated.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second

	// noRightRetryAfter applies while the router holds too little of the limits to grant
	// any permit: until its loans have ended or another router owns the service.
	noRightRetryAfter = 2 * time.Second
)

// queue holds the asks that wait for a permit of a pool.
type queue struct {
	waiting []*entry
	seq     uint64

	// ranks are those of the asks within rankTTL.
	ranks map[waxwingwall.Rank]*rankState

	// turns are the numbers of the last grants to accounts; grants counts all.
	turns  map[waxwingwall.Account]uint64
	grants uint64
}

// rankState is what a rank is owed.
type rankState struct {
	askedAt time.Time

	// rate is the smoothed number of asks a second, as of askedAt.
	rate float64

	// credit is the number of permits, at most one, that the rank gets before more
	// urgent ones.
	credit float64

	// bookedUntil is the time at which the last denied ask may be repeated.
	bookedUntil time.Time
}

// entry is an ask that waits.
type entry struct {
	ask  Ask
	from waxwingwall.Incarnation

	// seq is the order of arrival; owed is set if its rank had credit.
	seq      uint64
	owed     bool
	since    time.Time
	deadline time.Time
}

func newQueue() queue {
	return queue{
		ranks: map[waxwingwall.Rank]*rankState{},
		turns: map[waxwingwall.Account]uint64{},
	}
}

// newEntry returns the entry of an ask, which is not in the queue yet.
func (q *queue) newEntry(now time.Time, from waxwingwall.Incarnation, a Ask) *entry {
	q.seq++
	s := q.ranks[a.Rank]
	if s == nil {
		s = &rankState{}
		q.ranks[a.Rank] = s
	}
	s.rate = s.rateAt(now) + 1/rateSmoothing.Seconds()
	s.askedAt = now
	return &entry{
		ask:      a,
		from:     from,
		seq:      q.seq,
		since:    now,
		deadline: now.Add(a.Wait),
	}
}

// rateAt returns the rate at a time.
func (s *rankState) rateAt(now time.Time) float64 {
	return s.rate * math.Exp(-now.Sub(s.askedAt).Seconds()/rateSmoothing.Seconds())
}

// urgentRate returns how many asks of more urgent ranks than that of an entry arrive in a
// second.
func (q *queue) urgentRate(now time.Time, e *entry) float64 {
	sum := 0.0
	for rank, s := range q.ranks {
		if rank < e.ask.Rank && !e.owed {
			sum += s.rateAt(now)
		}
	}
	return sum
}

// ahead returns the number of waiting asks that get a permit before an entry: those of
// more urgent ranks, and of its own rank those that come first when the accounts take
// turns.
func (q *queue) ahead(e *entry) int {
	n := 0
	own := 0
	others := map[waxwingwall.Account]int{}
	for _, o := range q.waiting {
		switch {
		case o == e:
		case o.owed != e.owed:
			if o.owed {
				n++
			}
		case o.ask.Rank != e.ask.Rank:
			if o.ask.Rank < e.ask.Rank {
				n++
			}
		case o.ask.Account != e.ask.Account:
			others[o.ask.Account]++
		case o.seq < e.seq:
			own++
		}
	}
	for account, count := range others {
		n += min(count, own)
		if count > own && q.turns[account] < q.turns[e.ask.Account] {
			n++
		}
	}
	return n + own
}

// inOrder returns the waiting asks in the order in which they are expected to get their
// permits.
func (q *queue) inOrder() []*entry {
	ahead := make(map[*entry]int, len(q.waiting))
	for _, e := range q.waiting {
		ahead[e] = q.ahead(e)
	}
	ordered := slices.Clone(q.waiting)
	slices.SortFunc(ordered, func(a, b *entry) int { return cmp.Or(cmp.Compare(ahead[a], ahead[b]), cmp.Compare(a.seq, b.seq)) })
	return ordered
}

// remove removes an entry.
func (q *queue) remove(e *entry) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *entry) bool { return o == e })
}

// renew passes the asks of an incarnation to the one that replaces it.
func (q *queue) renew(before, after waxwingwall.Incarnation) {
	for _, e := range q.waiting {
		if e.from == before {
			e.from = after
		}
	}
}

// find returns the entry of an ask, or nil.
func (q *queue) find(from waxwingwall.Incarnation, id uint64) *entry {
	i := slices.IndexFunc(q.waiting, func(e *entry) bool { return e.from == from && e.ask.ID == id })
	if i < 0 {
		return nil
	}
	return q.waiting[i]
}

// claimCredit uses the credit of an entry's rank for it, if there is enough.
func (q *queue) claimCredit(e *entry) {
	if s := q.ranks[e.ask.Rank]; s.credit >= 1 {
		s.credit = 0
		e.owed = true
	}
}

// granted updates turns and credits after a grant.
func (q *queue) granted(now time.Time, a Ask) {
	q.grants++
	if len(q.turns) >= maxTurns {
		for account, turn := range q.turns {
			if turn+maxTurns < q.grants {
				delete(q.turns, account)
			}
		}
	}
	q.turns[a.Account] = q.grants
	for rank, s := range q.ranks {
		switch {
		case now.Sub(s.askedAt) > rankTTL:
			delete(q.ranks, rank)
		case rank != a.Rank:
			s.credit = min(s.credit+floorShare, 1)
		}
	}
}

// wait returns how long it takes until n permits are free while others take a number of
// them a second; false if that takes longer than maxRetryAfter.
func (p *pool) wait(n int, taken float64, usable func(*row) bool) (time.Duration, bool) {
	free := func(after time.Duration) int {
		sum := -int(taken * after.Seconds())
		for _, r := range p.rows {
			if r.limited() && p.burst(r) >= 1 && usable(r) {
				sum += int(max(r.tokens, 0) + p.rate(r)*after.Seconds())
			}
		}
		return sum
	}
	if free(0) >= n {
		return 0, true
	}
	low, high := time.Duration(0), maxRetryAfter
	if free(high) < n {
		if p.grantRate(usable) == 0 {
			return noRightRetryAfter, false
		}
		return maxRetryAfter, false
	}
	for high-low > time.Millisecond {
		if middle := (low + high) / 2; free(middle) >= n {
			high = middle
		} else {
			low = middle
		}
	}
	return high, true
}

// grantRate returns the permits a second that this router may grant.
func (p *pool) grantRate(usable func(*row) bool) float64 {
	rate := 0.0
	for _, r := range p.rows {
		if r.limited() && p.burst(r) >= 1 && usable(r) {
			rate += p.rate(r)
		}
	}
	return rate
}

// book returns when a denied ask may be repeated, and books a permit for it, so that the
// denied asks of a rank are repeated at the rate of the permits at most.
func (p *pool) book(now time.Time, rank waxwingwall.Rank, free time.Duration, usable func(*row) bool) time.Duration {
	at := now.Add(free)
	s := p.ranks[rank]
	if rate := p.grantRate(usable); s != nil && rate > 0 && s.bookedUntil.After(now) {
		at = maxTime(at, s.bookedUntil.Add(time.Duration(float64(time.Second)/rate)))
	}
	after := min(max(at.Sub(now), minRetryAfter), maxRetryAfter)
	if s != nil {
		s.bookedUntil = now.Add(after)
	}
	return after
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
