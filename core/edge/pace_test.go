package edge

import (
	"testing"
	"time"

	"waxwingwall"
)

// TestReadPause: most routers of a fleet serve nearly nobody while callers stay with a few. A
// router reads the endpoints' signs of life about as often as requests come to it, and at least
// eight times within the time in which it must know that an endpoint leaves.
func TestReadPause(t *testing.T) {
	for _, c := range []struct {
		drain, every, least, most time.Duration
	}{
		{drain: 2 * time.Second, least: 250 * time.Millisecond, most: 250 * time.Millisecond},
		{drain: 3 * time.Second, every: time.Second, least: 375 * time.Millisecond, most: 375 * time.Millisecond},
		{drain: 10 * time.Second, every: time.Second, least: 400 * time.Millisecond, most: 400 * time.Millisecond},
		{drain: 3 * time.Second, every: 100 * time.Millisecond, least: 80 * time.Millisecond, most: 125 * time.Millisecond},
		{drain: 3 * time.Second, every: 20 * time.Millisecond, least: 15 * time.Millisecond, most: 25 * time.Millisecond},
	} {
		h := newHarness(t, WithBounds(Bounds{
			EndpointDrain: c.drain,
			RetryWindow:   time.Second,
		}))
		if c.every > 0 {
			for i := range 10 * time.Second / c.every {
				h.now = h.now.Add(c.every)
				h.step(Arrived{
					Request: uint64(i),
					Call:    call("nowhere"),
				})
			}
		}
		if pause := h.edge.ReadPause(h.now); pause < c.least || pause > c.most {
			t.Errorf("%v to leave, a request each %v: %v between reads", c.drain, c.every, pause)
		}
		if pause := h.edge.ReadPause(h.now.Add(10 * time.Second)); pause != min(c.drain/8, 400*time.Millisecond) {
			t.Errorf("%v to leave, a request each %v: %v between reads after 10 s without any", c.drain, c.every, pause)
		}
	}
}

// TestReadPauseBeforeList: a router that has no list yet does not wait for it.
func TestReadPauseBeforeList(t *testing.T) {
	e := New(waxwingwall.Incarnation{VM: "vm-1", Boot: 1}, RouterInfo{})
	if pause := e.ReadPause(time.Unix(1_800_000_000, 0)); pause != 0 {
		t.Fatal(pause)
	}
}
