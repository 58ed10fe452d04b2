package limit

import (
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// TestAskOutlivesIncarnation guards against an ask that gets neither a permit nor a refusal
// because the router's incarnation was renewed while the ask was queued here, and against a
// permit that is lost when it is given back after that.
func TestAskOutlivesIncarnation(t *testing.T) {
	now := time.Unix(0, 0)
	self := waxwingwall.Incarnation{VM: "vm-1", Boot: 1}
	l := New(self, func(waxwingwall.Endpoint) (born int64, usable, known bool) { return 1, true, true })
	l.SetPeers(nil, 1, true, false)
	l.Observe(now, Observation{
		Endpoint: "engine-1",
		Pool:     "model",
		Born:     1,
		Limit:    waxwingwall.RateLimit{Named: true, Rate: 1},
	})
	ask := func() {
		l.Ask(now, Ask{
			ID:   l.NextID(),
			Pool: "model",
			Wait: 2 * time.Second,
		})
	}
	// granted returns the permits that are granted within a time.
	granted := func(within time.Duration) (all []Granted) {
		for end := now.Add(within); now.Before(end); {
			now = now.Add(50 * time.Millisecond)
			for _, a := range l.Step(now, effect.Tick{}) {
				if g, ok := a.(Granted); ok {
					all = append(all, g)
				}
			}
		}
		return all
	}
	granted(1500 * time.Millisecond)
	ask()
	first := granted(50 * time.Millisecond)
	ask()
	if more := granted(50 * time.Millisecond); len(first) != 1 || len(more) != 0 {
		t.Fatalf("%d and %d permits, want one and an ask that waits", len(first), len(more))
	}
	self.Boot++
	l.SetSelf(self)
	l.GiveBack(now, first[0])
	if got := granted(100 * time.Millisecond); len(got) != 1 {
		t.Errorf("%d permits, want the one that was given back for the ask that waits", len(got))
	}
}
