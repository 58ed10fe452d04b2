package escrow

import (
	"math"
	"time"

	"waxwingwall"
)

const (
	// patience is how long a request waits at most.
	patience = 2 * time.Second

	// foundLife is how long the finding of a wait answers later requests.
	foundLife = time.Second

	// retryAfter is the least time after which a refused caller comes back;
	// up to as much again is added.
	retryAfter = time.Second

	// smoothRequests is over how many requests their size is smoothed.
	smoothRequests = 16

	// firstParts is the part of the worst case, as a divisor, that a request is
	// expected to use before any has settled.
	firstParts = 2

	// sendableParts is the part of an unused allowance, as a divisor, that may
	// be sent to peers without a further write, and sendableRequests how many
	// of the largest requests it may pay at most. The exact closing of a node
	// can't return it.
	sendableParts    = 64
	sendableRequests = 1
)

// entry is one budget on this node.
type entry struct {
	// row is the acknowledged content of the share row.
	row ShareEntry

	// shard is the shard that holds it.
	shard int

	// What the node let go and received. settled and sent never fall; settled
	// + reserved + sent - received never exceeds limit().
	settled, reserved, sent, received waxwingwall.Tokens

	// moves counts the changes of what this node holds other than by use.
	moves uint64

	// flight and floor are what the write under way, and lost writes, may put
	// into force.
	flight, floor bound

	// partners are the peers with which tokens were exchanged, in order.
	partners []partner

	// paid is what an outside operator says was paid in.
	paid Paid

	demand demand
	pool   pool
	cycle  cycle
	found  finding

	// active is when a request last touched the entry. Until quiet nothing is
	// drawn in advance, because a peer lacked tokens; until hold, because others
	// draw at the same time.
	active, quiet, hold time.Time
}

// bound is what may come into force; its zero value is nothing.
type bound struct {
	set bool

	// allowance is the smallest, granted the largest.
	allowance, granted waxwingwall.Tokens
}

// join makes the bound cover o as well.
func (b *bound) join(o bound) {
	switch {
	case !o.set:
	case !b.set:
		*b = o
	default:
		b.allowance = min(b.allowance, o.allowance)
		b.granted = max(b.granted, o.granted)
	}
}

// partner is the exchange with one peer; all counters are cumulative.
type partner struct {
	node waxwingwall.Incarnation

	// sent is what was passed to the peer, acked what it said to have received.
	sent, acked waxwingwall.Tokens

	// received is the largest counter that came from the peer.
	received waxwingwall.Tokens

	// owed is what the peer gets once the share row allows it, until due: by
	// then the peer has asked again or needs it no more.
	owed waxwingwall.Tokens
	due  time.Time

	// round is the last round in which the peer asked.
	round uint64

	// resend is when an unacknowledged counter is sent again, and resent how
	// often it was.
	resend time.Time
	resent int

	// check is when the peer's share row is read, to see whether it drained
	// without receiving what was sent, or was closed.
	check time.Time

	// unlisted is set from a transfer until the peer was seen among the
	// holders, or closed. Until then only this node can name it.
	unlisted bool
}

// pool is the budget's row as last read or written.
type pool struct {
	// known is unset when the row may have changed unseen for certain: before
	// the first read and after a conflict.
	known   bool
	version int64
	row     BudgetRow

	// at is when it was read or written.
	at time.Time
}

// finding is what the last wait came to.
type finding struct {
	kind  Kind
	until time.Time

	// reason tells how the wait ended, in snake case.
	reason string

	// bound is more than every request that is refused can be paid with.
	bound waxwingwall.Tokens
}

// judge returns Exhausted or OutOfReach for a request that the finding
// answers, and Waiting for one that it doesn't.
func (f finding) judge(now time.Time, worst waxwingwall.Tokens) Kind {
	if !now.Before(f.until) {
		return Waiting
	}
	if worst <= f.bound {
		return Waiting
	}
	return f.kind
}

// demand follows how fast a budget is spent on this node.
type demand struct {
	pacing *pacing

	// rate is the spend in tokens a second, smoothed over rateWindow; since is
	// when it began to be followed.
	rate  float64
	at    time.Time
	since time.Time

	// worst is the largest reservation seen lately, used the smoothed amount
	// that a request settles to.
	worst waxwingwall.Tokens
	used  float64
}

// settle takes in the end of a request.
func (d *demand) settle(now time.Time, reserved, actual waxwingwall.Tokens) {
	if d.since.IsZero() {
		d.at = now
		d.since = now
	}
	d.decay(now)
	d.rate += float64(actual) / d.pacing.rateWindow.Seconds()
	if d.used == 0 {
		d.used = float64(actual)
	}
	d.used += (float64(actual) - d.used) / smoothRequests
	d.worst = max(reserved, d.worst-d.worst/smoothRequests)
}

// decay ages the rate to now.
func (d *demand) decay(now time.Time) {
	if d.at.IsZero() {
		return
	}
	if past := now.Sub(d.at); past > 0 {
		d.rate *= math.Exp(-past.Seconds() / d.pacing.rateWindow.Seconds())
		d.at = now
	}
}

// pace is the spend in tokens a second. The smoothed rate begins at zero; what
// it lacks for that is made up for, but for the first seconds.
func (d *demand) pace(now time.Time) float64 {
	age := max(now.Sub(d.since), d.pacing.firstPace)
	return d.rate / (1 - math.Exp(-age.Seconds()/d.pacing.rateWindow.Seconds()))
}

// few returns what the next few requests may use.
func (d *demand) few() waxwingwall.Tokens {
	used := d.used
	if d.since.IsZero() {
		used = float64(d.worst) / firstParts
	}
	return d.worst + waxwingwall.Tokens(float64(d.pacing.leadRequests)*used)
}

// lead returns how many tokens should be at hand for the time given.
func (d *demand) lead(now time.Time, lead time.Duration) waxwingwall.Tokens {
	d.decay(now)
	return max(d.few(), waxwingwall.Tokens(d.pace(now)*lead.Seconds()))
}

// net returns what was let go less what was received.
func (e *entry) net() waxwingwall.Tokens {
	return e.settled + e.reserved + e.sent - e.received
}

// limit returns what net may not exceed.
func (e *entry) limit() waxwingwall.Tokens {
	limit := e.row.Allowance
	if e.flight.set {
		limit = min(limit, e.flight.allowance)
	}
	if e.floor.set {
		limit = min(limit, e.floor.allowance)
	}
	return limit
}

// free returns what can be let go now.
func (e *entry) free() waxwingwall.Tokens {
	return e.limit() - e.net()
}

// spare returns what can be let go once the allowance is raised to the grant.
func (e *entry) spare() waxwingwall.Tokens {
	return e.row.Granted - e.net()
}

// owed returns what peers get once the share row allows it.
func (e *entry) owed() waxwingwall.Tokens {
	var sum waxwingwall.Tokens
	for i := range e.partners {
		sum += e.partners[i].owed
	}
	return sum
}

// idle reports whether no request touched the entry for long.
func (e *entry) idle(now time.Time) bool {
	if e.demand.pacing.even && e.active.IsZero() {
		return false
	}
	return !e.cycle.open && e.reserved == 0 && e.owed() == 0 && now.Sub(e.active) >= idleAfter
}

// disown drops what peers were to get.
func (e *entry) disown() {
	for i := range e.partners {
		e.partners[i].owed = 0
	}
}

// unacked returns what was sent and may still be on its way.
func (e *entry) unacked() waxwingwall.Tokens {
	var sum waxwingwall.Tokens
	for i := range e.partners {
		if e.partners[i].resent < resendLimit {
			sum += e.partners[i].sent - e.partners[i].acked
		}
	}
	return sum
}

// held returns all that might become free here.
func (e *entry) held() waxwingwall.Tokens {
	granted := max(e.row.Granted, e.flight.granted, e.floor.granted)
	return granted - e.net() + e.reserved + e.unacked()
}

// unlisted returns the peers that hold tokens of this node and may not be among
// the holders yet.
func (e *entry) unlisted() []waxwingwall.Incarnation {
	var nodes []waxwingwall.Incarnation
	for i := range e.partners {
		if e.partners[i].unlisted {
			nodes = append(nodes, e.partners[i].node)
		}
	}
	return nodes
}

// list takes in the holders of the pool as last read.
func (e *entry) list() {
	for i := range e.partners {
		p := &e.partners[i]
		p.unlisted = p.unlisted && !isHolder(e.pool.row.Holders, p.node)
	}
}

// receipts returns what was received, as it is kept in the share row.
func (e *entry) receipts() []Receipt {
	var receipts []Receipt
	for i := range e.partners {
		if e.partners[i].received > 0 {
			receipts = append(receipts, Receipt{
				Node:   e.partners[i].node,
				Tokens: e.partners[i].received,
			})
		}
	}
	return receipts
}

// partner returns the exchange with a peer, made when needed.
func (e *entry) partner(node waxwingwall.Incarnation) *partner {
	at := 0
	for at < len(e.partners) && compare(e.partners[at].node, node) < 0 {
		at++
	}
	if at == len(e.partners) || e.partners[at].node != node {
		e.partners = append(e.partners, partner{})
		copy(e.partners[at+1:], e.partners[at:])
		e.partners[at] = partner{
			node: node,
		}
	}
	return &e.partners[at]
}
