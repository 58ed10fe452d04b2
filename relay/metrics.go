package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingwall/core/edge"
	"waxwingwall/core/effect"
	"waxwingwall/io/meter"
)

// metrics are the OpenTelemetry instruments of a relay.
type metrics struct {
	handler http.Handler
	close   func()

	requests metric.Int64Counter
	attempts metric.Int64Counter
	calls    metric.Int64Counter
	took     metric.Float64Histogram
	firsts   metric.Float64Histogram
	store    metric.Float64Histogram
}

// newMetrics makes the instruments; they are read from a registry of their own.
func newMetrics() (*metrics, error) {
	meter, handler, stop, err := meter.New("waxwingwall")
	if err != nil {
		return nil, err
	}
	m := &metrics{
		handler: handler,
		close:   stop,
	}
	if m.requests, err = meter.Int64Counter("waxwingwall.edge.requests", metric.WithDescription("Requests that ended, by code.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.attempts, err = meter.Int64Counter("waxwingwall.edge.attempts", metric.WithDescription("Attempts at endpoints, by result.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.calls, err = meter.Int64Counter("waxwingwall.edge.store_calls", metric.WithDescription("Calls of the store, by result.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.took, err = meter.Float64Histogram("waxwingwall.edge.duration", metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival to its end, by code.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.firsts, err = meter.Float64Histogram("waxwingwall.edge.first_event", metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival to the head of its answer.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.store, err = meter.Float64Histogram("waxwingwall.edge.store_duration", metric.WithUnit("s"), metric.WithDescription("Time of a call of the store.")); err != nil {
		return nil, trace.Wrap(err)
	}
	return m, nil
}

// ended counts a request that ended.
func (m *metrics) ended(code string, took time.Duration) {
	with := metric.WithAttributes(attribute.String("code", code))
	m.requests.Add(context.Background(), 1, with)
	m.took.Record(context.Background(), took.Seconds(), with)
}

// first records the time to the head of an answer.
func (m *metrics) first(took time.Duration) {
	m.firsts.Record(context.Background(), took.Seconds())
}

// attempt counts an attempt that ended.
func (m *metrics) attempt(result edge.Result) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result.String())))
}

// table counts a call of the store.
func (m *metrics) table(answer effect.Event, took time.Duration) {
	result := effect.Done
	switch a := answer.(type) {
	case effect.Transacted:
		result = a.Result
	case effect.Rows:
		result = a.Result
	}
	name := [...]string{"done", "conflict", "lost"}[result]
	m.calls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", name)))
	m.store.Record(context.Background(), took.Seconds())
}

// desk serves metrics and the state dump.
func (r *Relay) desk() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.metrics.handler)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, req *http.Request) {
		var state edge.State
		if err := r.ask(req.Context(), func(now time.Time) { state = r.edge.Dump(now) }); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// Whoever asked and went away asks again.
		_ = json.NewEncoder(w).Encode(state)
	})
	return mux
}
