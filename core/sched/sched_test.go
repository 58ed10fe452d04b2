package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/sched"
)

func TestSched(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "sched", suite, reporter)
}

var start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

const slots = 4

var ranks = []sched.RankSpec{
	{
		Name:          "urgent",
		Level:         0,
		FirstToken:    400 * time.Millisecond,
		BetweenTokens: 65 * time.Millisecond,
		Floor:         0.2,
	},
	{
		Name:          "long",
		Level:         2,
		FirstToken:    8 * time.Second,
		BetweenTokens: 150 * time.Millisecond,
		Floor:         0.25,
	},
}

func endpoints(n int) []sched.EndpointSpec {
	var specs []sched.EndpointSpec
	for i := range n {
		specs = append(specs, sched.EndpointSpec{
			Name:        waxwingwall.Endpoint(fmt.Sprintf("model-%d", i)),
			Models:      []waxwingwall.Model{"drafts"},
			Concurrency: slots,
		})
	}
	return specs
}

// rig is a scheduler with a record of its actions.
type rig struct {
	s          *sched.Scheduler
	now        time.Time
	keys       int
	dispatches []sched.Dispatch
	cancels    []sched.Cancel
	refusals   []sched.Refuse
	sends      []effect.Send
}

func newRig(opts ...sched.Option) *rig {
	r := &rig{
		s:   sched.New(opts...),
		now: start,
	}
	r.s.SetRanks(ranks)
	r.s.SetEndpoints(r.now, endpoints(2))
	return r
}

func (r *rig) step(ev effect.Event) {
	for _, a := range r.s.Step(r.now, ev) {
		switch a := a.(type) {
		case sched.Dispatch:
			r.dispatches = append(r.dispatches, a)
		case sched.Cancel:
			r.cancels = append(r.cancels, a)
		case sched.Refuse:
			r.refusals = append(r.refusals, a)
		case effect.Send:
			r.sends = append(r.sends, a)
		}
	}
}

func (r *rig) advance(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(10 * time.Millisecond)
		r.step(effect.Tick{})
	}
}

func (r *rig) offer(account waxwingwall.Account, rank waxwingwall.Rank, change ...func(*sched.Work)) sched.Verdict {
	r.keys++
	w := sched.Work{
		Identity: waxwingwall.Identity{
			Account: account,
			Key:     fmt.Sprint(r.keys),
		},
		Account:     account,
		Rank:        rank,
		Model:       "drafts",
		Idempotent:  true,
		Fingerprint: uint64(r.keys),
		Prompt:      100,
		MaxOutput:   100,
	}
	for _, f := range change {
		f(&w)
	}
	v := r.s.Offer(r.now, w)
	r.step(effect.Tick{})
	return v
}

func (r *rig) last() sched.Dispatch {
	return r.dispatches[len(r.dispatches)-1]
}

func (r *rig) finish(d sched.Dispatch, f sched.Failure) {
	r.step(sched.Finished{
		Identity: d.Identity,
		Attempt:  d.Attempt,
		Tokens:   10,
		Failure:  f,
	})
}

func nonIdempotent(w *sched.Work) { w.Idempotent = false }

var _ = Describe("Scheduler", func() {
	It("refuses work at once, as not run, if it can't be answered in time", func() {
		r := newRig()
		var v sched.Verdict
		for range 100 {
			if v = r.offer("shop", 0); v.Decision == sched.Refused {
				break
			}
		}
		Expect(v.Decision).To(Equal(sched.Refused))
		Expect(v.Problem.Outcome).To(Equal(waxwingwall.NotRun))
		first := v.Problem.RetryAfter
		Expect(first).To(BeNumerically(">", 0))
		later := r.offer("shop", 0)
		Expect(later.Problem.RetryAfter).NotTo(Equal(first), "Retry-After must be jittered")
	})

	It("accepts work while slots are free, however slow earlier first tokens were", func() {
		r := newRig()
		r.offer("shop", 2)
		d := r.last()
		r.advance(2 * time.Second)
		r.step(sched.FirstToken{
			Identity: d.Identity,
			Attempt:  d.Attempt,
		})
		r.finish(d, sched.None)
		v := r.offer("shop", 2, func(w *sched.Work) {
			w.Deadline = r.now.Add(time.Second)
		})
		Expect(v.Decision).To(Equal(sched.Queued), "the first token estimate needs new samples")
	})

	It("keeps the floor of a lower rank under overload by the most urgent rank", func() {
		r := newRig()
		for range 40 {
			r.offer("shop", 0)
		}
		r.offer("shop", 2)
		r.offer("shop", 2)
		for range 60 {
			r.finish(r.dispatches[0], sched.None)
			r.dispatches = r.dispatches[1:]
			r.offer("shop", 0)
			r.offer("shop", 2)
		}
		d := r.s.Dump().Pools[0]
		Expect(d.Ranks[1].InFlight).To(BeNumerically(">=", 2), "a quarter of eight slots")
		Expect(d.Ranks[0].InFlight).To(BeNumerically(">=", 5))
	})

	It("preempts work of the lowest rank for urgent work that waits", func() {
		r := newRig()
		for range 2 * slots {
			r.offer("shop", 2)
		}
		youngest := r.last()
		r.offer("shop", 0)
		Expect(r.dispatches).To(HaveLen(2*slots), "all slots are in use")
		r.advance(ranks[0].FirstToken / 4)
		Expect(r.cancels).To(HaveLen(1))
		Expect(r.cancels[0].Identity).To(Equal(youngest.Identity))
		Expect(r.cancels[0].Reason).To(Equal(sched.Cancelled))
		urgent := r.last()
		Expect(urgent.Endpoint).To(Equal(youngest.Endpoint))
		r.finish(urgent, sched.None)
		Expect(r.last().Identity).To(Equal(youngest.Identity))
		Expect(r.last().Attempt).To(Equal(2))
	})

	It("gives a small account its share beside a large one", func() {
		r := newRig()
		for range 30 {
			r.offer("large", 2)
		}
		for range 4 {
			r.offer("small", 2)
		}
		held := map[waxwingwall.Account]int{}
		for range 8 {
			r.finish(r.dispatches[0], sched.None)
			r.dispatches = r.dispatches[1:]
		}
		for _, d := range r.dispatches {
			held[d.Identity.Account]++
		}
		Expect(held["small"]).To(BeNumerically(">=", 4))
	})

	It("retries idempotent work on another endpoint and never retries other work", func() {
		r := newRig()
		r.offer("shop", 0)
		first := r.last()
		r.finish(first, sched.Broken)
		Expect(r.last().Attempt).To(Equal(2))
		Expect(r.last().Endpoint).NotTo(Equal(first.Endpoint))

		r = newRig()
		r.offer("shop", 0, nonIdempotent)
		r.finish(r.last(), sched.Broken)
		Expect(r.dispatches).To(HaveLen(1))
		Expect(r.refusals).To(HaveLen(1))
		Expect(r.refusals[0].Problem.Outcome).To(Equal(waxwingwall.Unknown))
	})

	It("retries on a new connection before the deadline if a connection is idle", func() {
		r := newRig()
		r.offer("shop", 0)
		r.advance(ranks[0].FirstToken / 2)
		Expect(r.cancels).To(HaveLen(1))
		Expect(r.cancels[0].Reason).To(Equal(sched.IdleTimeout))
		Expect(r.dispatches).To(HaveLen(2))
		Expect(r.last().NewConnection).To(BeTrue())
		Expect(r.last().Endpoint).To(Equal(r.dispatches[0].Endpoint))
		Expect(r.s.Dump().Endpoints[0].BackingOff).To(BeFalse())
		r.advance(ranks[0].FirstToken / 2)
		Expect(r.s.Dump().Endpoints[0].BackingOff).To(BeTrue(), "the new connection timed out too")
		Expect(r.last().Endpoint).NotTo(Equal(r.dispatches[0].Endpoint))
	})

	It("retries on a new connection to the same endpoint if the driver reports an idle timeout", func() {
		r := newRig()
		r.offer("shop", 0)
		first := r.last()
		r.finish(first, sched.IdleTimeout)
		Expect(r.last().Attempt).To(Equal(2))
		Expect(r.last().NewConnection).To(BeTrue())
		Expect(r.last().Endpoint).To(Equal(first.Endpoint))
		r.finish(r.last(), sched.IdleTimeout)
		Expect(r.last().Attempt).To(Equal(3))
		Expect(r.last().Endpoint).NotTo(Equal(first.Endpoint))
	})

	It("blocks a request after three crashes, its own or reported by a peer", func() {
		poison := func(w *sched.Work) { w.Fingerprint = 0xbad }
		a := waxwingwall.Incarnation{VM: "a", Boot: 1}
		b := waxwingwall.Incarnation{VM: "b", Boot: 1}
		r := newRig(sched.WithSelf(a))
		r.s.SetPeers(r.now, []waxwingwall.Incarnation{b})
		r.s.SetEndpoints(r.now, endpoints(5))
		r.offer("shop", 0, poison)
		for range 3 {
			r.finish(r.last(), sched.Crashed)
			r.advance(100 * time.Millisecond)
		}
		Expect(r.dispatches).To(HaveLen(3))
		Expect(r.refusals).To(HaveLen(1))
		Expect(r.refusals[0].Problem.RetryAfter).To(BeZero())
		Expect(r.offer("shop", 0, poison).Decision).To(Equal(sched.Refused))

		peer := newRig(sched.WithSelf(b))
		peer.s.SetPeers(r.now, []waxwingwall.Incarnation{a})
		for _, m := range r.sends {
			peer.step(effect.Received{
				From:    a,
				Message: m.Message,
			})
		}
		Expect(peer.offer("other", 0, poison).Decision).To(Equal(sched.Refused))
		Expect(peer.offer("other", 0).Decision).To(Equal(sched.Queued))
	})

	// Requests that are unlike but for one prefix of their prompts must not crash
	// engine after engine.
	It("blocks a prefix under which engines crashed four times, at peers as well, and none that others share", func() {
		poison := func(w *sched.Work) { w.Prefix = []uint64{1, 0xbad, 1000 + w.Fingerprint} }
		sound := func(w *sched.Work) { w.Prefix = []uint64{1, 2000 + w.Fingerprint} }
		a := waxwingwall.Incarnation{VM: "a", Boot: 1}
		b := waxwingwall.Incarnation{VM: "b", Boot: 1}
		r := newRig(sched.WithSelf(a))
		r.s.SetPeers(r.now, []waxwingwall.Incarnation{b})
		r.s.SetEndpoints(r.now, endpoints(8))
		crashes := 0
		for range 8 {
			if r.offer("shop", 0, poison, nonIdempotent).Decision == sched.Refused {
				break
			}
			crashes++
			r.finish(r.last(), sched.Crashed)
			r.advance(600 * time.Millisecond)
		}
		Expect(crashes).To(Equal(4))
		Expect(r.offer("shop", 0, sound).Decision).To(Equal(sched.Queued))
		peer := newRig(sched.WithSelf(b))
		peer.s.SetPeers(r.now, []waxwingwall.Incarnation{a})
		for _, m := range r.sends {
			peer.step(effect.Received{
				From:    a,
				Message: m.Message,
			})
		}
		Expect(peer.offer("other", 0, poison).Decision).To(Equal(sched.Refused))
		Expect(peer.offer("other", 0, sound).Decision).To(Equal(sched.Queued))
	})

	// The crash of an engine creates suspects at the same time at all routers
	// that had a run there, and each router must find an endpoint for its own.
	It("runs suspects of different routers on separate endpoints", func() {
		var fleet []*rig
		var all []waxwingwall.Incarnation
		for i := range 4 {
			all = append(all, waxwingwall.Incarnation{
				VM:   waxwingwall.VM(fmt.Sprintf("vm-%d", i)),
				Boot: 1,
			})
		}
		delivered := make([]int, len(all))
		exchange := func() {
			for i, from := range fleet {
				sent := from.sends[delivered[i]:]
				delivered[i] = len(from.sends)
				for _, m := range sent {
					for k, to := range fleet {
						if all[k] == m.To {
							to.step(effect.Received{
								From:    all[i],
								Message: m.Message,
							})
						}
					}
				}
			}
		}
		for _, inc := range all {
			r := newRig(sched.WithSelf(inc))
			r.s.SetPeers(r.now, all)
			r.s.SetEndpoints(r.now, endpoints(2))
			fleet = append(fleet, r)
		}
		for range 50 {
			for _, r := range fleet {
				r.advance(20 * time.Millisecond)
			}
			exchange()
		}
		for i, r := range fleet {
			r.offer("shop", 0, func(w *sched.Work) { w.Fingerprint = uint64(i) + 1 })
			r.finish(r.last(), sched.Crashed)
			Expect(len(r.dispatches)).To(BeNumerically("<=", 2))
		}
		running := func() map[waxwingwall.Endpoint]int {
			at := map[waxwingwall.Endpoint]int{}
			for _, r := range fleet {
				for _, e := range r.s.Dump().Endpoints {
					at[e.Name] += e.InFlight
				}
			}
			return at
		}
		const work = 500 * time.Millisecond
		started := map[*rig]time.Time{}
		for range 200 {
			exchange()
			for _, n := range running() {
				Expect(n).To(BeNumerically("<=", 1))
			}
			for _, r := range fleet {
				r.advance(20 * time.Millisecond)
				switch at, again := started[r]; {
				case !again && r.last().Attempt > 1:
					started[r] = r.now
				case again && r.now.Sub(at) == work:
					r.finish(r.last(), sched.None)
				}
			}
		}
		Expect(started).To(HaveLen(len(fleet)))
	})

	It("stops dispatching to a leaving endpoint at once", func() {
		r := newRig()
		specs := endpoints(2)
		specs[0].Leaving = true
		r.s.SetEndpoints(r.now, specs)
		for range slots {
			r.offer("shop", 0)
			Expect(r.last().Endpoint).To(Equal(specs[1].Name))
		}
	})

	It("takes no token gap sample from tokens that arrive together", func() {
		r := newRig()
		r.offer("shop", 0)
		d := r.last()
		reportProgress := func(tokens waxwingwall.Tokens) {
			r.step(sched.Progress{
				Identity: d.Identity,
				Attempt:  d.Attempt,
				Tokens:   tokens,
			})
		}
		r.step(sched.FirstToken{
			Identity: d.Identity,
			Attempt:  d.Attempt,
		})
		reportProgress(3)
		r.advance(20 * time.Millisecond)
		reportProgress(4)
		Expect(r.s.Dump().Endpoints[0].BetweenTokens + r.s.Dump().Endpoints[1].BetweenTokens).To(
			Equal(20 * time.Millisecond))
	})

	It("adapts the idle timeout to the usual time to the first token", func() {
		r := newRig()
		for i := range 60 {
			if i == 40 {
				r.cancels = nil
			}
			r.offer("shop", 0)
			r.advance(ranks[0].FirstToken * 3 / 4)
			d := r.last()
			r.step(sched.FirstToken{
				Identity: d.Identity,
				Attempt:  d.Attempt,
			})
			r.finish(d, sched.None)
		}
		Expect(r.cancels).To(BeEmpty())
	})

	It("keeps the window of an idle endpoint despite its low token rate", func() {
		r := newRig()
		specs := endpoints(2)
		specs[0].Concurrency = 8
		r.s.SetEndpoints(r.now, specs)
		for range 20 {
			r.advance(time.Second)
			r.step(sched.LoadReport{
				Endpoint:  "model-0",
				Running:   1,
				TokenRate: 2,
				At:        r.now,
			})
		}
		Expect(r.s.Dump().Endpoints[0].Window).To(Equal(8.0))
	})

	It("keeps urgent work off a slow endpoint until its token gap expires", func() {
		r := newRig()
		for range 50 {
			r.step(sched.LoadReport{
				Endpoint:  "model-0",
				Running:   1,
				TokenRate: 5,
				At:        r.now,
			})
		}
		for range 3 {
			r.offer("shop", 0)
			Expect(r.last().Endpoint).To(Equal(waxwingwall.Endpoint("model-1")))
			r.finish(r.last(), sched.None)
		}
		r.advance(6 * time.Second)
		seen := map[waxwingwall.Endpoint]bool{}
		for range slots {
			r.offer("shop", 0)
			seen[r.last().Endpoint] = true
		}
		Expect(seen).To(HaveLen(2))
	})

	It("removes the flows of idle accounts", func() {
		r := newRig()
		for i := range 10 {
			r.offer(waxwingwall.Account(fmt.Sprint(i)), 2)
			r.finish(r.last(), sched.None)
		}
		r.advance(10 * time.Second)
		Expect(r.s.Dump().Pools[0].Ranks[1].Flows).To(BeZero())
	})

	It("uses an equal share of the endpoints without a live peer", func() {
		r := newRig(sched.WithSelf(waxwingwall.Incarnation{VM: "a", Boot: 1}))
		r.s.SetPeers(r.now, []waxwingwall.Incarnation{{VM: "b", Boot: 1}})
		for range 30 {
			r.offer("shop", 2)
		}
		Expect(r.dispatches).To(HaveLen(slots))
	})

	It("ignores the loads of a peer that is no longer live", func() {
		peer := waxwingwall.Incarnation{VM: "b", Boot: 1}
		r := newRig(sched.WithSelf(waxwingwall.Incarnation{VM: "a", Boot: 1}))
		r.s.SetPeers(r.now, []waxwingwall.Incarnation{peer})
		r.step(effect.Received{
			From: peer,
			Message: sched.Demand{
				Seq: 1,
				Loads: []sched.EndpointLoad{{
					Endpoint: "model-0",
					Requests: slots,
				}},
			},
		})
		r.advance(2 * time.Second)
		held := map[waxwingwall.Endpoint]int{}
		for range 30 {
			r.offer("shop", 2)
		}
		for _, d := range r.dispatches {
			held[d.Endpoint]++
		}
		Expect(held).To(Equal(map[waxwingwall.Endpoint]int{
			"model-0": slots / 2,
			"model-1": slots / 2,
		}))
	})
})
