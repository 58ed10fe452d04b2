package claim

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"waxwingwall"
)

const (
	// slotsKey is the key of the slots row.
	slotsKey = "slots"

	nodePrefix = "node/"
	billPrefix = "bill/"
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// StateBegun means that Home has dispatched the request or may do so.
	StateBegun State = "begun"

	// StateInterrupted means that a run of an idempotent request ended before
	// its result was complete. It may run again; it has not been billed.
	StateInterrupted State = "interrupted"

	// StateFinished means that the outcome is final and that Home has billed
	// the request.
	StateFinished State = "finished"

	// StateNotRun means that the request was not run. As a log entry it deletes
	// the claim.
	StateNotRun State = "gone"

	// StateReset is not the state of a claim: the entry deletes the copies
	// that a router holds of a slot, before newer ones.
	StateReset State = "reset"
)

// Claim is the recorded state of one request identity. As a log entry it
// replaces the earlier entry of the same identity.
type Claim struct {
	// Identity identifies the request. It is empty for StateReset.
	Identity waxwingwall.Identity `json:"identity,omitzero"`

	// Slot is the slot of the identity.
	Slot int `json:"slot"`

	// State is the state of the claim.
	State State `json:"state"`

	// Home is the incarnation that is running the request or has billed it.
	Home waxwingwall.Incarnation `json:"home,omitzero"`

	// Run numbers the runs of all requests at Home. It distinguishes a late
	// message about one run from the next run of the same identity.
	Run int64 `json:"run,omitempty"`

	// Idempotent is set if the request may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`

	// Budget is the prepaid budget that pays for the request.
	Budget waxwingwall.Budget `json:"budget,omitempty"`

	// Worst is the reservation: the most that the request can cost.
	Worst waxwingwall.Tokens `json:"worst,omitempty"`

	// Digest is the digest of the request's content.
	Digest uint64 `json:"digest,omitempty"`

	// Outcome is set once State is StateFinished.
	Outcome waxwingwall.Outcome `json:"outcome,omitempty"`

	// Tokens is the bill of a finished claim, and the progress of others.
	Tokens waxwingwall.Tokens `json:"tokens,omitempty"`

	// Earlier is the progress of earlier interrupted runs.
	Earlier waxwingwall.Tokens `json:"earlier,omitempty"`

	// Rerun is set if an earlier run was interrupted.
	Rerun bool `json:"rerun,omitempty"`

	// Answer is the answer; nil if it is too large to keep.
	Answer []byte `json:"answer,omitempty"`

	// At is the time of the last change. For StateReset it is the time until
	// which unknown keys of the slot may have been used already.
	At time.Time `json:"at,omitzero"`
}

// NodeState is the state of an incarnation.
type NodeState string

// The states of an incarnation. A closed one is never opened again.
const (
	NodeOpen   NodeState = "open"
	NodeClosed NodeState = "closed"
)

// NodeRow is the row `node/<vm@boot>` of an incarnation.
type NodeRow struct {
	// State changes once, from NodeOpen to NodeClosed.
	State NodeState `json:"state"`

	// Address is the router's address for peers.
	Address netip.AddrPort `json:"address"`

	// Domain is the router's failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// Nonce distinguishes two processes with the same incarnation.
	Nonce uint64 `json:"nonce"`

	// Witness holds the unfiled part of the log; it is zero if the table holds
	// all of it.
	Witness waxwingwall.Incarnation `json:"witness,omitzero"`

	// Pairing is the sequence number of the link to Witness.
	Pairing int64 `json:"pairing"`

	// Closer is the incarnation that closed this one.
	Closer waxwingwall.Incarnation `json:"closer,omitzero"`

	// Exact is set if no part of the log was lost when the incarnation was
	// closed.
	Exact bool `json:"exact,omitempty"`
}

// BillRow is a row `bill/<vm@boot>/<seq>`: a part of the log of an incarnation.
type BillRow struct {
	// Through is the number of the last log record in this row or an earlier
	// one.
	Through int64 `json:"through"`

	// Claims are the last states, within this part, of its identities.
	Claims []Claim `json:"claims"`

	// At is the time when the row was written.
	At time.Time `json:"at,omitzero"`

	// Checkpoint is set in every checkpointRows-th row.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// Checkpoint summarizes the earlier rows, except for finished claims, so that
// a reader that needs only the claims within the retention may start with its
// row.
type Checkpoint struct {
	// Open are the claims that have not ended, and those whose end the owner
	// of the slot has not acknowledged. They are not bills.
	Open []Claim `json:"open"`

	// Until is ordered by slot.
	Until []Until `json:"until"`

	// Spent sums up all bills of the incarnation, including those of this row.
	Spent []Spent `json:"spent"`
}

// Until is a slot's time until which an unknown key may have been used
// already.
type Until struct {
	// Slot is the slot number.
	Slot int `json:"slot"`

	// At is the time until which an unknown key of the slot may have been used.
	At time.Time `json:"at"`
}

// Bills returns the entries that are bills of home.
func (r BillRow) Bills(home waxwingwall.Incarnation) []Claim {
	var bills []Claim
	for _, c := range r.Claims {
		if c.State == StateFinished && c.Home == home {
			bills = append(bills, c)
		}
	}
	return bills
}

// Slot is the ownership of one slot.
type Slot struct {
	// Owner is the only incarnation that may accept keys of the slot.
	Owner waxwingwall.Incarnation

	// Epoch is incremented by every change of the owner.
	Epoch int64
}

// SlotsRow is the row `slots`. In JSON the owners are listed once and the
// slots refer to them by index.
type SlotsRow struct {
	// Slots is indexed by slot number. Its length never changes.
	Slots []Slot
}

type slotsJSON struct {
	Owners []string `json:"owners"`
	Owner  []int    `json:"owner"`
	Epoch  []int64  `json:"epoch"`
}

// MarshalJSON implements json.Marshaler.
func (r SlotsRow) MarshalJSON() ([]byte, error) {
	var out slotsJSON
	index := make(map[waxwingwall.Incarnation]int)
	for _, s := range r.Slots {
		i, ok := index[s.Owner]
		if !ok {
			i = len(out.Owners)
			index[s.Owner] = i
			out.Owners = append(out.Owners, s.Owner.String())
		}
		out.Owner = append(out.Owner, i)
		out.Epoch = append(out.Epoch, s.Epoch)
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *SlotsRow) UnmarshalJSON(data []byte) error {
	var in slotsJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	if len(in.Owner) != len(in.Epoch) {
		return fmt.Errorf("slots row: %d owners for %d epochs", len(in.Owner), len(in.Epoch))
	}
	owners := make([]waxwingwall.Incarnation, len(in.Owners))
	for i, s := range in.Owners {
		owner, err := waxwingwall.ParseIncarnation(s)
		if err != nil {
			return err
		}
		owners[i] = owner
	}
	r.Slots = make([]Slot, len(in.Owner))
	for i, o := range in.Owner {
		if o < 0 || o >= len(owners) {
			return fmt.Errorf("slots row: slot %d has owner index %d of %d", i, o, len(owners))
		}
		r.Slots[i] = Slot{
			Owner: owners[o],
			Epoch: in.Epoch[i],
		}
	}
	return nil
}

// SlotsKey returns the key of the slots row.
func SlotsKey() string {
	return slotsKey
}

// NodeKey returns the key of the node row of i.
func NodeKey(i waxwingwall.Incarnation) string {
	return nodePrefix + i.String()
}

// BillKey returns the key of the bill row of i with number seq.
func BillKey(i waxwingwall.Incarnation, seq int64) string {
	return fmt.Sprintf("%s%s/%012d", billPrefix, i, seq)
}

// BillPrefix returns the common prefix of the keys of the bill rows of i.
func BillPrefix(i waxwingwall.Incarnation) string {
	return fmt.Sprintf("%s%s/", billPrefix, i)
}

// ParseBillKey returns the incarnation and the number in a key made by
// BillKey.
func ParseBillKey(key string) (waxwingwall.Incarnation, int64, error) {
	rest, ok := strings.CutPrefix(key, billPrefix)
	slash := strings.LastIndexByte(rest, '/')
	if !ok || slash < 0 {
		return waxwingwall.Incarnation{}, 0, fmt.Errorf("bill key %q: want bill/vm@boot/seq", key)
	}
	i, err := waxwingwall.ParseIncarnation(rest[:slash])
	if err != nil {
		return waxwingwall.Incarnation{}, 0, err
	}
	var seq int64
	if _, err := fmt.Sscanf(rest[slash+1:], "%d", &seq); err != nil {
		return waxwingwall.Incarnation{}, 0, fmt.Errorf("bill key %q: invalid sequence number: %w", key, err)
	}
	return i, seq, nil
}

// encode returns the JSON encoding of a row. It panics on an error, which the
// row types of this package cannot cause.
func encode(row any) string {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// decode decodes a row. It returns false if the row is absent or malformed.
func decode(row waxwingwall.Row, into any) bool {
	return row.Version > 0 && json.Unmarshal([]byte(row.Value), into) == nil
}
