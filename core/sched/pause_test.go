package sched_test

import (
	"net/http"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/sched"
)

// decline makes an endpoint decline an attempt and ask for a pause.
func (r *rig) decline(d sched.Dispatch, wait time.Duration) {
	r.step(sched.Finished{
		Identity:   d.Identity,
		Attempt:    d.Attempt,
		Failure:    sched.Declined,
		RetryAfter: wait,
	})
}

// TestPausedEndpoint guards against requests to an endpoint that asked for a pause longer
// than the backoff: new ones, retries, and those that other answers let it off for.
func TestPausedEndpoint(t *testing.T) {
	const wait = 12 * time.Second
	r := newRig()
	r.offer("shop", 0)
	first := r.last()
	r.decline(first, wait)
	end := r.now.Add(wait)
	if d := r.last(); d.Endpoint == first.Endpoint || d.Attempt != 2 {
		t.Fatalf("the retry is %+v", d)
	}
	r.finish(r.last(), sched.None)
	for end.Sub(r.now) > 100*time.Millisecond {
		for _, rank := range []waxwingwall.Rank{0, 2} {
			r.offer("shop", rank)
			if d := r.last(); d.Endpoint == first.Endpoint {
				t.Fatalf("sent %v before the end", end.Sub(r.now))
			}
			r.finish(r.last(), sched.None)
		}
		r.advance(200 * time.Millisecond)
	}
	r.now = end
	r.advance(20 * time.Millisecond)
	for range 20 {
		r.offer("shop", 0)
		if r.last().Endpoint == first.Endpoint {
			return
		}
		r.finish(r.last(), sched.None)
	}
	t.Error("nothing is sent after the end")
}

// TestAllEndpointsPaused guards against requests that are held, or refused with a shorter
// time, while all endpoints of their model are paused; also one that was queued or retried
// when that began.
func TestAllEndpointsPaused(t *testing.T) {
	const wait = 40 * time.Second
	r := newRig()
	for range 2*slots + 2 {
		r.offer("shop", 2)
	}
	sent := r.dispatches
	if len(sent) != 2*slots {
		t.Fatalf("%d are sent", len(sent))
	}
	for _, d := range sent {
		r.decline(d, wait)
	}
	end := r.now.Add(wait)
	r.advance(500 * time.Millisecond)
	if len(r.dispatches) > 2*slots+1 {
		t.Errorf("%d were sent", len(r.dispatches)-2*slots)
	}
	if len(r.refusals) != 2*slots+2 {
		t.Errorf("%d of %d are refused", len(r.refusals), 2*slots+2)
	}
	for _, a := range r.refusals {
		if a.Problem.Outcome != waxwingwall.NotRun || a.Problem.RetryAfter < wait-time.Second {
			t.Errorf("got %+v", a.Problem)
		}
	}
	for r.now.Before(end) {
		r.refusals = nil
		v := r.offer("shop", 0)
		if v.Problem == nil {
			t.Fatal("accepted")
		}
		p := v.Problem
		if left := end.Sub(r.now); p.RetryAfter < left-20*time.Millisecond || p.Outcome != waxwingwall.NotRun || p.Status != http.StatusServiceUnavailable {
			t.Fatalf("got %+v with %v left", p, left)
		}
		r.advance(2 * time.Second)
	}
	before := len(r.dispatches)
	r.offer("shop", 0)
	if len(r.dispatches) == before {
		t.Error("nothing is sent after the end")
	}
}

// TestRanBeforePause guards against a refusal as not run, or with a status that says so, of
// a request that may have run before all endpoints were paused.
func TestRanBeforePause(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		r := newRig()
		for len(r.dispatches) < 2*slots {
			r.offer("shop", 2, func(w *sched.Work) { w.Idempotent = idempotent })
		}
		ran := r.dispatches[0]
		for _, d := range r.dispatches[1 : 2*slots] {
			r.decline(d, 40*time.Second)
		}
		r.finish(ran, sched.Broken)
		r.advance(500 * time.Millisecond)
		found := false
		for _, a := range r.refusals {
			if a.Identity != ran.Identity {
				continue
			}
			found = true
			p := a.Problem
			if p.Outcome != waxwingwall.Unknown || p.Status != http.StatusBadGateway || (p.RetryAfter > 0) != idempotent {
				t.Errorf("idempotent %v: got %+v", idempotent, p)
			}
		}
		if !found {
			t.Errorf("idempotent %v: held", idempotent)
		}
	}
}
