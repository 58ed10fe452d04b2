// Package claim records request identities in a log, so that each identity is
// billed exactly once, "not run" means never dispatched, and a non-idempotent
// request runs at most once however and wherever its caller retries.
//
// An identity (client account and key) hashes to a slot. The `slots` row of the
// platform's table names the owner of each slot, an incarnation, and only the
// owner accepts new keys of the slot. A Ledger is the state of one incarnation.
// The life of a request at its owner:
//
//	Begin       looks the key up. A new one (Fresh) gets a begin record.
//	Cleared     reports that the record is stable; the request may be dispatched.
//	Dispatched  marks the request as dispatched.
//	Progress    updates the tokens generated so far, which are recorded at intervals.
//	Settle      gives the outcome of the request, which gets a settle record.
//	Settled     reports that the record is stable and copied; the last byte may go to the caller.
//
// Abandon, in place of Dispatched, records that the request was not run. Begin,
// Settle and Abandon only queue records; the next Step, with any event, sends
// them together.
//
// # The log
//
// All records of an incarnation form one numbered log. A bill row of the table
// holds a range of consecutive records, reduced to the last one of each
// identity. A record is stable once it is filed in a bill row, or once every
// witness that the incarnation's node row may name holds it. The witness is a
// peer, in another failure domain if there is one; the incarnation is its
// primary. Bill rows are written at intervals while the witness responds, and
// at once when there is none or it does not respond. A single router therefore
// works, a router without its witness continues with the table, and a router
// with its witness continues without the table. Some bill rows carry a
// checkpoint, so that a closer reads the rows of about one retention instead of
// all. With neither witness nor table, Begin returns Unavailable for every
// request, idempotent or not: an unrecorded idempotent run would cause no
// second dispatch, but its bill could be missing or duplicated.
//
// # Closing
//
// A witness that considers its primary dead seals the log: it accepts no
// further record, so no request whose record it lacks can be dispatched. Then
// one transaction closes the node row and files the rest of the log as the
// last bill row. Every write of the primary to its own rows, including its
// change to another witness, checks the version of the same node row: none can
// commit after the close, and one that commits first makes the close fail with
// a conflict. A begun idempotent request without a settle record becomes
// Interrupted: a retry runs it again under the same identity; if there is
// none, it is billed at its recorded progress after a timeout. A
// non-idempotent one becomes Finished with an unknown outcome and is billed
// with its reservation, since it may have run to the end and its budget must
// cover that.
//
// If owner and witness are both lost, any router may close the node row with
// what the table holds. Non-idempotent keys of its slots without a record are
// then answered as unknown until twice the retention of claims has passed. A
// witness acknowledges records of its primary for at most one retention after
// it last read the primary's node row as open, so an isolated pair cannot
// begin a key later than that. Retention is the only guarantee that depends on
// time: a finished key is kept for one retention. The runs of such a pair are
// not lost: the next incarnation of the closed router's process (Late,
// WithLate) and the witness send them to the owners of the slots, which bill
// those that they do not know yet. A third router, the spare, holds a copy of
// the log as well, or the table does, before Settled is emitted, and sends what
// was settled in the same way. So the bill of an answer is lost only if three
// processes die before it is filed, or two if there is no third router, or if
// neither it nor the table was in reach. What was begun and not settled may be
// lost with owner and witness.
//
// # Slots
//
// Invariant: the owner named in the slots row has, in its own bill rows, every
// retained claim of the slot that others made. The order of a handoff is
// therefore: the owner stops accepting keys of the slot and sends its claims; the
// receiver files them; the owner moves the slot by compare-and-set. A running
// request stays where it is, and the new owner redirects to it (Redirect) until
// the old owner has reported its end. An owner that cannot be reached does not
// imply that the request was not run. The order of a takeover of the slots of a
// closed incarnation is: read its bill rows, file the claims, move the slots.
// Whether a peer is live (SetPeers) decides when any of this is tried, never
// whether it is safe.
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

// part is the ID.Part of this package's actions.
const part = "claim"

// Kind is the kind of a Verdict.
type Kind int

// The kinds of verdicts.
const (
	// Unavailable means that the request was not run; retry after RetryAfter.
	Unavailable Kind = iota

	// Fresh means that the key is new and a begin record is being written. The
	// action Cleared or Refused of the identity follows; nothing may be
	// dispatched before Cleared.
	Fresh

	// Attached means that the request is running on this router.
	Attached

	// Finished means that the request has ended; see Result.
	Finished

	// Redirect means that Owner has to be asked instead.
	Redirect

	// Mismatch means that the key was already used for different content.
	Mismatch
)

// RunRequest describes a request to be run.
type RunRequest struct {
	// Identity identifies the request.
	Identity waxwingwall.Identity

	// Spread is the number of slots used by the account; zero means one.
	Spread int

	// Idempotent is set if the request may run more than once.
	Idempotent bool

	// Budget is the budget that pays for the request.
	Budget waxwingwall.Budget

	// Worst is the reservation, the most that the request can cost.
	Worst waxwingwall.Tokens

	// Digest is the digest of the content; a key is valid for one content
	// only.
	Digest uint64
}

// Result is the result of a request that has ended.
type Result struct {
	// Outcome is Ran, NotRun or Unknown.
	Outcome waxwingwall.Outcome

	// Tokens is the number of tokens billed.
	Tokens waxwingwall.Tokens

	// Answer is the answer; nil if it is too large to keep.
	Answer []byte
}

// Verdict is the result of Begin.
type Verdict struct {
	// Kind determines which of the other fields are set.
	Kind Kind

	// Owner is the incarnation to ask, for Redirect.
	Owner waxwingwall.Incarnation

	// Result is the result of the request, for Finished.
	Result Result

	// RetryAfter is the time until the next attempt, for Unavailable.
	RetryAfter time.Duration

	// Rerun is set for Fresh if an earlier run was interrupted.
	Rerun bool

	// Remote is set for Finished if the request ran at another incarnation.
	Remote bool
}

// Peer is the membership state of another router.
type Peer struct {
	// Incarnation is the current incarnation of the router.
	Incarnation waxwingwall.Incarnation

	// Address is its address for peers.
	Address netip.AddrPort

	// Domain is its failure domain.
	Domain waxwingwall.Domain

	// Alive is set while membership considers it live.
	Alive bool

	// Leaving is set once it is about to stop: it receives no slots and is not
	// chosen as a witness, but nobody takes over its slots while it is live.
	Leaving bool
}

// Cleared reports that a request may be dispatched.
type Cleared struct {
	effect.IsAction

	// Identity identifies the request.
	Identity waxwingwall.Identity
}

// Refused reports that a request with the verdict Fresh will not be run.
type Refused struct {
	effect.IsAction

	// Identity identifies the request.
	Identity waxwingwall.Identity

	// Problem is the answer to the caller.
	Problem *waxwingwall.Problem
}

// Settled reports that the outcome given by Settle, Interrupt or Abandon is
// stable.
type Settled struct {
	effect.IsAction

	// Identity identifies the request.
	Identity waxwingwall.Identity
}

// Closed reports that another router closed this incarnation: it must not
// dispatch anything more, and the process must continue as a new incarnation.
type Closed struct {
	effect.IsAction
}

// PeerClosed reports that this router closed Dead or found it closed.
type PeerClosed struct {
	effect.IsAction

	// Dead is the closed incarnation.
	Dead waxwingwall.Incarnation

	// Exact is set if Spent accounts for all tokens that Dead consumed.
	Exact bool

	// Spent is ordered by budget.
	Spent []Spent
}

// Spent is the number of tokens of a budget that an incarnation's log shows as
// consumed: settled requests, the progress of interrupted ones and the
// reservations of those with an unknown outcome.
type Spent struct {
	// Budget is the budget that paid for the requests.
	Budget waxwingwall.Budget `json:"budget"`

	// Tokens is the sum over all requests in the log.
	Tokens waxwingwall.Tokens `json:"tokens"`
}

// slotSeparator separates a key made by LocalKey from its slot number.
const slotSeparator = "~"

// SlotOf returns the slot of an identity among slots, for an account that uses
// spread slots. These are evenly spaced, since neighbouring slots mostly have
// the same owner. A key made by LocalKey contains its slot number.
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

// LocalKey returns a key, unique to this incarnation and n, for a request
// without a key. The key lies in some slot that this router owns; if there is
// none, LocalKey returns false.
func (l *Ledger) LocalKey(n uint64) (string, bool) {
	for slot := range len(l.slots.row.Slots) {
		if l.owns(slot) {
			return fmt.Sprintf("%s-%d%s%d", l.self, n, slotSeparator, slot), true
		}
	}
	return "", false
}

// KeyFor returns a key, unique to this incarnation and n, for a request
// without a key. If this router owns a slot of the account, it tries to find a
// key in one.
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
