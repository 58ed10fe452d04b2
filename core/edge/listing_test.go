package edge

import (
	"net/netip"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/member"
)

// hear makes the router hear of peers with the given numbers.
func (h *harness) hear(from, to int) {
	for i := from; i < to; i++ {
		peer := peerNumber(i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 1)
		h.step(effect.Received{From: peer, Message: member.Heartbeat{Self: member.Rumour{
			Incarnation: peer,
			Address:     address,
			Callers:     address,
		}}})
	}
}

// peerNumber returns the incarnation of a peer.
func peerNumber(i int) waxwingwall.Incarnation {
	return waxwingwall.Incarnation{VM: waxwingwall.VM('a' + rune(i)), Boot: 1}
}

// listed returns how many routers callers are told of.
func (h *harness) listed() int {
	all, _ := h.edge.Addresses(h.now)
	return len(all)
}

// TestStartedRouterListsNobody answers the load in which callers ask a router that has just started
// and stay with whom it names: it names nobody until it hears half of the routers in the table, or
// the hold is over.
func TestStartedRouterListsNobody(t *testing.T) {
	const hold = 2 * time.Second
	h := newHarness(t)
	h.edge.listHold = hold
	if n := h.listed(); n != 0 {
		t.Errorf("%d listed before the table was read", n)
	}
	for i := range 8 {
		h.edge.nodes.rows[peerNumber(i)] = &node{}
	}
	h.edge.nodes.loaded = true
	h.hear(0, 3)
	if n := h.listed(); n != 0 {
		t.Errorf("%d listed with 3 of 8 heard", n)
	}
	h.hear(3, 4)
	if n := h.listed(); n != 5 {
		t.Errorf("%d listed with 4 of 8 heard, want these and itself", n)
	}
	alone := newHarness(t)
	alone.edge.listHold = hold
	_ = alone.listed()
	alone.now = alone.now.Add(hold)
	if n := alone.listed(); n != 1 {
		t.Errorf("%d listed after the hold", n)
	}
}

// TestFullLinkNotListed answers the load in which one of several equal routers is asked for more
// than its link carries: callers are no longer told of it, until it has room again.
func TestFullLinkNotListed(t *testing.T) {
	h := newHarness(t)
	h.hear(0, 7)
	report := func(full bool) {
		h.step(effect.Received{From: peerNumber(2), Message: Report{LinkFull: full}})
	}
	for _, step := range []struct {
		own  float64
		peer bool
		want int
	}{{0.9, false, 8}, {1.1, false, 7}, {0.8, true, 6}, {0.6, true, 7}, {0.6, false, 8}} {
		h.edge.SetLinkAsked(step.own)
		report(step.peer)
		if n := h.listed(); n != step.want {
			t.Errorf("own link asked for %.1f, peer's full %t: %d listed, want %d", step.own, step.peer, n, step.want)
		}
	}
}
