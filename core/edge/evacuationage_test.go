package edge

import (
	"testing"
	"time"

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
