package sched_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/sched"
)

// TestOddDemand guards against a message of a peer with numbers that no router means: it
// must not crash this one, nor keep it from running its requests.
func TestOddDemand(t *testing.T) {
	flow := func(slots float64) sched.Demand {
		return sched.Demand{
			Flows: []sched.FlowDemand{{Model: "drafts", Rank: 0, Account: "shop", Slots: slots}},
		}
	}
	load := func(n int) sched.Demand {
		return sched.Demand{
			Loads: []sched.EndpointLoad{{Endpoint: "model-0", Requests: n}, {Endpoint: "model-1", Requests: n}},
		}
	}
	many := sched.Demand{}
	for range 100_000 {
		many.Flows = append(many.Flows, sched.FlowDemand{Model: "drafts", Account: "shop", Slots: 1e300})
	}
	for name, d := range map[string]sched.Demand{
		"NaN slots":         flow(math.NaN()),
		"infinite slots":    flow(math.Inf(1)),
		"negative infinity": flow(math.Inf(-1)),
		"negative slots":    flow(-1e9),
		"1e300 slots":       flow(1e300),
		"negative load":     load(math.MinInt),
		"load too large":    load(math.MaxInt),
		"many flows":        many,
		"long names":        {Flows: []sched.FlowDemand{{Model: "drafts", Account: waxwingwall.Account(strings.Repeat("a", 1<<20)), Slots: math.NaN()}}},
	} {
		t.Run(name, func(t *testing.T) {
			self := waxwingwall.Incarnation{VM: "a", Boot: 1}
			odd := waxwingwall.Incarnation{VM: "b", Boot: 1}
			sound := waxwingwall.Incarnation{VM: "c", Boot: 1}
			r := newRig(sched.WithSelf(self))
			r.s.SetPeers(r.now, []waxwingwall.Incarnation{odd, sound})
			for seq := range uint64(20) {
				d.Seq = seq + 1
				r.step(effect.Received{From: odd, Message: d})
				r.step(effect.Received{From: sound, Message: sched.Demand{Seq: seq + 1}})
				r.advance(50 * time.Millisecond)
			}
			for range 2 {
				if v := r.offer("shop", 0); v.Decision == sched.Refused {
					t.Errorf("refused: %v", v.Problem)
				}
			}
			r.advance(50 * time.Millisecond)
			if len(r.dispatches) != 2 {
				t.Errorf("%d of 2 requests were dispatched", len(r.dispatches))
			}
			for _, m := range r.sends {
				for _, f := range m.Message.(sched.Demand).Flows {
					if !(f.Slots >= 0 && f.Slots < 100) {
						t.Fatalf("this router asks for %v slots", f.Slots)
					}
				}
			}
		})
	}
}
