package sched_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/sched"
)

// BenchmarkOffer measures an offer and its dispatch by the number of peers and
// of accounts in the demand of each peer.
func BenchmarkOffer(b *testing.B) {
	for _, size := range []struct{ peers, flows int }{{7, 10}, {7, 100}, {340, 10}, {340, 100}} {
		b.Run(fmt.Sprintf("peers=%d/flows=%d", size.peers, size.flows), func(b *testing.B) {
			r := newRigWithPeerDemand(size.peers, size.flows)
			for b.Loop() {
				r.offer("shop", 0)
				r.finish(r.last(), sched.None)
				r.dispatches = r.dispatches[:0]
				r.sends = r.sends[:0]
			}
		})
	}
}

// newRigWithPeerDemand returns a rig that has received the demand of its peers.
func newRigWithPeerDemand(peers, flows int) *rig {
	r := newRig(sched.WithSelf(waxwingwall.Incarnation{VM: "self", Boot: 1}))
	r.s.SetEndpoints(r.now, endpoints(600))
	var incs []waxwingwall.Incarnation
	for i := range peers {
		incs = append(incs, waxwingwall.Incarnation{
			VM:   waxwingwall.VM(fmt.Sprint("vm-", i)),
			Boot: 1,
		})
	}
	r.s.SetPeers(r.now, incs)
	for i, inc := range incs {
		var d sched.Demand
		d.Seq = 1
		for k := range flows {
			d.Flows = append(d.Flows, sched.FlowDemand{
				Model:   "drafts",
				Rank:    2,
				Account: waxwingwall.Account(fmt.Sprint("account-", i*3+k)),
				Slots:   1,
			})
		}
		r.step(effect.Received{
			From:    inc,
			Message: d,
		})
	}
	r.now = r.now.Add(time.Millisecond)
	return r
}
