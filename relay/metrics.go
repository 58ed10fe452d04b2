package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingwall"
	"waxwingwall/core/edge"
	"waxwingwall/core/effect"
	"waxwingwall/io/meter"
	"waxwingwall/io/peer"
	"waxwingwall/io/quota"
)

// metrics are the OpenTelemetry instruments of a relay.
type metrics struct {
	handler http.Handler
	close   func()
	meter   metric.Meter

	requests       metric.Int64Counter
	attempts       metric.Int64Counter
	storeCalls     metric.Int64Counter
	budgetShort    metric.Int64Counter
	shareTokens    metric.Int64Counter
	closedTokens   metric.Int64Counter
	markWrites     metric.Int64Counter
	retriesRefused metric.Int64Counter
	oldList        metric.Int64Counter
	evacuated      metric.Int64Gauge
	coldPermits    metric.Int64Counter
	queueTurns     metric.Int64Counter
	accountTurns   metric.Int64Counter
	queueWait      metric.Float64Counter
	omittedLines   metric.Int64Counter
	openRequests   metric.Int64UpDownCounter
	callerConns    metric.Int64Counter
	duration       metric.Float64Histogram
	firstEvent     metric.Float64Histogram
	storeDuration  metric.Float64Histogram
	controlWait    metric.Float64Histogram

	// markWritesSeen is the number of writes that markWrites has, of the router's present book.
	markWritesSeen int

	// mu guards endpoints and accounts, those that have their own label.
	mu        sync.Mutex
	endpoints map[waxwingwall.Endpoint]bool
	accounts  map[waxwingwall.Account]bool
}

// maxEndpoints limits the number of endpoint labels; further endpoints are counted
// as "others". The number grows because a replaced endpoint has a new name.
const maxEndpoints = 1000

// maxAccounts limits the number of account labels; further accounts are counted as "others".
const maxAccounts = 100

// newMetrics creates the instruments in a separate registry.
func newMetrics(queueLength func() int, endpointsAge func() time.Duration, links func() peer.LinksStats, waiting func() quota.Stats) (*metrics, error) {
	meter, handler, stop, err := meter.New("waxwingwall")
	if err != nil {
		return nil, err
	}
	m := &metrics{
		handler:   handler,
		close:     stop,
		endpoints: map[waxwingwall.Endpoint]bool{},
		accounts:  map[waxwingwall.Account]bool{},
		meter:     meter,
	}
	observe := func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(int64(queueLength()))
		return nil
	}
	if _, err = meter.Int64ObservableGauge("waxwingwall.edge.control_queue", metric.WithInt64Callback(observe), metric.WithDescription("Events that wait for a decision.")); err != nil {
		return nil, trace.Wrap(err)
	}
	observeAge := func(_ context.Context, o metric.Float64Observer) error {
		o.Observe(endpointsAge().Seconds())
		return nil
	}
	if _, err = meter.Float64ObservableGauge("waxwingwall.edge.endpoints_age", metric.WithUnit("s"), metric.WithFloat64Callback(observeAge), metric.WithDescription("Time since the router last had all changes of the endpoints.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.coldPermits, err = meter.Int64Counter("waxwingwall.edge.cold_permits", metric.WithDescription("Asks for permits of cold endpoints, by result.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.queueTurns, err = meter.Int64Counter("waxwingwall.edge.queue_turns", metric.WithDescription("Requests that had to wait for room or were refused for want of it, by result and rank.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.accountTurns, err = meter.Int64Counter("waxwingwall.edge.queue_account_turns", metric.WithDescription("The same requests, by account and result.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.queueWait, err = meter.Float64Counter("waxwingwall.edge.queue_wait", metric.WithUnit("s"), metric.WithDescription("Time that requests waited for room, by result and rank.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if err = observeLinks(meter, links); err != nil {
		return nil, trace.Wrap(err)
	}
	if err = observeWaiting(meter, waiting); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.controlWait, err = meter.Float64Histogram("waxwingwall.edge.control_wait", metric.WithUnit("s"), metric.WithDescription("Time that an event waits for a decision.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.requests, err = meter.Int64Counter("waxwingwall.edge.requests", metric.WithDescription("Requests that ended, by code and rank.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.attempts, err = meter.Int64Counter("waxwingwall.edge.attempts", metric.WithDescription("Attempts, by endpoint and result.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.storeCalls, err = meter.Int64Counter("waxwingwall.edge.store_calls", metric.WithDescription("Calls of the store, by result.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.budgetShort, err = meter.Int64Counter("waxwingwall.edge.budget_short", metric.WithDescription("Requests for which there were no tokens, by reason.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.shareTokens, err = meter.Int64Counter("waxwingwall.edge.share_tokens", metric.WithDescription("Tokens by which shares changed other than by use, by trade.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.closedTokens, err = meter.Int64Counter("waxwingwall.edge.closed_share_tokens", metric.WithDescription("Tokens of the shares of dead routers that this one closed, by fate.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.markWrites, err = meter.Int64Counter("waxwingwall.edge.share_mark_writes", metric.WithDescription("Writes of share rows with marks and the store's clock.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.retriesRefused, err = meter.Int64Counter("waxwingwall.edge.retries_refused", metric.WithDescription("Attempts not made as the retry budget was spent.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.oldList, err = meter.Int64Counter("waxwingwall.edge.old_list_refused", metric.WithDescription("Requests refused as the list of endpoints was too old.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.evacuated, err = meter.Int64Gauge("waxwingwall.edge.evacuated_domains", metric.WithDescription("Failure domains that are to be empty.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.omittedLines, err = meter.Int64Counter("waxwingwall.edge.log_lines_left_out", metric.WithDescription("Log lines left out as there were too many.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.openRequests, err = meter.Int64UpDownCounter("waxwingwall.edge.requests_open", metric.WithDescription("Requests that have not ended.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.callerConns, err = meter.Int64Counter("waxwingwall.edge.caller_connections", metric.WithDescription("Connections on which a caller sent a request, by whether the router lists itself to callers.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.duration, err = meter.Float64Histogram("waxwingwall.edge.duration", metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival to its end, by code and rank.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.firstEvent, err = meter.Float64Histogram("waxwingwall.edge.first_event", metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival to the head of its answer.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.storeDuration, err = meter.Float64Histogram("waxwingwall.edge.store_duration", metric.WithUnit("s"), metric.WithDescription("Time of a call of the store.")); err != nil {
		return nil, trace.Wrap(err)
	}
	m.retriesRefused.Add(context.Background(), 0)
	m.markWrites.Add(context.Background(), 0)
	m.oldList.Add(context.Background(), 0)
	m.evacuated.Record(context.Background(), 0)
	for _, result := range []string{"granted", "denied"} {
		m.coldPermits.Add(context.Background(), 0, metric.WithAttributes(attribute.String("result", result)))
	}
	for _, result := range []string{"granted", "late", "displaced", "refused"} {
		with := metric.WithAttributes(attribute.String("result", result), attribute.Int("rank", 0))
		m.queueTurns.Add(context.Background(), 0, with)
		m.queueWait.Add(context.Background(), 0, with)
		m.accountTurns.Add(context.Background(), 0, metric.WithAttributes(attribute.String("result", result), attribute.String("account", "others")))
	}
	m.omittedLines.Add(context.Background(), 0)
	for _, listed := range []bool{false, true} {
		m.callerConns.Add(context.Background(), 0, metric.WithAttributes(attribute.Bool("listed", listed)))
	}
	m.addClosedTokens(func(string) int64 { return 0 }, "none")
	return m, nil
}

// observeCold adds the instrument of the cold endpoints.
func (m *metrics) observeCold(count func() int) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(int64(count()))
		return nil
	}
	_, err := m.meter.Int64ObservableGauge("waxwingwall.edge.cold_endpoints", metric.WithInt64Callback(observe), metric.WithDescription("Endpoints with the limit of cold ones."))
	return err
}

// observeAsked adds the instrument of what callers ask of the VM's link.
func (m *metrics) observeAsked(asked func() float64) error {
	observe := func(_ context.Context, o metric.Float64Observer) error {
		o.Observe(asked())
		return nil
	}
	_, err := m.meter.Float64ObservableGauge("waxwingwall.edge.link_asked", metric.WithFloat64Callback(observe), metric.WithDescription("Part of the link's speed that callers ask for, refused requests included."))
	return err
}

// observeLinks adds the instruments of the links to peers.
func observeLinks(meter metric.Meter, links func() peer.LinksStats) error {
	connections, err := meter.Int64ObservableGauge("waxwingwall.edge.peer_connections", metric.WithDescription("Open connections to peers."))
	if err != nil {
		return err
	}
	queued, err := meter.Int64ObservableGauge("waxwingwall.edge.peer_queue", metric.WithUnit("By"), metric.WithDescription("Size of the messages that wait to be sent to peers."))
	if err != nil {
		return err
	}
	dropped, err := meter.Int64ObservableCounter("waxwingwall.edge.peer_messages_dropped", metric.WithDescription("Messages to peers that were dropped or could not be sent."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := links()
		o.ObserveInt64(connections, int64(s.Connections))
		o.ObserveInt64(queued, int64(s.QueuedBytes))
		o.ObserveInt64(dropped, s.Dropped)
		return nil
	}, connections, queued, dropped)
	return err
}

// observeWaiting adds the instruments of the bytes that wait in the process.
func observeWaiting(meter metric.Meter, waiting func() quota.Stats) error {
	used, err := meter.Int64ObservableGauge("waxwingwall.edge.waiting", metric.WithUnit("By"), metric.WithDescription("Bytes of requests and answers that wait in the process."))
	if err != nil {
		return err
	}
	refused, err := meter.Int64ObservableCounter("waxwingwall.edge.waiting_refused", metric.WithDescription("Requests and answers for which there was no memory."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := waiting()
		o.ObserveInt64(used, s.Used)
		o.ObserveInt64(refused, s.Refused)
		return nil
	}, used, refused)
	return err
}

// countEntry updates the counters that derive from log entries.
func (m *metrics) countEntry(entry edge.LogEntry) {
	ctx := context.Background()
	switch entry.Event {
	case "budget_short":
		m.budgetShort.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", entry.Text("reason"))))
	case "share_traded":
		m.shareTokens.Add(ctx, entry.Number("tokens"), metric.WithAttributes(attribute.String("trade", entry.Text("trade"))))
	case "share_closed":
		m.addClosedTokens(entry.Number, entry.Text("proof"))
	case "permit_cold":
		m.coldPermits.Add(ctx, 1, metric.WithAttributes(attribute.String("result", entry.Text("result"))))
	case "queue_left", "room_short":
		m.turnEnded(entry)
	case "retry_budget_spent":
		m.retriesRefused.Add(ctx, 1)
	case "refused":
		if entry.Text("code") == edge.CodeOldList {
			m.oldList.Add(ctx, 1)
		}
	}
}

// turnEnded counts a request that waited for room, or was refused at once for want of it.
func (m *metrics) turnEnded(entry edge.LogEntry) {
	result := attribute.String("result", entry.Text("result"))
	var rank waxwingwall.Rank
	var waited time.Duration
	var account waxwingwall.Account
	for _, f := range entry.Fields {
		switch v := f.Value.(type) {
		case waxwingwall.Rank:
			rank = v
		case waxwingwall.Account:
			account = v
		case time.Duration:
			if f.Name == "waited" {
				waited = v
			}
		}
	}
	with := metric.WithAttributes(result, attribute.Int("rank", int(rank)))
	m.queueTurns.Add(context.Background(), 1, with)
	m.queueWait.Add(context.Background(), waited.Seconds(), with)
	m.accountTurns.Add(context.Background(), 1, metric.WithAttributes(result, attribute.String("account", m.accountLabel(account))))
}

// accountLabel returns the label of an account.
func (m *metrics) accountLabel(a waxwingwall.Account) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accounts[a] {
		if len(m.accounts) >= maxAccounts {
			return "others"
		}
		m.accounts[a] = true
	}
	return string(a)
}

// addClosedTokens counts the tokens of the share of a dead router by fate and by the marks that
// showed it. An amount can be negative if tokens of peers are part of it; a counter takes none of
// these.
func (m *metrics) addClosedTokens(number func(fate string) int64, proof string) {
	for _, fate := range []string{"returned", "lost", "unmarked"} {
		m.closedTokens.Add(context.Background(), max(number(fate), 0), metric.WithAttributes(attribute.String("fate", fate), attribute.String("proof", proof)))
	}
}

// requestEnded counts a request that has ended.
func (m *metrics) requestEnded(code string, rank waxwingwall.Rank, duration time.Duration) {
	with := metric.WithAttributes(attribute.String("code", code), attribute.Int("rank", int(rank)))
	m.requests.Add(context.Background(), 1, with)
	m.duration.Record(context.Background(), duration.Seconds(), with)
}

// jobStarted records how long a job waited for the control goroutine.
func (m *metrics) jobStarted(waited time.Duration) {
	m.controlWait.Record(context.Background(), waited.Seconds())
}

// answerStarted records the time to the header of an answer.
func (m *metrics) answerStarted(took time.Duration) {
	m.firstEvent.Record(context.Background(), took.Seconds())
}

// attemptEnded counts an attempt that has ended.
func (m *metrics) attemptEnded(at waxwingwall.Endpoint, result edge.Result) {
	with := metric.WithAttributes(attribute.String("endpoint", m.endpointLabel(at)), attribute.String("result", result.String()))
	m.attempts.Add(context.Background(), 1, with)
}

// endpointLabel returns the label of an endpoint.
func (m *metrics) endpointLabel(at waxwingwall.Endpoint) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.endpoints[at] {
		if len(m.endpoints) >= maxEndpoints {
			return "others"
		}
		m.endpoints[at] = true
	}
	return string(at)
}

// storeCall counts a call to the store and records its duration.
func (m *metrics) storeCall(answer effect.Event, took time.Duration) {
	result := effect.Done
	switch a := answer.(type) {
	case effect.Transacted:
		result = a.Result
	case effect.Rows:
		result = a.Result
	}
	name := [...]string{"done", "conflict", "lost"}[result]
	m.storeCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", name)))
	m.storeDuration.Record(context.Background(), took.Seconds())
}

// statusHandler returns the handler for metrics and the state dump.
func (r *Relay) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.metrics.handler)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, req *http.Request) {
		var state edge.State
		if err := r.callControl(req.Context(), func(now time.Time) { state = r.edge.Dump(now) }); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client disconnected.
		_ = json.NewEncoder(w).Encode(state)
	})
	return mux
}

// observeMarkWrites counts the writes with marks since the last call. The number begins anew with a
// new incarnation. It is called by the control goroutine alone.
func (m *metrics) observeMarkWrites(total int) {
	if total < m.markWritesSeen {
		m.markWritesSeen = 0
	}
	m.markWrites.Add(context.Background(), int64(total-m.markWritesSeen))
	m.markWritesSeen = total
}
