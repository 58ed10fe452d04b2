package sched

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"waxwingwall"
)

// headroomFactor times the square root of the most urgent class's demand is the
// number of slots kept free for its arrivals.
const headroomFactor = 2.0

// updateShares divides the endpoints' slots among the classes and flows.
func (s *Scheduler) updateShares(now time.Time) {
	s.sharesStale = false
	if s.peerDemandStale {
		s.collectPeerDemand(now)
	}
	for _, p := range s.pools {
		s.updatePoolShares(now, p)
	}
}

// accountDemand is the demand and the grant of one account in a class, over all
// routers, in slots.
type accountDemand struct {
	account waxwingwall.Account
	weight  float64
	want    float64
	granted float64
}

func (s *Scheduler) updatePoolShares(now time.Time, p *pool) {
	fleetCapacity := p.capacity(now)
	routers := float64(len(s.peers) + 1)
	live := 1.0
	for _, q := range s.peers {
		if q.live(now, s.intervalFactor()) {
			live++
		}
	}
	capacity := fleetCapacity * live / routers
	demands := make([][]accountDemand, len(p.classes))
	for i, c := range p.classes {
		demands[i] = s.accountDemands(now, c)
	}
	alloc := divideByRank(p.classes, demands, capacity)
	p.granted = 0
	for i, c := range p.classes {
		divideByWeight(demands[i], alloc.granted[i])
		assignGrants(c, demands[i], now)
		p.granted += c.granted
	}
	p.spare = alloc.spare / live
	p.headroom = alloc.headroom
}

// capacity returns the number of usable slots.
func (p *pool) capacity(now time.Time) float64 {
	sum := 0.0
	for _, e := range p.endpoints {
		if e.usable(now) {
			sum += e.window
		}
	}
	return sum
}

// collectPeerDemand sums the accounts' demand at live peers for each class.
func (s *Scheduler) collectPeerDemand(now time.Time) {
	s.peerDemandStale = false
	for _, p := range s.pools {
		for _, c := range p.classes {
			c.peerDemand = c.peerDemand[:0]
		}
	}
	for _, q := range s.peers {
		if q.live(now, s.intervalFactor()) {
			s.addPeerDemand(q)
		}
	}
	for _, p := range s.pools {
		for _, c := range p.classes {
			c.mergePeerDemand()
		}
	}
}

func (s *Scheduler) addPeerDemand(q *peer) {
	for _, d := range q.lastDemand.Flows {
		p := s.byModel[d.Model]
		if p == nil {
			continue
		}
		if c := p.class(d.Rank); c != nil {
			c.peerDemand = append(c.peerDemand, accountDemand{
				account: d.Account,
				weight:  s.weight(d.Account),
				want:    d.Slots,
			})
		}
	}
}

// mergePeerDemand merges the entries of each account and sorts them by account.
func (c *class) mergePeerDemand() {
	slices.SortStableFunc(c.peerDemand, func(a, b accountDemand) int {
		return strings.Compare(string(a.account), string(b.account))
	})
	merged := c.peerDemand[:0]
	for _, d := range c.peerDemand {
		if n := len(merged); n > 0 && merged[n-1].account == d.account {
			merged[n-1].want += d.want
			continue
		}
		merged = append(merged, d)
	}
	c.peerDemand = merged
}

// accountDemands returns the accounts' demand for a class, at this router and
// at live peers, sorted by account.
func (s *Scheduler) accountDemands(now time.Time, c *class) []accountDemand {
	all := make([]accountDemand, 0, len(c.peerDemand)+len(c.flows))
	rest := c.peerDemand
	for _, f := range c.flows {
		for len(rest) > 0 && rest[0].account < f.account {
			all = append(all, rest[0])
			rest = rest[1:]
		}
		n := len(all)
		if n == 0 || all[n-1].account != f.account {
			d := accountDemand{
				account: f.account,
				weight:  s.weight(f.account),
			}
			if len(rest) > 0 && rest[0].account == f.account {
				d = rest[0]
				rest = rest[1:]
			}
			all = append(all, d)
			n++
		}
		all[n-1].want += f.demand(now)
	}
	return append(all, rest...)
}

// allocation is the division of capacity among the classes, in slots.
type allocation struct {
	granted  []float64
	headroom float64
	spare    float64
}

// divideByRank grants each class its demand up to its floor, and then the
// remaining capacity in order of urgency.
func divideByRank(classes []*class, demands [][]accountDemand, capacity float64) allocation {
	alloc := allocation{
		granted: make([]float64, len(classes)),
	}
	want := make([]float64, len(classes))
	left := capacity
	for i, c := range classes {
		for _, d := range demands[i] {
			want[i] += d.want
		}
		alloc.granted[i] = min(want[i], c.spec.Floor*capacity)
		left -= alloc.granted[i]
	}
	for i := range classes {
		more := min(want[i]-alloc.granted[i], left)
		alloc.granted[i] += more
		left -= more
		if i == 0 {
			alloc.headroom = min(left, headroomFactor*math.Sqrt(want[0]))
			left -= alloc.headroom
		}
	}
	alloc.spare = left
	return alloc
}

// divideByWeight divides a class's slots among its accounts by weight (max-min
// fairness): no account gets more than its demand, and unused slots go to the
// others.
func divideByWeight(demands []accountDemand, slots float64) {
	order := make([]int, len(demands))
	weights := 0.0
	for i := range demands {
		order[i] = i
		weights += demands[i].weight
	}
	perWeight := func(i int) float64 { return demands[i].want / demands[i].weight }
	sort.SliceStable(order, func(a, b int) bool {
		x, y := perWeight(order[a]), perWeight(order[b])
		if x != y {
			return x < y
		}
		return demands[order[a]].account < demands[order[b]].account
	})
	for _, i := range order {
		d := &demands[i]
		d.granted = min(d.want, slots*d.weight/weights)
		slots -= d.granted
		weights -= d.weight
	}
}

// assignGrants sets the router's grants in the class and its flows.
func assignGrants(c *class, demands []accountDemand, now time.Time) {
	c.granted = 0
	k := 0
	for _, f := range c.flows {
		for demands[k].account != f.account {
			k++
		}
		f.granted = 0
		if d := demands[k]; d.want > 0 {
			f.granted = d.granted * f.demand(now) / d.want
		}
		c.granted += f.granted
	}
}
