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

	// even is set if the nodes together hold a part of a budget in advance, in
	// even shares that each may let go as a whole. A wait then ends as soon as
	// everyone was asked and nobody has enough, although what others have
	// reserved may come back.
	even bool
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

// even suits budgets of which a request can be a large part and that have to be
// spent while the table is out of reach: the nodes hold a part of them together,
// pass shares to each other, and tell callers at once.
var even = pacing{
	patience:     800 * time.Millisecond,
	foundLife:    500 * time.Millisecond,
	rateWindow:   10 * time.Second,
	firstPace:    2 * time.Second,
	leadRequests: 1,
	leads:        1,
	backoffLast:  800 * time.Millisecond,
	drawEvery:    200 * time.Millisecond,
	strangers:    16,
	even:         true,
}

const (
	// evenLead is how long the shares of all nodes should last without the
	// table, at evenBurst times the present pace.
	evenLead  = 10 * time.Second
	evenBurst = 1.5

	// evenMost and evenLeast bound the part of what is left of a budget that the
	// shares hold together, in percent: what is held by nodes that die is lost.
	evenMost  = 40
	evenLeast = 20

	// evenEnd is the part of a budget, in percent, below which nothing is held in
	// advance any more: what is stranded then can't be made up for.
	evenEnd = 8

	// evenExcess is how many times its target a share may hold before the rest
	// goes back to the pool.
	evenExcess = 2

	// evenBudgets is up to how many budgets a node draws shares of before
	// anybody asks for them.
	evenBudgets = 64

	// evenNodes is from how many other nodes on a node holds a share only while
	// it is asked for tokens, evenIdle how long it keeps one without.
	evenNodes = 16
	evenIdle  = 10 * time.Second

	// evenRefresh is how old a node's knowledge of the pool gets while it holds a
	// share: what it does not need goes back as the pool falls.
	evenRefresh = 2500 * time.Millisecond

	// slowCall is when a call of the table takes so long that peers are asked
	// beside it.
	slowCall = 60 * time.Millisecond
)

// WithEvenShares makes the nodes hold a part of each budget together that lasts
// for a while without the table, wide while there is plenty and narrow near its
// end. All of a share may be let go, so a share counts as spent if its node
// dies.
func WithEvenShares() Option {
	return func(b *Book) {
		b.pacing = &even
	}
}

// target returns how many tokens a share should have to spare: what is left is
// the pool and what the nodes hold, if all hold as much as this one.
func (b *Book) target(e *entry) waxwingwall.Tokens {
	if b.retiring {
		return 0
	}
	if b.large() && !e.active.IsZero() && b.now.Sub(e.active) >= evenIdle {
		return 0
	}
	nodes := waxwingwall.Tokens(len(withHolder(b.holders(e.pool.row), b.self)))
	left := max(e.pool.row.Pool(), 0) + nodes*max(e.spare(), 0)
	if left < e.pool.row.Total*evenEnd/100 {
		return 0
	}
	e.demand.decay(b.now)
	lead := waxwingwall.Tokens(e.demand.pace(b.now) * evenLead.Seconds() * evenBurst)
	return min(max(lead, left*evenLeast/100/nodes), left*evenMost/100/nodes)
}

// refreshes reports whether the pool has to be read again to tell whether a
// share is still in proportion.
func (b *Book) refreshes(e *entry) bool {
	return b.pacing.even && e.spare() > 0 && !b.now.Before(e.hold) && b.now.Sub(e.pool.at) >= evenRefresh
}

// large reports whether there are so many nodes that only those that are asked
// for tokens hold any.
func (b *Book) large() bool {
	return len(b.peers) >= evenNodes
}

// wantsEven reports whether the share is well below its target, or the budget's
// row was never read.
func (b *Book) wantsEven(e *entry) bool {
	unread := e.pool.version == 0 && e.pool.row.Paid == 0
	return e.exists() && (unread || e.spare() < b.target(e)/2)
}

// surplus returns what a share holds too much of.
func (b *Book) surplus(e *entry) waxwingwall.Tokens {
	if e.cycle.open || e.pool.version == 0 {
		return 0
	}
	spare := e.spare() - e.owed()
	target := b.target(e)
	if spare <= evenExcess*target {
		return 0
	}
	return spare - target
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

// Funded returns what was last told by Fund.
func (b *Book) Funded(budget waxwingwall.Budget) Paid {
	if e, ok := b.entries[budget]; ok {
		return e.paid
	}
	return Paid{}
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
