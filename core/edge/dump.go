package edge

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/brittle"
	"waxwingwall/core/escrow"
	"waxwingwall/core/limit"
	"waxwingwall/core/member"
)

// EndpointState is the state of an endpoint in a dump.
type EndpointState struct {
	// Replica is the endpoint's registration in the store.
	Replica waxwingwall.Replica `json:"replica"`

	// Running counts this router's requests at the endpoint, PeersRunning those of
	// its peers.
	Running      int `json:"running"`
	PeersRunning int `json:"others"`

	// FailureRate is the decaying fraction of failed attempts. Slowdown is the
	// smoothed ratio of the actual to the expected time to the first part of an
	// answer.
	FailureRate float64 `json:"faults"`
	Slowdown    float64 `json:"pace"`

	// Backoff is the remaining time for which the endpoint is avoided while others
	// are available.
	Backoff time.Duration `json:"avoid"`

	// Tunneled is set while requests reach the endpoint through peers.
	Tunneled bool `json:"tunneled"`

	// Evacuated is set while the failure domain is to be empty.
	Evacuated bool `json:"evacuated"`

	// Announced is set if the endpoint said in an answer that it leaves.
	Announced bool `json:"announced"`

	// Paused is the remaining time for which the endpoint asked to be sent nothing.
	Paused time.Duration `json:"paused"`

	// Cold is the remaining time for which the endpoint has the limit of a cold one.
	Cold time.Duration `json:"cold"`

	// Missing is set while the endpoint's entry is missing after an outage of the
	// store and may still reappear.
	Missing bool `json:"returns"`
}

// LimitState is the state of the limits of one service in a dump.
type LimitState struct {
	// Service is the service, Notices are what is known of the limits of its endpoints.
	Service waxwingwall.Model `json:"service"`
	Notices []limit.Notice    `json:"notices"`

	// Held is the part of the limits that this router may use, from 0 to 1; Waiting
	// counts the requests, of all routers, that wait here for a permit.
	Held    float64 `json:"held"`
	Waiting int     `json:"waiting"`
}

// BrittleState is the state of one service with brittle endpoints in a dump.
type BrittleState struct {
	// Service is the service, Declines the number of requests that each endpoint can
	// decline in a second.
	Service  waxwingwall.Model `json:"service"`
	Declines int               `json:"declines"`
}

// State is a dump of an Edge.
type State struct {
	// Self is the incarnation; Registered is set once its row is written.
	Self       waxwingwall.Incarnation `json:"self"`
	Registered bool                    `json:"registered"`

	// Version is the version of the active configuration.
	Version int64 `json:"version"`

	// StoreLost is set while the store can't be read.
	StoreLost bool `json:"store_lost"`

	// Requests counts the requests in flight.
	Requests int `json:"requests"`

	// Evacuations are what is known of failure domains that are to be empty; EvacuatedSince is
	// since when they are at this router, in their order.
	Evacuations    EvacuationState `json:"evacuations"`
	EvacuatedSince []time.Time     `json:"evacuated_since"`

	// EvacuationsDiffer are the peers that report here with another set.
	EvacuationsDiffer []waxwingwall.Incarnation `json:"evacuations_differ"`

	// Endpoints are grouped by service and sorted by name.
	Endpoints []EndpointState `json:"endpoints"`

	// Limits are those of the services with endpoints that named any.
	Limits []LimitState `json:"limits"`

	// Brittle are the services with brittle endpoints; Slots are the endpoints of these
	// whose slots this router leases.
	Brittle []BrittleState `json:"brittle"`
	Slots   []brittle.Row  `json:"slots"`

	// Queues are those of the services whose room was short in the last seconds.
	Queues []QueueState `json:"queues"`

	// Peers are the other routers.
	Peers []member.Peer `json:"peers"`

	// Budgets are the shares held by this router.
	Budgets []escrow.Balance `json:"budgets"`

	// Draining is set once a graceful stop has begun.
	Draining bool `json:"draining"`
}

// Dump returns the whole state for diagnosis.
func (e *Edge) Dump(now time.Time) State {
	s := State{
		Self:       e.Self,
		Registered: e.nodes.registered,
		Version:    e.config.version,
		StoreLost:  e.endpoints.storeUnavailable,
		Requests:   len(e.requests),
		Peers:      slices.Clone(e.view.Peers(now)),
		Draining:   !e.drainStart.IsZero(),
		Slots:      e.guard.Rows(),
	}
	s.Queues = e.queueStates()
	s.Evacuations = e.evacuationState()
	s.EvacuationsDiffer = e.evacuationsDiffer()
	for _, d := range s.Evacuations.Domains {
		s.EvacuatedSince = append(s.EvacuatedSince, e.evacuations.since[d])
	}
	for _, service := range e.config.configuration.Services {
		if declines, brittle := e.guard.Declines(service.Name); brittle {
			s.Brittle = append(s.Brittle, BrittleState{
				Service:  service.Name,
				Declines: declines,
			})
		}
		for _, row := range e.endpoints.byService[service.Name] {
			s.Endpoints = append(s.Endpoints, EndpointState{
				Replica:      row.replica,
				Running:      row.running,
				PeersRunning: row.peerLoad.running,
				FailureRate:  row.failureRate,
				Slowdown:     row.slowdown,
				Backoff:      max(row.backoffUntil.Sub(now), 0),
				Tunneled:     row.tunneled,
				Evacuated:    row.evacuated,
				Announced:    row.announced,
				Paused:       e.pauses.left(now, row.replica),
				Cold:         max(row.cold.until.Sub(now), 0),
				Missing:      !row.missingSince.IsZero(),
			})
		}
	}
	for _, n := range e.limits.Notices() {
		if last := len(s.Limits) - 1; last >= 0 && s.Limits[last].Service == n.Pool {
			s.Limits[last].Notices = append(s.Limits[last].Notices, n)
			continue
		}
		held, waiting := e.limits.Held(n.Pool)
		s.Limits = append(s.Limits, LimitState{
			Service: n.Pool,
			Notices: []limit.Notice{n},
			Held:    held,
			Waiting: waiting,
		})
	}
	for i := range e.config.configuration.Accounts {
		a := &e.config.configuration.Accounts[i]
		if a.Metered {
			s.Budgets = append(s.Budgets, e.book.Balance(waxwingwall.Budget(a.Name)))
		}
	}
	return s
}
