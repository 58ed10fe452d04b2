package fake

import (
	"slices"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// accessTable performs an action on the table; its effect and its answer have
// separate delays.
func (w *World) accessTable(h *Host, generation int, a effect.Action) {
	w.After(w.jitter(3*time.Millisecond), func() {
		answer := w.serve(a, w.Outage)
		if w.Random.Float64() < w.AnswerLoss {
			answer = lostAnswer(a)
		}
		w.After(w.jitter(3*time.Millisecond), func() { w.step(h, generation, answer) })
	})
}

// lostAnswer returns the event for an action whose answer is lost.
func lostAnswer(a effect.Action) effect.Event {
	switch a := a.(type) {
	case effect.Transact:
		return effect.Transacted{
			ID:     a.ID,
			Result: effect.Lost,
		}
	case effect.Read:
		return effect.Rows{
			ID:     a.ID,
			Result: effect.Lost,
		}
	case effect.List:
		return effect.Rows{
			ID:     a.ID,
			Result: effect.Lost,
		}
	}
	return nil
}

// serve performs an action on the table immediately.
func (w *World) serve(a effect.Action, outage bool) effect.Event {
	if outage {
		return lostAnswer(a)
	}
	switch a := a.(type) {
	case effect.Transact:
		return w.transact(a)
	case effect.Read:
		e := effect.Rows{
			ID: a.ID,
		}
		w.Counts.Reads += len(a.Keys)
		for _, key := range a.Keys {
			row := w.Rows[key]
			row.Key = key
			e.Rows = append(e.Rows, row)
		}
		return e
	case effect.List:
		w.Counts.Reads++
		return effect.Rows{
			ID:   a.ID,
			Rows: w.List(a.Prefix),
		}
	}
	return nil
}

// List returns the rows whose keys begin with prefix, ordered by key.
func (w *World) List(prefix string) []waxwingwall.Row {
	var rows []waxwingwall.Row
	for key, row := range w.Rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b waxwingwall.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// transact applies either all writes or none.
func (w *World) transact(a effect.Transact) effect.Transacted {
	e := effect.Transacted{
		ID: a.ID,
	}
	for _, wr := range a.Writes {
		if wr.Expect != waxwingwall.AnyVersion && w.Rows[wr.Key].Version != wr.Expect {
			e.Result = effect.Conflict
			return e
		}
	}
	w.Counts.Writes += len(a.Writes)
	for _, wr := range a.Writes {
		w.version++
		switch {
		case wr.CheckOnly:
			e.Versions = append(e.Versions, w.Rows[wr.Key].Version)
			continue
		case wr.Delete:
			delete(w.Rows, wr.Key)
		default:
			w.Rows[wr.Key] = waxwingwall.Row{
				Key:     wr.Key,
				Version: w.version,
				Value:   wr.Value,
			}
		}
		e.Versions = append(e.Versions, w.version)
	}
	return e
}
