package edge

import (
	"maps"
	"time"

	"waxwingwall"
)

// loggedPauseStep is the time by which a pause must grow to be logged again: all answers
// to requests on the way ask for it.
const loggedPauseStep = time.Second

// unlimited is a time that does not come.
const unlimited = 100 * 365 * 24 * time.Hour

// Instance identifies an instance of an endpoint.
type Instance struct {
	// Endpoint is its name, Born its start time.
	Endpoint waxwingwall.Endpoint
	Born     int64
}

// pauses are the instances of endpoints that declined a request and named the time after
// which they may be asked again. They apply to this router only.
type pauses struct {
	rows map[waxwingwall.Endpoint]pause
}

type pause struct {
	// born identifies the instance; until is the end.
	born  int64
	until time.Time
}

// paused reports whether an instance is paused.
func (p *pauses) paused(r waxwingwall.Replica) bool {
	row, ok := p.rows[r.Endpoint]
	return ok && row.born == r.Born
}

// left returns the remaining time of an instance's pause.
func (p *pauses) left(now time.Time, r waxwingwall.Replica) time.Duration {
	if !p.paused(r) {
		return 0
	}
	return max(p.rows[r.Endpoint].until.Sub(now), 0)
}

// handlePause records that an instance asked for a pause. Nothing is sent to it from now
// on, so a later answer is one to a request that was on the way; such answers come in no
// particular order, and the latest end applies.
func (e *Edge) handlePause(id waxwingwall.Endpoint, born int64, wait time.Duration) {
	row := e.endpoints.rows[id]
	if row != nil && row.replica.Born != born {
		// Another instance has replaced it.
		return
	}
	p := pause{
		born:  born,
		until: e.now.Add(wait),
	}
	old, ok := e.pauses.rows[id]
	if ok && old.born == born && !p.until.After(old.until) {
		return
	}
	if e.pauses.rows == nil {
		e.pauses.rows = map[waxwingwall.Endpoint]pause{}
	}
	e.pauses.rows[id] = p
	if row != nil {
		row.paused = true
	}
	if !ok || old.born != born || p.until.Sub(old.until) >= loggedPauseStep {
		e.log("endpoint_paused", "", field("endpoint", id), field("born", born), field("retry_after", wait))
	}
}

// endPauses ends the pauses whose time is over.
func (e *Edge) endPauses() {
	for id, p := range e.pauses.rows {
		if e.now.Before(p.until) {
			continue
		}
		delete(e.pauses.rows, id)
		if row := e.endpoints.rows[id]; row != nil {
			row.paused = false
		}
	}
}

// pausedProblem returns the refusal of a request for which all endpoints are paused, with
// the time at which the first pause ends, or evacuated; nil if another endpoint is there.
func (e *Edge) pausedProblem(r *request) *waxwingwall.Problem {
	var first time.Time
	for _, row := range e.endpoints.byService[r.service] {
		if row.departing() || row.evacuated || r.pin.set && row.build != r.pin.build {
			continue
		}
		if !row.paused {
			return nil
		}
		if until := e.pauses.rows[row.replica.Endpoint].until; first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return e.evacuatedProblem(r)
	}
	return e.unavailableProblem("endpoints_paused", "all endpoints asked for a pause", first.Sub(e.now))
}

// Withheld returns the instances to which nothing may be sent now, each with the end of
// that: a request may still wait for its connection when its endpoint is excluded. The result
// must not be changed.
func (e *Edge) Withheld(now time.Time) map[Instance]time.Time {
	e.Paths()
	if len(e.pauses.rows) == 0 && len(e.announcements.rows) == 0 {
		return e.endpoints.evacuated
	}
	all := maps.Clone(e.endpoints.evacuated)
	if all == nil {
		all = map[Instance]time.Time{}
	}
	for id, p := range e.pauses.rows {
		all[Instance{Endpoint: id, Born: p.born}] = p.until
	}
	for id, a := range e.announcements.rows {
		all[Instance{Endpoint: id, Born: a.born}] = now.Add(unlimited)
	}
	return all
}
