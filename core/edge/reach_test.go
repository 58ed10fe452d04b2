package edge

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// contactTime is how long after the beginning of a cut first tries count, countedTime
	// how long they do.
	contactTime = 3 * time.Second
	countedTime = 4 * time.Second

	// tryTime is how long a caller waits for its answer.
	tryTime = 2 * time.Second

	// cutHangTime is how long a connection that is not answered takes to fail, roundTrip how
	// long others take.
	cutHangTime = 400 * time.Millisecond
	roundTrip   = 2 * time.Millisecond

	// openConnections is the number of connections that a router has to each endpoint when
	// a cut begins.
	openConnections = 3

	// tryRate is the number of requests a second at each router.
	tryRate = 6.0
)

// reachMode is what happens to connections to an endpoint that is out of reach.
type reachMode int

const (
	// refuse refuses new connections; open ones are gone.
	refuse reachMode = iota

	// hang does not answer new connections; open ones are gone.
	hang

	// silence does not answer new connections, and loses what is sent on open ones.
	silence
)

// reachModel is a limitModel in which routers and endpoints can be out of each other's
// reach.
type reachModel struct {
	*limitModel
	mode reachMode

	// unreached reports whether a router can't reach an endpoint.
	unreached func(router int, engine *limitEngine) bool

	// open counts the connections that are left from before the cut, by router and
	// endpoint.
	open map[[2]int]int

	// full reports whether the link of a router is full: no new connection is made in time.
	full func(router int) bool

	// vias are the routers by the address at which they make tunnels; tunnels counts the
	// requests sent through them, lost those that they did not bring to an endpoint.
	vias          map[netip.AddrPort]int
	tunnels, lost int

	// tries are the first tries in flight.
	tries map[uint64]*try

	// attempts are the attempts that get no answer, by request.
	attempts map[uint64]int
}

// try is the first try of a caller.
type try struct {
	router int
	at     time.Time
	served bool
}

// tally counts first tries.
type tally struct {
	tried, served int
}

func (n *tally) add(t *try) {
	n.tried++
	if t.served {
		n.served++
	}
}

func (n tally) share() float64 {
	return float64(n.served) / float64(max(n.tried, 1))
}

func newReachModel(t *testing.T, routers int, mode reachMode) *reachModel {
	m := &reachModel{
		mode:      mode,
		unreached: func(int, *limitEngine) bool { return false },
		full:      func(int) bool { return false },
		open:      map[[2]int]int{},
		vias:      map[netip.AddrPort]int{},
		tries:     map[uint64]*try{},
		attempts:  map[uint64]int{},
	}
	for i := range routers {
		m.vias[tunnelsOf(i)] = i
	}
	m.limitModel = newLimitModel(t, 1, routers, max(routers, 4), func(l *limitModel) {
		l.slowTicks = true
	})
	m.perform = m.performCut
	return m
}

// begin puts endpoints out of reach of routers from now on.
func (m *reachModel) begin(unreached func(router int, engine *limitEngine) bool) {
	m.unreached = unreached
	m.open = map[[2]int]int{}
}

// end puts all endpoints into reach.
func (m *reachModel) end() {
	m.begin(func(int, *limitEngine) bool { return false })
}

// number returns the number of an endpoint.
func (m *reachModel) number(e *limitEngine) int {
	n := 0
	if _, err := fmt.Sscanf(string(e.replica.Endpoint), "engine-%d", &n); err != nil {
		m.t.Fatal(err)
	}
	return n
}

func (m *reachModel) performCut(i, life int, a effect.Action) bool {
	switch a := a.(type) {
	case Probe:
		m.connect(i, m.byAddr[a.Address], func(took time.Duration, ok bool) {
			m.feedLife(i, life, Dialed{Address: a.Address, Took: took, Failed: !ok})
		})
		return true
	case ProbeTunnel:
		m.probeTunnel(i, life, a)
		return true
	case Dispatch:
		if a.Via.IsValid() {
			m.tunnel(i, life, a)
			return true
		}
		return m.sendDirectly(i, life, a)
	case LeaveAttempt:
		m.feedLife(i, life, AttemptEnded{Request: a.Request, Attempt: m.attempts[a.Request], Result: IdleTimeout})
		return true
	case KeepWaiting:
		m.stallAfter(i, life, a.Request, m.attempts[a.Request], a.For)
		return true
	case Finished:
		if t := m.tries[a.Request]; t != nil && m.now.Sub(t.at) < tryTime {
			t.served = true
		}
	}
	return false
}

// connect reports whether a router gets a new connection to an endpoint, and how long that
// takes.
func (m *reachModel) connect(i int, e *limitEngine, report func(took time.Duration, ok bool)) {
	ok, took := !m.unreached(i, e), roundTrip
	if !ok && m.mode != refuse {
		took = cutHangTime
	}
	m.after(took, func() { report(took, ok) })
}

// sendDirectly sends a request without a tunnel; it returns false if the endpoint is in
// reach.
func (m *reachModel) sendDirectly(i, life int, d Dispatch) bool {
	e := m.byAddr[d.Address]
	if !m.unreached(i, e) {
		return false
	}
	if pair := [2]int{i, m.number(e)}; m.mode == silence && m.open[pair] < openConnections {
		m.open[pair]++
		m.attempts[d.Request] = d.Attempt
		m.stallAfter(i, life, d.Request, d.Attempt, d.FirstTimeout)
		m.after(d.Deadline.Sub(m.now), func() {
			m.feedLife(i, life, AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: DeadlineExceeded})
		})
		return true
	}
	m.connect(i, e, func(took time.Duration, _ bool) {
		m.feedLife(i, life, Dialed{Address: d.Address, Took: took, Failed: true})
		m.feedLife(i, life, AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: Unreachable})
	})
	return true
}

// stallAfter reports that an attempt has stalled; a time of zero means never.
func (m *reachModel) stallAfter(i, life int, request uint64, attempt int, after time.Duration) {
	if after == 0 {
		return
	}
	m.after(after, func() {
		if m.attempts[request] == attempt {
			m.feedLife(i, life, AttemptStalled{Request: request, Attempt: attempt, Idle: after})
		}
	})
}

// tunnel sends a request through a peer.
func (m *reachModel) tunnel(i, life int, d Dispatch) {
	m.tunnels++
	peer := m.vias[d.Via]
	failed := func(peerFailed bool) {
		m.lost++
		m.feedLife(i, life, AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: Unreachable, PeerFailed: peerFailed})
	}
	if m.routers[peer].down {
		m.after(cutHangTime, func() { failed(true) })
		return
	}
	if !m.routers[peer].edge.Paths()[d.Address] {
		m.after(2*peerDelay, func() { failed(false) })
		return
	}
	m.connect(peer, m.byAddr[d.Address], func(_ time.Duration, ok bool) {
		if !ok {
			failed(false)
			return
		}
		m.after(2*peerDelay, func() { m.dispatch(i, life, d) })
	})
}

// probeTunnel reports whether a peer makes a tunnel, and how long that takes.
func (m *reachModel) probeTunnel(i, life int, a ProbeTunnel) {
	peer := m.vias[a.Via]
	report := func(after time.Duration, reached, peerFailed bool) {
		m.after(after, func() {
			m.feedLife(i, life, TunnelProbed{Peer: a.Peer, Address: a.Address, Took: after, Reached: reached, PeerFailed: peerFailed})
		})
	}
	switch {
	case m.full(i) || m.routers[peer].down:
		report(2*cutHangTime, false, true)
	case !m.routers[peer].edge.Paths()[a.Address]:
		report(2*peerDelay, false, false)
	case m.unreached(peer, m.byAddr[a.Address]) && m.mode != refuse:
		report(cutHangTime, false, false)
	default:
		report(2*peerDelay+roundTrip, !m.unreached(peer, m.byAddr[a.Address]), false)
	}
}

// try sends one request at a router, whose caller leaves after tryTime.
func (m *reachModel) try(i int, route string) *try {
	t := &try{
		router: i,
		at:     m.now,
	}
	id := m.next + 1
	m.tries[id] = t
	life := m.routers[i].life
	m.arrive(i, route, "key")
	m.after(tryTime, func() {
		delete(m.tries, id)
		m.feedLife(i, life, CallerLeft{Request: id})
	})
	return t
}

// call sends requests at all routers for a time. It returns the tally of the routers of a
// group and of the others, of tries from a moment on.
func (m *reachModel) call(during, from time.Duration, group func(i int) bool) (in, out tally) {
	start := m.now
	var counted []*try
	for i := range m.routers {
		var next func(n int)
		next = func(n int) {
			if m.now.Sub(start) >= during {
				return
			}
			if !m.routers[i].down {
				t := m.try(i, []string{"advice", "draft"}[n%2])
				if m.now.Sub(start) >= from {
					counted = append(counted, t)
				}
			}
			m.after(time.Duration((0.5+m.random.Float64())/tryRate*float64(time.Second)), func() { next(n + 1) })
		}
		m.after(time.Duration(m.random.Float64()/tryRate*float64(time.Second)), func() { next(i) })
	}
	m.run(during + tryTime)
	for _, t := range counted {
		n := &out
		if group(t.router) {
			n = &in
		}
		n.add(t)
	}
	return in, out
}

// checkTally fails the test if routers that are cut off serve far less than the others.
func checkTally(t *testing.T, there, elsewhere tally) {
	t.Helper()
	failed := there.tried - there.served
	if there.tried == 0 || elsewhere.tried == 0 {
		t.Fatalf("nothing was tried: %+v, %+v", there, elsewhere)
	}
	if there.share() < elsewhere.share()*2/3 || failed > 10+there.tried/50 {
		t.Errorf("served %d of %d first tries, at the others %d of %d", there.served, there.tried, elsewhere.served, elsewhere.tried)
	}
}

// modes are the names of reachMode.
var modes = map[string]reachMode{
	"refuse":  refuse,
	"hang":    hang,
	"silence": silence,
}

// TestRoutersWithoutEndpoints guards against routers that reach no endpoint and fail their
// callers although peers reach all of them: one router, most of the fleet, a whole failure
// domain.
func TestRoutersWithoutEndpoints(t *testing.T) {
	for size, groups := range map[int]map[string]func(i int) bool{
		8: {
			"one":    func(i int) bool { return i == 0 },
			"most":   func(i int) bool { return i < 5 },
			"domain": func(i int) bool { return i%3 == 0 },
		},
		72: {
			"most":   func(i int) bool { return i < 45 },
			"domain": func(i int) bool { return i%3 == 0 },
		},
		295: {
			"domain": func(i int) bool { return i%3 == 0 },
		},
	} {
		for name, group := range groups {
			for modeName, mode := range modes {
				if size > 8 && mode == refuse || size > 72 && mode != silence {
					continue
				}
				t.Run(fmt.Sprintf("%d, %s, %s", size, name, modeName), func(t *testing.T) {
					m := newReachModel(t, size, mode)
					m.call(time.Second, 0, group)
					m.begin(func(i int, _ *limitEngine) bool { return group(i) })
					there, elsewhere := m.call(contactTime+countedTime, contactTime, group)
					t.Logf("%+v, %+v; %d tunnels, %d lost", there, elsewhere, m.tunnels, m.lost)
					checkTally(t, there, elsewhere)
				})
			}
		}
	}
}

// TestIdleRoutersWithoutEndpoints guards against routers that notice only by failed requests
// that they are cut off: with few callers each, the first request at each router fails.
func TestIdleRoutersWithoutEndpoints(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			group := func(i int) bool { return i%3 == 0 }
			m := newReachModel(t, 72, mode)
			m.call(time.Second, 0, group)
			m.begin(func(i int, _ *limitEngine) bool { return group(i) })
			m.run(contactTime)
			there, elsewhere := tally{}, tally{}
			var tries []*try
			for i := range m.routers {
				tries = append(tries, m.try(i, "draft"))
			}
			m.run(tryTime)
			for _, try := range tries {
				n := &elsewhere
				if group(try.router) {
					n = &there
				}
				n.add(try)
			}
			checkTally(t, there, elsewhere)
		})
	}
}

// TestCutComesAgain guards against a router that does not notice that it is cut off once
// more, or goes on through peers after a cut.
func TestCutComesAgain(t *testing.T) {
	group := func(i int) bool { return i < 3 }
	m := newReachModel(t, 8, silence)
	for range 3 {
		m.begin(func(i int, _ *limitEngine) bool { return group(i) })
		there, elsewhere := m.call(contactTime+countedTime/2, contactTime, group)
		checkTally(t, there, elsewhere)
		m.end()
		m.call(2*time.Second, 0, group)
		before := m.tunnels
		m.call(time.Second, 0, group)
		if m.tunnels != before {
			t.Errorf("%d tunnels after the cut", m.tunnels-before)
		}
	}
}

// TestRestartInsideCut guards against a router that starts while it is cut off, and has
// never had a connection to an endpoint.
func TestRestartInsideCut(t *testing.T) {
	group := func(i int) bool { return i < 5 }
	m := newReachModel(t, 8, hang)
	m.begin(func(i int, _ *limitEngine) bool { return group(i) })
	for i := range 3 {
		m.restart(i, 500*time.Millisecond)
	}
	m.run(time.Second)
	there, elsewhere := m.call(contactTime+countedTime, contactTime, group)
	checkTally(t, there, elsewhere)
}

// TestCutWithoutStore guards against a router that needs the store to notice that it is cut
// off, or to find a peer.
func TestCutWithoutStore(t *testing.T) {
	group := func(i int) bool { return i < 3 }
	m := newReachModel(t, 8, hang)
	m.away = true
	m.begin(func(i int, _ *limitEngine) bool { return group(i) })
	there, elsewhere := m.call(contactTime+countedTime, contactTime, group)
	checkTally(t, there, elsewhere)
}

// TestOutageIsNoCut guards against an outage of all endpoints that is taken for a cut: no
// router leaves the lists, tunnels stay few, and service is back soon after it.
func TestOutageIsNoCut(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			all := func(int) bool { return true }
			m := newReachModel(t, 8, mode)
			m.begin(func(int, *limitEngine) bool { return true })
			m.call(6*time.Second, 0, all)
			for i, r := range m.routers {
				if addresses, _ := r.edge.Addresses(m.now); len(addresses) != len(m.routers) {
					t.Errorf("router %d lists %d", i, len(addresses))
				}
			}
			if limit := len(m.routers) * 2 * maxTunnelFailures; m.tunnels > limit {
				t.Errorf("%d tunnels, at most %d", m.tunnels, limit)
			}
			m.end()
			m.run(dialRetention)
			if served, _ := m.call(2*time.Second, 0, all); served.share() < 0.99 {
				t.Errorf("after the outage: %+v", served)
			}
		})
	}
}

// TestCutRoutersNotListed guards against callers that are sent to a router which reaches
// endpoints through peers only, and against a fleet that lists too few: routers are left out
// while at least half are not cut off.
func TestCutRoutersNotListed(t *testing.T) {
	for cut, want := range map[int]int{1: 7, 4: 4, 5: 8} {
		m := newReachModel(t, 8, hang)
		group := func(i int) bool { return i < cut }
		m.begin(func(i int, _ *limitEngine) bool { return group(i) })
		m.call(contactTime, 0, group)
		for i, r := range m.routers {
			if addresses, _ := r.edge.Addresses(m.now); len(addresses) != want {
				t.Errorf("%d of 8 cut off: router %d lists %d, not %d", cut, i, len(addresses), want)
			}
		}
		m.end()
		m.call(2*time.Second, 0, group)
		if addresses, _ := m.routers[7].edge.Addresses(m.now); len(addresses) != 8 {
			t.Errorf("after the cut: lists %d", len(addresses))
		}
	}
}

// TestSomeEndpointsOutOfReach guards against a router that reaches some endpoints of a
// service and fails the requests for the others.
func TestSomeEndpointsOutOfReach(t *testing.T) {
	group := func(i int) bool { return i < 3 }
	m := newReachModel(t, 8, hang)
	m.begin(func(i int, e *limitEngine) bool { return group(i) && m.number(e) > 0 })
	there, elsewhere := m.call(contactTime+countedTime, contactTime, group)
	checkTally(t, there, elsewhere)
}

// TestEndpointMovesOutOfCut guards against an endpoint that is reached through peers for ever,
// because it moved to another service during a cut.
func TestEndpointMovesOutOfCut(t *testing.T) {
	h := newHarness(t)
	peer := waxwingwall.Incarnation{VM: "vm-2", Boot: 1}
	h.step(Nodes{Snapshot: true, Rows: []waxwingwall.Row{{
		Key:     NodeKey(peer),
		Version: 1,
		Value:   `{"peers":"10.0.0.2:1","callers":"10.0.0.2:2","tunnels":"10.0.0.2:3","domain":"d"}`,
	}}})
	all := engines(4)
	for _, r := range all {
		h.step(Dialed{
			Address: r.Address,
			Failed:  true,
		})
	}
	h.now = h.now.Add(time.Millisecond)
	for _, r := range all {
		h.step(TunnelProbed{
			Address: r.Address,
			Reached: true,
		})
		h.step(Dialed{
			Address: r.Address,
			Failed:  true,
		})
	}
	row := h.edge.endpoints.rows[all[0].Endpoint]
	if !row.tunneled {
		t.Fatal("not cut off")
	}
	all[0].Service = "other"
	h.step(Replicas{
		Replicas: all[:1],
		Revision: 11,
	})
	if row.tunneled {
		t.Error("still reached through peers")
	}
}

// TestFullLinkIsNoCut guards against a router that takes its own full link for a cut: tunnels
// need the same link twice, and its callers wait instead of being refused at once.
func TestFullLinkIsNoCut(t *testing.T) {
	busy := func(i int) bool { return i == 0 }
	m := newReachModel(t, 8, hang)
	m.full = busy
	m.begin(func(i int, _ *limitEngine) bool { return busy(i) })
	m.call(4*time.Second, 0, busy)
	e := m.routers[0].edge
	if m.tunnels > 0 || len(e.cuts()) > 0 {
		t.Errorf("%d tunnels, cut off from %v", m.tunnels, e.cuts())
	}
	if e.link.queueDelay(m.now) == 0 && !e.LinkSuspect(m.now) {
		t.Error("the full link is not noticed")
	}
}

// TestEndpointsReplacedAreNoCut guards against a router that takes connections to endpoints
// which are gone, or start again, for a cut while it reaches all others.
func TestEndpointsReplacedAreNoCut(t *testing.T) {
	m := newReachModel(t, 8, refuse)
	all := func(int) bool { return true }
	gone := 0
	m.begin(func(_ int, e *limitEngine) bool { return m.number(e)%4 == gone })
	for step := range 10 {
		m.after(time.Duration(step)*400*time.Millisecond, func() { gone = step % 4 })
	}
	m.call(4*time.Second, 0, all)
	if m.tunnels > 0 {
		t.Errorf("%d tunnels", m.tunnels)
	}
}

// TestStaleListIsNotTested guards against tests of endpoints that make a link look clear whose
// list of endpoints is out of date: requests would be sent to endpoints that have left.
func TestStaleListIsNotTested(t *testing.T) {
	h := newHarness(t)
	h.advance(h.edge.bounds.EndpointDrain)
	if !h.edge.endpointsStale() {
		t.Fatal("the list is not out of date")
	}
	h.edge.link.probedAt = h.now.Add(time.Hour)
	h.edge.reach.init()
	if out := h.advance(2 * idleInterval); has[Probe](out) {
		t.Error("endpoints are tested")
	}
}
