package claim

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// tableRetryInterval is the time between two tries at a table that does not answer.
const tableRetryInterval = 500 * time.Millisecond

const (
	// touchInterval is the time between two writes of the own node row that show
	// life. With hastySurvey it is below the time for which a node row must be
	// still before its incarnation is closed.
	touchInterval = 500 * time.Millisecond

	// fastPollInterval is the time between surveys while a peer is about to be
	// closed.
	fastPollInterval = 400 * time.Millisecond

	// pollIntervalPerPeer is by how much each peer lengthens the time between two
	// surveys.
	pollIntervalPerPeer = 20 * time.Millisecond

	// fastPollTurns is how many routers survey hastily for a dead one, beside its
	// witness.
	fastPollTurns = 3
)

// maxPollRows bounds the node rows that one survey reads.
const maxPollRows = 32

// table is what this incarnation knows of the platform's table.
type table struct {
	// node and version are the own node row as last written.
	node    NodeRow
	version int64

	// registered is set once the own node row is there.
	registered bool

	// writing is set while a write that touches or checks the own node row is
	// on its way: there is one at a time.
	writing bool

	// changingWitness is set while that write names the next witness.
	changingWitness bool

	// touchedAt is when the own node row was last written to show life.
	touchedAt time.Time

	// others are node rows of other incarnations as last read.
	others map[waxwingwall.Incarnation]nodeView

	// polledAt is when the last survey began, surveying while it runs.
	polledAt time.Time
	polling  bool

	// unreachable is set while the last call had no answer.
	unreachable bool

	// calls are the actions whose answer is due, by number.
	calls    map[uint64]*call
	lastCall uint64
}

// nodeView is a node row with the time when its reading began, and since when it has
// had this version.
type nodeView struct {
	NodeRow
	version        int64
	readAt         time.Time
	unchangedSince time.Time
}

// call is an action on the table that is repeated until it has a definite
// answer. Repeating is safe: each transaction expects versions that its own
// success changes, so it takes effect at most once.
type call struct {
	writes []waxwingwall.Write
	keys   []string

	// retryAt is when to repeat it; zero while the answer is due.
	retryAt time.Time

	onCommit func(now time.Time, done bool, versions []int64)
	onRead   func(now time.Time, rows []waxwingwall.Row)
}

// commit asks for a transaction. then learns whether it was done or met a
// conflict; after a lost answer a conflict may be with itself.
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

// takeCall takes the call with the given answer out of the table of calls, or
// keeps it for a repetition when the answer was lost.
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

// retryCalls asks again where the answer was lost.
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

// writeNode replaces the own node row; then is called once that is done. If
// instead the row has another's value, this incarnation has been closed, or was
// never its own.
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

// touch writes the own node row again while peers are believed dead. If only the
// way between the routers is cut, each side sees from the table that the other
// lives, and takes nothing over.
func (l *Ledger) touch(now time.Time) {
	t := &l.table
	if !t.registered || t.writing || l.closing || now.Sub(t.touchedAt) < touchInterval || !l.hasUnclosedSuspect(false) {
		return
	}
	t.touchedAt = now
	l.writeNode(now, t.node, func(time.Time) {})
}

// hasUnclosedSuspect reports whether a peer that is believed dead is not closed yet; with
// mine set, one that this router is among the first to act on.
func (l *Ledger) hasUnclosedSuspect(ownTurn bool) bool {
	for i := range l.suspects {
		if l.table.others[i].State == NodeClosed {
			continue
		}
		if !ownTurn || l.witnesses(i) || l.turnDelay(i) < fastPollTurns*l.grace {
			return true
		}
	}
	return false
}

// witnesses reports whether this router holds a log of i.
func (l *Ledger) witnesses(i waxwingwall.Incarnation) bool {
	for p := range l.tails {
		if p.primary == i {
			return true
		}
	}
	return false
}

// markClosed ends the life of this incarnation.
func (l *Ledger) markClosed() {
	if l.closed {
		return
	}
	l.closed = true
	l.emit(Closed{})
}

// poll reads the slots row, the own node row and those of incarnations that
// matter to this one.
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

// nextPollInterval is the time between two surveys: it grows with the fleet, so that
// all routers together read little, and is short while this router is about to
// close another.
func (l *Ledger) nextPollInterval(now time.Time) time.Duration {
	if l.draining || now.Sub(l.table.polledAt) >= fastPollInterval && l.hasUnclosedSuspect(true) {
		return fastPollInterval
	}
	return max(l.pollInterval, time.Duration(len(l.peers))*pollIntervalPerPeer)
}

// polled takes in what a survey has read.
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
			l.confirm(o, s)
		}
	}
	l.acceptSlots(now, rows[0])
}

// pollSoon brings the next survey forward.
func (l *Ledger) pollSoon() {
	l.table.polledAt = time.Time{}
}

// nodesToPoll lists the incarnations whose node rows are worth a read: believed
// dead ones, and primaries that this router has not confirmed for a while.
func (l *Ledger) nodesToPoll(now time.Time) []waxwingwall.Incarnation {
	var list []waxwingwall.Incarnation
	for _, i := range l.sortedSuspects() {
		if s, ok := l.table.others[i]; !ok || s.State == NodeOpen || l.needsTakeover(i) {
			list = append(list, i)
		}
	}
	for p, t := range l.tails {
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
