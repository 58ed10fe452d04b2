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
