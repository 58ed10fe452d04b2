package edge

import (
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// TestRoomBesideEvacuated: a failure domain is evacuated while its endpoints still run requests, of
// this router and of a peer. These take no room at the others, which are idle.
func TestRoomBesideEvacuated(t *testing.T) {
	for name, peer := range map[string]bool{"own": false, "a peer's": true} {
		t.Run(name, func(t *testing.T) {
			h := newDomainHarness(t)
			_, out := h.arrive(call("quote"))
			d := only[Dispatch](h, out)
			h.advance(50 * time.Millisecond)
			h.endAttempt(d, AttemptEnded{Result: Complete})
			rows := h.edge.endpoints.byService["ledger"]
			const each = 12
			var loads []EndpointLoad
			for _, row := range rows {
				if row.replica.Domain != "west" {
					continue
				}
				if !peer {
					row.running = each
				}
				loads = append(loads, EndpointLoad{Endpoint: row.replica.Endpoint, Running: each})
			}
			h.evacuate(20, "west")
			if peer {
				h.fromPeer(Report{Version: 2, Loads: loads, Evacuations: h.edge.evacuationState()})
			}
			h.step(effect.Tick{})
			est := h.edge.estimateRoom("ledger")
			if len(loads) == 0 || est.endpoints != len(rows)-len(loads) || est.slots != each*est.endpoints {
				t.Fatalf("%d endpoints with %d slots", est.endpoints, est.slots)
			}
			report, reported := h.edge.gossip.rooms[waxwingwall.Incarnation{VM: "vm-2", Boot: 1}]
			if reported != peer || report.running["ledger"] != 0 || est.running != 0 || est.Requests <= 0 {
				t.Errorf("room for %d, running %d, a peer reports (%t) %v", est.Requests, est.running, reported, report.running)
			}
		})
	}
}

// TestMemoryBesideCold: the memory of all warm engines is taken when a cold one, which is idle, has a
// permit left. A request goes there.
func TestMemoryBesideCold(t *testing.T) {
	h := newColdHarness(t)
	_, out := h.arrive(call("draft"))
	d := only[Dispatch](h, out)
	h.advance(50 * time.Millisecond)
	h.endAttempt(d, AttemptEnded{Result: Complete})
	h.list(0, coldTime, 5)
	h.advance(time.Second)
	cold := engines(1)[0].Endpoint
	if !h.edge.limits.Limited(cold) || !h.edge.limits.MayAsk(h.now, "model") {
		t.Fatal("no permit may be had")
	}
	for _, row := range h.edge.endpoints.byService["model"] {
		if row.replica.Endpoint != cold {
			row.memory = 400_000
		}
	}
	_, out = h.arrive(call("draft"))
	if d := only[Dispatch](h, out); d.Params.Endpoint != cold {
		t.Errorf("sent to %s", d.Params.Endpoint)
	}
}
