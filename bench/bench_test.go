package bench

import (
	"reflect"
	"testing"
	"time"
)

// TestRunIsDeterministic checks that equal seeds give equal results with every
// policy.
func TestRunIsDeterministic(t *testing.T) {
	site, _ := siteNamed("heredia")
	scenario, _ := scenarioNamed("router_kills")
	scenario.WarmUp = 4 * time.Second
	scenario.Window = 5 * time.Second
	for _, name := range Policies() {
		c := Config{
			Policy: name,
			Seed:   7,
		}
		a := measure(site, scenario, policyNamed(name), c)
		b := measure(site, scenario, policyNamed(name), c)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs differ", name)
		}
	}
}

// TestFaultsViolateNoGuarantee checks that under faults no request runs after
// the outcome not_run and no non-idempotent one runs twice, and that a poison
// request crashes at most three endpoints.
func TestFaultsViolateNoGuarantee(t *testing.T) {
	site, _ := siteNamed("coulee")
	for _, name := range []string{"router_kills", "poison_request", "silent_connections", "order_rush"} {
		scenario, _ := scenarioNamed(name)
		scenario.WarmUp = 4 * time.Second
		scenario.Window = 8 * time.Second
		res := measure(site, scenario, policyNamed(Waxwingwall), Config{
			Seed: 3,
		})
		if res.RanAfterNotRun > 0 || res.RunMoreThanOnce > 0 {
			t.Errorf("%s: %d ran after not_run, %d more than once", name, res.RanAfterNotRun, res.RunMoreThanOnce)
		}
		if res.Crashes > 3 || name == "poison_request" && res.PoisonRefused == 0 {
			t.Errorf("%s: %d crashes, %d refusals", name, res.Crashes, res.PoisonRefused)
		}
	}
}
