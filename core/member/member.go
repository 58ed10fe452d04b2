// Package member tracks the other routers of the fleet and detects which of them
// have failed.
//
// The platform's list (Listed) supplies candidates. The list lags, so it never
// decides that a router is dead; heartbeats do. Each router exchanges heartbeats
// with a bounded set of neighbours, which all routers derive from the same ring
// of hashed names, and with one randomly chosen other router, so the cost per
// router doesn't grow with the fleet. State changes spread as rumours piggybacked
// on heartbeats. Heartbeats also carry a hash of the sender's view; two routers
// whose hashes stay different exchange their full views.
//
// A peer is a candidate while only the list names it, and alive once a message
// from it has arrived. It becomes suspect when it is silent and none of the
// routers that were asked to probe it reports it as seen, and dead when it
// doesn't refute the suspicion in time. A peer that receives a rumour that it is
// suspect or dead refutes it with a higher count and is alive again. A new
// incarnation of the VM replaces an old one whatever its state. A leaving peer is
// alive until it stops.
//
// A router that was paused doesn't count the pause towards the silence of its
// peers. A router that receives nothing at all waits longer before it suspects
// others, because the fault is probably its own. Correctness must not depend on
// this package; it only makes the fleet react in time.
package member

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Part is the ID.Part of this package's actions.
const Part = "member"

const (
	// defaultHeartbeat is the heartbeat interval in a small fleet.
	defaultHeartbeat = 250 * time.Millisecond

	// intervalPerPeer times the number of peers is the minimum heartbeat
	// interval, which bounds a router's cost in a large fleet.
	intervalPerPeer = 1500 * time.Microsecond

	// The names that end in Heartbeats are times in heartbeat intervals.

	// silenceHeartbeats is the silence after which other routers are asked to
	// probe a neighbour.
	silenceHeartbeats = 4

	// probeHeartbeats is the timeout of a probe.
	probeHeartbeats = 3

	// refuteHeartbeats is the time that a suspect has to refute the suspicion,
	// in addition to the time that rumours need to spread.
	refuteHeartbeats = 3

	// isolationHeartbeats is how long a router that receives nothing suspects no
	// peer.
	isolationHeartbeats = 16

	// spreadHeartbeats is the time that rumours have to spread before views are
	// exchanged.
	spreadHeartbeats = 4

	// syncHeartbeats is the minimum time between two view exchanges that a router
	// starts.
	syncHeartbeats = 8

	// peersPerContact is the number of peers for each round of heartbeats without one to a
	// random peer, which mostly costs a new connection.
	peersPerContact = 64

	// maxProbers is the maximum number of routers asked to probe a silent one.
	maxProbers = 3

	// initialContacts is the number of candidates contacted at the start.
	initialContacts = 4

	// A heartbeat carries half of the queued rumours, at least minRumours and at most
	// maxRumours.
	minRumours = 6
	maxRumours = 32

	// deadRetention is how long a dead router that isn't listed is kept.
	deadRetention = 10 * time.Minute
)

// State is the failure detector's state of a router.
type State int

// The states in order of precedence: at equal counts, the later state wins.
const (
	// Alive means that the router is neither suspected nor dead.
	Alive State = iota

	// Suspect means that the router is silent and no prober has seen it.
	Suspect

	// Dead means that the router didn't refute a suspicion in time.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead"}[s]
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Peer is the public view of a router.
type Peer struct {
	// Incarnation is the newest known incarnation.
	Incarnation waxwingwall.Incarnation `json:"incarnation"`

	// Address is the address for peers.
	Address netip.AddrPort `json:"address"`

	// Callers is the address for callers; invalid if unknown.
	Callers netip.AddrPort `json:"callers"`

	// Domain is the router's failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// Alive is false once the router is considered dead.
	Alive bool `json:"alive"`

	// Suspect is set while the router is suspected and may still refute it.
	Suspect bool `json:"suspect"`

	// Reachable is false while this router receives nothing from the peer, even
	// if others do.
	Reachable bool `json:"reachable"`

	// Leaving is set once the router is about to stop or the platform is about
	// to remove its VM.
	Leaving bool `json:"leaving"`
}

// Listed delivers the platform's list.
type Listed struct {
	effect.IsEvent

	// Members are the listed VMs.
	Members []waxwingwall.Member
}

// Changed reports that the result of Peers has changed.
type Changed struct {
	effect.IsAction
}

// View is one router's view of the others. Create it with New.
type View struct {
	self      Rumour
	heartbeat time.Duration
	rng       *rand.Rand

	// rows are all known VMs except this router's, sorted by VM.
	rows []row

	// neighbours are the VMs that heartbeats are exchanged with; they are out of date while
	// ringStale is set. hash is the hash of the view; it is out of date while hashStale is.
	neighbours []waxwingwall.VM
	ringStale  bool
	hash       uint64
	hashStale  bool

	// peers is the last result of Peers, which callers may keep; it is out of date while
	// peersStale is set, except for Reachable.
	peers      []Peer
	peersStale bool

	// lastTick is when the last tick was, nextHeartbeat when the next heartbeats
	// are due, rounds how often they were sent, lastSync when this router last started an exchange of views,
	// lastUpdate when a rumour last changed the view, and lastReceived when the
	// last heartbeat arrived, moved forward by pauses of this router.
	lastTick      time.Time
	nextHeartbeat time.Time
	rounds        int
	lastSync      time.Time
	lastUpdate    time.Time
	lastReceived  time.Time

	// gossip is the queue of rumours to send, and probes are the pending probes
	// requested by others.
	gossip []queuedRumour
	probes []probe

	changed bool
	actions []effect.Action
}

// row is one other VM.
type row struct {
	rumour Rumour

	// position is the VM's place on the ring, hash the hash of rumour.
	position uint64
	hash     uint64

	// neighbour is set if the VM is one of View.neighbours.
	neighbour bool

	// listed and listedLeaving come from the platform's list.
	listed        bool
	listedLeaving bool

	// lastHeartbeat is the time of its last heartbeat, or a later time from which
	// its silence counts. lastSeen is when another router last reported it as
	// seen.
	lastHeartbeat time.Time
	lastSeen      time.Time

	// probedAt is when others were last asked to probe it; zero if it isn't being
	// probed.
	probedAt time.Time

	// stateSince is when its state or incarnation last changed.
	stateSince time.Time
}

// Option configures a View.
type Option func(*View)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(v *View) {
		v.rng = rand.New(rand.NewPCG(seed, xxhash.Sum64String(v.self.Incarnation.String())))
	}
}

// WithHeartbeat sets the heartbeat interval in a small fleet.
func WithHeartbeat(d time.Duration) Option {
	return func(v *View) {
		v.heartbeat = d
	}
}

// WithCallers sets the address on which this router listens for callers.
func WithCallers(addr netip.AddrPort) Option {
	return func(v *View) {
		v.self.Callers = addr
	}
}

// New returns the View of a router.
func New(self waxwingwall.Incarnation, addr netip.AddrPort, domain waxwingwall.Domain, opts ...Option) *View {
	v := &View{
		self: Rumour{
			Incarnation: self,
			Address:     addr,
			Domain:      domain,
		},
		heartbeat:  defaultHeartbeat,
		ringStale:  true,
		hashStale:  true,
		peersStale: true,
	}
	WithSeed(0)(v)
	for _, o := range opts {
		o(v)
	}
	return v
}

// Self returns this router as a Peer.
func (v *View) Self() Peer {
	return peerOf(&row{
		rumour: v.self,
	}, true)
}

// Peers returns all other routers of known incarnation, sorted by VM. The result must not
// be changed; it stays as it is.
func (v *View) Peers(now time.Time) []Peer {
	if v.peersStale || v.reachabilityChanged(now) {
		v.peersStale = false
		v.peers = make([]Peer, 0, len(v.rows))
		for i := range v.rows {
			r := &v.rows[i]
			if r.rumour.Incarnation.Boot != 0 {
				v.peers = append(v.peers, peerOf(r, v.reachable(now, r)))
			}
		}
	}
	return v.peers
}

// reachabilityChanged reports whether Reachable of a peer is out of date. Only that of
// neighbours depends on the time.
func (v *View) reachabilityChanged(now time.Time) bool {
	next := 0
	for i := range v.rows {
		r := &v.rows[i]
		if r.rumour.Incarnation.Boot == 0 {
			continue
		}
		if r.neighbour && v.peers[next].Reachable != v.reachable(now, r) {
			return true
		}
		next++
	}
	return false
}

func peerOf(r *row, reachable bool) Peer {
	return Peer{
		Incarnation: r.rumour.Incarnation,
		Address:     r.rumour.Address,
		Callers:     r.rumour.Callers,
		Domain:      r.rumour.Domain,
		Alive:       r.rumour.State != Dead,
		Suspect:     r.rumour.State == Suspect,
		Reachable:   reachable,
		Leaving:     r.rumour.Leaving || r.listedLeaving,
	}
}

// reachable returns false for dead routers and silent neighbours.
func (v *View) reachable(now time.Time, r *row) bool {
	if r.rumour.State == Dead {
		return false
	}
	return !v.silent(now, r)
}

// silent reports whether the last heartbeat of a neighbour is too long ago.
func (v *View) silent(now time.Time, r *row) bool {
	return r.neighbour && now.Sub(r.lastHeartbeat) > silenceHeartbeats*v.interval()
}

// interval returns the current heartbeat interval, which grows with the fleet.
func (v *View) interval() time.Duration {
	return max(v.heartbeat, time.Duration(len(v.rows))*intervalPerPeer)
}

// logSize returns the number of binary digits of the fleet's size.
func (v *View) logSize() int {
	return bits.Len(uint(len(v.rows) + 1))
}

// find returns the row of a VM, or nil.
func (v *View) find(vm waxwingwall.VM) *row {
	i, ok := v.search(vm)
	if !ok {
		return nil
	}
	return &v.rows[i]
}

func (v *View) search(vm waxwingwall.VM) (int, bool) {
	return slices.BinarySearchFunc(v.rows, vm, func(r row, vm waxwingwall.VM) int {
		return strings.Compare(string(r.rumour.Incarnation.VM), string(vm))
	})
}

// findOrAdd returns the row of a VM and adds it if it is missing.
func (v *View) findOrAdd(now time.Time, vm waxwingwall.VM) *row {
	i, ok := v.search(vm)
	if !ok {
		v.rows = slices.Insert(v.rows, i, row{
			rumour: Rumour{
				Incarnation: waxwingwall.Incarnation{
					VM: vm,
				},
			},
			position:      xxhash.Sum64String(string(vm)),
			lastHeartbeat: now,
		})
		v.ringStale = true
		v.peersStale = true
	}
	return &v.rows[i]
}

// refresh recomputes the neighbours and the hash after a change.
func (v *View) refresh(now time.Time) {
	if v.hashStale {
		v.hashStale = false
		v.hash = v.self.hash()
		for i := range v.rows {
			r := &v.rows[i]
			if r.rumour.Incarnation.Boot != 0 && r.rumour.State != Dead {
				v.hash ^= r.hash
			}
		}
	}
	if !v.ringStale {
		return
	}
	v.ringStale = false
	v.peersStale = true
	old := v.neighbours
	v.neighbours = v.ring()
	for i := range v.rows {
		v.rows[i].neighbour = false
	}
	for _, vm := range v.neighbours {
		r := v.find(vm)
		r.neighbour = true
		if !slices.Contains(old, vm) {
			r.lastHeartbeat = latest(r.lastHeartbeat, now)
			r.probedAt = time.Time{}
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ring returns the neighbours. On a ring sorted by hash, they are the routers next
// to this one and those at distances that grow with the fleet, in both directions,
// so that the relation is symmetric and rumours need few hops.
func (v *View) ring() []waxwingwall.VM {
	type position struct {
		hash uint64
		vm   waxwingwall.VM
	}
	origin := position{
		hash: xxhash.Sum64String(string(v.self.Incarnation.VM)),
		vm:   v.self.Incarnation.VM,
	}
	positions := make([]position, 1, len(v.rows)+1)
	positions[0] = origin
	for i := range v.rows {
		r := &v.rows[i]
		if r.rumour.State == Dead {
			continue
		}
		positions = append(positions, position{
			hash: r.position,
			vm:   r.rumour.Incarnation.VM,
		})
	}
	slices.SortFunc(positions, func(a, b position) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm, b.vm))
	})
	at := slices.Index(positions, origin)
	n := len(positions)
	var vms []waxwingwall.VM
	for _, step := range []int{1, 2, n / 3, n / 8} {
		for _, i := range []int{(at + step) % n, (at - step + n) % n} {
			vm := positions[i].vm
			if vm != origin.vm && !slices.Contains(vms, vm) {
				vms = append(vms, vm)
			}
		}
	}
	slices.Sort(vms)
	return vms
}

// hash covers the fields on which all routers must agree.
func (r Rumour) hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Incarnation.String())
	b := binary.LittleEndian.AppendUint64(nil, r.Count)
	b = append(b, byte(r.State), 0)
	if r.Leaving {
		b[len(b)-1] = 1
	}
	_, _ = h.Write(b)
	return h.Sum64()
}
