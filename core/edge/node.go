package edge

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
	"waxwingwall/core/member"
	"waxwingwall/core/quarantine"
)

const (
	// NodeTable is the table of the rows of routers.
	NodeTable = "node"

	// Shards is the number of share rows over which a router spreads its budgets.
	Shards = 4

	// replacedCloseDelay is how long a router must have been dead before its shares
	// are closed if a newer incarnation of its VM has started, silentCloseDelay if
	// not: a full link silences a live router for seconds, and closing it returns
	// little, as all of a share may be spent. Each further candidate for closing
	// them waits closeStagger longer.
	replacedCloseDelay = 500 * time.Millisecond
	silentCloseDelay   = 20 * time.Second
	closeStagger       = 700 * time.Millisecond

	// closeTime is how long closing the shares of a router usually takes.
	closeTime = 500 * time.Millisecond

	// firstHeartbeatTimeout is the time after its row was first seen from which a
	// router without any heartbeat counts as dead.
	firstHeartbeatTimeout = 3 * time.Second

	// A router that considers another one dead or suspect updates its own row to show that
	// it is live: every minTouchInterval, or in a large fleet every touchPerRouter times the
	// number of routers, which bounds the writes of the fleet, since each of them is read
	// by all. An update counts for touchTTLIntervals of these intervals.
	minTouchInterval  = time.Second
	touchPerRouter    = 25 * time.Millisecond
	touchTTLIntervals = 2.5

	// slowLinkFactor is how many times slower than the fastest a link must be to
	// count as slow; minListed is the minimum number of routers listed to callers,
	// slow ones included.
	slowLinkFactor = 4
	minListed      = 4

	// busyFactor times the mean number of requests, plus busySlack, is the number
	// of requests above which a router is not listed to new callers.
	busyFactor = 2
	busySlack  = 8

	// registerTimeout is the time after which a write of the router's own row
	// without an answer is retried.
	registerTimeout = 2 * time.Second

	// The limits of a router's row.
	maxNameBytes = 256
	maxLinkMbps  = 10_000_000
)

// nodeRow is the content of the row of a router, encoded as JSON.
type nodeRow struct {
	// Peers and Callers are the listen addresses.
	Peers   netip.AddrPort `json:"peers"`
	Callers netip.AddrPort `json:"callers"`

	// Tunnels is the listen address for tunnels to endpoints; invalid if there is none.
	Tunnels netip.AddrPort `json:"tunnels,omitzero"`

	// Domain is the router's failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// LinkMbps is the speed of the VM's link in Mbit/s; zero if unknown.
	LinkMbps int `json:"link,omitempty"`

	// Touch counts the updates that show that the router is live.
	Touch int `json:"touch,omitempty"`

	// Builds are builds of services that were listed in the streamRetention before; at most
	// maxRowBuilds of each service.
	Builds map[waxwingwall.Model][]build `json:"builds,omitempty"`

	// Blocked are the notices of requests that are blocked, since they crashed endpoints.
	Blocked []quarantine.Notice `json:"blocked,omitempty"`

	// Era is the StoreEra.MinVersion in which the router has written all of its rows.
	Era int64 `json:"era,omitempty"`

	// PeersEra is the StoreEra.MinVersion in which the router has also written the rows
	// of dead routers, as far as it knows of their draws.
	PeersEra int64 `json:"peers_era,omitempty"`

	// Clock is the store's clock in the first answer to the process: those before it on the VM
	// had ended by then. It is zero if that is not known.
	Clock escrow.RowClock `json:"clock,omitzero"`

	// Out is set while the router is out of rotation.
	Out bool `json:"out,omitempty"`
}

// node is a router according to its row.
type node struct {
	row     nodeRow
	version int64

	// firstSeen is when the row was first seen, changedAt when it last changed.
	firstSeen time.Time
	changedAt time.Time

	// deadSince is when the incarnation was found dead or replaced by a newer one
	// of its VM; zero if it is neither.
	deadSince time.Time

	// turn is the closeTurn of this router for a dead incarnation, as of turnEpoch.
	turn, turnEpoch int
}

// nodes is the directory of routers.
type nodes struct {
	rows map[waxwingwall.Incarnation]*node

	// sorted are the incarnations in rows, by VM with the newest of each VM last; nil if
	// out of date.
	sorted []waxwingwall.Incarnation

	// perhapsDead are the incarnations in rows that are not known to be live, in the order
	// of sorted; out of date while perhapsDeadStale is set.
	perhapsDead      []waxwingwall.Incarnation
	perhapsDeadStale bool

	// peersEpoch counts the changes of the member view; peerUnresponsive is set while a
	// peer is dead or suspect.
	peersEpoch       int
	peerUnresponsive bool

	// addresses are the addresses of VMs as last emitted in PeerAddress.
	addresses map[waxwingwall.VM]netip.AddrPort

	// newest is the boot time of the newest incarnation of each VM in rows.
	newest map[waxwingwall.VM]int64

	// loaded is set once the table has been read, unavailable while it can't be
	// read.
	loaded, unavailable bool

	// registered is set once the router's own row is written; pendingCall is the
	// write in flight, zero if there is none.
	registered  bool
	pendingCall uint64
	pendingEras eras
	calledAt    time.Time

	// era is the newest StoreEra.MinVersion, written are those in the router's own row.
	era     int64
	written eras

	// stage is that of the work since the store came back from a copy at restoredAt; it
	// began at stageAt. restorers rewrite the rows of dead routers.
	stage      restoreStage
	stageAt    time.Time
	restoredAt time.Time
	restorers  []*escrow.Restorer

	// touch is the content of nodeRow.Touch; touchedAt is when the router last
	// issued a write of its own row.
	touch     int
	touchedAt time.Time
}

// eras are nodeRow.Era and nodeRow.PeersEra.
type eras struct {
	own, peers int64
}

func (t *nodes) init() {
	t.rows = map[waxwingwall.Incarnation]*node{}
	t.addresses = map[waxwingwall.VM]netip.AddrPort{}
}

// Part is the ID.Part of this package's actions.
const Part = "edge"

// NodeKey returns the key of the row of an incarnation.
func NodeKey(i waxwingwall.Incarnation) string {
	return NodeTable + "/" + i.String()
}

// Partition returns the partition of a row. A budget and the share rows that
// hold it have the same partition.
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

// handleNodes applies an update of the routers in the store.
func (e *Edge) handleNodes(ev Nodes) {
	t := &e.nodes
	if ev.Unavailable {
		t.unavailable = true
		return
	}
	t.unavailable = false
	firstLoad := ev.Snapshot && !t.loaded
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
	moved := ev.Snapshot
	for _, row := range ev.Rows {
		moved = e.updateNode(row) || moved
	}
	if !moved {
		return
	}
	t.sorted = nil
	t.perhapsDeadStale = true
	t.newest = make(map[waxwingwall.VM]int64, len(t.rows))
	for i := range t.rows {
		t.newest[i.VM] = max(t.newest[i.VM], i.Boot)
	}
	if firstLoad {
		e.adoptBuilds()
		e.adoptRotation()
	}
	e.limiterStale = true
	e.updateMembers()
	e.ensureNewest()
	e.updateHolders()
}

// updateHolders passes to the book the routers whose shares may still be open.
func (e *Edge) updateHolders() {
	if e.nodes.loaded {
		e.book.SetOpenNodes(append(slices.Clone(e.incarnations()), e.Self))
	}
}

// updateNode applies one row. It reports whether a router came, left or moved, rather than
// showed that it is live.
func (e *Edge) updateNode(row waxwingwall.Row) bool {
	t := &e.nodes
	i, ok := incarnationOf(row.Key)
	if !ok {
		return false
	}
	if row.Version == 0 {
		_, listed := t.rows[i]
		delete(t.rows, i)
		return listed
	}
	content, err := decodeNode(i, row.Value)
	if err != nil {
		e.log("node_unreadable", "", field("node", waxwingwall.Excerpt(i.String())), field("version", row.Version), field("cause", waxwingwall.Excerpt(err.Error())))
		return false
	}
	n := t.rows[i]
	moved := n == nil || n.row.Peers != content.Peers || n.row.Domain != content.Domain
	if n != nil && content.Out && !n.row.Out && content.Domain == e.info.Domain {
		e.rotation.peerLeftAt = e.now
	}
	if n == nil {
		n = &node{
			firstSeen: e.now,
		}
		t.rows[i] = n
	}
	if n.version != row.Version {
		n.changedAt = e.now
		e.learnCrashes(i, "row", content.Blocked)
	}
	n.row = content
	n.version = row.Version
	return moved
}

// decodeNode decodes the row of a router. Another writer may have left anything there.
func decodeNode(i waxwingwall.Incarnation, value string) (nodeRow, error) {
	var content nodeRow
	if err := json.Unmarshal([]byte(value), &content); err != nil {
		return content, err
	}
	switch {
	case len(i.VM) > maxNameBytes || len(content.Domain) > maxNameBytes:
		return content, errors.New("a name is too long")
	case !reachable(content.Peers) || !reachable(content.Callers):
		return content, fmt.Errorf("invalid address: peers %v, callers %v", content.Peers, content.Callers)
	case content.Tunnels != netip.AddrPort{} && !reachable(content.Tunnels):
		return content, fmt.Errorf("invalid address for tunnels: %v", content.Tunnels)
	case content.LinkMbps < 0 || content.LinkMbps > maxLinkMbps:
		return content, fmt.Errorf("invalid link speed %d", content.LinkMbps)
	case content.Era < 0 || content.PeersEra < 0:
		return content, fmt.Errorf("invalid era: %d, %d", content.Era, content.PeersEra)
	case len(content.Blocked) > maxBlockedNotices:
		return content, fmt.Errorf("%d notices of blocked requests", len(content.Blocked))
	case !content.Clock.Valid():
		return content, fmt.Errorf("invalid clock: %+v", content.Clock)
	}
	return content, nil
}

// reachable reports whether a connection can be made to an address.
func reachable(a netip.AddrPort) bool {
	ip := a.Addr().Unmap()
	return a.IsValid() && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast()
}

// incarnationOf parses the key of a node row.
func incarnationOf(key string) (waxwingwall.Incarnation, bool) {
	name, found := strings.CutPrefix(key, NodeTable+"/")
	if !found {
		return waxwingwall.Incarnation{}, false
	}
	i, err := waxwingwall.ParseIncarnation(name)
	return i, err == nil
}

// updateMembers passes the listed routers to the member view as candidates.
func (e *Edge) updateMembers() {
	var members []waxwingwall.Member
	for _, i := range e.incarnations() {
		if i.VM == e.Self.VM {
			continue
		}
		n := e.nodes.rows[i]
		if e.nodes.addresses[i.VM] != n.row.Peers {
			e.nodes.addresses[i.VM] = n.row.Peers
			e.emit(PeerAddress{
				VM:      i.VM,
				Address: n.row.Peers,
			})
		}
		members = append(members, waxwingwall.Member{
			VM:      i.VM,
			Address: n.row.Peers,
			Domain:  n.row.Domain,
		})
	}
	e.versions.ownersStale = true
	e.handleActions(e.view.Step(e.now, member.Listed{
		Members: members,
	}))
}

// incarnations returns the incarnations that have a row, sorted by VM with the
// newest of each VM last. The result must not be changed.
func (e *Edge) incarnations() []waxwingwall.Incarnation {
	t := &e.nodes
	if len(t.sorted) == len(t.rows) {
		return t.sorted
	}
	t.sorted = make([]waxwingwall.Incarnation, 0, len(t.rows))
	for i := range t.rows {
		t.sorted = append(t.sorted, i)
	}
	slices.SortFunc(t.sorted, func(a, b waxwingwall.Incarnation) int {
		return cmp.Or(strings.Compare(string(a.VM), string(b.VM)), cmp.Compare(a.Boot, b.Boot))
	})
	return t.sorted
}

// ensureNewest ensures that this incarnation is the newest of its VM.
func (e *Edge) ensureNewest() {
	newest := e.Self.Boot
	for i := range e.nodes.rows {
		if i.VM == e.Self.VM {
			newest = max(newest, i.Boot)
		}
	}
	if newest > e.Self.Boot {
		e.renewAs(newest+1, "an earlier incarnation had a later clock")
	}
}

// renew continues as the next incarnation.
func (e *Edge) renew(reason string) {
	e.renewAs(e.Self.Boot+1, reason)
}

func (e *Edge) renewAs(boot int64, reason string) {
	before := e.Self
	e.births.renewed = true
	e.births.written = false
	e.crashes.renewed()
	for _, r := range e.requests {
		// The old book's reservations are covered by its allowance, which the router
		// that closed it counts as spent.
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

// register writes the router's own row, and updates it to show that the router
// is live while another one appears dead or suspect.
func (e *Edge) register() {
	t := &e.nodes
	if t.pendingCall != 0 && e.now.Sub(t.calledAt) >= registerTimeout {
		t.pendingCall = 0
	}
	touch := t.registered && t.peerUnresponsive && e.now.Sub(t.touchedAt) >= e.touchInterval()
	e.updateBlockedRow()
	outdated := t.written != e.eras() || e.births.outdated() || e.versions.rowOutdated(e.now) || e.crashes.rowOutdated() ||
		e.rotation.writtenOut != e.rotation.out
	if t.pendingCall != 0 || e.refusesRequests() || t.registered && !touch && !outdated {
		return
	}
	if touch {
		t.touch++
	}
	t.touchedAt = e.now
	e.writeNode()
}

// touchInterval returns the interval at which the router shows that it is live.
func (e *Edge) touchInterval() time.Duration {
	return max(minTouchInterval, time.Duration(len(e.nodes.rows))*touchPerRouter)
}

// touchTTL returns how long a change of a router's row shows that it is live.
func (e *Edge) touchTTL() time.Duration {
	return time.Duration(touchTTLIntervals * float64(e.touchInterval()))
}

// writeNode writes the router's own row.
func (e *Edge) writeNode() {
	t := &e.nodes
	text, err := json.Marshal(nodeRow{
		Peers:    e.info.Peers,
		Callers:  e.info.Callers,
		Tunnels:  e.info.Tunnels,
		Domain:   e.info.Domain,
		LinkMbps: e.info.LinkMbps,
		Touch:    t.touch,
		Builds:   e.versions.row,
		Blocked:  e.crashes.row,
		Era:      e.eras().own,
		PeersEra: e.eras().peers,
		Clock:    e.births.clock(),
		Out:      e.rotation.out,
	})
	if err != nil {
		panic(err) // The row contains only values that JSON can encode.
	}
	e.callSeq++
	t.pendingCall = e.callSeq
	t.pendingEras = e.eras()
	e.rotation.pendingOut = e.rotation.out
	e.births.pending = e.births.clock().Known()
	e.versions.pending = e.versions.row
	e.crashes.pendingRow = e.crashes.row
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

// handleTransacted handles the result of a write of the router's own row.
func (e *Edge) handleTransacted(ev effect.Transacted) {
	t := &e.nodes
	if ev.ID.Part != Part || ev.ID.N != t.pendingCall {
		return
	}
	t.pendingCall = 0
	if ev.Result != effect.Done {
		return
	}
	t.written = t.pendingEras
	e.rotation.writtenOut = e.rotation.pendingOut
	e.births.written = e.births.pending
	e.versions.written = e.versions.pending
	e.crashes.writtenRow = e.crashes.pendingRow
	if !t.registered {
		t.registered = true
		e.limiterStale = true
		e.log("registered", "", field("self", e.Self.String()), field("version", ev.Versions[0]))
	}
}

// peersChanged handles a change in the member view.
func (e *Edge) peersChanged() {
	t := &e.nodes
	t.peersEpoch++
	t.perhapsDeadStale = true
	t.peerUnresponsive = false
	peers := e.view.Peers(e.now)
	live := make([]waxwingwall.Incarnation, 0, len(peers))
	for _, p := range peers {
		if t.addresses[p.Incarnation.VM] != p.Address {
			t.addresses[p.Incarnation.VM] = p.Address
			e.emit(PeerAddress{
				VM:      p.Incarnation.VM,
				Address: p.Address,
			})
		}
		if p.Alive && !p.Leaving {
			live = append(live, p.Incarnation)
		}
		t.peerUnresponsive = t.peerUnresponsive || !p.Alive || p.Suspect
		e.logPeerChange(p)
	}
	e.book.SetPeers(live)
	e.gossip.targets = nil
	e.limiterStale = true
	e.versions.ownersStale = true
	e.crashes.rowStale = true
}

// logPeerChange logs a change of the state of a peer.
func (e *Edge) logPeerChange(p member.Peer) {
	n := e.nodes.rows[p.Incarnation]
	if n == nil {
		return
	}
	switch {
	case p.Alive && !n.deadSince.IsZero():
		n.deadSince = time.Time{}
		e.log("peer_alive", "", field("peer", p.Incarnation.String()))
	case !p.Alive && n.deadSince.IsZero():
		n.deadSince = e.now
		e.log("peer_dead", "", field("peer", p.Incarnation.String()))
	}
}

// peerLink returns the speed of a router's link in Mbit/s; zero if it is unknown.
func (e *Edge) peerLink(p waxwingwall.Incarnation) int {
	if n := e.nodes.rows[p]; n != nil {
		return n.row.LinkMbps
	}
	return 0
}

// tunnelAddress returns the address at which a router makes tunnels; invalid if it has none.
func (e *Edge) tunnelAddress(p waxwingwall.Incarnation) netip.AddrPort {
	if n := e.nodes.rows[p]; n != nil {
		return n.row.Tunnels
	}
	return netip.AddrPort{}
}

// fleetSize returns the number of live routers, including this one.
func (e *Edge) fleetSize() int {
	n := 1
	for _, p := range e.view.Peers(e.now) {
		if p.Alive {
			n++
		}
	}
	return n
}
