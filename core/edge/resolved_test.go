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
	h, held := newPermitHarness(t)
	for _, tokens := range []waxwingwall.Tokens{60_000, 4_000, 2_000} {
		h.ask("quote", tokens)
	}
	h.edge.book.Settle(h.now, "shop", held, 0)
	ends := refusals(h.step(effect.Tick{}))
	if want := map[uint64]int{2: 1, 3: 1, 5: 1}; !maps.Equal(ends, want) {
		t.Errorf("refusals of each request: %v, want %v", ends, want)
	}
}

// TestStopResolves guards against a router that panics during its stop: the refusal of a
// request that waits for a permit frees the tokens for one that is refused as well.
func TestStopResolves(t *testing.T) {
	h, _ := newPermitHarness(t)
	h.step(Replicas{
		Snapshot: true,
		Replicas: ledgers(1),
		Revision: 30,
	})
	h.ask("advice", 60_000)
	h.edge.refuseWaiting()
	for id, n := range refusals(h.step(effect.Tick{})) {
		if n != 1 {
			t.Errorf("request %d was refused %d times", id, n)
		}
	}
	if n := len(h.edge.requests); n != 1 {
		t.Errorf("%d requests are left, want the one in flight", n)
	}
}

// TestEndedRequestLeavesQueue guards against a request that is dispatched or ended again while
// it ends: its tokens let another go on, which displaces it from the queue for permits.
func TestEndedRequestLeavesQueue(t *testing.T) {
	h, _ := newPermitHarness(t)
	h.ask("quote", 60_000)
	r := h.edge.requests[2]
	h.edge.fail(r, DeadlineExceeded)
	if ends := refusals(h.step(effect.Tick{})); ends[r.id] != 1 {
		t.Errorf("refused %d times", ends[r.id])
	}
}

// refusals counts the refusals of each request.
func refusals(actions []effect.Action) map[uint64]int {
	count := map[uint64]int{}
	for _, a := range actions {
		if refuse, ok := a.(Refuse); ok {
			count[refuse.Request]++
		}
	}
	return count
}

// ask sends a request that costs a number of tokens or a little more.
func (h *harness) ask(route string, tokens waxwingwall.Tokens) []effect.Action {
	asked := call(route)
	asked.Prompt = tokens
	_, out := h.arrive(asked)
	return out
}

// newPermitHarness returns a harness with a request of a low rank, number 2, that has 80,000
// tokens and waits for a permit of the only ledger, and one in flight elsewhere. The tokens
// that are left are held; it returns their number.
func newPermitHarness(t *testing.T) (*harness, waxwingwall.Tokens) {
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
	h.step(written(h.draw(c.Accounts[0])))
	h.advance(100 * time.Millisecond)
	h.step(written(only[effect.Transact](h, h.ask("order", 80_000))))
	if _, waiting := h.edge.limits.Held("ledger"); waiting != 1 {
		h.t.Fatalf("%d asks wait for a permit", waiting)
	}
	held := h.edge.book.Balance("shop").Free
	h.edge.book.Reserve(h.now, "shop", held)
	return h, held
}
