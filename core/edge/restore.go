package edge

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
)

// After the store came back from a copy, the pools of budgets seem to hold what routers
// have drawn since the copy. Draws stop until that is corrected, in stages: each router
// rewrites its own rows, then those of routers that have died, by their notices of draws.
// Between the stages it waits for the others, whose rows in the store show their stage.

// restoreStage is a stage of the work after the store came back from a copy.
type restoreStage int

const (
	// notRestoring means that budgets may be drawn from.
	notRestoring restoreStage = iota

	// joining means that the router has started in this era: it has lost nothing, but
	// others may not have finished.
	joining

	// writingOwn lasts until this router and its live peers have written their rows.
	writingOwn

	// writingDead lasts until this router has written the rows of dead routers.
	writingDead

	// awaitingPeers lasts until its live peers have done so as well.
	awaitingPeers
)

const (
	// restoreTimeout is how long a router waits in one stage for live ones that have not
	// rewritten their rows.
	restoreTimeout = 5 * time.Second

	// joinTimeout is how long a router that has started in this era waits for others,
	// which may be in any stage.
	joinTimeout = 3 * restoreTimeout
)

// handleStoreEra handles a new era of the store.
func (e *Edge) handleStoreEra(ev StoreEra) {
	t := &e.nodes
	if ev.MinVersion < t.era {
		return
	}
	t.era = ev.MinVersion
	t.restoredAt = e.now
	if ev.First {
		e.enterStage(joining)
		e.book.Freeze()
		return
	}
	t.registered = false
	t.pendingCall = 0
	e.limiterStale = true
	e.log("store_restored", "", field("era", ev.MinVersion))
	e.beginRestore()
}

// beginRestore makes the book rewrite its shares, and draw nothing until the last stage.
// Closers start again afterwards: a row may lack the latest draws of its owner.
func (e *Edge) beginRestore() {
	t := &e.nodes
	e.enterStage(writingOwn)
	t.restorers = nil
	e.closers = nil
	e.handleActions(e.book.Step(e.now, effect.Restored{
		MinVersion: t.era,
	}))
	e.stepBook()
}

// eras returns the eras in which this router has written its own rows and those of dead
// routers.
func (e *Edge) eras() eras {
	t := &e.nodes
	var done eras
	if !e.book.Restoring() {
		done.own = t.era
	}
	if t.stage != writingOwn && t.stage != writingDead {
		done.peers = t.era
	}
	return done
}

// enterStage begins a stage.
func (e *Edge) enterStage(s restoreStage) {
	e.nodes.stage = s
	e.nodes.stageAt = e.now
}

// restoreStep moves on to the next stage if this router and its live peers are ready. It
// does not wait for long for peers, but it does for the store.
func (e *Edge) restoreStep() {
	t := &e.nodes
	inStage := e.now.Sub(t.stageAt)
	late := inStage >= restoreTimeout
	written := t.registered && t.written == e.eras()
	if t.stage != notRestoring && e.book.Draining() && !e.book.Restoring() {
		// Nothing is drawn any more, and what is left has to be returned.
		e.resumeBudgets(late)
		return
	}
	switch t.stage {
	case notRestoring:
	case joining:
		if inStage >= joinTimeout || t.loaded && e.peersReached(t.era) {
			e.resumeBudgets(late)
		}
	case writingOwn:
		if !e.book.Restoring() && written && (late || e.peersWrote(t.era)) {
			e.enterStage(writingDead)
			e.restoreDead()
		}
	case writingDead:
		if !slices.ContainsFunc(t.restorers, func(r *escrow.Restorer) bool { return !r.Done() }) {
			e.enterStage(awaitingPeers)
		}
	case awaitingPeers:
		if written && (late || e.peersReached(t.era)) {
			e.resumeBudgets(late)
		}
	}
}

// resumeBudgets permits draws again.
func (e *Edge) resumeBudgets(late bool) {
	t := &e.nodes
	if t.stage != joining {
		e.log("budgets_restored", "", field("era", t.era), field("took", e.now.Sub(t.restoredAt)), field("late", late))
	}
	t.stage = notRestoring
	e.book.Resume()
}

// restoreDead starts to write the rows of routers that have not done so themselves.
func (e *Edge) restoreDead() {
	t := &e.nodes
	t.restorers = nil
	for _, i := range e.notices.Nodes() {
		if n := t.rows[i]; i == e.Self || n != nil && n.row.Era >= t.era {
			continue
		}
		t.restorers = append(t.restorers, escrow.NewRestorer(i, &e.notices, e.jitter))
	}
}

// stepRestorers steps the restorers.
func (e *Edge) stepRestorers(ev effect.Event) {
	if e.nodes.stage != writingDead {
		return
	}
	for _, r := range e.nodes.restorers {
		done := r.Done()
		e.handleActions(r.Step(e.now, ev))
		if !done && r.Done() {
			e.log("draws_restored", "", field("node", r.Node.String()), field("tokens", r.Restored))
		}
	}
}

// peersWrote reports whether all live peers have written their own rows in an era.
func (e *Edge) peersWrote(era int64) bool {
	return e.peersHave(func(row nodeRow) bool { return row.Era >= era })
}

// peersReached reports whether all live peers have also written the rows of dead routers.
func (e *Edge) peersReached(era int64) bool {
	return e.peersHave(func(row nodeRow) bool { return row.Era >= era && row.PeersEra >= era })
}

// peersHave reports whether the rows of all live peers meet a condition. A router that is
// listed, but not known to this one yet, counts as live.
func (e *Edge) peersHave(condition func(nodeRow) bool) bool {
	peers := e.view.Peers(e.now)
	known := map[waxwingwall.VM]bool{
		e.Self.VM: true,
	}
	for _, p := range peers {
		known[p.Incarnation.VM] = true
		if !p.Alive {
			continue
		}
		if n := e.nodes.rows[p.Incarnation]; n == nil || !condition(n.row) {
			return false
		}
	}
	for i, n := range e.nodes.rows {
		if !known[i.VM] && !condition(n.row) && !e.isReplaced(i, peers) {
			return false
		}
	}
	return true
}
