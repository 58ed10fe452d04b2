package escrow

import (
	"slices"
	"time"

	"waxwingwall"
)

const (
	// slackBuffers is the number of buffers (see demand.buffer) by which an
	// allowance may exceed the committed tokens before it is lowered.
	slackBuffers = 4

	// minDrawDivisor is the divisor of a buffer that gives the smallest draw in
	// advance.
	minDrawDivisor = 4

	// idleTimeout is the time after which an unused share is returned.
	idleTimeout = time.Hour
)

// plan returns the changes that the next write of a shard makes.
func (b *Book) plan(s *shard) []change {
	var changes []change
	budgets := max(maxBudgetWrites>>min(s.failures, 8), 1)
	for n := range s.entries {
		e := s.entries[(s.nextEntry+n)%len(s.entries)]
		c, ok := b.planEntry(e)
		if !ok {
			continue
		}
		if c.writesPool {
			if budgets == 0 {
				s.nextEntry = (s.nextEntry + n) % len(s.entries)
				break
			}
			budgets--
		}
		changes = append(changes, c)
	}
	return changes
}

// planEntry returns the change that an entry needs now.
func (b *Book) planEntry(e *entry) (change, bool) {
	if b.frozen {
		return change{}, false
	}
	if b.draining || e.idle(b.now) {
		return b.planReturn(e)
	}
	var need waxwingwall.Tokens
	if e.wait.open {
		need = e.wait.need
	}
	required := e.net() + e.pending() + need
	buffer := e.demand.buffer(b.now, b.buffer)
	var draw, giveBack waxwingwall.Tokens
	if !b.pacing.evenShares {
		draw = e.draw(b.now, b.self, required, buffer)
	} else {
		draw = b.drawEven(e, required)
		if draw == 0 && e.pool.known && !b.now.Before(e.returnAfter) {
			giveBack = b.surplus(e)
		}
	}
	next := e.row
	next.Granted += draw - giveBack
	next.Receipts = e.receipts()
	next.Allowance = e.allowance(next.Granted, required, buffer)
	sendable := min(max(next.Allowance-required, 0)/sendableDivisor, sendableRequests*e.demand.worst)
	if b.pacing.evenShares {
		next.Allowance = next.Granted
		sendable = max(next.Allowance-e.net()-e.pending(), 0)
	}
	next.Sendable = max(next.Sendable, e.sent+e.pending()+sendable)
	register := draw == 0 && (b.needsRegistration(e) || e.pool.known && b.needsDeregistration(e))
	if !register && giveBack == 0 && !e.worthWriting(next, buffer, draw) {
		return change{}, false
	}
	c := change{
		entry: e,
		row:   next,
	}
	if draw > 0 || giveBack > 0 || register {
		c.writesPool = true
		c.pool = e.pool.row
		c.pool.Granted += draw
		c.pool.Returned += giveBack
		c.pool.Holders = b.nextHolders(e, next)
	}
	return c, true
}

// nextHolders returns the holders after a change of an entry: with the peers for which
// this node draws, but with this node only if it holds tokens itself. A node that only
// passes tokens on would make the shares of all holders smaller.
func (b *Book) nextHolders(e *entry, next ShareEntry) []waxwingwall.Incarnation {
	holders := b.holders(e.pool.row)
	for i := range e.peers {
		if p := &e.peers[i]; p.drawing && p.pending > 0 {
			holders = withHolder(holders, p.node)
		}
	}
	unused := next.Granted - e.net() - e.drawing()
	if unused == 0 && e.reserved == 0 && !e.wait.open {
		return withoutHolder(holders, b.self)
	}
	return withHolder(holders, b.self)
}

// needsDeregistration reports whether this node is still among the holders, though it
// has passed on or used up its share of a budget that it should hold nothing of.
func (b *Book) needsDeregistration(e *entry) bool {
	return b.pacing.evenShares && b.unused(e) && e.spare() == 0 && e.reserved == 0 && e.pending() == 0 && !e.wait.open &&
		isHolder(e.pool.row.Holders, b.self)
}

// needsRegistration reports whether this node must be added to the holders: it
// holds tokens of peers or is about to ask for them.
func (b *Book) needsRegistration(e *entry) bool {
	if !e.pool.known || !e.exists() || isHolder(e.pool.row.Holders, b.self) {
		return false
	}
	return e.wait.register || e.received > 0 && e.spare() > 0
}

// draw returns how much to draw from the pool. Waiting requests come first.
// What is drawn beyond that shrinks with the pool and with the number of
// holders, so that little is held elsewhere when the pool runs out.
func (e *entry) draw(now time.Time, self waxwingwall.Incarnation, required, buffer waxwingwall.Tokens) waxwingwall.Tokens {
	if !e.pool.known || !e.exists() {
		return 0
	}
	pool := e.pool.row.Pool()
	missing := max(required-e.row.Granted, 0)
	if missing > pool {
		if e.wait.open && e.spare() < e.wait.smallest && e.spare()+pool >= e.wait.smallest {
			return pool
		}
		return 0
	}
	holders := waxwingwall.Tokens(len(withHolder(e.pool.row.Holders, self)))
	extra := min(required+e.demand.pacing.bufferFactor*buffer-e.row.Granted-missing, (pool-missing)/(2*holders))
	extra = max(extra, 0)
	if now.Before(e.quietUntil) || missing == 0 && now.Before(e.holdUntil) {
		return missing
	}
	if missing == 0 && (e.spare() >= buffer || extra < max(buffer/minDrawDivisor, e.demand.requestBuffer()/2)) {
		return 0
	}
	return missing + extra
}

// drawEven returns how much to draw from the pool with even shares. Waiting
// requests come first.
func (b *Book) drawEven(e *entry, required waxwingwall.Tokens) waxwingwall.Tokens {
	if !e.pool.known || !e.exists() {
		return 0
	}
	pool := max(e.pool.row.Pool(), 0)
	missing := max(required-e.row.Granted, 0)
	if missing > pool {
		if e.wait.open && e.spare() < e.wait.smallest && e.spare()+pool >= e.wait.smallest {
			return pool
		}
		return 0
	}
	if missing == 0 && (b.now.Before(e.quietUntil) || b.now.Before(e.holdUntil) || !b.belowTarget(e)) {
		return 0
	}
	if !e.wait.open && e.drawing() > 0 {
		return missing
	}
	extra := max(b.target(e)-max(e.row.Granted+missing-required, 0), 0)
	return missing + min(extra, (pool-missing)/2)
}

// allowance returns the allowance that goes with a grant.
func (e *entry) allowance(granted, required, buffer waxwingwall.Tokens) waxwingwall.Tokens {
	want := min(granted, required+e.demand.pacing.bufferFactor*buffer)
	if want < e.row.Allowance && e.row.Allowance-required <= slackBuffers*buffer {
		return min(granted, e.row.Allowance)
	}
	return want
}

// worthWriting reports whether a change justifies a write.
func (e *entry) worthWriting(next ShareEntry, buffer, draw waxwingwall.Tokens) bool {
	w := &e.wait
	switch {
	case draw > 0:
		return true
	case e.pending() > 0 && (next.Allowance > e.row.Allowance || next.Sendable > e.row.Sendable):
		return true
	case w.open && e.loose() < w.smallest && e.spare() >= w.smallest:
		return true
	case next.Allowance > e.row.Allowance:
		return e.row.Allowance-e.net() < buffer
	}
	return next.Allowance < e.row.Allowance
}

// planReturn returns the change that returns everything unused and records all
// that was received in the row.
func (b *Book) planReturn(e *entry) (change, bool) {
	spare := e.spare()
	recorded := e.row.Received() == e.received
	if e.reserved != 0 || spare == 0 && recorded || spare != 0 && !e.pool.known {
		return change{}, false
	}
	next := e.row
	next.Granted = e.net()
	next.Allowance = e.net()
	next.Receipts = e.receipts()
	c := change{
		entry: e,
		row:   next,
	}
	if spare != 0 {
		c.writesPool = true
		c.pool = e.pool.row
		c.pool.Returned += spare
		c.pool.Holders = withoutHolder(c.pool.Holders, b.self)
	}
	return c, true
}

// isHolder reports whether a node is among the holders.
func isHolder(holders []waxwingwall.Incarnation, node waxwingwall.Incarnation) bool {
	_, found := slices.BinarySearchFunc(holders, node, compare)
	return found
}

// withHolder returns the holders with a node inserted in order.
func withHolder(holders []waxwingwall.Incarnation, node waxwingwall.Incarnation) []waxwingwall.Incarnation {
	at, found := slices.BinarySearchFunc(holders, node, compare)
	if found {
		return holders
	}
	return slices.Insert(slices.Clone(holders), at, node)
}

// withoutHolder returns the holders without a node.
func withoutHolder(holders []waxwingwall.Incarnation, node waxwingwall.Incarnation) []waxwingwall.Incarnation {
	at, found := slices.BinarySearchFunc(holders, node, compare)
	if !found {
		return holders
	}
	return slices.Delete(slices.Clone(holders), at, at+1)
}
