package claim_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"waxwingwall"
	"waxwingwall/core/claim"
)

var _ = Describe("a long-lived incarnation", func() {
	It("is taken over from its last checkpoints", func() {
		w := newWorld(4)
		w.retention = 20 * time.Second
		bootRouters(w, "a", "b", "c")
		w.tick = 4 * testTick
		w.runSteps = 1 << 30
		long := newRequest("long")
		w.submit(w.routers[0], long)
		home := ownerOf(w, long)
		w.advance(time.Second)
		w.runSteps = 1
		const requests = 400
		for i := range requests {
			w.submit(home, newRequest(fmt.Sprint(i)))
			w.advance(5 * time.Second)
		}
		taker := w.witnessOf(home)
		w.table.readRows = 0
		home.dead = true
		w.updatePeers()
		w.advanceUntil(func() bool {
			return len(w.peersClosed) > 0
		})
		Expect(w.table.readRows).To(BeNumerically("<", requests/2))
		w.advance(5 * time.Second)
		Expect(w.submit(taker, newRequest(fmt.Sprint(requests-1))).Kind).To(Equal(claim.Finished))
		Expect(w.submit(taker, long).Result.Outcome).To(Equal(waxwingwall.Unknown))
		var spent waxwingwall.Tokens
		for id, bills := range w.bills() {
			Expect(bills).To(HaveLen(1), id.Key)
			spent += bills[0].Tokens
		}
		Expect(w.peersClosed[0].Exact).To(BeTrue())
		Expect(w.peersClosed[0].Spent).To(Equal([]claim.Spent{
			{
				Budget: long.Budget,
				Tokens: spent,
			},
		}))
		Expect(w.bills()).To(HaveLen(requests + 1))
		Expect(w.violations).To(BeEmpty())
	})
})
