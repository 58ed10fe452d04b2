package sched

import (
	"slices"
	"strings"
	"time"

	"waxwingwall/core/queue"
)

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
	demands := make([][]queue.Demand, len(p.classes))
	for i, c := range p.classes {
		demands[i] = s.accountDemands(now, c)
	}
	alloc := divideByRank(p.classes, demands, capacity)
	p.granted = 0
	for i, c := range p.classes {
		queue.DivideByWeight(demands[i], alloc.Granted[i])
		assignGrants(c, demands[i], now)
		p.granted += c.granted
	}
	p.spare = alloc.Spare / live
	p.headroom = alloc.Headroom
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
			c.peerDemand = append(c.peerDemand, queue.Demand{
				Account: d.Account,
				Weight:  s.weight(d.Account),
				Want:    d.Slots,
			})
		}
	}
}

// mergePeerDemand merges the entries of each account and sorts them by account.
func (c *class) mergePeerDemand() {
	slices.SortStableFunc(c.peerDemand, func(a, b queue.Demand) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	merged := c.peerDemand[:0]
	for _, d := range c.peerDemand {
		if n := len(merged); n > 0 && merged[n-1].Account == d.Account {
			merged[n-1].Want += d.Want
			continue
		}
		merged = append(merged, d)
	}
	c.peerDemand = merged
}

// accountDemands returns the accounts' demand for a class, at this router and
// at live peers, sorted by account.
func (s *Scheduler) accountDemands(now time.Time, c *class) []queue.Demand {
	all := make([]queue.Demand, 0, len(c.peerDemand)+len(c.flows))
	rest := c.peerDemand
	for _, f := range c.flows {
		for len(rest) > 0 && rest[0].Account < f.account {
			all = append(all, rest[0])
			rest = rest[1:]
		}
		n := len(all)
		if n == 0 || all[n-1].Account != f.account {
			d := queue.Demand{
				Account: f.account,
				Weight:  s.weight(f.account),
			}
			if len(rest) > 0 && rest[0].Account == f.account {
				d = rest[0]
				rest = rest[1:]
			}
			all = append(all, d)
			n++
		}
		all[n-1].Want += f.demand(now)
	}
	return append(all, rest...)
}

// divideByRank divides the capacity among the classes.
func divideByRank(classes []*class, demands [][]queue.Demand, capacity float64) queue.Allocation {
	want := make([]float64, len(classes))
	floors := make([]float64, len(classes))
	for i, c := range classes {
		for _, d := range demands[i] {
			want[i] += d.Want
		}
		floors[i] = c.spec.Floor
	}
	return queue.DivideByRank(want, floors, capacity)
}

// assignGrants sets the router's grants in the class and its flows.
func assignGrants(c *class, demands []queue.Demand, now time.Time) {
	c.granted = 0
	k := 0
	for _, f := range c.flows {
		for demands[k].Account != f.account {
			k++
		}
		f.granted = 0
		if d := demands[k]; d.Want > 0 {
			f.granted = d.Granted * f.demand(now) / d.Want
		}
		c.granted += f.granted
	}
}
