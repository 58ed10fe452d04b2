package escrow

import (
	"cmp"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Marks let the share of a dead node be returned although its row allows all of it. A node
// tells some of its peers, its keepers, the most that it may have committed, a little ahead
// of use, and commits no more than enough of them have acknowledged. Its share row names
// the keepers and the entries to which that applies. A Closer seals the node at the keepers:
// from then on they acknowledge no further mark of it. If enough of them answer, one of
// them has the mark in force, and the grant less the highest mark is returned. Otherwise
// all of the allowance counts as spent, as it does for entries without marks.
//
// With n keepers of which any r answers suffice to close, a mark is in force once n - r + 1
// have acknowledged it. A node that may have several rows in force, by writes without an
// answer, stays within the marks of each of them.

const (
	// maxKeepers is the maximum number of keepers of a node. spareKeepers of them may be
	// silent while the node raises its marks, or one in smallFleetSpare if there are fewer.
	maxKeepers      = 10
	spareKeepers    = 1
	smallFleetSpare = 3

	// keptTime is how long the marks of a node that is not known to be open are kept.
	keptTime = 2 * grantLogTime

	// maxShards limits the share rows of a node of which a keeper notes the writes.
	maxShards = 1 << 10

	// maxMarks limits the budgets of which a keeper keeps marks for one node.
	maxMarks = 1 << 16
)

// Mark is the mark of one budget.
type Mark struct {
	// Budget is the budget.
	Budget waxwingwall.Budget

	// Seq orders the marks of the budget; the newest is in force.
	Seq uint64

	// Tokens bounds what the node commits, less what it receives. It can be negative.
	Tokens waxwingwall.Tokens

	// Used is what the node has used so far, less what it received and did not pass on.
	Used waxwingwall.Tokens
}

// valid reports whether a node can have sent the mark.
func (m Mark) valid() bool {
	return m.Tokens >= -maxTokens && m.Tokens <= maxTokens && m.Used >= -maxTokens && m.Used <= m.Tokens && m.Seq <= maxSeq
}

// MarksKept acknowledges the marks of a GrantNotice.
type MarksKept struct {
	// Marks are the marks as they are kept now.
	Marks []Mark

	// Sealed is set if the node is sealed: its marks are no longer acknowledged.
	Sealed bool
}

// Size returns the approximate size of the message in bytes.
func (m MarksKept) Size() int {
	return noticeBytes + changeBytes*len(m.Marks)
}

// SealMarks asks a keeper to acknowledge no further mark of a node that is being closed.
type SealMarks struct {
	// Node is the node.
	Node waxwingwall.Incarnation
}

// MarksSealed is the answer to SealMarks.
type MarksSealed struct {
	// Node is the node.
	Node waxwingwall.Incarnation

	// Marks are all marks of it that the keeper has.
	Marks []Mark

	// Writes are the newest writes of its share rows that the keeper was notified of.
	Writes []ShareWrite
}

// ShareWrite is a write of a share row.
type ShareWrite struct {
	// Shard is the number of the share row and Seq the ShareRow.Seq of the write.
	Shard int
	Seq   uint64
}

// Size returns the approximate size of the message in bytes.
func (m MarksSealed) Size() int {
	return noticeBytes + changeBytes*(len(m.Marks)+len(m.Writes))
}

// Keeper keeps the marks of other nodes. Its zero value is ready to use. What it forgets,
// or never got, only means that more counts as spent.
type Keeper struct {
	nodes map[waxwingwall.Incarnation]*keptNode
}

// keptNode is what is kept of one node.
type keptNode struct {
	// sealed is set for good.
	sealed bool

	marks map[waxwingwall.Budget]Mark

	// writes are the newest writes by shard.
	writes map[int]uint64

	// heardAt is when the node was last heard of.
	heardAt time.Time
}

// node returns what is kept of a node, and creates it if needed.
func (k *Keeper) node(i waxwingwall.Incarnation) *keptNode {
	if k.nodes == nil {
		k.nodes = map[waxwingwall.Incarnation]*keptNode{}
	}
	n := k.nodes[i]
	if n == nil {
		n = &keptNode{
			marks:  map[waxwingwall.Budget]Mark{},
			writes: map[int]uint64{},
		}
		k.nodes[i] = n
	}
	return n
}

// Learn keeps the marks of a notice and returns the acknowledgement, if there is one to
// send. refused is the number of marks that no node sends; they are not kept.
func (k *Keeper) Learn(now time.Time, from waxwingwall.Incarnation, m GrantNotice) (kept MarksKept, answer bool, refused int) {
	n := k.node(from)
	n.heardAt = now
	if n.writes != nil && m.Seq > 0 && m.Shard >= 0 && m.Shard < maxShards {
		n.writes[m.Shard] = max(n.writes[m.Shard], m.Seq)
	}
	if len(m.Marks) == 0 {
		return MarksKept{}, false, 0
	}
	if n.sealed {
		return MarksKept{
			Sealed: true,
		}, true, 0
	}
	for _, mark := range m.Marks {
		current, found := n.marks[mark.Budget]
		switch {
		case !mark.valid() || !found && len(n.marks) >= maxMarks || found && mark.Seq == current.Seq && mark.Tokens != current.Tokens:
			refused++
			continue
		case !found || mark.Seq > current.Seq:
			n.marks[mark.Budget] = mark
			current = mark
		}
		kept.Marks = append(kept.Marks, current)
	}
	return kept, true, refused
}

// Seal seals a node and returns what is kept of it.
func (k *Keeper) Seal(i waxwingwall.Incarnation) MarksSealed {
	n := k.node(i)
	n.sealed = true
	s := MarksSealed{
		Node: i,
	}
	for _, m := range n.marks {
		s.Marks = append(s.Marks, m)
	}
	slices.SortFunc(s.Marks, func(a, b Mark) int { return cmp.Compare(a.Budget, b.Budget) })
	for shard, seq := range n.writes {
		s.Writes = append(s.Writes, ShareWrite{
			Shard: shard,
			Seq:   seq,
		})
	}
	slices.SortFunc(s.Writes, func(a, b ShareWrite) int { return a.Shard - b.Shard })
	return s
}

// Receive handles a message for the keeper. The actions are its answers.
func (k *Keeper) Receive(now time.Time, ev effect.Received) (actions []effect.Action, refused int) {
	switch m := ev.Message.(type) {
	case GrantNotice:
		kept, answer, refused := k.Learn(now, ev.From, m)
		if !answer {
			return nil, 0
		}
		return []effect.Action{effect.Send{
			To:      ev.From,
			Message: kept,
		}}, refused
	case SealMarks:
		return []effect.Action{effect.Send{
			To:      ev.From,
			Message: k.Seal(m.Node),
		}}, 0
	}
	return nil, 0
}

// Expire drops the marks of the nodes that were not heard of for long and are not open. That
// a node is sealed is kept.
func (k *Keeper) Expire(now time.Time, open func(waxwingwall.Incarnation) bool) {
	for i, n := range k.nodes {
		if now.Sub(n.heardAt) <= keptTime || open(i) {
			continue
		}
		if !n.sealed {
			delete(k.nodes, i)
			continue
		}
		n.marks = nil
		n.writes = nil
	}
}

// answersToClose returns how many of a number of keepers have to answer a Closer. In a small
// fleet all peers are keepers, and half of them may die with the node; the more have to
// answer, the more may be silent while the node raises its marks. In a larger one the
// keepers are a sample of the peers, of which few may be left.
func answersToClose(keepers int) int {
	if keepers < maxKeepers {
		return 1 + keepers/smallFleetSpare
	}
	return 1 + spareKeepers
}
