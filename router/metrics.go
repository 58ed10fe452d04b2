package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/io/meter"
)

// metrics holds the router's OpenTelemetry instruments.
type metrics struct {
	handler http.Handler
	close   func()

	requests   metric.Int64Counter
	tokens     metric.Int64Counter
	firstToken metric.Float64Histogram
	writes     metric.Int64Counter
	reads      metric.Int64Counter
}

// newMetrics creates the instruments in their own registry.
func newMetrics(r *Router) (*metrics, error) {
	meter, handler, stop, err := meter.New("waxwingwall")
	if err != nil {
		return nil, err
	}
	m := &metrics{
		handler: handler,
		close:   stop,
	}
	if m.requests, err = meter.Int64Counter("waxwingwall.requests", metric.WithDescription("Final answers, by rank and code.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.tokens, err = meter.Int64Counter("waxwingwall.tokens", metric.WithDescription("Tokens billed.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.firstToken, err = meter.Float64Histogram("waxwingwall.first_token", metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival at its owner to its first token.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.writes, err = meter.Int64Counter("waxwingwall.table.writes", metric.WithDescription("Table transactions, by result.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.reads, err = meter.Int64Counter("waxwingwall.table.reads", metric.WithDescription("Table reads, by result.")); err != nil {
		return nil, trace.Wrap(err)
	}
	_, err = meter.Int64ObservableGauge("waxwingwall.runs", metric.WithDescription("Requests kept at this owner, running and ended."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(r.runs.count()))
			return nil
		}))
	return m, trace.Wrap(err)
}

// recordAnswer counts a final answer and its tokens.
func (m *metrics) recordAnswer(r *waxwingwall.Request, e waxwingwall.End) {
	code := "ok"
	if e.Problem != nil {
		code = e.Problem.Code
	}
	ctx := context.Background()
	rank := attribute.String("rank", strconv.Itoa(int(r.Rank)))
	m.requests.Add(ctx, 1, metric.WithAttributes(rank, attribute.String("code", code)))
	m.tokens.Add(ctx, int64(e.Prompt+e.Output), metric.WithAttributes(rank))
}

// recordFirstToken records the time to the first token.
func (m *metrics) recordFirstToken(r *waxwingwall.Request, d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("rank", strconv.Itoa(int(r.Rank)))))
}

// recordTable counts a response of the table.
func (m *metrics) recordTable(answer effect.Event) {
	switch e := answer.(type) {
	case effect.Transacted:
		m.writes.Add(context.Background(), 1, metric.WithAttributes(resultAttribute(e.Result)))
	case effect.Rows:
		m.reads.Add(context.Background(), int64(max(1, len(e.Rows))), metric.WithAttributes(resultAttribute(e.Result)))
	}
}

func resultAttribute(r effect.Result) attribute.KeyValue {
	name := [...]string{"done", "conflict", "lost"}[r]
	return attribute.String("result", name)
}
