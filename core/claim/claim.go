// Package claim keeps the promises about single requests: each identity is
// billed exactly once, "not run" means never dispatched, and a non-idempotent
// request runs at most once however and wherever its caller retries.
//
// An identity (client account and key) hashes to a slot. The `slots` row of the
// platform's table says which incarnation owns a slot, and only the owner
// accepts new keys of it. A Ledger is one incarnation's part in this. The life
// of a request at its owner:
//
//	Begin       the key is looked up. A new one (Fresh) gets a begin record.
//	Cleared     the record is stable; the request may be dispatched.
//	Dispatched  the caller announces that it dispatches now.
//	Progress    tokens generated so far, recorded now and then.
//	Settle      the request has an outcome; it gets a settle record.
//	Settled     the record is stable; the last byte may go to the caller.
//
// Abandon, in place of Dispatched, takes the key back: it was not run. Begin,
// Settle and Abandon only queue records; the next Step, which any event will do
// for, sends them together.
//
// # The log
//
// All records of an incarnation form one numbered log. A record is stable once
// it is filed in a bill row of the table, or once every witness that the
// incarnation's node row may name holds it. The witness is a peer in another
// failure domain. Bill rows are written now and then while the witness answers,
// and at once when there is none or it is silent; so a single router works, a
// broken pair goes on through the table, and an intact pair goes on without the
// table. Some bill rows carry a checkpoint, so that a closer reads the rows of
// about one retention and not those of a whole life. With neither witness nor
// table, Begin answers Unavailable for every kind of work: an unrecorded
// idempotent run would cost no second dispatch, but could leave a bill missing
// or doubled.
//
// # Closing
//
// A witness that believes its primary gone seals the log: it takes no further
// record, so nothing that it lacks can be dispatched. Then one transaction
// closes the node row and files the rest of the log as the last bill row. Every
// write of the primary checks the version of the same node row, as does its
// change to another witness; whichever commits first wins. A begun request that
// has no settle record becomes Interrupted when it is idempotent: a retry runs
// it again under the same identity, and if none comes, it is billed at its
// recorded progress after a while. Otherwise it becomes Finished as unknown and
// is billed with its reservation, since it may have run to the end and its
// budget must cover that.
//
// When owner and witness are both lost, anyone may close the node row with what
// the table holds. Non-idempotent keys of its slots that no record accounts for
// are then answered as unknown until twice the retention of claims has passed.
// A witness lets its primary go on for one retention after it has last read the
// primary's node row as open, so a pair that is cut off cannot begin a key
// later than that. Retention is the one promise that is counted in time: a key
// is remembered that long. What such a pair ran is not lost: the next life of
// the closed incarnation (Late, WithLate) and the witness tell the owners of the
// slots, who bill what they do not know yet. Bills are lost only if the processes
// of owner and witness both die before they are filed.
//
// # Slots
//
// Invariant: the owner that the slots row names has, in its own bill rows,
// every retained claim of the slot that others made. A handoff therefore goes
// in the order: the owner stops accepting keys of the slot and sends its
// claims; the receiver files them; the owner moves the slot by compare-and-set.
// A request that is running stays where it is, and the new owner points to it
// (Elsewhere) until the old one has told how it ended. An owner that cannot be
// reached does not mean that the request was not run. A takeover of the slots
// of a closed incarnation goes: read its bill rows, file the claims, move the
// slots. Whether a peer is alive (SetPeers) decides when any of this is tried,
// never whether it is safe.
package claim

import (
	"encoding/gob"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// part is the ID part of this package's actions.
const part = "claim"

// Kind is the kind of a Verdict.
type Kind int

// The kinds of verdicts.
const (
	// Unavailable means not run; come back after RetryAfter.
	Unavailable Kind = iota

	// Fresh means that a begin record is on its way. The action Cleared or
	// Refused of the identity follows; nothing may be dispatched before Cleared.
	Fresh

	// Attached means that the identity is running here.
	Attached

	// Finished means that Result tells what became of the request.
	Finished

	// Redirect means that Owner is to be asked.
	Redirect

	// Mismatch means that the key was used for other content before.
	Mismatch
)

// RunRequest describes a request that asks to run.
type RunRequest struct {
	// Identity names the request.
	Identity waxwingwall.Identity

	// Spread is the number of slots that the account uses; zero is one.
	Spread int

	// Idempotent allows the request to run more than once.
	Idempotent bool

	// Budget pays for the request.
	Budget waxwingwall.Budget

	// Worst is the reservation.
	Worst waxwingwall.Tokens

	// Digest is of the content; a key is good for one content only.
	Digest uint64
}

// Result is how a request ended.
type Result struct {
	// Outcome is Ran, NotRun or Unknown.
	Outcome waxwingwall.Outcome

	// Tokens is what is billed.
	Tokens waxwingwall.Tokens

	// Answer is the answer if it is small enough to keep.
	Answer []byte
}

// Verdict answers Begin.
type Verdict struct {
	// Kind says which of the other fields are set.
	Kind Kind

	// Owner is whom to ask, for Elsewhere.
	Owner waxwingwall.Incarnation

	// Result is how the request ended, for Finished.
	Result Result

	// RetryAfter is when to come back, for Unavailable.
	RetryAfter time.Duration

	// Rerun is set for Fresh if an earlier run was interrupted.
	Rerun bool

	// Remote is set for Finished if the request ran at another incarnation.
	Remote bool
}

// Peer is what membership believes about another router.
type Peer struct {
	// Incarnation names the router's present life.
	Incarnation waxwingwall.Incarnation

	// Address is where it listens for peers.
	Address netip.AddrPort

	// Domain is its failure domain.
	Domain waxwingwall.Domain

	// Alive is set while it is believed to live.
	Alive bool

	// Leaving is set once it is about to stop: it gets no slots and is no new
	// witness, but nobody takes over from it while it lives.
	Leaving bool
}

// Cleared tells that a request may be dispatched.
type Cleared struct {
	effect.IsAction

	// Identity names the request.
	Identity waxwingwall.Identity
}

// Refused tells that a request that was Fresh is not run after all.
type Refused struct {
	effect.IsAction

	// Identity names the request.
	Identity waxwingwall.Identity

	// Problem is the answer to the caller.
	Problem *waxwingwall.Problem
}

// Settled tells that the outcome given by Settle or Abandon is on record.
type Settled struct {
	effect.IsAction

	// Identity names the request.
	Identity waxwingwall.Identity
}

// Closed tells that this incarnation was closed by another: it must dispatch
// nothing more, and the process must go on as a new incarnation.
type Closed struct {
	effect.IsAction
}

// PeerClosed tells that the closing of Dead was completed or found here.
type PeerClosed struct {
	effect.IsAction

	// Dead is the closed incarnation.
	Dead waxwingwall.Incarnation

	// Exact is set when Spent accounts for all that Dead let go.
	Exact bool

	// Spent is ordered by budget.
	Spent []Spent
}

// Spent is the part of a budget that an incarnation's log shows as let go:
// settled requests, the progress of interrupted ones and the reservations of
// those with an unknown outcome.
type Spent struct {
	// Budget names the budget.
	Budget waxwingwall.Budget `json:"budget"`

	// Tokens is the sum.
	Tokens waxwingwall.Tokens `json:"tokens"`
}

// slotSeparator ends a key that names its slot.
const slotSeparator = "~"

// SlotOf returns the slot of an identity among slots, for an account that uses
// spread slots. Those lie evenly apart, since neighbouring slots mostly have one
// owner. A key made by LocalKey names its slot.
func SlotOf(id waxwingwall.Identity, spread, slots int) int {
	if i := strings.LastIndex(id.Key, slotSeparator); i >= 0 {
		if slot, err := strconv.Atoi(id.Key[i+1:]); err == nil && slot >= 0 && slot < slots {
			return slot
		}
	}
	base := xxhash.Sum64String(string(id.Account)) % uint64(slots)
	if spread > 1 {
		base += xxhash.Sum64String(id.Key) % uint64(spread) * slotStride(spread, slots)
	}
	return int(base % uint64(slots))
}

// slotStride is the distance between two slots of an account.
func slotStride(spread, slots int) uint64 {
	return uint64(max(slots/spread, 1))
}

// LocalKey makes a key, unique to this incarnation and n, for a request without
// one, in any slot that this router owns. It reports false if it owns none.
func (l *Ledger) LocalKey(n uint64) (string, bool) {
	for slot := range len(l.slots.row.Slots) {
		if l.owns(slot) {
			return fmt.Sprintf("%s-%d%s%d", l.self, n, slotSeparator, slot), true
		}
	}
	return "", false
}

// KeyFor makes a key, unique to this incarnation and n, for a request without
// one; in a slot that this router owns if the account has one.
func (l *Ledger) KeyFor(account waxwingwall.Account, n uint64, spread int) string {
	first := fmt.Sprintf("%s-%d", l.self, n)
	key := first
	for attempt := 1; attempt <= 4*spread; attempt++ {
		id := waxwingwall.Identity{
			Account: account,
			Key:     key,
		}
		if l.owns(l.slotOf(id, spread)) {
			return key
		}
		key = fmt.Sprintf("%s-%d", first, attempt)
	}
	return first
}

func init() {
	gob.Register(Append{})
	gob.Register(Ack{})
	gob.Register(Nack{})
	gob.Register(Give{})
	gob.Register(Taken{})
	gob.Register(Ended{})
	gob.Register(EndedAck{})
	gob.Register(Moved{})
	gob.Register(Late{})
	gob.Register(LateAck{})
}
