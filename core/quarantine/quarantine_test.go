package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The crashes that two routers counted add up to the limit at the router that
// received all notices.
func Example() {
	a := waxwingwall.Incarnation{VM: "a"}
	b := waxwingwall.Incarnation{VM: "b"}
	var ta, tb quarantine.Table
	n, _ := ta.RecordCrash(start, a, 77, "model-0")
	tb.Merge(start, n)
	n, _ = ta.RecordCrash(start.Add(time.Second), a, 77, "model-1")
	tb.Merge(start, n)
	tb.RecordCrash(start.Add(2*time.Second), b, 77, "model-2")
	fmt.Println(tb.Crashes(start, 77), tb.Blocked(start, 77), ta.Blocked(start, 77))
	// Output: 3 true false
}

// A table never counts more crashes than occurred, even if notices are lost,
// duplicated or reordered; after all notices it counts every crash.
func TestNotices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := make([]quarantine.Table, 3)
		var notices []quarantine.Notice
		crashes := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 20).Draw(t, "crashes")
		for i, r := range crashes {
			self := waxwingwall.Incarnation{VM: waxwingwall.VM(fmt.Sprint(r))}
			now := start.Add(time.Duration(i) * time.Second)
			n, _ := routers[r].RecordCrash(now, self, 5, "model-0")
			notices = append(notices, n)
		}
		var peer quarantine.Table
		order := rapid.SliceOf(rapid.IntRange(0, len(notices)-1)).Draw(t, "order")
		for _, i := range order {
			peer.Merge(start, notices[i])
			if got := peer.Crashes(start, 5); got > len(crashes) {
				t.Fatalf("counted %d crashes, want at most %d", got, len(crashes))
			}
		}
		for _, n := range notices {
			peer.Merge(start, n)
		}
		if got := peer.Crashes(start, 5); got != len(crashes) {
			t.Fatalf("counted %d crashes, want %d", got, len(crashes))
		}
	})
}
