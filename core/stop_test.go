package core_test

import (
	"slices"
	"testing"
	"time"

	"waxwingwall/fake"
)

// TestStopRefusesNothingForItsBudget guards against requests that are refused as their budget
// is out of reach because their owner stops: it returned its shares while it had slots.
func TestStopRefusesNothingForItsBudget(t *testing.T) {
	w, document, paid := startFleet(t, 3, 1, 100_000)
	w.Run(10 * time.Second)
	w.MessageDelay = 100 * time.Millisecond
	w.Drain(w.Hosts[0])
	var clients []*fake.Client
	for n := range 200 {
		c := &fake.Client{
			Request:  request(t, document, n),
			MaxTries: 1,
		}
		clients = append(clients, c)
		w.After(time.Duration(n+10)*10*time.Millisecond, func() { w.Submit(c) })
	}
	w.Run(20 * time.Second)
	for _, c := range clients {
		if slices.Contains(c.Codes, "budget_out_of_reach") {
			t.Errorf("%v: %v", c.Request.Identity, c.Codes)
		}
	}
	if !w.Hosts[0].Node.Drained() {
		t.Error("the stop is not complete")
	}
	w.Settle()
	w.Audit(clients, paid)
}
