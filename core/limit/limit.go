// Package limit keeps endpoints within the rates that they name, over all routers
// together.
//
// An endpoint that is short of capacity names a limit in its answers: the requests a
// second that it takes from all callers, for as long as it says so. A Limiter belongs to
// one router. Routers agree on nothing; they pass each other notices and rights.
//
// # Life cycle of a limit
//
// Observe records what an answer names. The first naming makes a Notice, which spreads
// among the routers, and from then on a request may be sent to the endpoint only with a
// permit (Ask, Granted). A later answer can raise a limit only if its request was sent
// after the newest notice was known, since answers may arrive out of order. An answer
// that names no limit doubles the rate, until the endpoint counts as unlimited; an end
// that was read wrongly is corrected by the next answer. A limit also ends when its
// endpoint is removed or restarts.
//
// A cold endpoint has a limit that ends by time (Cold). It has no notice: what says so is the
// endpoint's entry, which all routers read. If the endpoint names a limit as well, the stricter
// one is in force, and neither changes the other.
//
// # Rights and permits
//
// Of each limit, every registered router has an equal right, which it may use itself or
// lend. For the endpoints of one service (a pool) the routers lend their rights to one of
// them, the pool's owner, which all choose alike; the owner grants permits at the rate of
// the rights that it holds. Rights are lent for a time, and a router lends a right again,
// or uses it, only after that time. So the rights in use never add up to more than one
// limit, also while routers disagree on the owner or can't reach each other. A router
// whose owner doesn't answer uses its own right once the loan has ended, if that is enough
// for a whole request.
//
// Tokens accrue at an endpoint's rate times the rights held. The largest number of tokens
// shrinks with the rights as well, so that many routers with small rights can't send at
// the same moment; a router with less than a whole token sends nothing.
//
// # Waiting
//
// An owner queues the asks that it can grant within their Wait, the most urgent rank
// first and the accounts of a rank in turn, and denies all others at once with the time
// at which a permit will be free. Lower ranks keep a small part of the permits.
package limit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// tolerance is the relative difference below which two rates are the same.
	tolerance = 0.05

	// endFactor times the rate named last is the rate from which an endpoint that names
	// no limit any more counts as unlimited.
	endFactor = 16
)

// Notice is what is known of the limit of an endpoint.
type Notice struct {
	// Endpoint and Born identify the instance of the endpoint, Pool is its service.
	Endpoint waxwingwall.Endpoint `json:"endpoint"`
	Pool     waxwingwall.Model    `json:"pool"`
	Born     int64                `json:"born"`

	// Seq orders the notices of an instance; of two with the same number, the stricter
	// one is valid.
	Seq uint64 `json:"seq"`

	// Rate is the rate to keep to and Named the rate that the endpoint named last, in
	// requests per second. Rate is higher while the limit is ending.
	Rate  float64 `json:"rate"`
	Named float64 `json:"named"`

	// Ended is set if there is no limit any more.
	Ended bool `json:"ended"`
}

// newer reports whether n replaces o.
func (n Notice) newer(o Notice) bool {
	if n.Seq != o.Seq {
		return n.Seq > o.Seq
	}
	if n.Ended != o.Ended {
		return o.Ended
	}
	return n.Rate < o.Rate
}

// Changed reports a new notice.
type Changed struct {
	effect.IsAction

	// Notice is the notice in force, Before the one that it replaced; zero if there was
	// none. From is the router that passed it on; zero if it was observed here.
	Notice, Before Notice
	From           waxwingwall.Incarnation
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(l *Limiter) {
		l.seed = seed
	}
}

// Lookup returns the instance of an endpoint and whether it may receive requests; it
// reports known as false if there is no such endpoint.
type Lookup func(waxwingwall.Endpoint) (born int64, usable, known bool)

// Limiter is one router's part in keeping the limits. It is not safe for concurrent use.
// All its actions are returned by Step and Take.
type Limiter struct {
	self   waxwingwall.Incarnation
	lookup Lookup
	seed   uint64
	rng    *rand.Rand

	// rows are the endpoints with a notice and the cold ones; pools are sorted by name.
	rows  map[waxwingwall.Endpoint]*row
	pools []*pool

	// peers are the live routers, sorted by VM; right is this router's part of each
	// limit, from 0 to 1; leaving is set once it must not own a pool.
	peers   []waxwingwall.Incarnation
	right   float64
	routers int
	leaving bool

	// asks are the pending asks to other routers.
	asks   map[uint64]*pendingAsk
	askSeq uint64

	gossip  gossip
	actions []effect.Action
}

// row is an endpoint with a notice, or a cold one.
type row struct {
	notice Notice

	// tokens are the permits that this router may still grant, as of refilledAt.
	tokens     float64
	refilledAt time.Time

	// unsent is set until the notice was passed on.
	unsent bool

	// coldRate is the rate that the endpoint takes while it is cold, until coldUntil; zero
	// if it isn't. The number of notice is zero if it has named no limit.
	coldRate  float64
	coldUntil time.Time
}

// pool holds the limited endpoints of one service.
type pool struct {
	name waxwingwall.Model

	// owner is the router that grants the permits.
	owner waxwingwall.Incarnation

	// rows are sorted by endpoint.
	rows []*row

	// held is the part of the limits that this router may use now, from 0 to 1. loans
	// are the rights that others lent, sorted by VM.
	held  float64
	loans []loan

	// lentTo is the router that this one's right was last lent to, until lentUntil at
	// the latest; renewAt is when it is lent again.
	lentTo    waxwingwall.Incarnation
	lentUntil time.Time
	renewAt   time.Time

	// silentUntil is the time until which the owner is not asked, as it did not answer;
	// askAfter the time before which no permit will be free.
	silentUntil time.Time
	askAfter    time.Time

	queue
}

// loan is a right that another router lent.
type loan struct {
	from  waxwingwall.Incarnation
	right float64
	until time.Time
}

// New returns the Limiter of a router.
func New(self waxwingwall.Incarnation, lookup Lookup, opts ...Option) *Limiter {
	l := &Limiter{
		self:   self,
		lookup: lookup,
		rows:   map[waxwingwall.Endpoint]*row{},
		asks:   map[uint64]*pendingAsk{},
	}
	for _, o := range opts {
		o(l)
	}
	l.rng = rand.New(rand.NewPCG(l.seed, xxhash.Sum64String(self.String())))
	return l
}

// SetSelf sets the router's incarnation.
func (l *Limiter) SetSelf(self waxwingwall.Incarnation) {
	before := l.self
	l.self = self
	for _, p := range l.pools {
		p.owner = l.chooseOwner(p.name)
		p.renew(before, self)
	}
}

// SetPeers sets the other live routers, and the number of all registered routers with
// this one. A router that isn't registered itself has no right. A router that leaves
// owns no pool.
func (l *Limiter) SetPeers(live []waxwingwall.Incarnation, routers int, registered, leaving bool) {
	l.peers = live
	l.routers = max(routers, 1)
	l.right = 0
	if registered {
		l.right = 1 / float64(l.routers)
	}
	l.leaving = leaving
	for _, p := range l.pools {
		p.owner = l.chooseOwner(p.name)
	}
}

// Limited reports whether requests to an endpoint need a permit.
func (l *Limiter) Limited(endpoint waxwingwall.Endpoint) bool {
	r := l.rows[endpoint]
	return r != nil && r.limited()
}

// Seq returns the number of the newest notice of an endpoint, for Observation.
func (l *Limiter) Seq(endpoint waxwingwall.Endpoint) uint64 {
	if r := l.rows[endpoint]; r != nil {
		return r.notice.Seq
	}
	return 0
}

// Notices returns all notices, sorted by service and endpoint.
func (l *Limiter) Notices() []Notice {
	var all []Notice
	for _, p := range l.pools {
		for _, r := range p.rows {
			if r.noticed() {
				all = append(all, r.notice)
			}
		}
	}
	return all
}

// Held returns the part of the limits of a service that this router may use, from 0 to 1,
// and the number of asks that wait here.
func (l *Limiter) Held(name waxwingwall.Model) (held float64, waiting int) {
	if p := l.pool(name); p != nil {
		return p.held, len(p.waiting)
	}
	return 0, 0
}

// Observation is what the header of an answer says of its endpoint's limit.
type Observation struct {
	// Endpoint and Born identify the instance of the endpoint, Pool is its service.
	Endpoint waxwingwall.Endpoint
	Pool     waxwingwall.Model
	Born     int64

	// Seq is the result of Limiter.Seq when the request was sent.
	Seq uint64

	// Limit is the limit that the answer names.
	Limit waxwingwall.RateLimit
}

// Observe records an answer.
func (l *Limiter) Observe(now time.Time, o Observation) {
	var before Notice
	if r := l.rows[o.Endpoint]; r != nil && r.notice.Born == o.Born {
		before = r.notice
	}
	next := before
	next.Endpoint = o.Endpoint
	next.Pool = o.Pool
	next.Born = o.Born
	next.Seq++
	limited := before.Seq > 0 && !before.Ended
	current := o.Seq == before.Seq
	rate := o.Limit.Rate
	switch {
	case o.Limit.Named && (!limited || rate < before.Rate*(1-tolerance) || current && rate > before.Rate*(1+tolerance)):
		next.Rate = rate
		next.Named = rate
		next.Ended = false
	case !o.Limit.Named && limited && current:
		next.Rate = max(2*before.Rate, 1)
		next.Ended = next.Rate >= endFactor*max(before.Named, 1)
	default:
		return
	}
	l.apply(now, next, waxwingwall.Incarnation{})
	if p := l.pool(o.Pool); p.owner != l.self {
		l.send(p.owner, Notices{
			Notices: []Notice{next},
		})
	}
}

// apply puts a notice in force.
func (l *Limiter) apply(now time.Time, n Notice, from waxwingwall.Incarnation) {
	r := l.rows[n.Endpoint]
	var moved row
	if r != nil && r.notice.Pool != n.Pool {
		moved = *r
		l.Forget(n.Endpoint)
		r = nil
	}
	if r == nil {
		r = &row{
			refilledAt: now,
			coldRate:   moved.coldRate,
			coldUntil:  moved.coldUntil,
		}
		l.rows[n.Endpoint] = r
		l.ensurePool(n.Pool).add(r, n)
	} else if p := l.pool(r.notice.Pool); p != nil {
		p.refill(now)
	}
	before := r.notice
	if before.Born != n.Born || !r.limited() {
		r.tokens = 0
		r.refilledAt = now
	}
	r.notice = n
	r.unsent = true
	l.gossip.urgent = l.gossip.urgent || before.Seq == 0 || before.Ended != n.Ended || n.Rate < before.Rate
	l.actions = append(l.actions, Changed{
		Notice: n,
		Before: before,
		From:   from,
	})
}

// Forget ends the limit of an endpoint that is gone or has restarted.
func (l *Limiter) Forget(endpoint waxwingwall.Endpoint) {
	r := l.rows[endpoint]
	if r == nil {
		return
	}
	delete(l.rows, endpoint)
	p := l.pool(r.notice.Pool)
	p.rows = slices.DeleteFunc(p.rows, func(o *row) bool { return o == r })
}

// pool returns a pool, or nil.
func (l *Limiter) pool(name waxwingwall.Model) *pool {
	i, ok := slices.BinarySearchFunc(l.pools, name, func(p *pool, name waxwingwall.Model) int { return cmp.Compare(p.name, name) })
	if !ok {
		return nil
	}
	return l.pools[i]
}

// ensurePool returns a pool, which it creates if necessary.
func (l *Limiter) ensurePool(name waxwingwall.Model) *pool {
	if p := l.pool(name); p != nil {
		return p
	}
	p := &pool{
		name:  name,
		owner: l.chooseOwner(name),
		queue: newQueue(),
	}
	i, _ := slices.BinarySearchFunc(l.pools, name, func(p *pool, name waxwingwall.Model) int { return cmp.Compare(p.name, name) })
	l.pools = slices.Insert(l.pools, i, p)
	return p
}

// add adds the row of an endpoint.
func (p *pool) add(r *row, n Notice) {
	i, _ := slices.BinarySearchFunc(p.rows, n.Endpoint, compareRows)
	r.notice.Endpoint = n.Endpoint
	r.notice.Pool = n.Pool
	r.notice.Born = n.Born
	p.rows = slices.Insert(p.rows, i, r)
}

// limited reports whether any endpoint of the pool has a limit.
func (p *pool) limited() bool {
	return slices.ContainsFunc(p.rows, (*row).limited)
}

// Step processes an event and returns the pending actions.
func (l *Limiter) Step(now time.Time, ev effect.Event) []effect.Action {
	switch ev := ev.(type) {
	case effect.Received:
		l.handleMessage(now, ev)
	case effect.Tick:
		l.tick(now)
	}
	return l.Take()
}

// Take returns the pending actions.
func (l *Limiter) Take() []effect.Action {
	out := l.actions
	l.actions = nil
	return out
}

func (l *Limiter) emit(a effect.Action) {
	l.actions = append(l.actions, a)
}

func (l *Limiter) send(to waxwingwall.Incarnation, message any) {
	l.emit(effect.Send{
		To:      to,
		Message: message,
	})
}

// tick runs the systems that depend on time alone.
func (l *Limiter) tick(now time.Time) {
	for _, p := range l.pools {
		for _, r := range slices.Clone(p.rows) {
			if born, _, known := l.lookup(r.notice.Endpoint); !known || born != r.notice.Born {
				l.Forget(r.notice.Endpoint)
			}
		}
		l.warm(now, p)
		l.lend(now, p)
		l.updateHeld(now, p)
		l.grantWaiting(now, p)
	}
	l.expireAsks(now)
	l.spread(now)
}
