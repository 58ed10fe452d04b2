package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"waxwingwall"
	"waxwingwall/core/edge"
	"waxwingwall/io/origin"
	"waxwingwall/platform/standin"
	"waxwingwall/settings"
)

// fleet is a store, endpoints and relays in one process.
type fleet struct {
	t       *testing.T
	store   *standin.Store
	address netip.AddrPort
	engines []*standin.Endpoint
	ledgers []*standin.Endpoint
	relays  []*testRelay
	calls   int

	// evacuate is settings.Edge.Evacuate of the relays that are started next; zero for the default.
	evacuate time.Duration

	// linkMbps is the link speed of the relays that are started next; zero if it
	// is unknown.
	linkMbps int

	// memoryBytes is the memory of the relays that are started next; zero if it is
	// unknown.
	memoryBytes int64

	// callerTime is the time within which callers of callAll want their answers; zero for
	// the usual time.
	callerTime time.Duration

	// options returns further options of a relay; nil if there are none.
	options func(vm string) []Option
}

// testRelay is one relay with its settings and its log.
type testRelay struct {
	*Relay
	settings settings.Edge
	stop     func()
	log      *lockedBuffer
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newFleet starts a fleet of n relays in front of two engines and two ledgers.
func newFleet(t *testing.T, n int, accounts ...standin.Account) *fleet {
	t.Helper()
	f := &fleet{
		t:     t,
		store: &standin.Store{},
	}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	for i := range 2 {
		engine := &standin.Endpoint{
			ID:     fmt.Sprintf("engine-%d", i),
			Events: 6,
			Delay:  5 * time.Millisecond,
		}
		ledger := &standin.Endpoint{
			ID: fmt.Sprintf("ledger-%d", i),
		}
		t.Cleanup(engine.Start())
		t.Cleanup(ledger.Start())
		f.store.Put("servers", engine.ID, engine.Registration("model", "ready"))
		f.store.Put("servers", ledger.ID, ledger.Registration("ledger", "ready"))
		f.engines = append(f.engines, engine)
		f.ledgers = append(f.ledgers, ledger)
	}
	f.store.Put("op", "config", standin.Configuration(1, accounts...))
	for i := range n {
		f.start(fmt.Sprintf("vm-%d", i))
	}
	return f
}

// start starts a relay and waits until it serves.
func (f *fleet) start(vm string) *testRelay {
	f.t.Helper()
	s := settings.Edge{
		VM:           waxwingwall.VM(vm),
		Domain:       "d1",
		Evacuate:     f.evacuate,
		Callers:      freePort(f.t),
		Readiness:    freePort(f.t),
		Directory:    freePort(f.t),
		Peers:        freePort(f.t),
		Tunnels:      freePort(f.t),
		Metrics:      freePort(f.t),
		Store:        f.address,
		Grace:        5 * time.Second,
		Lifetime:     2 * time.Second,
		RetryRatio:   0.2,
		RetryReserve: 50,
		RetryWindow:  10 * time.Second,
		LinkMbps:     f.linkMbps,
		MemoryBytes:  f.memoryBytes,
	}
	log := logrus.New()
	buffer := &lockedBuffer{}
	log.SetOutput(buffer)
	log.SetFormatter(&logrus.JSONFormatter{})
	opts := []Option{WithLog(logrus.NewEntry(log))}
	if f.options != nil {
		opts = append(opts, f.options(vm)...)
	}
	r, stop, err := New(s, opts...)
	if err != nil {
		f.t.Fatal(err)
	}
	n := &testRelay{
		Relay:    r,
		settings: s,
		stop:     sync.OnceFunc(stop),
		log:      buffer,
	}
	f.t.Cleanup(n.stop)
	f.relays = append(f.relays, n)
	f.waitUntil("relay serves requests", func() bool {
		if !standin.Ready("http://" + s.Readiness.String()) {
			return false
		}
		a := f.call(n, "quote", "", 0, 0)
		return a.status == http.StatusOK
	})
	return n
}

// The ports of relays are below the ephemeral range, so that no outgoing connection
// takes a port before its relay does. Runs in parallel start portsPerRun from each
// other.
const (
	firstPort   = 30_000
	portCount   = 2_560
	portsPerRun = 256
)

// nextPort is the offset of the next port to try.
var nextPort atomic.Uint32

// freePort returns an unused local port.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	for range portCount {
		port := firstPort + (uint32(os.Getpid())*portsPerRun+nextPort.Add(1))%portCount
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// waitUntil waits for a condition.
func (f *fleet) waitUntil(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatal("timed out waiting for: " + what)
}

// answer is the result of a caller's request with an ID.
type answer struct {
	id     string
	status int
	body   string
	seal   string
	header http.Header
	err    error
}

// call sends one request with a new ID and reads its answer.
func (f *fleet) call(n *testRelay, route, body string, prompt, output int) answer {
	f.calls++
	return f.callAs(n, fmt.Sprintf("call-%d", f.calls), "key", "/"+route+"/x%2Fy?a=b;c", body, prompt, output)
}

func (f *fleet) callAs(n *testRelay, id, key, target, body string, prompt, output int) answer {
	return f.callWithin(0, n, id, key, target, body, prompt, output)
}

// callWithin is callAs for a caller that names a time within which it wants its answer; zero
// for the usual time.
func (f *fleet) callWithin(timeout time.Duration, n *testRelay, id, key, target, body string, prompt, output int) answer {
	ctx, cancel := context.WithTimeout(context.Background(), max(10*time.Second, timeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.settings.Callers.String()+target, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "a.example"
	standin.SetHeaders(req.Header, id, key, prompt, output)
	if timeout > 0 {
		standin.SetTimeout(req.Header, timeout)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{
			id:  id,
			err: err,
		}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{
		id:     id,
		status: resp.StatusCode,
		body:   string(text),
		seal:   standin.Seal(resp.Header),
		header: resp.Header,
		err:    err,
	}
}

// logRequest prints what the routers logged of a request.
func (f *fleet) logRequest(id string) {
	f.t.Helper()
	for _, n := range f.relays {
		for line := range strings.Lines(n.log.String()) {
			if strings.Contains(line, `"request":"`+id+`"`) {
				f.t.Logf("%s: %s", n.settings.VM, line)
			}
		}
	}
}

// streamText returns the complete stream of an engine with n events.
func streamText(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// runs returns the runs of a call at all endpoints.
func (f *fleet) runs(id string) []standin.Run {
	var all []standin.Run
	for _, e := range append(append([]*standin.Endpoint{}, f.engines...), f.ledgers...) {
		for _, r := range e.Runs() {
			if r.Call == id {
				all = append(all, r)
			}
		}
	}
	return all
}

var testAccount = standin.Account{
	Name:    "shop",
	Key:     "key",
	Prepaid: 1_000_000,
}

// TestPassThrough: method, target and body are forwarded unchanged, the key is
// not forwarded, and the answer is returned with its seal.
func TestPassThrough(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	a := f.call(f.relays[0], "order", "40 loaves", 0, 0)
	if a.status != http.StatusOK || !strings.HasSuffix(a.body, ": 40 loaves") || a.seal == "" {
		t.Fatalf("%+v", a)
	}
	r := f.runs(fmt.Sprintf("call-%d", f.calls))
	if len(r) != 1 || r[0].Method != http.MethodPost || r[0].Target != "/order/x%2Fy?a=b;c" || r[0].Body != "40 loaves" || r[0].Account != "shop" || r[0].Key != "" {
		t.Fatalf("%+v", r)
	}
	if s := f.call(f.relays[0], "draft", "hello", 1000, 50); s.body != streamText(6) || s.err != nil {
		t.Fatalf("%+v", s)
	}
}

// TestBadRequests: invalid requests are refused and reach no endpoint.
func TestBadRequests(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	n := f.relays[0]
	for name, a := range map[string]struct {
		answer answer
		status int
	}{
		"no id":        {f.callAs(n, "", "key", "/order/", "", 0, 0), http.StatusBadRequest},
		"unknown key":  {f.callAs(n, "bad-1", "other", "/order/", "", 0, 0), http.StatusUnauthorized},
		"no route":     {f.callAs(n, "bad-2", "key", "/nothing/", "", 0, 0), http.StatusNotFound},
		"large body":   {f.callAs(n, "bad-3", "key", "/order/", strings.Repeat("x", 2000), 0, 0), http.StatusRequestEntityTooLarge},
		"large header": {f.callAs(n, "bad-4", "key", "/order/?"+strings.Repeat("x", 5000), "", 0, 0), http.StatusRequestHeaderFieldsTooLarge},
	} {
		if a.answer.status != a.status {
			t.Errorf("%s: %+v", name, a.answer)
		}
	}
	for _, id := range []string{"", "bad-1", "bad-2", "bad-3", "bad-4"} {
		if r := f.runs(id); len(r) > 0 {
			t.Errorf("%q ran: %+v", id, r)
		}
	}
}

// TestFullLinkRefusesBodies guards against a router that takes more bodies than its
// link carries on: what it can't carry is refused at once as not run.
func TestFullLinkRefusesBodies(t *testing.T) {
	f := newFleet(t, 0, testAccount)
	f.linkMbps = 1
	n := f.start("vm-0")
	var served, refused int
	for i := range 60 {
		id := fmt.Sprintf("body-%d", i)
		a := f.callAs(n, id, "key", "/order/", strings.Repeat("x", 900), 0, 0)
		switch {
		case a.status == http.StatusOK:
			served++
		case a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "" && len(f.runs(id)) == 0:
			refused++
		default:
			t.Fatalf("%+v", a)
		}
	}
	if served == 0 || refused < 20 {
		t.Fatalf("%d served, %d refused", served, refused)
	}
}

// TestSlowBody: a request whose body stalls is answered with 408.
func TestSlowBody(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	c, err := net.Dial("tcp", f.relays[0].settings.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /order/ HTTP/1.1\r\nHost: a.example\r\n")
	h := http.Header{}
	standin.SetHeaders(h, "slow", "key", 0, 0)
	_ = h.Write(c)
	fmt.Fprint(c, "Content-Length: 10\r\n\r\nabc")
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 12)
	if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "HTTP/1.1 408" {
		t.Fatalf("%q %v", answer, err)
	}
	if r := f.runs("slow"); len(r) > 0 {
		t.Fatalf("%+v", r)
	}
}

// TestBrokenAnswers: a resumable stream continues at the other engine without
// gap or repetition; another stream does not look complete; an order whose answer
// was lost is neither run again nor reported as not run.
func TestBrokenAnswers(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	n := f.relays[0]
	resumed := false
	for range 20 {
		f.engines[0].Break(1, 2)
		if a := f.call(n, "advice", "", 1000, 50); a.body != streamText(6) || a.err != nil {
			t.Errorf("resumed: %+v", a)
		}
		for _, r := range f.runs(fmt.Sprintf("call-%d", f.calls)) {
			resumed = resumed || r.Offset == "2"
		}
		f.engines[0].Break(0, 0)
	}
	if !resumed {
		t.Error("no stream was resumed after its second event")
	}
	for _, e := range f.engines {
		e.Break(1, 2)
	}
	if a := f.call(n, "draft", "", 1000, 50); a.err == nil {
		t.Errorf("interrupted stream looks complete: %+v", a)
	}
	for _, e := range f.ledgers {
		e.Break(1, 0)
	}
	a := f.call(n, "order", "glass", 0, 0)
	if r := f.runs(fmt.Sprintf("call-%d", f.calls)); a.status != http.StatusBadGateway || len(r) != 1 {
		t.Errorf("%+v, %d runs", a, len(r))
	}
}

// TestFailover: a request that an endpoint declined, and an idempotent request
// that failed there, is served by another endpoint.
func TestFailover(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	n := f.relays[0]
	f.ledgers[0].Decline(100)
	f.ledgers[1].Decline(0)
	for range 5 {
		if a := f.call(n, "order", "", 0, 0); a.status != http.StatusOK || a.seal != "seal-ledger-1" {
			t.Errorf("%+v", a)
		}
	}
	f.ledgers[0].Decline(0)
	f.ledgers[0].Fail(http.StatusInternalServerError)
	for range 5 {
		if a := f.call(n, "quote", "", 0, 0); a.status != http.StatusOK || a.seal != "seal-ledger-1" {
			t.Errorf("%+v", a)
		}
	}
}

// TestBudget: a request whose worst case exceeds the budget is refused as not
// run; tokens that were reserved but not used are available to other requests; a
// raised total soon takes effect at every router.
func TestBudget(t *testing.T) {
	account := testAccount
	account.Prepaid = 5_000
	f := newFleet(t, 2, account)
	if a := f.call(f.relays[0], "draft", "", 6_000, 100); a.status != http.StatusPaymentRequired {
		t.Fatalf("%+v", a)
	}
	// Each costs 1,000 for its prompt and 30 for its six events of five tokens.
	served := 0
	for i := range 8 {
		if a := f.call(f.relays[i%2], "draft", "", 1_000, 100); a.status == http.StatusOK {
			served++
		}
	}
	if served != 4 {
		t.Errorf("%d served with a budget for 4", served)
	}
	account.Prepaid = 20_000
	f.store.Put("op", "config", standin.Configuration(2, account))
	for _, n := range f.relays {
		f.waitUntil("raised total is available", func() bool {
			return f.call(n, "draft", "", 1_000, 100).status == http.StatusOK
		})
	}
}

// TestRestart: a router that restarts after an immediate stop recovers the share
// of its previous incarnation, and both incarnations together stay within the
// budget.
func TestRestart(t *testing.T) {
	account := testAccount
	account.Prepaid = 20_000
	f := newFleet(t, 2, account)
	served := 0
	for range 3 {
		if f.call(f.relays[0], "draft", "", 1_000, 100).status == http.StatusOK {
			served++
		}
	}
	f.relays[0].stop()
	restarted := f.start("vm-0")
	f.waitUntil("previous incarnation is closed", func() bool {
		return strings.Contains(restarted.log.String(), `"msg":"closed"`)
	})
	for range 40 {
		if f.call(restarted, "draft", "", 1_000, 100).status == http.StatusOK {
			served++
		}
	}
	if used := served * 1_030; used > 20_000 {
		t.Errorf("%d tokens used of 20,000", used)
	}
	if served < 10 {
		t.Errorf("%d served", served)
	}
}

// TestConfigurationInForce: a new configuration, including the removal of a key,
// soon takes effect at every router.
func TestConfigurationInForce(t *testing.T) {
	f := newFleet(t, 2, testAccount)
	other := testAccount
	other.Key = "other"
	f.store.Put("op", "config", standin.Configuration(2, other))
	for _, n := range f.relays {
		f.waitUntil("key is rejected", func() bool {
			return f.call(n, "order", "", 0, 0).status == http.StatusUnauthorized
		})
	}
}

// TestOutage: requests, including those that cost tokens, are served while the
// store is unavailable.
func TestOutage(t *testing.T) {
	f := newFleet(t, 2, testAccount)
	f.waitUntil("routers have drawn shares", func() bool {
		return strings.Contains(f.relays[0].log.String(), `"trade":"drawn"`) && strings.Contains(f.relays[1].log.String(), `"trade":"drawn"`)
	})
	f.store.SetDown(true)
	time.Sleep(200 * time.Millisecond)
	for i := range 10 {
		if a := f.call(f.relays[i%2], "draft", "", 1_000, 100); a.status != http.StatusOK {
			t.Errorf("%+v", a)
		}
		if a := f.call(f.relays[i%2], "order", "", 0, 0); a.status != http.StatusOK {
			t.Errorf("%+v", a)
		}
	}
}

// TestGracefulStop: a draining router is not ready, disappears from the addresses
// that its peers return, does not interrupt a stream and completes the stop.
func TestGracefulStop(t *testing.T) {
	f := newFleet(t, 2, testAccount)
	leaving, other := f.relays[0], f.relays[1]
	address := leaving.settings.Callers.String()
	listed := func() bool {
		all, err := standin.Addresses("http://" + other.settings.Directory.String())
		return err == nil && strings.Contains(strings.Join(all, " "), address)
	}
	f.waitUntil("peer lists the router", listed)
	for _, e := range f.engines {
		e.Delay = 200 * time.Millisecond
	}
	done := make(chan answer)
	go func() { done <- f.callAs(leaving, "long", "key", "/draft/", "", 1_000, 100) }()
	f.waitUntil("stream is running", func() bool { return len(f.runs("long")) == 1 })
	leaving.Drain()
	f.waitUntil("router is not ready", func() bool { return !standin.Ready("http://" + leaving.settings.Readiness.String()) })
	f.waitUntil("peer no longer lists the router", func() bool { return !listed() })
	if a := <-done; a.body != streamText(6) || a.err != nil {
		t.Errorf("%+v", a)
	}
	select {
	case <-leaving.Drained():
	case <-time.After(10 * time.Second):
		t.Fatal("router did not stop")
	}
}

// TestCallerDisconnects: the router detects that a caller disconnected while its
// stream is running.
func TestCallerDisconnects(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	for _, e := range f.engines {
		e.Delay = 300 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.relays[0].settings.Callers.String()+"/draft/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	standin.SetHeaders(req.Header, "leaver", "key", 1000, 100)
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	f.waitUntil("stream is running", func() bool { return len(f.runs("leaver")) == 1 })
	cancel()
	f.waitUntil("router logs the disconnection", func() bool {
		return strings.Contains(f.relays[0].log.String(), `"msg":"caller_left"`)
	})
}

// TestMetricsAndState: metrics and the state dump are served.
func TestMetricsAndState(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	f.call(f.relays[0], "order", "", 0, 0)
	base := "http://" + f.relays[0].settings.Metrics.String()
	for path, want := range map[string]string{
		"/metrics": "waxwingwall_edge_requests_total",
		"/state":   `"registered":true`,
	} {
		resp, err := http.Get(base + path)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || !strings.Contains(string(text), want) {
			t.Errorf("%s: no %s in %.300s", path, want, text)
		}
	}
}

// metricName matches the name of a metric in the text format.
var metricName = regexp.MustCompile(`waxwingwall_edge_[a-z_]+`)

// TestMetricsAreDocumented: the operations page lists exactly the metrics that
// are exported.
func TestMetricsAreDocumented(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	n := f.relays[0]
	f.call(n, "draft", "", 1000, 100)
	f.call(n, "draft", "", 2_000_000, 100)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, name := range metricName.FindAllString(string(page), -1) {
		documented[name] = true
	}
	resp, err := http.Get("http://" + n.settings.Metrics.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		t.Fatal(err)
	}
	served := map[string]bool{}
	for line := range strings.SplitSeq(string(text), "\n") {
		if name, ok := strings.CutPrefix(line, "# TYPE "); ok {
			name, _, _ = strings.Cut(name, " ")
			if metricName.MatchString(name) {
				served[name] = true
			}
		}
	}
	for name := range served {
		if !documented[name] {
			t.Errorf("%s is not documented", name)
		}
	}
	for name := range documented {
		if !served[name] {
			t.Errorf("%s is documented but not served", name)
		}
	}
}

// TestRequestLogEntries: the log entries with a request's ID cover it from its
// dispatch to its end.
func TestRequestLogEntries(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	f.call(f.relays[0], "draft", "", 1000, 100)
	f.checkLogEntries("served", map[string][]string{
		"dispatched": {"endpoint", "among", "cost_ms", "reserved", "version", "left"},
		"served": {
			"endpoint", "attempt", "status", "framing", "first", "took", "budget", "used", "reserved", "events", "after", "rank",
		},
	})
	for _, e := range f.engines {
		e.Break(1, 2)
	}
	f.call(f.relays[0], "draft", "", 1000, 100)
	f.checkLogEntries("cut", map[string][]string{
		"dispatched":    {"endpoint", "among", "cost_ms", "reserved", "version", "left"},
		"attempt_ended": {"endpoint", "result", "status", "framing", "first", "took", "cause"},
		"billed":        {"budget", "used", "reserved"},
		"cut":           {"events", "after"},
	})
}

// checkLogEntries checks the fields of the last request's log entries; last is
// the event of the final one.
func (f *fleet) checkLogEntries(last string, want map[string][]string) {
	t := f.t
	t.Helper()
	id := fmt.Sprintf("call-%d", f.calls)
	f.waitUntil("final log entry", func() bool {
		for line := range strings.SplitSeq(f.relays[0].log.String(), "\n") {
			if strings.Contains(line, `"msg":"`+last+`"`) && strings.Contains(line, `"request":"`+id+`"`) {
				return true
			}
		}
		return false
	})
	for line := range strings.SplitSeq(strings.TrimSpace(f.relays[0].log.String()), "\n") {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if fields["request"] != id {
			continue
		}
		event := fields["msg"].(string)
		for _, name := range want[event] {
			if _, ok := fields[name]; !ok {
				t.Errorf("%s has no %s: %s", event, name, line)
			}
		}
		delete(want, event)
	}
	if len(want) > 0 {
		t.Errorf("missing log entries: %v", want)
	}
}

// TestFailedAttempt: the results of attempts that sent nothing differ from those that
// may have run.
func TestFailedAttempt(t *testing.T) {
	for err, want := range map[error]edge.Result{
		origin.ErrUnreachable: edge.Unreachable,
		origin.ErrExpired:     edge.Expired,
		origin.ErrIdleTimeout: edge.IdleTimeout,
		io.ErrUnexpectedEOF:   edge.Broken,
	} {
		if got := failedAttempt(trace.Wrap(err)).Result; got != want {
			t.Errorf("%v: got %v, want %v", err, got, want)
		}
	}
}
