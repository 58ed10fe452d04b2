package escrow

import (
	"fmt"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// TopUp raises the total of a budget once for each top-up ID, however often it
// is run. Its transaction creates the row of the top-up and raises the budget's
// total. If the answer is lost, the row of the top-up shows whether the
// transaction was applied. It is stepped like a Book and starts with its first
// Tick.
type TopUp struct {
	budget waxwingwall.Budget
	id     string
	tokens waxwingwall.Tokens

	// The call in flight; pendingCall is zero if there is none.
	pendingCall uint64
	callCount   uint64
	calledAt    time.Time
	retryAt     time.Time
	actions     []effect.Action

	done bool
	err  error
}

// ReusedError reports that a top-up ID was already used for another amount.
type ReusedError struct {
	// Budget and ID identify the top-up.
	Budget waxwingwall.Budget
	ID     string

	// Tokens is the amount that was added under the ID.
	Tokens waxwingwall.Tokens
}

// Error implements error.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("top-up %q of budget %q was made with %d tokens", e.ID, e.Budget, e.Tokens)
}

// NewTopUp returns a top-up of a budget by tokens, which must be positive.
func NewTopUp(budget waxwingwall.Budget, id string, tokens waxwingwall.Tokens) *TopUp {
	t := &TopUp{
		budget: budget,
		id:     id,
		tokens: tokens,
	}
	if tokens <= 0 {
		t.done = true
		t.err = fmt.Errorf("top-up %q of budget %q: %d tokens: want more than 0", id, budget, tokens)
	}
	return t
}

// Part returns the ID.Part of this TopUp's actions.
func (t *TopUp) Part() string {
	return Part + "/topup/" + string(t.budget) + "/" + t.id
}

// Done reports whether the top-up has ended; Err returns its result.
func (t *TopUp) Done() bool {
	return t.done
}

// Err returns nil if the top-up was applied, now or earlier.
func (t *TopUp) Err() error {
	return t.err
}

// Step handles an event and returns the resulting actions.
func (t *TopUp) Step(now time.Time, ev effect.Event) []effect.Action {
	t.actions = nil
	switch ev := ev.(type) {
	case effect.Tick:
		if t.pendingCall != 0 && now.Sub(t.calledAt) >= callTimeout {
			t.pendingCall = 0
		}
		if !t.done && t.pendingCall == 0 && !now.Before(t.retryAt) {
			t.read(now)
		}
	case effect.Rows:
		if t.answered(ev.ID) {
			t.rows(now, ev)
		}
	case effect.Transacted:
		if t.answered(ev.ID) {
			t.transacted(now, ev)
		}
	}
	return t.actions
}

// answered reports whether an answer is expected, and clears the pending call.
func (t *TopUp) answered(id effect.ID) bool {
	if t.pendingCall == 0 || id.N != t.pendingCall || id.Part != t.Part() {
		return false
	}
	t.pendingCall = 0
	return true
}

// beginCall returns the ID of a new call and marks it pending.
func (t *TopUp) beginCall(now time.Time) effect.ID {
	t.callCount++
	t.pendingCall = t.callCount
	t.calledAt = now
	return effect.ID{
		Part: t.Part(),
		N:    t.callCount,
	}
}

// read reads the rows of the top-up and of the budget.
func (t *TopUp) read(now time.Time) {
	t.actions = append(t.actions, effect.Read{
		ID: t.beginCall(now),
		Keys: []string{
			TopUpKey(t.budget, t.id),
			BudgetKey(t.budget),
		},
	})
}

// rows ends the top-up or writes it, depending on the rows read.
func (t *TopUp) rows(now time.Time, ev effect.Rows) {
	if ev.Result != effect.Done {
		t.retryAt = now.Add(minBackoff)
		return
	}
	existing, err := Decode[TopUpRow](ev.Rows[0])
	if err != nil {
		t.fail(err)
		return
	}
	if ev.Rows[0].Version != 0 {
		t.done = true
		if existing.Tokens != t.tokens {
			t.err = &ReusedError{
				Budget: t.budget,
				ID:     t.id,
				Tokens: existing.Tokens,
			}
		}
		return
	}
	row, err := Decode[BudgetRow](ev.Rows[1])
	if err != nil {
		t.fail(err)
		return
	}
	row.Total += t.tokens
	t.actions = append(t.actions, effect.Transact{
		ID: t.beginCall(now),
		Writes: []waxwingwall.Write{
			{
				Key: TopUpKey(t.budget, t.id),
				Value: Encode(TopUpRow{
					Tokens: t.tokens,
				}),
			},
			{
				Key:    BudgetKey(t.budget),
				Expect: ev.Rows[1].Version,
				Value:  Encode(row),
			},
		},
	})
}

// fail ends the top-up with an error.
func (t *TopUp) fail(err error) {
	t.done = true
	t.err = err
}

// transacted ends the top-up or reads again.
func (t *TopUp) transacted(now time.Time, ev effect.Transacted) {
	if ev.Result == effect.Done {
		t.done = true
		return
	}
	if ev.Result == effect.Lost {
		t.retryAt = now.Add(minBackoff)
		return
	}
	t.read(now)
}
