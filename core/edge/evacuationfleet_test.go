package edge

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// evacuationFleet is a fleet of which the operator empties a failure domain.
type evacuationFleet struct {
	*limitModel

	// away are the routers that the store turns away, revision is that of the store and
	// domains what the operator wants to be empty.
	away     map[int]bool
	revision int64
	domains  []waxwingwall.Domain

	// sent are the times of attempts in the domain west, and elsewhere those of the last one in
	// another by router.
	sent      []time.Time
	elsewhere map[int]time.Time
}

// newEvacuationFleet returns a fleet under load.
func newEvacuationFleet(t *testing.T, routers int) *evacuationFleet {
	m := &evacuationFleet{
		away:      map[int]bool{},
		revision:  10,
		elsewhere: map[int]time.Time{},
	}
	m.limitModel = newLimitModel(t, 1, routers, 8, func(l *limitModel) {
		l.storeCut = func(i int) bool { return m.away[i] }
		l.list = func(i int, snapshot bool) Replicas {
			if l.away || m.away[i] {
				return Replicas{Unavailable: true}
			}
			l.feed(i, Evacuated{Domains: m.domains, Revision: m.revision})
			if !snapshot {
				return Replicas{Revision: m.revision}
			}
			return Replicas{Snapshot: true, Replicas: inDomains(engines(8)), Revision: m.revision}
		}
		l.perform = func(i, _ int, a effect.Action) bool {
			d, ok := a.(Dispatch)
			if !ok {
				return false
			}
			if l.byAddr[d.Address].replica.Address.Addr().As4()[3]%2 == 1 {
				m.sent = append(m.sent, l.now)
			} else {
				m.elsewhere[i] = l.now
			}
			return false
		}
	})
	m.arriveEverywhere()
	m.run(2 * time.Second)
	return m
}

// arriveEverywhere makes requests without shared prompts arrive at all routers.
func (m *evacuationFleet) arriveEverywhere() {
	for i, r := range m.routers {
		if !r.down {
			m.next++
			c := call("advice")
			c.ID = fmt.Sprintf("c%d", m.next)
			c.Prompt, c.Parts = 10, nil
			m.feed(i, Arrived{Request: m.next, Call: c})
		}
	}
	m.after(100*time.Millisecond, m.arriveEverywhere)
}

// evacuate makes the operator change what is to be empty.
func (m *evacuationFleet) evacuate(domains ...waxwingwall.Domain) {
	m.revision++
	m.domains = domains
}

// TestEvacuationInFleet guards against requests to a failure domain later than the bound after
// the operator's request, beside one other failure each, and against one that is taken back
// unused though the only other one is to be empty.
func TestEvacuationInFleet(t *testing.T) {
	const usual, large = 9, 72
	turnThirdAway := func(m *evacuationFleet) {
		for i := range len(m.routers) / 3 {
			m.away[3*i] = true
		}
	}
	restartAll := func(m *evacuationFleet) {
		for i := range m.routers {
			m.restart(i, 500*time.Millisecond)
		}
	}
	for name, c := range map[string]struct {
		before, after func(m *evacuationFleet)
		routers       int
	}{
		"calm":               {},
		"a router is killed": {after: func(m *evacuationFleet) { m.restart(3, 3*time.Second) }},
		"routers are cut from each other": {before: func(m *evacuationFleet) {
			m.cut = func(a, b int) bool { return a%2 != b%2 }
		}},
		"the store turns a third away":                  {before: turnThirdAway},
		"the store turns a third of a large fleet away": {before: turnThirdAway, routers: large},
		"a router that is turned away restarts": {before: func(m *evacuationFleet) { m.away[2] = true }, after: func(m *evacuationFleet) {
			m.after(2*time.Second, func() { m.restart(2, time.Second) })
		}},
		"all restart": {after: restartAll},
		"all restart later": {after: func(m *evacuationFleet) {
			m.after(4*time.Second, func() { restartAll(m) })
		}},
		"the store is away afterwards": {after: func(m *evacuationFleet) {
			m.after(time.Second, func() { m.limitModel.away = true })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			routers := cmp.Or(c.routers, usual)
			m := newEvacuationFleet(t, routers)
			if n := len(m.sent); n < routers*5 || m.now.Sub(m.sent[n-1]) > 200*time.Millisecond {
				t.Fatalf("%d requests were sent to the domain before", n)
			}
			if c.before != nil {
				c.before(m)
				m.run(time.Second)
			}
			m.evacuate("west")
			acknowledged := m.now
			if c.after != nil {
				c.after(m)
			}
			m.run(12 * time.Second)
			last := m.sent[len(m.sent)-1].Sub(acknowledged)
			t.Logf("last attempt after %v", last)
			if last > defaultEvacuate-sendReserve {
				t.Errorf("an attempt %v after the operator's request", last)
			}
			for i := range m.routers {
				if d := m.now.Sub(m.elsewhere[i]); d > time.Second {
					t.Errorf("router %d has sent nothing elsewhere for %v", i, d)
				}
			}
			m.limitModel.away = false
			m.evacuate("east")
			m.run(8 * time.Second)
			for i, at := range m.elsewhere {
				if last := m.now.Sub(at); last < 3*time.Second {
					t.Errorf("router %d sent to the next domain to be empty %v before the end", i, last)
				}
			}
			if last := m.now.Sub(m.sent[len(m.sent)-1]); last > time.Second {
				t.Errorf("nothing was sent to the domain for %v after it was taken back", last)
			}
		})
	}
}
