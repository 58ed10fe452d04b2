package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/queue"
)

// newFullHarness returns a router whose plain service has no room left, with the dispatches that
// fill it. The accounts "key" and "late" have the ranks 1 and 2, "paid" a budget.
func newFullHarness(t *testing.T) (*harness, []Dispatch) {
	h := newHarness(t)
	c := testConfiguration(2)
	c.Accounts = []waxwingwall.ClientAccount{
		{Name: "shop", Keys: []string{"key"}, Rank: 1, HasRank: true},
		{Name: "late", Keys: []string{"late"}, Rank: 2, HasRank: true},
	}
	h.step(Configured{Configuration: c})
	_, out := h.arrive(call("quote"))
	d := only[Dispatch](h, out)
	h.advance(50 * time.Millisecond)
	h.endAttempt(d, AttemptEnded{Result: Complete, Committed: true, Status: http.StatusOK})
	var running []Dispatch
	for range 3 * 6 * 2 {
		_, out := h.arrive(call("quote"))
		running = append(running, only[Dispatch](h, out))
	}
	return h, running
}

// waits starts a request that has to wait, and returns its number.
func (h *harness) waits(key string) uint64 {
	h.t.Helper()
	c := call("quote")
	c.Key = key
	id, out := h.arrive(c)
	if has[Dispatch](out) || has[Refuse](out) || h.edge.queues["ledger"].Len() == 0 {
		h.t.Fatalf("does not wait: %+v", out)
	}
	return id
}

// TestTurnByRank: the slots of a service are taken when requests of two ranks arrive. The more
// urgent one is sent when a slot comes free, though it came later, and then the other.
func TestTurnByRank(t *testing.T) {
	h, running := newFullHarness(t)
	late, urgent := h.waits("late"), h.waits("key")
	for i, want := range []uint64{urgent, late} {
		out := h.endAttempt(running[i], AttemptEnded{Result: Complete, Committed: true, Status: http.StatusOK})
		if d := only[Dispatch](h, out); d.Request != want {
			t.Errorf("request %d was sent instead of %d", d.Request, want)
		}
	}
	if len(h.edge.queues["ledger"].requests) > 0 {
		t.Error("requests still wait")
	}
}

// TestWaitForRoomEnds: a request that waits for room ends, or goes on, with whatever else
// happens. It is answered once and as not run, nothing of it stays, and it is never sent after.
func TestWaitForRoomEnds(t *testing.T) {
	full := func(h *harness) {
		h.advance(50 * time.Millisecond)
	}
	for name, test := range map[string]struct {
		happens func(h *harness, id uint64) []effect.Action

		// code is that of the refusal; empty if there is none. sent is set if the request is
		// sent.
		code string
		sent bool
	}{
		"objective": {happens: func(h *harness, _ uint64) []effect.Action { return h.advance(400 * time.Millisecond) }, code: CodeNoRoom},
		"caller leaves": {happens: func(h *harness, id uint64) []effect.Action {
			out := h.step(CallerLeft{Request: id})
			if !has[Finished](out) {
				t.Errorf("not finished: %v", out)
			}
			return nil
		}},
		"room grows": {happens: func(h *harness, _ uint64) []effect.Action {
			return h.step(Replicas{Replicas: ledgers(4)[3:], Revision: 11})
		}, sent: true},
		"service without endpoints": {happens: func(h *harness, _ uint64) []effect.Action {
			return h.step(Replicas{Removed: []waxwingwall.Endpoint{"ledger-0", "ledger-1", "ledger-2"}, Revision: 11})
		}, code: "no_endpoint"},
		"service leaves the configuration": {happens: func(h *harness, _ uint64) []effect.Action {
			c := testConfiguration(3)
			c.Services = c.Services[:1]
			h.step(Configured{Configuration: c})
			return h.advance(400 * time.Millisecond)
		}, code: CodeNoRoom},
		"half of the endpoints leave": {happens: func(h *harness, _ uint64) []effect.Action {
			h.step(Replicas{Removed: []waxwingwall.Endpoint{"ledger-0", "ledger-1"}, Revision: 11})
			return h.advance(400 * time.Millisecond)
		}, code: CodeNoRoom},
		"incarnation is renewed": {happens: func(h *harness, _ uint64) []effect.Action {
			h.renew()
			return h.step(Replicas{Replicas: ledgers(4)[3:], Revision: 11})
		}, sent: true},
		"stop": {happens: func(h *harness, _ uint64) []effect.Action {
			h.edge.Drain(h.now)
			h.edge.refuseWaiting()
			return h.step(effect.Tick{})
		}, code: "stopping"},
	} {
		t.Run(name, func(t *testing.T) {
			h, running := newFullHarness(t)
			id := h.waits("key")
			full(h)
			out := test.happens(h, id)
			for _, d := range running {
				out = append(out, h.endAttempt(d, AttemptEnded{Result: Complete, Committed: true, Status: http.StatusOK})...)
			}
			if sent := has[Dispatch](out); sent != test.sent {
				t.Errorf("sent: %v", sent)
			}
			if test.code != "" {
				p := only[Refuse](h, out).Problem
				if p.Code != test.code || p.Outcome != waxwingwall.NotRun || p.Status != http.StatusServiceUnavailable || p.RetryAfter <= 0 {
					t.Errorf("got %+v", p)
				}
			}
			if q := h.edge.queues["ledger"]; q.Len() > 0 || len(q.requests) > 0 {
				t.Errorf("%d wait, %d are kept", q.Len(), len(q.requests))
			}
			if !test.sent && h.edge.requests[id] != nil {
				t.Error("the request is still in the table")
			}
		})
	}
}

// TestReservationOfWaiting: a request with a budget is refused after it waited for room. Its
// tokens are free again.
func TestReservationOfWaiting(t *testing.T) {
	h := newHarness(t)
	q := h.edge.queueOf("ledger")
	r := &request{
		id:       99,
		call:     call("quote"),
		route:    h.edge.config.route("a.example", "/quote/x"),
		service:  "ledger",
		account:  &h.edge.config.configuration.Accounts[0],
		arrived:  h.now,
		deadline: h.now.Add(time.Second),
		budget:   "shop",
		reserved: 100,
		book:     h.edge.book,
		tried:    map[waxwingwall.Endpoint]bool{},
	}
	r.turn.waits = true
	q.requests[r.id] = r
	h.edge.requests[r.id] = r
	h.edge.refuseNoRoom(r, time.Second)
	out := h.step(effect.Tick{})
	if p := only[Refuse](h, out).Problem; p.RetryAfter != time.Second {
		t.Errorf("%+v", p)
	}
	if r.reserved != 0 || len(q.requests) > 0 {
		t.Errorf("%d tokens are reserved, %d wait", r.reserved, len(q.requests))
	}
}

// TestDeclinedForRoom: all endpoints decline for want of room, since others use them. New
// requests wait until one may have room again, and aren't declined once more each.
func TestDeclinedForRoom(t *testing.T) {
	h, running := newFullHarness(t)
	for _, d := range running {
		h.endAttempt(d, AttemptEnded{Result: Complete, Committed: true, Status: http.StatusOK})
	}
	for _, row := range h.edge.endpoints.byService["ledger"] {
		row.fullUntil = h.now.Add(declineTime)
	}
	id := h.waits("key")
	if out := h.advance(declineTime - 100*time.Millisecond); has[Dispatch](out) {
		t.Errorf("sent: %v", out)
	}
	if d := only[Dispatch](h, h.advance(200*time.Millisecond)); d.Request != id {
		t.Errorf("sent: %v", d)
	}
}

// TestOddQueueReports guards against reports that no router can have sent.
func TestOddQueueReports(t *testing.T) {
	for name, q := range map[string]QueueReport{
		"no service":       {},
		"negative":         {Service: "ledger", Waiting: -1},
		"too many wait":    {Service: "ledger", Waiting: queue.MaxWaiting + 1},
		"negative time":    {Service: "ledger", RunTime: -1},
		"negative tokens":  {Service: "ledger", Served: []queue.AccountTokens{{Account: "a", Tokens: -1}}},
		"too many of them": {Service: "ledger", Served: make([]queue.AccountTokens, maxServed+1)},
	} {
		h := newHarness(t)
		out := h.step(effect.Received{
			From:    waxwingwall.Incarnation{VM: "vm-2", Boot: 1},
			Message: Report{Queues: []QueueReport{q}},
		})
		if n := only[LogEntry](h, out); n.Event != "message_rejected" || len(h.edge.gossip.rooms) > 0 {
			t.Errorf("%s: %v", name, n)
		}
	}
}

// TestShortageInFleet: at 8 and 72 routers, three ranks of one plain service ask for 2.5 times what its
// endpoints run, and messages between half of the routers and the others are lost for a while.
// No rank is served less often than a less urgent one, endpoints decline little, and are used.
func TestShortageInFleet(t *testing.T) {
	for _, routers := range []int{8, 72} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			m := newBrittleModel(t, 1, routers, "plain")
			m.config.Version = 2
			for rank := range 3 {
				name := fmt.Sprint("rank-", rank)
				m.config.Accounts = append(m.config.Accounts, waxwingwall.ClientAccount{
					Name:    waxwingwall.Account(name),
					Keys:    []string{name},
					Rank:    waxwingwall.Rank(rank),
					HasRank: true,
				})
			}
			for i := range m.routers {
				m.feed(i, Configured{Configuration: m.config})
			}
			var sent, refused [3]int
			perform := m.perform
			m.perform = func(i, life int, a effect.Action) bool {
				switch a := a.(type) {
				case Dispatch:
					if a.Attempt == 1 {
						sent[a.Rank]++
					}
				case Refuse:
					refused[a.Rank]++
				}
				return perform(i, life, a)
			}
			could := float64(m.kind.count*m.kind.slots) / m.kind.runTime.Seconds()
			for rank := range 3 {
				m.load("order", fmt.Sprint("rank-", rank), 2.5*could/3)
			}
			m.run(3 * time.Second)
			for _, phase := range []string{"all see each other", "half are cut off"} {
				if phase == "half are cut off" {
					m.cut = func(a, b int) bool { return a%2 != b%2 }
					m.run(2 * time.Second)
				}
				sent, refused, m.served = [3]int{}, [3]int{}, 0
				m.run(5 * time.Second)
				used := float64(m.served) / 5 / could
				var often [3]float64
				for rank := range often {
					often[rank] = float64(sent[rank]) / float64(sent[rank]+refused[rank])
				}
				t.Logf("%s: served by rank %.3f, %.2f of the room used", phase, often, used)
				if often[1] > often[0]+0.01 || often[2] > often[1]+0.01 {
					t.Errorf("%s: served by rank %.3f", phase, often)
				}
				if used < 0.8 {
					t.Errorf("%s: %.2f of the room used", phase, used)
				}
			}
		})
	}
}
