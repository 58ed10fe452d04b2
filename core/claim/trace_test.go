package claim_test

import (
	"encoding/json"
	"fmt"
	"os"

	"waxwingwall/core/effect"
)

// traceEnabled prints all actions, for the analysis of a failure.
var traceEnabled = os.Getenv("CLAIM_TRACE") != ""

func (w *world) trace(format string, args ...any) {
	if traceEnabled {
		fmt.Printf(w.now.Format("04:05.00 ")+format+"\n", args...)
	}
}

func (w *world) traceAction(r *router, a effect.Action) {
	if !traceEnabled {
		return
	}
	data, err := json.Marshal(a)
	w.trace("%v: %T %.1000s %v", r.self, a, data, err)
}

func (w *world) traceAll() {
	for _, r := range w.routers {
		if !traceEnabled || r.dead {
			continue
		}
		data, err := json.Marshal(r.ledger.Dump())
		w.trace("%v: %s %v", r.self, data, err)
	}
}
