package escrow

import (
	"testing"
	"time"

	"waxwingwall"
)

// cutLoad is the load of one account whose callers ask a few nodes.
type cutLoad struct {
	w       *world
	busy    int
	waiting []cutRequest

	// asked, granted and refused count the requests.
	asked, granted, refused int
}

// cutRequest is a request of a caller that comes back once.
type cutRequest struct {
	node   *testNode
	before int
	again  time.Time
	tried  bool
}

// run makes requests for so many tokens a second.
func (l *cutLoad) run(d time.Duration, perSecond waxwingwall.Tokens) {
	const (
		worst = 4_000
		used  = 3_000
	)
	w := l.w
	start := w.now
	var made waxwingwall.Tokens
	for ; w.now.Sub(start) < d; w.run(10 * time.Millisecond) {
		for made < waxwingwall.Tokens(w.now.Sub(start).Seconds()*float64(perSecond)) {
			made += used
			l.asked++
			n := w.nodes[w.random.IntN(l.busy)]
			l.waiting = append(l.waiting, cutRequest{node: n, before: n.resolved[shop] - 1})
		}
		open := l.waiting
		l.waiting = nil
		for _, r := range open {
			n := r.node
			if w.now.Before(r.again) || n.resolved[shop] == r.before {
				l.waiting = append(l.waiting, r)
				continue
			}
			r.before = n.resolved[shop]
			v := n.book.Reserve(w.now, shop, worst)
			switch {
			case v.Kind == Granted:
				l.granted++
				n.spent[shop] += used
				n.book.Settle(w.now, shop, worst, used)
			case v.Kind == Waiting:
				l.waiting = append(l.waiting, r)
			case v.Kind == Exhausted || r.tried:
				l.refused++
			default:
				r.tried = true
				r.before--
				r.again = w.now.Add(v.RetryAfter)
				l.waiting = append(l.waiting, r)
			}
		}
	}
}

// cutAll cuts all nodes from the table and from each other, or ends that.
func (w *world) cutAll(cut bool) {
	w.tableDown = cut
	w.loseMessage = 0
	if cut {
		w.loseMessage = 100
	}
}

// TestCutsOfAll covers an account of which 1 in 100 is used a second, at a few nodes, as all nodes
// are cut from the table and from each other for 9 s, twice, with a rush of three times as much
// between the cuts: few requests are refused though there are tokens for all. Then all nodes die, in
// calm or in a cut, and are back 2 s later: in calm at most 1 in 100 of the payment are lost.
func TestCutsOfAll(t *testing.T) {
	const (
		paid      = 10_000_000
		perSecond = paid / 100
		cut       = 9 * time.Second

		refusedPercent = 5
		lostPercent    = 1
	)
	for _, fleet := range []struct{ nodes, busy int }{{8, 8}, {72, 6}, {295, 12}} {
		for _, clock := range []bool{false, true} {
			for _, calm := range []bool{true, false} {
				w := newEvenWorld(1, fleet.nodes, paid)
				w.clock = clock
				l := &cutLoad{
					w:    w,
					busy: fleet.busy,
				}
				l.run(6*time.Second, perSecond)
				writes, before := w.writes, w.now
				l.run(2*time.Second, perSecond)
				perSecondWritten := float64(w.writes-writes) / w.now.Sub(before).Seconds()
				var refused [2]int
				for i := range refused {
					was := l.refused
					asked := l.asked
					w.cutAll(true)
					l.run(cut, perSecond)
					w.cutAll(false)
					l.run(3*time.Second, 0)
					refused[i] = (l.refused - was) * 100 / (l.asked - asked)
					if i == 0 {
						l.run(8*time.Second, 3*perSecond)
					}
				}
				l.run(2*time.Second, perSecond)
				if !calm {
					w.cutAll(true)
					l.run(cut/2, perSecond)
				}
				l.waiting = nil
				held := w.heldByLive()
				before0 := paid - w.spent(shop) - w.budget(shop).Pool() - held
				w.cutAll(false)
				w.killAndRestart(fleet.nodes)
				lost := paid - w.spent(shop) - w.budget(shop).Pool() - w.heldByLive()
				t.Logf("%d nodes, clock %v, calm %v: %d and %d in 100 refused, %.0f writes a second, %d of %d left held, %d lost (%d before)",
					fleet.nodes, clock, calm, refused[0], refused[1], perSecondWritten, held, paid-w.spent(shop), lost, before0)
				if lost < 0 {
					t.Errorf("%d returned that were spent", -lost)
				}
				if clock && (refused[0] > refusedPercent || refused[1] > refusedPercent || calm && lost > paid*lostPercent/100) {
					t.Errorf("%d nodes, calm %v: %d and %d in 100 refused, %d lost", fleet.nodes, calm, refused[0], refused[1], lost)
				}
			}
		}
	}
}
