package sched

import (
	"math"
	"sort"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/quarantine"
)

const (
	// DefaultDemandInterval is the least time between demand messages.
	DefaultDemandInterval = 50 * time.Millisecond

	// demandHeartbeat is the most time between demand messages, and
	// demandLife how long one counts.
	demandHeartbeat = 250 * time.Millisecond
	demandLife      = time.Second

	// fullPacePeers is the number of peers up to which messages are sent at
	// full pace.
	fullPacePeers = 8

	// contention is the part of a pool's slots in use above which routers tell
	// each other of changes between heartbeats.
	contention = 0.75
)

// Demand is the message by which routers share the endpoints: what a router
// could use, and where its requests run.
type Demand struct {
	// Seq counts the sender's messages; an older one than the last is dropped.
	Seq uint64

	// Flows is what the sender could use.
	Flows []FlowDemand

	// Loads is where the sender's requests run.
	Loads []EndpointLoad

	// Suspects tells of crashes.
	Suspects []quarantine.Notice
}

// FlowDemand is what a router could use for one account.
type FlowDemand struct {
	Model   waxwingwall.Model
	Rank    waxwingwall.Rank
	Account waxwingwall.Account

	// Slots counts requests at the same time, rounded up to a quarter.
	Slots float64
}

// EndpointLoad is how many requests a router has at one endpoint.
type EndpointLoad struct {
	Endpoint waxwingwall.Endpoint
	Requests int

	// Suspect is set if one of them is suspected of crashing endpoints.
	Suspect bool
}

// peer is another router and the last it told.
type peer struct {
	inc   waxwingwall.Incarnation
	last  Demand
	heard time.Time
}

// live reports whether the peer's last demand still counts; pace stretches the
// time for which it does.
func (p *peer) live(now time.Time, pace time.Duration) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < pace*demandLife
}

// SetPeers replaces the table of the other routers that share the endpoints. A
// peer that is not heard from is thought to use an equal part of them, and a
// router that hears no one uses no more than that.
func (s *Scheduler) SetPeers(now time.Time, peers []waxwingwall.Incarnation) {
	var table []*peer
	for _, inc := range peers {
		if inc != s.self {
			table = append(table, s.peer(inc))
		}
	}
	sort.Slice(table, func(i, j int) bool {
		return table[i].inc.String() < table[j].inc.String()
	})
	s.peers = table
	s.countForeign(now)
	s.changed = true
	s.heard = true
	s.unsent = true
}

func (s *Scheduler) peer(inc waxwingwall.Incarnation) *peer {
	for _, p := range s.peers {
		if p.inc == inc {
			return p
		}
	}
	return &peer{
		inc: inc,
	}
}

func (s *Scheduler) received(now time.Time, ev effect.Received) {
	d, ok := ev.Message.(Demand)
	if !ok {
		return
	}
	for _, n := range d.Suspects {
		s.suspects.Merge(now, n)
	}
	for _, p := range s.peers {
		if p.inc == ev.From && d.Seq > p.last.Seq {
			p.last = d
			p.heard = now
			s.countForeign(now)
			s.changed = true
			s.heard = true
		}
	}
}

// countForeign adds up what the peers told of the endpoints. A peer that is not
// heard from is thought to use an equal part of each.
func (s *Scheduler) countForeign(now time.Time) {
	unheard := 0
	for _, p := range s.peers {
		if !p.live(now, s.stretch()) {
			unheard++
		}
	}
	part := float64(unheard) / float64(len(s.peers)+1)
	for _, e := range s.endpoints {
		e.foreign = int(e.window * part)
	}
	for _, p := range s.peers {
		if !p.live(now, s.stretch()) {
			continue
		}
		for _, l := range p.last.Loads {
			if e := s.byName[l.Endpoint]; e != nil {
				e.foreign += l.Requests
			}
		}
	}
}

// tell returns the demand messages that are due.
func (s *Scheduler) tell(now time.Time) []effect.Action {
	since := now.Sub(s.lastSent)
	pace := s.stretch()
	due := s.unsent && since >= pace*s.demandInterval && s.contended() || since >= pace*demandHeartbeat
	if !due || s.self.IsZero() || len(s.peers) == 0 {
		return nil
	}
	return s.sendDemand(now, nil)
}

// stretch is by how much the times between messages are stretched: a router in a
// large fleet sends about as many messages a second as one in a small fleet.
func (s *Scheduler) stretch() time.Duration {
	return time.Duration(max(1, len(s.peers)/fullPacePeers))
}

// contended reports whether a pool is so full that the peers need to know of
// each change.
func (s *Scheduler) contended() bool {
	for _, p := range s.pools {
		load, window := 0.0, 0.0
		for _, e := range p.endpoints {
			load += float64(e.load())
			window += e.window
		}
		if load > contention*window {
			return true
		}
	}
	return false
}

func (s *Scheduler) sendDemand(now time.Time, suspects []quarantine.Notice) []effect.Action {
	s.unsent = false
	s.lastSent = now
	s.seq++
	d := Demand{
		Seq:      s.seq,
		Flows:    s.demands(now),
		Loads:    s.loads(now),
		Suspects: suspects,
	}
	var acts []effect.Action
	for _, p := range s.peers {
		acts = append(acts, effect.Send{
			To:      p.inc,
			Message: d,
		})
	}
	return acts
}

func (s *Scheduler) demands(now time.Time) []FlowDemand {
	var all []FlowDemand
	for _, p := range s.pools {
		for _, c := range p.classes {
			for _, f := range c.flows {
				if want := f.wanted(now); want > negligible {
					all = append(all, FlowDemand{
						Model:   f.model,
						Rank:    c.spec.Level,
						Account: f.account,
						Slots:   math.Ceil(want*slotParts) / slotParts,
					})
				}
			}
		}
	}
	return all
}

const (
	// negligible is a number of slots not worth a message.
	negligible = 0.01

	// slotParts rounds what is told to quarters of a slot, which encode short.
	slotParts = 4
)

func (s *Scheduler) loads(now time.Time) []EndpointLoad {
	var all []EndpointLoad
	for _, e := range s.endpoints {
		if len(e.running) > 0 {
			all = append(all, EndpointLoad{
				Endpoint: e.spec.Name,
				Requests: len(e.running),
				Suspect:  s.holdsSuspect(now, e),
			})
		}
	}
	return all
}
