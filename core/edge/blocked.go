package edge

import (
	"cmp"
	"slices"
	"strings"

	"waxwingwall"
	"waxwingwall/core/quarantine"
)

// A request that crashed endpoints stays blocked although the routers that counted the crashes
// restart, all of them at once too: the rows of some routers have it, and each router learns
// from all rows, as well as from the reports and the news of its peers. Rows of routers that are
// gone are deleted only once another row has what they had.

const (
	// maxBlockedNotices limits the notices of blocked requests in a message and in a router's row.
	maxBlockedNotices = 256

	// blockedCarriers is the number of routers of which the rows have a blocked request, besides
	// those that counted its crashes.
	blockedCarriers = 3
)

// blockedRow is the state of the blocked requests in the router's row.
type blockedRow struct {
	// row are the notices for the row, in order, pending those of the write in flight, and
	// written those of the last write with an answer. rowStale is set if row may be out of date.
	row, pendingRow, writtenRow []quarantine.Notice
	rowStale                    bool

	// adopted are the fingerprints that this router's row must have, as a row that has them is to
	// be deleted.
	adopted map[uint64]bool
}

// blocked reports whether a request must not run, since requests like it crashed endpoints. Now and
// then one router tries one.
func (e *Edge) blocked(r *request) bool {
	t := &e.crashes.table
	fp := r.call.Fingerprint
	switch {
	case !t.Blocked(e.now, fp):
		return false
	case r.trial && r.sentAt.IsZero():
		return false
	case e.triesFirst(fp) && t.Trial(e.now, fp):
		r.trial = true
		e.log("request_tried", r.call.ID, field("fingerprint", fp), field("crashes", t.Crashes(e.now, fp)))
		return false
	}
	t.Refused(e.now, fp)
	e.log("request_blocked", r.call.ID, field("fingerprint", fp), field("crashes", t.Crashes(e.now, fp)), field("trial", r.trial))
	return true
}

// blocksRetry reports whether a request must not be sent again, as requests like it crashed
// endpoints, or have if the runs count that have just ended with broken connections.
func (e *Edge) blocksRetry(r *request) bool {
	var broken []waxwingwall.Endpoint
	for i := range e.crashes.pending {
		b := &e.crashes.pending[i]
		if b.fingerprint == r.call.Fingerprint && !slices.Contains(broken, b.crash.Endpoint) {
			broken = append(broken, b.crash.Endpoint)
		}
	}
	if r.call.Fingerprint == 0 || !e.crashes.table.BlockedAfter(e.now, r.call.Fingerprint, len(broken)) {
		return false
	}
	e.log("retry_blocked", r.call.ID, field("fingerprint", r.call.Fingerprint),
		field("crashes", e.crashes.table.Crashes(e.now, r.call.Fingerprint)), field("unconfirmed", len(broken)))
	return true
}

// clearBlocked records that a request got a complete answer with success, so that requests like
// it did not cause the crashes before.
func (e *Edge) clearBlocked(r *request) {
	if e.crashes.table.Len() == 0 {
		return
	}
	cleared := e.crashes.table.Clear(e.now, r.sentAt, r.call.Fingerprint)
	if len(cleared) == 0 {
		return
	}
	e.crashes.rowStale = true
	e.log("request_cleared", r.call.ID, field("fingerprint", r.call.Fingerprint), field("trial", r.trial))
	e.broadcast(Crashes{
		Notices: cleared,
	}, crashFanout)
}

// learnCrashes applies the notices of a peer or of a router's row.
func (e *Edge) learnCrashes(from waxwingwall.Incarnation, source string, notices []quarantine.Notice) {
	for _, n := range notices {
		if !n.Valid() {
			e.log("message_rejected", "", field("peer", waxwingwall.Excerpt(from.String())), field("message", "crashes"), field("crashes", n.Crashes), field("cleared", n.Cleared))
			continue
		}
		if !e.crashes.table.Merge(e.now, n) {
			continue
		}
		e.crashes.rowStale = true
		e.log("crashes_learned", "", field("fingerprint", n.Fingerprint), field("peer", from.String()), field("source", source),
			field("reporter", n.Reporter.String()), field("counted", n.Crashes), field("cleared", n.Cleared),
			field("crashes", e.crashes.table.Crashes(e.now, n.Fingerprint)))
	}
}

// updateBlockedRow updates the notices for the router's row.
func (e *Edge) updateBlockedRow() {
	c := &e.crashes
	if !c.rowStale {
		return
	}
	c.rowStale = false
	var row []quarantine.Notice
	own := map[uint64]bool{}
	for fp := range c.adopted {
		if !c.table.Blocked(e.now, fp) {
			delete(c.adopted, fp)
		}
	}
	listed := c.table.List(e.now, maxBlockedNotices, false)
	for _, n := range listed {
		if n.Reporter == e.Self {
			own[n.Fingerprint] = true
		}
	}
	for _, n := range listed {
		if own[n.Fingerprint] || c.adopted[n.Fingerprint] || e.turn(n.Fingerprint) < blockedCarriers {
			row = append(row, n)
		}
	}
	slices.SortFunc(row, func(a, b quarantine.Notice) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), strings.Compare(a.Reporter.String(), b.Reporter.String()))
	})
	c.row = row
}

// rowOutdated reports whether the notices in the router's row have to be written.
func (b *blockedRow) rowOutdated() bool {
	return !slices.Equal(b.row, b.writtenRow)
}

// renewed notes that the router goes on as a newer incarnation, of which the row is not written yet.
func (b *blockedRow) renewed() {
	b.pendingRow = nil
	b.writtenRow = nil
	b.rowStale = true
}

// mayDelete reports whether the row of a router that is gone may be deleted: all blocked requests
// in it are in the row of another one. What is not is adopted for the row of this router.
func (e *Edge) mayDelete(gone waxwingwall.Incarnation) bool {
	n := e.nodes.rows[gone]
	if n == nil {
		return true
	}
	may := true
	for _, notice := range n.row.Blocked {
		fp := notice.Fingerprint
		if !e.crashes.table.Blocked(e.now, fp) || e.carried(fp, gone) {
			continue
		}
		may = false
		if gone != e.Self && !e.crashes.adopted[fp] {
			if e.crashes.adopted == nil {
				e.crashes.adopted = map[uint64]bool{}
			}
			e.crashes.adopted[fp] = true
			e.crashes.rowStale = true
			e.log("blocked_adopted", "", field("fingerprint", fp), field("node", gone.String()))
		}
	}
	return may
}

// carried reports whether the row of a router that is not gone has a blocked request.
func (e *Edge) carried(fp uint64, gone waxwingwall.Incarnation) bool {
	has := func(notices []quarantine.Notice) bool {
		return slices.ContainsFunc(notices, func(n quarantine.Notice) bool { return n.Fingerprint == fp })
	}
	if gone != e.Self && has(e.crashes.writtenRow) {
		return true
	}
	for _, p := range e.view.Peers(e.now) {
		if n := e.nodes.rows[p.Incarnation]; p.Alive && p.Incarnation != gone && n != nil && has(n.row.Blocked) {
			return true
		}
	}
	return false
}
