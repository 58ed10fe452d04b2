package escrow

import (
	"slices"
	"testing"
	"time"

	"waxwingwall"
)

// TestLossWithDeaths guards against budgets that are lost with the nodes that die: what is
// neither used nor recoverable is at most 1 in 100 of the payment for each death, and 3 in
// 100 after half of the nodes died twice and all of them in the end.
func TestLossWithDeaths(t *testing.T) {
	for _, clock := range []bool{false, true} {
		checkLoss(t, clock, 90, 75, 20)
	}
}

// TestLossOfAllInMidday is like TestLossWithDeaths if all nodes die earlier, as in the script
// of review/2. Only a table that tells its clock, as the platform's does, shows what they had let
// go: without it nobody that survives knows.
func TestLossOfAllInMidday(t *testing.T) {
	checkLoss(t, true, 95, 85, 43)
}

// checkLoss checks what is lost if half of the nodes die with so many percent of the payment
// left, half of them again, and all of them, with a table that tells its clock or not.
func checkLoss(t *testing.T, clock bool, first, second, all waxwingwall.Tokens) {
	t.Helper()
	const (
		paid           = 10_000_000
		perSecond      = 400_000
		perDeath       = paid / 100
		allowedPercent = 3
	)
	for _, fleet := range []struct {
		nodes int
		seeds uint64
	}{
		{8, 4},
		{72, 1},
		{295, 1},
	} {
		for seed := range fleet.seeds {
			w := newEvenWorld(seed, fleet.nodes, paid)
			w.clock = clock
			w.run(2 * time.Second)
			var before waxwingwall.Tokens
			for _, percent := range []waxwingwall.Tokens{first, second, all} {
				left := paid * percent / 100
				w.spendAt(w.live(), paid-before, max(left-before, paid/20), perSecond)
				deaths := fleet.nodes / 2
				if percent == all {
					deaths = fleet.nodes
				}
				held := w.heldByLive()
				w.killAndRestart(deaths)
				lost := paid - w.spent(shop) - w.budget(shop).Pool() - w.heldByLive()
				t.Logf("%d nodes, seed %d: %d die, %d held of %d left: %d lost", fleet.nodes, seed, deaths, held, paid-before-w.spent(shop), lost-before)
				if lost-before > waxwingwall.Tokens(deaths)*perDeath {
					t.Errorf("%d nodes, seed %d: %d lost with %d nodes", fleet.nodes, seed, lost-before, deaths)
				}
				if lost < 0 {
					t.Errorf("%d nodes, seed %d: %d returned that were spent", fleet.nodes, seed, -lost)
				}
				before = lost
			}
			if before > paid*allowedPercent/100 {
				t.Errorf("%d nodes, seed %d: %d lost of %d", fleet.nodes, seed, before, paid)
			}
		}
	}
}

// TestLossByAbsence guards against all that is held being lost with nodes that are away for longer
// than marks are flat, as after a reboot: an absence costs the leads and what an account may use in
// that time, whether all nodes lose power in calm or in a cut, once or twice.
func TestLossByAbsence(t *testing.T) {
	const (
		paid        = 10_000_000
		perSecond   = paid / 200
		leadPercent = 1
	)
	for _, fleet := range []struct{ nodes, busy int }{{8, 8}, {72, 6}, {295, 12}} {
		for _, absence := range []time.Duration{2 * time.Second, 3500 * time.Millisecond, 5 * time.Second, 7 * time.Second, 10 * time.Second, 30 * time.Second} {
			for _, cut := range []time.Duration{0, 4 * time.Second} {
				w := newEvenWorld(1, fleet.nodes, paid)
				w.clock = true
				l := &cutLoad{
					w:    w,
					busy: fleet.busy,
				}
				var before waxwingwall.Tokens
				for round := range 2 {
					l.run(8*time.Second, perSecond)
					if cut > 0 {
						w.cutAll(true)
						l.run(cut, perSecond)
					}
					l.waiting = nil
					held := w.heldByLive()
					w.cutAll(false)
					w.killForAWhile(fleet.nodes, absence)
					// The load goes to the first nodes.
					w.nodes = append(w.live(), w.deadNodes()...)
					lost := paid - w.spent(shop) - w.budget(shop).Pool() - w.heldByLive()
					away := cut + absence + clockInterval
					rising := max(away+away/(clockDrift-1)-flatTime, 0)
					allowed := paid*leadPercent/100 + waxwingwall.Tokens(rising.Seconds()*float64(lineHeadroom*perSecond+held/waxwingwall.Tokens(lineTime/time.Second)))
					t.Logf("%d nodes, cut %s, absence %s, round %d: %d held, %d lost, %d allowed", fleet.nodes, cut, absence, round, held, lost-before, allowed)
					if lost-before > allowed {
						t.Errorf("%d nodes, cut %s, absence %s, round %d: %d lost of %d held, %d are allowed", fleet.nodes, cut, absence, round, lost-before, held, allowed)
					}
					if lost < 0 {
						t.Errorf("%d nodes, cut %s, absence %s: %d returned that were spent", fleet.nodes, cut, absence, -lost)
					}
					before = lost
				}
			}
		}
	}
}

// deadNodes returns the nodes that are dead.
func (w *world) deadNodes() []*testNode {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *testNode) bool { return !n.dead })
}

// heldByLive returns what the live nodes hold unused by their share rows.
func (w *world) heldByLive() waxwingwall.Tokens {
	var sum waxwingwall.Tokens
	for _, n := range w.live() {
		row, err := Decode[ShareRow](w.rows[n.book.shards[n.book.entry(shop).shard].key])
		if err != nil {
			panic(err)
		}
		entry, _ := row.Find(shop)
		sum += entry.Granted - n.book.entry(shop).net()
	}
	return sum
}

// live returns the nodes that are not dead.
func (w *world) live() []*testNode {
	var live []*testNode
	for _, n := range w.nodes {
		if !n.dead {
			live = append(live, n)
		}
	}
	return live
}

// killAndRestart kills random nodes. New incarnations of them start 2 s later, and then the
// shares of the dead ones are closed.
func (w *world) killAndRestart(deaths int) {
	w.killForAWhile(deaths, 2*time.Second)
}

// killForAWhile is like killAndRestart with new incarnations that start after an absence.
func (w *world) killForAWhile(deaths int, absence time.Duration) {
	killed := w.live()
	w.random.Shuffle(len(killed), func(i, j int) { killed[i], killed[j] = killed[j], killed[i] })
	killed = killed[:deaths]
	for _, n := range killed {
		n.dead = true
	}
	w.updatePeers()
	w.run(absence)
	for _, n := range killed {
		self := n.book.self
		self.Boot++
		w.addIncarnation(self, WithEvenShares()).book.SetFunding(shop, n.book.FundingOf(shop))
	}
	w.updatePeers()
	for _, n := range killed {
		w.close(n, false)
	}
	w.run(6 * time.Second)
	w.machines = nil
	w.updateOpenNodes()
}

// updatePeers sets the peers of every node to those that are not dead.
func (w *world) updatePeers() {
	var peers []waxwingwall.Incarnation
	for _, n := range w.live() {
		peers = append(peers, n.book.self)
	}
	for _, n := range w.live() {
		n.book.SetPeers(peers)
	}
}

// TestUnclosedSharesAreNotExhausted guards against requests that are refused for good, as exhausted,
// though the shares of dead nodes are yet to be closed and could pay: after all nodes have died, when
// the pool alone is too small.
func TestUnclosedSharesAreNotExhausted(t *testing.T) {
	const paid = 1_000_000
	for _, nodes := range []int{4, 24} {
		w := newEvenWorld(1, nodes, paid)
		w.clock = true
		w.run(2 * time.Second)
		w.spendAt(w.nodes[:4], paid, paid*6/10, paid/20)
		killed := w.live()
		for _, n := range killed {
			n.dead = true
		}
		w.updatePeers()
		w.run(time.Second)
		var fresh []*testNode
		for _, n := range killed {
			self := n.book.self
			self.Boot++
			f := w.addIncarnation(self, WithEvenShares())
			f.book.SetFunding(shop, n.book.FundingOf(shop))
			fresh = append(fresh, f)
		}
		w.updatePeers()
		worst := w.budget(shop).Pool() + 10_000
		for _, n := range fresh[:2] {
			if kind := n.serve(shop, worst); kind != OutOfReach {
				t.Errorf("%d nodes: verdict %s with shares that are not closed", nodes, kind)
			}
			if v := n.book.Reserve(w.now, shop, worst); v.Reason != ReasonHoldersSilent || len(n.book.SilentHolders(shop)) == 0 {
				t.Errorf("%d nodes: verdict %+v, silent are %v", nodes, v, n.book.SilentHolders(shop))
			}
		}
		for _, n := range killed {
			w.close(n, false)
		}
		w.run(3 * time.Second)
		if kind := fresh[0].serve(shop, worst); kind != Granted {
			t.Errorf("%d nodes: verdict %s once the shares are closed", nodes, kind)
		}
	}
}
