package edge

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
	"waxwingwall/core/member"
)

const (
	// NodeTable is the table of the rows that name the routers.
	NodeTable = "node"

	// Shards is how many share rows a router spreads its budgets over.
	Shards = 4

	// closeDelay is how long a router has to be judged dead before its shares
	// are closed; each further candidate waits closeTurn longer.
	closeDelay   = 500 * time.Millisecond
	closeStagger = 700 * time.Millisecond

	// unheardTimeout is how long a router that is only listed has to be heard.
	unheardTimeout = 3 * time.Second

	// touchInterval is how often a router that misses another shows in its row that
	// it is alive; touchValidity is how long that is believed.
	touchInterval = time.Second
	touchValidity = 2500 * time.Millisecond

	// slowLinkFactor is by which factor a link is slower than the fastest to count as
	// slow; minListed is how many routers callers are told of at least, slow
	// ones included.
	slowLinkFactor = 4
	minListed      = 4

	// busyFactor is how many times the mean number of requests a router may run,
	// beside busySlack, before new callers are sent elsewhere.
	busyFactor = 2
	busySlack  = 8

	// registerTimeout is when a registration without an answer is tried again.
	registerTimeout = 2 * time.Second
)

// nodeRow is the content of the row that names a router.
type nodeRow struct {
	// Peers and Callers are where it listens.
	Peers   netip.AddrPort `json:"peers"`
	Callers netip.AddrPort `json:"callers"`

	// Domain is its failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// LinkMbps is the speed of its VM's link in Mbit/s; zero if it isn't known.
	LinkMbps int `json:"link,omitempty"`

	// Touch counts up while it misses another router.
	Touch int `json:"touch,omitempty"`
}

// node is a router as its row names it.
type node struct {
	row     nodeRow
	version int64

	// firstSeen is when the row was first seen, moved when it last changed.
	firstSeen time.Time
	changedAt time.Time

	// downSince is since when the router has been judged dead or replaced; zero if
	// it isn't.
	downSince time.Time
}

// nodes is the directory of routers.
type nodes struct {
	rows map[waxwingwall.Incarnation]*node

	// loaded is set once the table was read, lost while it can't be.
	loaded, unavailable bool

	// registered is set once the own row is there; call is the write under way.
	registered  bool
	pendingCall uint64
	calledAt    time.Time
	touch       int
	touchedAt   time.Time
}

func (t *nodes) init() {
	t.rows = map[waxwingwall.Incarnation]*node{}
}

// Part is the name under which the IDs of this package are routed.
const Part = "edge"

// NodeKey returns the key of the row that names an incarnation.
func NodeKey(i waxwingwall.Incarnation) string {
	return NodeTable + "/" + i.String()
}

// Partition returns the partition of a row: a budget and the share rows that
// hold it have one in common.
func Partition(key string) string {
	table, rest, _ := strings.Cut(key, "/")
	switch table {
	case "budget":
		return strconv.Itoa(escrow.ShardOf(waxwingwall.Budget(rest), Shards))
	case "share":
		return rest[strings.LastIndexByte(rest, '/')+1:]
	}
	return ""
}

// Partitions returns all partitions of shares.
func Partitions() []string {
	var all []string
	for i := range Shards {
		all = append(all, strconv.Itoa(i))
	}
	return all
}

// handleNodes takes in what the store says of routers.
func (e *Edge) handleNodes(ev Nodes) {
	t := &e.nodes
	if ev.Unavailable {
		t.unavailable = true
		return
	}
	t.unavailable = false
	if ev.Snapshot {
		t.loaded = true
		listed := map[waxwingwall.Incarnation]bool{}
		for _, row := range ev.Rows {
			if i, ok := incarnationOf(row.Key); ok {
				listed[i] = true
			}
		}
		for i := range t.rows {
			if !listed[i] {
				delete(t.rows, i)
			}
		}
	}
	for _, row := range ev.Rows {
		e.updateNode(row)
	}
	e.updateMembers()
	e.ensureNewest()
	e.updateHolders()
}

// updateHolders tells the book which routers are not known to be closed.
func (e *Edge) updateHolders() {
	if e.nodes.loaded {
		e.book.SetListed(append(e.incarnations(), e.Self))
	}
}

// updateNode takes in one row.
func (e *Edge) updateNode(row waxwingwall.Row) {
	t := &e.nodes
	i, ok := incarnationOf(row.Key)
	if !ok {
		return
	}
	if row.Version == 0 {
		delete(t.rows, i)
		return
	}
	var content nodeRow
	if err := json.Unmarshal([]byte(row.Value), &content); err != nil {
		e.log("node_unreadable", "", field("node", i.String()), field("version", row.Version), field("cause", err.Error()))
		return
	}
	n := t.rows[i]
	if n == nil {
		n = &node{
			firstSeen: e.now,
		}
		t.rows[i] = n
	}
	if n.version != row.Version {
		n.changedAt = e.now
	}
	n.row = content
	n.version = row.Version
}

// incarnationOf reads the key of a node row.
func incarnationOf(key string) (waxwingwall.Incarnation, bool) {
	name, found := strings.CutPrefix(key, NodeTable+"/")
	if !found {
		return waxwingwall.Incarnation{}, false
	}
	i, err := waxwingwall.ParseIncarnation(name)
	return i, err == nil
}

// updateMembers gives the view the routers that are named, as candidates.
func (e *Edge) updateMembers() {
	var members []waxwingwall.Member
	for _, i := range e.incarnations() {
		if i.VM == e.Self.VM {
			continue
		}
		n := e.nodes.rows[i]
		e.emit(PeerAddress{
			VM:      i.VM,
			Address: n.row.Peers,
		})
		members = append(members, waxwingwall.Member{
			VM:      i.VM,
			Address: n.row.Peers,
			Domain:  n.row.Domain,
		})
	}
	e.handleActions(e.view.Step(e.now, member.Listed{
		Members: members,
	}))
}

// incarnations returns those that have a row, the newest of a VM last.
func (e *Edge) incarnations() []waxwingwall.Incarnation {
	all := make([]waxwingwall.Incarnation, 0, len(e.nodes.rows))
	for i := range e.nodes.rows {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b waxwingwall.Incarnation) int {
		if a.VM != b.VM {
			return strings.Compare(string(a.VM), string(b.VM))
		}
		return int(a.Boot - b.Boot)
	})
	return all
}

// ensureNewest makes sure that this incarnation is the newest of its VM.
func (e *Edge) ensureNewest() {
	newest := e.Self.Boot
	for i := range e.nodes.rows {
		if i.VM == e.Self.VM {
			newest = max(newest, i.Boot)
		}
	}
	if newest > e.Self.Boot {
		e.renewAs(newest+1, "an earlier life had a later clock")
	}
}

// renew goes on as a new incarnation.
func (e *Edge) renew(reason string) {
	e.renewAs(e.Self.Boot+1, reason)
}

func (e *Edge) renewAs(boot int64, reason string) {
	before := e.Self
	for _, r := range e.requests {
		// What the old book reserved is covered by its allowance, which whoever
		// closed it counts as spent.
		r.reserved = 0
	}
	e.initIncarnation(waxwingwall.Incarnation{
		VM:   before.VM,
		Boot: boot,
	})
	e.log("incarnation_renewed", "", field("before", before.String()), field("self", e.Self.String()), field("reason", reason))
	e.emit(IncarnationChanged{
		Self: e.Self,
	})
	e.updateMembers()
	e.updateHolders()
	for _, r := range e.requests {
		if r.waiting {
			r.waiting = false
			e.refuse(r, e.unavailableProblem("budget_out_of_reach", "the shares of this router were closed", defaultRetryAfter))
		}
	}
}

// register writes the own row, and shows in it that this router lives while it
// misses others.
func (e *Edge) register() {
	t := &e.nodes
	if t.pendingCall != 0 && e.now.Sub(t.calledAt) >= registerTimeout {
		t.pendingCall = 0
	}
	peerDown := false
	for _, p := range e.view.Peers(e.now) {
		peerDown = peerDown || !p.Alive || p.Suspect
	}
	touch := t.registered && peerDown && e.now.Sub(t.touchedAt) >= touchInterval
	if t.pendingCall != 0 || e.rejectsRequests() || t.registered && !touch {
		return
	}
	if touch {
		t.touch++
	}
	t.touchedAt = e.now
	e.writeNode()
}

// writeNode writes the own row.
func (e *Edge) writeNode() {
	t := &e.nodes
	text, err := json.Marshal(nodeRow{
		Peers:    e.info.Peers,
		Callers:  e.info.Callers,
		Domain:   e.info.Domain,
		LinkMbps: e.info.LinkMbps,
		Touch:    t.touch,
	})
	if err != nil {
		panic(err) // The row holds nothing that JSON refuses.
	}
	e.callSeq++
	t.pendingCall = e.callSeq
	t.calledAt = e.now
	e.emit(effect.Transact{
		ID: effect.ID{
			Part: Part,
			N:    t.pendingCall,
		},
		Writes: []waxwingwall.Write{{
			Key:    NodeKey(e.Self),
			Expect: waxwingwall.AnyVersion,
			Value:  string(text),
		}},
	})
}

// handleTransacted takes in the result of a write of the own row.
func (e *Edge) handleTransacted(ev effect.Transacted) {
	t := &e.nodes
	if ev.ID.Part != Part || ev.ID.N != t.pendingCall {
		return
	}
	t.pendingCall = 0
	if ev.Result != effect.Done {
		return
	}
	if !t.registered {
		t.registered = true
		e.log("registered", "", field("self", e.Self.String()), field("version", ev.Versions[0]))
	}
}

// peersChanged takes in that the view of the others has changed.
func (e *Edge) peersChanged() {
	var alive []waxwingwall.Incarnation
	for _, p := range e.view.Peers(e.now) {
		e.emit(PeerAddress{
			VM:      p.Incarnation.VM,
			Address: p.Address,
		})
		if p.Alive && !p.Leaving {
			alive = append(alive, p.Incarnation)
		}
		e.logPeerChange(p)
	}
	e.book.SetPeers(alive)
}

// logPeerChange logs a change of what is believed of a peer.
func (e *Edge) logPeerChange(p member.Peer) {
	n := e.nodes.rows[p.Incarnation]
	if n == nil {
		return
	}
	switch {
	case p.Alive && !n.downSince.IsZero():
		n.downSince = time.Time{}
		e.log("peer_alive", "", field("peer", p.Incarnation.String()))
	case !p.Alive && n.downSince.IsZero():
		n.downSince = e.now
		e.log("peer_dead", "", field("peer", p.Incarnation.String()))
	}
}

// fleetSize is how many routers there are, this one included.
func (e *Edge) fleetSize() int {
	n := 1
	for _, p := range e.view.Peers(e.now) {
		if p.Alive {
			n++
		}
	}
	return n
}
