package retry_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"waxwingwall/core/retry"
)

func Example() {
	b := retry.Budget{
		Reserve: 2,
	}
	fmt.Println(b.Take(), b.Take(), b.Take())
	for range 10 {
		b.RecordFirstAttempt()
	}
	fmt.Println(b.Take())
	// Output:
	// true true false
	// true
}

// Retries never exceed the reserve plus the ratio times the first attempts.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.Budget{
			Ratio:   rapid.Float64Range(0.01, 0.5).Draw(t, "ratio"),
			Reserve: rapid.Float64Range(1, 20).Draw(t, "reserve"),
		}
		first, taken := 0, 0
		for _, isFirst := range rapid.SliceOf(rapid.Bool()).Draw(t, "tries") {
			if isFirst {
				b.RecordFirstAttempt()
				first++
			} else if b.Take() {
				taken++
			}
			if float64(taken) > b.Reserve+b.Ratio*float64(first)+1e-9 {
				t.Fatalf("%d retries after %d first attempts", taken, first)
			}
		}
	})
}
