// Package brittle keeps the requests in flight at brittle endpoints within their slots,
// over all routers together.
//
// The endpoints of a service may say in their answers that they are brittle: one that
// declines more than a number of requests in a second, for want of room, falls over. How
// many it lets wait is not known and may shrink at any time, so only its slots count as
// room. A Guard belongs to one router.
//
// # Leases
//
// Each endpoint has an owner among the live routers, which all choose alike by its name. A
// request is sent to an endpoint of a brittle service only with a lease of one of its slots
// (Ask, Granted), which the owner grants and which ends with the attempt (End). Routers
// repeat what they have in flight (Held), so that a new owner learns of it, and a lease
// whose router is silent expires. A new owner grants nothing before all had the time to
// tell it. A router that isn't the owner, by its own view, denies.
//
// # Declines
//
// A decline shows that an endpoint has less room than slots: what is still in flight there
// counts as its room, which then grows again slowly. Until it has been calm for a while,
// the declines of the last second and the leases that may still be declined stay within the
// number that the endpoint can stand. If that is large, an owner grants a few leases more
// than there are slots, so that a slot is not idle while its end is reported.
//
// # Life cycle
//
// Named records an answer that says so. It spreads among the routers and applies from
// startDelay after it was first known, or from the first decline: until then endpoints have
// their usual room, and owners learn what is in flight. It ends namedTTL after the last such
// answer.
package brittle

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// startDelay is the time from the first answer that says that a service is brittle
	// until leases are needed, namedTTL that from the last one until they aren't: longer
	// than an endpoint that fell over is away.
	startDelay = 700 * time.Millisecond
	namedTTL   = 10 * time.Second

	// answerTimeout is how long an owner's answer may take in addition to Ask.Wait.
	// ownerTimeout is how long an owner that exceeded it is not asked.
	answerTimeout = 150 * time.Millisecond
	ownerTimeout  = time.Second
)

// State is what a router knows of an endpoint.
type State struct {
	// Service is its service, Born identifies the instance.
	Service waxwingwall.Model
	Born    int64

	// Slots is the number of requests that it runs concurrently, Running the number of
	// this router's requests there, with and without a lease.
	Slots, Running int
}

// Lookup returns the state of an endpoint; it reports false if there is no such endpoint.
type Lookup func(waxwingwall.Endpoint) (State, bool)

// List returns the names of a service's endpoints in order.
type List func(waxwingwall.Model) []waxwingwall.Endpoint

// Granted is the lease of a slot for one request, until End.
type Granted struct {
	effect.IsAction

	// ID is the ID of the Ask, Endpoint the endpoint.
	ID       uint64
	Endpoint waxwingwall.Endpoint
}

// Denied means that there is no slot within Ask.Wait.
type Denied struct {
	effect.IsAction

	// ID is the ID of the Ask, Endpoint the endpoint.
	ID       uint64
	Endpoint waxwingwall.Endpoint

	// RetryAfter is when a slot is expected to be free. Silent is set if the endpoint's
	// owner did not answer.
	RetryAfter time.Duration
	Silent     bool
}

// Changed reports that a service is brittle, with another number, or not any more.
type Changed struct {
	effect.IsAction

	// Service is the service, Declines the number that each endpoint can stand.
	Service  waxwingwall.Model
	Declines int

	// Ended is set if the endpoints are not brittle any more. From is the router that
	// passed it on; zero if it was observed here.
	Ended bool
	From  waxwingwall.Incarnation
}

// Option configures a Guard.
type Option func(*Guard)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(g *Guard) {
		g.seed = seed
	}
}

// Guard is one router's part in protecting brittle endpoints. It is not safe for concurrent
// use. All its actions are returned by Step and Take.
type Guard struct {
	self   waxwingwall.Incarnation
	lookup Lookup
	list   List
	seed   uint64
	rng    *rand.Rand

	// peers are the live routers; mayOwn is set while this one may own endpoints.
	peers  []waxwingwall.Incarnation
	mayOwn bool

	// share is the part of all registered routers that is live, from 0 to 1.
	share float64

	// services are those that are brittle, by name.
	services map[waxwingwall.Model]*service

	// rows are the endpoints that this router owns.
	rows map[waxwingwall.Endpoint]*row

	// asks are the pending asks to other routers, leases what this router holds, both by
	// ID. silent are the owners that did not answer, with the time until which they are
	// not asked.
	asks   map[uint64]*pendingAsk
	leases map[uint64]waxwingwall.Endpoint
	askSeq uint64
	silent map[waxwingwall.Incarnation]time.Time

	// heardAt is when a message of each live router last arrived.
	heardAt map[waxwingwall.Incarnation]time.Time

	gossip  gossip
	actions []effect.Action
}

// service is a brittle service.
type service struct {
	// declines is the number named last. since is when the first answer named one, at
	// when the last did.
	declines  int
	since, at time.Time
}

// pendingAsk is an ask that its owner has not answered.
type pendingAsk struct {
	ask    Ask
	to     waxwingwall.Incarnation
	sentAt time.Time
}

// New returns the Guard of a router.
func New(self waxwingwall.Incarnation, lookup Lookup, list List, opts ...Option) *Guard {
	g := &Guard{
		self:     self,
		lookup:   lookup,
		list:     list,
		services: map[waxwingwall.Model]*service{},
		rows:     map[waxwingwall.Endpoint]*row{},
		asks:     map[uint64]*pendingAsk{},
		leases:   map[uint64]waxwingwall.Endpoint{},
		silent:   map[waxwingwall.Incarnation]time.Time{},
		heardAt:  map[waxwingwall.Incarnation]time.Time{},
	}
	for _, o := range opts {
		o(g)
	}
	g.rng = rand.New(rand.NewPCG(g.seed, xxhash.Sum64String(self.String())))
	return g
}

// SetSelf sets the router's incarnation. What the one before asked for and holds goes on.
func (g *Guard) SetSelf(self waxwingwall.Incarnation) {
	before := g.self
	g.self = self
	for _, r := range g.rows {
		r.renew(before, self)
	}
}

// SetPeers sets the other live routers, and the number of all registered routers with this
// one. A router that leaves, or doesn't know all others yet, may own no endpoint.
func (g *Guard) SetPeers(now time.Time, live []waxwingwall.Incarnation, routers int, mayOwn bool) {
	before := g.peers
	g.peers = slices.Clone(live)
	maps.DeleteFunc(g.heardAt, func(i waxwingwall.Incarnation, _ time.Time) bool { return !slices.Contains(live, i) })
	g.mayOwn = mayOwn
	g.share = min(float64(len(live)+1)/float64(max(routers, 1)), 1)
	if len(g.services) == 0 {
		return
	}
	for _, peer := range live {
		if !slices.Contains(before, peer) && g.rng.IntN(len(live)) < greetFanout {
			g.send(peer, Notices{
				Notices: g.notices(now),
			})
		}
	}
}

// owner returns the router that grants the leases of an endpoint; zero if none is known.
func (g *Guard) owner(endpoint waxwingwall.Endpoint) waxwingwall.Incarnation {
	var best waxwingwall.Incarnation
	highest := uint64(0)
	consider := func(i waxwingwall.Incarnation) {
		if h := xxhash.Sum64String(string(endpoint) + "\x00" + string(i.VM)); h >= highest {
			best = i
			highest = h
		}
	}
	for _, i := range g.peers {
		consider(i)
	}
	if g.mayOwn {
		consider(g.self)
	}
	return best
}

// Named records an answer that says that the endpoints of a service are brittle.
func (g *Guard) Named(now time.Time, name waxwingwall.Model, declines int) {
	if g.learn(name, service{declines: declines, since: now, at: now}, waxwingwall.Incarnation{}) {
		g.sendRandom(spreadFanout, g.notices(now))
	}
}

// Silent reports whether the owner of an endpoint did not answer.
func (g *Guard) Silent(now time.Time, endpoint waxwingwall.Endpoint) bool {
	return len(g.silent) > 0 && now.Before(g.silent[g.owner(endpoint)])
}

// Declined records that an endpoint of a service declined a request for want of room. If it
// is known to be brittle, leases are needed from now on.
func (g *Guard) Declined(now time.Time, name waxwingwall.Model) {
	if s := g.services[name]; s != nil && now.Sub(s.since) < startDelay {
		s.since = now.Add(-startDelay)
	}
}

// learn records what is known of a service. It reports whether that is new.
func (g *Guard) learn(name waxwingwall.Model, s service, from waxwingwall.Incarnation) bool {
	known := g.services[name]
	if known == nil {
		known = &service{
			declines: s.declines,
			since:    s.since,
			at:       s.at,
		}
		g.services[name] = known
		g.logChange(name, known, from)
		return true
	}
	if s.since.Before(known.since) {
		known.since = s.since
	}
	if !s.at.After(known.at) {
		return false
	}
	known.at = s.at
	changed := known.declines != s.declines
	known.declines = s.declines
	if changed {
		g.logChange(name, known, from)
	}
	return changed
}

func (g *Guard) logChange(name waxwingwall.Model, s *service, from waxwingwall.Incarnation) {
	g.emit(Changed{
		Service:  name,
		Declines: s.declines,
		From:     from,
	})
}

// Brittle reports whether a request to a service needs a lease.
func (g *Guard) Brittle(now time.Time, name waxwingwall.Model) bool {
	s := g.services[name]
	return s != nil && now.Sub(s.since) >= startDelay
}

// NextID returns a new Ask.ID.
func (g *Guard) NextID() uint64 {
	g.askSeq++
	return g.askSeq
}

// Ask requests a lease; Granted or Denied follows.
func (g *Guard) Ask(now time.Time, a Ask) {
	to := g.owner(a.Endpoint)
	if to == g.self {
		g.handleAsk(now, g.self, a)
		return
	}
	if to.IsZero() {
		g.silent[to] = now.Add(minRetryAfter)
	}
	if until := g.silent[to]; now.Before(until) {
		g.emit(Denied{
			ID:         a.ID,
			Endpoint:   a.Endpoint,
			RetryAfter: until.Sub(now),
			Silent:     true,
		})
		return
	}
	if state, known := g.lookup(a.Endpoint); known && g.services[state.Service] != nil {
		a.Notice = g.services[state.Service].notice(now, state.Service)
	}
	g.asks[a.ID] = &pendingAsk{
		ask:    a,
		to:     to,
		sentAt: now,
	}
	g.send(to, a)
}

// End ends a lease, or withdraws an ask that was not answered yet. declined is set if the
// endpoint declined the request for want of room.
func (g *Guard) End(now time.Time, id uint64, declined bool) {
	endpoint, held := g.leases[id]
	delete(g.leases, id)
	if a := g.asks[id]; a != nil {
		endpoint = a.ask.Endpoint
		held = true
		delete(g.asks, id)
	}
	if owner := g.owner(endpoint); held && !owner.IsZero() {
		g.endAt(now, owner, End{
			ID:       id,
			Endpoint: endpoint,
			Declined: declined,
		})
		return
	}
	for _, r := range g.rows {
		r.remove(g.self, id)
	}
}

// endAt reports the end of a lease to the endpoint's owner.
func (g *Guard) endAt(now time.Time, owner waxwingwall.Incarnation, m End) {
	if owner == g.self {
		g.handleEnd(now, g.self, m)
		return
	}
	g.send(owner, m)
}

// handleAnswer handles the answer of an owner. A lease that comes too late is ended.
func (g *Guard) handleAnswer(from waxwingwall.Incarnation, m Answer) {
	a := g.asks[m.ID]
	if a == nil || a.to != from {
		if m.Granted {
			g.send(from, End{
				ID:       m.ID,
				Endpoint: m.Endpoint,
			})
		}
		return
	}
	delete(g.asks, m.ID)
	g.resolve(a.ask, m)
}

// resolve ends an ask of this router.
func (g *Guard) resolve(a Ask, m Answer) {
	if !m.Granted {
		g.emit(Denied{
			ID:         a.ID,
			Endpoint:   a.Endpoint,
			RetryAfter: m.RetryAfter,
		})
		return
	}
	g.leases[a.ID] = a.Endpoint
	g.emit(Granted{
		ID:       a.ID,
		Endpoint: a.Endpoint,
	})
}

// expireAsks ends the asks whose owner does not answer.
func (g *Guard) expireAsks(now time.Time) {
	var expired []*pendingAsk
	for _, a := range g.asks {
		if now.Sub(a.sentAt) > a.ask.Wait+answerTimeout {
			expired = append(expired, a)
		}
	}
	slices.SortFunc(expired, func(a, b *pendingAsk) int { return cmp.Compare(a.ask.ID, b.ask.ID) })
	for _, a := range expired {
		delete(g.asks, a.ask.ID)
		d := Denied{
			ID:         a.ask.ID,
			Endpoint:   a.ask.Endpoint,
			RetryAfter: minRetryAfter,
		}
		if g.heardAt[a.to].Before(a.sentAt) {
			g.silent[a.to] = now.Add(ownerTimeout)
			d.RetryAfter = ownerTimeout
			d.Silent = true
		}
		g.emit(d)
	}
	for to, until := range g.silent {
		if !now.Before(until) {
			delete(g.silent, to)
		}
	}
}

// Step processes an event and returns the pending actions.
func (g *Guard) Step(now time.Time, ev effect.Event) []effect.Action {
	switch ev := ev.(type) {
	case effect.Received:
		g.heardAt[ev.From] = now
		g.handleMessage(now, ev)
	case effect.Tick:
		g.tick(now)
	}
	return g.Take()
}

// Take returns the pending actions.
func (g *Guard) Take() []effect.Action {
	out := g.actions
	g.actions = nil
	return out
}

func (g *Guard) emit(a effect.Action) {
	g.actions = append(g.actions, a)
}

func (g *Guard) send(to waxwingwall.Incarnation, message any) {
	g.emit(effect.Send{
		To:      to,
		Message: message,
	})
}

// tick runs the systems that depend on time alone.
func (g *Guard) tick(now time.Time) {
	g.expireServices(now)
	g.reportHeld(now)
	g.stepRows(now)
	g.expireAsks(now)
	g.spread(now)
}

// expireServices ends what no answer has named for long.
func (g *Guard) expireServices(now time.Time) {
	for _, name := range g.names() {
		if now.Sub(g.services[name].at) < namedTTL {
			continue
		}
		delete(g.services, name)
		g.emit(Changed{
			Service: name,
			Ended:   true,
		})
	}
}

// names returns the brittle services in order.
func (g *Guard) names() []waxwingwall.Model {
	var all []waxwingwall.Model
	for name := range g.services {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
