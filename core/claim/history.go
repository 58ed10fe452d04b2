package claim

import (
	"cmp"
	"slices"
	"time"

	"waxwingwall"
)

const (
	// checkpointRows is the number of bill rows from one checkpoint to the next.
	checkpointRows = 64

	// probeRows is the number of bill rows requested by one read.
	probeRows = 32
)

// checkpoint returns the checkpoint for the next bill row.
func (l *Ledger) checkpoint(now time.Time) *Checkpoint {
	c := &Checkpoint{
		Spent: listSpent(l.billed),
	}
	for _, e := range l.selectClaims(func(e *entry) bool {
		return e.State == StateBegun || e.State == StateInterrupted || e.settling || e.unreported
	}) {
		if open := e.stableClaim(l.self); open.State != StateNotRun {
			c.Open = append(c.Open, open)
		}
	}
	for slot, at := range l.slots.uncertainUntil {
		if at.After(now) {
			c.Until = append(c.Until, Until{
				Slot: slot,
				At:   at,
			})
		}
	}
	slices.SortFunc(c.Until, func(a, b Until) int {
		return cmp.Compare(a.Slot, b.Slot)
	})
	return c
}

// billReader reads the relevant bill rows of an incarnation, oldest first:
// those from the last checkpoint that is older than the retention, or all.
type billReader struct {
	home    waxwingwall.Incarnation
	horizon time.Time

	// low is the number of an existing row, or 0; high is that of an absent
	// row, or 0 if none is known.
	low    int64
	high   int64
	rows   []waxwingwall.Row
	onDone func(now time.Time, rows []waxwingwall.Row)
}

// readHistory reads the relevant bill rows of home and passes them to onDone.
func (l *Ledger) readHistory(now time.Time, home waxwingwall.Incarnation, onDone func(now time.Time, rows []waxwingwall.Row)) {
	p := &billReader{
		home:    home,
		horizon: now.Add(-l.retention - l.retention/4),
		onDone:  onDone,
	}
	l.findLastRow(now, p)
}

// findLastRow searches for the number of the last row. Rows are numbered from
// 1 without gaps.
func (l *Ledger) findLastRow(now time.Time, p *billReader) {
	if p.high == p.low+1 {
		l.readBack(now, p, p.low)
		return
	}
	var numbers []int64
	if p.high == 0 {
		for n := max(2*p.low, 1); len(numbers) < probeRows; n *= 2 {
			numbers = append(numbers, n)
		}
	} else {
		step := (p.high - p.low + probeRows) / (probeRows + 1)
		for n := p.low + step; n < p.high; n += step {
			numbers = append(numbers, n)
		}
	}
	l.read(p.keys(numbers), func(now time.Time, rows []waxwingwall.Row) {
		for i, r := range rows {
			if r.Version == 0 {
				p.high = numbers[i]
				break
			}
			p.low = numbers[i]
		}
		l.findLastRow(now, p)
	})
}

// readBack reads rows from last backwards until it finds the checkpoint.
func (l *Ledger) readBack(now time.Time, p *billReader, last int64) {
	if last < 1 {
		p.onDone(now, p.rows)
		return
	}
	var numbers []int64
	for n := max(last-probeRows+1, 1); n <= last; n++ {
		numbers = append(numbers, n)
	}
	l.read(p.keys(numbers), func(now time.Time, rows []waxwingwall.Row) {
		p.rows = append(rows, p.rows...)
		for i := len(rows) - 1; i >= 0; i-- {
			var row BillRow
			if decode(rows[i], &row) && row.Checkpoint != nil && row.At.Before(p.horizon) {
				p.rows = p.rows[i:]
				p.onDone(now, p.rows)
				return
			}
		}
		l.readBack(now, p, numbers[0]-1)
	})
}

func (p *billReader) keys(numbers []int64) []string {
	var keys []string
	for _, n := range numbers {
		keys = append(keys, BillKey(p.home, n))
	}
	return keys
}

// history is the replayed log of an incarnation that is closed or about to be.
type history struct {
	home    waxwingwall.Incarnation
	rows    int64
	through int64
	claims  map[waxwingwall.Identity]Claim
	until   map[int]time.Time
	spent   map[waxwingwall.Budget]waxwingwall.Tokens
}

// replay builds a history from bill rows in order.
func replay(home waxwingwall.Incarnation, rows []waxwingwall.Row) *history {
	h := &history{
		home:   home,
		claims: make(map[waxwingwall.Identity]Claim),
		until:  make(map[int]time.Time),
		spent:  make(map[waxwingwall.Budget]waxwingwall.Tokens),
	}
	for i, r := range rows {
		var row BillRow
		_, seq, err := ParseBillKey(r.Key)
		if err != nil || !decode(r, &row) {
			continue
		}
		if i == 0 && row.Checkpoint != nil {
			h.restore(row.Checkpoint)
			h.apply(row.Claims)
		} else {
			h.applyBilled(row.Claims)
		}
		h.rows = seq
		h.through = row.Through
	}
	return h
}

// restore starts from a checkpoint. Its sums already include the bills of its
// own row.
func (h *history) restore(c *Checkpoint) {
	for _, s := range c.Spent {
		h.spent[s.Budget] = s.Tokens
	}
	for _, u := range c.Until {
		h.until[u.Slot] = u.At
	}
	h.apply(c.Open)
}

// applyBilled applies log entries and adds the tokens that they bill to spent.
func (h *history) applyBilled(claims []Claim) {
	h.apply(claims)
	for _, c := range claims {
		if c.Home == h.home && (c.State == StateFinished || c.State == StateInterrupted) {
			h.spent[c.Budget] += c.Tokens
		}
	}
}

// apply applies log entries to the claims.
func (h *history) apply(claims []Claim) {
	for _, c := range claims {
		switch c.State {
		case StateReset:
			h.reset(c)
			continue
		case StateNotRun:
			delete(h.claims, c.Identity)
			continue
		}
		h.claims[c.Identity] = c
	}
}

func (h *history) reset(c Claim) {
	h.until[c.Slot] = c.At
	for id, old := range h.claims {
		if old.Slot == c.Slot && old.Home != h.home {
			delete(h.claims, id)
		}
	}
}

// endOpen returns the entries that end the requests still running at home.
func (h *history) endOpen(now time.Time) []Claim {
	var list []Claim
	for _, c := range h.sorted() {
		if c.State != StateBegun || c.Home != h.home {
			continue
		}
		c.At = now
		if c.Idempotent {
			c.State = StateInterrupted
			c.Tokens = max(c.Tokens, c.Earlier)
		} else {
			c = unknownOutcome(c, h.home)
		}
		list = append(list, c)
	}
	return list
}

// unknownOutcome returns the final state of a request that may have run to its
// end. It is billed with its whole reservation.
func unknownOutcome(c Claim, home waxwingwall.Incarnation) Claim {
	c.State = StateFinished
	c.Home = home
	c.Outcome = waxwingwall.Unknown
	c.Tokens = c.Worst
	return c
}

func (h *history) sorted() []Claim {
	list := make([]Claim, 0, len(h.claims))
	for _, c := range h.claims {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Claim) int {
		return compareIdentity(a.Identity, b.Identity)
	})
	return list
}

// spentByBudget lists the tokens consumed, ordered by budget.
func (h *history) spentByBudget() []Spent {
	return listSpent(h.spent)
}

func listSpent(spent map[waxwingwall.Budget]waxwingwall.Tokens) []Spent {
	var list []Spent
	for b, t := range spent {
		list = append(list, Spent{
			Budget: b,
			Tokens: t,
		})
	}
	slices.SortFunc(list, func(a, b Spent) int {
		return cmp.Compare(a.Budget, b.Budget)
	})
	return list
}
