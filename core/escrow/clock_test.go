package escrow

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// newClockedWorld is like newEvenWorld with a table that tells its clock.
func newClockedWorld(seed uint64, nodes int, paid waxwingwall.Tokens) *world {
	w := newEvenWorld(seed, nodes, paid)
	w.clock = true
	return w
}

// reserveAll makes requests of a size until one is not granted.
func (n *testNode) reserveAll(size waxwingwall.Tokens) {
	kind := Granted
	for kind == Granted {
		kind = n.request(shop, size)
	}
}

// checkClocked checks that what is spent never exceeds what was paid if nodes go beyond their
// marks, cut off from the table or from peers, frozen, or die at any time and are closed soon
// after or late, and all that is left is spent after each closing. With restores, the table comes
// back from copies as well; then no writes or messages are lost, as only they show what it forgot.
func checkClocked(t *rapid.T, restores bool) {
	paid := waxwingwall.Tokens(rapid.IntRange(20_000, 200_000).Draw(t, "paid"))
	w := newClockedWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "nodes"), paid)
	w.delay = time.Duration(rapid.IntRange(2, 60).Draw(t, "delay")) * time.Millisecond
	w.loseAnswer = rapid.IntRange(0, 20).Draw(t, "lost answers")
	kinds := 9
	if restores {
		kinds = 11
	} else {
		w.loseWrite = rapid.IntRange(0, 40).Draw(t, "lost writes")
		w.loseMessage = rapid.IntRange(0, 30).Draw(t, "lost messages")
	}
	w.run(500 * time.Millisecond)
	copied := maps.Clone(w.rows)
	for range rapid.IntRange(1, 30).Draw(t, "steps") {
		n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
		switch rapid.IntRange(0, kinds).Draw(t, "step") {
		case 0, 1, 2:
			for range rapid.IntRange(1, 12).Draw(t, "requests") {
				n.request(shop, paid/waxwingwall.Tokens(rapid.IntRange(10, 800).Draw(t, "part")))
				w.run(10 * time.Millisecond)
			}
		case 3:
			for len(n.running) > 0 && !n.dead && !n.paused {
				n.finish(0, waxwingwall.Tokens(rapid.Int64Range(0, int64(n.running[0].tokens)).Draw(t, "used")))
			}
		case 4:
			n.cutOff = !n.cutOff
		case 5:
			switch {
			case restores:
			case n.paused:
				n.resume()
			default:
				n.paused = true
			}
		case 6:
			// Whatever it may let go in the moment before its death.
			if !n.dead && !n.paused {
				for size := paid; size > 0; size /= 2 {
					n.reserveAll(size)
				}
			}
			n.dead = true
			w.updatePeers()
		case 7, 8:
			if n.dead || !restores && rapid.Bool().Draw(t, "live") {
				w.close(n, false)
			}
		case 9:
			w.tableDown = !w.tableDown
		case 10:
			copied = maps.Clone(w.rows)
		case 11:
			w.restore(copied)
		}
		for range rapid.SampledFrom([]int{1, 10, 40, 200, 350}).Draw(t, "wait") {
			w.run(10 * time.Millisecond)
			w.resume()
		}
	}
	w.tableDown = false
	for range 400 {
		w.run(10 * time.Millisecond)
		w.resume()
	}
	for _, n := range w.live() {
		n.cutOff = false
		if !n.paused {
			n.spendAll()
		}
	}
	if spent := w.spent(shop); spent > paid {
		t.Fatalf("%d spent of %d paid", spent, paid)
	}
}

// TestClockedNeverOverspent checks that closing by lines in the table returns nothing that was
// spent.
func TestClockedNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkClocked(t, false) })
}

// TestClockedNeverOverspentAfterRestore checks the same if the table comes back from copies.
func TestClockedNeverOverspentAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkClocked(t, true) })
}

// dieBeyond returns a world in which a node that is cut off has gone beyond its mark, as its row
// was written so long ago, and died, and what it has left.
func dieBeyond(t *testing.T, cut time.Duration) (*world, *testNode) {
	t.Helper()
	w := newClockedWorld(1, 2, 1_000_000)
	w.run(2 * time.Second)
	n := w.nodes[0]
	n.cutOff = true
	w.cut[[2]int{0, 1}] = true
	w.run(cut)
	n.reserveAll(100)
	n.dead = true
	return w, n
}

// TestFreeAfterCut checks that a node that is cut off from all others spends its mark at once, and
// after flatTime what its line allows, and is then closed with no more than that spent.
func TestFreeAfterCut(t *testing.T) {
	for _, cut := range []time.Duration{flatTime / 2, flatTime + time.Second, flatTime + 6*time.Second, time.Minute} {
		w, n := dieBeyond(t, cut)
		e := n.book.entry(shop)
		if late := cut > flatTime; e.net() <= e.newestMark == late || e.net() == 0 {
			t.Errorf("%s after the cut %d are spent, the mark is %d", cut, e.net(), e.newestMark)
		}
		spent, granted := e.net(), e.row.Granted
		line := e.stored[0].line
		c := w.close(n, false)
		w.run(2 * time.Second)
		// The closer's clock allows for a node whose clock is as fast as it may be.
		most := min(line.at(cut), granted)
		least := min(line.at(cut+cut/(clockDrift-1)+clockInterval), granted)
		if !c.Done() || c.Returned > granted-spent || c.Returned > granted-most+100 || c.Returned < granted-least {
			t.Errorf("%s after the cut: done %v, %d returned, want %d to %d; %d of %d are spent", cut, c.Done(), c.Returned, granted-least, granted-most, spent, granted)
		}
	}
}

// TestRowAge guards against a process that is taken to have ended sooner after it sent a row than
// it may have: whichever of the store's clock and the time of day is wrong, and with a steady clock
// of its own that is as fast as it may be.
func TestRowAge(t *testing.T) {
	stamp := RowClock{Era: 1, Ms: 10_000, Day: 50_000}
	for _, c := range []struct {
		name     string
		endedBy  RowClock
		want     time.Duration
		unproven string
	}{
		{"by the store's clock", RowClock{Era: 1, Ms: 11_899, Day: 51_900}, 2_000 * time.Millisecond, ""},
		{"later by the time of day", RowClock{Era: 1, Ms: 11_000, Day: 53_800}, 4_000 * time.Millisecond, ""},
		{"the time of day went back", RowClock{Era: 1, Ms: 13_799, Day: 20_000}, 4_000 * time.Millisecond, ""},
		{"late", RowClock{Era: 1, Ms: 47_999, Day: 50_100}, 40_000 * time.Millisecond, ""},
		{"another era", RowClock{Era: 2, Ms: 11_000, Day: 52_500}, 0, unprovenEra},
		{"an earlier era", RowClock{Ms: 11_000, Day: 52_500}, 0, unprovenEra},
		{"the clock went back", RowClock{Era: 1, Ms: 9_000, Day: 52_500}, 0, unprovenClock},
		{"the clock stands still", RowClock{Era: 1, Ms: 10_000, Day: 52_500}, 0, unprovenClock},
		{"no clock", RowClock{}, 0, unprovenEnd},
		{"no time of day", RowClock{Era: 1, Ms: 11_000}, 0, unprovenTimeOfDay},
	} {
		passed, unproven := stamp.until(c.endedBy)
		if unproven != c.unproven || passed < c.want || unproven == "" && passed > c.want+time.Millisecond {
			t.Errorf("%s: %s %q", c.name, passed, unproven)
		}
	}
	if _, unproven := (RowClock{}).until(RowClock{Ms: 1}); unproven != unprovenNoLine {
		t.Errorf("a row without a clock: %q", unproven)
	}
}

// TestLine checks the bound of a line, and that it is reached when reaches says so.
func TestLine(t *testing.T) {
	l := Line{Mark: 1_000, Rate: 300}
	for _, c := range []struct {
		passed time.Duration
		want   waxwingwall.Tokens
	}{
		{-time.Second, 1_000},
		{flatTime, 1_000},
		{flatTime + 3*time.Millisecond, 1_000},
		{flatTime + 4*time.Millisecond, 1_001},
		{flatTime + time.Second, 1_300},
		{flatTime + 2*maxLineTime, 1_000 + 3600*300},
	} {
		if got := l.at(c.passed); got != c.want {
			t.Errorf("after %s: %d, want %d", c.passed, got, c.want)
		}
	}
	for _, tokens := range []waxwingwall.Tokens{-5, 1_000, 1_001, 1_299, 1_300, 50_000} {
		after, ok := l.reaches(tokens)
		if !ok || l.at(after) < tokens || after > 0 && l.at(after-time.Millisecond) >= tokens {
			t.Errorf("%d are reached after %s, %v", tokens, after, ok)
		}
	}
	if _, ok := l.reaches(2_000_000); ok {
		t.Error("what the line never allows is reached")
	}
	if _, ok := (&Line{Mark: 1}).reaches(2); ok {
		t.Error("a line that does not rise reaches more than its mark")
	}
	highest := Line{Mark: maxTokens, Rate: maxLineRate}
	if !highest.valid() || highest.at(2*maxLineTime) < maxTokens {
		t.Errorf("the highest line: %d", highest.at(2*maxLineTime))
	}
}

// TestTableClock guards against times that the table's clock has not reached: with answers that
// overtake each other, and a clock that goes back.
func TestTableClock(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var c tableClock
	for _, step := range []struct {
		at          time.Duration
		answer      RowClock
		want        int64
		unavailable bool
	}{
		{0, RowClock{}, 0, true},
		{0, RowClock{Ms: 10_000}, 10_000, false},
		{time.Second, RowClock{}, 10_950, false},
		{time.Second, RowClock{Ms: 10_500}, 10_950, false},
		{time.Second, RowClock{Ms: 11_000}, 11_000, false},
		{2 * time.Second, RowClock{Ms: 500}, 0, true},
		{3 * time.Second, RowClock{Ms: 14_000}, 0, true},
		{4 * time.Second, RowClock{Era: 1, Ms: 700}, 700, false},
		{5 * time.Second, RowClock{Ms: 30_000}, 1_650, false},
	} {
		now := start.Add(step.at)
		c.observe(now, step.answer)
		if got, ok := c.read(now); ok == step.unavailable || ok && got.Ms != step.want {
			t.Errorf("after %s, answer %+v: %+v, %v", step.at, step.answer, got, ok)
		}
	}
	for _, answer := range []waxwingwall.StoreClock{{Now: -time.Second}, {Era: -1, Now: time.Second}, {Era: 1}} {
		if clock := ClockOf(answer); clock.Known() {
			t.Errorf("answer %+v: %+v", answer, clock)
		}
	}
}

// TestOldBuildsClocked checks that a build without lines takes a row with one for spent: its marks
// hold no longer than they say. The marks of such a build are taken as it does, and a row without
// either is spent.
func TestOldBuildsClocked(t *testing.T) {
	for _, c := range []struct {
		name    string
		marked  bool
		absence time.Duration
		returns bool
	}{
		{"with a mark, soon", true, time.Second, true},
		{"with a mark, late", true, 3 * time.Second, false},
		{"without", false, time.Second, false},
	} {
		w := newClockedWorld(1, 2, 100_000)
		w.run(2 * time.Second)
		n := w.nodes[0]
		stored := w.rows[n.book.shards[n.book.entry(shop).shard].key]
		row, err := Decode[ShareRow](stored)
		if err != nil {
			t.Fatal(err)
		}
		entry, _ := row.Find(shop)
		if entry.Line == nil || entry.Marked || entry.Kept || entry.Allowance != entry.Granted {
			t.Fatalf("row %+v: want one that a build without lines takes for spent", row)
		}
		own := &row.Entries[0]
		own.Marked = c.marked
		if c.marked {
			own.Mark, own.Used = own.Line.Mark, own.Line.Used
		} else {
			row.Clock = RowClock{}
		}
		own.Line = nil
		stored.Value = Encode(row)
		w.rows[stored.Key] = stored
		n.dead = true
		w.run(c.absence)
		closer := w.close(n, false)
		w.run(time.Second)
		want := waxwingwall.Tokens(0)
		if c.returns {
			want = entry.Granted - entry.Line.Mark
		}
		if !closer.Done() || closer.Returned != want {
			t.Fatalf("%s: done %v, %d returned, want %d", c.name, closer.Done(), closer.Returned, want)
		}
	}
}

// TestKeepersOfLateMark guards against a share of an older build that is not closed by its keepers'
// marks, as the mark in the table is there but too old.
func TestKeepersOfLateMark(t *testing.T) {
	for _, c := range []struct {
		name  string
		entry ShareEntry
		after time.Duration
		want  bool
	}{
		{"in time", ShareEntry{Kept: true, Marked: true}, time.Second, false},
		{"late", ShareEntry{Kept: true, Marked: true}, 4 * time.Second, true},
		{"without keepers", ShareEntry{Marked: true}, 4 * time.Second, false},
		{"with a line", ShareEntry{Kept: true, Line: &Line{}}, 4 * time.Second, false},
		{"with neither", ShareEntry{Kept: true}, time.Second, true},
	} {
		row := RowClock{Ms: 10_000, Day: 50_000}
		ended := RowClock{Ms: 10_000 + c.after.Milliseconds(), Day: 50_000 + c.after.Milliseconds()}
		closer := NewCloser(waxwingwall.Incarnation{VM: "a", Boot: 1}, nil, WithEnded(), WithLinesInTable(ended))
		closer.readAt = ended
		closer.content = ShareRow{
			Clock:   row,
			Answers: 1,
		}
		if got := closer.needsSeal([]ShareEntry{c.entry}); got != c.want {
			t.Errorf("%s: asks keepers %v", c.name, got)
		}
	}
}

// TestMarksWithoutAnswer guards against tokens that are spent beyond the mark of a row that may be
// in force: one that a write without an answer should have replaced, and one that it has.
func TestMarksWithoutAnswer(t *testing.T) {
	for _, applied := range []bool{false, true} {
		w := newClockedWorld(1, 2, 1_000_000)
		w.run(2 * time.Second)
		n := w.nodes[0]
		e := n.book.entry(shop)
		if applied {
			// The mark covers a reservation that is not used, and is lowered.
			if n.serve(shop, 50_000) != Granted {
				t.Fatal("refused")
			}
			w.run(clockInterval)
			n.finish(0, 0)
			w.loseDone = true
			for range 100 {
				if n.book.TableAway() {
					break
				}
				w.run(10 * time.Millisecond)
			}
			n.cutOff = true
		} else {
			n.cutOff = true
			n.request(shop, 50_000)
			w.run(100 * time.Millisecond)
		}
		if len(e.stored) != 2 {
			t.Fatalf("applied %v: %d marks may be in force, want that without an answer and the one before it", applied, len(e.stored))
		}
		n.reserveAll(100)
		n.dead = true
		n.cutOff = false
		w.loseDone = false
		spent, granted := e.net(), e.row.Granted
		c := w.close(n, false)
		w.run(time.Second)
		if !c.Done() || c.Returned > granted-spent || c.Returned == 0 {
			t.Errorf("applied %v: done %v, %d returned of %d with %d spent", applied, c.Done(), c.Returned, granted, spent)
		}
	}
}

// TestRowOfCopy guards against tokens that are returned by the mark of a row that a newer one had
// replaced, as the table comes back from a copy while a Closer works.
func TestRowOfCopy(t *testing.T) {
	dead := waxwingwall.Incarnation{VM: "a", Boot: 1}
	for _, era := range []int64{0, 1} {
		c := NewCloser(dead, nil, WithCloserShards(1), WithEnded(), WithLinesInTable(RowClock{}))
		now := time.Unix(1_800_000_000, 0)
		row := waxwingwall.Row{
			Key:     ShareKey(dead, 0),
			Version: 1,
			Value: Encode(ShareRow{
				Clock:   RowClock{Ms: 10_000}.seenAt(now),
				Entries: []ShareEntry{{Budget: shop, Granted: 1_000, Allowance: 1_000, Line: &Line{Mark: 100}}},
			}),
		}
		budget := waxwingwall.Row{
			Key:     BudgetKey(shop),
			Version: 1,
			Value:   Encode(BudgetRow{Total: 2_000, Granted: 1_000}),
		}
		clock := waxwingwall.StoreClock{Now: 11 * time.Second}
		answer := func(actions []effect.Action, era int64, rows ...waxwingwall.Row) []effect.Action {
			clock.Era = era
			var id effect.ID
			switch a := actions[0].(type) {
			case effect.List:
				id = a.ID
			case effect.Read:
				id = a.ID
			}
			return c.Step(now, effect.Rows{ID: id, Rows: rows, Clock: clock})
		}
		out := c.Step(now, effect.Tick{})
		out = answer(out, 0, row)
		out = answer(out, era, row)
		out = answer(out, era, budget)
		tx, ok := out[0].(effect.Transact)
		if !ok || len(tx.Writes) != 2 {
			t.Fatalf("era %d: %+v", era, out)
		}
		next, err := Decode[BudgetRow](waxwingwall.Row{Version: 1, Value: tx.Writes[1].Value})
		if err != nil {
			t.Fatal(err)
		}
		if want := waxwingwall.Tokens(900 * (1 - era)); next.Returned != want {
			t.Errorf("era %d of the row's answer: %d returned, want %d", era, next.Returned, want)
		}
	}
}
