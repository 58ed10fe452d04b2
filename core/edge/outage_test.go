package edge

import (
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/escrow"
)

// TestOutageLeft guards against callers of whom the only other try falls into the same outage:
// with cuts of the store of 8 and 9 s, seconds apart, from the second on none comes back
// before the end.
func TestOutageLeft(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var o outages
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	if left := o.left(at(0)); left != minOutageLeft {
		t.Errorf("no outage: %s", left)
	}
	o.observe(at(0.1), true)
	o.observe(at(0.6), false) // a single call
	for _, cut := range []struct {
		from, to float64

		// left is what is left at a time, in seconds.
		left map[float64]float64
	}{
		{6, 15, map[float64]float64{6.5: 2, 11: 5}},  // as long again
		{20, 28, map[float64]float64{20: 9, 22: 7}},  // as the one before
		{40, 52, map[float64]float64{41: 8, 51: 10}}, // longer than those before
		{60, 61, map[float64]float64{60.5: 10}},      // at most so long
	} {
		o.observe(at(cut.from), true)
		for s, want := range cut.left {
			if left := o.left(at(s)); left.Seconds() != want {
				t.Errorf("%v s after the start at %v: %s left, want %v s", s-cut.from, cut.from, left, want)
			}
		}
		o.observe(at(cut.to), false)
	}
}

// TestOutageRanks checks that callers refused in an outage come back spread out, the most
// urgent rank first.
func TestOutageRanks(t *testing.T) {
	h := newHarness(t)
	h.edge.endpoints.storeUnavailable = true
	h.advance(3 * time.Second)
	left := h.edge.outages.left(h.now)
	var before time.Duration
	for rank := range 3 {
		var first, last time.Duration
		for range 50 {
			d := h.edge.outageRetryAfter(waxwingwall.Rank(rank))
			if first == 0 || d < first {
				first = d
			}
			last = max(last, d)
		}
		if first < left || first < before || last-first < outageRankStep/2 || last-first > outageRankStep {
			t.Errorf("rank %d: from %s to %s, %s are left, the rank before until %s", rank, first, last, left, before)
		}
		before = last
	}
}

// TestRetryAfterBesideLine guards against callers that are told to stay away until the line of a share
// allows their request, though the store is expected back long before.
func TestRetryAfterBesideLine(t *testing.T) {
	h := newHarness(t)
	for _, c := range []struct {
		line, want time.Duration
	}{
		{500 * time.Millisecond, 500 * time.Millisecond},
		{15 * time.Second, minOutageLeft},
	} {
		p := h.edge.outOfReachProblem(&request{}, escrow.Verdict{
			Kind:       escrow.OutOfReach,
			Reason:     escrow.ReasonMarked,
			RetryAfter: c.line,
		})
		if p.RetryAfter < c.want || p.RetryAfter > c.want+outageRankStep {
			t.Errorf("a line that allows it after %s: Retry-After %s, want %s", c.line, p.RetryAfter, c.want)
		}
	}
}
