package sched_test

import (
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/sched"
)

// TestRetryAvoidsRemovedEndpoint guards against a retry that is dispatched to an endpoint
// which was removed from the table while it ran the request: the driver can't start it.
func TestRetryAvoidsRemovedEndpoint(t *testing.T) {
	m := newStreams(t, 4)
	m.offerAll(1, 0)
	first := m.last()
	for _, e := range m.specs(2) {
		if e.Name != first.Endpoint {
			m.s.SetEndpoints(m.now, []sched.EndpointSpec{e})
		}
	}
	m.finish(first, sched.IdleTimeout)
	if d := m.last(); d.Attempt != 2 || d.Endpoint == first.Endpoint {
		t.Errorf("attempt %d is dispatched to %s, which was removed", d.Attempt, d.Endpoint)
	}
}

// TestRemovedEndpointDies guards against work that stays with an endpoint that was removed
// from the table and never answers: it moves, as it would from one that is listed.
func TestRemovedEndpointDies(t *testing.T) {
	const n = 4
	m := newStreams(t, 10)
	m.offerAll(n, 0)
	m.run(200 * time.Millisecond)
	m.s.SetEndpoints(m.now, m.specs(2)[1:])
	m.silence(true, "model-0")
	m.run(8 * time.Second)
	m.expectWhole(n)
}

// TestRemovedEndpointReturns guards against an endpoint that gets more than its
// concurrency because it was removed and listed again while it ran requests.
func TestRemovedEndpointReturns(t *testing.T) {
	m := newStreams(t, 4)
	m.s.SetEndpoints(m.now, endpoints(2))
	for range 2 * slots {
		m.offer("shop", 2)
	}
	for _, d := range m.dispatches {
		if d.Endpoint == "model-1" {
			m.finish(d, sched.None)
		}
	}
	m.s.SetEndpoints(m.now, endpoints(2)[1:])
	m.s.SetEndpoints(m.now, endpoints(2))
	m.dispatches = nil
	for range slots {
		m.offer("shop", 2)
	}
	for _, d := range m.dispatches {
		if d.Endpoint == "model-0" {
			t.Errorf("%s runs %d requests and gets another", d.Endpoint, slots)
		}
	}
}

// TestRetryEnds guards against a request that stays in the queue without end: its attempt
// failed, and no endpoint takes another.
func TestRetryEnds(t *testing.T) {
	m := newStreams(t, 4)
	m.offerAll(1, 0)
	leaving := m.specs(2)
	for i := range leaving {
		leaving[i].Leaving = true
	}
	m.s.SetEndpoints(m.now, leaving)
	m.finish(m.last(), sched.Broken)
	m.run(time.Minute)
	if len(m.refusals) != 1 || m.refusals[0].Problem.Outcome != waxwingwall.Unknown {
		t.Errorf("after a minute without an endpoint there is no answer: %d refusals", len(m.refusals))
	}
}

// TestRemovedRankWhileQueued guards against a request that ran, waits for its next attempt
// and ends as not run because its rank is removed.
func TestRemovedRankWhileQueued(t *testing.T) {
	m := newStreams(t, 4)
	m.offerAll(1, 0)
	leaving := m.specs(2)
	for i := range leaving {
		leaving[i].Leaving = true
	}
	m.s.SetEndpoints(m.now, leaving)
	m.finish(m.last(), sched.Broken)
	m.s.SetRanks(ranks[1:])
	m.run(driverTick)
	if len(m.refusals) != 1 || m.refusals[0].Problem.Outcome != waxwingwall.Unknown {
		t.Errorf("refusals: %+v", m.refusals)
		for _, r := range m.refusals {
			t.Errorf("%+v", *r.Problem)
		}
	}
}

// TestRetryWaitsForBackoff guards against a request that ends because its attempt failed
// while the other endpoint takes no more requests by its limit: its own endpoint backs off
// for a moment only.
func TestRetryWaitsForBackoff(t *testing.T) {
	m := newStreams(t, 4)
	m.s.SetEndpoints(m.now, m.specs(2)[1:])
	m.offerAll(1, 0)
	limited := m.last()
	m.s.SetEndpoints(m.now, m.specs(2)[:1])
	m.offerAll(1, 0)
	m.run(time.Second)
	m.s.SetEndpoints(m.now, m.specs(2))
	m.step(sched.LimitNamed{
		Identity: limited.Identity,
		Attempt:  limited.Attempt,
		Limit: waxwingwall.RateLimit{
			Named: true,
		},
	})
	failed := m.last()
	delete(m.running, failed.Identity)
	m.finish(failed, sched.Broken)
	m.run(20 * time.Second)
	m.expectWhole(2)
}

// TestNoRanksLeft guards against a router that panics, with all its requests, because a
// configuration has endpoints and no ranks.
func TestNoRanksLeft(t *testing.T) {
	m := newStreams(t, 4)
	m.offerAll(1, 0)
	first := m.last()
	m.s.SetRanks(nil)
	m.run(time.Second)
	if v := m.offer("shop", 0); v.Decision != sched.Refused {
		t.Errorf("without a rank an offer is answered %+v", v)
	}
	m.run(20 * time.Second)
	if !m.whole[first.Identity] {
		t.Error("the request that ran has no whole answer")
	}
}
