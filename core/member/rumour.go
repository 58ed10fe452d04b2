package member

import (
	"net/netip"
	"slices"
	"time"

	"waxwingwall"
)

// Rumour is what one router says of another, or of itself.
type Rumour struct {
	// Incarnation is whom it is about.
	Incarnation waxwingwall.Incarnation `json:"incarnation"`

	// Address and Callers are where it listens.
	Address netip.AddrPort `json:"address"`
	Callers netip.AddrPort `json:"callers"`

	// Domain is its failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// State is what is thought of it.
	State State `json:"state"`

	// Count is raised by the router itself alone, to speak up against a
	// suspicion and to tell that it is leaving.
	Count uint64 `json:"count"`

	// Leaving is set by the router itself.
	Leaving bool `json:"leaving"`
}

// supersedes reports whether r is newer than o. Every router decides alike, so all
// end with the same rumour whatever the order in which they heard.
func (r Rumour) supersedes(o Rumour) bool {
	if r.Incarnation.Boot != o.Incarnation.Boot {
		return r.Incarnation.Boot > o.Incarnation.Boot
	}
	if r.Count != o.Count {
		return r.Count > o.Count
	}
	return r.State > o.State
}

// queuedRumour is a rumour with how often it was queuedRumour.
type queuedRumour struct {
	vm   waxwingwall.VM
	sent int
}

// enqueue queues what is known of a VM for telling.
func (v *View) enqueue(vm waxwingwall.VM) {
	v.gossip = slices.DeleteFunc(v.gossip, func(t queuedRumour) bool { return t.vm == vm })
	v.gossip = append(v.gossip, queuedRumour{
		vm: vm,
	})
}

// nextRumours takes those told least often.
func (v *View) nextRumours() []Rumour {
	slices.SortStableFunc(v.gossip, func(a, b queuedRumour) int { return a.sent - b.sent })
	var rumours []Rumour
	for i := range v.gossip {
		if len(rumours) == maxRumours {
			break
		}
		t := &v.gossip[i]
		t.sent++
		if t.vm == v.self.Incarnation.VM {
			continue
		}
		if r := v.find(t.vm); r != nil {
			rumours = append(rumours, r.rumour)
		}
	}
	enough := 4 * v.logSize()
	v.gossip = slices.DeleteFunc(v.gossip, func(t queuedRumour) bool { return t.sent >= enough })
	return rumours
}

// merge takes in a rumour; tell wants it passed on.
func (v *View) merge(now time.Time, heard Rumour, tell bool) {
	vm := heard.Incarnation.VM
	if vm == v.self.Incarnation.VM {
		v.refute(now, heard)
		return
	}
	if heard.Incarnation.Boot == 0 {
		return
	}
	r := v.find(vm)
	if r == nil {
		if heard.State == Dead {
			return
		}
		r = v.findOrAdd(now, vm)
	}
	if !heard.supersedes(r.rumour) {
		return
	}
	v.replace(now, r, heard, tell)
}

// replace puts a newer rumour into a row and tells it on, if that is asked for
// or the news is bad.
func (v *View) replace(now time.Time, r *row, heard Rumour, tell bool) {
	newBoot := heard.Incarnation.Boot != r.rumour.Incarnation.Boot
	newState := heard.State != r.rumour.State
	r.rumour = heard
	if newBoot || newState {
		r.stateSince = now
	}
	if newBoot || newState && heard.State == Alive {
		r.probedAt = time.Time{}
		r.lastHeard = latest(r.lastHeard, now)
	}
	v.stale = true
	v.lastUpdate = now
	v.changed = true
	if tell || heard.State != Alive {
		v.enqueue(heard.Incarnation.VM)
	}
}

// refute speaks up against a wrong rumour.
func (v *View) refute(now time.Time, heard Rumour) {
	if heard.Incarnation.Boot != v.self.Incarnation.Boot {
		return
	}
	wrong := heard.State != Alive || heard.Leaving != v.self.Leaving
	if heard.Count < v.self.Count || !wrong {
		return
	}
	v.self.Count = heard.Count + 1
	v.stale = true
	v.lastUpdate = now
}

// setState sets a state found out by this router.
func (v *View) setState(now time.Time, r *row, s State) {
	next := r.rumour
	next.State = s
	v.replace(now, r, next, true)
}
