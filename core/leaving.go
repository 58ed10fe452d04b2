package core

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Spread of orders to drain endpoints.
const (
	// leavingInterval is the time between two tellings of the leaving endpoints.
	leavingInterval = 500 * time.Millisecond

	// leavingFanOut is how many peers are told each time.
	leavingFanOut = 8
)

// LeavingEndpoints is the message that spreads operators' orders to send
// nothing new to endpoints.
type LeavingEndpoints struct {
	// Endpoints get nothing new.
	Endpoints []waxwingwall.Endpoint
}

// leavingTable is the table of endpoints that operators drain. An endpoint stays in
// it until the configuration itself says that it is leavingTable, or gone.
type leavingTable struct {
	endpoints []waxwingwall.Endpoint

	// lastSent is when peers were last lastSent; turn picks the next ones.
	lastSent time.Time
	nextPeer int
}

// DrainEndpoint sends nothing new to an endpoint, here and soon everywhere.
func (n *Node) DrainEndpoint(now time.Time, e waxwingwall.Endpoint) []effect.Action {
	n.addLeaving(now, []waxwingwall.Endpoint{e})
	return n.takeActions(now)
}

// addLeaving notes orders; new ones take effect and are passed on at once.
func (n *Node) addLeaving(now time.Time, endpoints []waxwingwall.Endpoint) {
	added := false
	for _, e := range endpoints {
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

// pruneLeaving drops the orders that the configuration has taken over.
func (n *Node) pruneLeaving() {
	n.leaving.endpoints = slices.DeleteFunc(n.leaving.endpoints, func(name waxwingwall.Endpoint) bool {
		e, ok := n.document.Endpoint(name)
		return !ok || e.Leaving
	})
}

// sendLeaving tells a few peers, in turn; whoever learns something new tells
// others at once.
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
