package intake_test

import (
	"fmt"
	"time"

	"waxwingwall/core/intake"
)

// A link of 1 Mbit/s passes on 106 bytes in a ms.
func Example() {
	link := intake.New(1, 0)
	now := time.Unix(0, 0)
	for range 3 {
		v := link.Accept(now, intake.Request{Body: 15_000})
		fmt.Println(v.Accepted(), v.RetryAfter.Round(time.Millisecond))
	}
	v := link.Accept(now.Add(time.Second), intake.Request{Body: 15_000})
	fmt.Println(v.Accepted())
	// Output:
	// true 0s
	// false 152ms
	// false 305ms
	// true
}
