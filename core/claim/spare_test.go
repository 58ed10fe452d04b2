package claim_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"waxwingwall"
)

// holdersOf returns the routers that keep the unfiled log of r.
func (w *world) holdersOf(r *router) []*router {
	var holders []*router
	for _, o := range w.routers {
		if o.dead {
			continue
		}
		for _, p := range o.ledger.Dump().Primaries {
			if p.Incarnation == r.self && !p.Sealed {
				holders = append(holders, o)
				break
			}
		}
	}
	return holders
}

// spareOf returns the router besides the witness that keeps the log of r, or nil.
func (w *world) spareOf(r *router) *router {
	witness := w.witnessOf(r)
	for _, o := range w.holdersOf(r) {
		if o != witness {
			return o
		}
	}
	return nil
}

// isolate cuts or restores the ways between two routers.
func (w *world) isolate(a, b *router, cut bool) {
	w.cut[[2]waxwingwall.VM{a.self.VM, b.self.VM}] = cut
	w.cut[[2]waxwingwall.VM{b.self.VM, a.self.VM}] = cut
}

var _ = Describe("a request whose owner and witness die", func() {
	var w *world
	var home, witness, spare *router
	request := newRequest("k")

	BeforeEach(func() {
		w = newWorld(3)
		w.runSteps = 2
		bootRouters(w, "a", "b", "c", "d", "e")
		probe := newRequest("probe")
		w.submit(w.routers[0], probe)
		home = ownerOf(w, probe)
		w.advance(10 * time.Second)
		witness = w.witnessOf(home)
		spare = w.spareOf(home)
		Expect(spare).NotTo(BeNil())
		w.submit(home, newRequest("filed just now"))
		w.advance(time.Second)
	})

	// answered submits the request and waits until its caller has the result.
	answered := func() {
		w.submit(home, request)
		w.advanceUntil(func() bool {
			return w.records[request.Identity].finished
		})
	}

	// lose kills the owner and its witness.
	lose := func() {
		for _, r := range []*router{home, witness} {
			r.dead = true
			r.killed = true
		}
		w.updatePeers()
		w.advance(time.Minute)
	}

	AfterEach(func() {
		Expect(w.violations).To(BeEmpty())
		Expect(w.records[request.Identity].runs).To(Equal(1))
		Expect(w.bills()[request.Identity]).To(HaveLen(1))
		Expect(w.bills()[request.Identity][0].Tokens).To(Equal(w.records[request.Identity].answers[0].Tokens))
	})

	It("is billed with what it used", func() {
		answered()
		lose()
	})

	It("is billed by the next incarnation of the spare", func() {
		answered()
		w.suspect(spare, true)
		spare.paused = true
		lose()
		Expect(w.bills()[request.Identity]).To(BeEmpty())
		spare.paused = false
		w.advance(5 * time.Second)
		Expect(spare.closed).To(BeTrue())
		w.suspect(spare, false)
		w.renew(spare.self.VM)
		w.advance(time.Minute)
	})

	It("is in the table before its caller is told, if the spare does not respond", func() {
		w.isolate(home, spare, true)
		answered()
		lose()
	})

	It("is answered during a table outage without the spare", func() {
		w.table.down = true
		w.isolate(home, spare, true)
		answered()
		w.table.down = false
		w.advance(10 * time.Second)
	})

	It("is billed after its spare was replaced", func() {
		answered()
		spare.ledger.Drain(w.now)
		w.advanceUntil(spare.ledger.Drained)
		Expect(w.spareOf(home)).NotTo(Equal(spare))
		spare.dead = true
		w.updatePeers()
		request = newRequest("l")
		answered()
		lose()
		request = newRequest("k")
	})

	It("leaves no copy at a spare that was released", func() {
		answered()
		w.suspect(spare, true)
		w.advance(5 * time.Second)
		w.suspect(spare, false)
		w.advance(5 * time.Second)
		Expect(w.holdersOf(home)).To(HaveLen(2))
	})
})
