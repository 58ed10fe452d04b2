// Package table runs plans against the hosting platform's table.
//
// A plan is the decision logic for one operator command, such as a top-up or a
// change of configuration. Like the rest of the decision logic it is a state
// machine that requests reads and transactions (package effect). Run steps it
// until it is done.
package table

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// tickInterval is the time between two ticks of a waiting plan.
const tickInterval = 50 * time.Millisecond

// Plan is a state machine that Run steps until it is done.
type Plan interface {
	// Step handles an event. The first one is a Tick.
	Step(now time.Time, ev effect.Event) []effect.Action

	// Done reports whether the plan is complete.
	Done() bool
}

// Run runs a plan. It fails only if ctx is done; the plan itself holds its
// result.
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

// Perform performs one action on the table and returns its answer, or nil for
// an action of another kind.
func Perform(ctx context.Context, t waxwingwall.Table, a effect.Action) effect.Event {
	var clock waxwingwall.StoreClock
	ctx = waxwingwall.WithStoreClock(ctx, &clock)
	switch a := a.(type) {
	case effect.Transact:
		versions, err := t.Transact(ctx, a.Writes)
		return effect.Transacted{
			ID:       a.ID,
			Result:   ResultOf(err),
			Versions: versions,
			Clock:    clock,
		}
	case effect.Read:
		out := read(ctx, t, a)
		out.Clock = clock
		return out
	case effect.List:
		rows, err := t.List(ctx, a.Prefix)
		return effect.Rows{
			ID:     a.ID,
			Result: ResultOf(err),
			Rows:   rows,
			Clock:  clock,
		}
	}
	return nil
}

// read reads the rows one by one; if any read fails, the result is Lost.
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

// ResultOf returns the result for an error of a table call.
func ResultOf(err error) effect.Result {
	switch {
	case err == nil:
		return effect.Done
	case errors.Is(err, waxwingwall.ErrConflict):
		return effect.Conflict
	}
	return effect.Lost
}
