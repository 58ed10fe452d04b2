package edge

import (
	"testing"
	"time"

	"waxwingwall"
)

// listEngines replaces the engines by n with a number of slots each.
func (h *harness) listEngines(n, slots int) {
	h.step(Replicas{
		Snapshot: true,
		Replicas: append(replicas("model", "engine", n, slots), ledgers(3)...),
		Revision: 11,
	})
}

// beginStream starts a stream that has had two events, and returns its dispatch.
func (h *harness) beginStream() Dispatch {
	h.t.Helper()
	_, out := h.arrive(call("advice"))
	d := only[Dispatch](h, out)
	h.step(AnswerStarted{
		Request: d.Request,
		Attempt: d.Attempt,
	})
	return d
}

// left is the end of an attempt that was left after two events.
var left = AttemptEnded{
	Result:    IdleTimeout,
	Committed: true,
	Events:    2,
	Offset:    "2",
}

// TestDeclineAfterLeaving guards against an answer that is cut because the one endpoint for
// which its silent attempt was left declines it: nothing was certain, and the silent
// endpoint may take it again.
func TestDeclineAfterLeaving(t *testing.T) {
	h := newHarness(t)
	h.listEngines(2, 64)
	d := h.beginStream()
	if out := h.stall(d, soundSilence); !has[LeaveAttempt](out) {
		return
	}
	next := only[Dispatch](h, h.endAttempt(d, left))
	out := h.endAttempt(next, AttemptEnded{Result: Declined, Status: 503, Committed: true, Events: 2, Offset: "2"})
	if has[Abort](out) || !has[Dispatch](out) {
		t.Errorf("cut after the next endpoint declined: %+v", out)
	}
}

// TestAllDeclineAfterLeaving guards against an answer that is cut after its silent attempt was
// left, as more endpoints decline it than a request may try: it goes back to the silent one.
func TestAllDeclineAfterLeaving(t *testing.T) {
	h := newHarness(t, WithBounds(Bounds{RetryRatio: 0.1, RetryReserve: 40, RetryWindow: 10 * time.Second}))
	h.listEngines(9, 64)
	d := h.beginStream()
	if out := h.stall(d, soundSilence); !has[LeaveAttempt](out) {
		t.Fatalf("not left: %+v", out)
	}
	next := only[Dispatch](h, h.endAttempt(d, left))
	for range 2 * maxDeclined {
		out := h.endAttempt(next, AttemptEnded{Result: Declined, Status: 503, Committed: true, Events: 2, Offset: "2"})
		next = only[Dispatch](h, out)
		if next.Params.Endpoint == d.Params.Endpoint {
			return
		}
	}
	t.Errorf("not sent to %s again", d.Params.Endpoint)
}

// TestUnreachableAfterLeaving guards against an answer that is cut because the one endpoint
// for which its silent attempt was left can't be reached.
func TestUnreachableAfterLeaving(t *testing.T) {
	h := newHarness(t)
	h.listEngines(2, 64)
	d := h.beginStream()
	if out := h.stall(d, soundSilence); !has[LeaveAttempt](out) {
		return
	}
	next := only[Dispatch](h, h.endAttempt(d, left))
	out := h.endAttempt(next, AttemptEnded{Result: Unreachable, Committed: true, Events: 2, Offset: "2"})
	if has[Abort](out) || !has[Dispatch](out) {
		t.Errorf("cut after the next endpoint was unreachable: %+v", out)
	}
}

// TestLeaveForOneSlot guards against attempts that are all left for the same free slot: it
// is certain for one of them only.
func TestLeaveForOneSlot(t *testing.T) {
	h := newHarness(t)
	h.listEngines(2, 64)
	var streams []Dispatch
	for range 6 {
		if d := h.beginStream(); d.Params.Endpoint == "engine-0" {
			streams = append(streams, d)
		}
	}
	if len(streams) == 0 {
		for range 6 {
			h.edge.endpoints.rows["engine-1"].avoid(h.now.Add(time.Millisecond))
			streams = append(streams, h.beginStream())
		}
	}
	other := h.edge.endpoints.rows["engine-1"]
	other.running = 63
	h.now = h.now.Add(soundSilence)
	h.refresh()
	leaves := 0
	for _, d := range streams {
		if has[LeaveAttempt](h.step(AttemptStalled{Request: d.Request, Attempt: d.Attempt, Idle: soundSilence})) {
			leaves++
		}
	}
	if leaves > 1 {
		t.Errorf("%d of %d attempts are left for one free slot", leaves, len(streams))
	}
}

// TestLeaveSharesSpareRetry guards against attempts that are left while there is only one
// spare retry for all of them: a second one that is declined is cut.
func TestLeaveSharesSpareRetry(t *testing.T) {
	h := newHarness(t, WithBounds(Bounds{RetryRatio: 1e-9, RetryReserve: 8, RetryWindow: time.Hour}))
	h.listEngines(4, 64)
	var streams []Dispatch
	for range 5 {
		streams = append(streams, h.beginStream())
	}
	h.now = h.now.Add(soundSilence)
	h.refresh()
	var nexts []Dispatch
	var leaving []Dispatch
	for _, d := range streams {
		if has[LeaveAttempt](h.step(AttemptStalled{Request: d.Request, Attempt: d.Attempt, Idle: soundSilence})) {
			leaving = append(leaving, d)
		}
	}
	for _, d := range leaving {
		nexts = append(nexts, only[Dispatch](h, h.endAttempt(d, left)))
	}
	cut := 0
	for _, d := range nexts {
		if has[Abort](h.endAttempt(d, AttemptEnded{Result: Declined, Status: 503, Committed: true, Events: 2, Offset: "2"})) {
			cut++
		}
	}
	if cut > 0 {
		t.Errorf("%d of %d streams that were left for another endpoint are cut as it declines them", cut, len(nexts))
	}
}

// TestDrainAnswersWaiting guards against a request that waits for a share of its budget, or
// for a permit, as the router ends its stop: it must be refused as not run.
func TestDrainAnswersWaiting(t *testing.T) {
	h := newHarness(t, WithBounds(Bounds{Grace: 5 * time.Second}))
	c := testConfiguration(2)
	c.Accounts[0].Metered = true
	c.Accounts[0].Prepaid = 1_000_000
	h.step(Configured{
		Configuration: c,
	})
	// Requests of the route are quick, so that one is accepted whose deadline is after the
	// stop.
	h.edge.durations["advice"] = &duration{
		mean: 0.1,
	}
	h.edge.Drain(h.now)
	h.advance(2400 * time.Millisecond)
	id, out := h.arrive(call("advice"))
	if has[Refuse](out) {
		t.Fatal("refused on arrival")
	}
	answered := false
	for range 100 {
		for _, a := range h.advance(50 * time.Millisecond) {
			switch a := a.(type) {
			case Refuse:
				answered = answered || a.Request == id
			case Drained:
				if !answered {
					t.Errorf("the stop ends after %v and the waiting request has no answer", h.now.Sub(h.edge.drainStart))
				}
				return
			}
		}
	}
	t.Error("the stop does not end")
}

// TestNoRefusalAfterCommit guards against a refusal that is written into an answer whose
// header the caller has: a stream of which only comments came breaks off, and no other
// endpoint is left.
func TestNoRefusalAfterCommit(t *testing.T) {
	h := newHarness(t)
	h.listEngines(1, 64)
	d := h.beginStream()
	out := h.endAttempt(d, AttemptEnded{Result: Broken, Committed: true})
	if has[Refuse](out) || !has[Abort](out) {
		t.Errorf("refused after the header: %+v", only[Refuse](h, out).Problem)
	}
}

// TestNextEndpointLeaves guards against an answer that is cut because the endpoint for which
// its silent attempt was left leaves before the attempt has ended.
func TestNextEndpointLeaves(t *testing.T) {
	h := newHarness(t)
	h.listEngines(2, 64)
	d := h.beginStream()
	if out := h.stall(d, soundSilence); !has[LeaveAttempt](out) {
		return
	}
	for _, r := range engines(2) {
		if r.Endpoint != d.Params.Endpoint {
			r.Leaving = true
			h.step(Replicas{Replicas: []waxwingwall.Replica{r}, Revision: 12})
		}
	}
	out := h.endAttempt(d, left)
	if has[Abort](out) || !has[Dispatch](out) {
		t.Errorf("cut after the next endpoint left: %+v", out)
	}
}

// TestNextEndpointMovesToAnotherService guards against a request that is sent to an endpoint
// of another service: its entry changed after it was chosen.
func TestNextEndpointMovesToAnotherService(t *testing.T) {
	h := newHarness(t)
	d := h.beginStream()
	if out := h.stall(d, soundSilence); !has[LeaveAttempt](out) {
		t.Fatalf("%+v", out)
	}
	moved := h.edge.requests[d.Request].next.replica
	moved.Service = "ledger"
	h.step(Replicas{
		Replicas: []waxwingwall.Replica{moved},
		Revision: 12,
	})
	if next := only[Dispatch](h, h.endAttempt(d, left)); next.Params.Endpoint == moved.Endpoint {
		t.Errorf("dispatched to %s, which runs %s now", next.Params.Endpoint, moved.Service)
	}
}
