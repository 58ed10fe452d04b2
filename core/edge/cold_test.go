package edge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// coldRate and coldTime are those of the engines in tests; coldBound is what a cold endpoint
// may get in a second.
const (
	coldRate  = 8.1
	coldTime  = 3 * time.Second
	coldBound = 1.5*coldRate + 5
)

// withCold sets the cold rate of the engines in a configuration.
func withCold(c waxwingwall.Configuration) waxwingwall.Configuration {
	for i := range c.Services {
		if c.Services[i].Engine {
			c.Services[i].ColdRate, c.Services[i].ColdTime = coldRate, coldTime
		}
	}
	return c
}

// newColdHarness returns the Edge of the only router, whose engines have a cold rate.
func newColdHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.step(Configured{Configuration: withCold(testConfiguration(2))})
	h.register()
	return h
}

// list lists an engine anew.
func (h *harness) list(n int, cold time.Duration, born int64) []effect.Action {
	r := engines(n + 1)[n]
	r.Cold, r.Born = cold, born
	return h.step(Replicas{Replicas: []waxwingwall.Replica{r}, Revision: h.edge.endpoints.revision + 1})
}

// coldLeft returns how much longer the limit of an engine as a cold one is in force.
func (h *harness) coldLeft(n int) time.Duration {
	id := engines(n + 1)[n].Endpoint
	if !h.edge.limits.Cold(id) {
		return 0
	}
	return h.edge.endpoints.rows[id].cold.until.Sub(h.now)
}

// wantCold fails the test if an engine isn't cold for some time.
func (h *harness) wantCold(what string, n int, want time.Duration) {
	h.t.Helper()
	if got := h.coldLeft(n); got != want {
		h.t.Errorf("%s: cold for %v, want %v", what, got, want)
	}
}

// TestColdSources guards against a cold time that is taken from another instance, prolonged by
// what is old, or ended by what is older.
func TestColdSources(t *testing.T) {
	h := newColdHarness(t)
	hear := func(born int64, left time.Duration) {
		h.step(NoticeReceived{Endpoint: "engine-0", Born: born, Cold: left})
	}
	h.list(0, 2*time.Second, 5)
	h.wantCold("listed", 0, 2*time.Second)
	h.advance(500 * time.Millisecond)
	h.list(0, 2*time.Second, 5)
	h.wantCold("the same entry again", 0, 1500*time.Millisecond)
	h.list(0, 1200*time.Millisecond, 5)
	h.wantCold("a newer entry ends it sooner", 0, 1200*time.Millisecond)
	hear(4, 3*time.Second)
	h.wantCold("an answer of another instance", 0, 1200*time.Millisecond)
	hear(5, 2*time.Second)
	h.wantCold("an answer", 0, 2*time.Second)
	hear(5, time.Second)
	h.wantCold("an answer that is late", 0, 2*time.Second)
	h.list(0, 0, 5)
	h.wantCold("an entry that may be older than the answer", 0, 2*time.Second)
	hear(5, time.Hour)
	h.wantCold("a time longer than that of the service", 0, coldTime)
	h.list(0, 0, 6)
	h.wantCold("another instance", 0, 0)
	h.list(0, time.Second, 6)
	if until, ok := h.edge.ColdInstances()[Instance{Endpoint: "engine-0", Born: 6}]; !ok || until.Sub(h.now) != time.Second {
		t.Errorf("the instance is cold until %v", until)
	}
	if n := len(h.edge.ColdInstances()); n != 1 {
		t.Errorf("%d cold endpoints, want 1", n)
	}
	h.advance(time.Second)
	h.wantCold("its time is over", 0, 0)
	h.list(0, time.Second, 6)
	h.wantCold("the same entry after its time", 0, 0)
	h.list(0, 900*time.Millisecond, 6)
	h.wantCold("cold again", 0, 900*time.Millisecond)
	h.step(Replicas{Removed: []waxwingwall.Endpoint{"engine-0"}, Revision: h.edge.endpoints.revision + 1})
	if n := len(h.edge.ColdInstances()); n != 0 || h.edge.limits.Limited("engine-0") {
		t.Errorf("%d cold endpoints after the removal", n)
	}
}

// TestColdByConfiguration answers a service without a rate for cold endpoints, one that gets a
// rate, and one whose rate a peer with an earlier version of this program left out.
func TestColdByConfiguration(t *testing.T) {
	h := newHarness(t)
	h.register()
	h.list(0, 2*time.Second, 5)
	h.wantCold("without a rate", 0, 0)
	h.step(effect.Received{From: waxwingwall.Incarnation{VM: "vm-2", Boot: 1}, Message: News{Configuration: testConfiguration(2)}})
	h.wantCold("configuration of a peer", 0, 0)
	h.step(Configured{Configuration: withCold(testConfiguration(2))})
	h.wantCold("the same version from the store", 0, 2*time.Second)
	h.step(Configured{Configuration: testConfiguration(3)})
	h.wantCold("without a rate again", 0, 0)
	if h.edge.limits.Limited("engine-0") {
		t.Error("limited without a rate")
	}
}

// TestColdPassedOn answers routers that the store turns away: entries from peers hold what is
// left, and answers that newly say so are passed on once. What no router can have sent is
// rejected.
func TestColdPassedOn(t *testing.T) {
	h := newColdHarness(t)
	peer := waxwingwall.Incarnation{VM: "vm-2", Boot: 1}
	h.list(0, 2*time.Second, 5)
	h.advance(500 * time.Millisecond)
	for _, a := range h.step(effect.Received{From: peer, Message: AskNews{}}) {
		s, ok := a.(effect.Send)
		if !ok {
			continue
		}
		for _, r := range s.Message.(News).Replicas {
			if r.Endpoint == "engine-0" && r.Cold != 1500*time.Millisecond {
				t.Errorf("%v are passed on, 1.5 s are left", r.Cold)
			}
		}
	}
	tell := func(c ColdEndpoint) []effect.Action {
		return h.step(effect.Received{From: peer, Message: Departures{Cold: []ColdEndpoint{c}}})
	}
	tell(ColdEndpoint{Endpoint: "engine-0", Born: 4, Left: 3 * time.Second})
	h.wantCold("another instance", 0, 1500*time.Millisecond)
	for _, left := range []time.Duration{-time.Second, math.MaxInt64, math.MinInt64} {
		rejected := false
		for _, a := range tell(ColdEndpoint{Endpoint: "engine-0", Born: 5, Left: left}) {
			l, ok := a.(LogEntry)
			rejected = rejected || ok && l.Event == "message_rejected"
		}
		if !rejected {
			t.Errorf("%v: not rejected", left)
		}
	}
	h.wantCold("absurd times", 0, 1500*time.Millisecond)
	tell(ColdEndpoint{Endpoint: "engine-0", Born: 5, Left: 2 * time.Second})
	h.wantCold("told by a peer", 0, 2*time.Second)
	if len(h.edge.departures.cold) != 0 {
		t.Error("what a peer told is passed on")
	}
	h.step(NoticeReceived{Endpoint: "engine-0", Born: 5, Cold: 2010 * time.Millisecond})
	if len(h.edge.departures.cold) != 0 {
		t.Error("the same end is passed on")
	}
	h.step(NoticeReceived{Endpoint: "engine-1", Cold: time.Second})
	if all := h.edge.coldNews(); len(all) != 1 || all[0].Endpoint != "engine-1" || all[0].Left != time.Second {
		t.Errorf("passed on: %v", all)
	}
}

// TestWarmEndpointFirst: a request that has a warm endpoint doesn't wait for a cold one.
func TestWarmEndpointFirst(t *testing.T) {
	h := newColdHarness(t)
	for n := range 3 {
		h.list(n, 3*time.Second, 0)
	}
	for i := range uint64(40) {
		_, out := h.arrive(prompt(100+i, 1000+i))
		if !has[Dispatch](out) {
			t.Fatalf("request %d waits or is refused", i)
		}
	}
}

// short returns a request with a short prompt, which leaves time to wait.
func short() waxwingwall.Call {
	c := call("advice")
	c.Prompt = 100
	c.Parts = nil
	return c
}

// TestAllCold: where all endpoints of a service are cold, requests wait as long as their
// objective allows and the others are refused at once, with the time at which a permit is free.
func TestAllCold(t *testing.T) {
	h := newColdHarness(t)
	for n := range 4 {
		h.list(n, 3*time.Second, 0)
	}
	h.advance(500 * time.Millisecond)
	sent, refused := 0, 0
	count := func(out []effect.Action) {
		for _, a := range out {
			switch a := a.(type) {
			case Dispatch:
				sent++
				if by := a.SendBy.Sub(h.now); by > coldSendBy {
					t.Errorf("sent within %v", by)
				}
			case Refuse:
				refused++
				if a.Problem.Outcome != waxwingwall.NotRun || a.Problem.RetryAfter <= 0 {
					t.Errorf("refused with %+v", a.Problem)
				}
			}
		}
	}
	for range 100 {
		_, out := h.arrive(short())
		count(out)
	}
	waiting := len(h.edge.permits)
	if sent == 0 || waiting == 0 || refused < 50 {
		t.Errorf("at once, %d are sent and %d refused, %d wait", sent, refused, waiting)
	}
	count(h.advance(300 * time.Millisecond))
	if sent+refused != 100 || len(h.edge.permits) != 0 {
		t.Errorf("%d sent, %d refused, %d wait beyond their objective", sent, refused, len(h.edge.permits))
	}
}

// TestWarmEndsWait: requests that wait for a permit go to an endpoint that has become warm.
func TestWarmEndsWait(t *testing.T) {
	h := newColdHarness(t)
	for n := range 4 {
		h.list(n, 3*time.Second, 0)
	}
	h.advance(500 * time.Millisecond)
	for range 16 {
		h.arrive(short())
	}
	waiting := len(h.edge.permits)
	if waiting == 0 {
		t.Fatal("no request waits")
	}
	h.list(2, 0, 0)
	sent := 0
	for _, a := range h.advance(50 * time.Millisecond) {
		if _, ok := a.(Dispatch); ok {
			sent++
		}
	}
	if sent != waiting || len(h.edge.permits) != 0 {
		t.Errorf("%d of %d are sent, %d wait", sent, waiting, len(h.edge.permits))
	}
}

// TestWarmUpFirst: while a failure domain is evacuated, requests that have time ask for a cold
// endpoint first, as far as its rate goes; others don't.
func TestWarmUpFirst(t *testing.T) {
	routes := []waxwingwall.Route{
		{Name: "long", Kind: waxwingwall.NonIdempotent, Objective: 9 * time.Second},
		{Name: "batch", Kind: waxwingwall.Idempotent, Objective: 4 * time.Second},
		{Name: "chat", Kind: waxwingwall.Idempotent, Objective: 2 * time.Second},
		{Name: "quick", Kind: waxwingwall.Idempotent, Objective: time.Second},
	}
	for i := range routes {
		routes[i].Services = []waxwingwall.Weighted{{Service: "model", Weight: 1}}
	}
	for i, want := range []bool{false, true, true, false} {
		if got := patient(routes, &routes[i], "model"); got != want {
			t.Errorf("%s has time: %v", routes[i].Name, got)
		}
	}
	if !patient(routes[:1], &routes[0], "model") {
		t.Error("the only route has no time")
	}
	h := newColdHarness(t)
	h.list(0, 3*time.Second, 0)
	r := &request{route: &h.edge.config.configuration.Routes[1], service: "model", tried: map[waxwingwall.Endpoint]bool{}}
	all := func(*endpoint) bool { return true }
	if _, ok := h.edge.chooseWarmUp(r, false, all); ok {
		t.Error("a cold endpoint is chosen although nothing is evacuated")
	}
	if c, ok := h.edge.chooseWarmUp(r, true, all); !ok || c.endpoint.replica.Endpoint != "engine-0" {
		t.Errorf("no cold endpoint is chosen: %v", c.endpoint)
	}
	if _, ok := h.edge.chooseWarmUp(r, true, func(row *endpoint) bool { return row.replica.Endpoint != "engine-0" }); ok {
		t.Error("an endpoint is chosen that may not be used")
	}
	r.denied = true
	if _, ok := h.edge.chooseWarmUp(r, true, all); ok {
		t.Error("a cold endpoint is chosen again after a denial")
	}
}

// TestColdFleet answers a zone that has become cold and takes all load, while a tenth of the
// messages is lost, a third of the routers is turned away by the store and then half of them
// can't see the other half. In no second may an endpoint get more than it tolerates.
func TestColdFleet(t *testing.T) {
	for _, size := range []int{8, 72, 295} {
		t.Run(fmt.Sprintf("routers=%d", size), func(t *testing.T) {
			var m *limitModel
			coldFrom := time.Time{}
			listed := func(i int, snapshot bool) Replicas {
				if !snapshot && m.away && i%3 == 0 {
					return Replicas{Unavailable: true}
				}
				ev := Replicas{Snapshot: snapshot, Revision: 10}
				for _, e := range m.engines {
					r := e.replica
					if !coldFrom.IsZero() {
						// Entries are written every 500 ms.
						written := m.now.Sub(coldFrom).Truncate(500 * time.Millisecond)
						r.Cold = max(20*time.Second-written, 0)
						ev.Revision = 11 + int64(written/(500*time.Millisecond))
					}
					ev.Replicas = append(ev.Replicas, r)
				}
				return ev
			}
			m = newLimitModel(t, 61, size, 3, func(n *limitModel) {
				m = n
				n.slowTicks = true
				n.config = withCold(n.config)
				for i := range n.config.Services {
					n.config.Services[i].ColdTime = 20 * time.Second
				}
				n.list = listed
			})
			m.away = true
			m.run(time.Second)
			coldFrom = m.now
			m.lose = func(int, int, any) bool { return m.random.IntN(10) == 0 }
			m.run(2 * time.Second)
			since := m.now
			m.load("advice", "key", 100)
			m.run(5 * time.Second)
			got := 0
			for _, e := range m.engines {
				got += len(e.arrivals)
			}
			if used := float64(got) / (3 * coldRate * m.now.Sub(since).Seconds()); used < 0.4 {
				t.Errorf("only %.2f of the rate was used", used)
			}
			m.cut = func(a, b int) bool { return a%2 != b%2 }
			m.run(5 * time.Second)
			m.cut = nil
			m.run(3 * time.Second)
			for _, e := range m.engines {
				most, start := 0, 0
				for i, a := range e.arrivals {
					for a.at.Sub(e.arrivals[start].at) >= time.Second {
						start++
					}
					most = max(most, i-start+1)
				}
				if float64(most) > coldBound {
					t.Errorf("%s got %d requests in a second; %.2f are allowed", e.replica.Endpoint, most, coldBound)
				}
			}
		})
	}
}
