package escrow

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
)

// BudgetRow is the content of a budget's row.
type BudgetRow struct {
	// Total is the sum of all top-ups, or the total of the last funding.
	Total waxwingwall.Tokens `json:"total"`

	// Granted is the sum of all shares ever drawn; it never falls.
	Granted waxwingwall.Tokens `json:"granted"`

	// FundingVersion is the version of the Funding that set Total; zero if
	// Total is from top-ups.
	FundingVersion int64 `json:"paid,omitempty"`

	// Returned is the sum of all shares ever returned; it never falls. It can exceed
	// Granted only after the store came back from a copy without some draws.
	Returned waxwingwall.Tokens `json:"returned"`

	// Holders are the incarnations whose share rows may hold an unused part of
	// the budget, in order. They are asked for tokens when the pool is empty;
	// safety does not depend on them.
	Holders []waxwingwall.Incarnation `json:"holders,omitempty"`
}

// Pool returns what can still be drawn.
func (r BudgetRow) Pool() waxwingwall.Tokens {
	return r.Total - r.Granted + r.Returned
}

// ShareEntry is the part of a share row that belongs to one budget.
type ShareEntry struct {
	// Budget is the budget that the tokens belong to.
	Budget waxwingwall.Budget `json:"budget"`

	// Granted is what was drawn less what was returned.
	Granted waxwingwall.Tokens `json:"granted"`

	// Allowance bounds what was committed less what was received. It never
	// exceeds Granted and is negative if received tokens are held unused.
	Allowance waxwingwall.Tokens `json:"allowance"`

	// Kept is set if marks bound what was committed less what was received, besides
	// Allowance. Builds without marks ignore it.
	Kept bool `json:"kept,omitempty"`

	// Line bounds what was committed less what was received, see Line and ShareRow.Clock; nil if
	// the row has none. Builds without it take all of the allowance for spent.
	Line *Line `json:"line,omitempty"`

	// Marked, Mark and Used are read from rows of builds that had no Line: Mark is the bound until
	// flatTime has passed since the row was sent, after that there is none.
	Marked bool               `json:"marked,omitempty"`
	Mark   waxwingwall.Tokens `json:"mark,omitempty"`
	Used   waxwingwall.Tokens `json:"used,omitempty"`

	// Sendable bounds the sum of all tokens ever sent to peers.
	Sendable waxwingwall.Tokens `json:"sendable,omitempty"`

	// Receipts are the tokens received from peers, ordered by peer; they never
	// exceed what the peers sent. An entry with Receipts is kept permanently,
	// so that a sender can read from the tombstone of a drained peer what
	// arrived.
	Receipts []Receipt `json:"from,omitempty"`
}

// Receipt is the sum of all tokens ever received from one peer.
type Receipt struct {
	// Node is the peer.
	Node waxwingwall.Incarnation `json:"node"`

	// Tokens is the sum; it never falls.
	Tokens waxwingwall.Tokens `json:"tokens"`
}

// Received returns the sum of all tokens ever received from peers.
func (e ShareEntry) Received() waxwingwall.Tokens {
	var sum waxwingwall.Tokens
	for _, r := range e.Receipts {
		sum += r.Tokens
	}
	return sum
}

// ReceivedFrom returns the sum of all tokens ever received from one peer.
func (e ShareEntry) ReceivedFrom(node waxwingwall.Incarnation) waxwingwall.Tokens {
	for _, r := range e.Receipts {
		if r.Node == node {
			return r.Tokens
		}
	}
	return 0
}

// ShareRow is the content of one share row of an incarnation.
type ShareRow struct {
	// Seq counts the writes of the incarnation to this row.
	Seq uint64 `json:"seq"`

	// Closed is set permanently once the row is closed.
	Closed bool `json:"closed,omitempty"`

	// ClosedBy is the incarnation that closed the row.
	ClosedBy waxwingwall.Incarnation `json:"by,omitzero"`

	// Keepers are the peers that keep the marks of the entries that are Kept, in order, and
	// Answers how many of them have to answer for these to be closed by their marks.
	Keepers []waxwingwall.Incarnation `json:"keepers,omitempty"`
	Answers int                       `json:"answers,omitempty"`

	// Clock is a time by the table's clock before which the row was not sent; zero if it has no
	// lines.
	Clock RowClock `json:"clock,omitzero"`

	// Entries are in the order of their budgets. A budget without an entry has
	// an allowance equal to its grant, so there is nothing to return for it.
	Entries []ShareEntry `json:"entries,omitempty"`
}

// Find returns the entry of a budget.
func (r ShareRow) Find(budget waxwingwall.Budget) (ShareEntry, bool) {
	at := sort.Search(len(r.Entries), func(i int) bool {
		return r.Entries[i].Budget >= budget
	})
	if at < len(r.Entries) && r.Entries[at].Budget == budget {
		return r.Entries[at], true
	}
	return ShareEntry{Budget: budget}, false
}

// TopUpRow is the content of a top-up's row.
type TopUpRow struct {
	// Tokens is the amount added to the budget.
	Tokens waxwingwall.Tokens `json:"tokens"`
}

// BudgetKey returns the key of a budget's row.
func BudgetKey(budget waxwingwall.Budget) string {
	return "budget/" + string(budget)
}

// SharePrefix returns the key prefix of all share rows of an incarnation.
func SharePrefix(node waxwingwall.Incarnation) string {
	return "share/" + node.String() + "/"
}

// ShareKey returns the key of one share row of an incarnation.
func ShareKey(node waxwingwall.Incarnation, shard int) string {
	return fmt.Sprintf("%s%d", SharePrefix(node), shard)
}

// TopUpKey returns the key of the row that makes a top-up idempotent.
func TopUpKey(budget waxwingwall.Budget, id string) string {
	return "topup/" + string(budget) + "/" + id
}

// Encode returns the JSON value of a row as stored in the table.
func Encode[R BudgetRow | ShareRow | TopUpRow](row R) string {
	text, err := json.Marshal(row)
	if err != nil {
		panic(err) // The row types contain nothing that JSON can't encode.
	}
	return string(text)
}

// Limits of the numbers in rows, so that sums of them can't overflow.
const (
	maxTokens = 1 << 50
	maxSeq    = 1 << 53
)

// Decode decodes the value of a row. An absent row decodes to the zero value. A row with
// a content that no router writes is an error; it could give tokens out twice.
func Decode[R BudgetRow | ShareRow | TopUpRow](row waxwingwall.Row) (R, error) {
	var r R
	if row.Version == 0 {
		return r, nil
	}
	if err := decode([]byte(row.Value), &r); err != nil {
		// The text of the error may hold parts of the row.
		return r, fmt.Errorf("row %q: %s", row.Key, waxwingwall.Excerpt(err.Error()))
	}
	return r, nil
}

// decode decodes a row and checks it. The fields that each row has get an invalid value
// first, so that missing ones are found.
func decode(data []byte, into any) error {
	switch r := into.(type) {
	case *BudgetRow:
		r.Total, r.Granted, r.Returned = -1, -1, -1
	case *ShareRow:
		r.Seq = math.MaxUint64
	case *TopUpRow:
		r.Tokens = -1
	}
	if err := json.Unmarshal(data, into); err != nil {
		return err
	}
	ok := false
	switch r := into.(type) {
	case *BudgetRow:
		ok = r.valid()
	case *ShareRow:
		ok = r.valid()
	case *TopUpRow:
		ok = isCount(r.Tokens)
	}
	if !ok {
		return errors.New("a field is missing or out of range")
	}
	return nil
}

// isCount reports whether n is a number of tokens that a row may hold.
func isCount(n waxwingwall.Tokens) bool {
	return n >= 0 && n <= maxTokens
}

// valid reports whether a router can have written the row.
func (r *BudgetRow) valid() bool {
	return isCount(r.Total) && isCount(r.Granted) && isCount(r.Returned) &&
		r.FundingVersion >= 0 && ascending(r.Holders, func(i waxwingwall.Incarnation) waxwingwall.Incarnation { return i }, compare)
}

// valid reports whether a router can have written the row.
func (r *ShareRow) valid() bool {
	for _, e := range r.Entries {
		if !e.valid() || e.Kept && len(r.Keepers) == 0 || (e.Marked || e.Line != nil) && !r.Clock.Known() {
			return false
		}
	}
	if !r.Clock.Valid() {
		return false
	}
	if r.Answers < 0 || r.Answers > len(r.Keepers) || r.Answers == 0 && len(r.Keepers) > 0 {
		return false
	}
	if !ascending(r.Keepers, func(i waxwingwall.Incarnation) waxwingwall.Incarnation { return i }, compare) {
		return false
	}
	return r.Seq <= maxSeq && ascending(r.Entries, func(e ShareEntry) waxwingwall.Budget { return e.Budget }, cmp.Compare)
}

// valid reports whether a router can have written the entry.
func (e *ShareEntry) valid() bool {
	for _, r := range e.Receipts {
		if !isCount(r.Tokens) {
			return false
		}
	}
	return e.Granted >= -maxTokens && e.Granted <= maxTokens && e.Allowance >= -maxTokens && e.Allowance <= e.Granted &&
		e.Mark >= -maxTokens && e.Mark <= maxTokens && e.Used >= -maxTokens && e.Used <= maxTokens && (!e.Marked || e.Used <= e.Mark) && (e.Line == nil || e.Line.valid()) &&
		isCount(e.Sendable) && ascending(e.Receipts, func(r Receipt) waxwingwall.Incarnation { return r.Node }, compare)
}

// ascending reports whether the keys of a list are in strictly ascending order.
func ascending[T, K any](list []T, key func(T) K, compare func(a, b K) int) bool {
	for i := 1; i < len(list); i++ {
		if compare(key(list[i-1]), key(list[i])) >= 0 {
			return false
		}
	}
	return true
}

// ShardOf returns the shard of a budget.
func ShardOf(budget waxwingwall.Budget, shards int) int {
	return int(xxhash.Sum64String(string(budget)) % uint64(shards))
}

// compare orders incarnations.
func compare(a, b waxwingwall.Incarnation) int {
	switch {
	case a.VM < b.VM:
		return -1
	case a.VM > b.VM:
		return 1
	case a.Boot < b.Boot:
		return -1
	case a.Boot > b.Boot:
		return 1
	}
	return 0
}
