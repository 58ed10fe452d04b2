package sched_test

import (
	"testing"

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
