package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// fakeTable is an in-memory table that can be down.
type fakeTable struct {
	rows        map[string]waxwingwall.Row
	lastVersion int64
	down        bool
}

func (b *fakeTable) transact(writes []waxwingwall.Write) effect.Result {
	for _, w := range writes {
		if w.Expect != waxwingwall.AnyVersion && b.rows[w.Key].Version != w.Expect {
			return effect.Conflict
		}
	}
	for _, w := range writes {
		switch {
		case w.CheckOnly:
		case w.Delete:
			delete(b.rows, w.Key)
		default:
			b.lastVersion++
			b.rows[w.Key] = waxwingwall.Row{
				Key:     w.Key,
				Version: b.lastVersion,
				Value:   w.Value,
			}
		}
	}
	return effect.Done
}

func (b *fakeTable) list(prefix string) []waxwingwall.Row {
	var keys []string
	for k := range b.rows {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return b.read(keys)
}

func (b *fakeTable) read(keys []string) []waxwingwall.Row {
	var rows []waxwingwall.Row
	for _, k := range keys {
		r := b.rows[k]
		r.Key = k
		rows = append(rows, r)
	}
	return rows
}

// delivery is a scheduled delivery of an event.
type delivery struct {
	at    time.Time
	order int
	step  func(now time.Time)
}

// simulation simulates watchers and operators that share a table and a lossy
// network.
type simulation struct {
	t            fataler
	rng          *rand.Rand
	now          time.Time
	table        fakeTable
	watchers     []*Watcher
	active       []int64
	changes      []*Change
	prunes       []*Prune
	deliveries   []delivery
	order        int
	lossy        bool
	tableReads   int
	sentMessages int
	sentBytes    int
	partitioned  map[int]bool
}

func newSimulation(t fataler, seed uint64, n int) *simulation {
	w := &simulation{
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		now:         time.Unix(1000, 0),
		table:       fakeTable{rows: make(map[string]waxwingwall.Row)},
		partitioned: make(map[int]bool),
		lossy:       true,
	}
	w.watchers = make([]*Watcher, n)
	w.active = make([]int64, n)
	for i := range n {
		w.boot(i)
	}
	return w
}

func incarnation(i int) waxwingwall.Incarnation {
	return waxwingwall.Incarnation{
		VM:   waxwingwall.VM(fmt.Sprintf("vm-%d", i)),
		Boot: 1,
	}
}

func (w *simulation) boot(i int) {
	w.watchers[i] = NewWatcher(Production, WithSeed(uint64(i)))
	w.active[i] = 0
	var peers []waxwingwall.Incarnation
	for j := range w.watchers {
		if j != i {
			peers = append(peers, incarnation(j))
		}
	}
	w.watchers[i].SetPeers(peers)
}

func (w *simulation) chance(percent int) bool {
	return w.lossy && w.rng.IntN(100) < percent
}

func (w *simulation) schedule(step func(now time.Time)) {
	delay := 2 * time.Millisecond
	if w.lossy {
		delay = time.Duration(1+w.rng.IntN(800)) * time.Millisecond
	}
	w.order++
	w.deliveries = append(w.deliveries, delivery{
		at:    w.now.Add(delay),
		order: w.order,
		step:  step,
	})
}

// performOnTable performs an action on the table and returns its answer, which
// may be lost.
func (w *simulation) performOnTable(a effect.Action) effect.Event {
	lost := w.table.down || w.chance(10)
	switch a := a.(type) {
	case effect.Read:
		w.tableReads += len(a.Keys)
		if lost {
			return effect.Rows{
				ID:     a.ID,
				Result: effect.Lost,
			}
		}
		return effect.Rows{
			ID:   a.ID,
			Rows: w.table.read(a.Keys),
		}
	case effect.List:
		if lost {
			return effect.Rows{
				ID:     a.ID,
				Result: effect.Lost,
			}
		}
		return effect.Rows{
			ID:   a.ID,
			Rows: w.table.list(a.Prefix),
		}
	case effect.Transact:
		result := effect.Lost
		if !w.table.down && !(lost && w.chance(50)) {
			result = w.table.transact(a.Writes)
		}
		if lost {
			result = effect.Lost
		}
		return effect.Transacted{
			ID:     a.ID,
			Result: result,
		}
	}
	return nil
}

func (w *simulation) perform(i int, actions []effect.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Changed:
			if a.Document.Version <= w.active[i] || a.Head.Version != a.Document.Version {
				w.t.Fatalf("watcher %d went from version %d to %d", i, w.active[i], a.Document.Version)
			}
			w.active[i] = a.Document.Version
		case effect.Send:
			w.send(i, a)
		default:
			if answer := w.performOnTable(a); answer != nil && !w.partitioned[i] {
				watcher := w.watchers[i]
				w.schedule(func(now time.Time) {
					if w.watchers[i] == watcher {
						w.perform(i, watcher.Step(now, answer))
					}
				})
			}
		}
	}
}

func (w *simulation) send(from int, a effect.Send) {
	var to int
	fmt.Sscanf(string(a.To.VM), "vm-%d", &to)
	w.sentMessages++
	w.sentBytes += len(encodeJSON(a.Message))
	if w.chance(20) || w.partitioned[from] || w.partitioned[to] {
		return
	}
	for range 1 + w.rng.IntN(10)/9 {
		w.schedule(func(now time.Time) {
			w.perform(to, w.watchers[to].Step(now, effect.Received{
				From:    incarnation(from),
				Message: a.Message,
			}))
		})
	}
}

// stepper is implemented by Change and Prune.
type stepper interface {
	Step(now time.Time, ev effect.Event) []effect.Action
}

func (w *simulation) performStepper(p stepper, actions []effect.Action) {
	for _, a := range actions {
		answer := w.performOnTable(a)
		w.schedule(func(now time.Time) { w.performStepper(p, p.Step(now, answer)) })
	}
}

// run advances the simulated time.
func (w *simulation) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		sort.Slice(w.deliveries, func(i, j int) bool {
			a, b := w.deliveries[i], w.deliveries[j]
			return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
		})
		var due []delivery
		for len(w.deliveries) > 0 && !w.deliveries[0].at.After(w.now) {
			due = append(due, w.deliveries[0])
			w.deliveries = w.deliveries[1:]
		}
		for _, d := range due {
			d.step(w.now)
		}
		for i := range w.watchers {
			w.perform(i, w.watchers[i].Step(w.now, effect.Tick{}))
		}
		for _, c := range w.changes {
			w.performStepper(c, c.Step(w.now, effect.Tick{}))
		}
		for _, p := range w.prunes {
			w.performStepper(p, p.Step(w.now, effect.Tick{}))
		}
	}
}

func (w *simulation) submitChange(base int64) {
	n := len(w.changes)
	w.changes = append(w.changes, NewChange(Request{
		Environment: Production,
		Base:        base,
		Text:        fmt.Appendf(nil, "# change %d\n%s", n%5, sample),
		Author:      fmt.Sprintf("operator-%d", n),
		Time:        w.now,
		ID:          fmt.Sprintf("change-%d", n),
	}))
}

// currentHead returns the Head in the table.
func (w *simulation) currentHead() Head {
	r, ok := w.table.rows[CurrentKey(Production)]
	if !ok {
		return Head{}
	}
	h, err := ParseHead(r.Value)
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	return h
}

// checkChanges compares the results of changes with the history.
func (w *simulation) checkChanges() {
	made := make(map[string]int64)
	for v := int64(1); v <= w.currentHead().Version; v++ {
		h, err := ParseHead(w.table.rows[HistoryKey(Production, v)].Value)
		if err != nil {
			w.t.Fatalf("%v", err)
		}
		if made[h.Change] != 0 {
			w.t.Fatalf("%s was accepted twice", h.Change)
		}
		made[h.Change] = v
	}
	for n, c := range w.changes {
		head, err := c.Result()
		version := made[fmt.Sprintf("change-%d", n)]
		var conflict *ConflictError
		switch {
		case !c.Done():
		case err == nil && head.Version != version:
			w.t.Fatalf("change %d returned version %d, the history has %d", n, head.Version, version)
		case errors.As(err, &conflict) && version != 0:
			w.t.Fatalf("change %d returned a conflict, the history has version %d", n, version)
		case errors.As(err, &conflict) && !strings.HasPrefix(conflict.Winner.Author, "operator-"):
			w.t.Fatalf("change %d: the conflict names no winner: %v", n, err)
		}
	}
}

// TestConvergenceUnderFaults runs watchers and concurrent changes and prunes
// through table outages, lost answers, network partitions and restarts. Active
// versions never decrease, the results of changes match the history, and after
// the faults end every router has the newest version.
func TestConvergenceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "watchers"))
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.watchers)-1).Draw(t, "which")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				w.submitChange(Newest)
				w.submitChange(w.currentHead().Version)
			case 2:
				w.table.down = !w.table.down
			case 3:
				w.partitioned[i] = !w.partitioned[i]
			case 4:
				w.boot(i)
			case 5, 6, 7:
				w.prunes = append(w.prunes, NewPrune(Production, rapid.Int64Range(0, 2).Draw(t, "keep")))
				w.submitChange(Newest)
			}
			w.run(time.Duration(rapid.IntRange(50, 1500).Draw(t, "run")) * time.Millisecond)
		}
		w.checkChanges()
		w.lossy = false
		w.table.down = false
		w.partitioned = make(map[int]bool)
		w.run(5 * time.Second)
		w.checkChanges()
		w.checkParts()
		for i := range w.watchers {
			if w.active[i] != w.currentHead().Version {
				t.Fatalf("watcher %d has version %d, accepted is %d: %+v", i, w.active[i], w.currentHead().Version, w.watchers[i].Dump())
			}
		}
	})
}

// TestBootDuringTableOutage boots a router while the table is down: it fetches
// the highest version that its peers have.
func TestBootDuringTableOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 4)
		w.lossy = false
		w.submitChange(Newest)
		w.run(3 * time.Second)
		w.partitioned[1] = true
		w.submitChange(1)
		w.run(3 * time.Second)
		w.table.down = true
		w.partitioned[1] = false
		w.boot(3)
		w.lossy = rapid.Bool().Draw(t, "lossy")
		w.run(15 * time.Second)
		for i := range w.watchers {
			if w.active[i] != 2 {
				t.Fatalf("watcher %d has version %d", i, w.active[i])
			}
		}
	})
}

// TestPromote checks that a promotion copies exactly the tried version.
func TestPromote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, 1, 1)
		w.lossy = false
		run := func(r Request) (Head, error) {
			c := NewChange(r)
			w.changes = []*Change{c}
			w.run(time.Second)
			return c.Result()
		}
		for v := range 2 {
			r := Request{
				Environment: Trial,
				Base:        int64(v),
				Text:        fmt.Appendf(nil, "# %d\n%s", v, sample),
				ID:          fmt.Sprint("try", v),
			}
			if _, err := run(r); err != nil {
				t.Fatal(err)
			}
		}
		promotion := Request{
			Environment: Production,
			From:        Trial,
			Tried:       1,
			Author:      "a",
			ID:          "promotion",
		}
		head, err := run(promotion)
		if err != nil || head.Version != 1 || head.Tried != 1 {
			t.Fatalf("got %+v, %v", head, err)
		}
		tried := w.table.rows[DocKey(Trial, 1)].Value
		if w.table.rows[DocKey(Production, 1)].Value != tried {
			t.Fatal("the promoted manifest differs from the tried one")
		}
		promotion.ID = "late"
		var conflict *ConflictError
		if _, err := run(promotion); !errors.As(err, &conflict) || conflict.Winner.Author != "a" {
			t.Fatalf("got %v", err)
		}
		promotion.Base = Newest
		if _, err := run(promotion); !errors.Is(err, ErrUnchanged) {
			t.Fatalf("got %v", err)
		}
		promotion.Tried = 9
		if _, err := run(promotion); !errors.Is(err, ErrNotTried) {
			t.Fatalf("got %v", err)
		}
	})
}

// TestSmallChangeReplacesFewParts checks that after a change of one account of
// many, a router fetches little besides the manifest.
func TestSmallChangeReplacesFewParts(t *testing.T) {
	large := func(weight int) string {
		var b strings.Builder
		b.WriteString("[rank r]\nlevel = 0\n")
		for i := range 5000 {
			own := 1
			if i == 2500 {
				own = weight
			}
			fmt.Fprintf(&b, "[account a%d]\nkey_hashes =\nrank = r\nbudget = b%d\nweight = %d\n[budget b%d]\naccount = a%d\n", i, i, own, i, i)
		}
		return b.String()
	}
	before, old := splitText(large(1))
	after, changed := splitText(large(2))
	if strings.Join(cutParts(large(1)), "") != large(1) {
		t.Fatal("the joined parts differ from the text")
	}
	newBytes := 0
	for digest, text := range changed {
		if _, ok := old[digest]; !ok {
			newBytes += len(text)
		}
	}
	if len(before.Parts) != len(after.Parts) || newBytes == 0 || newBytes > len(large(1))/4 {
		t.Fatalf("%d and %d parts, %d new bytes of %d", len(before.Parts), len(after.Parts), newBytes, len(large(1)))
	}
}
