// Package queue decides which of the requests that wait for the endpoints of a service go
// next, which may wait, and which are refused.
//
// A Queue belongs to one service at one router and acts on the room that its owner believes
// there is (Room). While there is room and nobody waits, each request goes at once. Otherwise
// the more urgent rank goes first, and within a rank the account that was served the fewest
// tokens by its weight, at all routers, in the last seconds (weighted max-min fairness). Each
// rank has a floor, which is never more than leaves the more urgent ranks served as often.
//
// A request waits only if its turn is expected early enough for its first token to come within
// the objective, or its whole answer by the deadline. A request leaves the queue in exactly one
// of three ways: a Dispatch action, a Refuse action, or Withdraw.
//
// The package also has the division of slots among ranks and accounts (DivideByRank,
// DivideByWeight).
package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"waxwingwall"
)

const (
	// MaxWaiting limits the requests that wait in a queue.
	MaxWaiting = 256

	// floorShare is the part of the turns that each rank may have while more urgent ranks
	// wait; rankTTL is how long after its last request a rank counts.
	floorShare = 0.05
	rankTTL    = 10 * time.Second

	// servedTime is the time constant over which the tokens of accounts and the requests of
	// ranks lose weight.
	servedTime = 5 * time.Second

	// yieldTime is how long after a refusal less urgent ranks yield to a rank.
	yieldTime = time.Second

	// rateTime is the time constant of rates: of the turns, and of the requests of a rank.
	rateTime = 2 * time.Second

	// admittedPercent is the part of the time until the latest turn up to which a request is
	// queued, as others that come later go before it.
	admittedPercent = 80

	// maxBypassed is the number of turns that later requests of the same or a less urgent rank
	// get before a large one for which there is no room yet.
	maxBypassed = 8

	// maxAccounts limits the accounts whose tokens are kept.
	maxAccounts = 1024

	// minRetryAfter and maxRetryAfter limit the time after which a refused request may be
	// repeated.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second

	// maxTurn stands for a turn that isn't expected.
	maxTurn = time.Hour
)

// Room is what the owner believes its router may send now.
type Room struct {
	// Requests is the number of requests; zero or less if there is no room.
	Requests int

	// Fit is the memory, in tokens, that the largest request may take now, and Largest that
	// which it may take at an idle endpoint. Memory doesn't count if Largest is zero.
	Fit, Largest waxwingwall.Tokens

	// Rate is the least number of turns a second that is expected.
	Rate float64
}

// Request is what decides on a request.
type Request struct {
	ID      uint64
	Rank    waxwingwall.Rank
	Account waxwingwall.Account

	// Weight is that of the account; zero counts as 1.
	Weight float64

	// Tokens is the memory that the request takes.
	Tokens waxwingwall.Tokens

	// Latest is the time after which its turn would be too late: neither would the first token
	// come in the objective nor the whole answer by the deadline.
	Latest time.Time
}

// Decision is the outcome of an offer.
type Decision int

// The outcomes of an offer.
const (
	// Now means that the request is dispatched at once.
	Now Decision = iota

	// Wait means that an action follows.
	Wait

	// Refused means that the request is not kept.
	Refused
)

// Verdict is the result of Offer, with what it was decided by.
type Verdict struct {
	Decision Decision

	// Ahead counts the requests that are expected to go before; Turn is the expected wait.
	Ahead int
	Turn  time.Duration

	// RetryAfter is set if the request is refused.
	RetryAfter time.Duration
}

// Action ends the wait of a request: it is dispatched, or refused if RetryAfter is set.
type Action struct {
	ID         uint64
	RetryAfter time.Duration

	// Displaced is set if a more urgent request took the place.
	Displaced bool
}

// entry is a request that waits.
type entry struct {
	Request
	seq      uint64
	bypassed int
}

// rank is what a rank was offered and served.
type rank struct {
	// offered and served are numbers of requests that lose weight with their age, as of at.
	offered, served decayed
	arrivals        decayed
	at              time.Time

	// credit is the number of turns, at most one, that the rank has before more urgent ones.
	credit float64

	// refusedAt is when one of its requests was last refused; bookedUntil is the latest time
	// to which a refusal points.
	refusedAt   time.Time
	bookedUntil time.Time
}

// decayed is a sum that loses weight with the age of what was added.
type decayed struct {
	value float64
	at    time.Time
}

func (d *decayed) add(now time.Time, n float64, constant time.Duration) {
	d.value = d.weight(now, constant) + n
	d.at = now
}

func (d *decayed) weight(now time.Time, constant time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-max(now.Sub(d.at), 0).Seconds()/constant.Seconds())
}

// Queue orders the requests of one service at one router. It is not safe for concurrent use.
type Queue struct {
	room    Room
	waiting []*entry
	seq     uint64
	ranks   map[waxwingwall.Rank]*rank

	// served are the tokens of accounts at this router, peers those at others.
	served map[waxwingwall.Account]*decayed
	peers  map[waxwingwall.Account]float64

	// turns counts the turns that have come free.
	turns   decayed
	actions []Action
}

// New returns an empty Queue without room.
func New() *Queue {
	return &Queue{
		ranks:  map[waxwingwall.Rank]*rank{},
		served: map[waxwingwall.Account]*decayed{},
	}
}

// RoomChanged sets the room.
func (q *Queue) RoomChanged(r Room) {
	q.room = r
}

// Freed counts a turn that came free because a request of this router ended at its endpoint.
func (q *Queue) Freed(now time.Time) {
	q.turns.add(now, 1, rateTime)
}

// SetPeersServed sets the tokens of accounts that other routers served in the last seconds.
func (q *Queue) SetPeersServed(served map[waxwingwall.Account]float64) {
	q.peers = served
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	return len(q.waiting)
}

// Offer decides on a new request. The actions of Step follow if others have to give way.
func (q *Queue) Offer(now time.Time, r Request) Verdict {
	if r.Weight <= 0 || math.IsNaN(r.Weight) || math.IsInf(r.Weight, 0) {
		r.Weight = 1
	}
	r.Tokens = max(r.Tokens, 0)
	state := q.rank(r.Rank)
	state.at = now
	state.offered.add(now, 1, servedTime)
	state.arrivals.add(now, 1, rateTime)
	q.seq++
	n := &entry{
		Request: r,
		seq:     q.seq,
	}
	if len(q.waiting) == 0 && q.fits(n) && !q.yields(now, n.Rank) {
		q.serve(now, n)
		return Verdict{}
	}
	q.waiting = append(q.waiting, n)
	ordered := q.order(now)
	v := Verdict{
		Decision: Wait,
		Ahead:    slices.Index(ordered, n),
	}
	v.Turn = q.turn(now, ordered, v.Ahead)
	if left := r.Latest.Sub(now); v.Turn*100 > left*admittedPercent {
		q.remove(n)
		v.Decision = Refused
		v.RetryAfter = q.book(now, r.Rank, v.Turn)
		return v
	}
	if len(q.waiting) <= MaxWaiting {
		return v
	}
	// The newest of the least urgent gives way, of the account whose turn is last.
	last := ordered[len(ordered)-1]
	q.remove(last)
	after := q.book(now, last.Rank, q.turn(now, ordered, len(ordered)-1))
	if last == n {
		v.Decision = Refused
		v.RetryAfter = after
		return v
	}
	q.actions = append(q.actions, Action{
		ID:         last.ID,
		RetryAfter: after,
		Displaced:  true,
	})
	return v
}

// Withdraw removes a request whose wait has ended otherwise.
func (q *Queue) Withdraw(id uint64) {
	q.waiting = slices.DeleteFunc(q.waiting, func(n *entry) bool { return n.ID == id })
	q.actions = slices.DeleteFunc(q.actions, func(a Action) bool { return a.ID == id })
}

// Step returns the requests whose wait ends.
func (q *Queue) Step(now time.Time) []Action {
	q.refuseLate(now)
	for len(q.waiting) > 0 && q.room.Requests > 0 {
		n := q.next(now)
		if n == nil {
			break
		}
		q.remove(n)
		q.serve(now, n)
		q.actions = append(q.actions, Action{
			ID: n.ID,
		})
	}
	q.refusePassedOver(now)
	out := q.actions
	q.actions = nil
	return out
}

// refuseLate refuses the requests whose turn can't come in time any more, the newest of the
// least urgent first: others may be in time without them.
func (q *Queue) refuseLate(now time.Time) {
	if q.room.Requests > 0 && len(q.waiting) <= q.room.Requests {
		return
	}
	ordered := q.order(now)
	for i := len(ordered) - 1; i >= 0; i-- {
		n := ordered[i]
		turn := q.turn(now, ordered, i)
		if !now.Add(turn).After(n.Latest) {
			continue
		}
		q.remove(n)
		q.actions = append(q.actions, Action{
			ID:         n.ID,
			RetryAfter: q.book(now, n.Rank, turn),
		})
	}
}

// refusePassedOver refuses the requests that are too late and for which there is no room yet, though
// there may be some for others.
func (q *Queue) refusePassedOver(now time.Time) {
	for _, n := range slices.Clone(q.waiting) {
		if !now.After(n.Latest) {
			continue
		}
		q.remove(n)
		q.actions = append(q.actions, Action{
			ID:         n.ID,
			RetryAfter: q.book(now, n.Rank, 0),
		})
	}
}

// next returns the request that goes next; nil if none may go.
func (q *Queue) next(now time.Time) *entry {
	ordered := q.order(now)
	if owed := q.owed(now); owed != nil {
		i := slices.IndexFunc(ordered, func(n *entry) bool { return n.Rank == *owed })
		first := ordered[i]
		ordered = append([]*entry{first}, slices.Delete(ordered, i, i+1)...)
	}
	for i, n := range ordered {
		if q.yields(now, n.Rank) {
			continue
		}
		if q.fits(n) {
			for _, large := range ordered[:i] {
				if n.Rank >= large.Rank {
					large.bypassed++
				}
			}
			return n
		}
		if n.bypassed >= maxBypassed {
			// Only what is more urgent goes before it.
			more := slices.IndexFunc(ordered[i+1:], func(o *entry) bool { return o.Rank < n.Rank && q.fits(o) })
			if more < 0 {
				return nil
			}
			return ordered[i+1+more]
		}
	}
	return nil
}

// fits reports whether there is room for a request.
func (q *Queue) fits(n *entry) bool {
	return q.room.Requests > 0 && (q.room.Largest == 0 || min(n.Tokens, q.room.Largest) <= q.room.Fit)
}

// serve takes the room of a request and counts it.
func (q *Queue) serve(now time.Time, n *entry) {
	q.room.Requests--
	if q.room.Largest > 0 {
		q.room.Fit -= n.Tokens
	}
	own := q.rank(n.Rank)
	own.served.add(now, 1, servedTime)
	waiting := q.levels()
	for level, s := range q.ranks {
		switch {
		case level == n.Rank:
			s.credit = max(s.credit-1, 0)
		case now.Sub(s.at) <= rankTTL:
			s.credit = min(s.credit+floorShare, 1)
		case !slices.Contains(waiting, level):
			delete(q.ranks, level)
		}
	}
	d := q.served[n.Account]
	if d == nil {
		q.forgetAccounts(now)
		d = &decayed{}
		q.served[n.Account] = d
	}
	d.add(now, float64(max(n.Tokens, 1)), servedTime)
}

// forgetAccounts makes room for an account: those that were served the least are forgotten.
func (q *Queue) forgetAccounts(now time.Time) {
	if len(q.served) < maxAccounts {
		return
	}
	for a, d := range q.served {
		if now.Sub(d.at) > servedTime {
			delete(q.served, a)
		}
	}
	for len(q.served) >= maxAccounts {
		var least waxwingwall.Account
		lowest := math.Inf(1)
		for a, d := range q.served {
			if w := d.weight(now, servedTime); w < lowest || w == lowest && a < least {
				least, lowest = a, w
			}
		}
		delete(q.served, least)
	}
}

// rank returns the state of a rank.
func (q *Queue) rank(level waxwingwall.Rank) *rank {
	s := q.ranks[level]
	if s == nil {
		s = &rank{}
		q.ranks[level] = s
	}
	return s
}

// owed returns the rank that has a turn before more urgent ones; nil if none has.
func (q *Queue) owed(now time.Time) *waxwingwall.Rank {
	for _, level := range q.levels() {
		if s := q.ranks[level]; s.credit >= 1 && q.hasFloor(now, level) {
			return &level
		}
	}
	return nil
}

// hasFloor reports whether a rank may have a turn before more urgent ones: not if that left
// it served more often than one of those.
func (q *Queue) hasFloor(now time.Time, level waxwingwall.Rank) bool {
	return q.servedLess(now, level, func(*rank) bool { return true })
}

// servedLess reports whether a rank is served no more often than the more urgent ones that count,
// one more turn included.
func (q *Queue) servedLess(now time.Time, level waxwingwall.Rank, counts func(*rank) bool) bool {
	often := func(s *rank, more float64) float64 {
		return (s.served.weight(now, servedTime) + more) / max(s.offered.weight(now, servedTime), 1)
	}
	after := often(q.ranks[level], 1)
	for other, s := range q.ranks {
		if other < level && often(s, 0) < after && counts(s) {
			return false
		}
	}
	return true
}

// yields reports whether a rank leaves its turn to more urgent ones, of which some were refused
// just now: it would be served more often than these. Where a router has few turns, a rank
// would otherwise get as many as it has requests in the moment in which one comes free.
func (q *Queue) yields(now time.Time, level waxwingwall.Rank) bool {
	return !q.servedLess(now, level, func(s *rank) bool { return !s.refusedAt.IsZero() && now.Sub(s.refusedAt) <= yieldTime })
}

// levels returns the ranks that wait, the most urgent first.
func (q *Queue) levels() []waxwingwall.Rank {
	var all []waxwingwall.Rank
	for _, n := range q.waiting {
		if !slices.Contains(all, n.Rank) {
			all = append(all, n.Rank)
		}
	}
	slices.Sort(all)
	return all
}

// order returns the waiting requests in the order of their turns, but for the floors. Within a
// rank the next is the oldest request of the account that was served the least by its weight.
func (q *Queue) order(now time.Time) []*entry {
	type turn struct {
		n  *entry
		at float64
	}
	used := map[waxwingwall.Account]float64{}
	turns := make([]turn, 0, len(q.waiting))
	sorted := slices.Clone(q.waiting)
	slices.SortStableFunc(sorted, func(a, b *entry) int { return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.seq, b.seq)) })
	for _, n := range sorted {
		if _, known := used[n.Account]; !known {
			used[n.Account] = q.ServedTokens(now, n.Account)
		}
		turns = append(turns, turn{
			n:  n,
			at: used[n.Account] / n.Weight,
		})
		used[n.Account] += float64(max(n.Tokens, 1))
	}
	slices.SortStableFunc(turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.n.Rank, b.n.Rank), cmp.Compare(a.at, b.at), cmp.Compare(a.n.seq, b.n.seq))
	})
	for i := range turns {
		sorted[i] = turns[i].n
	}
	return sorted
}

// ServedTokens returns the tokens that an account was served in the last seconds at all routers.
func (q *Queue) ServedTokens(now time.Time, a waxwingwall.Account) float64 {
	own := 0.0
	if d := q.served[a]; d != nil {
		own = d.weight(now, servedTime)
	}
	return own + q.peers[a]
}

// turn returns the expected wait of the i-th request of an order, while more urgent ones arrive.
func (q *Queue) turn(now time.Time, ordered []*entry, i int) time.Duration {
	n := i + 1 - max(q.room.Requests, 0)
	if n <= 0 {
		return 0
	}
	rate := q.rate(now)
	if rate <= 0 {
		return maxTurn
	}
	level := ordered[i].Rank
	urgent := 0.0
	for other, s := range q.ranks {
		if other < level {
			urgent += s.arrivals.weight(now, rateTime) / rateTime.Seconds()
		}
	}
	wait := maxTurn.Seconds()
	if rate > urgent {
		wait = min(wait, float64(n)/(rate-urgent))
	}
	if q.hasFloor(now, level) {
		own := 1.0
		for _, o := range ordered[:i] {
			if o.Rank == level {
				own++
			}
		}
		wait = min(wait, (max(own-q.ranks[level].credit, 0)/floorShare+1)/rate)
	}
	return time.Duration(wait * float64(time.Second))
}

// rate returns the expected number of turns a second.
func (q *Queue) rate(now time.Time) float64 {
	return max(q.turns.weight(now, rateTime)/rateTime.Seconds(), q.room.Rate)
}

// book returns when a refused request may be repeated: when its turn would come, after those
// that were refused before.
func (q *Queue) book(now time.Time, level waxwingwall.Rank, turn time.Duration) time.Duration {
	s := q.rank(level)
	s.refusedAt = now
	at := now.Add(min(max(turn, minRetryAfter), maxRetryAfter))
	if next := s.bookedUntil.Add(time.Duration(float64(time.Second) / max(q.rate(now), 1))); next.After(at) {
		at = next
	}
	if at.Sub(now) > maxRetryAfter {
		// There are more than come free in maxRetryAfter: they are spread over it.
		_, part := math.Modf(float64(q.seq) * math.Phi)
		at = now.Add(minRetryAfter + time.Duration(part*float64(maxRetryAfter-minRetryAfter)))
	}
	s.bookedUntil = at
	return at.Sub(now)
}

func (q *Queue) remove(n *entry) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *entry) bool { return o == n })
}

// Served returns the tokens that accounts were served at this router in the last seconds, those
// of the limit accounts that were served the most.
func (q *Queue) Served(now time.Time, limit int) []AccountTokens {
	all := make([]AccountTokens, 0, len(q.served))
	for a, d := range q.served {
		if w := waxwingwall.Tokens(d.weight(now, servedTime)); w > 0 {
			all = append(all, AccountTokens{
				Account: a,
				Tokens:  w,
			})
		}
	}
	slices.SortFunc(all, func(a, b AccountTokens) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Account, b.Account))
	})
	return all[:min(len(all), limit)]
}

// AccountTokens is what an account was served.
type AccountTokens struct {
	Account waxwingwall.Account `json:"account"`
	Tokens  waxwingwall.Tokens  `json:"tokens"`
}

// Decay returns what is left of a number of tokens after a time.
func Decay(tokens waxwingwall.Tokens, age time.Duration) float64 {
	return float64(tokens) * math.Exp(-max(age, 0).Seconds()/servedTime.Seconds())
}
