package relay

import (
	"context"
	"io"
	"log"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingwall/core/edge"
)

// quiet drops what net/http has to say of single connections.
var quiet = log.New(io.Discard, "", 0)

// urgent are the notes that are kept when others are left out.
var urgent = map[string]bool{
	"refused":            true,
	"cut":                true,
	"budget_short":       true,
	"no_endpoint":        true,
	"retry_budget_spent": true,
	"crash_counted":      true,
}

// note logs a decision, unless there are too many.
func (r *Relay) note(now time.Time, n edge.LogEntry) {
	r.metrics.noted(n)
	keep, left := r.sampler.Keep(now, n.Request, urgent[n.Event])
	if left > 0 {
		r.metrics.left.Add(context.Background(), int64(left))
		r.log.WithField("lines", left).Warning("log_lines_left_out")
	}
	if !keep {
		return
	}
	fields := make(logrus.Fields, len(n.Fields)+1)
	for _, f := range n.Fields {
		fields[f.Name] = f.Value
	}
	if n.Request != "" {
		fields["request"] = n.Request
	}
	r.log.WithFields(fields).Info(n.Event)
}
