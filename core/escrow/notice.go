package escrow

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// noticeFanout is the number of peers that a node notifies of a draw; one of them has to
// outlive it.
const noticeFanout = 16

// GrantNotice notifies a peer of what a write of a share row has drawn and returned. A node
// sends it before it spends any of these tokens. If the table comes back from a copy
// without the write, and the sender has died, the peers add it again (Restorer).
type GrantNotice struct {
	// Shard is the number of the share row, Seq the ShareRow.Seq of the write. After is
	// that of the write of the notice before; zero if there was none.
	Shard int
	Seq   uint64
	After uint64

	// Changes are the changes of the grants by this write, and the entries whose marks bound
	// them no longer, or at other keepers; with zero tokens if the grant is the same.
	Changes []GrantChange

	// Marks are marks for the receiver to keep. If there are no changes they are of no
	// write, and Seq is zero.
	Marks []Mark
}

// Approximate sizes of messages and their parts, in bytes.
const (
	noticeBytes = 128
	changeBytes = 64
)

// Size returns the approximate size of the notice in bytes.
func (m GrantNotice) Size() int {
	return noticeBytes + changeBytes*(len(m.Changes)+len(m.Marks))
}

// GrantChange is the change of the grant of one budget.
type GrantChange struct {
	// Budget is the budget, Tokens what was drawn; negative if it was returned, zero if
	// only the marks of the entry have changed.
	Budget waxwingwall.Budget
	Tokens waxwingwall.Tokens
}

// notifyPeers notifies peers of the changes by a write.
func (b *Book) notifyPeers(s *shard, seq uint64, changes []GrantChange) {
	if len(changes) == 0 || !b.pacing.evenShares {
		return
	}
	to := b.witnesses()
	after := s.noticed
	s.noticed = seq
	for _, peer := range to {
		b.emit(effect.Send{
			To: peer,
			Message: GrantNotice{
				Shard:   s.index,
				Seq:     seq,
				After:   after,
				Changes: changes,
			},
		})
	}
}

// witnesses returns the peers to notify.
func (b *Book) witnesses() []waxwingwall.Incarnation {
	if b.witnessList == nil {
		b.witnessList = Witnesses(b.self, b.others(b.peers))
	}
	return b.witnessList
}

// Witnesses returns the peers that a node notifies of its draws: all of them, or
// noticeFanout, the same ones for as long as they live, so that each knows all draws.
func Witnesses(self waxwingwall.Incarnation, peers []waxwingwall.Incarnation) []waxwingwall.Incarnation {
	if len(peers) <= noticeFanout {
		return peers
	}
	type weighted struct {
		node   waxwingwall.Incarnation
		weight uint64
	}
	all := make([]weighted, 0, len(peers))
	for _, p := range peers {
		all = append(all, weighted{
			node:   p,
			weight: xxhash.Sum64String(string(self.VM) + "/" + string(p.VM)),
		})
	}
	slices.SortFunc(all, func(x, y weighted) int { return cmp.Compare(x.weight, y.weight) })
	to := make([]waxwingwall.Incarnation, 0, noticeFanout)
	for _, w := range all[:noticeFanout] {
		to = append(to, w.node)
	}
	return to
}

// Notices holds the latest GrantNotices of other nodes. Its zero value is ready to use.
type Notices struct {
	byNode map[waxwingwall.Incarnation][]notice
}

// notice is a GrantNotice with its time of arrival.
type notice struct {
	GrantNotice
	at time.Time
}

// Learn records a notice. Notices older than any copy that the table may come back from
// are dropped.
func (n *Notices) Learn(now time.Time, from waxwingwall.Incarnation, m GrantNotice) {
	if n.byNode == nil {
		n.byNode = map[waxwingwall.Incarnation][]notice{}
	}
	kept := slices.DeleteFunc(n.byNode[from], func(o notice) bool { return now.Sub(o.at) > grantLogTime })
	if !slices.ContainsFunc(kept, func(o notice) bool { return o.Shard == m.Shard && o.Seq == m.Seq }) {
		kept = append(kept, notice{
			GrantNotice: m,
			at:          now,
		})
	}
	n.byNode[from] = kept
}

// Expire drops the nodes whose notices are all too old.
func (n *Notices) Expire(now time.Time) {
	for node, all := range n.byNode {
		if !slices.ContainsFunc(all, func(o notice) bool { return now.Sub(o.at) <= grantLogTime }) {
			delete(n.byNode, node)
		}
	}
}

// Nodes returns the nodes of which there are notices, in order.
func (n *Notices) Nodes() []waxwingwall.Incarnation {
	var all []waxwingwall.Incarnation
	for node := range n.byNode {
		all = append(all, node)
	}
	slices.SortFunc(all, compare)
	return all
}

// of returns the notices of a node in the order of its writes.
func (n *Notices) of(node waxwingwall.Incarnation) []GrantNotice {
	var all []GrantNotice
	for _, o := range n.byNode[node] {
		all = append(all, o.GrantNotice)
	}
	slices.SortFunc(all, func(a, b GrantNotice) int {
		return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Seq, b.Seq))
	})
	return all
}
