package relay

import (
	"context"
	"io"
	"log"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingwall/core/edge"
	"waxwingwall/io/tcp"
)

// discardLogger discards net/http's errors about single connections.
var discardLogger = log.New(io.Discard, "", 0)

// urgentEvents are the events that the sampler keeps up to a higher limit.
var urgentEvents = map[string]bool{
	"refused":            true,
	"cut":                true,
	"request_overdue":    true,
	"budget_short":       true,
	"no_endpoint":        true,
	"room_short":         true,
	"retry_budget_spent": true,
	"crash_counted":      true,

	"resumption_refused":     true,
	"no_endpoint_of_version": true,
}

// logAcceptFailed returns a function that logs failed accepts of a listener.
func (r *Relay) logAcceptFailed(addr netip.AddrPort) tcp.AcceptFailed {
	return func(failed int, err error) {
		r.log.WithError(err).WithField("address", addr.String()).WithField("failed", failed).Warning("accept_failed")
	}
}

// logEntry logs an entry unless the sampler omits it, and counts it in the metrics.
func (r *Relay) logEntry(now time.Time, entry edge.LogEntry) {
	r.metrics.countEntry(entry)
	keep, omittedLines := r.sampler.Keep(now, entry.Request, urgentEvents[entry.Event])
	if omittedLines > 0 {
		r.metrics.omittedLines.Add(context.Background(), int64(omittedLines))
		r.log.WithField("lines", omittedLines).Warning("log_lines_left_out")
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
