package intake_test

import (
	"fmt"
	"time"

	"waxwingwall/core/intake"
)

// A link of 1 Mbit/s passes on 106 bytes in a ms.
func Example() {
	link := intake.New(1)
	now := time.Unix(0, 0)
	for range 3 {
		retryAfter, ok := link.Accept(now, 15_000)
		fmt.Println(ok, retryAfter.Round(time.Millisecond))
	}
	_, ok := link.Accept(now.Add(time.Second), 15_000)
	fmt.Println(ok)
	// Output:
	// true 0s
	// false 152ms
	// false 305ms
	// true
}
