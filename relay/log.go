package relay

import (
	"context"
	"io"
	"log"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingwall/core/edge"
)

// discardLogger discards net/http's errors about single connections.
var discardLogger = log.New(io.Discard, "", 0)

// priorityEvents are the events that are logged even if others are dropped.
var priorityEvents = map[string]bool{
	"refused":            true,
	"cut":                true,
	"budget_short":       true,
	"no_endpoint":        true,
	"retry_budget_spent": true,
	"crash_counted":      true,
}

// logEntry logs an entry unless the sampler drops it, and counts it in the metrics.
func (r *Relay) logEntry(now time.Time, entry edge.LogEntry) {
	r.metrics.countEntry(entry)
	keep, droppedLines := r.sampler.Keep(now, entry.Request, priorityEvents[entry.Event])
	if droppedLines > 0 {
		r.metrics.droppedLines.Add(context.Background(), int64(droppedLines))
		r.log.WithField("lines", droppedLines).Warning("log_lines_left_out")
	}
	if !keep {
		return
	}
	fields := make(logrus.Fields, len(entry.Fields)+1)
	for _, f := range entry.Fields {
		fields[f.Name] = f.Value
	}
	if entry.Request != "" {
		fields["request"] = entry.Request
	}
	r.log.WithFields(fields).Info(entry.Event)
}
