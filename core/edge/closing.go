package edge

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
	"waxwingwall/core/member"
)

// markExpiry is the interval at which the marks of routers that are gone are dropped.
const markExpiry = 10 * time.Second

// closeTask closes the shares of a dead incarnation. done is set once they are
// closed, deleted once the deletion of its row was sent.
type closeTask struct {
	closer        *escrow.Closer
	done, deleted bool
}

// closeDead starts to close the shares of dead incarnations.
func (e *Edge) closeDead() {
	if !e.nodes.loaded || e.nodes.unavailable || e.nodes.stage != notRestoring || e.refusesRequests() {
		return
	}
	peers := e.view.Peers(e.now)
	for _, i := range e.perhapsDead(peers) {
		if i == e.Self || e.isClosing(i) || !e.isDead(i, peers) || !e.mayClose(i, peers) {
			continue
		}
		e.log("closing", "", field("node", i.String()))
		opts := []escrow.CloserOption{
			escrow.WithCloserShards(Shards),
			escrow.WithCloserSeed(e.seed),
			escrow.WithClosedBy(e.Self),
			escrow.WithKeeper(&e.keeper),
		}
		if i.VM == e.Self.VM || e.isReplaced(i, peers) {
			opts = append(opts, escrow.WithEnded())
			opts = append(opts, e.linesInTable(i)...)
		}
		e.closers = append(e.closers, &closeTask{
			closer: escrow.NewCloser(i, nil, opts...),
		})
	}
}

// perhapsDead returns the incarnations that are not known to be live. The others have not
// changed since the member view and the rows did.
func (e *Edge) perhapsDead(peers []member.Peer) []waxwingwall.Incarnation {
	t := &e.nodes
	if !t.perhapsDeadStale {
		return t.perhapsDead
	}
	t.perhapsDeadStale = false
	t.perhapsDead = nil
	for _, i := range e.incarnations() {
		p, ok := findPeer(peers, i.VM)
		if !ok || p.Incarnation != i || !p.Alive || t.newest[i.VM] > i.Boot {
			t.perhapsDead = append(t.perhapsDead, i)
		}
	}
	return t.perhapsDead
}

// mayClose reports whether this router may now close the shares of a dead
// incarnation. It closes those of earlier incarnations of its own VM at once.
// For others, each router waits for its turn in an order that is the same at
// all routers, and until the incarnation's row has not changed for touchTTL,
// because a change shows that the incarnation is live. One that was not replaced
// may only be silent, so it is closed much later.
func (e *Edge) mayClose(dead waxwingwall.Incarnation, peers []member.Peer) bool {
	n := e.nodes.rows[dead]
	if n.deadSince.IsZero() {
		n.deadSince = e.now
	}
	if dead.VM == e.Self.VM {
		return true
	}
	delay, quiet := e.closeDelay(dead, peers)
	if e.now.Sub(n.deadSince) < delay || e.now.Sub(n.changedAt) < quiet {
		return false
	}
	if n.turnEpoch != e.nodes.peersEpoch {
		n.turnEpoch = e.nodes.peersEpoch
		n.turn = e.closeTurn(dead, peers)
	}
	return e.now.Sub(n.deadSince) >= delay+time.Duration(n.turn)*closeStagger
}

// closeDelay returns how long an incarnation of another VM must have been dead, and its row
// unchanged, before its shares are closed.
func (e *Edge) closeDelay(dead waxwingwall.Incarnation, peers []member.Peer) (delay, quiet time.Duration) {
	switch {
	case !e.isReplaced(dead, peers):
		return silentCloseDelay, e.touchTTL()
	case e.births.first.Known() && !e.endedBy(dead).Known():
		delay = unprovenCloseDelay
	default:
		delay = replacedCloseDelay
	}
	return delay, time.Duration(touchTTLIntervals * float64(minTouchInterval))
}

// closedIn returns when the shares of some routers that are silent are expected to be closed, by
// the first that may do so.
func (e *Edge) closedIn(silent []waxwingwall.Incarnation) time.Duration {
	left := defaultRetryAfter
	peers := e.view.Peers(e.now)
	for _, i := range silent {
		n := e.nodes.rows[i]
		if n == nil || i.VM == e.Self.VM {
			continue
		}
		delay, quiet := e.closeDelay(i, peers)
		since := n.deadSince
		if since.IsZero() {
			since = e.now
		}
		left = max(left, delay-e.now.Sub(since), quiet-e.now.Sub(n.changedAt))
	}
	return left + closeTime
}

// closeTurn returns how many live routers come before this one in the order in which they
// may close a dead incarnation.
func (e *Edge) closeTurn(dead waxwingwall.Incarnation, peers []member.Peer) int {
	name := dead.String()
	ownHash := xxhash.Sum64String(name + string(e.Self.VM))
	earlier := 0
	for _, p := range peers {
		if p.Alive && xxhash.Sum64String(name+string(p.Incarnation.VM)) < ownHash {
			earlier++
		}
	}
	return earlier
}

// isReplaced reports whether a newer incarnation of the same VM has started.
func (e *Edge) isReplaced(i waxwingwall.Incarnation, peers []member.Peer) bool {
	if e.nodes.newest[i.VM] > i.Boot {
		return true
	}
	p, ok := findPeer(peers, i.VM)
	return ok && p.Incarnation.Boot > i.Boot
}

// findPeer returns the peer of a VM; peers are sorted by VM.
func findPeer(peers []member.Peer, vm waxwingwall.VM) (member.Peer, bool) {
	at, ok := slices.BinarySearchFunc(peers, vm, func(p member.Peer, vm waxwingwall.VM) int {
		return strings.Compare(string(p.Incarnation.VM), string(vm))
	})
	if !ok {
		return member.Peer{}, false
	}
	return peers[at], true
}

// isDead reports whether an incarnation appears to be dead, or was replaced by
// a newer one of its VM. A false positive is tolerable: closing the shares of a
// live incarnation only costs it its shares.
func (e *Edge) isDead(i waxwingwall.Incarnation, peers []member.Peer) bool {
	if i.VM == e.Self.VM {
		return i.Boot < e.Self.Boot
	}
	if e.isReplaced(i, peers) {
		return true
	}
	if p, ok := findPeer(peers, i.VM); ok && p.Incarnation == i {
		return !p.Alive
	}
	return e.now.Sub(e.nodes.rows[i].firstSeen) >= firstHeartbeatTimeout
}

// isClosing reports whether this router is closing the shares of an
// incarnation.
func (e *Edge) isClosing(i waxwingwall.Incarnation) bool {
	return slices.ContainsFunc(e.closers, func(c *closeTask) bool { return c.closer.Dead == i })
}

// stepClosers steps the closers and deletes the rows of the incarnations whose
// shares are closed.
func (e *Edge) stepClosers(ev effect.Event) {
	var open []*closeTask
	for _, c := range e.closers {
		e.handleActions(c.closer.Step(e.now, ev))
		if c.closer.Done() && !c.done {
			c.done = true
			for _, share := range c.closer.Shares {
				e.log("share_closed", "", field("node", c.closer.Dead.String()), field("budget", share.Budget),
					field("returned", share.Returned), field("retained", share.Retained),
					field("lost", share.Lost), field("unmarked", share.Unmarked()), field("proof", share.Proof()),
					field("unproven", share.Unproven), field("age", share.Age))
			}
			e.log("closed", "", field("node", c.closer.Dead.String()), field("returned", c.closer.Returned))
		}
		if c.done && !c.deleted && e.mayDelete(c.closer.Dead) {
			c.deleted = true
			e.deleteNode(c.closer.Dead)
		}
		if _, listed := e.nodes.rows[c.closer.Dead]; listed || !c.done {
			open = append(open, c)
		}
	}
	e.closers = open
}

// keepMarks handles a message for the keeper of marks.
func (e *Edge) keepMarks(ev effect.Received) {
	actions, refused := e.keeper.Receive(e.now, ev)
	if refused > 0 {
		e.log("message_rejected", "", field("peer", waxwingwall.Excerpt(ev.From.String())), field("message", "marks"), field("refused", refused))
	}
	for _, a := range actions {
		e.emit(a)
	}
}

// expireMarks forgets the marks of routers that are gone, once in markExpiry.
func (e *Edge) expireMarks() {
	if e.now.Before(e.nextMarkExpiry) {
		return
	}
	e.nextMarkExpiry = e.now.Add(markExpiry)
	e.keeper.Expire(e.now, func(i waxwingwall.Incarnation) bool {
		_, open := e.nodes.rows[i]
		return open
	})
}

// deleteNode deletes the row of a closed incarnation. Another router may have
// deleted it already.
func (e *Edge) deleteNode(i waxwingwall.Incarnation) {
	e.callSeq++
	e.emit(effect.Transact{
		ID: effect.ID{
			Part: Part,
			N:    e.callSeq,
		},
		Writes: []waxwingwall.Write{{
			Key:    NodeKey(i),
			Expect: waxwingwall.AnyVersion,
			Delete: true,
		}},
	})
}
