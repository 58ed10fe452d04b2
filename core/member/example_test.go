package member_test

import (
	"fmt"
	"net/netip"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/member"
)

// Two routers find each other through the platform's list. deliver passes the
// messages of each to the other, as a driver would over a network.
func Example() {
	incarnation := func(vm waxwingwall.VM) waxwingwall.Incarnation {
		return waxwingwall.Incarnation{
			VM:   vm,
			Boot: 1,
		}
	}
	address := netip.MustParseAddrPort("10.0.0.1:7002")
	views := map[waxwingwall.VM]*member.View{
		"vm-1": member.New(incarnation("vm-1"), address, "a"),
		"vm-2": member.New(incarnation("vm-2"), address, "b"),
	}
	now := time.Unix(0, 0)
	var deliver func(from waxwingwall.VM, actions []effect.Action)
	deliver = func(from waxwingwall.VM, actions []effect.Action) {
		for _, a := range actions {
			s, ok := a.(effect.Send)
			if !ok {
				continue
			}
			deliver(s.To.VM, views[s.To.VM].Step(now, effect.Received{
				From:    incarnation(from),
				Message: s.Message,
			}))
		}
	}
	deliver("vm-1", views["vm-1"].Step(now, member.Listed{
		Members: []waxwingwall.Member{
			{
				VM:      "vm-2",
				Address: address,
				Domain:  "b",
			},
		},
	}))
	for _, vm := range []waxwingwall.VM{"vm-1", "vm-2"} {
		for _, p := range views[vm].Peers(now) {
			fmt.Println(vm, "sees", p.Incarnation, "alive:", p.Alive)
		}
	}
	// Output:
	// vm-1 sees vm-2@1 alive: true
	// vm-2 sees vm-1@1 alive: true
}
