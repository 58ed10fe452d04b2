package relay

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingwall/io/logline"
)

// callerLinesPerSecond limits the lines about answers of the directory and new connections of
// callers.
const callerLinesPerSecond = 20

// callerLog limits the lines about how callers come to this router. It is safe for concurrent
// use.
type callerLog struct {
	mu      sync.Mutex
	sampler logline.Sampler
}

// keep reports whether to write a line, and how many were omitted before it.
func (c *callerLog) keep(now time.Time) (keep bool, omitted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sampler.LinesPerSecond = callerLinesPerSecond
	return c.sampler.Keep(now, "", false)
}

// logCaller writes a line about a caller unless there are too many.
func (r *Relay) logCaller(event string, caller netip.Addr, fields map[string]any) {
	keep, omitted := r.callerLog.keep(time.Now())
	if omitted > 0 {
		r.metrics.omittedLines.Add(context.Background(), int64(omitted))
		r.log.WithField("lines", omitted).Warning("log_lines_left_out")
	}
	if keep {
		r.log.WithField("caller", caller.String()).WithFields(fields).Info(event)
	}
}

// logLookup logs an answer of the directory.
func (r *Relay) logLookup(caller netip.Addr, listed []netip.AddrPort) {
	r.logCaller("addresses_answered", caller, map[string]any{
		"listed": len(listed),
		"self":   slices.Contains(listed, r.settings.Callers),
	})
}

// logFirstRequest counts and logs the first request of a caller's connection: whether this router lists
// itself to callers tells those that come by a list from those that are placed here.
func (r *Relay) logFirstRequest(p *proxyRequest) {
	conn, ok := p.r.Context().Value(connKey{}).(net.Conn)
	if !ok || !r.callerConns.first(conn) {
		return
	}
	self := slices.Contains(r.sharedState.Load().addresses, r.settings.Callers)
	r.metrics.callerConns.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("listed", self)))
	var caller netip.Addr
	if from, err := netip.ParseAddrPort(p.r.RemoteAddr); err == nil {
		caller = from.Addr()
	}
	r.logCaller("caller_connected", caller, map[string]any{
		"request": p.call.ID,
		"listed":  self,
	})
}
