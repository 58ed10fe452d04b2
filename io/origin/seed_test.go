package origin

import "flag"

// init fixes the seed of the property tests, so that runs are repeatable; the
// flag rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
