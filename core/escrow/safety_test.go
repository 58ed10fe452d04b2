package escrow

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
)

// chaos drives a world by random steps and checks the invariants after each.
type chaos struct {
	*world
	t          *rapid.T
	closeNodes bool
	closed     []*testNode
	lastPaid   map[waxwingwall.Budget]waxwingwall.Tokens
	toppedUpAt map[waxwingwall.Budget]time.Time
	budgets    []waxwingwall.Budget
	paid       map[waxwingwall.Budget][]waxwingwall.Tokens
}

func (c *chaos) node() *testNode {
	return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "node")]
}

func (c *chaos) budget() waxwingwall.Budget {
	return rapid.SampledFrom(c.budgets).Draw(c.t, "budget")
}

func (c *chaos) percent(name string, most int) int {
	return rapid.IntRange(0, most).Draw(c.t, name)
}

func (c *chaos) step() {
	most := 13
	if c.closeNodes {
		most = 16
	}
	switch rapid.IntRange(0, most).Draw(c.t, "step") {
	default:
		c.makeRequests(c.node())
	case 3, 4, 5:
		c.finishAll(c.node())
	case 6:
		n := c.node()
		if n.paused {
			n.resume()
		} else {
			n.paused = true
		}
	case 7:
		a, b := c.node().index, c.node().index
		c.cut[[2]int{a, b}] = !c.cut[[2]int{a, b}]
	case 8:
		c.tableDown = !c.tableDown
	case 9:
		budget := c.budget()
		id := rapid.IntRange(0, 2).Draw(c.t, "id")
		c.topUp(budget, fmt.Sprint(id), c.paid[budget][id])
	case 10:
		c.reserveAll(c.node(), c.budget())
	case 11, 12:
		c.makeSmallRequests(c.node(), c.budget())
	case 13:
		c.now = c.now.Add(idleTimeout)
	case 14, 15:
		c.closeNode()
	case 16:
		c.node().book.Drain(c.now)
	}
}

func (c *chaos) makeRequests(n *testNode) {
	for range rapid.IntRange(1, 4).Draw(c.t, "requests") {
		budget := c.budget()
		worst := waxwingwall.Tokens(rapid.IntRange(1, 300).Draw(c.t, "worst"))
		c.tryRequest(n, budget, worst)
	}
}

// tryRequest makes a request. If no nodes are closed, a budget that can still pay
// must not be refused as exhausted; a top-up may take a wait and verdictTTL to
// be seen.
func (c *chaos) tryRequest(n *testNode, budget waxwingwall.Budget, worst waxwingwall.Tokens) Kind {
	kind := n.request(budget, worst)
	left := c.updatePaid(budget) - c.settled(budget)
	if kind == Exhausted && !c.closeNodes && worst <= left && c.now.Sub(c.toppedUpAt[budget]) > verdictTTL+waitTimeout {
		c.t.Fatalf("budget %s: worst case %d exhausted with %d left", budget, worst, left)
	}
	return kind
}

func (c *chaos) finishAll(n *testNode) {
	for len(n.running) > 0 && !n.dead && !n.paused {
		n.finish(0, waxwingwall.Tokens(rapid.Int64Range(0, int64(n.running[0].tokens)).Draw(c.t, "used")))
	}
}

// reserveAll reserves all tokens that a node considers free.
func (c *chaos) reserveAll(n *testNode, budget waxwingwall.Budget) {
	for size := waxwingwall.Tokens(512); size > 0; size /= 2 {
		kind := Granted
		for kind == Granted {
			kind = c.tryRequest(n, budget, size)
		}
	}
}

// makeSmallRequests serves many requests that use almost nothing, after which a
// node needs little.
func (c *chaos) makeSmallRequests(n *testNode, budget waxwingwall.Budget) {
	for range 80 {
		if n.request(budget, 2) == Granted {
			n.finish(len(n.running)-1, 0)
		}
	}
	if rapid.Bool().Draw(c.t, "grab") {
		c.run(time.Duration(rapid.IntRange(1, 5).Draw(c.t, "wait")) * 10 * time.Millisecond)
		c.reserveAll(n, budget)
	}
}

// closeNode closes a node by one or two Closers, whether it is dead or not.
func (c *chaos) closeNode() {
	n := c.node()
	c.closed = append(c.closed, n)
	n.dead = n.dead || rapid.Bool().Draw(c.t, "dead")
	for range rapid.IntRange(1, 2).Draw(c.t, "closers") {
		c.close(n, rapid.Bool().Draw(c.t, "exact"))
		if rapid.Bool().Draw(c.t, "stopped") {
			stopped := c.machines[len(c.machines)-1]
			c.schedule(func() { c.schedule(func() { stopped.stopped = true }) })
		}
	}
}

// updatePaid returns what was paid into a budget so far, and records when that
// changed.
func (c *chaos) updatePaid(budget waxwingwall.Budget) waxwingwall.Tokens {
	var paid waxwingwall.Tokens
	for id, tokens := range c.paid[budget] {
		if c.rows[TopUpKey(budget, fmt.Sprint(id))].Version > 0 {
			paid += tokens
		}
	}
	if paid != c.lastPaid[budget] {
		c.lastPaid[budget] = paid
		c.toppedUpAt[budget] = c.now
	}
	return paid
}

// check compares the spent tokens with what was paid and with the share rows.
func (c *chaos) check() {
	for _, budget := range c.budgets {
		paid := c.updatePaid(budget)
		row := c.world.budget(budget)
		if spent := c.spent(budget); spent > paid {
			c.t.Fatalf("budget %s: %d spent of %d paid", budget, spent, paid)
		}
		if row.Total != paid {
			c.t.Fatalf("budget %s: total %d of %d paid", budget, row.Total, paid)
		}
		if row.Pool() < 0 || row.Returned > row.Granted {
			c.t.Fatalf("budget %s: invalid row %+v", budget, row)
		}
		if spent, held := c.spent(budget), row.Granted-row.Returned; spent > held {
			c.t.Fatalf("budget %s: %d spent of %d held", budget, spent, held)
		}
		for _, n := range c.nodes {
			c.checkShare(n, budget)
		}
	}
}

// checkShare compares what a node committed with its share row.
func (c *chaos) checkShare(n *testNode, budget waxwingwall.Budget) {
	e, ok := n.book.entries[budget]
	if !ok {
		return
	}
	key := ShareKey(n.book.self, e.shard)
	content, err := Decode[ShareRow](c.rows[key])
	if err != nil {
		c.t.Fatal(err)
	}
	row, ok := content.Find(budget)
	if !ok {
		return
	}
	if e.net() > row.Allowance || e.sent > row.Sendable || e.received < row.Received() {
		c.t.Fatalf("%s: net %d, sent %d, received %d exceed the row %+v", key, e.net(), e.sent, e.received, row)
	}
	if row.Allowance > row.Granted {
		c.t.Fatalf("%s: invalid row %+v", key, row)
	}
}

// checkClosed checks that the share rows of closed nodes are closed once all
// Closers are done, and empty unless the node closed them itself.
func (c *chaos) checkClosed() {
	for _, n := range c.closed {
		c.close(n, false)
	}
	c.run(20 * time.Second)
	for _, n := range c.closed {
		for i := range n.book.shards {
			content, err := Decode[ShareRow](c.rows[ShareKey(n.book.self, i)])
			if err != nil {
				c.t.Fatal(err)
			}
			if !content.Closed || content.ClosedBy != n.book.self && len(content.Entries) > 0 {
				c.t.Fatalf("%s is not closed: %+v", ShareKey(n.book.self, i), content)
			}
		}
	}
}

// heal ends all faults and gives every waiting request time to resolve.
func (c *chaos) heal() {
	c.loseAnswer, c.loseWrite, c.loseMessage, c.duplicateMessage = 0, 0, 0, 0
	c.tableDown = false
	c.cut = map[[2]int]bool{}
	for _, n := range c.nodes {
		n.resume()
	}
	c.run(20 * time.Second)
}

func newChaos(t *rapid.T) *chaos {
	c := &chaos{
		world:      newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "nodes")),
		t:          t,
		budgets:    []waxwingwall.Budget{"one", "two"},
		paid:       map[waxwingwall.Budget][]waxwingwall.Tokens{},
		lastPaid:   map[waxwingwall.Budget]waxwingwall.Tokens{},
		toppedUpAt: map[waxwingwall.Budget]time.Time{},
	}
	c.delay = time.Duration(rapid.IntRange(1, 100).Draw(t, "delay")) * time.Millisecond
	c.loseAnswer = c.percent("lost answers", 30)
	c.loseWrite = c.percent("lost writes", 30)
	c.loseMessage = c.percent("lost messages", 30)
	c.duplicateMessage = c.percent("repeated messages", 30)
	for _, budget := range c.budgets {
		for range 3 {
			c.paid[budget] = append(c.paid[budget], waxwingwall.Tokens(rapid.IntRange(1, 800).Draw(t, "paid")))
		}
		c.topUp(budget, "0", c.paid[budget][0])
	}
	c.run(50 * time.Millisecond)
	return c
}

// TestNeverOverspent checks that spent and reserved tokens never exceed what
// was paid, with lost, duplicated or delayed messages, partitions, pauses, and
// nodes that die or are closed, and that every Waiting is followed by a
// Resolved.
func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t)
		c.closeNodes = true
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.step()
			c.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "wait")) * 10 * time.Millisecond)
			c.check()
		}
		c.heal()
		c.checkClosed()
		c.check()
		for _, n := range c.nodes {
			for _, balance := range n.book.Dump().Budgets {
				if balance.Waiting > 0 && !n.dead {
					t.Fatalf("%s is still waiting: %+v", n.book.self, balance)
				}
			}
		}
	})
}

// TestDrainReturnsAll checks that, after faults without deaths, draining all
// nodes returns everything unused to the pool.
func TestDrainReturnsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.step()
			c.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "wait")) * 10 * time.Millisecond)
			c.check()
		}
		for _, n := range c.nodes {
			n.resume()
			n.book.Drain(c.now)
			for len(n.running) > 0 {
				n.finish(0, 0)
			}
		}
		c.heal()
		c.check()
		for _, n := range c.nodes {
			if !n.book.Drained() {
				t.Fatalf("%s is not drained: %+v", n.book.self, n.book.Dump())
			}
		}
		for _, budget := range c.budgets {
			row := c.world.budget(budget)
			if spent := c.spent(budget); row.Pool() != row.Total-spent {
				t.Fatalf("budget %s: %d spent, row %+v", budget, spent, row)
			}
		}
	})
}
