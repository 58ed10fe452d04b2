package sched_test

import (
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/sched"
)

// newVersionRig returns a rig with one endpoint of each version.
func newVersionRig(versions ...string) (r *rig, of map[waxwingwall.Endpoint]string) {
	r = newRig()
	specs := endpoints(len(versions))
	of = map[waxwingwall.Endpoint]string{}
	for i, v := range versions {
		specs[i].Version = v
		of[specs[i].Name] = v
	}
	r.s.SetEndpoints(r.now, specs)
	return r, of
}

// output reports output of the last dispatch.
func (r *rig) output(tokens waxwingwall.Tokens) {
	d := r.last()
	r.step(sched.FirstToken{
		Identity: d.Identity,
		Attempt:  d.Attempt,
	})
	r.step(sched.Progress{
		Identity: d.Identity,
		Attempt:  d.Attempt,
		Tokens:   tokens,
	})
}

// TestRetryKeepsVersion guards against an answer that is continued, after its endpoint
// failed or its connection was idle, by an endpoint of another version.
func TestRetryKeepsVersion(t *testing.T) {
	for name, test := range map[string]struct {
		reported waxwingwall.Tokens
		fail     func(r *rig)
	}{
		"broken":                        {5, func(r *rig) { r.finish(r.last(), sched.Broken) }},
		"crashed":                       {5, func(r *rig) { r.finish(r.last(), sched.Crashed) }},
		"idle, on a new connection too": {5, func(r *rig) { r.advance(14 * time.Second) }},
		"broken, output unreported":     {0, func(r *rig) { r.finish(r.last(), sched.Broken) }},
	} {
		t.Run(name, func(t *testing.T) {
			r, of := newVersionRig("v1", "v1", "v2", "v2")
			mixed, resumed := 0, 0
			for range 40 {
				r.offer("shop", 2)
				first := r.last()
				if test.reported > 0 {
					r.output(test.reported)
				}
				test.fail(r)
				next := r.last()
				if next.Identity == first.Identity && next.Attempt > first.Attempt {
					resumed++
					if of[next.Endpoint] != of[first.Endpoint] {
						mixed++
					}
				}
				r.finish(next, sched.None)
				r.advance(6 * time.Second)
			}
			if mixed > 0 || resumed < 5 {
				t.Errorf("%d of %d resumed attempts ran at another version, want none of at least 5", mixed, resumed)
			}
		})
	}
}

// TestPreemptedKeepsVersion guards against a preempted answer that is continued by an
// endpoint of another version.
func TestPreemptedKeepsVersion(t *testing.T) {
	r, of := newVersionRig("v1", "v1", "v2", "v2")
	began := map[waxwingwall.Identity]waxwingwall.Endpoint{}
	for range 4 * slots {
		r.offer("shop", 2)
		r.output(5)
		began[r.last().Identity] = r.last().Endpoint
	}
	before := len(r.dispatches)
	for range 8 {
		r.offer("urgent", 0)
	}
	for range 20 {
		r.advance(200 * time.Millisecond)
		for _, d := range r.dispatches[before:] {
			if began[d.Identity] == "" {
				r.finish(d, sched.None)
			}
		}
	}
	mixed, resumed := 0, 0
	for _, d := range r.dispatches[before:] {
		if first := began[d.Identity]; first != "" && d.Attempt > 1 {
			resumed++
			if of[d.Endpoint] != of[first] {
				mixed++
			}
		}
	}
	if mixed > 0 || resumed == 0 {
		t.Errorf("%d of %d preempted jobs went on at another version", mixed, resumed)
	}
}
