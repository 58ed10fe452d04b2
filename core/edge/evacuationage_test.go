package edge

import (
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// TestSendByOldEvacuations: only the watch of the operator's table is late. A request that waits
// for its connection is not sent once a failure domain may have to be empty for too long.
func TestSendByOldEvacuations(t *testing.T) {
	h := newDomainHarness(t)
	h.evacuate(10)
	asOf := h.now
	for h.now.Sub(asOf) <= defaultEvacuate {
		h.now = h.now.Add(50 * time.Millisecond)
		h.step(effect.Tick{})
		h.fromPeer(Report{Evacuations: EvacuationState{Revision: 5, Age: 100 * time.Millisecond}})
		_, out := h.arrive(call("order"))
		for _, a := range out {
			if d, ok := a.(Dispatch); ok && d.SendBy.Sub(asOf) > defaultEvacuate-arriveReserve {
				t.Fatalf("dispatched by a set that is %v old, may be sent when it is %v old", h.now.Sub(asOf), d.SendBy.Sub(asOf))
			}
		}
	}
}

// TestSlowLinkEvacuations: a router with a slow link, which nobody ever asked to empty a failure
// domain. What it learns late is dated, so that requests go on as before.
func TestSlowLinkEvacuations(t *testing.T) {
	for name, learn := range map[string]func(h *harness, revision int64){
		"the store answers later than peers report": func(h *harness, revision int64) {
			h.step(Evacuated{Revision: revision, AsOf: h.now.Add(-time.Second)})
		},
		"the store turns it away, peers answer": func(h *harness, _ int64) {
			h.fromPeer(News{
				Asked:       max(h.edge.newsClock()-time.Second, 1),
				Age:         100 * time.Millisecond,
				Evacuations: EvacuationState{Revision: 11, Age: 100 * time.Millisecond},
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDomainHarness(t)
			h.evacuate(10)
			for i := range int64(20) {
				h.advance(500 * time.Millisecond)
				h.reportDials(200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond)
				if h.edge.link.queueDelay(h.now) == 0 {
					t.Fatal("the link is not slow")
				}
				h.fromPeer(Report{Evacuations: EvacuationState{Revision: 20 + i, Age: 100 * time.Millisecond}})
				learn(h, 10+i)
				if _, out := h.arrive(call("order")); !has[Dispatch](out) {
					t.Fatalf("not sent after %d half seconds: %+v", i+1, out)
				}
			}
		})
	}
}

// TestReportedAge: a report confirms the set as of the age that it names and of the time that it may
// have taken, and nothing while the link is slow.
func TestReportedAge(t *testing.T) {
	h := newDomainHarness(t)
	h.evacuate(10)
	h.advance(4 * time.Second)
	confirm := Report{Evacuations: EvacuationState{Revision: 10, Age: time.Second}}
	h.reportDials(200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond)
	h.fromPeer(confirm)
	if age := h.edge.evacuationsAge(); age != 4*time.Second {
		t.Errorf("over a slow link: %v", age)
	}
	h.reportDials(time.Millisecond)
	h.fromPeer(confirm)
	if age := h.edge.evacuationsAge(); age != time.Second+reportTransit {
		t.Errorf("over a clear link: %v", age)
	}
}

// TestEvacuatedIsNotTested: nobody sends requests, so that connections to endpoints are tested:
// while updates from the store are late, while all is well and while a service is cut off. None is
// to a failure domain that is to be empty, and no permit is granted there.
func TestEvacuatedIsNotTested(t *testing.T) {
	for name, each := range map[string]func(h *harness){
		"late updates": func(*harness) {},
		"idle":         (*harness).refresh,
		"cut off": func(h *harness) {
			h.refresh()
			for _, row := range h.edge.endpoints.rows {
				row.tunneled = true
				h.edge.reach.service(row.replica.Service).cut = true
			}
		},
	} {
		h := newDomainHarness(t)
		h.evacuate(20, "west")
		tested := map[waxwingwall.Domain]int{}
		for range 120 {
			each(h)
			for _, a := range h.advance(500 * time.Millisecond) {
				if p, ok := a.(Probe); ok {
					for _, row := range h.edge.endpoints.rows {
						if row.replica.Address == p.Address {
							tested[row.replica.Domain]++
						}
					}
				}
			}
		}
		if tested["west"] > 0 || tested["east"] == 0 {
			t.Errorf("%s: tested %v", name, tested)
		}
		for id, row := range h.edge.endpoints.rows {
			if _, usable, _ := h.edge.lookupEndpoint(id); usable != (row.replica.Domain == "east") {
				t.Errorf("%s: permits for %s: %v", name, id, usable)
			}
		}
	}
}
