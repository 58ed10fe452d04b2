package edge

import (
	"testing"
	"time"

	"waxwingwall"
)

// TestBudgetWaitEnds guards against a request that is left without an answer because no
// share of its budget ever comes: the store does not answer, and there is no peer.
func TestBudgetWaitEnds(t *testing.T) {
	h := newHarness(t)
	c := testConfiguration(2)
	c.Accounts[0].Metered = true
	c.Accounts[0].Prepaid = 1_000_000
	h.step(Configured{
		Configuration: c,
	})
	_, out := h.arrive(call("advice"))
	if has[Dispatch](out) || has[Refuse](out) {
		t.Fatalf("not waiting: %+v", out)
	}
	out = h.advance(5*time.Second + overdueTime)
	if p := only[Refuse](h, out).Problem; p.Outcome != waxwingwall.NotRun {
		t.Fatalf("%+v", p)
	}
}
