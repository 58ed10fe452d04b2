package bench_test

import (
	"fmt"

	"waxwingwall/bench"
)

// Runs one policy in one scenario.
func Example() {
	res, err := bench.Run(bench.Config{
		Site:     "heredia",
		Scenario: "steady",
		Policy:   bench.Waxwingwall,
		Seed:     1,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	urgent := res.Ranks[0]
	fmt.Println(urgent.Name, "served:", urgent.Served == urgent.Offered)
	fmt.Println("run after not_run:", res.RanAfterNotRun)
	// Output:
	// urgent served: true
	// run after not_run: 0
}
