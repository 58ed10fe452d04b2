// Package effect defines the events and actions that the decision logic exchanges
// with its driver.
//
// The decision logic is a state machine: each step takes the time and an Event
// and returns Actions. It never blocks. The driver (the router, a benchmark or a
// test) performs the actions and feeds their results back as events. An action
// that expects an answer has an ID; the answer is an event with the same ID,
// which may state that the result is unknown. A lost answer is an ordinary
// event, not an error.
package effect

import (
	"waxwingwall"
)

// ID matches an action with its answer. Each package of the decision logic
// numbers its own actions and sets Part to its name, so that the driver can route
// the answer.
type ID struct {
	// Part names the package that issued the action.
	Part string `json:"part"`

	// N is a sequence number within Part.
	N uint64 `json:"n"`
}

// Action is an operation requested by the decision logic.
type Action interface {
	action()
}

// Event is an input of the decision logic.
type Event interface {
	event()
}

// IsAction is embedded in types that implement Action.
type IsAction struct{}

func (IsAction) action() {}

// IsEvent is embedded in types that implement Event.
type IsEvent struct{}

func (IsEvent) event() {}

// Tick is the periodic timer event, delivered to every package of the decision
// logic.
type Tick struct {
	IsEvent
}

// Restored means that the table came back from a copy, without its latest writes.
type Restored struct {
	IsEvent

	// MinVersion is less than all versions of rows from now on, and greater than
	// those before. Versions without it were given out again.
	MinVersion int64
}

// Transact requests a table transaction. The answer is Transacted.
type Transact struct {
	IsAction

	// ID is repeated in the answer.
	ID ID

	// Writes are applied atomically.
	Writes []waxwingwall.Write
}

// Transacted is the answer to Transact.
type Transacted struct {
	IsEvent

	// ID is the ID of the Transact.
	ID ID

	// Result is the result of the transaction.
	Result Result

	// Versions are the new versions, one for each write, if Result is Done.
	Versions []int64

	// Clock is the table's clock as it answered, or earlier, but after the call was made; zero
	// if the table does not tell.
	Clock waxwingwall.StoreClock
}

// Result is the result of an action on the platform.
type Result int

// The results of an action.
const (
	// Done means that the action was applied.
	Done Result = iota

	// Conflict means that a version did not match and that nothing was applied.
	Conflict

	// Lost means that no answer arrived: the action may have been applied, or may
	// still be.
	Lost
)

// Read requests rows by key. The answer is Rows.
type Read struct {
	IsAction

	// ID is repeated in the answer.
	ID ID

	// Keys are the keys of the requested rows.
	Keys []string
}

// List requests all rows with a key prefix. The answer is Rows.
type List struct {
	IsAction

	// ID is repeated in the answer.
	ID ID

	// Prefix is the prefix of the requested keys.
	Prefix string
}

// Rows is the answer to Read and List.
type Rows struct {
	IsEvent

	// ID is the ID of the Read or List.
	ID ID

	// Result is Done or Lost.
	Result Result

	// Rows are in the order of the requested keys; absent rows have version 0.
	Rows []waxwingwall.Row

	// Clock is the table's clock as it answered first; zero if the table does not tell. It is
	// after the call was made.
	Clock waxwingwall.StoreClock
}

// Send requests a message to a peer. Messages may be lost, duplicated, delayed
// or reordered; a sender that needs an answer retransmits.
type Send struct {
	IsAction

	// To is the destination incarnation. Any other incarnation drops the message.
	To waxwingwall.Incarnation

	// Message is one of the message types of the sending package. It is encoded by
	// package gob, so its fields are exported.
	Message any
}

// Received is the event of a message from a peer.
type Received struct {
	IsEvent

	// From is the incarnation that sent the message.
	From waxwingwall.Incarnation

	// Message is the Message of the Send.
	Message any
}
