package escrow

import (
	"time"

	"waxwingwall"
)

// pacing are the times and factors of a Book.
type pacing struct {
	// patience is how long a request waits at most.
	waitTimeout time.Duration

	// foundLife is how long the finding of a wait answers later requests.
	verdictTTL time.Duration

	// rateWindow is the time constant of the spend rate, firstPace the least
	// time over which it is judged.
	rateWindow, minRateWindow time.Duration

	// leadRequests is how many requests a share should last for at least.
	bufferRequests int

	// leads is how many leads are drawn and allowed in advance.
	bufferFactor waxwingwall.Tokens

	// backoffLast bounds the wait after lost answers.
	maxBackoff time.Duration

	// drawEvery is the least time between two draws in advance.
	minDrawInterval time.Duration

	// strangers is how many peers are asked while the table does not answer.
	fallbackPeers int

	// even is set if the nodes together hold a part of a budget in advance, in
	// even shares that each may let go as a whole. A wait then ends as soon as
	// everyone was asked and nobody has enough, although what others have
	// reserved may come back.
	evenShares bool
}

// broad suits budgets that last for days: shares are wide, and few draws are
// made.
var wideShares = pacing{
	waitTimeout:     waitTimeout,
	verdictTTL:      verdictTTL,
	rateWindow:      time.Minute,
	minRateWindow:   5 * time.Second,
	bufferRequests:  16,
	bufferFactor:    2,
	maxBackoff:      maxBackoff,
	minDrawInterval: time.Second,
	fallbackPeers:   3,
}

// even suits budgets of which a request can be a large part and that have to be
// spent while the table is out of reach: the nodes hold a part of them together,
// pass shares to each other, and tell callers at once.
var evenShares = pacing{
	waitTimeout:     800 * time.Millisecond,
	verdictTTL:      500 * time.Millisecond,
	rateWindow:      10 * time.Second,
	minRateWindow:   2 * time.Second,
	bufferRequests:  1,
	bufferFactor:    1,
	maxBackoff:      800 * time.Millisecond,
	minDrawInterval: 200 * time.Millisecond,
	fallbackPeers:   16,
	evenShares:      true,
}

const (
	// evenLead is how long the shares of all nodes should last without the
	// table, at evenBurst times the present pace.
	evenBufferTime  = 10 * time.Second
	evenBurstFactor = 1.5

	// evenMost and evenLeast bound the part of what is left of a budget that the
	// shares hold together, in percent: what is held by nodes that die is lost.
	evenMaxPercent = 40
	evenMinPercent = 20

	// evenEnd is the part of a budget, in percent, below which nothing is held in
	// advance any more: what is stranded then can't be made up for.
	evenCutoffPercent = 8

	// evenExcess is how many times its target a share may hold before the rest
	// goes back to the pool.
	evenSurplusFactor = 2

	// evenBudgets is up to how many budgets a node draws shares of before
	// anybody asks for them.
	evenEagerBudgets = 64

	// evenNodes is from how many other nodes on a node holds a share only while
	// it is asked for tokens, evenIdle how long it keeps one without.
	evenLargeFleet  = 16
	evenIdleTimeout = 10 * time.Second

	// evenRefresh is how old a node's knowledge of the pool gets while it holds a
	// share: what it does not need goes back as the pool falls.
	evenRefreshInterval = 2500 * time.Millisecond

	// slowCall is when a call of the table takes so long that peers are asked
	// beside it.
	slowCallTime = 60 * time.Millisecond
)

// WithEvenShares makes the nodes hold a part of each budget together that lasts
// for a while without the table, wide while there is plenty and narrow near its
// end. All of a share may be let go, so a share counts as spent if its node
// dies.
func WithEvenShares() Option {
	return func(b *Book) {
		b.pacing = &evenShares
	}
}

// target returns how many tokens a share should have to spare: what is left is
// the pool and what the nodes hold, if all hold as much as this one.
func (b *Book) target(e *entry) waxwingwall.Tokens {
	if b.retiring {
		return 0
	}
	if b.largeFleet() && !e.lastActive.IsZero() && b.now.Sub(e.lastActive) >= evenIdleTimeout {
		return 0
	}
	nodes := waxwingwall.Tokens(len(withHolder(b.holders(e.pool.row), b.self)))
	remaining := max(e.pool.row.Pool(), 0) + nodes*max(e.spare(), 0)
	if remaining < e.pool.row.Total*evenCutoffPercent/100 {
		return 0
	}
	e.demand.decay(b.now)
	buffer := waxwingwall.Tokens(e.demand.spendRate(b.now) * evenBufferTime.Seconds() * evenBurstFactor)
	return min(max(buffer, remaining*evenMinPercent/100/nodes), remaining*evenMaxPercent/100/nodes)
}

// refreshes reports whether the pool has to be read again to tell whether a
// share is still in proportion.
func (b *Book) needsRefresh(e *entry) bool {
	return b.pacing.evenShares && e.spare() > 0 && !b.now.Before(e.holdUntil) && b.now.Sub(e.pool.at) >= evenRefreshInterval
}

// large reports whether there are so many nodes that only those that are asked
// for tokens hold any.
func (b *Book) largeFleet() bool {
	return len(b.peers) >= evenLargeFleet
}

// wantsEven reports whether the share is well below its target, or the budget's
// row was never read.
func (b *Book) belowTarget(e *entry) bool {
	unread := e.pool.version == 0 && e.pool.row.FundingVersion == 0
	return e.exists() && (unread || e.spare() < b.target(e)/2)
}

// surplus returns what a share holds too much of.
func (b *Book) surplus(e *entry) waxwingwall.Tokens {
	if e.wait.open || e.pool.version == 0 {
		return 0
	}
	spare := e.spare() - e.owed()
	target := b.target(e)
	if spare <= evenSurplusFactor*target {
		return 0
	}
	return spare - target
}

// Funding is what an outside operator says was paid into a budget.
type Funding struct {
	// Version orders what is said; the newest holds.
	Version int64

	// Total is the sum of all payments.
	Total waxwingwall.Tokens
}

// SetFunding tells what was paid into a budget. It reaches the budget's row with the
// next draw, unless a newer version is there. A budget that is funded so takes
// no TopUp.
func (b *Book) SetFunding(budget waxwingwall.Budget, funding Funding) {
	e := b.entry(budget)
	if funding.Version <= e.funding.Version {
		return
	}
	e.funding = funding
	e.cached = cachedVerdict{}
	if e.pool.known {
		e.pool.row = e.withFunding(e.pool.row)
	}
}

// FundingOf returns what was last set by SetFunding.
func (b *Book) FundingOf(budget waxwingwall.Budget) Funding {
	if e, ok := b.entries[budget]; ok {
		return e.funding
	}
	return Funding{}
}

// fund returns a budget's row with what was paid since.
func (e *entry) withFunding(row BudgetRow) BudgetRow {
	if e.funding.Version > row.FundingVersion {
		row.FundingVersion = e.funding.Version
		row.Total = e.funding.Total
	}
	return row
}

// exists reports whether there is a budget to draw from.
func (e *entry) exists() bool {
	return e.pool.version > 0 || e.funding.Version > 0
}
