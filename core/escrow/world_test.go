package escrow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// world simulates a table, a network and nodes in virtual time.
type world struct {
	// messages counts the messages between nodes.
	messages int

	// writes counts the transactions that the table has applied.
	writes int

	now      time.Time
	random   *rand.Rand
	rows     map[string]waxwingwall.Row
	nodes    []*testNode
	machines []*testMachine  // Closers and TopUps
	queue    []scheduledCall // in order of time

	// sealLive lets Closers take live nodes for ended ones. What keepers have bounds these as well
	// unless the table forgets their closing.
	sealLive bool

	// Fault probabilities in percent.
	loseAnswer, loseWrite, loseMessage, duplicateMessage int
	delay                                                time.Duration
	tableDown, loseDone                                  bool

	// noMarks makes the nodes builds without marks for each other.
	noMarks bool

	// clock is set if the answers of the table tell its clock, which has gone back by clockBack.
	clock     bool
	clockBack time.Duration

	// tableHangs leaves calls to the table without an answer.
	tableHangs bool
	cut        map[[2]int]bool

	// era counts the copies that the table came back from; restorers work since the
	// last one, nil before all live nodes have written their shares anew.
	era       int64
	restorers []*Restorer
}

// scheduledCall is a function to be run at a later time.
type scheduledCall struct {
	at  time.Time
	run func()
}

// testNode is a Book with the requests that it serves.
type testNode struct {
	w        *world
	index    int
	book     *Book
	paused   bool
	dead     bool
	sealed   bool
	fenced   bool
	inbox    []effect.Event
	running  []reservation
	spent    map[waxwingwall.Budget]waxwingwall.Tokens
	resolved map[waxwingwall.Budget]int
	sends    map[string]int

	// cutOff is set while the node's calls to the table fail. callDelay is added
	// to each of its calls before it reaches the table, and to its answer.
	cutOff    bool
	notices   Notices
	keeper    Keeper
	callDelay time.Duration

	// late is how late the node's writes are applied, without an answer; zero if they are not
	// late. Its steady clock was stopped for so long, and is faster than the table's by drift.
	late, stopped time.Duration
	drift         float64
}

// now returns the node's steady clock.
func (n *testNode) now() time.Time {
	passed := n.w.now.Sub(time.Unix(1_800_000_000, 0))
	return n.w.now.Add(time.Duration(n.drift*float64(passed)) - n.stopped)
}

// closedBy is the node on which Closers run. It keeps no marks.
var closedBy = &testNode{index: -1}

// reservation is a dispatched request.
type reservation struct {
	budget waxwingwall.Budget
	tokens waxwingwall.Tokens
}

// stepper is a Closer or a TopUp.
type stepper interface {
	Step(now time.Time, ev effect.Event) []effect.Action
}

// testMachine is a stepper that the world drives.
type testMachine struct {
	stepper
	stopped bool
}

func newWorld(seed uint64, nodes int, opts ...Option) *world {
	w := &world{
		now:    time.Unix(1_800_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
		rows:   map[string]waxwingwall.Row{},
		delay:  2 * time.Millisecond,
		cut:    map[[2]int]bool{},
	}
	var peers []waxwingwall.Incarnation
	for i := range nodes {
		n := w.addNode(i, opts...)
		peers = append(peers, n.book.self)
	}
	for _, n := range w.nodes {
		n.book.SetPeers(peers)
	}
	return w
}

func (w *world) addNode(i int, opts ...Option) *testNode {
	return w.addIncarnation(waxwingwall.Incarnation{
		VM:   waxwingwall.VM(fmt.Sprintf("vm%02d", i)),
		Boot: 1,
	}, opts...)
}

func (w *world) addIncarnation(self waxwingwall.Incarnation, opts ...Option) *testNode {
	i := len(w.nodes)
	n := &testNode{
		w:        w,
		index:    i,
		book:     New(self, append([]Option{WithSeed(uint64(i)), WithShards(2)}, opts...)...),
		spent:    map[waxwingwall.Budget]waxwingwall.Tokens{},
		resolved: map[waxwingwall.Budget]int{},
	}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) chance(percent int) bool {
	return percent > 0 && w.random.IntN(100) < percent
}

// schedule runs a function after a random delay.
func (w *world) schedule(run func()) {
	delay := w.delay/2 + time.Duration(w.random.Int64N(int64(w.delay)))
	w.scheduleAt(w.now.Add(delay), run)
}

// scheduleAt runs a function at a time.
func (w *world) scheduleAt(at time.Time, run func()) {
	index := sort.Search(len(w.queue), func(i int) bool {
		return w.queue[i].at.After(at)
	})
	w.queue = slices.Insert(w.queue, index, scheduledCall{
		at:  at,
		run: run,
	})
}

// run advances the time; everything is ticked every 10 ms.
func (w *world) run(span time.Duration) {
	end := w.now.Add(span)
	for w.now.Before(end) {
		w.now = w.now.Add(10 * time.Millisecond)
		w.deliver()
		for _, n := range w.nodes {
			n.event(effect.Tick{})
		}
		for _, s := range w.machines {
			w.stepMachine(s, effect.Tick{})
		}
	}
}

// deliver runs the scheduled calls that are due.
func (w *world) deliver() {
	for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
		d := w.queue[0]
		w.queue = w.queue[1:]
		d.run()
	}
}

// stepMachine steps a Closer or TopUp.
func (w *world) stepMachine(s *testMachine, ev effect.Event) {
	if s.stopped {
		return
	}
	for _, a := range s.Step(w.now, ev) {
		if send, ok := a.(effect.Send); ok {
			w.send(closedBy, send)
			continue
		}
		w.call(a, func(ev effect.Event) {
			w.stepMachine(s, ev)
		})
	}
}

// call performs a table action and answers it.
func (w *world) call(a effect.Action, answer func(effect.Event)) {
	if w.tableHangs {
		return
	}
	switch a := a.(type) {
	case effect.Transact:
		w.callTransact(a, answer)
	case effect.Read:
		w.callRead(a.ID, answer, func() []waxwingwall.Row {
			var rows []waxwingwall.Row
			for _, key := range a.Keys {
				row := w.rows[key]
				row.Key = key
				rows = append(rows, row)
			}
			return rows
		})
	case effect.List:
		w.callRead(a.ID, answer, func() []waxwingwall.Row {
			var rows []waxwingwall.Row
			for key, row := range w.rows {
				if strings.HasPrefix(key, a.Prefix) {
					rows = append(rows, row)
				}
			}
			sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
			return rows
		})
	}
}

func (w *world) callRead(id effect.ID, answer func(effect.Event), rows func() []waxwingwall.Row) {
	down := w.tableDown
	w.schedule(func() {
		found := rows()
		clock := w.clockNow()
		lost := down || w.tableDown || w.chance(w.loseAnswer)
		w.schedule(func() {
			if lost {
				answer(effect.Rows{ID: id, Result: effect.Lost})
				return
			}
			answer(effect.Rows{ID: id, Rows: found, Clock: clock})
		})
	})
}

func (w *world) callTransact(a effect.Transact, answer func(effect.Event)) {
	lost := effect.Transacted{
		ID:     a.ID,
		Result: effect.Lost,
	}
	switch {
	case w.tableDown || w.chance(w.loseWrite/2):
		w.schedule(func() { answer(lost) })
	case w.chance(w.loseWrite / 2):
		// The write is applied long after its answer was reported lost.
		w.schedule(func() { answer(lost) })
		w.schedule(func() { w.schedule(func() { w.schedule(func() { w.transact(a) }) }) })
	default:
		w.schedule(func() {
			result := w.transact(a)
			if w.loseDone || w.chance(w.loseAnswer) {
				result = lost
			}
			w.schedule(func() { answer(result) })
		})
	}
}

// transact applies a transaction.
func (w *world) transact(a effect.Transact) effect.Transacted {
	for _, wr := range a.Writes {
		if wr.Expect != waxwingwall.AnyVersion && w.rows[wr.Key].Version != wr.Expect {
			return effect.Transacted{
				ID:     a.ID,
				Result: effect.Conflict,
			}
		}
	}
	done := effect.Transacted{
		ID:    a.ID,
		Clock: w.clockNow(),
	}
	w.writes++
	for _, wr := range a.Writes {
		row := waxwingwall.Row{
			Key:     wr.Key,
			Version: w.era<<40 | (w.rows[wr.Key].Version&(1<<40-1) + 1),
			Value:   wr.Value,
		}
		w.rows[wr.Key] = row
		done.Versions = append(done.Versions, row.Version)
	}
	return done
}

// clockNow returns the table's clock, if its answers tell it.
func (w *world) clockNow() waxwingwall.StoreClock {
	if !w.clock {
		return waxwingwall.StoreClock{}
	}
	return waxwingwall.StoreClock{
		Era: w.era,
		Now: w.now.Sub(time.Unix(1_799_999_000, 0)) - w.clockBack,
	}
}

// restore returns the table to a copy of its rows, whose versions are given out again.
func (w *world) restore(rows map[string]waxwingwall.Row) {
	w.era++
	w.restorers = nil
	w.rows = map[string]waxwingwall.Row{}
	for key, row := range rows {
		row.Version = w.era<<40 | row.Version&(1<<40-1)
		w.rows[key] = row
	}
	for _, n := range w.nodes {
		n.event(effect.Restored{
			MinVersion: w.era << 40,
		})
	}
}

// resume lets the nodes draw again once all have written their shares anew, and those of
// the dead ones.
func (w *world) resume() {
	for _, n := range w.nodes {
		if !n.dead && (n.paused || n.book.Restoring()) {
			return
		}
	}
	if w.restorers == nil {
		w.restorers = []*Restorer{}
		for _, n := range w.nodes {
			for _, dead := range n.notices.Nodes() {
				if n.dead || !w.isDead(dead) {
					continue
				}
				r := NewRestorer(dead, &n.notices, n.book.jitter)
				w.restorers = append(w.restorers, r)
				w.machines = append(w.machines, &testMachine{stepper: r})
			}
		}
	}
	for _, r := range w.restorers {
		if !r.Done() {
			return
		}
	}
	for _, n := range w.nodes {
		n.book.Resume()
	}
}

// isDead reports whether an incarnation is that of a dead node.
func (w *world) isDead(i waxwingwall.Incarnation) bool {
	return slices.ContainsFunc(w.nodes, func(n *testNode) bool { return n.dead && n.book.self == i })
}

// event delivers an event to a node, or queues it while the node is paused.
func (n *testNode) event(ev effect.Event) {
	if n.dead {
		return
	}
	if n.paused {
		if _, tick := ev.(effect.Tick); !tick {
			n.inbox = append(n.inbox, ev)
		}
		return
	}
	if received, ok := ev.(effect.Received); ok {
		if m, ok := received.Message.(GrantNotice); ok && len(m.Changes) > 0 {
			n.notices.Learn(n.w.now, received.From, m)
		}
		actions, refused := n.keeper.Receive(n.w.now, received)
		if refused > 0 {
			panic("a keeper refused marks")
		}
		for _, a := range actions {
			n.perform(a)
		}
	}
	for _, a := range n.book.Step(n.now(), ev) {
		n.perform(a)
	}
}

func (n *testNode) resume() {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, ev := range inbox {
		n.event(ev)
	}
}

func (n *testNode) perform(a effect.Action) {
	switch a := a.(type) {
	case Resolved:
		n.resolved[a.Budget]++
	case Fenced:
		n.fenced = true
	case effect.Send:
		n.send(a)
	default:
		n.call(a)
	}
}

// call performs a table action of the node.
func (n *testNode) call(a effect.Action) {
	w := n.w
	if n.cutOff {
		w.schedule(func() { n.event(lostAnswer(a)) })
		return
	}
	if tx, ok := a.(effect.Transact); ok && n.late > 0 {
		w.scheduleAt(w.now.Add(n.late), func() { w.transact(tx) })
		w.schedule(func() { n.event(lostAnswer(a)) })
		return
	}
	w.scheduleAt(w.now.Add(n.callDelay), func() {
		w.call(a, func(ev effect.Event) {
			w.scheduleAt(w.now.Add(n.callDelay), func() { n.event(ev) })
		})
	})
}

// lostAnswer returns the answer to a table action that failed.
func lostAnswer(a effect.Action) effect.Event {
	switch a := a.(type) {
	case effect.Transact:
		return effect.Transacted{
			ID:     a.ID,
			Result: effect.Lost,
		}
	case effect.Read:
		return effect.Rows{
			ID:     a.ID,
			Result: effect.Lost,
		}
	}
	return effect.Tick{}
}

func (n *testNode) send(a effect.Send) {
	n.w.send(n, a)
}

// send sends a message to a node or to the Closers.
func (w *world) send(from *testNode, a effect.Send) {
	w.messages++
	if w.noMarks {
		message, known := dropMarks(a.Message)
		if !known {
			return
		}
		a.Message = message
	}
	ev := effect.Received{
		Message: a.Message,
	}
	if from != closedBy {
		ev.From = from.book.self
	}
	deliver := func() {
		for _, s := range w.machines {
			w.stepMachine(s, ev)
		}
	}
	for _, to := range w.nodes {
		if to.book.self == a.To {
			if w.cut[[2]int{from.index, to.index}] || w.cut[[2]int{to.index, from.index}] {
				return
			}
			deliver = func() { to.event(ev) }
		}
	}
	if !w.chance(w.loseMessage) {
		w.schedule(deliver)
	}
	if w.chance(w.duplicateMessage) {
		w.schedule(func() { w.schedule(deliver) })
	}
}

// request reserves tokens and, if they are granted, dispatches the request. A
// sealed node can't dispatch.
func (n *testNode) request(budget waxwingwall.Budget, worst waxwingwall.Tokens) Kind {
	if n.dead || n.paused {
		return OutOfReach
	}
	v := n.book.Reserve(n.now(), budget, worst)
	if v.Kind != Granted {
		return v.Kind
	}
	if n.sealed {
		n.book.Settle(n.now(), budget, worst, 0)
		return OutOfReach
	}
	n.spent[budget] += worst
	n.running = append(n.running, reservation{
		budget: budget,
		tokens: worst,
	})
	return Granted
}

// finish ends the running request i with the tokens that it used.
func (n *testNode) finish(i int, used waxwingwall.Tokens) {
	r := n.running[i]
	n.running = append(n.running[:i], n.running[i+1:]...)
	n.spent[r.budget] -= r.tokens - used
	n.book.Settle(n.now(), r.budget, r.tokens, used)
}

// serve repeats the request until it gets a final verdict.
func (n *testNode) serve(budget waxwingwall.Budget, worst waxwingwall.Tokens) Kind {
	for {
		kind := n.request(budget, worst)
		if kind != Waiting {
			return kind
		}
		before := n.resolved[budget]
		for range 1000 {
			n.w.run(10 * time.Millisecond)
			if n.resolved[budget] > before {
				break
			}
		}
		if n.resolved[budget] == before {
			panic("no Resolved followed a Waiting verdict")
		}
	}
}

// waiter is one of several concurrent requests.
type waiter struct {
	node   *testNode
	worst  waxwingwall.Tokens
	kind   Kind
	before int
}

// serveAll repeats the requests until all have a final verdict.
func (w *world) serveAll(waiters []*waiter, verdict func(*waiter)) {
	for _, r := range waiters {
		r.kind = Waiting
		r.before = r.node.resolved[shop] - 1
	}
	for range 2000 {
		open := 0
		for _, r := range waiters {
			if r.kind != Waiting {
				continue
			}
			open++
			if r.node.resolved[shop] == r.before {
				continue
			}
			r.before = r.node.resolved[shop]
			r.kind = r.node.request(shop, r.worst)
			if r.kind != Waiting {
				verdict(r)
			}
		}
		if open == 0 {
			return
		}
		w.run(10 * time.Millisecond)
	}
	panic("requests are still waiting after the last step")
}

// settled returns what all nodes used of a budget, without running requests.
func (w *world) settled(budget waxwingwall.Budget) waxwingwall.Tokens {
	sum := w.spent(budget)
	for _, n := range w.nodes {
		for _, r := range n.running {
			if r.budget == budget {
				sum -= r.tokens
			}
		}
	}
	return sum
}

// close starts a Closer for a node.
func (w *world) close(n *testNode, exact bool) *Closer {
	var spent []Spent
	opts := []CloserOption{WithCloserShards(len(n.book.shards)), WithCloserSeed(uint64(len(w.machines)))}
	if exact {
		n.sealed = true
		opts = append(opts, WithCompleteLog())
		for budget, tokens := range n.spent {
			spent = append(spent, Spent{
				Budget: budget,
				Tokens: tokens,
			})
		}
	}
	if n.dead || w.sealLive {
		opts = append(opts, WithEnded())
	}
	if n.dead {
		opts = append(opts, WithLinesInTable(RowClock{}))
	}
	c := NewCloser(n.book.self, spent, opts...)
	w.machines = append(w.machines, &testMachine{stepper: c})
	return c
}

// topUp starts a top-up.
func (w *world) topUp(budget waxwingwall.Budget, id string, tokens waxwingwall.Tokens) *TopUp {
	t := NewTopUp(budget, id, tokens)
	w.machines = append(w.machines, &testMachine{stepper: t})
	return t
}

// budget returns the budget's row.
func (w *world) budget(budget waxwingwall.Budget) BudgetRow {
	row, err := Decode[BudgetRow](w.rows[BudgetKey(budget)])
	if err != nil {
		panic(err)
	}
	return row
}

// spent returns what all nodes used and have reserved of a budget.
func (w *world) spent(budget waxwingwall.Budget) waxwingwall.Tokens {
	var sum waxwingwall.Tokens
	for _, n := range w.nodes {
		sum += n.spent[budget]
	}
	return sum
}

// deliverNext advances the time to the next scheduled call and runs it.
func (w *world) deliverNext() {
	d := w.queue[0]
	w.queue = w.queue[1:]
	w.now = d.at
	d.run()
}
