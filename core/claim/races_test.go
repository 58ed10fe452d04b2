package claim_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"waxwingwall"
	"waxwingwall/core/claim"
	"waxwingwall/core/effect"
)

// advanceUntil advances time until a condition holds.
func (w *world) advanceUntil(condition func() bool) {
	for range 1000 {
		if condition() {
			return
		}
		w.advance(testTick)
	}
	Fail("the condition did not hold in time")
}

// loseAnswers marks the answers of the table that are in flight to r as lost.
func (r *router) loseAnswers() {
	for i, ev := range r.inbox {
		switch ev := ev.(type) {
		case effect.Transacted:
			ev.Result = effect.Lost
			r.inbox[i] = ev
		case effect.Rows:
			ev.Result = effect.Lost
			r.inbox[i] = ev
		}
	}
}

// nodeRow returns the node row of a router.
func (w *world) nodeRow(r *router) claim.NodeRow {
	var row claim.NodeRow
	Expect(json.Unmarshal([]byte(w.table.rows[claim.NodeKey(r.self)].Value), &row)).To(Succeed())
	return row
}

// witnessOf returns the witness that the table names for a router.
func (w *world) witnessOf(r *router) *router {
	return w.findRouter(w.nodeRow(r).Witness)
}

// otherThan returns the first router that is neither a nor b.
func (w *world) otherThan(a, b *router) *router {
	for _, r := range w.routers {
		if r != a && r != b {
			return r
		}
	}
	return nil
}

// slots returns the slots row.
func (w *world) slots() []claim.Slot {
	var row claim.SlotsRow
	Expect(json.Unmarshal([]byte(w.table.rows[claim.SlotsKey()].Value), &row)).To(Succeed())
	return row.Slots
}

// suspect sets whether membership considers a router dead.
func (w *world) suspect(r *router, suspected bool) {
	w.suspected[r.self.VM] = suspected
	w.updatePeers()
}

var _ = Describe("a request during the closing of its owner", func() {
	var w *world
	var home *router
	request := newRequest("k")

	BeforeEach(func() {
		w = newWorld(3)
		w.runSteps = 2
		bootRouters(w, "a", "b", "c")
		probe := newRequest("probe")
		w.submit(w.routers[0], probe)
		home = ownerOf(w, probe)
		w.advance(10 * time.Second)
	})

	AfterEach(func() {
		Expect(w.violations).To(BeEmpty())
		Expect(w.records[request.Identity].runs).To(Equal(1))
		Expect(w.bills()[request.Identity]).To(HaveLen(1))
	})

	It("does not run at the old owner once the witness has sealed the log", func() {
		witness := w.witnessOf(home)
		w.submit(home, newRequest("filed just now"))
		w.advance(time.Second)
		w.suspect(home, true)
		w.advanceUntil(func() bool {
			return witness.ledger.Dump().Takeover == home.self
		})

		By("losing the answer to the closing")
		w.table.down = true
		w.advance(testTick)
		w.table.down = false
		Expect(w.submit(home, request).Kind).To(Equal(claim.Fresh))
		w.advanceUntil(func() bool {
			return home.closed
		})
		w.advance(5 * time.Second)

		By("retrying, which returns the result or runs the request")
		w.submit(witness, request)
		w.advance(10 * time.Second)
	})

	It("requires both witnesses while the table may name either", func() {
		old := w.witnessOf(home)
		w.suspect(old, true)
		w.advanceUntil(func() bool {
			return w.witnessOf(home) != old
		})

		By("losing the answer to the write that names the new one")
		w.table.down = true
		home.loseAnswers()
		next := w.witnessOf(home)
		w.cut[[2]waxwingwall.VM{home.self.VM, next.self.VM}] = true
		w.suspect(old, false)
		Expect(w.submit(home, request).Kind).To(Equal(claim.Fresh))
		w.advance(5 * time.Second)

		By("closing by the new one")
		home.dead = true
		w.updatePeers()
		w.table.down = false
		w.advance(20 * time.Second)
		Expect(w.submit(next, request).Kind).To(Equal(claim.Fresh))
		w.advance(10 * time.Second)
	})

	It("is known after a takeover despite late offers of the dead owner", func() {
		Expect(w.submit(home, request).Kind).To(Equal(claim.Fresh))
		w.advance(10 * time.Second)
		taker := w.witnessOf(home)
		late := claim.Give{
			Offer: 100,
		}
		for slot, s := range w.slots() {
			if s.Owner == home.self {
				late.Slots = append(late.Slots, slot)
				late.Epochs = append(late.Epochs, s.Epoch)
				late.Until = append(late.Until, time.Time{})
			}
		}
		home.dead = true
		w.updatePeers()
		w.advanceUntil(func() bool {
			late.Offer++
			taker.inbox = append(taker.inbox, effect.Received{
				From:    home.self,
				Message: late,
			})
			return w.slots()[late.Slots[0]].Owner == taker.self
		})
		w.advance(5 * time.Second)
		Expect(w.submit(taker, request).Kind).To(Equal(claim.Finished))
	})

	It("is not ended by a late message about an earlier run", func() {
		w.runSteps = 100
		Expect(w.submit(home, request).Kind).To(Equal(claim.Fresh))
		w.advance(time.Second)
		home.ledger.Drain(w.now)
		var now *router
		w.advanceUntil(func() bool {
			now = w.findRouter(w.slots()[claim.SlotOf(request.Identity, 1, testSlots)].Owner)
			return now != home
		})
		w.advance(time.Second)
		now.inbox = append(now.inbox, effect.Received{
			From: home.self,
			Message: claim.Ended{
				Claims: []claim.Claim{
					{
						Identity: request.Identity,
						Slot:     claim.SlotOf(request.Identity, 1, testSlots),
						State:    claim.StateNotRun,
						Home:     home.self,
						Run:      1,
						Digest:   request.Digest,
					},
				},
			},
		})
		w.advance(time.Second)
		Expect(now.ledger.Begin(w.now, request)).To(Equal(claim.Verdict{
			Kind:  claim.Redirect,
			Owner: home.self,
		}))
		w.advance(20 * time.Second)
		Expect(w.submit(now, request).Kind).To(Equal(claim.Finished))
	})

	It("is known to a router whose takeover failed and that gained the slot by an offer", func() {
		slot := claim.SlotOf(request.Identity, 1, testSlots)
		winner := w.witnessOf(home)
		home.dead = true
		w.updatePeers()
		w.advanceUntil(func() bool {
			return w.nodeRow(home).State == claim.NodeClosed
		})
		winner.paused = true
		loser := w.otherThan(home, winner)
		done := len(w.peersClosed)
		w.advanceUntil(func() bool {
			return len(w.peersClosed) > done && w.peersClosed[len(w.peersClosed)-1].Dead == home.self
		})

		By("letting the other router win, run the request and offer the slot")
		loser.paused = true
		winner.paused = false
		w.advanceUntil(func() bool {
			return w.slots()[slot].Owner == winner.self
		})
		w.advance(testTick)
		Expect(w.submit(winner, request).Kind).To(Equal(claim.Fresh))
		w.advance(10 * time.Second)
		row := w.slots()
		loser.inbox = append(loser.inbox, effect.Received{
			From: winner.self,
			Message: claim.Give{
				Offer:  100,
				Slots:  []int{slot},
				Epochs: []int64{row[slot].Epoch},
				Until:  []time.Time{{}},
				Claims: w.bills()[request.Identity],
			},
		})
		loser.paused = false
		w.advance(time.Second)
		row[slot].Owner = loser.self
		row[slot].Epoch++
		value, err := json.Marshal(claim.SlotsRow{
			Slots: row,
		})
		Expect(err).NotTo(HaveOccurred())
		w.table.transact([]waxwingwall.Write{
			{
				Key:    claim.SlotsKey(),
				Expect: waxwingwall.AnyVersion,
				Value:  string(value),
			},
		})
		w.advance(5 * time.Second)
		Expect(w.submit(loser, request).Kind).To(Equal(claim.Finished))
	})

	It("is not blocked by a router that drains during its takeover", func() {
		Expect(w.submit(home, request).Kind).To(Equal(claim.Fresh))
		w.advance(10 * time.Second)
		taker := w.witnessOf(home)
		home.dead = true
		w.updatePeers()
		w.advanceUntil(func() bool {
			return taker.ledger.Dump().Takeover == home.self
		})
		taker.ledger.Drain(w.now)
		w.advanceUntil(taker.ledger.Drained)
		Expect(w.submit(w.otherThan(home, taker), request).Kind).To(Equal(claim.Finished))
	})

	It("is in the log of a witness before the table names the witness", func() {
		w.runSteps = 1000
		w.submit(home, newRequest("filed just now"))
		w.advance(time.Second)
		Expect(w.submit(home, request).Kind).To(Equal(claim.Fresh))
		w.advance(4 * testTick)
		old := w.witnessOf(home)
		next := w.otherThan(home, old)
		w.cut[[2]waxwingwall.VM{home.self.VM, next.self.VM}] = true
		w.suspect(old, true)
		w.advance(6 * testTick)
		home.dead = true
		w.suspect(old, false)
		w.advance(20 * time.Second)
		v := w.submit(next, request)
		Expect(v.Result.Outcome).To(Equal(waxwingwall.Unknown))
	})
})
