package escrow

import "flag"

// init sets a fixed seed for the property tests, so that runs are reproducible;
// the flag rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
