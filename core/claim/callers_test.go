package claim_test

import (
	"encoding/json"

	"waxwingwall"
	"waxwingwall/core/claim"
)

// submit sends a caller's attempt to a router. It follows up to four
// redirects.
func (w *world) submit(r *router, request claim.RunRequest) claim.Verdict {
	v := r.ledger.Begin(w.now, request)
	for hops := 0; v.Kind == claim.Redirect && hops < 4; hops++ {
		r = w.findRouter(v.Owner)
		if r == nil || r.dead || r.paused || r.closed {
			return v
		}
		v = r.ledger.Begin(w.now, request)
	}
	rec := w.records[request.Identity]
	if rec == nil {
		rec = &identityRecord{
			request: request,
		}
		w.records[request.Identity] = rec
	}
	w.trace("submit %v %v -> %v", r.self, request.Identity, v)
	switch v.Kind {
	case claim.Fresh:
		r.active[request.Identity] = &run{
			request: request,
		}
	case claim.Finished:
		w.checkResult(rec, v.Result)
	case claim.Unavailable:
		if x := r.active[request.Identity]; x != nil && x.started && !x.ended {
			w.violation("%v: answered as not run at %v while it is running there", request.Identity, r.self)
		}
	}
	return v
}

func (w *world) findRouter(i waxwingwall.Incarnation) *router {
	for _, r := range w.routers {
		if r.self == i {
			return r
		}
	}
	return nil
}

// checkResult checks that the result of a finished key does not change.
func (w *world) checkResult(rec *identityRecord, got claim.Result) {
	if rec.finished && !w.lostAtClosing(rec) && got.Outcome != waxwingwall.Unknown && got.Tokens != rec.answers[0].Tokens {
		w.violation("%v: answered %v after %v", rec.request.Identity, got, rec.answers[0])
	}
	if rec.finished && !w.lostAtClosing(rec) && got.Outcome == waxwingwall.Unknown && rec.answers[0].Outcome == waxwingwall.Ran {
		w.violation("%v: unknown after a known outcome", rec.request.Identity)
	}
	if rec.finished {
		return
	}
	rec.finished = true
	rec.answers = append(rec.answers, got)
}

// cleared dispatches the request in the next step, or abandons it with the
// configured probability.
func (w *world) cleared(r *router, id waxwingwall.Identity) {
	x := r.active[id]
	if x == nil {
		w.violation("%v: cleared at %v without a request", id, r.self)
		return
	}
	x.cleared = true
	r.tasks = append(r.tasks, func() {
		if w.chance(w.abandon) {
			r.ledger.Abandon(w.now, id)
			x.ended = true
			return
		}
		if !r.ledger.Dispatched(w.now, id) {
			return
		}
		x.started = true
		rec := w.records[id]
		rec.runs++
		if rec.runs > 1 && !x.request.Idempotent {
			w.violation("%v: run %d at %v", id, rec.runs, r.self)
		}
		steps := w.runSteps
		if steps == 0 {
			steps = 1 + w.rng.IntN(60)
		}
		w.settleAfter(r, x, steps)
	})
}

// settleAfter settles a run after the given number of steps.
func (w *world) settleAfter(r *router, x *run, steps int) {
	r.tasks = append(r.tasks, func() {
		if r.closed {
			return
		}
		if steps > 0 {
			r.ledger.Progress(w.now, x.request.Identity, x.request.Worst/2)
			w.settleAfter(r, x, steps-1)
			return
		}
		r.ledger.Settle(w.now, x.request.Identity, claim.Result{
			Outcome: waxwingwall.Ran,
			Tokens:  1 + waxwingwall.Tokens(w.rng.IntN(int(x.request.Worst))),
		})
	})
}

// lostAtClosing reports whether the settlement was missing from the log when
// its incarnation was closed.
func (w *world) lostAtClosing(rec *identityRecord) bool {
	row, ok := w.homeRow(rec)
	return ok && row.State == claim.NodeClosed && !row.Exact
}

// lostByAll reports whether all routers that held the settlement may have died: its
// owner, the witness, and a third one that died too or was out of reach beside a fault
// of the table.
func (w *world) lostByAll(rec *identityRecord) bool {
	row, ok := w.homeRow(rec)
	if !ok || !w.lostAtClosing(rec) || !rec.home.killed || w.kills < 3 && !w.tableFault {
		return false
	}
	witness := w.findRouter(row.Witness)
	return witness == nil || witness.dead
}

func (w *world) homeRow(rec *identityRecord) (claim.NodeRow, bool) {
	if rec.home == nil {
		return claim.NodeRow{}, false
	}
	var row claim.NodeRow
	if err := json.Unmarshal([]byte(w.table.rows[claim.NodeKey(rec.home.self)].Value), &row); err != nil {
		return row, false
	}
	return row, true
}

func (w *world) refused(r *router, id waxwingwall.Identity) {
	x := r.active[id]
	if x == nil || x.started {
		w.violation("%v: refused at %v after its dispatch", id, r.self)
		return
	}
	x.ended = true
}

func (w *world) settled(r *router, id waxwingwall.Identity) {
	x := r.active[id]
	x.ended = true
	if !x.started {
		return
	}
	v := r.ledger.Begin(w.now, x.request)
	if v.Kind != claim.Finished {
		w.violation("%v: settled at %v, but the verdict is %v", id, r.self, v)
		return
	}
	if !w.records[id].finished {
		w.records[id].home = r
	}
	w.checkResult(w.records[id], v.Result)
}
