package member

import (
	"net/netip"
	"slices"
	"time"

	"waxwingwall"
)

// Rumour is a statement of one router about another or itself.
type Rumour struct {
	// Incarnation is the subject.
	Incarnation waxwingwall.Incarnation `json:"incarnation"`

	// Address and Callers are the subject's addresses for peers and callers.
	Address netip.AddrPort `json:"address"`
	Callers netip.AddrPort `json:"callers"`

	// Domain is the subject's failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// State is the subject's state.
	State State `json:"state"`

	// Count is incremented only by the subject itself, to refute a suspicion or
	// to announce that it is leaving.
	Count uint64 `json:"count"`

	// Leaving is set only by the subject itself.
	Leaving bool `json:"leaving"`
}

// supersedes reports whether r is newer than o. The order is the same on every
// router, so all converge to the same rumour whatever the order of arrival.
func (r Rumour) supersedes(o Rumour) bool {
	if r.Incarnation.Boot != o.Incarnation.Boot {
		return r.Incarnation.Boot > o.Incarnation.Boot
	}
	if r.Count != o.Count {
		return r.Count > o.Count
	}
	return r.State > o.State
}

// queuedRumour is a VM whose rumour is to be sent, with the number of times it was
// sent.
type queuedRumour struct {
	vm   waxwingwall.VM
	sent int
}

// enqueue queues the rumour about a VM for sending.
func (v *View) enqueue(vm waxwingwall.VM) {
	v.gossip = slices.DeleteFunc(v.gossip, func(t queuedRumour) bool { return t.vm == vm })
	v.gossip = append(v.gossip, queuedRumour{
		vm: vm,
	})
}

// nextRumours returns the queued rumours that were sent least often and counts the
// transmission.
func (v *View) nextRumours() []Rumour {
	slices.SortStableFunc(v.gossip, func(a, b queuedRumour) int { return a.sent - b.sent })
	// Many changes at once would otherwise take as many heartbeats to spread.
	limit := min(max(minRumours, len(v.gossip)/2), maxRumours)
	rumours := make([]Rumour, 0, min(limit, len(v.gossip)))
	for i := range v.gossip {
		if len(rumours) == limit {
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
	maxSent := 4 * v.logSize()
	v.gossip = slices.DeleteFunc(v.gossip, func(t queuedRumour) bool { return t.sent >= maxSent })
	return rumours
}

// merge applies a received rumour to the view. If forward is set, a newer rumour is
// sent on.
func (v *View) merge(now time.Time, update Rumour, forward bool) {
	vm := update.Incarnation.VM
	if vm == v.self.Incarnation.VM {
		v.refute(now, update)
		return
	}
	if update.Incarnation.Boot == 0 {
		return
	}
	r := v.find(vm)
	if r == nil {
		if update.State == Dead {
			return
		}
		r = v.findOrAdd(now, vm)
	}
	if !update.supersedes(r.rumour) {
		return
	}
	v.replace(now, r, update, forward)
}

// replace puts a newer rumour into a row. It sends the rumour on if forward is set
// or the state isn't Alive.
func (v *View) replace(now time.Time, r *row, update Rumour, forward bool) {
	newBoot := update.Incarnation.Boot != r.rumour.Incarnation.Boot
	newState := update.State != r.rumour.State
	v.ringStale = v.ringStale || newState && (update.State == Dead || r.rumour.State == Dead)
	v.hashStale = true
	v.peersStale = true
	r.rumour = update
	r.hash = update.hash()
	if newBoot || newState {
		r.stateSince = now
	}
	if newBoot || newState && update.State == Alive {
		r.probedAt = time.Time{}
		r.lastHeartbeat = latest(r.lastHeartbeat, now)
	}
	v.lastUpdate = now
	v.changed = true
	if forward || update.State != Alive {
		v.enqueue(update.Incarnation.VM)
	}
}

// refute answers a wrong rumour about this router with a higher count.
func (v *View) refute(now time.Time, update Rumour) {
	if update.Incarnation.Boot != v.self.Incarnation.Boot {
		return
	}
	wrong := update.State != Alive || update.Leaving != v.self.Leaving
	if update.Count < v.self.Count || !wrong {
		return
	}
	v.self.Count = update.Count + 1
	v.hashStale = true
	v.lastUpdate = now
}

// setState sets a state that this router has determined.
func (v *View) setState(now time.Time, r *row, s State) {
	next := r.rumour
	next.State = s
	v.replace(now, r, next, true)
}
