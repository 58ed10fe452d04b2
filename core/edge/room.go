package edge

import (
	"math"
	"time"

	"waxwingwall"
	"waxwingwall/core/member"
	"waxwingwall/core/queue"
)

const (
	// roomTTL is how long a report counts in the estimate of the room: longer than in
	// placement, since the sum over a service changes less than the load of one endpoint.
	roomTTL = 3 * time.Second

	// lostTTL is how long the last report of a router counts that isn't seen any more.
	lostTTL = 30 * time.Second

	// peersInterval is the time between two looks at what is known of the peers.
	peersInterval = 50 * time.Millisecond

	// engineQueue and serviceQueue are the parts of its slots that may wait at an endpoint: it
	// has the next request there when one ends, and an engine orders them by rank itself.
	engineQueue  = 0.25
	serviceQueue = 1.0

	// declineTime is how long an endpoint that declined for want of room takes no more than
	// it runs.
	declineTime = 300 * time.Millisecond

	// runTimeSmoothing is the number of requests over which the run time is smoothed.
	runTimeSmoothing = 16

	// unlimitedRoom stands for the room of a service of which it isn't known.
	unlimitedRoom = 1 << 20
)

// peerRoom is what a router knows of another one at a service.
type peerRoom struct {
	// running and waiting count its requests there, if known is set; age is that of the report.
	running, waiting int
	known            bool
	age              time.Duration

	// listed is set if callers use the router, as far as its link tells; lost if it is
	// registered, but not seen.
	listed, lost bool
}

// peerDemand is what the other routers use and want of a service, in requests.
type peerDemand struct {
	// demand is the sum, active the number of routers that have any, both estimated where no
	// report is at hand.
	demand, active float64

	// reports is the number of those at hand, oldest the age of the oldest, peers the number of
	// other routers, lost that of those that aren't seen.
	reports, peers, lost int
	oldest               time.Duration
}

// sumPeers estimates the demand of the other routers. One without a report counts as the mean
// of those with one that callers use as it is used; if there is none of these, as idle if
// callers don't use it. One that isn't seen may still run: it counts as it last reported, and as
// that mean if this is more, since what makes the demand of others grow does so for it as well.
func sumPeers(peers []peerRoom) peerDemand {
	d := peerDemand{
		peers: len(peers),
	}
	var all, class peerDemand
	for _, listed := range []bool{false, true} {
		class = peerDemand{}
		for _, p := range peers {
			if p.listed == listed && p.known && !p.lost {
				class.add(p, float64(p.running+p.waiting))
			}
		}
		all.demand += class.demand
		all.active += class.active
		all.reports += class.reports
		from := class
		if class.reports == 0 && listed {
			from = all
		}
		mean := from.demand / float64(max(from.reports, 1))
		for _, p := range peers {
			switch {
			case p.listed != listed || p.known && !p.lost:
			case p.known:
				class.add(p, max(float64(p.running+p.waiting), mean))
			default:
				class.demand += mean
				class.active += from.active / float64(max(from.reports, 1))
			}
			if p.listed == listed && p.lost {
				d.lost++
			}
		}
		d.demand += class.demand
		d.active += class.active
		d.reports += class.reports
		d.oldest = max(d.oldest, class.oldest)
	}
	return d
}

// add adds a router with a report.
func (d *peerDemand) add(p peerRoom, demand float64) {
	d.reports++
	d.oldest = max(d.oldest, p.age)
	d.demand += demand
	if demand > 0 {
		d.active++
	}
}

// routerRoom returns the number of requests that a router may have at a service with a number
// of slots, of which own run and more wait. While all requests of the fleet fit, it is what is
// free, divided among the routers that use the service; otherwise the slots are divided by
// demand. It is never less than the router's even part, and that alone if no report is at hand.
func routerRoom(slots, running, waiting int, d peerDemand) float64 {
	even := float64(slots) / float64(d.peers+1)
	if d.peers > 0 && d.reports == 0 {
		return even
	}
	own := float64(running + waiting)
	if free := float64(slots) - own - d.demand; free > 0 {
		return max(even, own+free/(d.active+1))
	}
	return max(even, float64(slots)*own/max(own+d.demand, 1))
}

// serviceSlots is what the endpoints of a service take from all routers together.
type serviceSlots struct {
	// slots are those of the usable endpoints and what may wait there; endpoints counts these,
	// full those that declined for want of room just now.
	slots, endpoints, full int

	// fit is the memory of the largest request that an engine has room for, largest that which
	// an idle one has; zero if memory isn't known.
	fit, largest waxwingwall.Tokens

	// unbounded is set if an endpoint that needs no permit names no slots, or if there is none;
	// the queue has no say then. permits is set if a permit may be had for another one.
	unbounded, permits bool
}

// serviceSlots sums up the endpoints of a service.
func (e *Edge) serviceSlots(service waxwingwall.Model) serviceSlots {
	s := e.config.services[service]
	engine := s != nil && s.Engine
	wait := serviceQueue
	if engine {
		wait = engineQueue
	}
	var sum serviceSlots
	slots := 0.0
	for _, row := range e.endpoints.byService[service] {
		if !row.usable() {
			continue
		}
		if e.limits.Limited(row.replica.Endpoint) {
			if e.limits.MayAsk(e.now, service) {
				sum.permits = true
				sum.addMemory(s, row)
			}
			continue
		}
		sum.endpoints++
		own := float64(e.slots(row))
		if own == 0 {
			sum.unbounded = true
			return sum
		}
		own = math.Ceil(own * (1 + wait))
		if e.now.Before(row.fullUntil) {
			sum.full++
			own = min(own, float64(row.running+row.peerLoad.running))
		}
		slots += own
		sum.addMemory(s, row)
	}
	sum.slots = int(slots)
	sum.unbounded = sum.endpoints == 0
	return sum
}

// addMemory adds the memory of an endpoint, if that of its service is known.
func (s *serviceSlots) addMemory(service *waxwingwall.Service, row *endpoint) {
	if service == nil || !service.Engine || service.Memory <= 0 {
		return
	}
	s.largest = waxwingwall.Tokens(float64(service.Memory) * usableMemoryShare)
	s.fit = max(s.fit, s.largest-row.memory-row.peerLoad.memory)
}

// givesRoom reports whether the slots of an endpoint are part of the room. What runs at others, as
// those that are left, takes none of it.
func (e *Edge) givesRoom(row *endpoint) bool {
	return row.usable() && !e.limits.Limited(row.replica.Endpoint)
}

// roomEstimate is the room of this router at a service with its inputs.
type roomEstimate struct {
	queue.Room
	serviceSlots
	peerDemand
	running int
	part    float64
}

// estimateRoom estimates the room of this router at a service.
func (e *Edge) estimateRoom(service waxwingwall.Model) roomEstimate {
	q := e.queueOf(service)
	est := roomEstimate{
		serviceSlots: e.serviceSlots(service),
	}
	for _, row := range e.endpoints.byService[service] {
		if e.givesRoom(row) {
			est.running += row.running
		}
	}
	runTime := e.usualRunTime(service, q)
	if est.unbounded || runTime == 0 {
		est.Requests = unlimitedRoom
		return est
	}
	if e.now.Sub(q.peersAt) >= peersInterval {
		q.peers = e.peerRooms(service)
		q.peersAt = e.now
	}
	est.peerDemand = sumPeers(q.peers)
	est.part = routerRoom(est.slots, est.running, q.Len(), est.peerDemand)
	est.Requests = int(math.Ceil(est.part)) - est.running
	if est.permits {
		est.Requests = max(est.Requests, 1)
	}
	est.Fit, est.Largest = est.fit, est.largest
	est.Rate = max(est.part, 1) / runTime.Seconds()
	return est
}

// peerRooms returns what is known of the other routers at a service.
func (e *Edge) peerRooms(service waxwingwall.Model) []peerRoom {
	var all []peerRoom
	fastest := e.info.LinkMbps
	view := e.view.Peers(e.now)
	for _, p := range view {
		fastest = max(fastest, e.peerLink(p.Incarnation))
	}
	seen := map[waxwingwall.VM]bool{e.Self.VM: true}
	for _, p := range view {
		seen[p.Incarnation.VM] = true
		all = append(all, e.peerRoom(service, p, fastest))
	}
	for vm, boot := range e.nodes.newest {
		if !seen[vm] {
			p := member.Peer{
				Incarnation: waxwingwall.Incarnation{
					VM:   vm,
					Boot: boot,
				},
			}
			all = append(all, e.peerRoom(service, p, fastest))
		}
	}
	return all
}

// peerRoom returns what is known of another router at a service.
func (e *Edge) peerRoom(service waxwingwall.Model, p member.Peer, fastest int) peerRoom {
	room := peerRoom{
		listed: !p.Leaving && e.peerLink(p.Incarnation)*slowLinkFactor >= fastest,
		lost:   !p.Alive,
	}
	r, ok := e.gossip.rooms[p.Incarnation]
	if age := e.now.Sub(r.at); ok && (age <= roomTTL || room.lost) {
		room.known = true
		room.age = age
		room.running = r.running[service]
		room.waiting = r.waiting[service]
	}
	return room
}
