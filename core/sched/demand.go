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
	// DefaultDemandInterval is the default minimum time between Demand
	// messages.
	DefaultDemandInterval = 50 * time.Millisecond

	// maxDemandInterval is the maximum time between Demand messages; demandTTL
	// is the time for which a received one is valid. Both, as well as the minimum
	// time, are multiplied by intervalFactor.
	maxDemandInterval = 250 * time.Millisecond
	demandTTL         = time.Second

	// fullRatePeers is the number of peers up to which messages are sent at the
	// full rate.
	fullRatePeers = 8

	// maxDemandSlots and maxFlows limit what a Demand may hold.
	maxDemandSlots = 1_000_000
	maxFlows       = 1 << 16

	// contendedUtilization is the utilization of a pool above which routers
	// send changes without waiting for maxDemandInterval.
	contendedUtilization = 0.75
)

// Demand is the message by which routers share the endpoints: the sender's
// demand for slots and the location of its running requests.
type Demand struct {
	// Seq is the sender's sequence number; a message that is not newer than the
	// last one is dropped.
	Seq uint64

	// Flows is the sender's demand.
	Flows []FlowDemand

	// Loads counts the sender's running requests by endpoint.
	Loads []EndpointLoad

	// Suspects are new crash notices, Parts what changed about the prefixes of
	// prompts under which endpoints crashed.
	Suspects []quarantine.Notice
	Parts    []quarantine.Suspect
}

// FlowDemand is a router's demand for one account, rank and model.
type FlowDemand struct {
	Model   waxwingwall.Model
	Rank    waxwingwall.Rank
	Account waxwingwall.Account

	// Slots is the number of concurrent requests, rounded up to a quarter.
	Slots float64
}

// EndpointLoad is the number of requests that a router runs on one endpoint.
type EndpointLoad struct {
	Endpoint waxwingwall.Endpoint
	Requests int

	// Suspect is set if one of them is suspected of crashing endpoints.
	Suspect bool
}

// peer is another router and its last Demand.
type peer struct {
	inc        waxwingwall.Incarnation
	lastDemand Demand
	receivedAt time.Time
}

// live reports whether the peer's last Demand is still valid. factor multiplies
// demandTTL.
func (p *peer) live(now time.Time, factor time.Duration) bool {
	return !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < factor*demandTTL
}

// SetPeers replaces the table of the other routers that share the endpoints. A
// peer that is not live is assumed to use an equal share of them, and a router
// without live peers uses no more than its equal share.
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
	s.updateLimiter()
	s.updatePeerInFlight(now)
	s.sharesStale = true
	s.peerDemandStale = true
	s.demandUnsent = true
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

func (s *Scheduler) handleReceived(now time.Time, ev effect.Received) {
	d, ok := ev.Message.(Demand)
	if !ok {
		return
	}
	if !d.valid() {
		s.rejected++
		return
	}
	for _, n := range d.Suspects {
		s.crashes.Merge(now, n)
	}
	for _, part := range d.Parts {
		s.parts.Merge(now, part)
	}
	for _, p := range s.peers {
		if p.inc == ev.From && d.Seq > p.lastDemand.Seq {
			p.lastDemand = d
			p.receivedAt = now
			s.updatePeerInFlight(now)
			s.sharesStale = true
			s.peerDemandStale = true
		}
	}
}

// valid reports whether a router can have sent the message.
func (d *Demand) valid() bool {
	if len(d.Flows) > maxFlows || len(d.Loads) > maxFlows {
		return false
	}
	for _, f := range d.Flows {
		if !(f.Slots >= 0 && f.Slots <= maxDemandSlots) { // also if it is no number
			return false
		}
	}
	for _, l := range d.Loads {
		if l.Requests < 0 || l.Requests > maxDemandSlots {
			return false
		}
	}
	return true
}

// updatePeerInFlight sums the peers' reported loads for each endpoint. A peer
// that is not live is assumed to use an equal share of each.
func (s *Scheduler) updatePeerInFlight(now time.Time) {
	stalePeers := 0
	for _, p := range s.peers {
		if !p.live(now, s.intervalFactor()) {
			stalePeers++
		}
	}
	fraction := float64(stalePeers) / float64(len(s.peers)+1)
	for _, e := range s.endpoints {
		e.peerInFlight = int(e.window * fraction)
	}
	for _, p := range s.peers {
		if !p.live(now, s.intervalFactor()) {
			continue
		}
		for _, l := range p.lastDemand.Loads {
			if e := s.byName[l.Endpoint]; e != nil {
				e.peerInFlight += l.Requests
			}
		}
	}
}

// sendDueDemand returns the Demand messages that are due.
func (s *Scheduler) sendDueDemand(now time.Time) []effect.Action {
	since := now.Sub(s.lastSent)
	factor := s.intervalFactor()
	due := s.demandUnsent && since >= factor*s.demandInterval && s.contended() || since >= factor*maxDemandInterval
	if !due || s.self.IsZero() || len(s.peers) == 0 {
		return nil
	}
	return s.sendDemand(now, nil)
}

// intervalFactor returns the factor for the intervals between messages. It
// grows with the fleet, so that a router in a large fleet sends about as many
// messages a second as one in a small fleet.
func (s *Scheduler) intervalFactor() time.Duration {
	return time.Duration(max(1, len(s.peers)/fullRatePeers))
}

// contended reports whether the utilization of a pool is so high that the peers
// need every change.
func (s *Scheduler) contended() bool {
	for _, p := range s.pools {
		load, window := 0.0, 0.0
		for _, e := range p.endpoints {
			load += float64(e.load())
			window += e.window
		}
		if load > contendedUtilization*window {
			return true
		}
	}
	return false
}

func (s *Scheduler) sendDemand(now time.Time, notices []quarantine.Notice, parts ...quarantine.Suspect) []effect.Action {
	s.demandUnsent = false
	s.lastSent = now
	s.seq++
	d := Demand{
		Seq:      s.seq,
		Flows:    s.flowDemands(now),
		Loads:    s.endpointLoads(now),
		Suspects: notices,
		Parts:    parts,
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

func (s *Scheduler) flowDemands(now time.Time) []FlowDemand {
	var all []FlowDemand
	for _, p := range s.pools {
		for _, c := range p.classes {
			for _, f := range c.flows {
				if want := f.demand(now); want > negligibleSlots {
					all = append(all, FlowDemand{
						Model:   f.model,
						Rank:    c.spec.Level,
						Account: f.account,
						Slots:   math.Ceil(want*slotFractions) / slotFractions,
					})
				}
			}
		}
	}
	return all
}

const (
	// negligibleSlots is the demand below which a flow is not reported.
	negligibleSlots = 0.01

	// slotFractions is the precision of reported demand: quarters of a slot
	// have a short encoding.
	slotFractions = 4
)

func (s *Scheduler) endpointLoads(now time.Time) []EndpointLoad {
	var all []EndpointLoad
	for _, e := range s.endpoints {
		if len(e.running) > 0 {
			all = append(all, EndpointLoad{
				Endpoint: e.spec.Name,
				Requests: len(e.running),
				Suspect:  s.runsSuspect(now, e, nil),
			})
		}
	}
	return all
}
