package escrow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// unmarked is the limit of an entry that no marks bound.
	unmarked = math.MaxInt64 / 4

	// The lead of the marks of a budget is what they allow beyond what is committed and
	// asked for. It is what requests use in markLeadTime, or markLeadRequests of the
	// largest ones, but with that of all holders at most 1/markLeadDivisor of the
	// payment, and at least 1/minLeadDivisor of that: it is lost with its node. It is outageLeads
	// times as much while the table is unreachable, as peers then pass tokens on. Marks more than maxMarkLeads leads too high are
	// lowered, at most every minLowerInterval.
	markLeadTime     = time.Second
	markLeadRequests = 2
	markLeadDivisor  = 100
	minLeadDivisor   = 4
	outageLeads      = 4
	maxMarkLeads     = 3
	minLowerInterval = 250 * time.Millisecond

	// markInterval is the minimum time between two raises of a mark that are not yet
	// needed.
	markInterval = 20 * time.Millisecond

	// markPatience is the time after which marks that are needed and not in force count
	// as late, and a keeper that has not answered as silent.
	markPatience = 150 * time.Millisecond

	// Marks without an acknowledgement are sent again after minMarkResend, doubled each
	// time up to maxMarkResend. Peers that have never answered get them that often
	// only: their build may have no marks.
	minMarkResend = 100 * time.Millisecond
	maxMarkResend = 2 * time.Second

	// maxSentMarks is the number of marks of which an acknowledgement counts.
	maxSentMarks = 8

	// minKeepersHold is the time for which keepers stay the same without need. Up to as
	// much jitter is added.
	minKeepersHold = time.Second

	// keepersInterval is the interval at which a node checks whether its share rows should
	// name other keepers.
	keepersInterval = 50 * time.Millisecond
)

// marks is the state of the marks of one budget on this node.
type marks struct {
	// limit bounds net by the marks that keepers have; unmarked if none of the rows that
	// may be in force is Kept.
	limit waxwingwall.Tokens

	// newest is the last mark sent, and sent the last ones, in order.
	newest Mark
	sent   []Mark

	// keepers are the keepers that have acknowledged a mark, in order.
	keepers []keptMark

	// changedAt is when the newest mark was sent, since when marks that are not in force
	// are needed, zero if they are not. Before lowerAfter marks are not lowered.
	changedAt, since, lowerAfter time.Time

	// checked is what changeMark last saw, and checkedAt when it last compared the mark.
	checked   markInputs
	checkedAt time.Time

	// open is set while a keeper may lack the newest mark; it is sent again at resendAt,
	// resends counts how often it was.
	open     bool
	resendAt time.Time
	resends  int
}

// markInputs are what the mark of an entry depends on, besides time.
type markInputs struct {
	net, needed, top waxwingwall.Tokens
}

// keptMark is what a keeper has of a budget.
type keptMark struct {
	node waxwingwall.Incarnation

	// seq is the newest mark that it has acknowledged. tokens is the least that it may
	// have by now.
	seq    uint64
	tokens waxwingwall.Tokens
}

// keeperState is what is known of a keeper.
type keeperState struct {
	// capable is set once it has acknowledged a mark, sealed if it acknowledges none any
	// more.
	capable, sealed bool

	// waitingSince is when the first mark was sent since its last answer; zero if none was.
	waitingSince time.Time

	// nextProbe is when it is sent marks next if it is not capable.
	nextProbe time.Time
}

// keepersChanged handles a change of the peers.
func (b *Book) keepersChanged() {
	b.keeperList = nil
	for i := range b.shards {
		s := &b.shards[i]
		targets := b.markTargets(s)
		for _, e := range s.entries {
			m := &e.marks
			m.keepers = slices.DeleteFunc(m.keepers, func(k keptMark) bool { return !slices.Contains(targets, k.node) })
			m.open = true
			m.resendAt = time.Time{}
		}
	}
	for node := range b.keeperStates {
		if !isHolder(b.peers, node) {
			delete(b.keeperStates, node)
		}
	}
}

// keeperCandidates returns the peers that may be keepers: like Witnesses, the same ones
// while they live.
func (b *Book) keeperCandidates() []waxwingwall.Incarnation {
	if b.keeperList != nil {
		return b.keeperList
	}
	weight := func(i waxwingwall.Incarnation) uint64 {
		return xxhash.Sum64String(string(b.self.VM) + "/" + string(i.VM))
	}
	all := b.others(b.peers)
	slices.SortFunc(all, func(x, y waxwingwall.Incarnation) int { return cmp.Compare(weight(x), weight(y)) })
	b.keeperList = all[:min(len(all), maxKeepers)]
	return b.keeperList
}

// keeperState returns the state of a keeper and creates it if needed.
func (b *Book) keeperState(node waxwingwall.Incarnation) *keeperState {
	k := b.keeperStates[node]
	if k == nil {
		k = &keeperState{}
		b.keeperStates[node] = k
	}
	return k
}

// usableKeepers returns the candidates that answer, in order.
func (b *Book) usableKeepers() []waxwingwall.Incarnation {
	var usable []waxwingwall.Incarnation
	for _, node := range b.keeperCandidates() {
		k := b.keeperState(node)
		silent := !k.waitingSince.IsZero() && b.now.Sub(k.waitingSince) >= markPatience
		if k.capable && !k.sealed && !silent {
			usable = append(usable, node)
		}
	}
	slices.SortFunc(usable, compare)
	return usable
}

// markLead returns the lead of the marks of a budget.
func (b *Book) markLead(e *entry) waxwingwall.Tokens {
	most := e.pool.row.Total / markLeadDivisor / waxwingwall.Tokens(b.holderCount(e))
	if b.tableDown {
		most *= outageLeads
	}
	return b.leadWithin(e, most)
}

// leadWithin returns the lead of the marks of a budget, of most tokens.
func (b *Book) leadWithin(e *entry, most waxwingwall.Tokens) waxwingwall.Tokens {
	e.demand.decay(b.now)
	rate := waxwingwall.Tokens(e.demand.spendRate(b.now) * markLeadTime.Seconds())
	return min(max(rate, markLeadRequests*e.demand.worst, most/minLeadDivisor), max(most, 0))
}

// sendMarks raises and lowers the marks of a shard and sends them to the keepers.
func (b *Book) sendMarks(s *shard) {
	if !b.pacing.evenShares || b.fenced || s.closed || b.clocked() && !s.kept() {
		return
	}
	var due []*entry
	for _, e := range s.entries {
		if b.changeMark(e) {
			b.limitEntry(s, e)
		}
		if e.marks.open && !b.now.Before(e.marks.resendAt) {
			due = append(due, e)
		}
	}
	if len(due) == 0 {
		return
	}
	targets := b.markTargets(s)
	for _, node := range targets {
		b.sendMarksTo(s, node, due)
	}
	for _, e := range due {
		m := &e.marks
		m.open = slices.ContainsFunc(targets, func(node waxwingwall.Incarnation) bool { return m.keptBy(node).seq < m.newest.Seq })
		m.resendAt = b.now.Add(min(minMarkResend<<min(m.resends, 8), maxMarkResend))
		m.resends++
	}
}

// kept reports whether marks at keepers bound an entry by a row that may be in force.
func (s *shard) kept() bool {
	return slices.ContainsFunc(s.entries, func(e *entry) bool { return e.row.Kept || e.inFlight.kept || e.lostWrites.kept })
}

// markTargets returns the peers that get the marks of a shard: the candidates, and the
// keepers of all rows that may be in force.
func (b *Book) markTargets(s *shard) []waxwingwall.Incarnation {
	targets := slices.Clone(b.keeperCandidates())
	for _, list := range append([][]waxwingwall.Incarnation{s.keepers, s.nextKeepers}, s.lostKeepers...) {
		for _, node := range list {
			if !slices.Contains(targets, node) {
				targets = append(targets, node)
			}
		}
	}
	return targets
}

// sendMarksTo sends a keeper the marks that it lacks.
func (b *Book) sendMarksTo(s *shard, to waxwingwall.Incarnation, due []*entry) {
	k := b.keeperState(to)
	if k.sealed || !k.capable && b.now.Before(k.nextProbe) {
		return
	}
	var all []Mark
	for _, e := range due {
		if m := &e.marks; m.newest.Seq > 0 && m.keptBy(to).seq < m.newest.Seq {
			all = append(all, m.newest)
		}
	}
	if len(all) == 0 {
		return
	}
	k.nextProbe = b.now.Add(maxMarkResend)
	if k.waitingSince.IsZero() {
		k.waitingSince = b.now
	}
	b.counts.Marks += len(all)
	b.emit(effect.Send{
		To: to,
		Message: GrantNotice{
			Shard: s.index,
			Marks: all,
		},
	})
}

// keptBy returns what a keeper has.
func (m *marks) keptBy(node waxwingwall.Incarnation) keptMark {
	for _, k := range m.keepers {
		if k.node == node {
			return k
		}
	}
	return keptMark{
		node:   node,
		tokens: -unmarked,
	}
}

// changeMark raises or lowers the mark of an entry if it is time, and reports whether it did.
func (b *Book) changeMark(e *entry) bool {
	m := &e.marks
	top := e.row.Granted
	if e.inFlight.set {
		top = max(top, e.inFlight.granted)
	}
	needed := e.needed()
	inputs := markInputs{
		net:    e.net(),
		needed: needed,
		top:    top,
	}
	if inputs == m.checked && b.now.Sub(m.checkedAt) < minLowerInterval {
		return false
	}
	if b.now.Sub(m.changedAt) >= markInterval {
		m.checked = inputs
		m.checkedAt = b.now
	}
	lead := b.markLead(e)
	want := max(min(needed+lead, top), e.net())
	first := m.newest.Seq == 0
	if first && top-needed <= lead {
		return false
	}
	current := m.newest.Tokens
	switch {
	case first:
	case current < min(needed, top):
	case current < min(needed+lead/2, top) && b.now.Sub(m.changedAt) >= markInterval:
	case current > want+maxMarkLeads*lead && !b.now.Before(m.lowerAfter) && b.now.Sub(m.changedAt) >= markInterval:
		for i := range m.keepers {
			m.keepers[i].tokens = min(m.keepers[i].tokens, want)
		}
	default:
		return false
	}
	if want == current && !first {
		return false
	}
	m.newest = Mark{
		Budget: e.row.Budget,
		Seq:    m.newest.Seq + 1,
		Tokens: want,
		Used:   e.settled + e.sent - e.received,
	}
	m.sent = append(m.sent, m.newest)
	if len(m.sent) > maxSentMarks {
		m.sent = m.sent[1:]
	}
	m.changedAt = b.now
	m.lowerAfter = b.now.Add(minLowerInterval)
	m.open = true
	m.resendAt = b.now
	m.resends = 0
	return true
}

// marksKept handles the acknowledgement of marks.
func (b *Book) marksKept(from waxwingwall.Incarnation, msg MarksKept) {
	k := b.keeperStates[from]
	if k == nil {
		return
	}
	k.waitingSince = time.Time{}
	if msg.Sealed {
		if !k.sealed {
			k.sealed = true
			b.checkClosed()
		}
		return
	}
	k.capable = true
	shards := map[int]bool{}
	for _, mark := range msg.Marks {
		if e, ok := b.entries[mark.Budget]; ok {
			e.marks.acknowledge(from, mark.Seq)
			shards[e.shard] = true
		}
	}
	for i := range b.shards {
		if shards[i] {
			b.limitMarks(&b.shards[i])
			b.advanceShard(i)
		}
	}
}

// checkClosed makes this node read its share rows: another one may have closed them.
func (b *Book) checkClosed() {
	for i := range b.shards {
		s := &b.shards[i]
		if s.version > 0 && s.pendingCall == 0 {
			s.mustRead = true
		}
	}
}

// acknowledge records that a keeper has a mark. It may have any later one as well.
func (m *marks) acknowledge(node waxwingwall.Incarnation, seq uint64) {
	at := slices.IndexFunc(m.sent, func(s Mark) bool { return s.Seq == seq })
	if at < 0 {
		return
	}
	tokens := m.sent[at].Tokens
	for _, s := range m.sent[at:] {
		tokens = min(tokens, s.Tokens)
	}
	kept := keptMark{
		node:   node,
		seq:    seq,
		tokens: tokens,
	}
	i, found := slices.BinarySearchFunc(m.keepers, node, func(k keptMark, node waxwingwall.Incarnation) int { return compare(k.node, node) })
	switch {
	case !found:
		m.keepers = slices.Insert(m.keepers, i, kept)
	case m.keepers[i].seq < seq:
		m.keepers[i] = kept
	}
}

// inForce returns the highest mark that holds whichever of a list of keepers answer a
// Closer.
func (m *marks) inForce(list []waxwingwall.Incarnation) waxwingwall.Tokens {
	tokens := make([]waxwingwall.Tokens, 0, len(list))
	for _, node := range list {
		tokens = append(tokens, m.keptBy(node).tokens)
	}
	if len(tokens) == 0 {
		return -unmarked
	}
	slices.Sort(tokens)
	return tokens[answersToClose(len(list))-1]
}

// limitMarks updates the limits of all entries of a shard by their marks.
func (b *Book) limitMarks(s *shard) {
	for _, e := range s.entries {
		b.limitEntry(s, e)
	}
}

// limitEntry updates the limit of an entry by its marks.
func (b *Book) limitEntry(s *shard, e *entry) {
	m := &e.marks
	before := m.limit
	m.limit = unmarked
	if e.row.Kept {
		m.limit = min(m.limit, m.inForce(s.keepers))
	}
	if e.inFlight.kept {
		m.limit = min(m.limit, m.inForce(s.nextKeepers))
	}
	if e.lostWrites.kept {
		for _, list := range s.lostKeepers {
			m.limit = min(m.limit, m.inForce(list))
		}
	}
	switch {
	case m.limit >= m.newest.Tokens:
		m.since = time.Time{}
	case m.since.IsZero() || m.limit > before:
		m.since = b.now
	}
}

// marksLate reports whether an entry has waited too long for its keepers.
func (b *Book) marksLate(e *entry) bool {
	return !e.marks.since.IsZero() && b.now.Sub(e.marks.since) >= markPatience
}

// stalled reports whether requests wait for keepers that are late.
func (b *Book) stalled(e *entry) bool {
	w := &e.wait
	return w.open && e.free() < w.smallest && e.loose() >= w.smallest && b.marksLate(e)
}

// chooseKeepers returns the keepers for the next write of a shard. They change if one of them
// is silent, or if there are more, but not often.
func (b *Book) chooseKeepers(s *shard) []waxwingwall.Incarnation {
	if !b.pacing.evenShares {
		return nil
	}
	usable := b.usableKeepers()
	if slices.ContainsFunc(s.entries, b.stalled) || len(s.keepers) == 0 {
		return usable
	}
	lost := slices.ContainsFunc(s.keepers, func(node waxwingwall.Incarnation) bool { return !isHolder(usable, node) })
	if !lost && len(usable) <= len(s.keepers) || b.now.Before(s.keepersHold) {
		return s.keepers
	}
	return usable
}

// keep reports whether marks at a list of keepers can bound an entry after a write, and
// whether they are of use: a share of less than the lead is not.
func (b *Book) keep(e *entry, next ShareEntry, list []waxwingwall.Incarnation) bool {
	if len(list) == 0 || b.clocked() {
		return false
	}
	needed := e.net()
	if b.stalled(e) {
		needed += e.wait.smallest
	}
	unused := next.Granted - e.net()
	if e.wait.open {
		unused -= e.wait.need
	}
	return unused > b.markLead(e) && e.marks.inForce(list) >= needed
}

// keepersDue reports whether a shard should be written for the sake of its keepers alone.
func (b *Book) keepersDue(s *shard) bool {
	if !b.pacing.evenShares || b.frozen || b.draining || b.tableDown {
		return false
	}
	if b.now.Before(s.keepersCheck) && !slices.ContainsFunc(s.entries, b.stalled) {
		return false
	}
	s.keepersCheck = b.now.Add(keepersInterval)
	if b.now.Before(s.keepersHold) {
		s.keepersCheck = s.keepersHold
	}
	list := b.chooseKeepers(s)
	changed := !slices.Equal(list, s.keepers)
	return slices.ContainsFunc(s.entries, func(e *entry) bool {
		return b.stalled(e) || (changed || !e.row.Kept) && b.keep(e, e.row, list)
	})
}

// planKeepers chooses the keepers of the next write of a shard and completes its changes by
// them.
func (b *Book) planKeepers(s *shard, changes []change, closing bool) []change {
	s.nextKeepers = nil
	if !b.pacing.evenShares || closing {
		return changes
	}
	list := b.chooseKeepers(s)
	relisted := !slices.Equal(list, s.keepers)
	changed := make(map[*entry]bool, len(changes))
	kept := false
	for i := range changes {
		c := &changes[i]
		changed[c.entry] = true
		c.row.Kept = b.keep(c.entry, c.row, list)
		kept = kept || c.row.Kept
	}
	for _, e := range s.entries {
		if changed[e] || e.droppable() && !e.row.Kept {
			continue
		}
		next := e.row
		next.Kept = b.keep(e, e.row, list)
		kept = kept || next.Kept
		if next.Kept != e.row.Kept || next.Kept && relisted {
			changes = append(changes, change{
				entry: e,
				row:   next,
			})
		}
	}
	if kept {
		s.nextKeepers = list
	}
	return changes
}

// relist records the keepers of a row that is in force now and reports whether they have
// changed.
func (b *Book) relist(s *shard, keepers []waxwingwall.Incarnation) bool {
	if slices.Equal(s.keepers, keepers) {
		return false
	}
	s.keepers = keepers
	s.keepersHold = b.now.Add(minKeepersHold + b.jitter(minKeepersHold))
	return true
}
