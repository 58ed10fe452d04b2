package escrow

import (
	"waxwingwall"
)

// Counts are the totals of a Book since its creation.
type Counts struct {
	// Waiting, Exhausted and OutOfReach count verdicts.
	Waiting    int `json:"waiting"`
	Exhausted  int `json:"exhausted"`
	OutOfReach int `json:"out_of_reach"`

	// Transactions and Writes count the transactions and the rows written to
	// the table, Bytes the bytes of their keys and values; Reads counts the
	// rows read.
	Transactions int `json:"transactions"`
	Writes       int `json:"writes"`
	Bytes        int `json:"bytes"`
	Reads        int `json:"reads"`

	// Conflicts and Lost count the results other than Done.
	Conflicts int `json:"conflicts"`
	Lost      int `json:"lost"`

	// Asks counts the messages that asked peers for tokens or reports. Passed is
	// the number of tokens passed to peers.
	Asks   int                `json:"asks"`
	Passed waxwingwall.Tokens `json:"passed"`

	// Marks counts the marks sent to keepers, Clocked the writes with lines in the table.
	Marks   int `json:"marks"`
	Clocked int `json:"clocked"`

	// Unreadable counts rows that could not be decoded.
	Unreadable int `json:"unreadable"`
}

// write counts a transaction.
func (c *Counts) write(writes []waxwingwall.Write) {
	c.Transactions++
	c.Writes += len(writes)
	for _, w := range writes {
		c.Bytes += len(w.Key) + len(w.Value)
	}
}

// Balance is the state of one budget on a node.
type Balance struct {
	// Budget is the budget that the tokens belong to.
	Budget waxwingwall.Budget `json:"budget"`

	// Granted, Allowance and Sendable are those of the acknowledged share row.
	Granted   waxwingwall.Tokens `json:"granted"`
	Allowance waxwingwall.Tokens `json:"allowance"`
	Sendable  waxwingwall.Tokens `json:"sendable"`

	// Settled is what this node used, Reserved what it has reserved.
	Settled  waxwingwall.Tokens `json:"settled"`
	Reserved waxwingwall.Tokens `json:"reserved"`

	// Sent, Unacked and Received are the tokens exchanged with peers.
	Sent     waxwingwall.Tokens `json:"sent"`
	Unacked  waxwingwall.Tokens `json:"unacked"`
	Received waxwingwall.Tokens `json:"received"`

	// Free can be reserved immediately. It never exceeds Spare, which can be
	// reserved after a write of the share row.
	Free  waxwingwall.Tokens `json:"free"`
	Spare waxwingwall.Tokens `json:"spare"`

	// PoolKnown reports whether Total and Pool are as last read or written.
	PoolKnown bool `json:"pool_known"`

	// PoolVersion is the last known version of the budget's row.
	PoolVersion int64 `json:"pool_version"`

	Total waxwingwall.Tokens `json:"total"`
	Pool  waxwingwall.Tokens `json:"pool"`

	// Rate is the smoothed spend in tokens a second.
	Rate float64 `json:"rate"`

	// Waiting is the sum of the worst cases that wait.
	Waiting waxwingwall.Tokens `json:"waiting"`
}

// ShardState is the state of one share row.
type ShardState struct {
	// Key is the row's key and Version its last known version.
	Key     string `json:"key"`
	Version int64  `json:"version"`

	// Busy is set while a call is in flight, Suspect while the row must be
	// read, Closed once the row is closed.
	Busy    bool `json:"busy"`
	Suspect bool `json:"suspect"`
	Closed  bool `json:"closed"`

	// Failures counts the consecutive failed calls.
	Failures int `json:"failures"`
}

// State is the complete state of a Book, for diagnostics.
type State struct {
	// Self is the incarnation of the Book.
	Self waxwingwall.Incarnation `json:"self"`

	// Fenced and Draining are states of the life cycle; Down is set if the last
	// call to the table was lost.
	Fenced   bool `json:"fenced"`
	Draining bool `json:"draining"`
	Down     bool `json:"down"`

	// Counts are the totals so far.
	Counts Counts `json:"counts"`

	// Shards are in the order of their numbers.
	Shards []ShardState `json:"shards"`

	// Budgets are ordered by shard, then by budget.
	Budgets []Balance `json:"budgets"`
}

// Balance returns the state of a budget on this node; all zero if it is
// unknown.
func (b *Book) Balance(budget waxwingwall.Budget) Balance {
	e, ok := b.entries[budget]
	if !ok {
		return Balance{
			Budget: budget,
		}
	}
	return Balance{
		Budget:    budget,
		Granted:   e.row.Granted,
		Allowance: e.row.Allowance,
		Sendable:  e.row.Sendable,
		Settled:   e.settled,
		Reserved:  e.reserved,
		Sent:      e.sent,
		Unacked:   e.unacked(),
		Received:  e.received,
		Free:      e.free(),
		Spare:     e.spare(),
		PoolKnown: e.pool.known,

		PoolVersion: e.pool.version,

		Total:   e.pool.row.Total,
		Pool:    e.pool.row.Pool(),
		Rate:    e.demand.rate,
		Waiting: e.wait.need,
	}
}

// Counts returns the totals so far.
func (b *Book) Counts() Counts {
	return b.counts
}

// Dump returns the complete state.
func (b *Book) Dump() State {
	s := State{
		Self:     b.self,
		Fenced:   b.fenced,
		Draining: b.draining,
		Down:     b.tableDown,
		Counts:   b.counts,
	}
	for i := range b.shards {
		t := &b.shards[i]
		s.Shards = append(s.Shards, ShardState{
			Key:      t.key,
			Version:  t.version,
			Busy:     t.pendingCall != 0,
			Suspect:  t.mustRead,
			Closed:   t.closed,
			Failures: t.failures,
		})
		for _, e := range t.entries {
			s.Budgets = append(s.Budgets, b.Balance(e.row.Budget))
		}
	}
	return s
}
