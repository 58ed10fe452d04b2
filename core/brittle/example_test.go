package brittle_test

import (
	"fmt"
	"time"

	"waxwingwall"
	"waxwingwall/core/brittle"
	"waxwingwall/core/effect"
)

// A router alone leases the slots of an endpoint to its own requests. With others, the
// driver also passes on effect.Send, and calls SetPeers as they come and go.
func Example() {
	now := time.Unix(0, 0)
	g := brittle.New(
		waxwingwall.Incarnation{VM: "vm-1", Boot: 1},
		func(waxwingwall.Endpoint) (brittle.State, bool) {
			return brittle.State{Service: "ledger", Born: 1, Slots: 2}, true
		},
		func(waxwingwall.Model) []waxwingwall.Endpoint { return []waxwingwall.Endpoint{"ledger-1"} },
	)
	g.SetPeers(now, nil, 1, true)
	g.Named(now, "ledger", 5)
	for range 30 {
		now = now.Add(50 * time.Millisecond)
		g.Step(now, effect.Tick{})
	}
	for range 3 {
		g.Ask(now, brittle.Ask{
			ID:       g.NextID(),
			Endpoint: "ledger-1",
			Wait:     time.Second,
		})
	}
	show := func() {
		for _, a := range g.Take() {
			if granted, ok := a.(brittle.Granted); ok {
				fmt.Println("request", granted.ID, "has a slot")
			}
		}
	}
	show()
	fmt.Println("request 1 ends")
	g.End(now, 1, false)
	show()
	// Output:
	// request 1 has a slot
	// request 2 has a slot
	// request 1 ends
	// request 3 has a slot
}
