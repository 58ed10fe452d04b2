package edge

import (
	"fmt"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// These benchmarks play whole fleets without a network and measure what one router costs.

const (
	// fleetRate is the number of requests a second at each router.
	fleetRate = 3.3

	// fleetAccounts and fleetEngines are the accounts and endpoints of the largest fleet.
	fleetAccounts = 40
	fleetEngines  = 160
	largestFleet  = 295

	// fleetPrepaid is what each account may use: enough for all requests.
	fleetPrepaid = 1 << 40
)

// newFleet returns running routers with endpoints in proportion and many accounts.
func newFleet(t testing.TB, routers int) *limitModel {
	return newLimitModel(t, 1, routers, max(fleetEngines*routers/largestFleet, 4), func(m *limitModel) {
		for i := range fleetAccounts {
			name := fmt.Sprintf("account-%d", i)
			m.config.Accounts = append(m.config.Accounts, waxwingwall.ClientAccount{
				Name:    waxwingwall.Account(name),
				Keys:    []string{name},
				Metered: true,
				Prepaid: fleetPrepaid,
			})
		}
	})
}

// loadAccounts makes requests of all accounts arrive.
func (m *limitModel) loadAccounts() {
	for i := range fleetAccounts {
		m.load("advice", fmt.Sprintf("account-%d", i), fleetRate*float64(len(m.routers))/fleetAccounts)
	}
}

// fleetCost is what the routers of a fleet did.
type fleetCost struct {
	messages map[string]int
	writes   int
	logs     int
}

// measure counts what the routers do from now on.
func (m *limitModel) measure() *fleetCost {
	c := &fleetCost{
		messages: map[string]int{},
	}
	m.perform = func(_, _ int, a effect.Action) bool {
		switch a := a.(type) {
		case effect.Send:
			c.messages[fmt.Sprintf("%T", a.Message)]++
		case effect.Transact:
			c.writes++
		case LogEntry:
			c.logs++
		}
		return false
	}
	return c
}

// BenchmarkFleet measures the time of the decision logic, messages, writes to the store
// and log lines of a router in one second: at rest, under traffic, and while a sixth of
// the routers restart.
func BenchmarkFleet(b *testing.B) {
	phases := []struct {
		name  string
		begin func(m *limitModel)
	}{
		{
			name:  "rest",
			begin: func(*limitModel) {},
		},
		{
			name:  "traffic",
			begin: (*limitModel).loadAccounts,
		},
		{
			name: "restarts",
			begin: func(m *limitModel) {
				m.loadAccounts()
				for i := 0; i < len(m.routers); i += 6 {
					m.restart(i, 2800*time.Millisecond)
				}
			},
		},
	}
	for _, routers := range []int{8, 72, largestFleet} {
		for _, phase := range phases {
			b.Run(fmt.Sprintf("routers=%d/%s", routers, phase.name), func(b *testing.B) {
				m := newFleet(b, routers)
				m.run(2 * time.Second)
				phase.begin(m)
				c := m.measure()
				b.ResetTimer()
				const length = 5 * time.Second
				for b.Loop() {
					m.run(length)
				}
				seconds := float64(b.N) * length.Seconds() * float64(routers)
				b.ReportMetric(float64(b.Elapsed().Milliseconds())/seconds, "ms/router-s")
				sum := 0
				for name, n := range c.messages {
					b.Logf("%s: %.2f a second", name, float64(n)/seconds)
					sum += n
				}
				b.ReportMetric(float64(sum)/seconds, "messages/router-s")
				b.ReportMetric(float64(c.writes)/seconds, "writes/router-s")
				b.ReportMetric(float64(c.logs)/seconds, "logs/router-s")
			})
		}
	}
}

// TestSteadyPeers: a large fleet at rest, where each message to another router costs a
// connection. A router sends its reports to the same few peers, each in turn, so that it
// needs few connections.
func TestSteadyPeers(t *testing.T) {
	for routers, most := range map[int]int{9: 8, 15: 16, 72: reportFanout} {
		t.Run(fmt.Sprintf("routers=%d", routers), func(t *testing.T) {
			checkSteadyPeers(t, routers, most)
		})
	}
}

// checkSteadyPeers checks that each router reports to at most most peers, and that each
// gets reports.
func checkSteadyPeers(t *testing.T, routers, most int) {
	t.Helper()
	m := newFleet(t, routers)
	m.run(2 * time.Second)
	reached := make([]map[waxwingwall.VM]bool, len(m.routers))
	for i := range reached {
		reached[i] = map[waxwingwall.VM]bool{}
	}
	m.perform = func(i, _ int, a effect.Action) bool {
		if send, ok := a.(effect.Send); ok {
			if _, report := send.Message.(Report); report {
				reached[i][send.To.VM] = true
			}
		}
		return false
	}
	m.loadAccounts()
	m.run(4 * time.Second)
	reportsTo := map[waxwingwall.VM]int{}
	for i := range reached {
		if len(reached[i]) > most {
			t.Errorf("router %d sent reports to %d peers", i, len(reached[i]))
		}
		for vm := range reached[i] {
			reportsTo[vm]++
		}
	}
	if len(reportsTo) != len(m.routers) {
		t.Errorf("%d of %d routers get reports", len(reportsTo), len(m.routers))
	}
}

// TestWritesOfLiveRouters: some routers of a large fleet are dead for long, and all others
// show in the store that they live. Each write there is read by all routers, so the writes
// of the whole fleet are bounded.
func TestWritesOfLiveRouters(t *testing.T) {
	m := newFleet(t, 72)
	m.run(2 * time.Second)
	for i := range 6 {
		m.routers[10*i].down = true
	}
	m.run(8 * time.Second)
	c := m.measure()
	const length = 6 * time.Second
	m.run(length)
	if limit := length.Seconds() / touchPerRouter.Seconds(); float64(c.writes) > limit {
		t.Errorf("%d writes in %v; allowed %.0f", c.writes, length, limit)
	}
	if c.writes < 20 {
		t.Errorf("only %d writes in %v", c.writes, length)
	}
}

// TestHerdOfRestarts: a sixth of a large fleet restarts at once. All routers know of all
// new incarnations soon after.
func TestHerdOfRestarts(t *testing.T) {
	m := newFleet(t, largestFleet)
	m.run(2 * time.Second)
	for i := 0; i < len(m.routers); i += 6 {
		m.restart(i, 2800*time.Millisecond)
	}
	m.run(2800 * time.Millisecond)
	const bound = 3 * time.Second
	m.run(bound)
	for i, r := range m.routers {
		old := 0
		for _, p := range r.edge.view.Peers(m.now) {
			var n int
			if _, err := fmt.Sscanf(string(p.Incarnation.VM), "vm-%d", &n); err != nil {
				t.Fatal(err)
			}
			if p.Incarnation != m.incarnation(n) || !p.Alive {
				old++
			}
		}
		if old > 0 {
			t.Errorf("router %d does not know %d new incarnations %v after their start", i, old, bound)
		}
	}
}

// TestRecentAddresses: the list for callers is asked for in each tick. It follows a change of
// a peer or a stop at once, and a change of load soon.
func TestRecentAddresses(t *testing.T) {
	m := newFleet(t, 20)
	m.run(3 * time.Second)
	e := m.routers[0].edge
	length := func() int {
		all, _ := e.RecentAddresses(m.now)
		return len(all)
	}
	if n := length(); n != 20 {
		t.Fatalf("%d of 20 are listed", n)
	}
	for i := range uint64(100) {
		m.feed(0, Arrived{Request: 1<<40 + i, Call: prompt(i, 1000+i)})
	}
	m.run(listInterval)
	if n := length(); n != 19 {
		t.Errorf("%d are listed, with the busy router", n)
	}
	m.feed(1, effect.Tick{})
	for _, a := range m.routers[1].edge.Drain(m.now) {
		if send, ok := a.(effect.Send); ok {
			m.deliver(1, send)
		}
	}
	m.run(2 * time.Second)
	if n := length(); n >= 20 {
		t.Errorf("%d are listed, with the one that stops", n)
	}
	e.Drain(m.now)
	all, _ := e.RecentAddresses(m.now)
	for _, a := range all {
		if a == e.info.Callers {
			t.Error("the router lists itself in its stop")
		}
	}
}
