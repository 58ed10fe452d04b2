package edge

import (
	"fmt"
	"slices"
	"testing"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
)

// TestAnswerToFormerIncarnation guards against a router that panics, or dispatches without
// tokens: the store answers a write of its former incarnation while the new one waits for
// another write.
func TestAnswerToFormerIncarnation(t *testing.T) {
	h := newHarness(t)
	c := testConfiguration(2)
	c.Accounts = accountsOfShards(0, 0, 1)
	h.step(Configured{
		Configuration: c,
	})
	before := h.draw(c.Accounts[2])
	h.renew()
	after := h.draw(c.Accounts[0])
	if len(before.Writes) >= len(after.Writes) {
		t.Fatalf("%d writes, then %d", len(before.Writes), len(after.Writes))
	}
	if out := h.step(written(before)); has[Dispatch](out) {
		t.Errorf("dispatched without tokens: %+v", out)
	}
	if out := h.step(written(after)); !has[Dispatch](out) {
		t.Errorf("not dispatched: %+v", out)
	}
}

// TestRegistrationOfFormerIncarnation guards against a router that is never registered: the
// store answers the write of its former incarnation's row.
func TestRegistrationOfFormerIncarnation(t *testing.T) {
	h := newHarness(t)
	before := only[effect.Transact](h, h.step(effect.Tick{}))
	h.renew()
	out := append(h.step(written(before)), h.step(effect.Tick{})...)
	if w := only[effect.Transact](h, out).Writes[0]; w.Key != NodeKey(h.edge.Self) {
		t.Errorf("wrote %s, not the row of %s", w.Key, h.edge.Self)
	}
}

// renew lists an incarnation of the router's VM that is newer than its own.
func (h *harness) renew() {
	h.step(Nodes{
		Snapshot: true,
		Rows: []waxwingwall.Row{{
			Key:     NodeKey(waxwingwall.Incarnation{VM: "vm-1", Boot: 5}),
			Version: 1,
			Value:   soundNode,
		}},
	})
}

// accountsOfShards returns a metered account for each of some shards of the book.
func accountsOfShards(shards ...int) []waxwingwall.ClientAccount {
	var accounts []waxwingwall.ClientAccount
	for n := 0; len(accounts) < len(shards); n++ {
		name := fmt.Sprint("paid-", n)
		if escrow.ShardOf(waxwingwall.Budget(name), Shards) != shards[len(accounts)] {
			continue
		}
		accounts = append(accounts, waxwingwall.ClientAccount{
			Name:    waxwingwall.Account(name),
			Keys:    []string{name},
			Metered: true,
			Prepaid: 1_000_000,
		})
	}
	return accounts
}

// draw sends a request of an account and returns the write that draws tokens for it. The
// store has no rows.
func (h *harness) draw(account waxwingwall.ClientAccount) effect.Transact {
	paid := call("advice")
	paid.Key = account.Keys[0]
	_, out := h.arrive(paid)
	budget := escrow.BudgetKey(waxwingwall.Budget(account.Name))
	for _, a := range out {
		if r, ok := a.(effect.Read); ok && slices.Contains(r.Keys, budget) {
			rows := effect.Rows{
				ID: r.ID,
			}
			for _, k := range r.Keys {
				rows.Rows = append(rows.Rows, waxwingwall.Row{
					Key: k,
				})
			}
			return only[effect.Transact](h, h.step(rows))
		}
	}
	h.t.Fatalf("no read of %s: %+v", budget, out)
	return effect.Transact{}
}

// written answers a write.
func written(w effect.Transact) effect.Transacted {
	answer := effect.Transacted{
		ID: w.ID,
	}
	for i := range w.Writes {
		answer.Versions = append(answer.Versions, int64(i+1))
	}
	return answer
}
