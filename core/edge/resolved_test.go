package edge

import (
	"maps"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/limit"
)

// TestResolvedWithinResolved guards against a request that is dispatched or ended twice: as
// requests that waited for tokens go on, one of them displaces another from the queue for
// permits, whose tokens then let the rest go on.
func TestResolvedWithinResolved(t *testing.T) {
	h := newHarness(t)
	h.register()
	c := testConfiguration(2)
	c.Accounts[0].Metered = true
	c.Accounts[0].Prepaid = 105_100
	for i := range c.Routes {
		c.Routes[i].Objective = 1500 * time.Millisecond
	}
	c.Routes[2].Rank = 2
	h.step(Configured{
		Configuration: c,
	})
	one := ledgers(1)
	h.step(Replicas{
		Snapshot: true,
		Replicas: append(engines(4), one...),
		Revision: 20,
	})
	h.edge.limits.Observe(h.now, limit.Observation{
		Endpoint: one[0].Endpoint,
		Pool:     "ledger",
		Born:     one[0].Born,
		Limit: waxwingwall.RateLimit{
			Named: true,
			Rate:  1,
		},
	})
	ask := func(route string, tokens waxwingwall.Tokens) []effect.Action {
		asked := call(route)
		asked.Prompt = tokens
		_, out := h.arrive(asked)
		return out
	}
	h.step(written(h.draw(c.Accounts[0])))
	h.advance(100 * time.Millisecond)
	h.step(written(only[effect.Transact](h, ask("order", 80_000))))
	if _, waiting := h.edge.limits.Held("ledger"); waiting != 1 {
		t.Fatalf("%d asks wait for a permit", waiting)
	}
	held := h.edge.book.Balance("shop").Free
	h.edge.book.Reserve(h.now, "shop", held)
	for _, tokens := range []waxwingwall.Tokens{60_000, 4_000, 2_000} {
		ask("quote", tokens)
	}
	h.edge.book.Settle(h.now, "shop", held, 0)
	ends := map[uint64]int{}
	for _, a := range h.step(effect.Tick{}) {
		if refuse, ok := a.(Refuse); ok {
			ends[refuse.Request]++
		}
	}
	if want := map[uint64]int{2: 1, 3: 1, 5: 1}; !maps.Equal(ends, want) {
		t.Errorf("refusals of each request: %v, want %v", ends, want)
	}
}
