package edge

import (
	"time"

	"waxwingwall/core/effect"
)

// restoreTimeout is how long a router waits, after the store came back from a copy, for
// live ones that have not written their rows anew.
const restoreTimeout = 5 * time.Second

// handleStoreEra handles a new era of the store. If the store came back from a copy,
// this router writes its rows anew, and draws nothing from budgets until all have done
// so: the pools seem to hold what others have drawn since the copy.
func (e *Edge) handleStoreEra(ev StoreEra) {
	t := &e.nodes
	if ev.MinVersion < t.era {
		return
	}
	t.era = ev.MinVersion
	if ev.First {
		return
	}
	t.restoring = true
	t.restoredAt = e.now
	t.registered = false
	t.pendingCall = 0
	e.log("store_restored", "", field("era", ev.MinVersion))
	var open []*closeTask
	for _, c := range e.closers {
		if !c.done {
			open = append(open, c)
		}
	}
	e.closers = open
	e.freezeBook()
}

// freezeBook makes the book write its shares anew, and draw nothing until then.
func (e *Edge) freezeBook() {
	e.handleActions(e.book.Step(e.now, effect.Restored{
		MinVersion: e.nodes.era,
	}))
	e.stepBook()
}

// ownEra returns the era in which this router has written all of its rows.
func (e *Edge) ownEra() int64 {
	if e.book.Restoring() {
		return 0
	}
	return e.nodes.era
}

// restoreStep permits draws again once all live routers have written their rows anew.
func (e *Edge) restoreStep() {
	t := &e.nodes
	if !t.restoring {
		return
	}
	late := e.now.Sub(t.restoredAt) >= restoreTimeout
	written := t.registered && t.writtenEra == t.era
	switch {
	case e.book.Restoring():
		return
	case e.book.Draining():
		// Nothing is drawn any more, and what is left has to be returned.
	case !written || !late && !e.peersRestored():
		return
	}
	t.restoring = false
	e.book.Resume()
	e.log("budgets_restored", "", field("era", t.era), field("took", e.now.Sub(t.restoredAt)), field("late", late))
}

// peersRestored reports whether all live peers have written their rows in this era.
func (e *Edge) peersRestored() bool {
	for _, p := range e.view.Peers(e.now) {
		if !p.Alive {
			continue
		}
		n := e.nodes.rows[p.Incarnation]
		if n == nil || n.row.Era < e.nodes.era {
			return false
		}
	}
	return true
}
