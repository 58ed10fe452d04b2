package member

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Heartbeat shows that its sender is alive.
type Heartbeat struct {
	// Self is the sender's rumour about itself.
	Self Rumour

	// Ask requests a Heartbeat in reply.
	Ask bool

	// View is the hash of the sender's view.
	View uint64

	// Rumours are recent state changes of other routers, and the sender's rumour
	// about the receiver if that isn't Alive.
	Rumours []Rumour
}

// Probe asks a router to check whether another router responds.
type Probe struct {
	// Target is the router to check.
	Target waxwingwall.Incarnation
}

// Seen replies to a Probe once a heartbeat of the target has arrived.
type Seen struct {
	// Target is the router that was checked.
	Target waxwingwall.Incarnation
}

// Sync carries a full view.
type Sync struct {
	// Ask requests the receiver's view in reply.
	Ask bool

	// Rumours cover all known routers, including the sender.
	Rumours []Rumour
}

// rumourBytes is the approximate size of a Rumour, in bytes.
const rumourBytes = 128

// Size returns the approximate size of the heartbeat in bytes.
func (m Heartbeat) Size() int {
	return rumourBytes * (1 + len(m.Rumours))
}

// Size returns the approximate size of the view in bytes.
func (m Sync) Size() int {
	return rumourBytes * (1 + len(m.Rumours))
}

// probe is a received Probe whose target hasn't responded yet.
type probe struct {
	from   waxwingwall.Incarnation
	target waxwingwall.Incarnation
	until  time.Time
}

// Step handles an event and returns the resulting actions.
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

// takeActions returns the actions of this step. Changed comes first, so that a
// driver knows an address before it sends there.
func (v *View) takeActions() []effect.Action {
	actions := v.actions
	v.actions = nil
	if v.changed {
		v.changed = false
		actions = append([]effect.Action{Changed{}}, actions...)
	}
	return actions
}

// Leave announces that this router is about to stop.
func (v *View) Leave(now time.Time) []effect.Action {
	if !v.self.Leaving {
		v.self.Leaving = true
		v.self.Count++
		v.hashStale = true
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

// discountPause moves all timers forward by the time in which this router didn't
// run, because it received nothing then.
func (v *View) discountPause(now time.Time) {
	gap := now.Sub(v.lastTick)
	first := v.lastTick.IsZero()
	v.lastTick = now
	if first || gap <= v.interval() {
		return
	}
	for i := range v.rows {
		r := &v.rows[i]
		r.lastHeartbeat = r.lastHeartbeat.Add(gap)
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

// checkPeer runs the failure detector for one peer.
func (v *View) checkPeer(now time.Time, r *row) {
	if r.rumour.Incarnation.Boot == 0 || r.rumour.State == Dead {
		return
	}
	if v.isolated(now) {
		return
	}
	interval := v.interval()
	if r.rumour.State == Suspect {
		timeout := time.Duration(refuteHeartbeats+v.logSize()) * interval
		if now.Sub(r.stateSince) > timeout {
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
	if r.probedAt.IsZero() || r.lastSeen.After(r.probedAt) && now.Sub(r.probedAt) > silenceHeartbeats*interval {
		v.requestProbes(now, r)
		return
	}
	if !r.lastSeen.After(r.probedAt) && now.Sub(r.probedAt) > probeHeartbeats*interval {
		v.setState(now, r, Suspect)
	}
}

// isolated reports whether this router, with more than one neighbour, has never
// received a heartbeat, or has received none for a time between
// silenceHeartbeats-1 and isolationHeartbeats.
func (v *View) isolated(now time.Time) bool {
	if len(v.neighbours) < 2 {
		return false
	}
	silence := now.Sub(v.lastReceived)
	return v.lastReceived.IsZero() || silence > (silenceHeartbeats-1)*v.interval() && silence < isolationHeartbeats*v.interval()
}

// requestProbes asks up to maxProbers random routers to probe a silent one.
func (v *View) requestProbes(now time.Time, r *row) {
	if r.probedAt.IsZero() {
		v.changed = true
	}
	r.probedAt = now
	target := r.rumour.Incarnation
	probers := 0
	for _, i := range v.rng.Perm(len(v.rows)) {
		o := &v.rows[i]
		if probers == maxProbers {
			break
		}
		if o.rumour.Incarnation == target || o.rumour.Incarnation.Boot == 0 || o.rumour.State != Alive || v.silent(now, o) {
			continue
		}
		probers++
		v.send(o.rumour.Incarnation.VM, Probe{
			Target: target,
		})
	}
}

// evictDead removes routers that the platform doesn't list: dead ones after
// deadRetention, and candidates.
func (v *View) evictDead(now time.Time) {
	n := len(v.rows)
	v.rows = slices.DeleteFunc(v.rows, func(r row) bool {
		expired := r.rumour.State == Dead && now.Sub(r.stateSince) > deadRetention
		return !r.listed && (expired || r.rumour.Incarnation.Boot == 0)
	})
	if len(v.rows) != n {
		v.ringStale = true
		v.hashStale = true
		v.peersStale = true
		v.changed = true
	}
}

// sendHeartbeats sends heartbeats to the neighbours and to one random other router,
// and schedules the next ones with jitter.
func (v *View) sendHeartbeats(now time.Time) {
	interval := v.interval()
	v.nextHeartbeat = now.Add(interval - interval/16 + time.Duration(v.rng.Int64N(int64(interval/8)+1)))
	v.refresh(now)
	for _, vm := range v.neighbours {
		r := v.find(vm)
		v.sendHeartbeat(vm, r.rumour.Incarnation.Boot == 0 || v.silent(now, r))
	}
	v.rounds++
	if v.rounds%(1+len(v.rows)/peersPerContact) != 0 {
		return
	}
	if vm, ok := v.randomPeer(); ok {
		v.sendHeartbeat(vm, true)
	}
}

// randomPeer picks a random VM that isn't a neighbour. Dead ones are included, so
// that the two sides of a healed partition find each other.
func (v *View) randomPeer() (waxwingwall.VM, bool) {
	n := len(v.rows) - len(v.neighbours)
	if n <= 0 {
		return "", false
	}
	nth := v.rng.IntN(n)
	for i := range v.rows {
		if v.rows[i].neighbour {
			continue
		}
		if nth == 0 {
			return v.rows[i].rumour.Incarnation.VM, true
		}
		nth--
	}
	return "", false
}

// sendHeartbeat sends a heartbeat to whichever incarnation runs on the VM, so that
// a new one learns of its peers even when the platform is unreachable.
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

// handleListed applies the platform's list. A list that arrives while no other VM is
// known triggers heartbeats to some candidates.
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
			v.peersStale = true
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
	r.lastHeartbeat = now
	v.answerProbes(from)
	notAlive := r.rumour.State != Alive
	if m.Ask || notAlive {
		v.sendHeartbeat(from.VM, false)
	}
	if m.View != v.hash {
		v.sync(now, from)
	}
}

// sync starts an exchange of views, unless rumours may still be spreading or the
// last exchange was too recent. The first exchange starts at once.
func (v *View) sync(now time.Time, with waxwingwall.Incarnation) {
	interval := v.interval()
	tooSoon := !v.lastSync.IsZero() && (now.Sub(v.lastUpdate) < spreadHeartbeats*interval || now.Sub(v.lastSync) < syncHeartbeats*interval)
	if tooSoon {
		return
	}
	v.lastSync = now
	v.send(with.VM, Sync{
		Ask:     true,
		Rumours: v.all(),
	})
}

// all returns the full view, including this router.
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

// handleProbe sends a heartbeat to the target. answerProbes replies when the
// target responds.
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

// answerProbes replies to the pending probes of a router that has responded.
func (v *View) answerProbes(responder waxwingwall.Incarnation) {
	v.probes = slices.DeleteFunc(v.probes, func(p probe) bool {
		if p.target != responder {
			return false
		}
		v.send(p.from.VM, Seen{
			Target: responder,
		})
		return true
	})
}

// Dump is the state of a View.
type Dump struct {
	// Self is this router.
	Self Rumour `json:"self"`

	// Heartbeat is the current heartbeat interval.
	Heartbeat time.Duration `json:"heartbeat"`

	// Neighbours are the VMs that heartbeats are exchanged with.
	Neighbours []waxwingwall.VM `json:"neighbours"`

	// Candidates are listed VMs of unknown incarnation.
	Candidates []waxwingwall.VM `json:"candidates"`

	// Rumours cover all known routers but this one.
	Rumours []Rumour `json:"rumours"`
}

// Dump returns the state of the view.
func (v *View) Dump() Dump {
	d := Dump{
		Self:       v.self,
		Heartbeat:  v.interval(),
		Neighbours: slices.Clone(v.neighbours),
		Rumours:    v.all()[1:],
	}
	for i := range v.rows {
		if incarnation := v.rows[i].rumour.Incarnation; incarnation.Boot == 0 {
			d.Candidates = append(d.Candidates, incarnation.VM)
		}
	}
	return d
}

// Messages returns one value of each message type, for registration with the codec
// between routers.
func Messages() []any {
	return []any{
		Heartbeat{},
		Probe{},
		Seen{},
		Sync{},
	}
}
