package escrow

import (
	"math"
	"time"

	"waxwingwall"
)

// pacing holds the time and size parameters of a Book.
type pacing struct {
	// waitTimeout is the longest time that a request waits for tokens.
	waitTimeout time.Duration

	// verdictTTL is how long the verdict of a wait is cached for later
	// requests.
	verdictTTL time.Duration

	// rateWindow is the time constant of the spend rate, minRateWindow the
	// shortest time over which it is calculated.
	rateWindow, minRateWindow time.Duration

	// bufferRequests is the minimum number of requests that a share should pay
	// for.
	bufferRequests int

	// bufferFactor is the number of buffers, as returned by demand.buffer, that
	// are drawn and allowed in advance.
	bufferFactor waxwingwall.Tokens

	// maxBackoff is the maximum backoff after lost answers, before jitter.
	maxBackoff time.Duration

	// minDrawInterval is the minimum time between two draws in advance.
	minDrawInterval time.Duration

	// fallbackPeers is the number of peers asked in a round while the table
	// does not answer.
	fallbackPeers int

	// evenShares is set if the nodes together hold a part of a budget in
	// advance, in even shares that each node may commit as a whole. A wait then
	// ends once every node was asked and none has enough, although reserved
	// tokens may still be returned.
	evenShares bool
}

// wideShares is the pacing for budgets that last for days: shares are large and
// draws are rare.
var wideShares = pacing{
	waitTimeout:     waitTimeout,
	verdictTTL:      verdictTTL,
	rateWindow:      time.Minute,
	minRateWindow:   5 * time.Second,
	bufferRequests:  16,
	bufferFactor:    2,
	maxBackoff:      defaultMaxBackoff,
	minDrawInterval: time.Second,
	fallbackPeers:   3,
}

// evenShares is the pacing for budgets of which one request can be a large part
// and which have to be spendable while the table is unreachable: the nodes together hold
// a part of them, pass shares to each other and give callers a verdict quickly.
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

// holding is how much of a budget all shares hold together.
type holding struct {
	// bufferTime is how long the shares of all nodes should last without the table at
	// evenBurstFactor times the current spend rate.
	bufferTime time.Duration

	// maxPercent and minPercent bound the part of the remaining budget.
	maxPercent, minPercent waxwingwall.Tokens

	// wideAbove is the part of a budget that must remain for these bounds to apply in full.
	// Below it they shrink with the power evenNarrowing of what remains.
	wideAbove float64

	// cutoffPercent is the part of a budget below which nothing is held in advance, since
	// tokens stranded at that point can't be replaced.
	cutoffPercent waxwingwall.Tokens
}

const (
	evenMaxPercent    = 40
	evenMinPercent    = 20
	evenCutoffPercent = 8
)

// narrow is held if nodes that die lose what they hold, wide while lines in the table bound what
// they lose.
var (
	narrow = holding{
		bufferTime:    10 * time.Second,
		maxPercent:    evenMaxPercent,
		minPercent:    evenMinPercent,
		wideAbove:     0.4,
		cutoffPercent: evenCutoffPercent,
	}
	wide = holding{
		bufferTime:    25 * time.Second,
		maxPercent:    90,
		minPercent:    60,
		wideAbove:     0.1,
		cutoffPercent: 2,
	}
)

// holding returns how much of a budget is held.
func (b *Book) holding(e *entry) *holding {
	if b.clocked() && len(e.stored) > 0 {
		return &wide
	}
	return &narrow
}

const (
	// evenBurstFactor is the multiple of the current spend rate for which shares are held, and
	// evenNarrowing the power with which they shrink.
	evenBurstFactor = 1.5
	evenNarrowing   = 4

	// evenSurplusPercent is the percentage of its target that a share may hold
	// before the rest is returned to the pool.
	evenSurplusPercent = 125

	// With at most evenPrefetchBudgets budgets, in a fleet smaller than
	// evenLargeFleet, a node draws shares before the first request.
	evenPrefetchBudgets = 64

	// With evenLargeFleet or more other nodes, a node holds a share only while
	// requests use it, and keeps an unused one for evenIdleTimeout.
	evenLargeFleet  = 16
	evenIdleTimeout = 10 * time.Second

	// evenRefreshInterval is the maximum age of the pool's row while a node
	// holds a share: it returns what it does not need as the pool shrinks.
	evenRefreshInterval = 2500 * time.Millisecond

	// slowCallTime is the time after which peers are asked in parallel with a
	// pending call to the table.
	slowCallTime = 60 * time.Millisecond
)

// WithEvenShares makes the nodes together hold a part of each budget in advance,
// which they can spend without the table: from evenMinPercent to evenMaxPercent
// of what remains, less below evenWideAbove of the total, and nothing once less
// than evenCutoffPercent of it remains. A node may commit all of its share, so a
// share counts as spent if its node dies.
func WithEvenShares() Option {
	return func(b *Book) {
		b.pacing = &evenShares
	}
}

// target returns how many spare tokens a share should have.
//
// The part of the remaining budget that is held narrows towards the end. An
// outage then refuses requests that can be paid for later, as the budget runs
// out in any case, but what dead nodes held can't be made up for.
func (b *Book) target(e *entry) waxwingwall.Tokens {
	if b.retiring {
		return 0
	}
	if b.unused(e) {
		return 0
	}
	nodes := waxwingwall.Tokens(b.holderCount(e))
	total := e.pool.row.Total
	remaining := b.remaining(e, nodes)
	h := b.holding(e)
	if total <= 0 || remaining < total*h.cutoffPercent/100 {
		return 0
	}
	width := math.Pow(min(float64(remaining)/float64(total)/h.wideAbove, 1), evenNarrowing)
	share := width * float64(remaining) / float64(nodes)
	e.demand.decay(b.now)
	buffer := e.demand.spendRate(b.now) * h.bufferTime.Seconds() * evenBurstFactor
	return waxwingwall.Tokens(min(max(buffer, share*float64(h.minPercent)/100), share*float64(h.maxPercent)/100))
}

// remaining estimates what is left of a budget: the pool and what the nodes hold.
// It assumes that all hold as much as this one, within maxPercent, so that a
// node with an unusually large share does not overestimate it.
func (b *Book) remaining(e *entry, nodes waxwingwall.Tokens) waxwingwall.Tokens {
	pool := max(e.pool.row.Pool(), 0)
	spare := max(e.spare(), 0)
	most := b.holding(e).maxPercent
	return pool + max(spare, min(nodes*spare, pool*most/(100-most)))
}

// needsRefresh reports whether the pool must be read again to check the size of
// a share.
func (b *Book) needsRefresh(e *entry) bool {
	return b.pacing.evenShares && e.spare() > 0 && !b.now.Before(e.holdUntil) && b.now.Sub(e.pool.at) >= evenRefreshInterval
}

// unused reports whether this node should hold nothing of a budget: in a large fleet,
// unless requests used it lately.
func (b *Book) unused(e *entry) bool {
	return b.largeFleet() && b.now.Sub(e.lastActive) >= evenIdleTimeout
}

// largeFleet reports whether there are so many nodes that only those in use
// hold tokens.
func (b *Book) largeFleet() bool {
	return len(b.peers) >= evenLargeFleet
}

// belowTarget reports whether the share is below half of its target or the
// budget's row was never read.
func (b *Book) belowTarget(e *entry) bool {
	unread := e.pool.version == 0 && e.pool.row.FundingVersion == 0
	return e.exists() && (unread || e.spare() < b.target(e)/2)
}

// surplus returns how much a share holds beyond its target.
func (b *Book) surplus(e *entry) waxwingwall.Tokens {
	if e.wait.open || e.pool.version == 0 {
		return 0
	}
	spare := e.spare() - e.pending()
	target := b.target(e)
	if spare <= target*evenSurplusPercent/100 {
		return 0
	}
	return spare - target
}

// Funding is the amount paid into a budget according to an external operator.
type Funding struct {
	// Version orders the updates; the newest applies.
	Version int64

	// Total is the sum of all payments.
	Total waxwingwall.Tokens
}

// SetFunding sets what was paid into a budget. It is written to the budget's
// row with the next draw, unless the row has a newer version. Such a budget
// accepts no TopUp.
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

// FundingOf returns the last value set by SetFunding.
func (b *Book) FundingOf(budget waxwingwall.Budget) Funding {
	if e, ok := b.entries[budget]; ok {
		return e.funding
	}
	return Funding{}
}

// withFunding returns a budget's row with the payments since it was written.
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
