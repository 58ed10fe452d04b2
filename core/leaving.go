package core

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Constants for spreading operators' orders to drain endpoints.
const (
	// leavingInterval is the interval at which the leaving endpoints are sent.
	leavingInterval = 500 * time.Millisecond

	// leavingFanOut is the maximum number of peers they are sent to each time.
	leavingFanOut = 8
)

// LeavingEndpoints is the message that spreads operators' orders to drain
// endpoints.
type LeavingEndpoints struct {
	// Endpoints receive no new requests.
	Endpoints []waxwingwall.Endpoint
}

// leavingTable holds the endpoints that operators drain. An endpoint stays in the
// table until the configuration marks it as leaving or no longer contains it.
type leavingTable struct {
	endpoints []waxwingwall.Endpoint

	// lastSent is when the table was last sent to peers; nextPeer selects the next
	// ones in rotation.
	lastSent time.Time
	nextPeer int
}

// DrainEndpoint stops sending new requests to an endpoint on this router and, once
// the order has spread, on all others.
func (n *Node) DrainEndpoint(now time.Time, e waxwingwall.Endpoint) []effect.Action {
	n.addLeaving(now, []waxwingwall.Endpoint{e})
	return n.takeActions(now)
}

// addLeaving adds endpoints to the table. New ones take effect and are sent on
// immediately.
func (n *Node) addLeaving(now time.Time, names []waxwingwall.Endpoint) {
	added := false
	for _, e := range names {
		if !slices.Contains(n.leaving.endpoints, e) {
			n.leaving.endpoints = append(n.leaving.endpoints, e)
			added = true
		}
	}
	if !added {
		return
	}
	n.leaving.lastSent = time.Time{}
	n.Scheduler.SetEndpoints(now, n.endpointSpecs())
	n.sendLeaving(now)
}

// pruneLeaving removes the endpoints that the configuration marks as leaving or no
// longer contains.
func (n *Node) pruneLeaving() {
	n.leaving.endpoints = slices.DeleteFunc(n.leaving.endpoints, func(name waxwingwall.Endpoint) bool {
		e, ok := n.document.Endpoint(name)
		return !ok || e.Leaving
	})
}

// sendLeaving sends the table to a few peers in rotation. A peer that receives new
// entries sends them on immediately.
func (n *Node) sendLeaving(now time.Time) {
	if len(n.leaving.endpoints) == 0 || now.Sub(n.leaving.lastSent) < leavingInterval {
		return
	}
	n.leaving.lastSent = now
	peers := n.View.Peers(now)
	for range min(leavingFanOut, len(peers)) {
		p := peers[n.leaving.nextPeer%len(peers)]
		n.leaving.nextPeer++
		if !p.Alive {
			continue
		}
		n.actions = append(n.actions, effect.Send{
			To: p.Incarnation,
			Message: LeavingEndpoints{
				Endpoints: slices.Clone(n.leaving.endpoints),
			},
		})
	}
}
