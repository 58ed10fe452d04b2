// Package member tells one router which other routers there are and which of
// them are alive.
//
// The platform's list (Listed) gives candidates; it lags, so it never decides
// that a router is dead. Heartbeats decide. Each router exchanges them with a
// bounded set of neighbours, chosen alike by all from a ring of hashed names,
// and with one other taken by chance, so the cost of a router doesn't grow
// with the fleet. What a router finds out it passes on as rumours that ride on
// heartbeats; a hash of the whole view rides along as well, and two routers
// whose hashes go on to differ exchange their views.
//
// The life of a peer: it is a candidate while only the list has it; alive once
// it was heard; suspect when it was silent and no other router that was asked
// can hear it either; dead when it didn't speak up against the suspicion in
// time. A peer that hears itself called suspect or dead answers with a higher
// count and is alive again. A new incarnation of the VM replaces an old one
// whatever its state. A leaving peer is alive until it goes.
//
// A router that was paused itself counts the pause for nobody's silence, and
// one that hears nobody at all waits longer before it judges: the fault is
// likely to be its own. Nothing that must never go wrong may
// depend on this package; it makes the fleet react in time, no more.
package member

import (
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

// Part is the name of this package.
const Part = "member"

const (
	// defaultHeartbeat is the time between two heartbeats in a small fleet.
	defaultHeartbeat = 250 * time.Millisecond

	// intervalPerPeer times the number of peers is the least time between two
	// heartbeats, so that a router's cost stays bounded in a large fleet.
	intervalPerPeer = 1500 * time.Microsecond

	// The times below are in heartbeats.

	// silenceHeartbeats is when a silent neighbour is asked for at other routers.
	silenceHeartbeats = 4

	// probeHeartbeats is how long their answers may take.
	probeHeartbeats = 3

	// refuteHeartbeats is how long a suspect has to speak up, besides the time that
	// rumours need.
	refuteHeartbeats = 3

	// isolationHeartbeats is how long a router that hears nobody holds its judgement.
	isolationHeartbeats = 16

	// spreadHeartbeats is how long rumours get before views are exchanged.
	spreadHeartbeats = 4

	// syncHeartbeats is the least time between two exchanges that a router begins.
	syncHeartbeats = 8

	// maxProbers is how many routers are asked to probe a silent one.
	maxProbers = 3

	// initialContacts is how many candidates are called at once at the start.
	initialContacts = 4

	// maxRumours is how many rumours ride on one heartbeat.
	maxRumours = 6

	// deadRetention is how long a dead router that isn't listed is remembered.
	deadRetention = 10 * time.Minute
)

// State is what is thought of a router.
type State int

// The states, in the order in which they win over each other at one count.
const (
	// Alive means that it was heard.
	Alive State = iota

	// Suspect means that it is silent for all who were asked.
	Suspect

	// Dead means that it didn't speak up as a suspect.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead"}[s]
}

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Peer is a router as others see it.
type Peer struct {
	// Incarnation is its newest known.
	Incarnation waxwingwall.Incarnation `json:"incarnation"`

	// Address is where it listens for peers.
	Address netip.AddrPort `json:"address"`

	// Callers is where it listens for callers; not valid if it didn't say.
	Callers netip.AddrPort `json:"callers"`

	// Domain is its failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// Alive is false once it is judged dead.
	Alive bool `json:"alive"`

	// Suspect is set while a judgement is under way.
	Suspect bool `json:"suspect"`

	// Reachable is false while it is silent towards this router, even if
	// others hear it.
	Reachable bool `json:"reachable"`

	// Leaving is set once it is about to stop, or the platform to take its VM
	// away.
	Leaving bool `json:"leaving"`
}

// Listed tells of the platform's list.
type Listed struct {
	effect.IsEvent

	// Members are the VMs listed.
	Members []waxwingwall.Member
}

// Changed tells that Peers has another result than before.
type Changed struct {
	effect.IsAction
}

// View is what one router knows of the others. Create it with New.
type View struct {
	self      Rumour
	heartbeat time.Duration
	rng       *rand.Rand

	// rows are all known VMs but the own one, sorted by VM.
	rows []row

	// neighbours are the VMs that heartbeats are exchanged with, and hash is
	// that of the view; both are kept up when stale is set.
	neighbours []waxwingwall.VM
	hash       uint64
	stale      bool

	// Timers.
	lastTick      time.Time
	nextHeartbeat time.Time
	lastSync      time.Time
	lastUpdate    time.Time
	lastReceived  time.Time

	// gossip are the rumours still to be told, and probes those asked for by
	// others.
	gossip []queuedRumour
	probes []probe

	changed bool
	actions []effect.Action
}

// row is one other VM.
type row struct {
	rumour Rumour

	// listed and listedLeaving are what the platform's list says.
	listed        bool
	listedLeaving bool

	// lastHeard is when it was last lastHeard directly, vouched when another router
	// last said to hear it.
	lastHeard time.Time
	lastSeen  time.Time

	// probedAt is when others were probedAt to probe it; zero if they weren't.
	probedAt time.Time

	// stateSince is since when it has been suspect or dead.
	stateSince time.Time
}

// Option changes how a View works.
type Option func(*View)

// WithSeed gives the seed of every choice by chance.
func WithSeed(seed uint64) Option {
	return func(v *View) {
		v.rng = rand.New(rand.NewPCG(seed, xxhash.Sum64String(v.self.Incarnation.String())))
	}
}

// WithHeartbeat gives the time between two heartbeats in a small fleet.
func WithHeartbeat(d time.Duration) Option {
	return func(v *View) {
		v.heartbeat = d
	}
}

// WithCallers gives the address on which this router listens for callers.
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
		heartbeat: defaultHeartbeat,
		stale:     true,
	}
	WithSeed(0)(v)
	for _, o := range opts {
		o(v)
	}
	return v
}

// Self returns this router as others see it.
func (v *View) Self() Peer {
	return peerOf(&row{
		rumour: v.self,
	}, true)
}

// Peers returns all other routers that were ever heard of in person, by VM.
func (v *View) Peers(now time.Time) []Peer {
	var peers []Peer
	for i := range v.rows {
		r := &v.rows[i]
		if r.rumour.Incarnation.Boot != 0 {
			peers = append(peers, peerOf(r, v.reachable(now, r)))
		}
	}
	return peers
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

// reachable is false for a dead router and a silent neighbour.
func (v *View) reachable(now time.Time, r *row) bool {
	if r.rumour.State == Dead {
		return false
	}
	return !v.silent(now, r)
}

// silent reports that a neighbour wasn't heard for too long.
func (v *View) silent(now time.Time, r *row) bool {
	return v.isNeighbour(r.rumour.Incarnation.VM) && now.Sub(r.lastHeard) > silenceHeartbeats*v.interval()
}

// interval is the time between two heartbeats.
func (v *View) interval() time.Duration {
	return max(v.heartbeat, time.Duration(len(v.rows))*intervalPerPeer)
}

// logSize is the logarithm of the fleet's size, rounded up.
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

// findOrAdd returns the row of a VM, a new one if need be.
func (v *View) findOrAdd(now time.Time, vm waxwingwall.VM) *row {
	i, ok := v.search(vm)
	if !ok {
		v.rows = slices.Insert(v.rows, i, row{
			rumour: Rumour{
				Incarnation: waxwingwall.Incarnation{
					VM: vm,
				},
			},
			lastHeard: now,
		})
		v.stale = true
	}
	return &v.rows[i]
}

// refresh works out the neighbours and the hash again after a change.
func (v *View) refresh(now time.Time) {
	if !v.stale {
		return
	}
	v.stale = false
	v.hash = v.self.hash()
	old := v.neighbours
	v.neighbours = v.ring()
	for i := range v.rows {
		r := &v.rows[i]
		if r.rumour.Incarnation.Boot != 0 && r.rumour.State != Dead {
			v.hash ^= r.rumour.hash()
		}
	}
	for _, vm := range v.neighbours {
		if !slices.Contains(old, vm) {
			r := v.find(vm)
			r.lastHeard = latest(r.lastHeard, now)
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

// ring returns the neighbours: on a ring sorted by hash, those next to the own
// place and those at distances that grow with the fleet, both ways, so that
// the relation is the same from both ends and rumours need few steps.
func (v *View) ring() []waxwingwall.VM {
	type place struct {
		hash uint64
		vm   waxwingwall.VM
	}
	own := place{
		hash: xxhash.Sum64String(string(v.self.Incarnation.VM)),
		vm:   v.self.Incarnation.VM,
	}
	places := []place{own}
	for i := range v.rows {
		r := &v.rows[i]
		if r.rumour.State == Dead {
			continue
		}
		vm := r.rumour.Incarnation.VM
		places = append(places, place{
			hash: xxhash.Sum64String(string(vm)),
			vm:   vm,
		})
	}
	slices.SortFunc(places, func(a, b place) int {
		if a.hash != b.hash {
			if a.hash < b.hash {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.vm), string(b.vm))
	})
	at := slices.Index(places, own)
	n := len(places)
	var vms []waxwingwall.VM
	for _, step := range []int{1, 2, n / 3, n / 8} {
		for _, i := range []int{(at + step) % n, (at - step + n) % n} {
			vm := places[i].vm
			if vm != own.vm && !slices.Contains(vms, vm) {
				vms = append(vms, vm)
			}
		}
	}
	slices.Sort(vms)
	return vms
}

func (v *View) isNeighbour(vm waxwingwall.VM) bool {
	_, ok := slices.BinarySearch(v.neighbours, vm)
	return ok
}

// hash is that of what all routers ought to know alike.
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
