package sched_test

import (
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/sched"
)

// nameLimit names a limit for the endpoint of a dispatch.
func (r *rig) nameLimit(d sched.Dispatch, rate float64) {
	r.step(sched.LimitNamed{
		Identity: d.Identity,
		Attempt:  d.Attempt,
		Limit: waxwingwall.RateLimit{
			Named: true,
			Rate:  rate,
		},
	})
}

// TestPermitOfRegroupedEndpoint guards against a router that asks for a permit without end, in
// one step, so that all its requests stay without an answer: a configuration took a model from
// an endpoint that names a limit, and the permit granted is one of this endpoint.
func TestPermitOfRegroupedEndpoint(t *testing.T) {
	r := newRig()
	for range 2 * slots {
		r.offer("shop", 2)
	}
	for _, d := range r.dispatches {
		rate := 0.0
		if d.Endpoint == "model-1" {
			rate = 10
		}
		r.nameLimit(d, rate)
	}
	for _, d := range r.dispatches {
		r.finish(d, sched.None)
	}
	r.advance(2 * time.Second)
	specs := endpoints(2)
	specs[1].Models = []waxwingwall.Model{"letters"}
	r.s.SetEndpoints(r.now, specs)
	r.dispatches = nil
	ended := make(chan struct{})
	var verdict sched.Verdict
	go func() {
		defer close(ended)
		verdict = r.offer("shop", 2)
		r.advance(time.Second)
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("a step does not end")
	}
	r.advance(time.Minute)
	for _, d := range r.dispatches {
		if d.Endpoint != "model-0" {
			t.Errorf("dispatched to %s, which does not take it", d.Endpoint)
		}
	}
	if verdict.Decision != sched.Refused && len(r.refusals)+len(r.dispatches) == 0 {
		t.Error("neither sent nor refused")
	}
}
