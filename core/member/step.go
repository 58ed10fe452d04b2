package member

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Heartbeat tells that its sender is alive.
type Heartbeat struct {
	// Self is the sender as it sees itself.
	Self Rumour

	// Ask wants a Heartbeat in answer.
	Ask bool

	// View is the hash of the sender's view.
	View uint64

	// Rumours are news of others, and what is wrongly thought of the receiver.
	Rumours []Rumour
}

// Probe asks a router to find out whether it can hear another.
type Probe struct {
	// Target is the one in question.
	Target waxwingwall.Incarnation
}

// Seen answers Probe if the target was heard.
type Seen struct {
	// Target is the one in question.
	Target waxwingwall.Incarnation
}

// Sync carries a whole view.
type Sync struct {
	// Ask wants the receiver's view in answer.
	Ask bool

	// Rumours are all routers known, the sender included.
	Rumours []Rumour
}

// probe is a Probe that waits for its target to be heard.
type probe struct {
	from   waxwingwall.Incarnation
	target waxwingwall.Incarnation
	until  time.Time
}

// Step tells the View of an event.
func (v *View) Step(now time.Time, ev effect.Event) []effect.Action {
	switch e := ev.(type) {
	case effect.Tick:
		v.tick(now)
	case Listed:
		v.handleListed(now, e.Members)
	case effect.Received:
		v.handleReceived(now, e)
	}
	return v.takeActions()
}

// takeActions returns the actions of this step, Changed first, so that a driver knows
// an address before it sends there.
func (v *View) takeActions() []effect.Action {
	out := v.actions
	v.actions = nil
	if v.changed {
		v.changed = false
		out = append([]effect.Action{Changed{}}, out...)
	}
	return out
}

// Leave tells the others that this router is about to stop.
func (v *View) Leave(now time.Time) []effect.Action {
	if !v.self.Leaving {
		v.self.Leaving = true
		v.self.Count++
		v.stale = true
		v.sendHeartbeats(now)
	}
	return v.takeActions()
}

func (v *View) tick(now time.Time) {
	v.discountPause(now)
	v.refresh(now)
	for i := range v.rows {
		v.checkPeer(now, &v.rows[i])
	}
	v.evictDead(now)
	v.refresh(now)
	if !now.Before(v.nextHeartbeat) {
		v.sendHeartbeats(now)
	}
	v.probes = slices.DeleteFunc(v.probes, func(p probe) bool { return now.After(p.until) })
}

// discountPause moves all timers on by the time that this router itself didn't
// run, as it could hear nobody then.
func (v *View) discountPause(now time.Time) {
	gap := now.Sub(v.lastTick)
	first := v.lastTick.IsZero()
	v.lastTick = now
	if first || gap <= v.interval() {
		return
	}
	for i := range v.rows {
		r := &v.rows[i]
		r.lastHeard = r.lastHeard.Add(gap)
		r.lastSeen = r.lastSeen.Add(gap)
		if !r.probedAt.IsZero() {
			r.probedAt = r.probedAt.Add(gap)
		}
		if r.rumour.State == Suspect {
			r.stateSince = r.stateSince.Add(gap)
		}
	}
	v.lastReceived = v.lastReceived.Add(gap)
}

// checkPeer moves one peer through its states.
func (v *View) checkPeer(now time.Time, r *row) {
	if r.rumour.Incarnation.Boot == 0 || r.rumour.State == Dead {
		return
	}
	if v.isolated(now) {
		return
	}
	pace := v.interval()
	if r.rumour.State == Suspect {
		wait := time.Duration(refuteHeartbeats+v.logSize()) * pace
		if now.Sub(r.stateSince) > wait {
			v.setState(now, r, Dead)
		}
		return
	}
	if !v.silent(now, r) {
		if !r.probedAt.IsZero() {
			r.probedAt = time.Time{}
			v.changed = true
		}
		return
	}
	if r.probedAt.IsZero() || r.lastSeen.After(r.probedAt) && now.Sub(r.probedAt) > silenceHeartbeats*pace {
		v.requestProbes(now, r)
		return
	}
	if !r.lastSeen.After(r.probedAt) && now.Sub(r.probedAt) > probeHeartbeats*pace {
		v.setState(now, r, Suspect)
	}
}

// isolated reports that this router has heard from nobody of late, although there
// is more than one to hear from, and that it hasn't waited long for that yet.
func (v *View) isolated(now time.Time) bool {
	if len(v.neighbours) < 2 {
		return false
	}
	quiet := now.Sub(v.lastReceived)
	return v.lastReceived.IsZero() || quiet > (silenceHeartbeats-1)*v.interval() && quiet < isolationHeartbeats*v.interval()
}

// requestProbes asks a few routers to probe a silent one.
func (v *View) requestProbes(now time.Time, r *row) {
	if r.probedAt.IsZero() {
		v.changed = true
	}
	r.probedAt = now
	target := r.rumour.Incarnation
	asked := 0
	for _, i := range v.rng.Perm(len(v.rows)) {
		o := &v.rows[i]
		if asked == maxProbers {
			break
		}
		if o.rumour.Incarnation == target || o.rumour.Incarnation.Boot == 0 || o.rumour.State != Alive || v.silent(now, o) {
			continue
		}
		asked++
		v.send(o.rumour.Incarnation.VM, Probe{
			Target: target,
		})
	}
}

// evictDead drops dead routers that the platform doesn't list, after a while.
func (v *View) evictDead(now time.Time) {
	n := len(v.rows)
	v.rows = slices.DeleteFunc(v.rows, func(r row) bool {
		gone := r.rumour.State == Dead && now.Sub(r.stateSince) > deadRetention
		return !r.listed && (gone || r.rumour.Incarnation.Boot == 0)
	})
	if len(v.rows) != n {
		v.stale = true
		v.changed = true
	}
}

// sendHeartbeats sends heartbeats to the neighbours and to one other.
func (v *View) sendHeartbeats(now time.Time) {
	pace := v.interval()
	v.nextHeartbeat = now.Add(pace - pace/16 + time.Duration(v.rng.Int64N(int64(pace/8)+1)))
	v.refresh(now)
	for _, vm := range v.neighbours {
		r := v.find(vm)
		v.sendHeartbeat(vm, r.rumour.Incarnation.Boot == 0 || v.silent(now, r))
	}
	if vm, ok := v.randomPeer(); ok {
		v.sendHeartbeat(vm, true)
	}
}

// randomPeer takes a VM by chance that isn't a neighbour, dead ones included, so
// that the halves of a healed partition find each randomPeer.
func (v *View) randomPeer() (waxwingwall.VM, bool) {
	n := len(v.rows) - len(v.neighbours)
	if n <= 0 {
		return "", false
	}
	nth := v.rng.IntN(n)
	for i := range v.rows {
		vm := v.rows[i].rumour.Incarnation.VM
		if v.isNeighbour(vm) {
			continue
		}
		if nth == 0 {
			return vm, true
		}
		nth--
	}
	return "", false
}

// sendHeartbeat sends a heartbeat. It is meant for whatever incarnation runs on the
// VM, so that a new one hears of its peers even when the platform is silent.
func (v *View) sendHeartbeat(vm waxwingwall.VM, ask bool) {
	rumours := v.nextRumours()
	if r := v.find(vm); r != nil && r.rumour.State != Alive {
		rumours = append(rumours, r.rumour)
	}
	v.send(vm, Heartbeat{
		Self:    v.self,
		Ask:     ask,
		View:    v.hash,
		Rumours: rumours,
	})
}

func (v *View) send(vm waxwingwall.VM, message any) {
	v.actions = append(v.actions, effect.Send{
		To: waxwingwall.Incarnation{
			VM: vm,
		},
		Message: message,
	})
}

// handleListed takes the platform's list.
func (v *View) handleListed(now time.Time, members []waxwingwall.Member) {
	first := len(v.rows) == 0
	for i := range v.rows {
		v.rows[i].listed = false
	}
	for _, m := range members {
		if m.VM == v.self.Incarnation.VM {
			continue
		}
		r := v.findOrAdd(now, m.VM)
		r.listed = true
		if r.listedLeaving != m.Leaving {
			r.listedLeaving = m.Leaving
			v.changed = true
		}
		if r.rumour.Incarnation.Boot == 0 {
			r.rumour.Address = m.Address
			r.rumour.Domain = m.Domain
		}
	}
	v.refresh(now)
	if !first {
		return
	}
	for _, i := range v.rng.Perm(len(v.rows))[:min(initialContacts, len(v.rows))] {
		v.sendHeartbeat(v.rows[i].rumour.Incarnation.VM, true)
	}
}

func (v *View) handleReceived(now time.Time, e effect.Received) {
	if e.From.VM == v.self.Incarnation.VM {
		return
	}
	switch m := e.Message.(type) {
	case Heartbeat:
		v.handleHeartbeat(now, e.From, m)
	case Probe:
		v.handleProbe(now, e.From, m)
	case Seen:
		if r := v.find(m.Target.VM); r != nil && r.rumour.Incarnation == m.Target {
			r.lastSeen = now
		}
	case Sync:
		v.handleSync(now, e.From, m)
	}
}

func (v *View) handleHeartbeat(now time.Time, from waxwingwall.Incarnation, m Heartbeat) {
	if m.Self.Incarnation != from {
		return
	}
	v.lastReceived = now
	known := v.find(from.VM)
	if known != nil && known.rumour.Incarnation.Boot > from.Boot {
		return
	}
	v.merge(now, m.Self, true)
	for _, r := range m.Rumours {
		v.merge(now, r, true)
	}
	v.refresh(now)
	r := v.find(from.VM)
	if r == nil {
		return
	}
	if v.silent(now, r) {
		v.changed = true
	}
	r.lastHeard = now
	v.answerProbes(from)
	wronged := r.rumour.State != Alive
	if m.Ask || wronged {
		v.sendHeartbeat(from.VM, false)
	}
	if m.View != v.hash {
		v.sync(now, from)
	}
}

// sync begins an exchange of views, if rumours alone had their time.
func (v *View) sync(now time.Time, with waxwingwall.Incarnation) {
	pace := v.interval()
	fresh := !v.lastSync.IsZero() && (now.Sub(v.lastUpdate) < spreadHeartbeats*pace || now.Sub(v.lastSync) < syncHeartbeats*pace)
	if fresh {
		return
	}
	v.lastSync = now
	v.send(with.VM, Sync{
		Ask:     true,
		Rumours: v.all(),
	})
}

// all returns the whole view, the own router included.
func (v *View) all() []Rumour {
	rumours := []Rumour{v.self}
	for i := range v.rows {
		if v.rows[i].rumour.Incarnation.Boot != 0 {
			rumours = append(rumours, v.rows[i].rumour)
		}
	}
	return rumours
}

func (v *View) handleSync(now time.Time, from waxwingwall.Incarnation, m Sync) {
	for _, r := range m.Rumours {
		v.merge(now, r, false)
	}
	v.refresh(now)
	if m.Ask {
		v.send(from.VM, Sync{
			Rumours: v.all(),
		})
	}
}

// handleProbe calls the target; what comes of it is told when it is heard.
func (v *View) handleProbe(now time.Time, from waxwingwall.Incarnation, m Probe) {
	r := v.find(m.Target.VM)
	if r == nil {
		return
	}
	v.probes = append(v.probes, probe{
		from:   from,
		target: m.Target,
		until:  now.Add(probeHeartbeats * v.interval()),
	})
	v.sendHeartbeat(m.Target.VM, true)
}

// answerProbes tells those who asked that a router was heard.
func (v *View) answerProbes(heard waxwingwall.Incarnation) {
	v.probes = slices.DeleteFunc(v.probes, func(p probe) bool {
		if p.target != heard {
			return false
		}
		v.send(p.from.VM, Seen{
			Target: heard,
		})
		return true
	})
}

// Dump is a View's state.
type Dump struct {
	// Self is this router.
	Self Rumour `json:"self"`

	// Heartbeat is the time between two heartbeats now.
	Heartbeat time.Duration `json:"heartbeat"`

	// Neighbours are the VMs that heartbeats are exchanged with.
	Neighbours []waxwingwall.VM `json:"neighbours"`

	// Candidates are listed but were never heard.
	Candidates []waxwingwall.VM `json:"candidates"`

	// Rumours are all routers known.
	Rumours []Rumour `json:"rumours"`
}

// Dump returns the state for operators.
func (v *View) Dump() Dump {
	d := Dump{
		Self:       v.self,
		Heartbeat:  v.interval(),
		Neighbours: slices.Clone(v.neighbours),
		Rumours:    v.all()[1:],
	}
	for i := range v.rows {
		if i := v.rows[i].rumour.Incarnation; i.Boot == 0 {
			d.Candidates = append(d.Candidates, i.VM)
		}
	}
	return d
}

// Messages returns one of each type that routers send to each other, for the
// codec between them.
func Messages() []any {
	return []any{
		Heartbeat{},
		Probe{},
		Seen{},
		Sync{},
	}
}
