package escrow_test

import (
	"fmt"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
)

// table is a minimal table of versioned rows.
type table map[string]waxwingwall.Row

// perform performs the actions and steps the Book with their answers.
func (t table) perform(now time.Time, book *escrow.Book, actions []effect.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case effect.Read:
			rows := effect.Rows{
				ID: a.ID,
			}
			for _, key := range a.Keys {
				row := t[key]
				row.Key = key
				rows.Rows = append(rows.Rows, row)
			}
			t.perform(now, book, book.Step(now, rows))
		case effect.Transact:
			t.perform(now, book, book.Step(now, t.transact(a)))
		case escrow.Resolved:
			fmt.Println("resolved", a.Budget)
		}
	}
}

func (t table) transact(a effect.Transact) effect.Transacted {
	done := effect.Transacted{
		ID: a.ID,
	}
	for _, w := range a.Writes {
		if w.Expect != t[w.Key].Version {
			done.Result = effect.Conflict
			return done
		}
	}
	for _, w := range a.Writes {
		row := waxwingwall.Row{
			Key:     w.Key,
			Version: w.Expect + 1,
			Value:   w.Value,
		}
		t[w.Key] = row
		done.Versions = append(done.Versions, row.Version)
	}
	return done
}

// A request waits for a draw, is granted and settles to what it used.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	rows := table{
		escrow.BudgetKey("shop"): {
			Version: 1,
			Value: escrow.Encode(escrow.BudgetRow{
				Total: 10_000,
			}),
		},
	}
	book := escrow.New(waxwingwall.Incarnation{
		VM:   "vm1",
		Boot: 1,
	})
	fmt.Println(book.Reserve(now, "shop", 800).Kind)
	rows.perform(now, book, book.Step(now, effect.Tick{}))
	fmt.Println(book.Reserve(now, "shop", 800).Kind)
	book.Settle(now, "shop", 800, 375)
	fmt.Println("settled", book.Balance("shop").Settled)

	book.Drain(now)
	for !book.Drained() {
		rows.perform(now, book, book.Step(now, effect.Tick{}))
	}
	row, err := escrow.Decode[escrow.BudgetRow](rows[escrow.BudgetKey("shop")])
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("pool", row.Pool())
	// Output:
	// waiting
	// resolved shop
	// granted
	// settled 375
	// pool 9625
}
