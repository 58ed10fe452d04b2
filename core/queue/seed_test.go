package queue

import "flag"

// init fixes the seed of the property tests, so that a run is repeatable; the
// flag rapid.seed sets another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
