package edge

import (
	"fmt"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/brittle"
	"waxwingwall/core/effect"
)

// TestWarmUpFleet: the operator empties a failure domain while another has become cold. Its cold
// endpoints get none, those elsewhere get requests that have time though a warm endpoint is there,
// and in no second more than they tolerate; no request waits beyond its objective. Once the domain
// is taken back with endpoints that are cold again, they get no more than that either.
func TestWarmUpFleet(t *testing.T) {
	domains := [...]waxwingwall.Domain{"east", "west", "north"}
	for _, size := range []int{8, 72} {
		t.Run(fmt.Sprintf("routers=%d", size), func(t *testing.T) {
			var m *limitModel
			var evacuated []waxwingwall.Domain
			var coldUntil [3]time.Time
			sent := map[waxwingwall.Domain][]time.Time{}
			refused := 0
			m = newLimitModel(t, 71, size, 6, func(n *limitModel) {
				m = n
				n.slowTicks = true
				n.config = withCold(n.config)
				for i := range n.config.Services {
					n.config.Services[i].ColdTime = 20 * time.Second
				}
				n.list = func(i int, snapshot bool) Replicas {
					revision := 10 + int64(m.now.UnixMilli()%(1<<30))
					m.feed(i, Evacuated{Domains: evacuated, Revision: revision})
					ev := Replicas{Snapshot: snapshot, Revision: revision}
					for j, e := range m.engines {
						r := e.replica
						r.Domain, r.Born = domains[j%3], 1
						r.Cold = max(coldUntil[j%3].Sub(m.now).Truncate(500*time.Millisecond), 0)
						ev.Replicas = append(ev.Replicas, r)
					}
					return ev
				}
				n.perform = func(_, _ int, a effect.Action) bool {
					switch a := a.(type) {
					case Dispatch:
						for j, e := range n.engines {
							if e.replica.Address == a.Address {
								sent[domains[j%3]] = append(sent[domains[j%3]], n.now)
							}
						}
					case Refuse:
						refused++
					}
					return false
				}
			})
			m.run(time.Second)
			m.load("advice", "key", 60)
			m.run(2 * time.Second)
			coldUntil[0], coldUntil[1] = m.now.Add(15*time.Second), m.now.Add(15*time.Second)
			evacuated = []waxwingwall.Domain{"west"}
			m.run(2 * time.Second)
			coldFrom := m.now
			from := m.now
			m.run(5 * time.Second)
			count := func(d waxwingwall.Domain) (k int) {
				for _, at := range sent[d] {
					if at.After(from) {
						k++
					}
				}
				return k
			}
			t.Logf("in 5 s, evacuated and cold %d, cold %d, warm %d; %d refused", count("west"), count("east"), count("north"), refused)
			if count("west") > 0 {
				t.Errorf("%d requests to the domain that is to be empty", count("west"))
			}
			if share := float64(count("east")) / (2 * coldRate * 5); share < 0.4 {
				t.Errorf("only %.2f of what cold endpoints tolerate warms them up", share)
			}
			if refused > 0 {
				t.Errorf("%d refused though warm endpoints are there", refused)
			}
			evacuated = nil
			coldUntil[1] = m.now.Add(15 * time.Second)
			from = m.now
			m.run(12 * time.Second)
			t.Logf("in 12 s after it was taken back %d to it", count("west"))
			for j, e := range m.engines {
				if domains[j%3] == "north" {
					continue
				}
				most, start := 0, 0
				var cold []time.Time
				for _, a := range e.arrivals {
					if a.at.After(coldFrom) && a.at.Before(coldUntil[j%3]) {
						cold = append(cold, a.at)
					}
				}
				for i, at := range cold {
					for at.Sub(cold[start]) >= time.Second {
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

// TestReturnEndsWait: requests wait for the permits of cold endpoints, as all others are in a
// failure domain that is to be empty. They go to these once it is taken back.
func TestReturnEndsWait(t *testing.T) {
	h := newColdHarness(t)
	all := engines(4)
	for i := range all {
		all[i].Born, all[i].Domain, all[i].Cold = 1, "east", 3*time.Second
	}
	all[3].Domain, all[3].Cold = "west", 0
	h.step(Replicas{Replicas: all, Revision: h.edge.endpoints.revision + 1})
	h.evacuate(20, "west")
	h.advance(500 * time.Millisecond)
	for range 16 {
		h.arrive(short())
	}
	waiting := len(h.edge.permits)
	if waiting == 0 {
		t.Fatal("no request waits")
	}
	sent := 0
	for _, a := range append(h.evacuate(21), h.advance(50*time.Millisecond)...) {
		if d, ok := a.(Dispatch); ok && d.Address == all[3].Address {
			sent++
		}
	}
	if sent == 0 || len(h.edge.permits) != 0 {
		t.Errorf("%d of %d are sent to the domain that is back, %d wait", sent, waiting, len(h.edge.permits))
	}
}

// TestSlotOfColdEndpoint: an endpoint becomes cold while a request waits for its slot. The request
// is not sent there without a permit.
func TestSlotOfColdEndpoint(t *testing.T) {
	h := newColdHarness(t)
	r := &request{
		id:       99,
		call:     short(),
		route:    h.edge.config.route("a.example", "/advice/x"),
		service:  "model",
		arrived:  h.now,
		deadline: h.now.Add(time.Second),
		tried:    map[waxwingwall.Endpoint]bool{},
		slot: slot{
			id:    7,
			asked: true,
		},
	}
	h.edge.requests[r.id], h.edge.slotAsks[7] = r, r
	h.list(0, 3*time.Second, 0)
	h.edge.handleSlotGranted(brittle.Granted{ID: 7, Endpoint: "engine-0"})
	d := only[Dispatch](h, h.step(effect.Tick{}))
	if d.Params.Endpoint == "engine-0" {
		t.Error("sent to the cold endpoint")
	}
}
