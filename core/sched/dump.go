package sched

import (
	"time"

	"waxwingwall"
)

// Dump is the state of a Scheduler, for operators and tests.
type Dump struct {
	// Pools are the sets of endpoints that share models.
	Pools []PoolDump `json:"pools"`

	// Endpoints are sorted by name.
	Endpoints []EndpointDump `json:"endpoints"`

	// Peers counts the other routers, LivePeers those with a valid Demand.
	Peers     int `json:"peers"`
	LivePeers int `json:"peers_heard"`

	// RejectedMessages counts the invalid messages of peers.
	RejectedMessages int `json:"rejected_messages"`

	// RetriesLeft is the remaining retry budget.
	RetriesLeft float64 `json:"retries_left"`

	// Suspects counts the fingerprints whose runs ended with a crash.
	Suspects int `json:"suspects"`
}

// PoolDump is the state of one pool.
type PoolDump struct {
	// Capacity is the number of usable slots of the whole fleet; Granted and Spare
	// are the router's share. Headroom is not divided among the routers.
	Capacity float64 `json:"capacity"`
	Granted  float64 `json:"granted"`
	Spare    float64 `json:"spare"`
	Headroom float64 `json:"headroom"`

	// Ranks are in order of urgency, the most urgent first.
	Ranks []RankDump `json:"ranks"`
}

// RankDump is the state of one rank in a pool.
type RankDump struct {
	// Name is the name of the rank.
	Name string `json:"name"`

	// Granted is the router's share in slots.
	Granted float64 `json:"granted"`

	// Flows counts the pairs of account and model that have state.
	Flows int `json:"flows"`

	// Queued and InFlight count requests.
	Queued   int `json:"queued"`
	InFlight int `json:"in_flight"`
}

// EndpointDump is the state of one endpoint.
type EndpointDump struct {
	// Name is the name of the endpoint, Version that of its software.
	Name    waxwingwall.Endpoint `json:"name"`
	Version string               `json:"version"`

	// InFlight counts this router's attempts, PeerInFlight those of the peers.
	InFlight     int `json:"in_flight"`
	PeerInFlight int `json:"foreign"`

	// Window is the estimated limit for the sum of both.
	Window float64 `json:"window"`

	// BetweenTokens is the mean time between the endpoint's tokens, zero if
	// unknown.
	BetweenTokens time.Duration `json:"between_tokens"`

	// Leaving is set if the endpoint drains, BackingOff if it failed recently
	// and gets no new work.
	Leaving    bool `json:"leaving"`
	BackingOff bool `json:"resting"`
}

// Dump returns the state as of the last Offer or Step.
func (s *Scheduler) Dump() Dump {
	now := s.now
	d := Dump{
		Peers:            len(s.peers),
		RejectedMessages: s.rejected,
		RetriesLeft:      s.retries.Left(),
		Suspects:         s.crashes.Len(),
	}
	for _, p := range s.peers {
		if p.live(now, s.intervalFactor()) {
			d.LivePeers++
		}
	}
	for _, p := range s.pools {
		d.Pools = append(d.Pools, p.dump(now))
	}
	for _, e := range s.endpoints {
		d.Endpoints = append(d.Endpoints, EndpointDump{
			Name:          e.spec.Name,
			Version:       e.spec.Version,
			InFlight:      len(e.running),
			PeerInFlight:  e.peerInFlight,
			Window:        e.window,
			BetweenTokens: e.tokenGap.duration(),
			Leaving:       e.spec.Leaving,
			BackingOff:    now.Before(e.backoffUntil),
		})
	}
	return d
}

func (p *pool) dump(now time.Time) PoolDump {
	d := PoolDump{
		Capacity: p.capacity(now),
		Granted:  p.granted,
		Spare:    p.spare,
		Headroom: p.headroom,
	}
	for _, c := range p.classes {
		r := RankDump{
			Name:     c.spec.Name,
			Granted:  c.granted,
			Flows:    len(c.flows),
			InFlight: c.inFlight,
		}
		for _, f := range c.flows {
			r.Queued += len(f.queue)
		}
		d.Ranks = append(d.Ranks, r)
	}
	return d
}
