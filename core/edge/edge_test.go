package edge

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/quarantine"
)

// bench drives one Edge.
type bench struct {
	t    rapid.TB
	edge *Edge
	now  time.Time
	next uint64
}

// newBench returns an Edge with a configuration and endpoints.
func newBench(t rapid.TB, opts ...Option) *bench {
	b := &bench{
		t:   t,
		now: time.Unix(1_800_000_000, 0),
	}
	b.edge = New(
		waxwingwall.Incarnation{
			VM:   "vm-1",
			Boot: 1,
		},
		RouterInfo{
			Peers:   netip.MustParseAddrPort("10.0.0.1:1"),
			Callers: netip.MustParseAddrPort("10.0.0.1:2"),
		},
		append([]Option{WithSeed(1)}, opts...)...,
	)
	b.step(Configured{Configuration: testConfiguration(1)})
	b.step(Replicas{
		Snapshot: true,
		Replicas: append(engines(4), ledgers(3)...),
		Revision: 10,
	})
	return b
}

// testConfiguration has a route of each kind.
func testConfiguration(version int64) waxwingwall.Configuration {
	route := func(name string, kind waxwingwall.CallKind, service waxwingwall.Model) waxwingwall.Route {
		return waxwingwall.Route{
			Name:      name,
			Host:      "a.example",
			Prefix:    "/" + name + "/",
			Kind:      kind,
			Services:  []waxwingwall.Weighted{{Service: service, Weight: 1}},
			Timeout:   5 * time.Second,
			Objective: 300 * time.Millisecond,
			Pause:     500 * time.Millisecond,
			Attempts:  2,
			Affine:    kind == waxwingwall.Streaming,
		}
	}
	draft := route("draft", waxwingwall.Streaming, "model")
	draft.Attempts = 1
	advice := route("advice", waxwingwall.Streaming, "model")
	advice.Resumable = true
	order := route("order", waxwingwall.NonIdempotent, "ledger")
	order.Attempts = 1
	return waxwingwall.Configuration{
		Version: version,
		Routes:  []waxwingwall.Route{draft, advice, order, route("quote", waxwingwall.Idempotent, "ledger")},
		Services: []waxwingwall.Service{
			{Name: "model", Engine: true, Slots: 64, Memory: 400_000, EventTokens: 5},
			{Name: "ledger"},
		},
		Accounts: []waxwingwall.ClientAccount{{Name: "shop", Keys: []string{"key"}}},
	}
}

func engines(n int) []waxwingwall.Replica {
	return replicas("model", "engine", n, 64)
}

func ledgers(n int) []waxwingwall.Replica {
	return replicas("ledger", "ledger", n, 6)
}

func replicas(service waxwingwall.Model, name string, n, slots int) []waxwingwall.Replica {
	var all []waxwingwall.Replica
	for i := range n {
		all = append(all, waxwingwall.Replica{
			Endpoint: waxwingwall.Endpoint(fmt.Sprintf("%s-%d", name, i)),
			Service:  service,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(len(name)), byte(i)}), 80),
			Slots:    slots,
		})
	}
	return all
}

// step tells the Edge of an event.
func (b *bench) step(ev effect.Event) []effect.Action {
	return b.edge.Step(b.now, ev)
}

// run lets time pass with ticks.
func (b *bench) run(d time.Duration) []effect.Action {
	var all []effect.Action
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		all = append(all, b.step(effect.Tick{})...)
	}
	return all
}

// call returns a request of a route.
func call(route string) waxwingwall.Call {
	c := waxwingwall.Call{
		ID:            "c",
		Host:          "a.example",
		Path:          "/" + route + "/x",
		Key:           "key",
		CallerTimeout: 8 * time.Second,
	}
	if route == "draft" || route == "advice" {
		c.Prompt = 10_000
		c.MaxOutput = 100
		c.Parts = []waxwingwall.Part{{ID: 7, Tokens: 9_000}, {ID: 8, Tokens: 1_000}}
	}
	return c
}

// arrive begins a request and returns its name with what came of it.
func (b *bench) arrive(c waxwingwall.Call) (uint64, []effect.Action) {
	b.next++
	return b.next, b.step(Arrived{
		Request: b.next,
		Call:    c,
	})
}

// ended ends an attempt.
func (b *bench) ended(d Dispatch, e AttemptEnded) []effect.Action {
	e.Request = d.Request
	e.Attempt = d.Attempt
	return b.step(e)
}

// only returns the one action of a type, or fails.
func only[A effect.Action](b *bench, actions []effect.Action) A {
	b.t.Helper()
	var found []A
	for _, a := range actions {
		if x, ok := a.(A); ok {
			found = append(found, x)
		}
	}
	if len(found) != 1 {
		b.t.Fatalf("%d of %T in %+v", len(found), *new(A), actions)
	}
	return found[0]
}

// has reports whether there is an action of a type.
func has[A effect.Action](actions []effect.Action) bool {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

func TestAdmission(t *testing.T) {
	b := newBench(t)
	for name, test := range map[string]struct {
		change func(*waxwingwall.Call)
		status int
	}{
		"host": {func(c *waxwingwall.Call) { c.Host = "b.example" }, http.StatusNotFound},
		"path": {func(c *waxwingwall.Call) { c.Path = "/quotes" }, http.StatusNotFound},
		"key":  {func(c *waxwingwall.Call) { c.Key = "gone" }, http.StatusUnauthorized},
	} {
		c := call("quote")
		test.change(&c)
		_, out := b.arrive(c)
		if p := only[Refuse](b, out).Problem; p.Status != test.status || p.Outcome != waxwingwall.NotRun {
			t.Errorf("%s: %+v", name, p)
		}
	}
}

// TestNoConfiguration: a router that knows none yet asks callers to come back.
func TestNoConfiguration(t *testing.T) {
	b := newBench(t)
	b.edge.rules = rules{}
	_, out := b.arrive(call("quote"))
	if p := only[Refuse](b, out).Problem; p.Status != http.StatusServiceUnavailable || p.RetryAfter <= 0 {
		t.Errorf("%+v", p)
	}
}

// TestNeverBack: an older configuration does not replace a newer one, whoever
// tells it.
func TestNeverBack(t *testing.T) {
	b := newBench(t)
	newer := testConfiguration(5)
	newer.Accounts[0].Keys = []string{"other"}
	b.step(Configured{Configuration: newer})
	b.step(Configured{Configuration: testConfiguration(4)})
	b.step(effect.Received{
		From:    waxwingwall.Incarnation{VM: "vm-2", Boot: 1},
		Message: News{Configuration: testConfiguration(3)},
	})
	_, out := b.arrive(call("quote"))
	if p := only[Refuse](b, out).Problem; p.Status != http.StatusUnauthorized {
		t.Errorf("%+v", p)
	}
}

// TestOnceOnly: after a send that may have run, a request that must run once
// ends as unknown; after one that did not run it goes elsewhere.
func TestOnceOnly(t *testing.T) {
	for _, result := range []Result{Broken, IdleTimeout, DeadlineExceeded} {
		b := newBench(t)
		_, out := b.arrive(call("order"))
		out = b.ended(only[Dispatch](b, out), AttemptEnded{Result: result})
		if p := only[Refuse](b, out).Problem; p.Outcome != waxwingwall.Unknown || p.Status == http.StatusServiceUnavailable {
			t.Errorf("%s: %+v", result, p)
		}
	}
	for _, result := range []Result{Declined, Unreachable} {
		b := newBench(t)
		_, out := b.arrive(call("order"))
		first := only[Dispatch](b, out)
		second := only[Dispatch](b, b.ended(first, AttemptEnded{Result: result, Status: http.StatusServiceUnavailable}))
		if second.Params.Endpoint == first.Params.Endpoint {
			t.Errorf("%s: sent to the same endpoint again", result)
		}
	}
}

// TestRepeatable: a failure of the endpoint's own is kept back while another may
// do better, and delivered once none may.
func TestRepeatable(t *testing.T) {
	b := newBench(t)
	_, out := b.arrive(call("quote"))
	first := only[Dispatch](b, out)
	if !first.HoldFailure {
		t.Error("the first failure is not kept back")
	}
	second := only[Dispatch](b, b.ended(first, AttemptEnded{Result: Failed, Status: http.StatusInternalServerError}))
	if second.HoldFailure || second.Params.Endpoint == first.Params.Endpoint {
		t.Errorf("%+v", second)
	}
	only[Deliver](b, b.ended(second, AttemptEnded{Result: Failed, Status: http.StatusInternalServerError}))
}

// TestResume: a stream that may go on does so behind the last event that the
// caller has; another is cut.
func TestResume(t *testing.T) {
	b := newBench(t)
	broke := AttemptEnded{Result: Broken, Committed: true, Events: 3, Offset: "3"}
	_, out := b.arrive(call("advice"))
	second := only[Dispatch](b, b.ended(only[Dispatch](b, out), broke))
	if second.Params.Offset != "3" {
		t.Errorf("%+v", second.Params)
	}
	_, out = b.arrive(call("draft"))
	only[Abort](b, b.ended(only[Dispatch](b, out), broke))
}

// TestPromises: whatever endpoints do, a request runs on no more of them than it
// may, one that must run once runs at most once, and "not run" is said only if
// nothing ran.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t)
		name := rapid.SampledFrom([]string{"draft", "advice", "order", "quote"}).Draw(t, "route")
		route := b.edge.rules.route("a.example", "/"+name+"/x")
		id, out := b.arrive(call(name))
		runs, events := 0, 0
		for range 20 {
			if !has[Dispatch](out) {
				break
			}
			d := only[Dispatch](b, out)
			if d.Request != id {
				t.Fatal("another request")
			}
			e := AttemptEnded{
				Result: Result(rapid.IntRange(int(Complete), int(DeadlineExceeded)).Draw(t, "result")),
			}
			ran := e.Result != Declined && e.Result != Unreachable
			if ran {
				runs++
				if route.Kind == waxwingwall.Streaming && rapid.Bool().Draw(t, "committed") {
					events++
				}
			}
			e.Events = events
			e.Committed = events > 0
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "took")) * time.Millisecond)
			out = b.ended(d, e)
		}
		if runs > route.Attempts || !route.Idempotent() && runs > 1 {
			t.Fatalf("%d runs of %+v", runs, route)
		}
		for _, a := range out {
			switch a := a.(type) {
			case Dispatch:
				t.Fatal("no end")
			case Refuse:
				if events > 0 {
					t.Fatal("refused after a part of the answer")
				}
				if a.Problem.Outcome == waxwingwall.NotRun && runs > 0 {
					t.Fatalf("said not to have run after %d runs", runs)
				}
				if a.Problem.Status == http.StatusServiceUnavailable && a.Problem.Outcome != waxwingwall.NotRun {
					t.Fatalf("%+v", a.Problem)
				}
			}
		}
		if len(b.edge.requests) != 0 {
			t.Fatal("the request was not forgotten")
		}
		for _, row := range b.edge.endpoints.rows {
			if row.running != 0 || row.prefill != 0 || row.memory != 0 {
				t.Fatalf("load left behind: %+v", row)
			}
		}
	})
}

// TestRetriesOfTheFleet: over any window, all routers together retry no more
// than the operators allow, also when many start with a full allowance.
func TestRetriesOfTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			ratio   = 0.2
			reserve = 54.0
			window  = 10 * time.Second
		)
		fleet := rapid.IntRange(1, 12).Draw(t, "fleet")
		now := time.Unix(1_800_000_000, 0)
		var rows []*allowance
		for range fleet {
			rows = append(rows, &allowance{
				ratio:   ratio,
				window:  window,
				reserve: reserve / float64(reserveParts*fleet),
				left:    reserve / float64(reserveParts*fleet),
				at:      now,
			})
		}
		type spent struct {
			at      time.Time
			retries int
			firsts  int
		}
		var all []spent
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			a := rows[rapid.IntRange(0, fleet-1).Draw(t, "router")]
			s := spent{at: now}
			if rapid.Bool().Draw(t, "first") {
				a.first()
				s.firsts++
			}
			for range rapid.IntRange(0, 20).Draw(t, "wanted") {
				if a.take(now) {
					s.retries++
				}
			}
			all = append(all, s)
			retries, firsts := 0, 0
			for _, x := range all {
				if now.Sub(x.at) < window {
					retries += x.retries
				}
				if now.Sub(x.at) < 2*window {
					firsts += x.firsts
				}
			}
			if float64(retries) > ratio*float64(firsts)+reserve {
				t.Fatalf("%d retries for %d requests", retries, firsts)
			}
		}
	})
}

// crash breaks a run of a request and lets its endpoint be found gone.
func (b *bench) crash(c waxwingwall.Call) bool {
	_, out := b.arrive(c)
	if !has[Dispatch](out) {
		return false
	}
	d := only[Dispatch](b, out)
	b.ended(d, AttemptEnded{Result: Broken})
	b.step(Replicas{Removed: []waxwingwall.Endpoint{d.Params.Endpoint}, Revision: 11})
	b.run(100 * time.Millisecond)
	return true
}

// TestPoison: the fourth send of a request that crashed three endpoints is
// refused, here and at a peer that was told; a run that broke off at an endpoint
// that lives does not count.
func TestPoison(t *testing.T) {
	b := newBench(t)
	c := call("draft")
	c.Fingerprint = 42
	var told []quarantine.Notice
	for i := range 3 {
		if !b.crash(c) {
			t.Fatalf("refused after %d crashes", i)
		}
		b.step(Replicas{Replicas: []waxwingwall.Replica{{
			Endpoint: waxwingwall.Endpoint(fmt.Sprintf("new-%d", i)),
			Service:  "model",
			Address:  netip.MustParseAddrPort(fmt.Sprintf("10.2.0.%d:80", i)),
		}}, Revision: 12})
	}
	if b.crash(c) {
		t.Error("sent a fourth time")
	}
	told = append(told, quarantine.Notice{Fingerprint: 42, Reporter: b.edge.Self, Crashes: 3})
	peer := newBench(t)
	peer.step(effect.Received{From: b.edge.Self, Message: Crashes{Notices: told}})
	if _, out := peer.arrive(c); !has[Refuse](out) {
		t.Error("a peer that was told sent it")
	}
	other := newBench(t)
	for range 5 {
		_, out := other.arrive(c)
		other.ended(only[Dispatch](other, out), AttemptEnded{Result: Broken})
		other.run(100 * time.Millisecond)
	}
}

// TestLeaving: an endpoint that is about to leave, or is gone, gets nothing new.
func TestLeaving(t *testing.T) {
	b := newBench(t)
	left := ledgers(3)
	left[0].Leaving = true
	b.step(Replicas{Replicas: left[:1], Revision: 11})
	b.step(Replicas{Removed: []waxwingwall.Endpoint{"ledger-1"}, Revision: 12})
	for range 20 {
		_, out := b.arrive(call("order"))
		if d := only[Dispatch](b, out); d.Params.Endpoint != "ledger-2" {
			t.Fatalf("sent to %s", d.Params.Endpoint)
		}
	}
}

// TestLapse: entries that are missing right after an outage of the store have
// time to return; after that they count as gone. In quiet times they are gone at
// once.
func TestLapse(t *testing.T) {
	b := newBench(t)
	b.step(Replicas{Unavailable: true})
	b.run(5 * time.Second)
	b.step(Replicas{Snapshot: true, Revision: 20})
	if _, out := b.arrive(call("order")); !has[Dispatch](out) {
		t.Fatal("lapsed entries were dropped at once")
	}
	b.step(Replicas{Replicas: ledgers(3)[:1], Revision: 21})
	b.run(returnTime + 100*time.Millisecond)
	_, out := b.arrive(call("order"))
	if d := only[Dispatch](b, out); d.Params.Endpoint != "ledger-0" {
		t.Fatalf("sent to %s", d.Params.Endpoint)
	}
	b.run(2 * stableTime)
	b.step(Replicas{Removed: []waxwingwall.Endpoint{"ledger-0"}, Revision: 22})
	if _, out := b.arrive(call("order")); has[Dispatch](out) {
		t.Fatal("sent to an endpoint that is gone")
	}
}

// TestNewsOfPeers: a router that the store turns away learns of a configuration
// and of endpoints from a peer that knows more.
func TestNewsOfPeers(t *testing.T) {
	b := newBench(t)
	peer := waxwingwall.Incarnation{VM: "vm-2", Boot: 1}
	b.step(Replicas{Unavailable: true})
	newer := testConfiguration(2)
	var asked []effect.Action
	for range 10 {
		asked = append(asked, b.step(effect.Received{From: peer, Message: Report{Version: 2, Revision: 30}})...)
		b.run(100 * time.Millisecond)
	}
	found := false
	for _, a := range asked {
		if s, ok := a.(effect.Send); ok && s.To == peer {
			_, ok = s.Message.(AskNews)
			found = found || ok
		}
	}
	if !found {
		t.Fatal("did not ask")
	}
	b.step(effect.Received{From: peer, Message: News{Configuration: newer, Replicas: ledgers(1), Revision: 30}})
	if b.edge.rules.version != 2 || len(b.edge.endpoints.byService["ledger"]) != 1 {
		t.Fatalf("version %d, %d endpoints", b.edge.rules.version, len(b.edge.endpoints.byService["ledger"]))
	}
}

// TestDrain: a router that is about to stop is not ready at once, takes requests
// for a while, then turns them away as not run, and ends when the last is done.
func TestDrain(t *testing.T) {
	b := newBench(t)
	b.edge.Drain(b.now)
	if b.edge.Ready() {
		t.Error("still ready")
	}
	_, out := b.arrive(call("order"))
	d := only[Dispatch](b, out)
	if has[Drained](b.run(stayTime + 200*time.Millisecond)) {
		t.Error("ended with a request under way")
	}
	_, out = b.arrive(call("order"))
	if p := only[Refuse](b, out).Problem; p.Outcome != waxwingwall.NotRun || p.Status != http.StatusServiceUnavailable {
		t.Errorf("%+v", p)
	}
	b.ended(d, AttemptEnded{Committed: true})
	if !has[Drained](b.run(time.Second)) {
		t.Error("did not end")
	}
}

// TestLeft: a request whose caller went away is forgotten, and its load with it.
func TestLeft(t *testing.T) {
	b := newBench(t)
	id, out := b.arrive(call("draft"))
	d := only[Dispatch](b, out)
	b.step(CallerLeft{Request: id})
	if len(b.edge.requests) != 0 || b.edge.endpoints.rows[d.Params.Endpoint].running != 0 {
		t.Error("not forgotten")
	}
	if out := b.ended(d, AttemptEnded{}); has[Finished](out) {
		t.Error("ended twice")
	}
}

// A router that hears late from the store learns from its peers which endpoints
// leave, until the store's own word is as new.
func TestDeparturesFromPeers(t *testing.T) {
	b := newBench(t)
	peer := waxwingwall.Incarnation{VM: "vm-2", Boot: 1}
	left := ledgers(3)
	for _, r := range left[:2] {
		b.step(effect.Received{From: peer, Message: Report{
			Departures: []Departure{{Endpoint: r.Endpoint, Revision: 15}},
		}})
	}
	at := func() waxwingwall.Endpoint {
		_, out := b.arrive(call("quote"))
		d := only[Dispatch](b, out)
		b.ended(d, AttemptEnded{Result: Complete, Committed: true})
		return d.Params.Endpoint
	}
	for range 10 {
		if id := at(); id != left[2].Endpoint {
			t.Fatalf("sent to %s, which leaves", id)
		}
	}
	b.now = b.now.Add(2 * time.Second)
	b.step(Replicas{Revision: 16})
	seen := map[waxwingwall.Endpoint]bool{}
	for range 40 {
		seen[at()] = true
	}
	if len(seen) != 3 {
		t.Errorf("after the store's word only %v", seen)
	}
}

// What the store says of endpoints that leave is told to the peers.
func TestDeparturesAreTold(t *testing.T) {
	b := newBench(t)
	left := ledgers(3)
	left[0].Leaving = true
	b.step(Replicas{Replicas: left[:1], Revision: 11})
	b.step(Replicas{Removed: []waxwingwall.Endpoint{left[1].Endpoint}, Revision: 12})
	b.step(effect.Tick{})
	if len(b.edge.departures.fresh) != 0 {
		t.Errorf("not told: %v", b.edge.departures.fresh)
	}
	told := b.edge.report().Departures
	if len(told) != 2 || told[0].Endpoint != left[1].Endpoint || told[0].Revision != 12 || told[1].Revision != 11 {
		t.Errorf("told %+v", told)
	}
	b.now = b.now.Add(2 * departureTime)
	b.step(effect.Tick{})
	if told := b.edge.report().Departures; len(told) != 0 {
		t.Errorf("still told %+v", told)
	}
}

// A router that heard of a newer configuration calls nothing unknown by its old
// one.
func TestOldConfigurationRefuses(t *testing.T) {
	b := newBench(t)
	peer := waxwingwall.Incarnation{VM: "vm-2", Boot: 1}
	b.step(effect.Received{From: peer, Message: Report{Version: 2, Revision: 10}})
	unknown := call("quote")
	unknown.Path = "/nowhere/"
	stranger := call("quote")
	stranger.Key = "new key"
	for _, c := range []waxwingwall.Call{unknown, stranger} {
		_, out := b.arrive(c)
		if p := only[Refuse](b, out).Problem; p.Code != "old_configuration" || p.Outcome != waxwingwall.NotRun {
			t.Errorf("%+v", p)
		}
	}
	_, out := b.arrive(call("quote"))
	only[Dispatch](b, out)
	b.step(Configured{Configuration: testConfiguration(2)})
	_, out = b.arrive(unknown)
	if p := only[Refuse](b, out).Problem; p.Code != "no_route" {
		t.Errorf("%+v", p)
	}
}
