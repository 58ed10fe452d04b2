package escrow

import (
	"math"
	"time"

	"waxwingwall"
)

const (
	// patience is how long a request waits at most.
	waitTimeout = 2 * time.Second

	// foundLife is how long the finding of a wait answers later requests.
	verdictTTL = time.Second

	// retryAfter is the least time after which a refused caller comes back;
	// up to as much again is added.
	minRetryAfter = time.Second

	// smoothRequests is over how many requests their size is smoothed.
	smoothingRequests = 16

	// firstParts is the part of the worst case, as a divisor, that a request is
	// expected to use before any has settled.
	initialUseDivisor = 2

	// sendableParts is the part of an unused allowance, as a divisor, that may
	// be sent to peers without a further write, and sendableRequests how many
	// of the largest requests it may pay at most. The exact closing of a node
	// can't return it.
	sendableDivisor  = 64
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
	inFlight, lostWrites bound

	// partners are the peers with which tokens were exchanged, in order.
	peers []peer

	// paid is what an outside operator says was paid in.
	funding Funding

	demand demand
	pool   pool
	wait   wait
	cached cachedVerdict

	// active is when a request last touched the entry. Until quiet nothing is
	// drawn in advance, because a peer lacked tokens; until hold, because others
	// draw at the same time.
	lastActive, quietUntil, holdUntil time.Time
}

// bound is what may come into force; its zero value is nothing.
type bound struct {
	set bool

	// allowance is the smallest, granted the largest.
	allowance, granted waxwingwall.Tokens
}

// join makes the bound cover o as well.
func (b *bound) merge(o bound) {
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
type peer struct {
	node waxwingwall.Incarnation

	// sent is what was passed to the peer, acked what it said to have received.
	sent, acked waxwingwall.Tokens

	// received is the largest counter that came from the peer.
	received waxwingwall.Tokens

	// owed is what the peer gets once the share row allows it, until due: by
	// then the peer has asked again or needs it no more.
	owed      waxwingwall.Tokens
	owedUntil time.Time

	// round is the last round in which the peer asked.
	lastRound uint64

	// resend is when an unacknowledged counter is sent again, and resent how
	// often it was.
	nextResend time.Time
	resends    int

	// check is when the peer's share row is read, to see whether it drained
	// without receiving what was sent, or was closed.
	nextCheck time.Time

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
type cachedVerdict struct {
	kind   Kind
	expiry time.Time

	// reason tells how the wait ended, in snake case.
	reason string

	// bound is more than every request that is refused can be paid with.
	affordable waxwingwall.Tokens
}

// judge returns Exhausted or OutOfReach for a request that the finding
// answers, and Waiting for one that it doesn't.
func (v cachedVerdict) lookup(now time.Time, worst waxwingwall.Tokens) Kind {
	if !now.Before(v.expiry) {
		return Waiting
	}
	if worst <= v.affordable {
		return Waiting
	}
	return v.kind
}

// demand follows how fast a budget is spent on this node.
type demand struct {
	pacing *pacing

	// rate is the spend in tokens a second, smoothed over rateWindow; since is
	// when it began to be followed.
	rate      float64
	updatedAt time.Time
	start     time.Time

	// worst is the largest reservation seen lately, used the smoothed amount
	// that a request settles to.
	worst      waxwingwall.Tokens
	typicalUse float64
}

// settle takes in the end of a request.
func (d *demand) observe(now time.Time, reserved, actual waxwingwall.Tokens) {
	if d.start.IsZero() {
		d.updatedAt = now
		d.start = now
	}
	d.decay(now)
	d.rate += float64(actual) / d.pacing.rateWindow.Seconds()
	if d.typicalUse == 0 {
		d.typicalUse = float64(actual)
	}
	d.typicalUse += (float64(actual) - d.typicalUse) / smoothingRequests
	d.worst = max(reserved, d.worst-d.worst/smoothingRequests)
}

// decay ages the rate to now.
func (d *demand) decay(now time.Time) {
	if d.updatedAt.IsZero() {
		return
	}
	if past := now.Sub(d.updatedAt); past > 0 {
		d.rate *= math.Exp(-past.Seconds() / d.pacing.rateWindow.Seconds())
		d.updatedAt = now
	}
}

// pace is the spend in tokens a second. The smoothed rate begins at zero; what
// it lacks for that is made up for, but for the first seconds.
func (d *demand) spendRate(now time.Time) float64 {
	age := max(now.Sub(d.start), d.pacing.minRateWindow)
	return d.rate / (1 - math.Exp(-age.Seconds()/d.pacing.rateWindow.Seconds()))
}

// few returns what the next few requests may use.
func (d *demand) requestBuffer() waxwingwall.Tokens {
	typicalUse := d.typicalUse
	if d.start.IsZero() {
		typicalUse = float64(d.worst) / initialUseDivisor
	}
	return d.worst + waxwingwall.Tokens(float64(d.pacing.bufferRequests)*typicalUse)
}

// lead returns how many tokens should be at hand for the time given.
func (d *demand) buffer(now time.Time, buffer time.Duration) waxwingwall.Tokens {
	d.decay(now)
	return max(d.requestBuffer(), waxwingwall.Tokens(d.spendRate(now)*buffer.Seconds()))
}

// net returns what was let go less what was received.
func (e *entry) net() waxwingwall.Tokens {
	return e.settled + e.reserved + e.sent - e.received
}

// limit returns what net may not exceed.
func (e *entry) limit() waxwingwall.Tokens {
	limit := e.row.Allowance
	if e.inFlight.set {
		limit = min(limit, e.inFlight.allowance)
	}
	if e.lostWrites.set {
		limit = min(limit, e.lostWrites.allowance)
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
	for i := range e.peers {
		sum += e.peers[i].owed
	}
	return sum
}

// idle reports whether no request touched the entry for long.
func (e *entry) idle(now time.Time) bool {
	if e.demand.pacing.evenShares && e.lastActive.IsZero() {
		return false
	}
	return !e.wait.open && e.reserved == 0 && e.owed() == 0 && now.Sub(e.lastActive) >= idleTimeout
}

// disown drops what peers were to get.
func (e *entry) dropOwed() {
	for i := range e.peers {
		e.peers[i].owed = 0
	}
}

// unacked returns what was sent and may still be on its way.
func (e *entry) unacked() waxwingwall.Tokens {
	var sum waxwingwall.Tokens
	for i := range e.peers {
		if e.peers[i].resends < maxResends {
			sum += e.peers[i].sent - e.peers[i].acked
		}
	}
	return sum
}

// held returns all that might become free here.
func (e *entry) held() waxwingwall.Tokens {
	granted := max(e.row.Granted, e.inFlight.granted, e.lostWrites.granted)
	return granted - e.net() + e.reserved + e.unacked()
}

// unlisted returns the peers that hold tokens of this node and may not be among
// the holders yet.
func (e *entry) unlisted() []waxwingwall.Incarnation {
	var nodes []waxwingwall.Incarnation
	for i := range e.peers {
		if e.peers[i].unlisted {
			nodes = append(nodes, e.peers[i].node)
		}
	}
	return nodes
}

// list takes in the holders of the pool as last read.
func (e *entry) clearUnlisted() {
	for i := range e.peers {
		p := &e.peers[i]
		p.unlisted = p.unlisted && !isHolder(e.pool.row.Holders, p.node)
	}
}

// receipts returns what was received, as it is kept in the share row.
func (e *entry) receipts() []Receipt {
	var receipts []Receipt
	for i := range e.peers {
		if e.peers[i].received > 0 {
			receipts = append(receipts, Receipt{
				Node:   e.peers[i].node,
				Tokens: e.peers[i].received,
			})
		}
	}
	return receipts
}

// partner returns the exchange with a peer, made when needed.
func (e *entry) peer(node waxwingwall.Incarnation) *peer {
	at := 0
	for at < len(e.peers) && compare(e.peers[at].node, node) < 0 {
		at++
	}
	if at == len(e.peers) || e.peers[at].node != node {
		e.peers = append(e.peers, peer{})
		copy(e.peers[at+1:], e.peers[at:])
		e.peers[at] = peer{
			node: node,
		}
	}
	return &e.peers[at]
}
