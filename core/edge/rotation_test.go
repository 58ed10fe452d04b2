package edge

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"waxwingwall"
)

const (
	// A balancer asks each router once in balancerInterval whether it is ready. A router that
	// said no in balancerMisses questions in a row gets no callers while at least half of its
	// failure domain is ready.
	balancerInterval = time.Second
	balancerMisses   = 2

	// stickyAsked is what the callers of the model's largest account ask of a slow link.
	stickyAsked = 1.4

	fastMbps = 200
	slowMbps = 20
)

// balancer places all callers of an account at one router of its failure domain, by readiness
// alone.
type balancer struct {
	m      *limitModel
	domain int
	misses []int

	// link is the link of each router, in parts of its speed.
	links []float64
}

// newBalancer returns a running balancer.
func newBalancer(m *limitModel, domain int) *balancer {
	b := &balancer{
		m:      m,
		domain: domain,
		misses: make([]int, len(m.routers)),
		links:  make([]float64, len(m.routers)),
	}
	var probe func()
	probe = func() {
		for i, r := range m.routers {
			b.misses[i]++
			if !r.down && r.edge.Ready() {
				b.misses[i] = 0
			}
		}
		m.after(balancerInterval, probe)
	}
	probe()
	var measure func()
	measure = func() {
		home := b.home("largest")
		for i, r := range m.routers {
			part := 0.0
			if i == home {
				part = stickyAsked * slowMbps / float64(m.link(i))
			}
			if !r.down {
				m.feed(i, CallerLoad{LinkPart: part})
			}
		}
		m.after(limitTick, measure)
	}
	measure()
	return b
}

// home returns the router at which the callers of an account are.
func (b *balancer) home(account string) int {
	var all, ready []int
	for i := range b.m.routers {
		if i%3 != b.domain {
			continue
		}
		all = append(all, i)
		if b.misses[i] < balancerMisses {
			ready = append(ready, i)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	best, weight := -1, uint64(0)
	for _, i := range ready {
		h := fnv.New64a()
		fmt.Fprintf(h, "%d %s %d", i, account, i)
		if w := h.Sum64() * 0x9E3779B97F4A7C15; best < 0 || w > weight {
			best, weight = i, w
		}
	}
	return best
}

// TestStickyAccountLeavesSlowLink guards against an account that stays at a router whose link
// carries too little for it, as callers that a balancer places go by its readiness alone.
func TestStickyAccountLeavesSlowLink(t *testing.T) {
	for _, routers := range []int{8, 72, largestFleet} {
		t.Run(fmt.Sprintf("routers=%d", routers), func(t *testing.T) {
			const domain = 1
			m := newLimitModel(t, 1, routers, 4, func(m *limitModel) {
				m.slowTicks = true
				m.linkMbps = func(i int) int {
					// Every eighth router of a domain is fast.
					if i/3%8 == 1 {
						return fastMbps
					}
					return slowMbps
				}
			})
			b := newBalancer(m, domain)
			first := b.home("largest")
			if m.link(first) != slowMbps {
				t.Fatal("the account begins at a fast link")
			}
			m.run(40 * time.Second)
			settled := b.home("largest")
			if m.link(settled) != fastMbps {
				t.Errorf("after 40 s the account is at router %d of %d Mbit/s, at first at %d", settled, m.link(settled), first)
			}
			for i := range m.routers {
				m.restart(i, 600*time.Millisecond)
			}
			m.run(6 * time.Second)
			if got := b.home("largest"); got != settled {
				t.Errorf("after a restart of all routers the account is at %d, before at %d", got, settled)
			}
		})
	}
}

// TestRotationKeepsMostRouters guards against an overload of the whole fleet that takes it out of
// rotation: a balancer would take no account of readiness then, or have nobody left.
func TestRotationKeepsMostRouters(t *testing.T) {
	for _, routers := range []int{8, 72} {
		m := newLimitModel(t, 1, routers, 4, func(m *limitModel) {
			m.linkMbps = func(i int) int {
				if i < 3 {
					return fastMbps
				}
				return slowMbps
			}
		})
		for range 100 {
			for i := range m.routers {
				m.feed(i, CallerLoad{LinkPart: 2})
			}
			m.run(limitTick)
		}
		ready, all := map[waxwingwall.Domain]int{}, map[waxwingwall.Domain]int{}
		for _, r := range m.routers {
			all[r.edge.info.Domain]++
			if r.edge.Ready() {
				ready[r.edge.info.Domain]++
			}
		}
		for domain, n := range all {
			if 2*ready[domain] < n {
				t.Errorf("%d of %d routers of %s are ready", ready[domain], n, domain)
			}
		}
	}
}

// TestEqualLinksStayInRotation guards against routers that pass an overload on to others that carry
// no more than they do.
func TestEqualLinksStayInRotation(t *testing.T) {
	m := newLimitModel(t, 1, 8, 4, func(m *limitModel) {
		m.linkMbps = func(int) int { return slowMbps }
	})
	for range 20 {
		m.feed(1, CallerLoad{LinkPart: 2})
		m.run(limitTick)
	}
	if !m.routers[1].edge.Ready() {
		t.Error("a router left the rotation, and no other has a faster link")
	}
}

// TestRotationEnds guards against a router that stays out of rotation for good after one
// overload.
func TestRotationEnds(t *testing.T) {
	m := newLimitModel(t, 1, 8, 4, func(m *limitModel) {
		m.linkMbps = func(i int) int {
			if i < 3 {
				return fastMbps
			}
			return slowMbps
		}
	})
	for range 20 {
		m.feed(4, CallerLoad{LinkPart: 2})
		m.run(limitTick)
	}
	if m.routers[4].edge.Ready() {
		t.Fatal("the router is in rotation while its link is overloaded")
	}
	m.feed(4, CallerLoad{})
	m.run(rotationHold - 10*time.Second)
	if m.routers[4].edge.Ready() {
		t.Error("the router is back too early")
	}
	m.run(20 * time.Second)
	if !m.routers[4].edge.Ready() {
		t.Error("the router does not come back")
	}
}
