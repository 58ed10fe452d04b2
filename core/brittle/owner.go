package brittle

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"waxwingwall"
)

const (
	// settleTime is how long an owner learns what is in flight before it grants leases.
	// heldTTL is how long it counts what a router said that it has in flight; a lease that
	// the router doesn't repeat counts for leaseGrace.
	settleTime = 500 * time.Millisecond
	heldTTL    = 2500 * time.Millisecond
	leaseGrace = 500 * time.Millisecond

	// declineWindow is the time in which declines count together, with a margin for the
	// time that requests travel. Within calmTime of a decline, a lease may be declined
	// until resolveTime after it was granted.
	declineWindow = 1100 * time.Millisecond
	calmTime      = 3 * time.Second
	resolveTime   = 300 * time.Millisecond

	// growthShare is the part of the slots, at least one, by which the room that is assumed
	// after a decline grows in a second.
	growthShare = 0.125

	// One of spareDeclines declines that an endpoint can stand may be used to find out
	// whether it lets a request wait, up to spareSlots of its slots. There is one more each
	// spareInterval while all slots are taken and asks wait, and none until retryTime after
	// a decline.
	spareDeclines = 3
	spareSlots    = 0.25
	spareInterval = 300 * time.Millisecond
	retryTime     = 5 * time.Second

	// rateSmoothing is the number of ends over which the time between them is smoothed;
	// admittedPercent the part of Ask.Wait up to which an ask is queued.
	rateSmoothing   = 16
	admittedPercent = 80

	// maxWaiting limits the queue of an endpoint.
	maxWaiting = 256

	// minRetryAfter and maxRetryAfter limit the time after which a denied ask may be
	// repeated.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// row is an endpoint that this router owns.
type row struct {
	endpoint waxwingwall.Endpoint
	state    State

	// declines is the number that it can stand in a second; since is when this router
	// became its owner.
	declines int
	since    time.Time

	// leases are the slots that are leased, others the requests without a lease by router.
	leases map[leaseKey]lease
	others map[waxwingwall.Incarnation]others

	// room is the number of requests that it is assumed to have room for, at most its
	// slots, as of grownAt; proven is the part of it that requests which it did not decline
	// have shown. spare is what is granted beyond its slots since spareAt.
	room    float64
	grownAt time.Time
	proven  int
	spare   int
	spareAt time.Time

	// declined are the times of the declines within declineWindow, lastDecline is that of
	// the last one.
	declined    []time.Time
	lastDecline time.Time

	// waiting are the asks that wait, in order. between is the smoothed time between two
	// ends while there is no room, endedAt the last end then; bookedUntil is when the ask that was denied last
	// may be repeated.
	waiting     []*entry
	between     time.Duration
	endedAt     time.Time
	bookedUntil time.Time
}

// leaseKey identifies a lease.
type leaseKey struct {
	from waxwingwall.Incarnation
	id   uint64
}

// lease is a leased slot. heldAt is when its router last said that it has it; before is the
// number of requests in flight when it was granted.
type lease struct {
	grantedAt, heldAt time.Time
	before            int
}

// others are the requests that a router sent without leases.
type others struct {
	count int
	at    time.Time
}

// entry is an ask that waits.
type entry struct {
	ask      Ask
	from     waxwingwall.Incarnation
	deadline time.Time
}

// ensureRow returns the row of an endpoint that this router owns; nil if it has none or
// the endpoint's service isn't brittle.
func (g *Guard) ensureRow(now time.Time, endpoint waxwingwall.Endpoint) *row {
	state, known := g.lookup(endpoint)
	if !known || state.Slots <= 0 || g.owner(endpoint) != g.self {
		return nil
	}
	s := g.services[state.Service]
	if s == nil {
		return nil
	}
	r := g.rows[endpoint]
	if r == nil || r.state.Born != state.Born || r.state.Service != state.Service {
		if r != nil {
			g.denyAll(r)
		}
		r = &row{
			endpoint: endpoint,
			since:    now,
			leases:   map[leaseKey]lease{},
			others:   map[waxwingwall.Incarnation]others{},
			room:     float64(state.Slots),
			grownAt:  now,
		}
		g.rows[endpoint] = r
	}
	r.state = state
	r.state.Slots = shareOf(state.Slots, g.share)
	r.room = min(r.room, float64(r.state.Slots))
	r.declines = s.declines
	return r
}

// shareOf returns a share of an endpoint's slots, rounded so that the shares of two parts of
// the fleet that can't reach each other are no more than all slots.
func shareOf(slots int, share float64) int {
	return int(math.Ceil(float64(slots)*share - 0.5))
}

// stepRows creates the rows that this router has to own, ends the others and grants what
// has become free.
func (g *Guard) stepRows(now time.Time) {
	wanted := map[waxwingwall.Endpoint]bool{}
	for _, name := range g.names() {
		for _, endpoint := range g.list(name) {
			if r := g.ensureRow(now, endpoint); r != nil {
				wanted[endpoint] = true
				r.expire(now)
				g.grantWaiting(now, r)
			}
		}
	}
	for _, endpoint := range slices.Sorted(maps.Keys(g.rows)) {
		if !wanted[endpoint] {
			g.denyAll(g.rows[endpoint])
			delete(g.rows, endpoint)
		}
	}
}

// expire forgets what routers have not repeated.
func (r *row) expire(now time.Time) {
	maps.DeleteFunc(r.leases, func(_ leaseKey, l lease) bool { return now.Sub(l.heldAt) > heldTTL })
	maps.DeleteFunc(r.others, func(_ waxwingwall.Incarnation, o others) bool { return now.Sub(o.at) > heldTTL })
}

// handleHeld records what a router has in flight at the endpoints of this router.
func (g *Guard) handleHeld(now time.Time, from waxwingwall.Incarnation, m Held) {
	for _, at := range m.Endpoints {
		r := g.ensureRow(now, at.Endpoint)
		if r == nil {
			continue
		}
		r.others[from] = others{
			count: max(at.Others, 0),
			at:    now,
		}
		held := map[uint64]bool{}
		for _, id := range at.Leases {
			held[id] = true
			key := leaseKey{from: from, id: id}
			l, known := r.leases[key]
			if !known {
				l.grantedAt = now
				l.before = r.inFlight()
			}
			l.heldAt = now
			r.leases[key] = l
		}
		maps.DeleteFunc(r.leases, func(key leaseKey, l lease) bool {
			return key.from == from && !held[key.id] && now.Sub(l.grantedAt) > leaseGrace
		})
	}
}

// inFlight returns the number of requests at the endpoint, as far as it is known.
func (r *row) inFlight() int {
	n := len(r.leases)
	for _, o := range r.others {
		n += o.count
	}
	return n
}

// handleAsk grants, queues or denies an ask.
func (g *Guard) handleAsk(now time.Time, from waxwingwall.Incarnation, a Ask) {
	e := &entry{
		ask:      a,
		from:     from,
		deadline: now.Add(a.Wait),
	}
	r := g.ensureRow(now, a.Endpoint)
	if r == nil {
		g.answer(e, Answer{
			RetryAfter: minRetryAfter,
		})
		return
	}
	if len(r.waiting) == 0 && r.mayGrant(now) {
		g.grant(now, r, e)
		return
	}
	ahead := r.ahead(e)
	if len(r.waiting) >= maxWaiting || r.wait(now, ahead+1) > a.Wait*admittedPercent/100 {
		g.deny(now, r, e)
		return
	}
	r.waiting = slices.Insert(r.waiting, ahead, e)
	g.grantWaiting(now, r)
}

// ahead returns the number of waiting asks that come before an entry.
func (r *row) ahead(e *entry) int {
	i, _ := slices.BinarySearchFunc(r.waiting, e.ask.Rank, func(o *entry, rank waxwingwall.Rank) int {
		if o.ask.Rank <= rank {
			return -1
		}
		return 1
	})
	return i
}

// wait returns how long it takes until n slots have become free.
func (r *row) wait(now time.Time, n int) time.Duration {
	wait := time.Duration(n) * r.between
	if settled := r.since.Add(settleTime).Sub(now); settled > 0 {
		wait += settled
	}
	if calm := r.calmAt().Sub(now); calm > 0 {
		wait += calm
	}
	return wait
}

// calmAt returns when a lease may be granted again after declines; zero if that is now.
func (r *row) calmAt() time.Time {
	if len(r.declined) < max(r.declines, 1) {
		return time.Time{}
	}
	return r.declined[len(r.declined)-max(r.declines, 1)].Add(declineWindow)
}

// mayGrant reports whether a lease may be granted.
func (r *row) mayGrant(now time.Time) bool {
	if now.Sub(r.since) < settleTime {
		return false
	}
	r.grow(now)
	n := r.inFlight()
	if n >= r.state.Slots {
		return r.room >= float64(r.state.Slots) && n < r.state.Slots+r.spareFor(now)
	}
	return float64(n+1) <= r.room && (n < r.proven || r.mayDecline(now))
}

// undecided returns the number of leases whose requests may still be declined.
func (r *row) undecided(now time.Time) int {
	n := 0
	for _, l := range r.leases {
		if now.Sub(l.grantedAt) < resolveTime {
			n++
		}
	}
	return n
}

// grow updates the room that is assumed.
func (r *row) grow(now time.Time) {
	elapsed := now.Sub(r.grownAt)
	r.grownAt = now
	r.declined = slices.DeleteFunc(r.declined, func(at time.Time) bool { return now.Sub(at) >= declineWindow })
	if len(r.declined) > 0 {
		return
	}
	slots := float64(r.state.Slots)
	r.room = min(r.room+max(slots*growthShare, 1)*elapsed.Seconds(), slots)
}

// mayDecline reports whether the endpoint can stand another decline, besides those of the
// last second and those that may still follow. A row without a recent decline has room.
func (r *row) mayDecline(now time.Time) bool {
	if r.lastDecline.IsZero() || now.Sub(r.lastDecline) >= calmTime {
		return true
	}
	return len(r.declined)+r.undecided(now) < r.declines
}

// spareFor returns how many leases may be granted beyond the slots.
func (r *row) spareFor(now time.Time) int {
	most := min(r.declines/spareDeclines, int(spareSlots*float64(r.state.Slots)))
	switch {
	case now.Sub(r.lastDecline) < retryTime:
		r.spare = 0
	case r.spare < most && len(r.waiting) > 0 && now.Sub(r.spareAt) >= spareInterval:
		r.spare++
		r.spareAt = now
	}
	return min(r.spare, most)
}

// grantWaiting grants the slots that are free to the asks that wait, and denies the asks
// whose time is over.
func (g *Guard) grantWaiting(now time.Time, r *row) {
	for len(r.waiting) > 0 && r.mayGrant(now) {
		e := r.waiting[0]
		r.waiting = r.waiting[1:]
		if now.After(e.deadline) {
			g.deny(now, r, e)
			continue
		}
		g.grant(now, r, e)
	}
	var late []*entry
	r.waiting = slices.DeleteFunc(r.waiting, func(e *entry) bool {
		if now.Before(e.deadline) {
			return false
		}
		late = append(late, e)
		return true
	})
	for _, e := range late {
		g.deny(now, r, e)
	}
}

// grant leases a slot.
func (g *Guard) grant(now time.Time, r *row, e *entry) {
	r.leases[leaseKey{from: e.from, id: e.ask.ID}] = lease{
		grantedAt: now,
		heldAt:    now,
		before:    r.inFlight(),
	}
	g.answer(e, Answer{
		Granted: true,
	})
}

// deny denies an ask. Asks that are denied together may not be repeated together.
func (g *Guard) deny(now time.Time, r *row, e *entry) {
	at := now.Add(r.wait(now, len(r.waiting)+1))
	if booked := r.bookedUntil.Add(r.between); booked.After(at) {
		at = booked
	}
	after := min(max(at.Sub(now), minRetryAfter), maxRetryAfter)
	r.bookedUntil = now.Add(after)
	g.answer(e, Answer{
		RetryAfter: after,
	})
}

// denyAll denies all asks that wait for an endpoint that is gone or has another owner.
func (g *Guard) denyAll(r *row) {
	for _, e := range r.waiting {
		g.answer(e, Answer{
			RetryAfter: minRetryAfter,
		})
	}
	r.waiting = nil
}

// answer passes an answer to the router that asked.
func (g *Guard) answer(e *entry, m Answer) {
	m.ID = e.ask.ID
	m.Endpoint = e.ask.Endpoint
	if e.from != g.self {
		g.send(e.from, m)
		return
	}
	g.resolve(e.ask, m)
}

// renew passes the asks and leases of an incarnation to the one that replaces it.
func (r *row) renew(before, after waxwingwall.Incarnation) {
	for _, e := range r.waiting {
		if e.from == before {
			e.from = after
		}
	}
	for key, l := range maps.Clone(r.leases) {
		if key.from == before {
			delete(r.leases, key)
			key.from = after
			r.leases[key] = l
		}
	}
	if o, ok := r.others[before]; ok {
		delete(r.others, before)
		r.others[after] = o
	}
}

// remove withdraws an ask that waits.
func (r *row) remove(from waxwingwall.Incarnation, id uint64) {
	r.waiting = slices.DeleteFunc(r.waiting, func(e *entry) bool { return e.from == from && e.ask.ID == id })
}

// handleEnd ends a lease.
func (g *Guard) handleEnd(now time.Time, from waxwingwall.Incarnation, m End) {
	r := g.rows[m.Endpoint]
	if r == nil {
		return
	}
	r.remove(from, m.ID)
	full := float64(r.inFlight()+1) > r.room
	key := leaseKey{from: from, id: m.ID}
	l, leased := r.leases[key]
	delete(r.leases, key)
	switch {
	case m.Declined:
		r.declined = append(r.declined, now)
		r.lastDecline = now
		if leased {
			r.room = min(r.room, float64(max(l.before, 1)))
			r.proven = min(r.proven, l.before)
		}
	case leased && l.grantedAt.After(r.lastDecline):
		r.proven = min(max(r.proven, l.before+1), r.state.Slots)
	}
	r.recordEnd(now, full)
	g.grantWaiting(now, r)
}

// recordEnd updates the time between two ends, which counts only while there was no room
// from one to the other.
func (r *row) recordEnd(now time.Time, full bool) {
	if !full {
		r.endedAt = time.Time{}
		return
	}
	if !r.endedAt.IsZero() {
		r.between += (now.Sub(r.endedAt) - r.between) / rateSmoothing
	}
	r.endedAt = now
}

// Row is the state of an endpoint that a router owns, for diagnosis.
type Row struct {
	// Endpoint is the endpoint; InFlight counts the requests there, of all routers, and
	// Waiting the asks that wait.
	Endpoint waxwingwall.Endpoint `json:"endpoint"`
	InFlight int                  `json:"in_flight"`
	Waiting  int                  `json:"waiting"`

	// Room is the number of requests that it is assumed to have room for.
	Room int `json:"room"`
}

// Rows returns the endpoints that this router owns, sorted by name.
func (g *Guard) Rows() []Row {
	var all []Row
	for _, r := range g.rows {
		all = append(all, Row{
			Endpoint: r.endpoint,
			InFlight: r.inFlight(),
			Waiting:  len(r.waiting),
			Room:     int(r.room),
		})
	}
	slices.SortFunc(all, func(a, b Row) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// Declines returns the number of declines that each endpoint of a service can stand in a
// second; it reports false if the service isn't brittle.
func (g *Guard) Declines(name waxwingwall.Model) (int, bool) {
	s := g.services[name]
	if s == nil {
		return 0, false
	}
	return s.declines, true
}
