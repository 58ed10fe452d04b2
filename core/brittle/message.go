package brittle

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// spreadFanout limits the peers that are told at once that a service is brittle;
	// repairInterval is the interval at which repairFanout random peers are told again.
	spreadFanout   = 36
	repairInterval = time.Second
	repairFanout   = 3

	// greetFanout is the number of routers, on average, that tell a new one.
	greetFanout = 8

	// heldInterval is the interval at which a router tells owners what it has in flight.
	heldInterval = 350 * time.Millisecond

	// maxDeclines limits the numbers in messages; it is above all that
	// waxwingwall.ParseBrittleness accepts. maxWait limits Ask.Wait.
	maxDeclines = 1 << 30
	maxWait     = time.Minute
)

// gossip is the state of what is repeated.
type gossip struct {
	repairAt, heldAt time.Time

	// reported are the endpoints at which the router had something in flight by its last
	// report.
	reported map[waxwingwall.Endpoint]bool
}

// Ask requests the lease of a slot. It is also the message to the endpoint's owner.
type Ask struct {
	// ID is chosen by the router that asks, see Guard.NextID.
	ID uint64

	// Endpoint is the endpoint, Rank the rank of the request.
	Endpoint waxwingwall.Endpoint
	Rank     waxwingwall.Rank

	// Wait is how long the request may wait for the slot.
	Wait time.Duration

	// Notice is what the router that asks knows of the service, for an owner that doesn't.
	Notice Notice
}

// Answer is the answer of an owner to an Ask.
type Answer struct {
	// ID and Endpoint are those of the Ask; Granted is set if it has a slot.
	ID       uint64
	Endpoint waxwingwall.Endpoint
	Granted  bool

	// RetryAfter is when a slot is expected to be free.
	RetryAfter time.Duration
}

// End ends a lease or withdraws an Ask.
type End struct {
	// ID and Endpoint are those of the Ask.
	ID       uint64
	Endpoint waxwingwall.Endpoint

	// Declined is set if the endpoint declined the request for want of room.
	Declined bool
}

// Held is what a router has in flight at the endpoints that the receiver owns.
type Held struct {
	// Endpoints are those with any request in flight now or by the report before, and
	// Services are known to be brittle.
	Endpoints []HeldAt
	Services  []Notice
}

// HeldAt is what a router has in flight at one endpoint.
type HeldAt struct {
	// Endpoint is the endpoint, Leases the IDs of the leases, and Others counts the
	// requests without one.
	Endpoint waxwingwall.Endpoint
	Leases   []uint64
	Others   int
}

// Notice says that a service is brittle.
type Notice struct {
	// Service is the service, Declines the number named last.
	Service  waxwingwall.Model
	Declines int

	// Since and At are how long ago an answer first and last named it.
	Since, At time.Duration
}

// Notices passes notices on.
type Notices struct {
	// Notices are merged by the receiver.
	Notices []Notice
}

// Messages returns one message of each type exchanged between routers, for registration
// with the codec.
func Messages() []any {
	return []any{
		Ask{},
		Answer{},
		End{},
		Held{},
		Notices{},
	}
}

// handleMessage handles a message from a peer.
func (g *Guard) handleMessage(now time.Time, ev effect.Received) {
	switch m := ev.Message.(type) {
	case Ask:
		m.Wait = min(max(m.Wait, 0), maxWait)
		g.merge(now, ev.From, []Notice{m.Notice})
		g.handleAsk(now, ev.From, m)
	case Answer:
		m.RetryAfter = min(max(m.RetryAfter, 0), maxRetryAfter)
		g.handleAnswer(ev.From, m)
	case End:
		g.handleEnd(now, ev.From, m)
	case Held:
		g.merge(now, ev.From, m.Services)
		g.handleHeld(now, ev.From, m)
	case Notices:
		g.merge(now, ev.From, m.Notices)
	}
}

// merge applies the notices of a peer.
func (g *Guard) merge(now time.Time, from waxwingwall.Incarnation, notices []Notice) {
	for _, n := range notices {
		if len(g.list(n.Service)) == 0 || !n.valid() {
			continue
		}
		if s := g.services[n.Service]; s != nil && now.Sub(s.since)-n.Since >= startDelay {
			g.send(from, Notices{
				Notices: []Notice{s.notice(now, n.Service)},
			})
		}
		g.learn(n.Service, service{declines: n.Declines, since: now.Add(-n.Since), at: now.Add(-n.At)}, from)
	}
}

// valid reports whether a router can have sent the notice.
func (n *Notice) valid() bool {
	return n.Declines >= 0 && n.Declines <= maxDeclines && n.At >= 0 && n.At <= n.Since && n.At < namedTTL
}

// notices returns what is known of services.
func (g *Guard) notices(now time.Time) []Notice {
	var all []Notice
	for _, name := range g.names() {
		all = append(all, g.services[name].notice(now, name))
	}
	return all
}

// notice returns what is known of a service.
func (s *service) notice(now time.Time, name waxwingwall.Model) Notice {
	return Notice{
		Service:  name,
		Declines: s.declines,
		Since:    now.Sub(s.since),
		At:       now.Sub(s.at),
	}
}

// spread passes all notices on from time to time.
func (g *Guard) spread(now time.Time) {
	if len(g.services) == 0 || now.Sub(g.gossip.repairAt) < repairInterval {
		return
	}
	g.gossip.repairAt = now
	g.sendRandom(repairFanout, g.notices(now))
}

// sendRandom sends notices to random peers.
func (g *Guard) sendRandom(fanout int, notices []Notice) {
	order := g.rng.Perm(len(g.peers))
	for _, i := range order[:min(fanout, len(order))] {
		g.send(g.peers[i], Notices{
			Notices: notices,
		})
	}
}

// reportHeld tells the owners of endpoints what this router has in flight there.
func (g *Guard) reportHeld(now time.Time) {
	if len(g.services) == 0 || now.Sub(g.gossip.heldAt) < heldInterval {
		return
	}
	g.gossip.heldAt = now
	byOwner := map[waxwingwall.Incarnation]*Held{}
	var owners []waxwingwall.Incarnation
	for _, at := range g.held() {
		owner := g.owner(at.Endpoint)
		m := byOwner[owner]
		if m == nil {
			m = &Held{
				Services: g.notices(now),
			}
			byOwner[owner] = m
			owners = append(owners, owner)
		}
		m.Endpoints = append(m.Endpoints, at)
	}
	for _, owner := range owners {
		switch {
		case owner.IsZero():
		case owner == g.self:
			g.handleHeld(now, g.self, *byOwner[owner])
		default:
			g.send(owner, *byOwner[owner])
		}
	}
}

// held returns what this router has in flight at endpoints of brittle services.
func (g *Guard) held() []HeldAt {
	ids := map[waxwingwall.Endpoint][]uint64{}
	for id, endpoint := range g.leases {
		ids[endpoint] = append(ids[endpoint], id)
	}
	before := g.gossip.reported
	g.gossip.reported = map[waxwingwall.Endpoint]bool{}
	var all []HeldAt
	for _, name := range g.names() {
		for _, endpoint := range g.list(name) {
			leases := ids[endpoint]
			state, known := g.lookup(endpoint)
			busy := state.Running > 0 || len(leases) > 0
			if !known || !busy && !before[endpoint] {
				continue
			}
			if busy {
				g.gossip.reported[endpoint] = true
			}
			slices.Sort(leases)
			all = append(all, HeldAt{
				Endpoint: endpoint,
				Leases:   leases,
				Others:   max(state.Running-len(leases), 0),
			})
		}
	}
	return all
}
