package claim

import (
	"time"

	"waxwingwall"
)

// Summary is the state of a Ledger, for the JSON state dump of the process.
type Summary struct {
	// Node is the own node row.
	Node NodeRow `json:"node"`

	// Ready, Draining and Closed are the lifecycle state of the incarnation.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	Closed   bool `json:"closed"`

	// Slots is the number of own slots. Frozen is the number of those that are
	// being handed off and accept no new key.
	Slots  int `json:"slots"`
	Frozen int `json:"frozen"`

	// Head, Stable and Filed are record numbers of the own log.
	Head   int64 `json:"head"`
	Stable int64 `json:"stable"`
	Filed  int64 `json:"filed"`

	// Claims are the numbers of claims by state; Unreported is the number of
	// ended requests that the owner of the slot has not acknowledged.
	Claims     []Count `json:"claims"`
	Unreported int     `json:"owed"`

	// Primaries are the logs that this router witnesses.
	Primaries []Primary `json:"primaries"`

	// Takeover is the incarnation whose slots are being taken over.
	Takeover waxwingwall.Incarnation `json:"rescue,omitzero"`
}

// Count is the number of claims in a state.
type Count struct {
	// State is the state counted.
	State State `json:"state"`

	// Claims is the number of claims.
	Claims int `json:"claims"`
}

// Primary is the state of a log that this router witnesses.
type Primary struct {
	// Incarnation owns the log.
	Incarnation waxwingwall.Incarnation `json:"incarnation"`

	// Records is the number of unfiled records.
	Records int `json:"records"`

	// Sealed is set once no more records are accepted.
	Sealed bool `json:"sealed"`

	// Confirmed is when the node row of the owner was last known to be open.
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
	for _, state := range []State{StateBegun, StateInterrupted, StateFinished, StateNotRun} {
		s.Claims = append(s.Claims, Count{
			State: state,
			Claims: len(l.selectClaims(func(e *entry) bool {
				return e.State == state
			})),
		})
	}
	for _, p := range l.pairings() {
		t := l.witnessedLogs[p]
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
