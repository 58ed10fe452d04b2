package edge

import (
	"math"
	"time"

	"waxwingwall"
)

const (
	// rotationHold is how long a router stays out of rotation: the callers that are placed at it
	// come back as soon as it is ready again.
	rotationHold = 10 * time.Minute

	// minReadyPart is the part of a failure domain's routers that stays ready. A balancer that
	// finds fewer of them ready takes no account of readiness.
	minReadyPart = 0.5

	// For searchTime after a router of its failure domain has left, a slow router that is asked
	// for movedPart of its link for movedTime has the callers of that one.
	searchTime = 5 * time.Second
	movedPart  = 0.4
	movedTime  = 100 * time.Millisecond

	// rotationReview is the time between two reviews of whether the router may stay out.
	rotationReview = 200 * time.Millisecond

	// rotationRetry is how long a router that returned for want of ready ones stays in rotation.
	rotationRetry = 10 * time.Second
)

// rotation is the state of a router that tells the platform whether to place callers at it.
//
// Some callers take no addresses from the directory: the platform places all of an account's at
// one router of their failure domain, whatever its link, and goes by the readiness probe alone. If they ask
// for more than the link carries, neither refusals nor answers of the directory move them. The
// router then leaves the rotation: it fails the probe and serves what still arrives.
type rotation struct {
	// out is set while the router is out of rotation, until the time until. It does not leave
	// before stayUntil.
	out              bool
	until, stayUntil time.Time

	// peerLeftAt is when a router of the failure domain was last seen to leave.
	peerLeftAt time.Time

	// reviewedAt is when the router last reviewed whether it may stay out.
	reviewedAt time.Time

	// writtenOut is out in the router's own row, pendingOut in the write in flight.
	writtenOut, pendingOut bool

	// keptLogged is set once the log has an entry that this overload leaves the router in
	// rotation.
	keptLogged bool
}

// domainReadiness counts the routers of this router's failure domain.
type domainReadiness struct {
	// routers counts those with a row, ready the others that accept callers, and out the
	// others that are out of rotation.
	routers, ready, out int

	// before counts those of out that come before this router if some have to return.
	before int

	// fastest is the speed of the fastest link among the ready ones, in Mbit/s.
	fastest int
}

// mayBeOut returns how many routers may be out of rotation.
func (d domainReadiness) mayBeOut() int {
	return d.ready + d.out + 1 - int(math.Ceil(minReadyPart*float64(d.routers)))
}

// rotationStep takes the router out of rotation once its link is overloaded, and back in.
func (e *Edge) rotationStep() {
	t := &e.rotation
	if t.out {
		e.reviewRotation()
		return
	}
	var reason string
	switch {
	case e.overloaded():
		reason = "overload"
	case e.hasMovedCallers():
		reason = "moved_callers"
	default:
		t.keptLogged = false
		return
	}
	if e.now.Before(t.stayUntil) {
		return
	}
	d := e.domainReadiness()
	switch {
	case !e.slowerThan(d.fastest):
		e.keepInRotation("no_faster_link", d)
	case d.out >= d.mayBeOut():
		e.keepInRotation("few_ready", d)
	default:
		e.leaveRotation(reason, d)
	}
}

// hasMovedCallers reports whether the callers of a router that has just left seem to be placed
// here. They ask for more than a slow link carries, so nothing is gained by waiting until it is full.
func (e *Edge) hasMovedCallers() bool {
	since, left := e.overload.movedSince, e.rotation.peerLeftAt
	return !since.IsZero() && e.now.Sub(since) >= movedTime && !left.IsZero() && e.now.Sub(left) < searchTime
}

// reviewRotation lets the router return after its time, or if too few are ready: several may
// leave at once, and ready ones may die.
func (e *Edge) reviewRotation() {
	t := &e.rotation
	if !e.now.Before(t.until) {
		e.enterRotation("time", e.domainReadiness())
		return
	}
	if e.now.Sub(t.reviewedAt) < rotationReview {
		return
	}
	t.reviewedAt = e.now
	if d := e.domainReadiness(); d.before >= d.mayBeOut() {
		e.enterRotation("few_ready", d)
	}
}

// enterRotation puts the router back into rotation.
func (e *Edge) enterRotation(reason string, d domainReadiness) {
	e.rotation.out = false
	e.rotation.stayUntil = e.now.Add(rotationRetry)
	e.logRotation("rotation_entered", reason, d)
}

// slowerThan reports whether the router's link counts as slow beside a faster one.
func (e *Edge) slowerThan(fastest int) bool {
	return e.info.LinkMbps > 0 && e.info.LinkMbps*slowLinkFactor < fastest
}

// leaveRotation takes the router out of rotation.
func (e *Edge) leaveRotation(reason string, d domainReadiness) {
	e.rotation.out = true
	e.rotation.until = e.now.Add(rotationHold)
	e.logRotation("rotation_left", reason, d)
}

// keepInRotation logs, once in an overload, why the router does not leave.
func (e *Edge) keepInRotation(reason string, d domainReadiness) {
	e.rotation.stayUntil = e.now.Add(rotationReview)
	if e.rotation.keptLogged {
		return
	}
	e.rotation.keptLogged = true
	e.logRotation("rotation_kept", reason, d)
}

func (e *Edge) logRotation(event, reason string, d domainReadiness) {
	e.log(event, "", field("reason", reason), field("asked", e.overload.load.LinkPart), field("wait", e.overload.load.Wait), field("link_mbps", e.info.LinkMbps),
		field("fastest_mbps", d.fastest), field("ready", d.ready), field("out", d.out), field("routers", d.routers))
}

// domainReadiness counts the routers of this router's failure domain.
func (e *Edge) domainReadiness() domainReadiness {
	d := domainReadiness{
		routers: 1,
	}
	for i, n := range e.nodes.rows {
		if n.row.Domain == e.info.Domain && i.VM != e.Self.VM && i.Boot == e.nodes.newest[i.VM] {
			d.routers++
		}
	}
	for _, p := range e.view.Peers(e.now) {
		if p.Domain != e.info.Domain || !p.Alive || p.Suspect || p.Leaving {
			continue
		}
		if e.peerOut(p.Incarnation) {
			d.out++
			if p.Incarnation.VM < e.Self.VM {
				d.before++
			}
			continue
		}
		d.ready++
		d.fastest = max(d.fastest, e.peerLink(p.Incarnation))
	}
	return d
}

// peerOut reports whether a router is out of rotation.
func (e *Edge) peerOut(p waxwingwall.Incarnation) bool {
	n := e.nodes.rows[p]
	return n != nil && n.row.Out
}

// adoptRotation keeps the router out of rotation if the process before on its VM was: the
// callers that were placed at it would come back. The others may be starting as well, so the review
// waits for their heartbeats.
func (e *Edge) adoptRotation() {
	if e.rotation.out {
		return
	}
	for i, n := range e.nodes.rows {
		if i.VM == e.Self.VM && n.row.Out {
			e.leaveRotation("restart", e.domainReadiness())
			e.rotation.reviewedAt = e.now.Add(firstHeartbeatTimeout)
			return
		}
	}
}
