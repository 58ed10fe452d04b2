package limit

import (
	"fmt"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// A cold endpoint may get coldFactor times its rate plus coldSlack requests in a second.
	coldFactor = 1.5
	coldSlack  = 5

	// coldConnect is the longest time until a request with the permit of a cold endpoint is sent.
	coldConnect = 300 * time.Millisecond
)

// cool makes endpoints cold, which each router that isn't cut off learns within a moment.
func (w *world) cool(rate float64, d time.Duration, endpoints ...int) {
	until := w.now.Add(d)
	for i, r := range w.routers {
		for _, n := range endpoints {
			e := w.endpoints[n]
			c := Cold{
				Endpoint: e.id,
				Pool:     testPool,
				Born:     e.born,
				Rate:     rate,
				Until:    until,
			}
			w.after(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), func() {
				if !r.down {
					r.limiter.SetCold(w.now, c)
					w.perform(i, r.limiter.Take())
				}
			})
		}
	}
}

// fullestSecond returns the largest number of requests that an endpoint got in a second.
func (e *endpoint) fullestSecond() int {
	most, start := 0, 0
	for i, a := range e.arrivals {
		for a.at.Sub(e.arrivals[start].at) >= time.Second {
			start++
		}
		most = max(most, i-start+1)
	}
	return most
}

// checkCold fails the test if a cold endpoint got more in a second than it may.
func (w *world) checkCold(rate float64) {
	w.t.Helper()
	for _, e := range w.endpoints {
		if got, may := e.fullestSecond(), coldFactor*rate+coldSlack; float64(got) > may {
			w.t.Errorf("%s got %d requests in a second; %.2f are allowed", e.id, got, may)
		}
	}
}

// TestColdZone answers a zone of cold endpoints that has to take all load, many times what
// they tolerate, while a tenth of the messages is lost, half of the routers can't see the
// other half, the owner of the permits dies, and each router is alone.
func TestColdZone(t *testing.T) {
	for _, size := range []int{8, 72, 295} {
		for _, rate := range []float64{1, 8.1, 40} {
			t.Run(fmt.Sprintf("routers=%d/rate=%v", size, rate), func(t *testing.T) {
				w := newWorld(t, 21, size, 2)
				w.lose = func() bool { return w.random.IntN(10) == 0 }
				w.connect = func() time.Duration { return time.Duration(w.random.Int64N(int64(coldConnect))) }
				w.cool(rate, time.Hour, all(2)...)
				w.run(300 * time.Millisecond)
				w.load(6*rate+40, 0, "a", 300*time.Millisecond, all(2)...)
				w.run(5 * time.Second)
				since := w.now
				w.run(5 * time.Second)
				sent := 0
				for _, e := range w.endpoints {
					for _, a := range e.arrivals {
						if a.at.After(since) {
							sent++
						}
					}
				}
				if used := float64(sent) / (2 * 5 * rate); used < 0.6 {
					t.Errorf("only %.2f of the rate was used", used)
				}
				w.cut = func(a, b int) bool { return a%2 != b%2 }
				w.after(2*time.Second, func() { w.refreshViews(time.Second) })
				w.run(8 * time.Second)
				owner := w.routers[0].limiter.chooseOwner(testPool)
				for i := range w.routers {
					if w.incarnation(i) == owner {
						w.routers[i].down = true
					}
				}
				w.after(2*time.Second, func() { w.refreshViews(time.Second) })
				w.run(8 * time.Second)
				w.cut = func(a, b int) bool { return a != b }
				w.refreshViews(time.Second)
				w.run(5 * time.Second)
				w.cut = nil
				w.refreshViews(time.Second)
				w.run(6 * time.Second)
				w.checkCold(rate)
				for rank, s := range w.ranks {
					if s.longestHeld > 500*time.Millisecond {
						t.Errorf("a request of rank %d was refused after %v", rank, s.longestHeld)
					}
				}
			})
		}
	}
}

// TestColdSavedUp answers a burst at all routers after the tokens of a cold endpoint had long
// to accrue, in one fleet and in two halves.
func TestColdSavedUp(t *testing.T) {
	for _, size := range []int{8, 72, 295} {
		for _, halved := range []bool{false, true} {
			t.Run(fmt.Sprintf("routers=%d/halved=%v", size, halved), func(t *testing.T) {
				const rate = 8.1
				w := newWorld(t, 22, size, 1)
				w.connect = func() time.Duration { return time.Duration(w.random.Int64N(int64(coldConnect))) }
				if halved {
					w.cut = func(a, b int) bool { return a%2 != b%2 }
					w.setViews()
				}
				w.cool(rate, 2*time.Hour, 0)
				w.run(4 * time.Second)
				w.skip(time.Hour)
				w.run(4 * time.Second)
				for range 20 {
					for i := range w.routers {
						w.request(i, w.endpoints[0], 0, "a", time.Second)
					}
					w.run(200 * time.Millisecond)
				}
				w.checkCold(rate)
				if len(w.endpoints[0].arrivals) == 0 {
					t.Error("no request was sent")
				}
			})
		}
	}
}

// TestColdBesideNamed answers an endpoint that is cold and names a limit as well: the stricter
// is in force, and neither end loosens the other.
func TestColdBesideNamed(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := New(waxwingwall.Incarnation{VM: "vm-1", Boot: 1}, func(waxwingwall.Endpoint) (int64, bool, bool) { return 7, true, true })
	l.SetPeers([]waxwingwall.Incarnation{{VM: "vm-2", Boot: 1}}, 2, true, false)
	cool := func(rate float64, d time.Duration) {
		l.SetCold(now, Cold{Endpoint: "e", Pool: "m", Born: 7, Rate: rate, Until: now.Add(d)})
	}
	name := func(seq uint64, limit waxwingwall.RateLimit) {
		l.Observe(now, Observation{Endpoint: "e", Pool: "m", Born: 7, Seq: seq, Limit: limit})
	}
	want := func(what string, rate float64, limited bool, seq uint64) {
		t.Helper()
		got := 0.0
		if r := l.rows["e"]; r != nil {
			got = r.rate()
		}
		if l.Limited("e") != limited || limited && got != rate || l.Seq("e") != seq {
			t.Errorf("%s: rate %v, limited %v, number %d; want %v, %v, %d", what, got, l.Limited("e"), l.Seq("e"), rate, limited, seq)
		}
	}
	cool(8, time.Second)
	want("cold", 8, true, 0)
	now = now.Add(999 * time.Millisecond)
	for _, a := range l.Step(now, effect.Tick{}) {
		if m, ok := a.(effect.Send); ok {
			if _, ok := m.Message.(Notices); ok {
				t.Error("a notice is passed on")
			}
		}
	}
	want("at the end", 8, true, 0)
	now = now.Add(time.Millisecond)
	l.Step(now, effect.Tick{})
	want("its time is over", 0, false, 0)
	cool(8, time.Second)
	if len(l.Notices()) != 0 {
		t.Error("a cold endpoint has a notice")
	}
	name(0, waxwingwall.RateLimit{})
	want("an answer without a limit", 8, true, 0)
	name(0, waxwingwall.RateLimit{Named: true, Rate: 2})
	want("a stricter limit is named", 2, true, 1)
	name(1, waxwingwall.RateLimit{Named: true, Rate: 30})
	want("a looser limit is named", 8, true, 2)
	now = now.Add(2 * time.Second)
	l.Step(now, effect.Tick{})
	want("warm", 30, true, 2)
	cool(8, time.Second)
	want("cold again", 8, true, 2)
	cool(8, 0)
	want("ended by a newer entry", 30, true, 2)
	for seq := uint64(2); l.Limited("e"); seq++ {
		name(seq, waxwingwall.RateLimit{})
	}
	cool(8, time.Second)
	want("cold after the limit ended", 8, true, l.Seq("e"))
	if n := l.Notices(); len(n) != 1 || !n[0].Ended {
		t.Errorf("notices %v", n)
	}
	other := Notice{Endpoint: "e", Pool: "n", Born: 7, Seq: 99, Rate: 50, Named: 50, Ended: true}
	l.Step(now, effect.Received{From: waxwingwall.Incarnation{VM: "vm-2", Boot: 1}, Message: Notices{Notices: []Notice{other}}})
	want("a peer's notice for another service", 8, true, 99)
	l.SetCold(now, Cold{Endpoint: "e", Pool: "m", Born: 8, Rate: 5, Until: now.Add(time.Second)})
	want("another instance", 5, true, 0)
}
