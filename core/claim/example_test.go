package claim_test

import (
	"fmt"
	"net/netip"
	"time"

	"waxwingwall"
	"waxwingwall/core/claim"
	"waxwingwall/core/effect"
)

// A single router: its log goes directly to the table. The loop is the driver,
// which performs actions and feeds back their results.
func Example() {
	now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	table := &fakeTable{
		rows: make(map[string]waxwingwall.Row),
	}
	me := waxwingwall.Incarnation{
		VM:   "vm1",
		Boot: 1,
	}
	ledger := claim.New(me, netip.MustParseAddrPort("192.0.2.1:7000"), "domain1")
	bread := claim.RunRequest{
		Identity: waxwingwall.Identity{
			Account: "bakery",
			Key:     "order-7",
		},
		Budget: "bread",
		Worst:  300,
	}

	drive := func(rounds int) {
		var answers []effect.Event
		for range rounds {
			now = now.Add(100 * time.Millisecond)
			events := append(answers, effect.Tick{})
			answers = nil
			for _, ev := range events {
				for _, a := range ledger.Step(now, ev) {
					switch a := a.(type) {
					case effect.Transact:
						versions, ok := table.transact(a.Writes)
						answer := effect.Transacted{
							ID:       a.ID,
							Versions: versions,
						}
						if !ok {
							answer.Result = effect.Conflict
						}
						answers = append(answers, answer)
					case effect.Read:
						answer := effect.Rows{
							ID: a.ID,
						}
						for _, key := range a.Keys {
							answer.Rows = append(answer.Rows, table.rows[key])
						}
						answers = append(answers, answer)
					case claim.Cleared:
						fmt.Println("cleared:", ledger.Dispatched(now, a.Identity))
						ledger.Settle(now, a.Identity, claim.Result{
							Outcome: waxwingwall.Ran,
							Tokens:  120,
						})
					case claim.Settled:
						fmt.Println("settled:", a.Identity.Key)
					}
				}
			}
		}
	}

	drive(10)
	fmt.Println("fresh:", ledger.Begin(now, bread).Kind == claim.Fresh)
	fmt.Println("attached:", ledger.Begin(now, bread).Kind == claim.Attached)
	drive(10)
	fmt.Println("asked again:", ledger.Begin(now, bread).Result.Tokens)
	bills, err := claim.ReadBills(table.list(claim.AllBillsPrefix))
	fmt.Println("bills:", len(bills), err)
	// Output:
	// fresh: true
	// attached: true
	// cleared: true
	// settled: order-7
	// asked again: 120
	// bills: 1 <nil>
}
