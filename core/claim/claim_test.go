package claim_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"waxwingwall"
	"waxwingwall/core/claim"
	"waxwingwall/core/effect"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "Claim Suite", suite, reporter)
}

func newRequest(key string) claim.RunRequest {
	return claim.RunRequest{
		Identity: waxwingwall.Identity{
			Account: "bakery",
			Key:     key,
		},
		Budget: "bread",
		Worst:  100,
		Digest: 7,
	}
}

var _ = Describe("a single router", func() {
	It("records a request in the table before it runs and bills it once", func() {
		w := newWorld(1)
		r := w.boot("a", "one")
		w.advance(time.Second)
		Expect(r.ledger.Ready()).To(BeTrue())
		Expect(w.submit(r, newRequest("k")).Kind).To(Equal(claim.Fresh))
		Expect(w.submit(r, newRequest("k")).Kind).To(Equal(claim.Attached))
		w.advance(10 * time.Second)
		Expect(w.submit(r, newRequest("k")).Kind).To(Equal(claim.Finished))
		other := newRequest("k")
		other.Digest++
		Expect(w.submit(r, other).Kind).To(Equal(claim.Mismatch))
		Expect(w.bills()[newRequest("k").Identity]).To(HaveLen(1))
		Expect(w.violations).To(BeEmpty())
	})
})

// bootRouters starts routers in different failure domains and waits until each
// has a witness and its share of the slots.
func bootRouters(w *world, names ...waxwingwall.VM) []*router {
	var list []*router
	for _, n := range names {
		list = append(list, w.boot(n, waxwingwall.Domain(n)))
	}
	w.advance(20 * time.Second)
	for _, r := range list {
		Expect(r.ledger.Ready()).To(BeTrue())
		Expect(r.ledger.Dump().Node.Witness.IsZero()).To(BeFalse())
		Expect(r.ledger.Dump().Slots).To(BeNumerically(">=", testSlots/len(names)))
	}
	return list
}

// ownerOf returns the router that owns the slot of a request.
func ownerOf(w *world, request claim.RunRequest) *router {
	v := w.routers[0].ledger.Begin(w.now, request)
	if v.Kind == claim.Redirect {
		return w.findRouter(v.Owner)
	}
	w.routers[0].active[request.Identity] = &run{
		request: request,
	}
	return w.routers[0]
}

var _ = Describe("a router with a witness", func() {
	var w *world
	var all []*router

	BeforeEach(func() {
		w = newWorld(2)
		w.runSteps = 60
		all = bootRouters(w, "a", "b", "c")
	})

	AfterEach(func() {
		Expect(w.violations).To(BeEmpty())
	})

	It("continues without the table", func() {
		w.table.down = true
		Expect(w.submit(all[0], newRequest("k")).Kind).To(Equal(claim.Fresh))
		w.advance(10 * time.Second)
		Expect(w.submit(all[0], newRequest("k")).Kind).To(Equal(claim.Finished))
		Expect(w.bills()).To(BeEmpty())
		w.table.down = false
		w.advance(10 * time.Second)
		Expect(w.bills()[newRequest("k").Identity]).To(HaveLen(1))
	})

	It("files bills at the rate of the requests", func() {
		w.runSteps = 1
		for i := range 3000 {
			w.submit(all[i%3], newRequest(fmt.Sprint(i)))
			if i%30 == 0 {
				w.advance(testTick)
			}
		}
		w.advance(7 * time.Second)
		Expect(w.bills()).To(HaveLen(3000))
	})

	It("refuses requests as not run with neither table nor witness", func() {
		w.table.down = true
		w.loss = 100
		Expect(w.submit(all[0], newRequest("k")).Kind).To(Equal(claim.Fresh))
		w.advance(5 * time.Second)
		Expect(w.records[newRequest("k").Identity].runs).To(BeZero())
		Expect(w.submit(all[0], newRequest("l")).Kind).To(Equal(claim.Unavailable))
	})

	It("refuses at once during a table outage when its witness is dead", func() {
		w.table.down = true
		home := w.findRouter(all[0].self)
		witness := w.findRouter(home.ledger.Dump().Node.Witness)
		witness.dead = true
		w.updatePeers()
		w.advance(5 * time.Second)
		request := newRequest("k")
		for home.ledger.Peek(w.now, request).Kind == claim.Redirect {
			request.Identity.Account += "x"
		}
		Expect(w.submit(home, request).Kind).To(Equal(claim.Unavailable))
	})

	It("offers no slots during a table outage", func() {
		w.table.down = true
		w.advance(3 * time.Second)
		w.boot("d", "d")
		for range 100 {
			w.advance(testTick)
			for _, r := range all {
				Expect(r.ledger.Dump().Frozen).To(BeZero())
			}
		}
	})

	It("is closed by its witness, which takes over its claims", func() {
		w.table.down = true
		request := newRequest("k")
		v := w.submit(all[0], request)
		Expect(v.Kind).To(Equal(claim.Fresh))
		home := ownerOf(w, request)
		w.advance(time.Second)
		Expect(w.records[request.Identity].runs).To(Equal(1))
		home.dead = true
		w.updatePeers()
		w.advance(10 * time.Second)
		w.table.down = false
		w.advance(30 * time.Second)
		other := all[0]
		if other == home {
			other = all[1]
		}
		Expect(w.submit(other, request)).To(Equal(claim.Verdict{
			Kind: claim.Finished,
			Result: claim.Result{
				Outcome: waxwingwall.Unknown,
				Tokens:  request.Worst,
			},
			Remote: true,
		}))
		Expect(w.bills()[request.Identity]).To(HaveLen(1))
		Expect(w.peersClosed).To(ContainElement(HaveField("Spent", Equal([]claim.Spent{
			{
				Budget: request.Budget,
				Tokens: request.Worst,
			},
		}))))
	})

	It("hands off its slots during a graceful stop and interrupts no request", func() {
		request := newRequest("k")
		Expect(w.submit(all[0], request).Kind).To(Equal(claim.Fresh))
		home := ownerOf(w, request)
		w.advance(200 * time.Millisecond)
		home.ledger.Drain(w.now)
		w.advance(20 * time.Second)
		Expect(home.ledger.Drained()).To(BeTrue())
		home.dead = true
		w.updatePeers()
		w.advance(20 * time.Second)
		other := all[0]
		if other == home {
			other = all[1]
		}
		Expect(w.submit(other, request).Kind).To(Equal(claim.Finished))
		Expect(w.bills()[request.Identity]).To(HaveLen(1))
		Expect(w.records[request.Identity].runs).To(Equal(1))
	})

	// Guards against a graceful stop of the whole fleet that never ends, because a
	// router waits for owners of slots that have stopped before it.
	It("ends its graceful stop after the owner of its slots has stopped", func() {
		w.runSteps = 400
		request := newRequest("k")
		Expect(w.submit(all[0], request).Kind).To(Equal(claim.Fresh))
		home := ownerOf(w, request)
		w.advance(200 * time.Millisecond)
		home.ledger.Drain(w.now)
		w.advance(2 * time.Second)
		for _, r := range all {
			if r != home {
				r.ledger.Drain(w.now)
			}
		}
		for range 200 {
			w.advance(200 * time.Millisecond)
			for _, r := range all {
				r.dead = r.dead || r.ledger.Drained()
			}
			w.updatePeers()
		}
		for _, r := range all {
			Expect(r.ledger.Drained()).To(BeTrue(), "%v: %+v", r.self, r.ledger.Dump())
		}
		Expect(w.bills()[request.Identity]).To(HaveLen(1))
	})

	It("bills the runs of a pair that was closed while isolated", func() {
		w.table.down = true
		request := newRequest("k")
		w.runSteps = 2
		Expect(w.submit(all[0], request).Kind).To(Equal(claim.Fresh))
		home := ownerOf(w, request)
		w.advance(time.Second)
		Expect(w.records[request.Identity].finished).To(BeTrue())
		witness := w.findRouter(home.ledger.Dump().Node.Witness)
		home.paused, witness.paused = true, true
		w.suspected[home.self.VM], w.suspected[witness.self.VM] = true, true
		w.updatePeers()
		w.table.down = false
		for !w.lostAtClosing(w.records[request.Identity]) {
			w.advance(testTick)
		}

		By("accepting no acknowledgement from the closed owner, which has not detected its closing")
		answer := home.ledger.Step(w.now, effect.Received{
			From: witness.self,
			Message: claim.Late{
				Claims: home.ledger.Late(),
			},
		})
		for _, a := range answer {
			if send, ok := a.(effect.Send); ok {
				Expect(send.Message).NotTo(BeAssignableToTypeOf(claim.LateAck{}))
			}
		}

		By("notifying the new owner")
		home.dead = true
		witness.paused = false
		w.advance(3 * time.Second)
		Expect(witness.closed).To(BeTrue())
		clear(w.suspected)
		w.renew(witness.self.VM)
		w.advance(20 * time.Second)
		Expect(w.bills()[request.Identity]).To(HaveLen(1))
	})
})
