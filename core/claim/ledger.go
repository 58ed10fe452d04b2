package claim

import (
	"net/netip"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// witnessTimeout is the time that a record may wait for the witness before
	// the log is filed in the table instead.
	witnessTimeout = 250 * time.Millisecond

	// spareTimeout is the time that a record may wait for the spare before the log
	// is filed in the table instead.
	spareTimeout = 2 * witnessTimeout

	// beginTimeout is the time that a begin record may wait before the request
	// is refused; settle records wait indefinitely.
	beginTimeout = 2 * time.Second

	// unavailableRetryAfter is the RetryAfter of an unavailable slot.
	unavailableRetryAfter = time.Second

	// leaveTimeout limits how long a graceful stop waits for other routers to
	// name another witness.
	leaveTimeout = 10 * time.Second

	// checkInterval is the minimum time between two checks for handoffs, and
	// between two for takeovers.
	checkInterval = 200 * time.Millisecond

	// progressInterval is the minimum time between two progress records of a
	// request.
	progressInterval = time.Second
)

// entry is a claim held in memory.
type entry struct {
	Claim

	// seq is the log record that must be stable before the next step of the
	// request.
	seq int64

	// appendedAt is when that record was appended.
	appendedAt time.Time

	// dispatched is set by Dispatched; after that the request cannot be
	// abandoned.
	dispatched bool

	// cleared is set once the begin record is stable.
	cleared bool

	// settling is set while a record that ends the run is not stable.
	settling bool

	// noCaller is set if no caller waits for the outcome; Settled is then not
	// emitted.
	noCaller bool

	// referenced is set once another router has a copy of the claim that
	// refers to the run here.
	referenced bool

	// progressAt is the time of the last progress record.
	progressAt time.Time

	// unreported is set while the owner of the slot, another incarnation, has
	// not acknowledged the final state of the request.
	unreported bool
}

// Ledger holds the claims, log and slots of one incarnation. It is not safe
// for concurrent use. Use New to create one.
type Ledger struct {
	settings

	// The identity of this incarnation.
	self    waxwingwall.Incarnation
	address netip.AddrPort
	domain  waxwingwall.Domain

	// The local view of the table, and calls in flight.
	table table

	// The log of this incarnation and its links to witnesses.
	log log

	// The unfiled parts of the logs that this router witnesses.
	witnessedLogs map[pairing]*witnessedLog

	// Claims by identity.
	claims    map[waxwingwall.Identity]*entry
	billed    map[waxwingwall.Budget]waxwingwall.Tokens // sums of the bills filed
	expiredAt time.Time                                 // when expire last ran

	// Membership, ordered by incarnation, and when each suspected incarnation
	// was first suspected.
	peers    []Peer
	ranked   []Peer // live peers that are not leaving, best witness first
	suspects map[waxwingwall.Incarnation]time.Time

	// Peers that have been live at some time.
	everAlive map[waxwingwall.Incarnation]bool

	// Witnesses that requested replacement because they are stopping gracefully
	// (Ack.Leaving).
	leaving map[waxwingwall.Incarnation]bool

	// Slots, handoffs and the takeover in progress.
	slots             slots
	currentOffer      *offer // the handoff from this router in progress
	lastOffer         int64
	handoffCheckedAt  time.Time // when a handoff was last considered; set ahead to delay the next one
	takeoverCheckedAt time.Time // when takeovers were last considered
	acceptedOffers    map[waxwingwall.Incarnation]*acceptedOffer
	takeover          *takeover

	// Ended requests whose slot has another owner, in the order of their end.
	unreported []waxwingwall.Identity
	notifiedAt time.Time

	// When late claims were last sent to the owners of their slots.
	lateNotifiedAt time.Time

	// The lifecycle of this incarnation.
	closed         bool
	closing        bool
	draining       bool
	drainStartedAt time.Time // when Drain was called
	drained        bool

	// Actions to be returned by the next Step.
	actions []effect.Action
}

// New returns the ledger of a new incarnation; Step registers it. address and
// domain are published in its node row.
func New(self waxwingwall.Incarnation, address netip.AddrPort, domain waxwingwall.Domain, opts ...Option) *Ledger {
	l := &Ledger{
		settings: settings{
			slotCount:          DefaultSlots,
			filingInterval:     defaultFilingInterval,
			retention:          defaultRetention,
			pollInterval:       defaultPollInterval,
			suspectTimeout:     defaultSuspectTimeout,
			interruptedTimeout: defaultRetention / 2,
		},
		self:           self,
		address:        address,
		domain:         domain,
		witnessedLogs:  make(map[pairing]*witnessedLog),
		claims:         make(map[waxwingwall.Identity]*entry),
		billed:         make(map[waxwingwall.Budget]waxwingwall.Tokens),
		suspects:       make(map[waxwingwall.Incarnation]time.Time),
		everAlive:      make(map[waxwingwall.Incarnation]bool),
		leaving:        make(map[waxwingwall.Incarnation]bool),
		acceptedOffers: make(map[waxwingwall.Incarnation]*acceptedOffer),
	}
	for _, o := range opts {
		o(&l.settings)
	}
	l.table.calls = make(map[uint64]*call)
	l.table.others = make(map[waxwingwall.Incarnation]nodeView)
	l.slots.frozen = make(map[int]bool)
	l.slots.sources = make(map[int]copySource)
	l.slots.uncertainUntil = make(map[int]time.Time)
	return l
}

// Begin looks up the key of a request. If the verdict is Fresh, it queues a
// begin record; with any other verdict the request is not started.
func (l *Ledger) Begin(now time.Time, req RunRequest) Verdict {
	v := l.Peek(now, req)
	if v.Kind == Fresh {
		l.begin(now, l.slotOf(req.Identity, req.Spread), req, l.claims[req.Identity])
	}
	return v
}

// begin records a new run. The rerun of an interrupted request keeps the
// progress of its earlier runs.
func (l *Ledger) begin(now time.Time, slot int, req RunRequest, before *entry) {
	e := &entry{
		Claim: Claim{
			Identity:   req.Identity,
			Slot:       slot,
			State:      StateBegun,
			Home:       l.self,
			Idempotent: req.Idempotent,
			Budget:     req.Budget,
			Worst:      req.Worst,
			Digest:     req.Digest,
			At:         now,
		},
		progressAt: now,
	}
	if before != nil {
		e.Rerun = true
		e.Earlier = max(before.Earlier, before.Tokens)
		e.Idempotent = before.Idempotent
	}
	l.claims[req.Identity] = e
	e.Run = l.log.head + 1
	l.appendAndWait(now, e)
}

// Dispatched marks a cleared request as dispatched. It returns false if the
// request must not be dispatched: it is not cleared, was abandoned, or this
// incarnation is closed.
func (l *Ledger) Dispatched(_ time.Time, id waxwingwall.Identity) bool {
	e := l.running(id)
	if l.closed || e == nil || !e.cleared {
		return false
	}
	e.dispatched = true
	return true
}

// Progress updates the number of tokens that a running request has generated.
func (l *Ledger) Progress(now time.Time, id waxwingwall.Identity, tokens waxwingwall.Tokens) {
	e := l.running(id)
	if e == nil || tokens <= e.Tokens {
		return
	}
	e.Tokens = min(tokens, e.Worst)
	if now.Sub(e.progressAt) < progressInterval {
		return
	}
	e.progressAt = now
	e.At = now
	l.appendRecord(now, e.Claim)
}

// Settle records the outcome of a dispatched request. The last byte may go to
// the caller only after Settled.
func (l *Ledger) Settle(now time.Time, id waxwingwall.Identity, r Result) {
	e := l.running(id)
	if e == nil {
		return
	}
	if r.Outcome == waxwingwall.NotRun {
		l.retract(now, e)
		return
	}
	e.State = StateFinished
	e.Outcome = r.Outcome
	e.Tokens = r.Tokens
	e.Answer = r.Answer
	e.At = now
	l.recordEnd(now, e)
}

// Abandon records that a request was not run. Settled follows; nothing is
// billed. It has no effect after Dispatched.
func (l *Ledger) Abandon(now time.Time, id waxwingwall.Identity) {
	e := l.running(id)
	if e == nil || e.dispatched {
		return
	}
	l.retract(now, e)
}

// Interrupt records that an idempotent request has run in part and may run
// again under its key. A retry replaces it; without one, it is billed with the
// given tokens after the interrupted timeout. Settled follows.
func (l *Ledger) Interrupt(now time.Time, id waxwingwall.Identity, tokens waxwingwall.Tokens) {
	e := l.running(id)
	if e == nil || !e.Idempotent {
		return
	}
	e.State = StateInterrupted
	e.Tokens = min(max(e.Earlier, tokens), e.Worst)
	e.At = now
	l.recordEnd(now, e)
}

// retract records that the current run did not happen. The progress of earlier
// interrupted runs remains to be billed by the owner of the slot.
func (l *Ledger) retract(now time.Time, e *entry) {
	e.State = StateNotRun
	e.Tokens = 0
	if e.Rerun {
		e.State = StateInterrupted
		e.Tokens = e.Earlier
	}
	e.At = now
	l.recordEnd(now, e)
}

// recordEnd appends the record that ends the run of a request.
func (l *Ledger) recordEnd(now time.Time, e *entry) {
	e.settling = true
	l.appendAndWait(now, e)
}

// Head returns the number of the last own record.
func (l *Ledger) Head() int64 {
	return l.log.head
}

// FiledThrough returns the number of the last own record in the table.
func (l *Ledger) FiledThrough() int64 {
	return l.log.filed
}

// running returns the entry of a request that is running here, or nil.
func (l *Ledger) running(id waxwingwall.Identity) *entry {
	e := l.claims[id]
	if e == nil || e.Home != l.self || e.State != StateBegun {
		return nil
	}
	return e
}

// Step processes an event and returns the actions to perform, including those
// queued by other methods since the last Step.
func (l *Ledger) Step(now time.Time, ev effect.Event) []effect.Action {
	switch ev := ev.(type) {
	case effect.Transacted:
		l.transacted(now, ev)
	case effect.Rows:
		l.rowsRead(now, ev)
	case effect.Received:
		l.received(now, ev)
	}
	l.runDue(now)
	actions := l.actions
	l.actions = nil
	return actions
}

// runDue performs all periodic work that is due.
func (l *Ledger) runDue(now time.Time) {
	if l.closed {
		return
	}
	l.retryCalls(now)
	l.register(now)
	l.poll(now)
	l.touch(now)
	l.chooseWitness(now)
	l.chooseSpare()
	l.updateStable(now)
	l.refuseTimedOut(now)
	l.handoff(now)
	l.checkTakeover(now)
	l.applyMoves(now)
	l.notifyOwners(now)
	l.notifyLate(now)
	l.expire(now)
	l.file(now)
	l.finishDrain(now)
	l.sendRecords(now)
}

func (l *Ledger) received(now time.Time, ev effect.Received) {
	if l.closed {
		return
	}
	switch m := ev.Message.(type) {
	case Append:
		l.receiveAppend(now, ev.From, m)
	case Ack:
		l.receiveAck(ev.From, m)
	case Nack:
		l.receiveNack(ev.From, m)
	case Give:
		l.acceptOffer(now, ev.From, m)
	case Moved:
		l.pollSoon()
	case Taken:
		l.offerTaken(now, ev.From, m)
	case Late:
		l.receiveLate(now, ev.From, m)
	case LateAck:
		l.dropLate(m.Claims)
	case Ended:
		l.receiveEnded(now, ev.From, m)
	case EndedAck:
		l.receiveEndedAck(ev.From, m)
	}
}

// SetPeers replaces the membership of the other routers.
func (l *Ledger) SetPeers(now time.Time, peers []Peer) {
	l.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return p.Incarnation == l.self
	})
	slices.SortFunc(l.peers, func(a, b Peer) int {
		return compareIncarnations(a.Incarnation, b.Incarnation)
	})
	l.ranked = l.rankPeers()
	for _, p := range l.ranked {
		l.everAlive[p.Incarnation] = true
	}
	l.updateSuspects(now)
}

// Ready reports whether the incarnation is registered, knows the slots, and
// has a witness unless there is no other router.
func (l *Ledger) Ready() bool {
	alone := len(l.candidates()) == 0
	return l.table.registered && l.slots.version > 0 && (alone || !l.table.node.Witness.IsZero())
}

// Drain starts a graceful stop: slots are handed off to live peers together
// with their claims; running requests finish here.
func (l *Ledger) Drain(now time.Time) {
	if !l.draining {
		l.draining = true
		l.drainStartedAt = now
		l.pollSoon()
	}
}

// HandsOff reports whether there are slots and a peer to hand them to.
func (l *Ledger) HandsOff() bool {
	return len(l.slots.owned(l.self)) > 0 && len(l.candidates()) > 0
}

// Drained reports whether the graceful stop is complete: nothing is running,
// all records are filed and the node row is closed.
func (l *Ledger) Drained() bool {
	return l.drained
}

// emit queues an action.
func (l *Ledger) emit(a effect.Action) {
	l.actions = append(l.actions, a)
}
