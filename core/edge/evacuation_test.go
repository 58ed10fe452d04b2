package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/brittle"
	"waxwingwall/core/effect"
	"waxwingwall/core/limit"
)

// inDomains assigns endpoints to the failure domains east and west by turns.
func inDomains(all []waxwingwall.Replica) []waxwingwall.Replica {
	for i := range all {
		all[i].Born = 1
		all[i].Domain = [...]waxwingwall.Domain{"east", "west"}[i%2]
	}
	return all
}

// newDomainHarness returns an Edge in front of endpoints in two failure domains.
func newDomainHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.step(Replicas{Snapshot: true, Replicas: append(inDomains(engines(4)), inDomains(ledgers(4))...), Revision: 11})
	return h
}

// evacuate applies a set of failure domains from the store.
func (h *harness) evacuate(revision int64, domains ...waxwingwall.Domain) []effect.Action {
	return h.step(Evacuated{Domains: domains, Revision: revision})
}

// domainsReached counts the requests of all routes by the failure domain that they reach.
func (h *harness) domainsReached() map[waxwingwall.Domain]int {
	all := map[waxwingwall.Domain]int{}
	for _, route := range []string{"order", "quote", "draft", "advice"} {
		for id, n := range h.reached(route) {
			all[h.edge.endpoints.rows[id].replica.Domain] += n
		}
	}
	return all
}

// fromPeer passes a message of a peer.
func (h *harness) fromPeer(message any) []effect.Action {
	return h.step(effect.Received{From: waxwingwall.Incarnation{VM: "vm-2", Boot: 1}, Message: message})
}

// TestEvacuatedDomain guards against requests to a failure domain that is to be empty, whoever
// says so and whatever changes meanwhile, and against one that stays empty.
func TestEvacuatedDomain(t *testing.T) {
	west := EvacuationState{Domains: []waxwingwall.Domain{"west"}, Revision: 20, Age: time.Second}
	for name, change := range map[string]func(*harness){
		"from the store": func(h *harness) { h.evacuate(20, "west") },
		"reported":       func(h *harness) { h.fromPeer(Report{Evacuations: west}) },
		"with news":      func(h *harness) { h.fromPeer(News{Configuration: testConfiguration(2), Evacuations: west}) },
		"before its endpoints": func(h *harness) {
			h.evacuate(20, "west")
			h.step(Replicas{Snapshot: true, Replicas: append(inDomains(engines(6)), inDomains(ledgers(6))...), Revision: 30})
		},
		"endpoint moves there": func(h *harness) {
			h.evacuate(20, "west")
			all := append(inDomains(engines(1)), inDomains(ledgers(1))...)
			all[0].Domain, all[1].Domain = "west", "west"
			h.step(Replicas{Replicas: all, Revision: 30})
		},
		"store away": func(h *harness) { h.evacuate(20, "west"); h.step(Replicas{Unavailable: true}) },
		"older set":  func(h *harness) { h.evacuate(20, "west"); h.evacuate(19) },
		"older set reported": func(h *harness) {
			h.evacuate(20, "west")
			h.fromPeer(Report{Evacuations: EvacuationState{Revision: 19}})
		},
		"earlier build": func(h *harness) { h.evacuate(20, "west"); h.fromPeer(Report{Version: 1}) },
		"no revision":   func(h *harness) { h.evacuate(20, "west"); h.evacuate(0) },
		"revision below zero": func(h *harness) {
			h.evacuate(20, "west")
			h.fromPeer(Report{Evacuations: EvacuationState{Revision: -1}})
		},
		"age below zero": func(h *harness) {
			h.evacuate(20, "west")
			h.fromPeer(News{Evacuations: EvacuationState{Revision: 21, Age: -1}})
		},
		"domain without a name": func(h *harness) {
			h.evacuate(20, "west")
			h.fromPeer(Report{Evacuations: EvacuationState{Domains: []waxwingwall.Domain{""}, Revision: 21}})
		},
		"new incarnation": func(h *harness) { h.evacuate(20, "west"); h.renew() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newDomainHarness(t)
			change(h)
			if got := h.domainsReached(); got["west"] > 0 || got["east"] == 0 || !h.edge.evacuating() {
				t.Fatalf("reached %v", got)
			}
			for address := range h.edge.Paths() {
				for _, row := range h.edge.endpoints.rows {
					if row.replica.Address == address && row.replica.Domain == "west" {
						t.Errorf("peers may make tunnels to %s", row.replica.Endpoint)
					}
				}
			}
			held := h.edge.Withheld(h.now)
			if _, ok := held[Instance{Endpoint: "engine-1", Born: 1}]; !ok || len(held) == len(h.edge.endpoints.rows) {
				t.Errorf("withheld %v", held)
			}
			h.evacuate(40)
			h.advance(returnTime)
			h.step(Replicas{Revision: 40})
			if got := h.domainsReached(); got["west"] == 0 || len(h.edge.Withheld(h.now)) > 0 {
				t.Errorf("reached %v after it was taken back", got)
			}
		})
	}
}

// TestEvacuatedAttempts guards against an attempt that is cut, a retry or a stream that goes on
// in a failure domain that is to be empty.
func TestEvacuatedAttempts(t *testing.T) {
	begin := func(h *harness, route string) Dispatch {
		for {
			c := call(route)
			c.Parts = nil
			_, out := h.arrive(c)
			d := only[Dispatch](h, out)
			if h.edge.endpoints.rows[d.Params.Endpoint].replica.Domain == "west" {
				return d
			}
		}
	}
	domain := func(h *harness, out []effect.Action) waxwingwall.Domain {
		return h.edge.endpoints.rows[only[Dispatch](h, out).Params.Endpoint].replica.Domain
	}
	for _, route := range []string{"order", "quote", "draft", "advice"} {
		h := newDomainHarness(t)
		d := begin(h, route)
		if out := h.evacuate(20, "west"); has[CutAttempt](out) || has[Refuse](out) || has[Abort](out) {
			t.Fatalf("%s: %+v", route, out)
		}
		if out := h.endAttempt(d, AttemptEnded{Status: http.StatusOK, Committed: true, Result: Complete}); !has[Finished](out) {
			t.Errorf("%s under way: %+v", route, out)
		}
	}
	for result, route := range map[Result]string{Unreachable: "order", Expired: "order", Declined: "order", Failed: "quote", Broken: "advice"} {
		for range 10 {
			h := newDomainHarness(t)
			d := begin(h, route)
			h.evacuate(20, "west")
			ended := AttemptEnded{Result: result}
			if result == Broken {
				ended.Committed, ended.Events, ended.Offset = true, 2, "2"
			}
			if got := domain(h, h.endAttempt(d, ended)); got != "east" {
				t.Errorf("%s after %v goes to %s", route, result, got)
			}
		}
	}
}

// TestGrantedInEvacuatedDomain guards against a request that is sent to a failure domain with
// the permit or the slot for which it waited since before that was to be empty.
func TestGrantedInEvacuatedDomain(t *testing.T) {
	for name, grant := range map[string]func(*harness, *request){
		"permit": func(h *harness, r *request) {
			h.edge.permits[7] = r
			h.edge.handleGranted(limit.Granted{ID: 7, Endpoint: "ledger-1"})
		},
		"slot": func(h *harness, r *request) {
			r.slot = slot{id: 7, asked: true}
			h.edge.slotAsks[7] = r
			h.edge.handleSlotGranted(brittle.Granted{ID: 7, Endpoint: "ledger-1"})
		},
	} {
		h := newDomainHarness(t)
		r := &request{
			id:       99,
			call:     call("order"),
			route:    h.edge.config.route("a.example", "/order/x"),
			service:  "ledger",
			arrived:  h.now,
			deadline: h.now.Add(time.Second),
			tried:    map[waxwingwall.Endpoint]bool{},
		}
		h.edge.requests[r.id] = r
		h.evacuate(20, "west")
		grant(h, r)
		d := only[Dispatch](h, h.step(effect.Tick{}))
		if h.edge.endpoints.rows[d.Params.Endpoint].replica.Domain != "east" {
			t.Errorf("%s: sent to %s", name, d.Params.Endpoint)
		}
	}
}

// TestAllEvacuated guards against requests to a service that has no endpoint elsewhere, and
// against an answer that claims more than is known.
func TestAllEvacuated(t *testing.T) {
	h := newDomainHarness(t)
	h.evacuate(20, "east", "west")
	for _, route := range []string{"order", "draft"} {
		_, out := h.arrive(call(route))
		p := only[Refuse](h, out).Problem
		if p.Status != http.StatusServiceUnavailable || p.Code != CodeEvacuated || p.Outcome != waxwingwall.NotRun ||
			p.RetryAfter < evacuationRetryAfter || p.RetryAfter > 2*evacuationRetryAfter {
			t.Errorf("%s: %+v", route, p)
		}
	}
	if s := h.edge.Dump(h.now); len(s.Evacuations.Domains) != 2 || s.Evacuations.Revision != 20 || len(s.EvacuatedSince) != 2 || !s.EvacuatedSince[0].Equal(h.now) {
		t.Errorf("dump %+v since %v", s.Evacuations, s.EvacuatedSince)
	}
	h.fromPeer(Report{Evacuations: EvacuationState{Domains: []waxwingwall.Domain{"west"}, Revision: 19, Age: time.Second}})
	if differ := h.edge.Dump(h.now).EvacuationsDiffer; len(differ) != 1 || differ[0].VM != "vm-2" {
		t.Errorf("other sets at %v", differ)
	}
	h.evacuate(21, "east")
	if _, out := h.arrive(call("order")); !has[Dispatch](out) {
		t.Errorf("not sent to the only domain that is back: %+v", out)
	}
}

// TestOldEvacuations guards against a router that sends by an old set for ever while its peers
// have a current one, and against one that stops although no peer knows better.
func TestOldEvacuations(t *testing.T) {
	for name, c := range map[string]struct {
		report Report
		code   string
	}{
		"peer is current":       {Report{Evacuations: EvacuationState{Revision: 5, Age: 100 * time.Millisecond}}, CodeOldEvacuations},
		"peer confirms the set": {Report{Evacuations: EvacuationState{Revision: 10, Age: 100 * time.Millisecond}}, ""},
		"peer is as old":        {Report{Evacuations: EvacuationState{Revision: 10, Age: 5 * time.Second}}, ""},
		"earlier build":         {Report{}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDomainHarness(t)
			h.evacuate(10)
			for range 10 {
				h.advance(500 * time.Millisecond)
				h.refresh()
			}
			h.fromPeer(c.report)
			_, out := h.arrive(call("order"))
			if c.code == "" && !has[Dispatch](out) {
				t.Fatalf("not sent: %+v", out)
			}
			if c.code != "" && only[Refuse](h, out).Problem.Code != c.code {
				t.Fatalf("sent: %+v", out)
			}
			h.evacuate(30)
			if _, out = h.arrive(call("order")); !has[Dispatch](out) {
				t.Errorf("not sent by a current set: %+v", out)
			}
		})
	}
}

// TestEvacuationOfRestoredStore: the store comes back from a copy without the operator's
// request. It stays in force for a while, and ends at once if the store has it again and loses it.
func TestEvacuationOfRestoredStore(t *testing.T) {
	const era = 1 << 40
	for name, again := range map[string]bool{"lost": false, "repeated and taken back": true} {
		t.Run(name, func(t *testing.T) {
			h := newDomainHarness(t)
			h.evacuate(20, "west")
			h.step(StoreEra{MinVersion: era})
			for i := range 20 {
				h.evacuate(era + 5 + int64(i))
				h.advance(time.Second)
				if got := h.domainsReached(); got["west"] > 0 {
					t.Fatalf("reached %v after %d s", got, i)
				}
			}
			if again {
				h.evacuate(era+50, "west")
				h.evacuate(era + 51)
			} else {
				h.advance(keptTime)
			}
			h.advance(returnTime)
			if got := h.domainsReached(); got["west"] == 0 {
				t.Errorf("reached %v", got)
			}
		})
	}
}

// TestLoadReturnsGradually: many requests, most of them with shared prompts that no endpoint has
// read yet, while a failure domain is taken back. Its endpoints get few of them at first, more
// with time, and as many as before in the end.
func TestLoadReturnsGradually(t *testing.T) {
	const prompts = 200
	for _, route := range []string{"draft", "quote"} {
		h := newDomainHarness(t)
		own := uint64(1 << 32)
		back := func() (n int) {
			for range prompts {
				own++
				c := call(route)
				c.ID = fmt.Sprintf("c-%d", own)
				if route == "draft" {
					c.Parts = []waxwingwall.Part{{ID: own * own, Tokens: 9_000}, {ID: own, Tokens: 1_000}}
				}
				_, out := h.arrive(c)
				d := only[Dispatch](h, out)
				if h.edge.endpoints.rows[d.Params.Endpoint].replica.Domain == "west" {
					n++
				}
				h.endAttempt(d, AttemptEnded{Status: http.StatusOK, Committed: true, Events: 1, Result: Complete})
			}
			return n
		}
		before := back()
		h.evacuate(20, "west")
		for range 3 {
			if n := back(); n > 0 {
				t.Fatalf("%s: %d while evacuated", route, n)
			}
			h.advance(partRetention / 2)
		}
		h.evacuate(21)
		at := []int{back()}
		for range 4 {
			h.advance(returnTime / 4)
			at = append(at, back())
		}
		t.Logf("%s: %d before, then %v of %d", route, before, at, prompts)
		if at[0] > before/5 || at[2] > before*4/5 || at[2] <= at[0] || at[4] < before/2 {
			t.Errorf("%s: %d before, then %v of %d", route, before, at, prompts)
		}
	}
}
