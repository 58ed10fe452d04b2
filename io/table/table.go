// Package table carries out stepped plans against the platform's table.
//
// A plan is decision logic for one operator's order, such as a top-up or a
// change of configuration: it is stepped with events and asks for reads and
// transactions (package effect). Run steps it until it is done.
package table

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// tickInterval is the time between two ticks of a plan that waits.
const tickInterval = 50 * time.Millisecond

// Plan is stepped until it is done.
type Plan interface {
	// Step tells the plan of an event. The first is a Tick.
	Step(now time.Time, ev effect.Event) []effect.Action

	// Done reports that nothing is left to do.
	Done() bool
}

// Run carries a plan out. It fails only when ctx is done; what came of the
// plan is the plan's to tell.
func Run(ctx context.Context, t waxwingwall.Table, p Plan) error {
	events := []effect.Event{effect.Tick{}}
	for !p.Done() {
		if err := ctx.Err(); err != nil {
			return trace.Wrap(err)
		}
		if len(events) == 0 {
			time.Sleep(tickInterval)
			events = append(events, effect.Tick{})
		}
		ev := events[0]
		events = events[1:]
		for _, a := range p.Step(time.Now(), ev) {
			if answer := Perform(ctx, t, a); answer != nil {
				events = append(events, answer)
			}
		}
	}
	return nil
}

// Perform carries out one action on the table and returns its answer, or nil
// for an action of another kind.
func Perform(ctx context.Context, t waxwingwall.Table, a effect.Action) effect.Event {
	switch a := a.(type) {
	case effect.Transact:
		versions, err := t.Transact(ctx, a.Writes)
		return effect.Transacted{
			ID:       a.ID,
			Result:   ResultOf(err),
			Versions: versions,
		}
	case effect.Read:
		return read(ctx, t, a)
	case effect.List:
		rows, err := t.List(ctx, a.Prefix)
		return effect.Rows{
			ID:     a.ID,
			Result: ResultOf(err),
			Rows:   rows,
		}
	}
	return nil
}

// read gets the rows one after the other; without one of them it is Lost.
func read(ctx context.Context, t waxwingwall.Table, a effect.Read) effect.Rows {
	out := effect.Rows{
		ID: a.ID,
	}
	for _, key := range a.Keys {
		row, err := t.Get(ctx, key)
		if err != nil {
			out.Result = effect.Lost
			return out
		}
		out.Rows = append(out.Rows, row)
	}
	return out
}

// ResultOf maps an error of a table call to a result.
func ResultOf(err error) effect.Result {
	switch {
	case err == nil:
		return effect.Done
	case errors.Is(err, waxwingwall.ErrConflict):
		return effect.Conflict
	}
	return effect.Lost
}
