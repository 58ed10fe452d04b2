package claim

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// tableRetryInterval is the delay before a call to an unreachable table is
// repeated.
const tableRetryInterval = 500 * time.Millisecond

const (
	// touchInterval is the time between two writes of the own node row that
	// show that this router is live. Together with fastPollInterval it is
	// less than the time for which a node row must be unchanged before its
	// incarnation is closed.
	touchInterval = 500 * time.Millisecond

	// fastPollInterval is the poll interval while a peer is about to be
	// closed.
	fastPollInterval = 400 * time.Millisecond

	// pollIntervalPerPeer is the increase of the poll interval for each peer.
	pollIntervalPerPeer = 20 * time.Millisecond

	// fastPollTurns is the number of routers, besides the witness, that poll
	// at fastPollInterval for a dead one.
	fastPollTurns = 3
)

// maxPollRows limits the node rows that one poll reads.
const maxPollRows = 32

// table is the local view of the platform's table.
type table struct {
	// node and version are the own node row as last written, and its version.
	node    NodeRow
	version int64

	// registered is set once the own node row exists.
	registered bool

	// writing is set while a write that changes or checks the own node row is
	// in flight; there is at most one.
	writing bool

	// changingWitness is set while that write names the next witness.
	changingWitness bool

	// touchedAt is when touch last wrote the own node row.
	touchedAt time.Time

	// others are the node rows of other incarnations as last read.
	others map[waxwingwall.Incarnation]nodeView

	// polledAt is when the last poll started; polling is set while one is in
	// flight.
	polledAt time.Time
	polling  bool

	// unreachable is set if the last call was not answered.
	unreachable bool

	// calls are the calls without a definite answer, by sequence number.
	calls    map[uint64]*call
	lastCall uint64
}

// nodeView is a node row as read. readAt is when that read started,
// unchangedSince when the row was first read with this version.
type nodeView struct {
	NodeRow
	version        int64
	readAt         time.Time
	unchangedSince time.Time
}

// call is a call to the table that is repeated until it has a definite answer.
// Repeating is safe: each transaction expects versions that its own success
// changes, so it takes effect at most once.
type call struct {
	writes []waxwingwall.Write
	keys   []string

	// retryAt is when to repeat the call; zero while it is in flight.
	retryAt time.Time

	onCommit func(now time.Time, done bool, versions []int64)
	onRead   func(now time.Time, rows []waxwingwall.Row)
}

// commit requests a transaction. callback receives whether it was committed or
// met a conflict; after a lost answer, the conflict may be with an earlier
// attempt of the same transaction.
func (l *Ledger) commit(writes []waxwingwall.Write, callback func(now time.Time, done bool, versions []int64)) {
	l.call(&call{
		writes:   writes,
		onCommit: callback,
	})
}

func (l *Ledger) read(keys []string, callback func(now time.Time, rows []waxwingwall.Row)) {
	l.call(&call{
		keys:   keys,
		onRead: callback,
	})
}

func (l *Ledger) call(c *call) {
	l.table.lastCall++
	l.table.calls[l.table.lastCall] = c
	id := effect.ID{
		Part: part,
		N:    l.table.lastCall,
	}
	switch {
	case c.writes != nil:
		l.emit(effect.Transact{
			ID:     id,
			Writes: c.writes,
		})
	default:
		l.emit(effect.Read{
			ID:   id,
			Keys: c.keys,
		})
	}
}

// takeCall removes the call with the given answer from calls and returns it.
// If the answer was lost, it schedules a retry and returns nil.
func (l *Ledger) takeCall(now time.Time, id effect.ID, result effect.Result) *call {
	c := l.table.calls[id.N]
	if id.Part != part || c == nil || l.closed {
		return nil
	}
	l.table.unreachable = result == effect.Lost
	if result == effect.Lost {
		c.retryAt = now.Add(tableRetryInterval)
		return nil
	}
	delete(l.table.calls, id.N)
	return c
}

func (l *Ledger) transacted(now time.Time, ev effect.Transacted) {
	if c := l.takeCall(now, ev.ID, ev.Result); c != nil && c.onCommit != nil {
		c.onCommit(now, ev.Result == effect.Done, ev.Versions)
	}
}

func (l *Ledger) rowsRead(now time.Time, ev effect.Rows) {
	if c := l.takeCall(now, ev.ID, ev.Result); c != nil && c.onRead != nil {
		c.onRead(now, ev.Rows)
	}
}

// retryCalls repeats the calls whose retry is due.
func (l *Ledger) retryCalls(now time.Time) {
	var due []uint64
	for n, c := range l.table.calls {
		if !c.retryAt.IsZero() && !now.Before(c.retryAt) {
			due = append(due, n)
		}
	}
	slices.Sort(due)
	for _, n := range due {
		c := l.table.calls[n]
		delete(l.table.calls, n)
		c.retryAt = time.Time{}
		l.call(c)
	}
}

// register creates the own node row.
func (l *Ledger) register(now time.Time) {
	if l.table.registered || l.table.writing {
		return
	}
	l.writeNode(now, NodeRow{
		State:   NodeOpen,
		Address: l.address,
		Domain:  l.domain,
		Nonce:   l.seed,
	}, func(time.Time) {
		l.table.registered = true
	})
}

// writeNode replaces the own node row and calls onDone when that is done. If
// the row has another value instead, this incarnation was closed, or its
// identifier is used by another process.
func (l *Ledger) writeNode(_ time.Time, row NodeRow, onDone func(now time.Time)) {
	l.table.writing = true
	key := NodeKey(l.self)
	value := encode(row)
	done := func(now time.Time, version int64) {
		l.table.writing = false
		l.table.node = row
		l.table.version = version
		onDone(now)
	}
	l.commit([]waxwingwall.Write{
		{
			Key:    key,
			Expect: l.table.version,
			Value:  value,
		},
	}, func(now time.Time, ok bool, versions []int64) {
		if ok {
			done(now, versions[0])
			return
		}
		l.read([]string{key}, func(now time.Time, rows []waxwingwall.Row) {
			if rows[0].Value != value {
				l.markClosed()
				return
			}
			done(now, rows[0].Version)
		})
	})
}

// touch rewrites the own node row while peers are suspected to be dead. If
// only the network between the routers has failed, each side sees from the
// table that the other one is live, and takes nothing over.
func (l *Ledger) touch(now time.Time) {
	t := &l.table
	if !t.registered || t.writing || l.closing || now.Sub(t.touchedAt) < touchInterval || !l.hasUnclosedSuspect(false) {
		return
	}
	t.touchedAt = now
	l.writeNode(now, t.node, func(time.Time) {})
}

// hasUnclosedSuspect reports whether a suspected peer is not closed yet. If
// ownTurn is set, it counts only those that this router is among the first to
// act on.
func (l *Ledger) hasUnclosedSuspect(ownTurn bool) bool {
	for i := range l.suspects {
		if l.table.others[i].State == NodeClosed {
			continue
		}
		if !ownTurn || l.witnesses(i) || l.turnDelay(i) < fastPollTurns*l.suspectTimeout {
			return true
		}
	}
	return false
}

// witnesses reports whether this router holds a log of i.
func (l *Ledger) witnesses(i waxwingwall.Incarnation) bool {
	for p := range l.witnessedLogs {
		if p.primary == i {
			return true
		}
	}
	return false
}

// markClosed marks this incarnation as closed and reports it to the driver.
func (l *Ledger) markClosed() {
	if l.closed {
		return
	}
	l.closed = true
	l.emit(Closed{})
}

// poll reads the slots row, the own node row and those of nodesToPoll.
func (l *Ledger) poll(now time.Time) {
	t := &l.table
	if t.polling || !t.registered || !t.polledAt.IsZero() && now.Sub(t.polledAt) < l.nextPollInterval(now) {
		return
	}
	t.polling = true
	t.polledAt = now
	began := now
	others := l.nodesToPoll(now)
	keys := []string{slotsKey, NodeKey(l.self)}
	for _, i := range others {
		keys = append(keys, NodeKey(i))
	}
	l.read(keys, func(now time.Time, rows []waxwingwall.Row) {
		t.polling = false
		l.polled(now, rows, others, began)
	})
}

// nextPollInterval returns the time between two polls. It grows with the fleet
// to limit the total read load, and is short while this router is about to
// close another or is draining.
func (l *Ledger) nextPollInterval(now time.Time) time.Duration {
	if l.draining || now.Sub(l.table.polledAt) >= fastPollInterval && l.hasUnclosedSuspect(true) {
		return fastPollInterval
	}
	return max(l.pollInterval, time.Duration(len(l.peers))*pollIntervalPerPeer)
}

// polled processes the result of a poll.
func (l *Ledger) polled(now time.Time, rows []waxwingwall.Row, others []waxwingwall.Incarnation, began time.Time) {
	var own NodeRow
	if decode(rows[1], &own) && own.State == NodeClosed && !l.closing {
		l.markClosed()
		return
	}
	for i, o := range others {
		s := nodeView{
			version:        rows[i+2].Version,
			readAt:         began,
			unchangedSince: began,
		}
		if before, ok := l.table.others[o]; ok && before.version == s.version {
			s.unchangedSince = before.unchangedSince
		}
		if decode(rows[i+2], &s.NodeRow) {
			l.table.others[o] = s
			l.applyNodeRow(o, s)
		}
	}
	l.acceptSlots(now, rows[0])
}

// pollSoon makes the next poll due immediately.
func (l *Ledger) pollSoon() {
	l.table.polledAt = time.Time{}
}

// nodesToPoll lists the incarnations whose node rows have to be read:
// suspected ones, primaries that this router has not confirmed recently, and
// the homes of late claims.
func (l *Ledger) nodesToPoll(now time.Time) []waxwingwall.Incarnation {
	var list []waxwingwall.Incarnation
	for _, i := range l.sortedSuspects() {
		if s, ok := l.table.others[i]; !ok || s.State == NodeOpen || l.needsTakeover(i) {
			list = append(list, i)
		}
	}
	for p, t := range l.witnessedLogs {
		i := p.primary
		if _, ok := l.suspects[i]; !ok && !t.sealed && (l.draining || now.Sub(t.confirmed) > l.retention/4) {
			list = append(list, i)
		}
	}
	for _, c := range l.late {
		if l.table.others[c.Home].State != NodeClosed {
			list = append(list, c.Home)
		}
	}
	slices.SortFunc(list, compareIncarnations)
	list = slices.Compact(list)
	if len(list) <= maxPollRows {
		return list
	}
	first := int(l.table.lastCall) % len(list)
	return append(list[first:], list[:first]...)[:maxPollRows]
}
