package edge

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/escrow"
	"waxwingwall/core/member"
)

// EndpointState is an endpoint in a dump.
type EndpointState struct {
	// Replica is what the store says.
	Replica waxwingwall.Replica `json:"replica"`

	// Running counts this router's requests, PeersRunning those of its peers.
	Running      int `json:"running"`
	PeersRunning int `json:"others"`

	// FailureRate is the decaying part of runs that failed, Slowdown how much longer
	// first answers take than expected.
	FailureRate float64 `json:"faults"`
	Slowdown    float64 `json:"pace"`

	// Backoff is how much longer it gets no work while others can.
	Backoff time.Duration `json:"avoid"`

	// Lapsed is set while its entry has time to return.
	Lapsed bool `json:"returns"`
}

// State is a dump of an Edge.
type State struct {
	// Self is the incarnation; Registered is set once its row is there.
	Self       waxwingwall.Incarnation `json:"self"`
	Registered bool                    `json:"registered"`

	// Version is that of the configuration in force.
	Version int64 `json:"version"`

	// StoreLost is set while the store can't be read.
	StoreLost bool `json:"store_lost"`

	// Requests counts those that have not ended.
	Requests int `json:"requests"`

	// Endpoints are in the order of their names.
	Endpoints []EndpointState `json:"endpoints"`

	// Peers are the other routers.
	Peers []member.Peer `json:"peers"`

	// Budgets are the shares held here.
	Budgets []escrow.Balance `json:"budgets"`

	// Draining is set once a graceful stop has begun.
	Draining bool `json:"draining"`
}

// Dump returns the whole state for people.
func (e *Edge) Dump(now time.Time) State {
	s := State{
		Self:       e.Self,
		Registered: e.nodes.registered,
		Version:    e.config.version,
		StoreLost:  e.endpoints.storeUnavailable,
		Requests:   len(e.requests),
		Peers:      e.view.Peers(now),
		Draining:   !e.drainStart.IsZero(),
	}
	for _, service := range e.config.configuration.Services {
		for _, row := range e.endpoints.byService[service.Name] {
			s.Endpoints = append(s.Endpoints, EndpointState{
				Replica:      row.replica,
				Running:      row.running,
				PeersRunning: row.peerLoad.running,
				FailureRate:  row.failureRate,
				Slowdown:     row.slowdown,
				Backoff:      max(row.avoidUntil.Sub(now), 0),
				Lapsed:       !row.lapsedAt.IsZero(),
			})
		}
	}
	for i := range e.config.configuration.Accounts {
		a := &e.config.configuration.Accounts[i]
		if a.Metered {
			s.Budgets = append(s.Budgets, e.book.Balance(waxwingwall.Budget(a.Name)))
		}
	}
	return s
}
