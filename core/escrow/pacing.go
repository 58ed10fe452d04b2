package escrow

import (
	"time"

	"waxwingwall"
)

// pacing are the times and factors of a Book.
type pacing struct {
	// patience is how long a request waits at most.
	patience time.Duration

	// foundLife is how long the finding of a wait answers later requests.
	foundLife time.Duration

	// rateWindow is the time constant of the spend rate, firstPace the least
	// time over which it is judged.
	rateWindow, firstPace time.Duration

	// leadRequests is how many requests a share should last for at least.
	leadRequests int

	// leads is how many leads are drawn and allowed in advance.
	leads waxwingwall.Tokens

	// backoffLast bounds the wait after lost answers.
	backoffLast time.Duration

	// drawEvery is the least time between two draws in advance.
	drawEvery time.Duration

	// strangers is how many peers are asked while the table does not answer.
	strangers int

	// prompt is set if a wait ends as soon as everyone was asked and nobody has
	// enough, although what others have reserved may come back.
	prompt bool
}

// broad suits budgets that last for days: shares are wide, and few draws are
// made.
var broad = pacing{
	patience:     patience,
	foundLife:    foundLife,
	rateWindow:   time.Minute,
	firstPace:    5 * time.Second,
	leadRequests: 16,
	leads:        2,
	backoffLast:  backoffLast,
	drawEvery:    time.Second,
	strangers:    3,
}

// lean suits budgets of which a request can be a large part: shares are narrow
// and follow demand within seconds, and callers are told at once.
var lean = pacing{
	patience:     800 * time.Millisecond,
	foundLife:    500 * time.Millisecond,
	rateWindow:   10 * time.Second,
	firstPace:    2 * time.Second,
	leadRequests: 1,
	leads:        1,
	backoffLast:  800 * time.Millisecond,
	drawEvery:    200 * time.Millisecond,
	strangers:    16,
	prompt:       true,
}

// WithLeanShares makes shares narrow: for budgets that few requests use up.
func WithLeanShares() Option {
	return func(b *Book) {
		b.pacing = &lean
	}
}

// Paid is what an outside operator says was paid into a budget.
type Paid struct {
	// Version orders what is said; the newest holds.
	Version int64

	// Total is the sum of all payments.
	Total waxwingwall.Tokens
}

// Fund tells what was paid into a budget. It reaches the budget's row with the
// next draw, unless a newer version is there. A budget that is funded so takes
// no TopUp.
func (b *Book) Fund(budget waxwingwall.Budget, paid Paid) {
	e := b.entry(budget)
	if paid.Version <= e.paid.Version {
		return
	}
	e.paid = paid
	e.found = finding{}
	if e.pool.known {
		e.pool.row = e.fund(e.pool.row)
	}
}

// fund returns a budget's row with what was paid since.
func (e *entry) fund(row BudgetRow) BudgetRow {
	if e.paid.Version > row.Paid {
		row.Paid = e.paid.Version
		row.Total = e.paid.Total
	}
	return row
}

// exists reports whether there is a budget to draw from.
func (e *entry) exists() bool {
	return e.pool.version > 0 || e.paid.Version > 0
}
