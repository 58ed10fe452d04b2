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
	s := &simulation{
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		now:         time.Unix(1000, 0),
		table:       fakeTable{rows: make(map[string]waxwingwall.Row)},
		partitioned: make(map[int]bool),
		lossy:       true,
	}
	s.watchers = make([]*Watcher, n)
	s.active = make([]int64, n)
	for i := range n {
		s.boot(i)
	}
	return s
}

func incarnation(i int) waxwingwall.Incarnation {
	return waxwingwall.Incarnation{
		VM:   waxwingwall.VM(fmt.Sprintf("vm-%d", i)),
		Boot: 1,
	}
}

func (s *simulation) boot(i int) {
	s.watchers[i] = NewWatcher(Production, WithSeed(uint64(i)))
	s.active[i] = 0
	var peers []waxwingwall.Incarnation
	for j := range s.watchers {
		if j != i {
			peers = append(peers, incarnation(j))
		}
	}
	s.watchers[i].SetPeers(peers)
}

func (s *simulation) chance(percent int) bool {
	return s.lossy && s.rng.IntN(100) < percent
}

func (s *simulation) schedule(step func(now time.Time)) {
	delay := 2 * time.Millisecond
	if s.lossy {
		delay = time.Duration(1+s.rng.IntN(800)) * time.Millisecond
	}
	s.order++
	s.deliveries = append(s.deliveries, delivery{
		at:    s.now.Add(delay),
		order: s.order,
		step:  step,
	})
}

// performOnTable performs an action on the table and returns its answer, which
// may be lost.
func (s *simulation) performOnTable(a effect.Action) effect.Event {
	lost := s.table.down || s.chance(10)
	switch a := a.(type) {
	case effect.Read:
		s.tableReads += len(a.Keys)
		if lost {
			return effect.Rows{
				ID:     a.ID,
				Result: effect.Lost,
			}
		}
		return effect.Rows{
			ID:   a.ID,
			Rows: s.table.read(a.Keys),
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
			Rows: s.table.list(a.Prefix),
		}
	case effect.Transact:
		result := effect.Lost
		if !s.table.down && !(lost && s.chance(50)) {
			result = s.table.transact(a.Writes)
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

func (s *simulation) perform(i int, actions []effect.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Changed:
			if a.Document.Version <= s.active[i] || a.Head.Version != a.Document.Version {
				s.t.Fatalf("watcher %d went from version %d to %d", i, s.active[i], a.Document.Version)
			}
			s.active[i] = a.Document.Version
		case effect.Send:
			s.send(i, a)
		default:
			if answer := s.performOnTable(a); answer != nil && !s.partitioned[i] {
				watcher := s.watchers[i]
				s.schedule(func(now time.Time) {
					if s.watchers[i] == watcher {
						s.perform(i, watcher.Step(now, answer))
					}
				})
			}
		}
	}
}

func (s *simulation) send(from int, a effect.Send) {
	var to int
	fmt.Sscanf(string(a.To.VM), "vm-%d", &to)
	s.sentMessages++
	s.sentBytes += len(encodeJSON(a.Message))
	if s.chance(20) || s.partitioned[from] || s.partitioned[to] {
		return
	}
	for range 1 + s.rng.IntN(10)/9 {
		s.schedule(func(now time.Time) {
			s.perform(to, s.watchers[to].Step(now, effect.Received{
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

func (s *simulation) performStepper(p stepper, actions []effect.Action) {
	for _, a := range actions {
		answer := s.performOnTable(a)
		s.schedule(func(now time.Time) { s.performStepper(p, p.Step(now, answer)) })
	}
}

// run advances the simulated time.
func (s *simulation) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		sort.Slice(s.deliveries, func(i, j int) bool {
			a, b := s.deliveries[i], s.deliveries[j]
			return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
		})
		var due []delivery
		for len(s.deliveries) > 0 && !s.deliveries[0].at.After(s.now) {
			due = append(due, s.deliveries[0])
			s.deliveries = s.deliveries[1:]
		}
		for _, d := range due {
			d.step(s.now)
		}
		for i := range s.watchers {
			s.perform(i, s.watchers[i].Step(s.now, effect.Tick{}))
		}
		for _, c := range s.changes {
			s.performStepper(c, c.Step(s.now, effect.Tick{}))
		}
		for _, p := range s.prunes {
			s.performStepper(p, p.Step(s.now, effect.Tick{}))
		}
	}
}

func (s *simulation) submitChange(base int64) {
	n := len(s.changes)
	s.changes = append(s.changes, NewChange(Request{
		Environment: Production,
		Base:        base,
		Text:        fmt.Appendf(nil, "# change %d\n%s", n%5, sample),
		Author:      fmt.Sprintf("operator-%d", n),
		Time:        s.now,
		ID:          fmt.Sprintf("change-%d", n),
	}))
}

// currentHead returns the Head in the table.
func (s *simulation) currentHead() Head {
	r, ok := s.table.rows[CurrentKey(Production)]
	if !ok {
		return Head{}
	}
	h, err := ParseHead(r.Value)
	if err != nil {
		s.t.Fatalf("%v", err)
	}
	return h
}

// checkChanges compares the results of changes with the history.
func (s *simulation) checkChanges() {
	made := make(map[string]int64)
	for v := int64(1); v <= s.currentHead().Version; v++ {
		h, err := ParseHead(s.table.rows[HistoryKey(Production, v)].Value)
		if err != nil {
			s.t.Fatalf("%v", err)
		}
		if made[h.Change] != 0 {
			s.t.Fatalf("%s was accepted twice", h.Change)
		}
		made[h.Change] = v
	}
	for n, c := range s.changes {
		head, err := c.Result()
		version := made[fmt.Sprintf("change-%d", n)]
		var conflict *ConflictError
		switch {
		case !c.Done():
		case err == nil && head.Version != version:
			s.t.Fatalf("change %d returned version %d, the history has %d", n, head.Version, version)
		case errors.As(err, &conflict) && version != 0:
			s.t.Fatalf("change %d returned a conflict, the history has version %d", n, version)
		case errors.As(err, &conflict) && !strings.HasPrefix(conflict.Winner.Author, "operator-"):
			s.t.Fatalf("change %d: the conflict names no winner: %v", n, err)
		}
	}
}

// TestConvergenceUnderFaults runs watchers and concurrent changes and prunes
// through table outages, lost answers, network partitions and restarts. Active
// versions never decrease, the results of changes match the history, and after
// the faults end every router has the newest version.
func TestConvergenceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "watchers"))
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			i := rapid.IntRange(0, len(s.watchers)-1).Draw(t, "which")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				s.submitChange(Newest)
				s.submitChange(s.currentHead().Version)
			case 2:
				s.table.down = !s.table.down
			case 3:
				s.partitioned[i] = !s.partitioned[i]
			case 4:
				s.boot(i)
			case 5, 6, 7:
				s.prunes = append(s.prunes, NewPrune(Production, rapid.Int64Range(0, 2).Draw(t, "keep")))
				s.submitChange(Newest)
			}
			s.run(time.Duration(rapid.IntRange(50, 1500).Draw(t, "run")) * time.Millisecond)
		}
		s.checkChanges()
		s.lossy = false
		s.table.down = false
		s.partitioned = make(map[int]bool)
		s.run(5 * time.Second)
		s.checkChanges()
		s.checkParts()
		for i := range s.watchers {
			if s.active[i] != s.currentHead().Version {
				t.Fatalf("watcher %d has version %d, accepted is %d: %+v", i, s.active[i], s.currentHead().Version, s.watchers[i].Dump())
			}
		}
	})
}

// TestBootDuringTableOutage boots a router while the table is down: it fetches
// the highest version that its peers have.
func TestBootDuringTableOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 4)
		s.lossy = false
		s.submitChange(Newest)
		s.run(3 * time.Second)
		s.partitioned[1] = true
		s.submitChange(1)
		s.run(3 * time.Second)
		s.table.down = true
		s.partitioned[1] = false
		s.boot(3)
		s.lossy = rapid.Bool().Draw(t, "lossy")
		s.run(15 * time.Second)
		for i := range s.watchers {
			if s.active[i] != 2 {
				t.Fatalf("watcher %d has version %d", i, s.active[i])
			}
		}
	})
}

// TestPromote checks that a promotion copies exactly the tried version.
func TestPromote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1, 1)
		s.lossy = false
		run := func(r Request) (Head, error) {
			c := NewChange(r)
			s.changes = []*Change{c}
			s.run(time.Second)
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
		tried := s.table.rows[DocKey(Trial, 1)].Value
		if s.table.rows[DocKey(Production, 1)].Value != tried {
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
