package sim

import "flag"

// init sets a fixed seed for property tests, so that runs are repeatable; the flag
// rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
