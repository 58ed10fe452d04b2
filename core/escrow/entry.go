package escrow

import (
	"math"
	"time"

	"waxwingwall"
)

const (
	// waitTimeout is the longest time that a request waits for tokens.
	waitTimeout = 2 * time.Second

	// verdictTTL is how long the verdict of a wait is cached for later
	// requests.
	verdictTTL = time.Second

	// minRetryAfter is the minimum retry delay of a refused caller; up to as
	// much jitter is added.
	minRetryAfter = time.Second

	// smoothingRequests is the number of requests over which their size is
	// smoothed.
	smoothingRequests = 16

	// initialUseDivisor is the divisor of the worst case that gives the
	// expected use of a request before any has settled.
	initialUseDivisor = 2

	// sendableDivisor is the divisor of the unused allowance that gives the
	// tokens that may be sent to peers without another write; they pay at most
	// sendableRequests of the largest requests. Closing a node by its log can't
	// return these tokens.
	sendableDivisor  = 64
	sendableRequests = 1
)

// entry is the state of one budget on this node.
type entry struct {
	// row is the acknowledged content of the share row.
	row ShareEntry

	// shard is the index of the shard that holds the entry.
	shard int

	// The tokens that the node committed and received. settled never falls, and
	// sent falls only by reclaim; settled + reserved + sent - received never
	// exceeds limit().
	settled, reserved, sent, received waxwingwall.Tokens

	// lostGrant is what was drawn, less what was returned, by writes that the table lost
	// when it came back from a copy.
	lostGrant waxwingwall.Tokens

	// assumedReturn is the part of lostGrant that was returned by writes without an
	// answer.
	assumedReturn waxwingwall.Tokens

	// moves counts the changes of the node's holding other than by use.
	moves uint64

	// inFlight and lostWrites bound what may come into force by the write in
	// flight and by the writes with an unknown result.
	inFlight, lostWrites bound

	// stored are the lines of the rows that may be in force, storedLimit bounds net by them as of
	// the last limitStored, and newestMark is the mark of the row last written.
	stored                  []storedLine
	storedLimit, newestMark waxwingwall.Tokens

	// peers are the peers with which tokens were exchanged, in order.
	peers []peer

	// funding is the last payment total set by SetFunding.
	funding Funding

	demand demand
	pool   pool
	wait   wait
	cached cachedVerdict
	marks  marks

	// lastActive is when the entry was last used by a request or received
	// tokens. Before quietUntil and before holdUntil, the entry draws only if
	// tokens are missing. quietUntil is set when a peer asks for tokens;
	// holdUntil is set after a draw, a return or a conflict, since other nodes
	// may be drawing too.
	lastActive, quietUntil, holdUntil time.Time

	// returnAfter is like holdUntil for returns, and sooner after a conflict: what is held
	// near the end of a budget is missing elsewhere.
	returnAfter time.Time
}

// bound covers the writes that may come into force; the zero value covers none.
type bound struct {
	set bool

	// allowance is the smallest and granted the largest value of these writes.
	allowance, granted waxwingwall.Tokens

	// kept is set if marks bound the entry by any of these writes.
	kept bool
}

// merge extends the bound to cover o.
func (b *bound) merge(o bound) {
	switch {
	case !o.set:
	case !b.set:
		*b = o
	default:
		b.allowance = min(b.allowance, o.allowance)
		b.granted = max(b.granted, o.granted)
		b.kept = b.kept || o.kept
	}
}

// peer is the state of the exchange with one peer; all token counters are
// cumulative, except pending.
type peer struct {
	node waxwingwall.Incarnation

	// sent is what was sent to the peer, acked what the peer acknowledged.
	sent, acked waxwingwall.Tokens

	// received is the largest counter received from the peer.
	received waxwingwall.Tokens

	// pending is the number of tokens to be sent to the peer once the share row
	// allows it. It expires at pendingUntil: by then the peer has asked again or
	// no longer needs it.
	pending      waxwingwall.Tokens
	pendingUntil time.Time

	// drawing is set if tokens for pending may be drawn from the pool.
	drawing bool

	// lastRound is the last round in which the peer asked.
	lastRound uint64

	// nextResend is when an unacknowledged counter is sent again and resends
	// how often it was.
	nextResend time.Time
	resends    int

	// nextCheck is when the peer's share row is read next, to find out whether
	// the peer drained without receiving what was sent, or was closed.
	nextCheck time.Time

	// unlisted is set from a transfer until the peer is seen among the holders
	// or closed. Until then only this node knows of it.
	unlisted bool
}

// pool is the budget's row as last read or written.
type pool struct {
	// known is false if the row may be out of date: before the first read, and
	// after a conflict or a lost write.
	known   bool
	version int64
	row     BudgetRow

	// at is when the row was read or written.
	at time.Time

	// openHolders is the result of Book.holderCount as of Book.openEpoch; zero if it is not
	// known.
	openHolders, openEpoch int
}

// cachedVerdict is the verdict of the last wait.
type cachedVerdict struct {
	kind   Kind
	expiry time.Time

	// reason states in snake case how the wait ended.
	reason string

	// affordable is the largest request to which the verdict does not apply.
	affordable waxwingwall.Tokens
}

// lookup returns Exhausted or OutOfReach if the cached verdict applies to a
// request, and Waiting if not.
func (v cachedVerdict) lookup(now time.Time, worst waxwingwall.Tokens) Kind {
	if !now.Before(v.expiry) {
		return Waiting
	}
	if worst <= v.affordable {
		return Waiting
	}
	return v.kind
}

// demand tracks the spend rate of a budget on this node.
type demand struct {
	pacing *pacing

	// rate is the spend in tokens a second, smoothed over rateWindow; start is
	// when tracking began.
	rate      float64
	updatedAt time.Time
	start     time.Time

	// worst is the largest recent reservation, typicalUse the smoothed number
	// of tokens that a request settles to.
	worst      waxwingwall.Tokens
	typicalUse float64
}

// observe records a settled request.
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

// spendRate returns the spend in tokens a second. The smoothed rate starts at
// zero; it is corrected for the time tracked so far, taken as at least
// minRateWindow.
func (d *demand) spendRate(now time.Time) float64 {
	age := max(now.Sub(d.start), d.pacing.minRateWindow)
	return d.rate / (1 - math.Exp(-age.Seconds()/d.pacing.rateWindow.Seconds()))
}

// requestBuffer returns the expected use of the next bufferRequests requests
// plus one worst case.
func (d *demand) requestBuffer() waxwingwall.Tokens {
	typicalUse := d.typicalUse
	if d.start.IsZero() {
		typicalUse = float64(d.worst) / initialUseDivisor
	}
	return d.worst + waxwingwall.Tokens(float64(d.pacing.bufferRequests)*typicalUse)
}

// buffer returns the number of tokens to keep available for the given time.
func (d *demand) buffer(now time.Time, buffer time.Duration) waxwingwall.Tokens {
	d.decay(now)
	return max(d.requestBuffer(), waxwingwall.Tokens(d.spendRate(now)*buffer.Seconds()))
}

// net returns what was committed less what was received.
func (e *entry) net() waxwingwall.Tokens {
	return e.settled + e.reserved + e.sent - e.received
}

// limit returns the upper bound of net.
func (e *entry) limit() waxwingwall.Tokens {
	return min(e.rowLimit(), e.marks.limit, e.storedLimit)
}

// rowLimit returns the upper bound of net by the share row alone.
func (e *entry) rowLimit() waxwingwall.Tokens {
	limit := e.row.Allowance
	if e.inFlight.set {
		limit = min(limit, e.inFlight.allowance)
	}
	if e.lostWrites.set {
		limit = min(limit, e.lostWrites.allowance)
	}
	return limit
}

// free returns what can be committed now.
func (e *entry) free() waxwingwall.Tokens {
	return e.limit() - e.net()
}

// loose returns what can be committed once the keepers have acknowledged it.
func (e *entry) loose() waxwingwall.Tokens {
	return min(e.rowLimit(), e.storedLimit) - e.net()
}

// needed returns what is committed and asked for.
func (e *entry) needed() waxwingwall.Tokens {
	needed := e.net() + e.pending()
	if e.wait.open {
		needed += e.wait.need
	}
	return needed
}

// spare returns what can be committed once the allowance is raised to the
// grant.
func (e *entry) spare() waxwingwall.Tokens {
	return e.row.Granted - e.net()
}

// pending returns the sum of the pending transfers to peers.
func (e *entry) pending() waxwingwall.Tokens {
	var sum waxwingwall.Tokens
	for i := range e.peers {
		sum += e.peers[i].pending
	}
	return sum
}

// idle reports whether the entry has no wait, reservation or pending transfer
// and was not used for idleTimeout. With even shares, an entry that was never
// used is not idle.
func (e *entry) idle(now time.Time) bool {
	if e.demand.pacing.evenShares && e.lastActive.IsZero() {
		return false
	}
	return !e.wait.open && e.reserved == 0 && e.pending() == 0 && now.Sub(e.lastActive) >= idleTimeout
}

// dropPending cancels the pending transfers to peers.
func (e *entry) dropPending() {
	for i := range e.peers {
		e.peers[i].pending = 0
	}
}

// unacked returns what was sent and may still be in flight.
func (e *entry) unacked() waxwingwall.Tokens {
	var sum waxwingwall.Tokens
	for i := range e.peers {
		if e.peers[i].resends < maxResends {
			sum += e.peers[i].sent - e.peers[i].acked
		}
	}
	return sum
}

// held returns all tokens that may become free on this node.
func (e *entry) held() waxwingwall.Tokens {
	granted := max(e.row.Granted, e.inFlight.granted, e.lostWrites.granted)
	return granted - e.net() + e.reserved + e.unacked()
}

// unlisted returns the peers that received tokens from this node and may not be
// among the holders yet.
func (e *entry) unlisted() []waxwingwall.Incarnation {
	var nodes []waxwingwall.Incarnation
	for i := range e.peers {
		if e.peers[i].unlisted {
			nodes = append(nodes, e.peers[i].node)
		}
	}
	return nodes
}

// clearUnlisted clears the unlisted mark of the peers that are among the
// holders last read.
func (e *entry) clearUnlisted() {
	for i := range e.peers {
		p := &e.peers[i]
		p.unlisted = p.unlisted && !isHolder(e.pool.row.Holders, p.node)
	}
}

// receipts returns what was received, in the form kept in the share row.
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

// peer returns the state of a peer and creates it if needed.
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
