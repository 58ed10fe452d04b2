package escrow

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
)

// bornNow returns the table's clock for a process that begins now. Its time of day has gone back, so
// that the table's clock alone proves when the one before it ended.
func (w *world) bornNow() RowClock {
	born := ClockOf(w.clockNow())
	born.Day = 1
	return born
}

// succeed starts the process after a dead node's, which closes its rows by the table's clock then,
// or lets others do so later by that time.
func (w *world) succeed(n *testNode, after time.Duration) {
	born := w.bornNow()
	opts := []CloserOption{WithCloserShards(len(n.book.shards)), WithCloserSeed(uint64(len(w.machines))), WithEnded(), WithLinesInTable(born)}
	w.scheduleAt(w.now.Add(after), func() {
		w.machines = append(w.machines, &testMachine{stepper: NewCloser(n.book.self, nil, opts...)})
	})
}

// suspend stops a live node and its steady clock for a time.
func (n *testNode) suspend(span time.Duration) {
	if n.dead {
		return
	}
	n.paused = true
	n.w.run(span)
	n.stopped += span
	n.resume()
}

// checkSucceeded checks that what is spent never exceeds what was paid if writes of processes take
// effect up to 5 s late, after their death, the first answer to their successor and the closing by
// others too; if the steady clocks of nodes stand still for seconds, or are slower or faster than
// the table's by up to 1/clockDrift; and if several Closers work at once.
func checkSucceeded(t *rapid.T) {
	paid := waxwingwall.Tokens(rapid.IntRange(20_000, 200_000).Draw(t, "paid"))
	w := newClockedWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "nodes"), paid)
	w.delay = time.Duration(rapid.IntRange(2, 60).Draw(t, "delay")) * time.Millisecond
	w.loseAnswer = rapid.IntRange(0, 20).Draw(t, "lost answers")
	w.loseMessage = rapid.IntRange(0, 30).Draw(t, "lost messages")
	for _, n := range w.nodes {
		n.drift = float64(rapid.IntRange(-48, 48).Draw(t, "drift")) / 1_000
	}
	w.run(500 * time.Millisecond)
	for range rapid.IntRange(3, 30).Draw(t, "steps") {
		n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1, 2:
			for range rapid.IntRange(1, 12).Draw(t, "requests") {
				n.request(shop, paid/waxwingwall.Tokens(rapid.IntRange(10, 800).Draw(t, "part")))
				w.run(10 * time.Millisecond)
			}
		case 3:
			for len(n.running) > 0 && !n.dead {
				n.finish(0, waxwingwall.Tokens(rapid.Int64Range(0, int64(n.running[0].tokens)).Draw(t, "used")))
			}
		case 4:
			n.cutOff = !n.cutOff
		case 5, 6:
			n.late = time.Duration(rapid.IntRange(0, 5_000).Draw(t, "late")) * time.Millisecond
		case 7:
			n.suspend(time.Duration(rapid.IntRange(0, 4_000).Draw(t, "suspended")) * time.Millisecond)
		case 8, 9:
			if n.dead {
				w.close(n, false)
				break
			}
			for size := paid; size > 0; size /= 2 {
				n.reserveAll(size)
			}
			n.dead = true
			w.updatePeers()
			for range rapid.IntRange(1, 2).Draw(t, "closers") {
				w.succeed(n, time.Duration(rapid.IntRange(0, 6_000).Draw(t, "after"))*time.Millisecond)
			}
		}
		w.run(time.Duration(rapid.SampledFrom([]int{10, 100, 400, 2_300, 2_600, 3_500}).Draw(t, "wait")) * time.Millisecond)
	}
	w.run(12 * time.Second)
	for _, n := range w.live() {
		n.cutOff, n.late = false, 0
		n.spendAll()
	}
	if spent := w.spent(shop); spent > paid {
		t.Fatalf("%d spent of %d paid", spent, paid)
	}
}

// TestSucceededNeverOverspent checks that lines in the table return nothing that was spent, however
// late the writes of a dead process take effect and whatever its clock did.
func TestSucceededNeverOverspent(t *testing.T) {
	rapid.Check(t, checkSucceeded)
}

// TestFreeNotEarly guards against a node that goes beyond its mark while the next process can still
// prove it: it dies as it does so, at each moment around that time, with a steady clock as fast as
// is allowed, and its successor has its first answer at once. The row in force is the one that it
// sent last, and it had no answer.
func TestFreeNotEarly(t *testing.T) {
	beyond, proven := 0, 0
	for _, drift := range []float64{0, 1 / float64(clockDrift)} {
		for cut := flatTime * 8 / 10; cut < flatTime*12/10; cut += 10 * time.Millisecond {
			w := newClockedWorld(1, 2, 1_000_000)
			n := w.nodes[0]
			n.drift = drift
			w.run(2 * time.Second)
			w.loseDone = true
			for ; !n.book.TableAway(); w.run(10 * time.Millisecond) {
				n.request(shop, 1_000)
			}
			n.cutOff, w.loseDone = true, false
			w.cut[[2]int{0, 1}] = true
			w.run(cut)
			n.reserveAll(100)
			n.dead = true
			e := n.book.entry(shop)
			spent, granted := e.net(), e.row.Granted
			if spent > e.newestMark {
				beyond++
			}
			c := NewCloser(n.book.self, nil, WithCloserShards(2), WithEnded(), WithLinesInTable(w.bornNow()))
			w.machines = append(w.machines, &testMachine{stepper: c})
			w.run(time.Second)
			if c.Returned > 0 {
				proven++
			}
			if !c.Done() || c.Returned > granted-spent {
				t.Errorf("%s after the cut, drift %.2f: done %v, %d returned of %d with %d spent", cut, drift, c.Done(), c.Returned, granted, spent)
			}
		}
	}
	if beyond == 0 || proven == 0 {
		t.Errorf("%d went beyond their marks, %d were proven: want some of both", beyond, proven)
	}
}

// TestWrongClock guards against tokens that are returned though they are spent if the table's clock
// is wrong, though it should be steady: it jumps, stands still or goes back while a node is cut off
// that goes beyond its mark and dies then.
func TestWrongClock(t *testing.T) {
	const cut = 4 * time.Second
	for name, back := range map[string]time.Duration{"jumps": -time.Minute, "right": 0, "goes far back": time.Minute} {
		checkWrongClock(t, name, cut, back)
	}
}

// TestClockBack is like TestWrongClock if the clock goes back, or stands still, by about as long as
// the node was cut off.
func TestClockBack(t *testing.T) {
	const cut = 4 * time.Second
	for name, back := range map[string]time.Duration{"stands still": cut, "goes back": cut - time.Second} {
		checkWrongClock(t, name, cut, back)
	}
}

func checkWrongClock(t *testing.T, name string, cut, back time.Duration) {
	t.Helper()
	w := newClockedWorld(1, 2, 1_000_000)
	w.run(2 * time.Second)
	n := w.nodes[0]
	n.cutOff = true
	w.cut[[2]int{0, 1}] = true
	w.run(cut)
	w.clockBack = back
	n.reserveAll(100)
	n.dead = true
	e := n.book.entry(shop)
	spent, granted := e.net(), e.row.Granted
	c := w.close(n, false)
	w.run(time.Second)
	if !c.Done() || c.Returned > granted-spent {
		t.Errorf("%s: done %v, %d returned of %d with %d spent", name, c.Done(), c.Returned, granted, spent)
	}
}
