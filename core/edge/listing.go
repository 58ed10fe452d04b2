package edge

import (
	"time"

	"waxwingwall"
)

const (
	// fullLinkPart is the part of its link that requests ask for from which a router is not
	// listed, and clearLinkPart the one below which it is listed again: callers that leave it
	// take what they ask for with them.
	fullLinkPart  = 1
	clearLinkPart = 0.7
)

// WithListHold sets how long a router that has started lists nobody unless it knows the others. The
// default is not to wait for them.
func WithListHold(d time.Duration) Option {
	return func(e *Edge) {
		e.listHold = d
	}
}

// SetLinkAsked sets the part of the VM's link that requests ask for.
func (e *Edge) SetLinkAsked(part float64) {
	full := part > fullLinkPart || e.linkFull && part > clearLinkPart
	if full == e.linkFull {
		return
	}
	e.linkFull = full
	e.gossip.loadChanged = true
	e.log("link_asked", "", field("part", part), field("full", full), field("link_mbps", e.info.LinkMbps))
}

// knowsFleet reports whether this router knows enough of the others to tell callers where to
// connect: it has the table of routers and hears half of the VMs in it. Otherwise it would list
// those that it happens to know, and callers would stay with them. Nobody waits for longer than
// listHold, as many may be dead.
func (e *Edge) knowsFleet(now time.Time) bool {
	l := &e.listed
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	if l.known || e.listHold == 0 {
		return true
	}
	others := map[waxwingwall.VM]bool{}
	for i := range e.nodes.rows {
		if i.VM != e.Self.VM {
			others[i.VM] = true
		}
	}
	heard := 0
	for _, p := range e.view.Peers(now) {
		if p.Alive && others[p.Incarnation.VM] {
			heard++
		}
	}
	after := now.Sub(l.startedAt)
	l.known = e.nodes.loaded && 2*heard >= len(others) || after >= e.listHold
	if l.known {
		e.log("fleet_known", "", field("routers", len(others)), field("heard", heard), field("loaded", e.nodes.loaded), field("after", after))
	}
	return l.known
}
