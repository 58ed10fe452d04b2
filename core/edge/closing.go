package edge

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
	"waxwingwall/core/member"
)

// closeTask closes the shares of a router that is gone.
type closeTask struct {
	closer *escrow.Closer
	done   bool
}

// closeDead begins to close what routers that are gone left behind.
func (e *Edge) closeDead() {
	if !e.nodes.loaded || e.nodes.unavailable || e.rejectsRequests() {
		return
	}
	peers := e.view.Peers(e.now)
	for _, i := range e.incarnations() {
		if i == e.Self || e.isClosing(i) || !e.isGone(i, peers) || !e.mayClose(i, peers) {
			continue
		}
		e.log("closing", "", field("node", i.String()))
		e.closers = append(e.closers, &closeTask{
			closer: escrow.NewCloser(
				i, nil,
				escrow.WithClosedShards(Shards),
				escrow.WithCloserSeed(e.seed),
				escrow.WithCloser(e.Self),
			),
		})
	}
}

// mayClose reports whether it is this router's turn to close the shares of one
// that is gone: those of earlier lives of its own VM at once, the others after
// the routers before it in an order that all agree on, and only while the row
// does not show that its router lives.
func (e *Edge) mayClose(dead waxwingwall.Incarnation, peers []member.Peer) bool {
	n := e.nodes.rows[dead]
	if n.downSince.IsZero() {
		n.downSince = e.now
	}
	if dead.VM == e.Self.VM {
		return true
	}
	ownHash := xxhash.Sum64String(dead.String() + string(e.Self.VM))
	earlier := 0
	for _, p := range peers {
		if p.Alive && xxhash.Sum64String(dead.String()+string(p.Incarnation.VM)) < ownHash {
			earlier++
		}
	}
	return e.now.Sub(n.downSince) >= closeDelay+time.Duration(earlier)*closeStagger && e.now.Sub(n.changedAt) >= touchValidity
}

// isGone reports whether an incarnation is believed to be gone. It need not be
// right: closing the shares of a living one costs it its shares, no more.
func (e *Edge) isGone(i waxwingwall.Incarnation, peers []member.Peer) bool {
	if i.VM == e.Self.VM {
		return i.Boot < e.Self.Boot
	}
	n := e.nodes.rows[i]
	for _, p := range peers {
		switch {
		case p.Incarnation.VM != i.VM:
		case p.Incarnation.Boot > i.Boot:
			return true
		case p.Incarnation.Boot == i.Boot:
			return !p.Alive
		}
	}
	return e.now.Sub(n.firstSeen) >= unheardTimeout
}

// isClosing reports whether the shares of an incarnation are being closed here.
func (e *Edge) isClosing(i waxwingwall.Incarnation) bool {
	return slices.ContainsFunc(e.closers, func(c *closeTask) bool { return c.closer.Dead == i })
}

// stepClosers steps the closers, and drops the rows of those that are done.
func (e *Edge) stepClosers(ev effect.Event) {
	var open []*closeTask
	for _, c := range e.closers {
		e.handleActions(c.closer.Step(e.now, ev))
		if c.closer.Done() && !c.done {
			c.done = true
			e.log("closed", "", field("node", c.closer.Dead.String()), field("returned", c.closer.Returned))
			e.deleteNode(c.closer.Dead)
		}
		if _, listed := e.nodes.rows[c.closer.Dead]; listed || !c.done {
			open = append(open, c)
		}
	}
	e.closers = open
}

// deleteNode drops the row of a router that is gone. Another may have done so.
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
