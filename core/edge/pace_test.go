package edge

import (
	"testing"
	"time"

	"waxwingwall"
)

// TestReadPause: most routers of a fleet serve nobody while callers stay with a few. Such a
// router reads the endpoints' signs of life eight times within the time in which it must know
// that one leaves, and as often as all others from its first request on.
func TestReadPause(t *testing.T) {
	for _, c := range []struct {
		drain, want time.Duration
	}{
		{drain: 2 * time.Second, want: 250 * time.Millisecond},
		{drain: 3 * time.Second, want: 375 * time.Millisecond},
		{drain: 10 * time.Second, want: 400 * time.Millisecond},
	} {
		h := newHarness(t, WithBounds(Bounds{
			EndpointDrain: c.drain,
			RetryWindow:   time.Second,
		}))
		if pause := h.edge.ReadPause(h.now); pause != c.want {
			t.Fatalf("%v: %v without a request", c.drain, pause)
		}
		h.step(Arrived{
			Request: 1,
			Call:    call("quote"),
		})
		if pause := h.edge.ReadPause(h.now.Add(time.Minute)); pause != 0 {
			t.Fatalf("%v: %v with a request in flight", c.drain, pause)
		}
		h.step(CallerLeft{
			Request: 1,
		})
		if pause := h.edge.ReadPause(h.now.Add(time.Second)); pause != 0 {
			t.Fatalf("%v: %v a second after a request", c.drain, pause)
		}
		if pause := h.edge.ReadPause(h.now.Add(2 * time.Second)); pause != c.want {
			t.Fatalf("%v: %v two seconds after a request", c.drain, pause)
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
