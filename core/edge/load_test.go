package edge

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/member"
)

// These tests need no network; each names the pattern of load that it answers.

// prompt returns a request about a subject.
func prompt(subject, own uint64) waxwingwall.Call {
	c := call("draft")
	c.Parts = []waxwingwall.Part{{ID: subject, Tokens: 9_000}, {ID: own, Tokens: 1_000}}
	return c
}

// TestSubjectsStayTogether: many subjects, each asked for at every router. The
// shared part of a prompt is read at one endpoint, the same for all routers.
func TestSubjectsStayTogether(t *testing.T) {
	a, b := newBench(t), newBench(t)
	for subject := range uint64(50) {
		_, out := a.arrive(prompt(1000+subject, 1))
		one := only[Dispatch](a, out)
		a.ended(one, AttemptEnded{Committed: true, Events: 1})
		_, out = b.arrive(prompt(1000+subject, 2))
		other := only[Dispatch](b, out)
		b.ended(other, AttemptEnded{Committed: true, Events: 1})
		if one.Params.Endpoint != other.Params.Endpoint {
			t.Errorf("subject %d: %s and %s", subject, one.Params.Endpoint, other.Params.Endpoint)
		}
	}
}

// TestHotSubjectSpreads: one subject gets all the traffic at once. Reading its
// shared part twice is cheaper than a long queue, so it is spread.
func TestHotSubjectSpreads(t *testing.T) {
	b := newBench(t)
	at := map[waxwingwall.Endpoint]int{}
	for i := range uint64(200) {
		_, out := b.arrive(prompt(7, 100+i))
		at[only[Dispatch](b, out).Params.Endpoint]++
	}
	for endpoint, n := range at {
		if n > 200/2 {
			t.Errorf("%s got %d of 200", endpoint, n)
		}
	}
	if len(at) != 4 {
		t.Errorf("spread over %d of 4 endpoints", len(at))
	}
}

// TestBurstOfLongPrompts: prompts without common parts come faster than they are
// read. No endpoint gets much more to read than another.
func TestBurstOfLongPrompts(t *testing.T) {
	b := newBench(t)
	for i := range uint64(80) {
		b.arrive(prompt(10_000+2*i, 20_000+2*i))
	}
	least, most := waxwingwall.Tokens(1<<40), waxwingwall.Tokens(0)
	for _, row := range b.edge.endpoints.byService["model"] {
		least = min(least, row.prefill)
		most = max(most, row.prefill)
	}
	if most > least*3/2 {
		t.Errorf("from %d to %d tokens to read", least, most)
	}
}

// TestLoadOfPeersCounts: another router keeps an endpoint busy. What it reports
// sends work elsewhere.
func TestLoadOfPeersCounts(t *testing.T) {
	b := newBench(t)
	home := only[Dispatch](b, second(b.arrive(prompt(7, 1)))).Params.Endpoint
	b.edge.news.reports = map[waxwingwall.Incarnation]report{
		{VM: "vm-2", Boot: 1}: {
			Report: Report{Loads: []EndpointLoad{{
				Endpoint: home,
				Running:  30,
				Prefill:  200_000,
				Memory:   300_000,
			}}},
			at: b.now,
		},
	}
	b.run(100 * time.Millisecond)
	if d := only[Dispatch](b, second(b.arrive(prompt(7, 2)))); d.Params.Endpoint == home {
		t.Error("sent to the busy endpoint")
	}
}

// second drops the first of two results.
func second[A, B any](_ A, b B) B {
	return b
}

// TestFaultyEndpointIsAvoided: an endpoint fails what it runs while it looks
// healthy. Most of the work goes elsewhere, and it is tried again later.
func TestFaultyEndpointIsAvoided(t *testing.T) {
	b := newBench(t)
	serve := func(n int) int {
		bad := 0
		for range n {
			_, out := b.arrive(call("order"))
			d := only[Dispatch](b, out)
			result := Complete
			if d.Params.Endpoint == "ledger-0" {
				result = Failed
				bad++
			}
			b.ended(d, AttemptEnded{Result: result})
			b.run(50 * time.Millisecond)
		}
		return bad
	}
	if bad := serve(100); bad > 15 {
		t.Errorf("%d of 100 went to the endpoint that fails", bad)
	}
	b.run(10 * faultDecay)
	if bad := serve(30); bad == 0 {
		t.Error("never tried again")
	}
}

// TestUnreachedEndpointIsAvoided: an endpoint went dark. Each failed connection
// keeps work away from it for longer.
func TestUnreachedEndpointIsAvoided(t *testing.T) {
	b := newBench(t)
	tried := 0
	for range 100 {
		_, out := b.arrive(call("order"))
		d := only[Dispatch](b, out)
		if d.Params.Endpoint == "ledger-0" {
			tried++
			d = only[Dispatch](b, b.ended(d, AttemptEnded{Result: Unreachable}))
		}
		b.ended(d, AttemptEnded{Committed: true})
		b.run(50 * time.Millisecond)
	}
	if tried > 8 {
		t.Errorf("tried %d times in 5 s", tried)
	}
}

// BenchmarkDispatch measures the decision for one request among many endpoints.
func BenchmarkDispatch(b *testing.B) {
	for _, n := range []int{10, 140, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			w := newBench(b)
			w.step(Replicas{Replicas: engines(n), Revision: 11})
			for i := 0; b.Loop(); i++ {
				_, out := w.arrive(prompt(uint64(i%80), uint64(i+1000)))
				w.ended(only[Dispatch](w, out), AttemptEnded{Committed: true, Events: 1})
			}
		})
	}
}

// TestBusyRouterIsLeftOut: one large caller sends all that it has to one router.
// It is told of the others until that router is no busier than they are.
func TestBusyRouterIsLeftOut(t *testing.T) {
	b := newBench(t)
	for i := range 7 {
		peer := waxwingwall.Incarnation{VM: waxwingwall.VM(fmt.Sprintf("vm-%d", i+2)), Boot: 1}
		b.step(effect.Received{From: peer, Message: member.Heartbeat{Self: member.Rumour{
			Incarnation: peer,
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1),
			Callers:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 2),
		}}})
	}
	for i := range uint64(60) {
		b.arrive(prompt(i, 1000+i))
	}
	if all, _ := b.edge.Addresses(b.now); len(all) != 7 {
		t.Errorf("%d listed, the busy router among them", len(all))
	}
	for id := range uint64(60) {
		b.step(CallerLeft{Request: id + 1})
	}
	if all, _ := b.edge.Addresses(b.now); len(all) != 8 {
		t.Errorf("%d listed after the burst", len(all))
	}
}

// TestSlowLinksAreLeftOut: a few routers have fast links and many have slow
// ones, and one large caller fills a slow link. Callers are told of the fast ones
// while there are enough of them.
func TestSlowLinksAreLeftOut(t *testing.T) {
	b := newBench(t)
	b.edge.place.LinkMbps = 200
	beat := func(n int) {
		for i := range n {
			vm := waxwingwall.VM(fmt.Sprintf("vm-%02d", i+2))
			link := 10
			if i < 5 {
				link = 200
			}
			peer := waxwingwall.Incarnation{VM: vm, Boot: 1}
			b.edge.nodes.rows[peer] = &node{row: nodeRow{Link: link}}
			b.step(effect.Received{From: peer, Message: member.Heartbeat{Self: member.Rumour{
				Incarnation: peer,
				Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1),
				Callers:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 2),
			}}})
		}
	}
	beat(20)
	if all, _ := b.edge.Addresses(b.now); len(all) != 6 {
		t.Errorf("%d routers with fast links listed of 6", len(all))
	}
	few := newBench(t)
	few.edge.place.LinkMbps = 10
	if all, _ := few.edge.Addresses(few.now); len(all) != 1 {
		t.Errorf("%d listed of one slow router", len(all))
	}
}

// dialTimes tells of new connections to endpoints, one after the other.
func (b *bench) dialTimes(took ...time.Duration) {
	for i, d := range took {
		b.step(Dialed{
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), uint16(1+i%4)),
			Took:    d,
		})
	}
}

// TestFullLinkRefuses: callers that stay with a router whose link is too slow for
// them. What would wait in the link's queue for longer than the news of leaving
// endpoints may take is refused at once, and endpoints aren't blamed.
func TestFullLinkRefuses(t *testing.T) {
	b := newBench(t)
	b.dialTimes(1200*time.Millisecond, 1100*time.Millisecond, 1300*time.Millisecond, 1500*time.Millisecond)
	_, out := b.arrive(prompt(1, 2))
	p := only[Refuse](b, out).Problem
	if p.Code != "link_full" || p.Outcome != waxwingwall.NotRun || p.RetryAfter <= 0 {
		t.Errorf("%+v", p)
	}
	probes := 0
	for range 40 {
		b.now = b.now.Add(50 * time.Millisecond)
		for _, a := range b.step(effect.Tick{}) {
			if probe, ok := a.(Probe); ok {
				probes++
				b.step(Dialed{
					Address: probe.Address,
					Took:    5 * time.Millisecond,
				})
			}
		}
	}
	if probes == 0 || probes > 8 {
		t.Errorf("%d probes", probes)
	}
	_, out = b.arrive(prompt(1, 3))
	only[Dispatch](b, out)
}

// TestSlowLinkWaits: bytes queue on the link for a third of a second. Connections
// get the time that they need, and a try that failed is no mark against its
// endpoint.
func TestSlowLinkWaits(t *testing.T) {
	b := newBench(t)
	b.dialTimes(400*time.Millisecond, 350*time.Millisecond, 400*time.Millisecond, 300*time.Millisecond)
	r, out := b.arrive(prompt(1, 2))
	d := only[Dispatch](b, out)
	if d.DialTimeout < 600*time.Millisecond {
		t.Errorf("dial %v", d.DialTimeout)
	}
	_ = r
	b.ended(d, AttemptEnded{Result: Unreachable})
	for _, e := range b.edge.Dump(b.now).Endpoints {
		if e.Backoff > 0 {
			t.Errorf("%s is avoided for %v", e.Replica.Endpoint, e.Backoff)
		}
	}
}

// TestSlowEndpointIsNoSlowLink: one endpoint is out of reach while others answer.
func TestSlowEndpointIsNoSlowLink(t *testing.T) {
	b := newBench(t)
	b.dialTimes(1500*time.Millisecond, 3*time.Millisecond, 1500*time.Millisecond, 1500*time.Millisecond)
	_, out := b.arrive(prompt(1, 2))
	if d := only[Dispatch](b, out); d.DialTimeout != 0 {
		t.Errorf("dial %v", d.DialTimeout)
	}
	b.now = b.now.Add(2 * linkMemory)
	b.step(effect.Tick{})
	for range 6 {
		b.step(Dialed{
			Address: netip.MustParseAddrPort("10.9.0.1:1"),
			Took:    1500 * time.Millisecond,
		})
	}
	_, out = b.arrive(prompt(1, 3))
	only[Dispatch](b, out)
}

// TestUnheardReadsGoHome: a fleet so large that a router hears of a small part of
// the others' reads. A prompt of which it heard nothing goes where it falls to
// although that endpoint has more to read than the others: it was most likely
// read there. In a small fleet, which hears of all, it was not.
func TestUnheardReadsGoHome(t *testing.T) {
	for peers, same := range map[int]bool{7: false, 71: true} {
		b := newBench(t)
		b.edge.news.peers = peers
		_, out := b.arrive(prompt(7, 1))
		home := only[Dispatch](b, out).Params.Endpoint
		b = newBench(t)
		b.edge.news.peers = peers
		b.edge.endpoints.rows[home].others.prefill = 8_000
		_, out = b.arrive(prompt(7, 2))
		if got := only[Dispatch](b, out).Params.Endpoint; (got == home) != same {
			t.Errorf("%d peers: home is %s, sent to %s", peers, home, got)
		}
	}
}
