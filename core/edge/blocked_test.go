package edge

import (
	"encoding/json"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/quarantine"
)

const crashingRequest = 42

// crashing returns a request that crashes endpoints.
func crashing() waxwingwall.Call {
	c := call("order")
	c.Fingerprint = crashingRequest
	return c
}

// relist lists endpoints anew, as they are back after a crash.
func (h *harness) relist() {
	h.step(Replicas{
		Snapshot: true,
		Replicas: append(engines(4), ledgers(3)...),
		Revision: h.edge.endpoints.revision + 1,
	})
}

// block lets the request crash endpoints until it is refused.
func (h *harness) block() {
	h.t.Helper()
	for h.crashRun(crashing()) {
		h.relist()
	}
	if got := h.edge.crashes.table.Crashes(h.now, crashingRequest); got != quarantine.DefaultLimit {
		h.t.Fatalf("blocked after %d crashes", got)
	}
}

// ownRow returns the row that the router last wrote, as the store has it.
func (h *harness) ownRow(out []effect.Action) waxwingwall.Row {
	h.t.Helper()
	row := waxwingwall.Row{
		Key:     NodeKey(h.edge.Self),
		Version: 1,
	}
	for _, a := range out {
		if t, ok := a.(effect.Transact); ok && t.Writes[0].Key == row.Key {
			row.Value = t.Writes[0].Value
			h.step(effect.Transacted{
				ID:       t.ID,
				Versions: []int64{1},
			})
		}
	}
	return row
}

// blockedIn returns the notices in a router's row.
func blockedIn(t *testing.T, row waxwingwall.Row) []quarantine.Notice {
	t.Helper()
	if row.Value == "" {
		return nil
	}
	var content nodeRow
	if err := json.Unmarshal([]byte(row.Value), &content); err != nil {
		t.Fatal(err)
	}
	return content.Blocked
}

// newBlockingRouter returns a router that has counted the crashes of the request, and its row.
func newBlockingRouter(t *testing.T) (*harness, waxwingwall.Row) {
	t.Helper()
	h := newHarness(t)
	h.step(Nodes{Snapshot: true})
	h.ownRow(h.advance(100 * time.Millisecond))
	h.block()
	return h, h.ownRow(h.advance(2 * time.Second))
}

// TestBlockedAfterRestart guards against a router that starts after others have counted the crashes
// of a request and sends it on again, whichever way is left for it to learn of them: all may have
// lost power, or it may be cut off from its peers or from the store.
func TestBlockedAfterRestart(t *testing.T) {
	h, row := newBlockingRouter(t)
	report := h.edge.report()
	h.edge.answerAskNews(waxwingwall.Incarnation{VM: "vm-3", Boot: 1}, AskNews{})
	news := only[effect.Send](h, h.edge.out).Message
	for name, learn := range map[string]func(*harness){
		"from the row of a router that is gone": func(h *harness) { h.step(Nodes{Snapshot: true, Rows: []waxwingwall.Row{row}}) },
		"from a report":                         func(h *harness) { h.fromPeer(Report{Blocked: report.Blocked}) },
		"with a configuration":                  func(h *harness) { h.fromPeer(news) },
	} {
		fresh := newHarness(t)
		fresh.edge.Self.VM = "vm-3"
		learn(fresh)
		fresh.advance(100 * time.Millisecond)
		_, out := fresh.arrive(crashing())
		if !has[Refuse](out) || has[Dispatch](out) {
			t.Errorf("%s: sent again", name)
		}
		other := crashing()
		other.Fingerprint++
		if _, out := fresh.arrive(other); !has[Dispatch](out) {
			t.Errorf("%s: another request is refused", name)
		}
	}
	unknowing := newHarness(t)
	if _, out := unknowing.arrive(crashing()); !has[Dispatch](out) {
		t.Error("refused by a router that knows nothing")
	}
}

// TestBlockedStaysInRows guards against a blocked request that nobody's row has any more, as the
// row of a router that is gone is deleted before another one has it.
func TestBlockedStaysInRows(t *testing.T) {
	h, row := newBlockingRouter(t)
	if len(blockedIn(t, row)) == 0 {
		t.Fatal("the router that counted the crashes does not have them in its row")
	}
	if h.edge.mayDelete(h.edge.Self) && h.edge.nodes.rows[h.edge.Self] != nil {
		t.Error("the only row with it may be deleted as its router stops")
	}

	dead := waxwingwall.Incarnation{VM: "vm-7", Boot: 3}
	row.Key = NodeKey(dead)
	next := newHarness(t)
	next.step(Nodes{Snapshot: true, Rows: []waxwingwall.Row{row}})
	if next.edge.mayDelete(dead) {
		t.Error("the row may be deleted before the next one is written")
	}
	own := next.ownRow(next.advance(time.Second))
	if len(blockedIn(t, own)) == 0 {
		t.Error("the next row does not have the request")
	}
	if !next.edge.mayDelete(dead) {
		t.Error("the row may not be deleted though the next one is written")
	}
}

// TestRetryOfCrashingRequest guards against a last retry that is sent on before the crash that ended
// the run before it counts.
func TestRetryOfCrashingRequest(t *testing.T) {
	h := newHarness(t)
	c := call("quote")
	c.Fingerprint = crashingRequest
	for _, confirmed := range []int{1, 2} {
		h.fromPeer(Crashes{Notices: []quarantine.Notice{{
			Fingerprint: crashingRequest,
			Reporter:    waxwingwall.Incarnation{VM: "vm-2", Boot: 1},
			Crashes:     confirmed,
		}}})
		_, out := h.arrive(c)
		d := only[Dispatch](h, out)
		out = h.endAttempt(d, AttemptEnded{Result: Broken})
		if sent, want := has[Dispatch](out), confirmed == 1; sent != want {
			t.Errorf("after %d crashes that count and one that does not yet: sent again %v", confirmed, sent)
		}
	}
}

// TestTrialOfBlockedRequest guards against requests that are let through again and again: one is
// tried after a minute, another one only much later if it crashes an endpoint as well, however
// often the request comes meanwhile. If it is answered, it is blocked no longer.
func TestTrialOfBlockedRequest(t *testing.T) {
	const day = 24 * time.Hour
	h := newHarness(t)
	h.block()
	start := h.now
	sent := 0
	for h.now.Sub(start) < day {
		h.now = h.now.Add(20 * time.Second)
		h.step(effect.Tick{})
		if h.crashRun(crashing()) {
			sent++
			h.relist()
		}
		if passed := h.now.Sub(start); passed < quarantine.DefaultTrialInterval && sent > 0 {
			t.Fatalf("tried after %s", passed)
		}
	}
	if sent == 0 || sent > 3 {
		t.Errorf("sent %d times in a day, want one to three", sent)
	}

	h = newHarness(t)
	h.block()
	h.advance(quarantine.DefaultTrialInterval + time.Second)
	_, out := h.arrive(crashing())
	d := only[Dispatch](h, out)
	if _, out := h.arrive(crashing()); has[Dispatch](out) {
		t.Error("a second one is sent beside the trial")
	}
	h.endAttempt(d, AttemptEnded{Result: Complete, Status: 200})
	for range 3 {
		if _, out := h.arrive(crashing()); !has[Dispatch](out) {
			t.Error("refused though the trial was answered")
		}
	}
}

// TestAnswerClearsRequest guards against requests that many callers send alike and that are blocked
// as they ran where others crashed the endpoints: an answer to a later one clears them, at peers too.
func TestAnswerClearsRequest(t *testing.T) {
	h := newHarness(t)
	for range 2 * quarantine.DefaultLimit {
		if !h.crashRun(crashing()) {
			t.Fatal("blocked")
		}
		h.relist()
		_, out := h.arrive(crashing())
		h.endAttempt(only[Dispatch](h, out), AttemptEnded{Result: Complete, Status: 200})
		h.advance(time.Second)
	}
	peer := newHarness(t)
	peer.block()
	notices := peer.edge.crashes.table.List(peer.now, maxBlockedNotices, false)
	for i := range notices {
		notices[i].Cleared = notices[i].Crashes
	}
	peer.fromPeer(Report{Blocked: notices})
	if _, out := peer.arrive(crashing()); !has[Dispatch](out) {
		t.Error("refused at a peer that was told of the answer")
	}
}
