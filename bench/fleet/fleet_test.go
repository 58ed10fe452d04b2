package fleet_test

import (
	"testing"
	"time"

	"waxwingwall/bench/fleet"
)

// TestShortRuns checks with short runs that no scenario causes overspend,
// missing or double bills or repeated runs, and that a healthy fleet refuses nothing
// falsely.
func TestShortRuns(t *testing.T) {
	for _, s := range fleet.Scenarios() {
		res, err := fleet.Run(fleet.Config{
			Scenario:    s,
			Routers:     4,
			Budgets:     4,
			Rate:        10,
			Length:      45 * time.Second,
			FundedShare: 0.8,
			Seed:        1,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v", res)
		if len(res.Violations) > 0 || res.OverspendTokens > 0 || res.Unbilled > 0 || res.DoubleBilled > 0 || res.RunMoreThanOnce > 0 {
			t.Errorf("%s: guarantee violated: %+v", s, res)
		}
		if s == fleet.Healthy && (res.FalseRefusals > 0 || res.OtherRefusals > 0) {
			t.Errorf("%s: false or other refusals: %+v", s, res)
		}
	}
}
