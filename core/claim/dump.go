package claim

import (
	"time"

	"waxwingwall"
)

// Summary is the state of a Ledger, for the JSON state dump of the process.
type Summary struct {
	// Node is the own node row.
	Node NodeRow `json:"node"`

	// Ready and the rest tell the life of this incarnation.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	Closed   bool `json:"closed"`

	// Slots counts own slots, Frozen those being handed over.
	Slots  int `json:"slots"`
	Frozen int `json:"frozen"`

	// Head, Stable and Filed are record numbers of the own log.
	Head   int64 `json:"head"`
	Stable int64 `json:"stable"`
	Filed  int64 `json:"filed"`

	// Claims counts claims by state, Owed those that a new owner has to learn.
	Claims     []Count `json:"claims"`
	Unreported int     `json:"owed"`

	// Primaries are the incarnations that this router is a witness for.
	Primaries []Primary `json:"primaries"`

	// Takeover is the incarnation that is being taken over.
	Takeover waxwingwall.Incarnation `json:"rescue,omitzero"`
}

// Count is a number of claims.
type Count struct {
	// State is what they have in common.
	State State `json:"state"`

	// Claims is how many there are.
	Claims int `json:"claims"`
}

// Primary is a log that a router witnesses.
type Primary struct {
	// Incarnation owns the log.
	Incarnation waxwingwall.Incarnation `json:"incarnation"`

	// Records is the length of the unfiled tail.
	Records int `json:"records"`

	// Sealed is set when it takes no more.
	Sealed bool `json:"sealed"`

	// Confirmed is when its node row was last known to be open.
	Confirmed time.Time `json:"confirmed"`
}

// Dump returns a summary of the state.
func (l *Ledger) Dump() Summary {
	s := Summary{
		Node:       l.table.node,
		Ready:      l.Ready(),
		Draining:   l.draining,
		Closed:     l.closed,
		Slots:      len(l.slots.owned(l.self)),
		Frozen:     len(l.slots.frozen),
		Head:       l.log.head,
		Stable:     l.log.stable,
		Filed:      l.log.filed,
		Unreported: len(l.unreported),
	}
	for _, state := range []State{StateBegun, StateInterrupted, StateFinished, StateGone} {
		s.Claims = append(s.Claims, Count{
			State: state,
			Claims: len(l.selectClaims(func(e *entry) bool {
				return e.State == state
			})),
		})
	}
	for _, p := range l.pairings() {
		t := l.tails[p]
		s.Primaries = append(s.Primaries, Primary{
			Incarnation: p.primary,
			Records:     len(t.records),
			Sealed:      t.sealed,
			Confirmed:   t.confirmed,
		})
	}
	if l.takeover != nil {
		s.Takeover = l.takeover.dead
	}
	return s
}
