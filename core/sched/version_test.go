package sched_test

import (
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
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

// setVersions replaces the endpoints by one of each version.
func (r *rig) setVersions(leaving bool, versions ...string) {
	specs := endpoints(len(versions))
	for i, v := range versions {
		specs[i].Version = v
		specs[i].Leaving = leaving && i == 0
	}
	r.s.SetEndpoints(r.now, specs)
	r.step(effect.Tick{})
}

// TestVersionHasLeft guards against a job with output that waits without end for a
// version that is not served any more, and against the claim that it was not run.
func TestVersionHasLeft(t *testing.T) {
	for name, leave := range map[string]func(r *rig){
		"leaving, then broken": func(r *rig) {
			r.setVersions(true, "v1", "v2")
			r.finish(r.last(), sched.Broken)
		},
		"broken, then leaving": func(r *rig) {
			r.finish(r.last(), sched.Broken)
			r.setVersions(true, "v1", "v2")
		},
		"broken, then replaced": func(r *rig) {
			r.finish(r.last(), sched.Broken)
			r.setVersions(false, "v2", "v2")
		},
		"replaced, then broken": func(r *rig) {
			r.setVersions(false, "v2", "v2")
			r.finish(r.last(), sched.Broken)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newVersionRig("v1")
			r.offer("shop", 2)
			r.output(5)
			leave(r)
			r.advance(8 * time.Second)
			if len(r.dispatches) != 1 || len(r.refusals) != 1 || r.refusals[0].Problem.Outcome != waxwingwall.Unknown {
				t.Errorf("%d dispatches, refusals %+v; want 1 and 1 of unknown outcome", len(r.dispatches), r.refusals)
			}
		})
	}
}

// TestWaitForVersion guards against a job that waits for an endpoint of its version and
// holds up others, or is given up though the endpoint comes back.
func TestWaitForVersion(t *testing.T) {
	r, of := newVersionRig("v1", "v2")
	for of[endpointOf(r)] != "v1" {
		r.offer("shop", 2)
	}
	bound := r.last()
	r.output(5)
	// The endpoint gets nothing for minBackoff.
	r.finish(bound, sched.Broken)
	if n := len(r.dispatches); r.last().Identity == bound.Identity && r.last().Attempt > 1 {
		t.Fatalf("resumed at %v", r.dispatches[n-1].Endpoint)
	}
	r.offer("shop", 2)
	if r.last().Identity == bound.Identity || of[r.last().Endpoint] != "v2" {
		t.Errorf("last dispatch %+v, want new work at v2", r.last())
	}
	r.advance(time.Second)
	if last := r.last(); last.Identity != bound.Identity || of[last.Endpoint] != "v1" || !last.Resume {
		t.Errorf("last dispatch %+v, want the job resumed at v1", last)
	}
}

// endpointOf returns the endpoint of the last dispatch, or none.
func endpointOf(r *rig) waxwingwall.Endpoint {
	if len(r.dispatches) == 0 {
		return ""
	}
	return r.last().Endpoint
}

// TestOtherOwnersOutput guards against output of another owner that is continued at
// another version, or at any while its version is not known, and against refusals while
// no endpoint names a version.
func TestOtherOwnersOutput(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		version  string
		queued   bool
	}{
		"same version":           {[]string{"v1", "v2", "v2", "v2"}, "v1", true},
		"no such version":        {[]string{"v1", "v2"}, "v3", false},
		"unknown version":        {[]string{"v1", "v2"}, "", false},
		"none named":             {[]string{"", ""}, "", true},
		"named, and none serves": {[]string{"", ""}, "v1", false},
	} {
		t.Run(name, func(t *testing.T) {
			r, of := newVersionRig(test.versions...)
			v := r.offer("shop", 2, func(w *sched.Work) {
				w.Output = 5
				w.Version = test.version
			})
			if queued := v.Decision == sched.Queued; queued != test.queued {
				t.Fatalf("queued %t, want %t: %+v", queued, test.queued, v.Problem)
			}
			if !test.queued {
				return
			}
			if d := r.last(); of[d.Endpoint] != test.version || !d.Resume {
				t.Errorf("dispatch %+v, want version %q", d, test.version)
			}
		})
	}
}

// TestOutputReportedLate guards against output of an attempt that was cancelled before it
// was reported, which the next attempt would continue at another version.
func TestOutputReportedLate(t *testing.T) {
	r, of := newVersionRig("v1", "v1", "v2", "v2")
	late := 0
	for range 40 {
		r.offer("shop", 2)
		first := r.last()
		r.step(sched.Finished{
			Identity: first.Identity,
			Attempt:  first.Attempt,
			Failure:  sched.Broken,
		})
		next := r.last()
		if next.Identity != first.Identity || of[next.Endpoint] == of[first.Endpoint] {
			continue
		}
		late++
		r.step(sched.Finished{
			Identity: next.Identity,
			Attempt:  next.Attempt,
			Tokens:   5,
			Failure:  sched.OtherVersion,
			Version:  of[first.Endpoint],
		})
		if last := r.last(); last.Identity == first.Identity && last.Attempt > next.Attempt && last.Version != of[first.Endpoint] {
			t.Errorf("went on at version %v, its output is of %v", last.Version, of[first.Endpoint])
		}
		r.finish(r.last(), sched.None)
		r.advance(6 * time.Second)
	}
	if late == 0 {
		t.Error("no attempt at another version")
	}
}

// TestNoPreemptionAtOtherVersion guards against urgent work that waits for an endpoint of
// its version and preempts work at endpoints of others, which is of no use to it.
func TestNoPreemptionAtOtherVersion(t *testing.T) {
	r, of := newVersionRig("v1", "v2")
	r.offer("urgent", 0)
	bound := r.last()
	r.output(5)
	for range 2 * slots {
		r.offer("shop", 2)
	}
	running := map[waxwingwall.Identity]sched.Dispatch{}
	for _, d := range r.dispatches {
		running[d.Identity] = d
	}
	r.finish(bound, sched.Broken)
	for range 4 {
		// Later failures keep the endpoint of its version in backoff.
		for id, d := range running {
			if of[d.Endpoint] == of[bound.Endpoint] && id != bound.Identity {
				r.finish(d, sched.Broken)
				delete(running, id)
			}
		}
		r.advance(100 * time.Millisecond)
	}
	for _, c := range r.cancels {
		if of[running[c.Identity].Endpoint] != of[bound.Endpoint] {
			t.Errorf("%v was preempted at %v", c.Identity, running[c.Identity].Endpoint)
		}
	}
}
