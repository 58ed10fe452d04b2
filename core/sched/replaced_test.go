package sched_test

import (
	"testing"
	"time"

	"waxwingwall/core/sched"
)

// TestIdleAttemptStaysWithoutSpareRetry guards against an answer that is lost because its
// silent attempt was left with the last retry, and the next endpoint declines.
func TestIdleAttemptStaysWithoutSpareRetry(t *testing.T) {
	m := newStreams(t, 1)
	m.offerAll(1, 0)
	m.run(500 * time.Millisecond)
	m.silence(true, "model-0", "model-1")
	for range 200 {
		m.run(driverTick)
		if d := m.last(); d.Attempt > 1 {
			delete(m.running, d.Identity)
			m.finish(d, sched.Declined)
			break
		}
	}
	m.silence(false, "model-0", "model-1")
	m.run(20 * time.Second)
	m.expectWhole(1)
}

// TestLastAttemptDeclined is the same for a request that is left for its last attempt while
// there are retries.
func TestLastAttemptDeclined(t *testing.T) {
	m := newStreams(t, 50)
	m.offerAll(1, 0)
	m.run(500 * time.Millisecond)
	m.silence(true, "model-0", "model-1")
	for range 800 {
		m.run(driverTick)
		if d := m.last(); d.Attempt == 4 {
			t.Logf("attempt %d at %s", d.Attempt, d.Endpoint)
			delete(m.running, d.Identity)
			m.finish(d, sched.Declined)
			break
		}
	}
	m.silence(false, "model-0", "model-1")
	m.run(20 * time.Second)
	m.expectWhole(1)
}
