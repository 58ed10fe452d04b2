package quarantine_test

import (
	"fmt"
	"time"

	"waxwingwall"
	"waxwingwall/core/quarantine"
)

// Requests with part 13 crash each engine; part 7 is in all prompts.
func ExampleParts() {
	var parts quarantine.Parts
	now := time.Unix(0, 0)
	for _, engine := range []waxwingwall.Endpoint{"a", "b", "c", "d"} {
		now = now.Add(time.Second)
		parts.Record(now, quarantine.Crash{Endpoint: engine}, []uint64{7, 13})
	}
	parts.Clear(now, now, []uint64{7})
	_, blocked := parts.Blocked([]uint64{7, 13})
	fmt.Println(blocked)
	_, blocked = parts.Blocked([]uint64{7, 20})
	fmt.Println(blocked)
	// Output:
	// true
	// false
}
