package limit

import (
	"cmp"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// answerTimeout is how long an owner's answer may take in addition to the time that
	// the ask was queued. ownerTimeout is how long an owner that exceeded it is not
	// asked.
	answerTimeout = 150 * time.Millisecond
	ownerTimeout  = time.Second
)

// Ask requests a permit to send one request to one of the limited endpoints of a service.
// It is also the message to the service's owner.
type Ask struct {
	// ID is chosen by the router that asks, see Limiter.NextID.
	ID uint64

	// Pool is the service, Rank and Account are those of the request.
	Pool    waxwingwall.Model
	Rank    waxwingwall.Rank
	Account waxwingwall.Account

	// Prefer is the endpoint to use if it has a permit; empty if there is no preference.
	// Exclude are endpoints that must not be used.
	Prefer  waxwingwall.Endpoint
	Exclude []waxwingwall.Endpoint

	// Wait is how long the request may wait for the permit.
	Wait time.Duration
}

// Granted is the permit to send one request to an endpoint. A permit that isn't used is
// returned with GiveBack.
type Granted struct {
	effect.IsAction

	// ID is the ID of the Ask.
	ID uint64

	// Pool and Endpoint are the service and the endpoint, By is the granting router.
	Pool     waxwingwall.Model
	Endpoint waxwingwall.Endpoint
	By       waxwingwall.Incarnation
}

// Denied means that there is no permit within Ask.Wait.
type Denied struct {
	effect.IsAction

	// ID is the ID of the Ask.
	ID uint64

	// RetryAfter is when a permit is expected to be free. Silent is set if the owner of
	// the service did not answer.
	RetryAfter time.Duration
	Silent     bool
}

// Answer is the answer of an owner to an Ask.
type Answer struct {
	// ID is the ID of the Ask, Endpoint the endpoint of the permit; empty if the ask was
	// denied.
	ID       uint64
	Endpoint waxwingwall.Endpoint

	// Queued is how long the ask waited at the owner.
	Queued time.Duration

	// RetryAfter is when a permit is expected to be free. Unknown is set if the owner
	// knows of no limited endpoint of the service.
	RetryAfter time.Duration
	Unknown    bool
}

// Return withdraws an Ask, or returns its permit.
type Return struct {
	// ID is the ID of the Ask, Pool its service.
	ID   uint64
	Pool waxwingwall.Model

	// Endpoint is the endpoint of the permit; empty if there is none yet.
	Endpoint waxwingwall.Endpoint
}

// Loan lends the sender's right to the limits of a service.
type Loan struct {
	// Pool is the service.
	Pool waxwingwall.Model

	// Right is a part of the limits, from 0 to 1, and For how long it is lent.
	Right float64
	For   time.Duration
}

// Notices passes notices on.
type Notices struct {
	// Notices are merged by the receiver.
	Notices []Notice
}

// Messages returns one message of each type exchanged between routers, for registration
// with the codec.
func Messages() []any {
	return []any{
		Ask{},
		Answer{},
		Return{},
		Loan{},
		Notices{},
	}
}

// pendingAsk is an ask that another router has not answered.
type pendingAsk struct {
	ask    Ask
	to     waxwingwall.Incarnation
	sentAt time.Time
}

// NextID returns a new Ask.ID.
func (l *Limiter) NextID() uint64 {
	l.askSeq++
	return l.askSeq
}

// MayAsk reports whether a permit of a service may be free now. A request that has
// another endpoint should not ask otherwise.
func (l *Limiter) MayAsk(now time.Time, name waxwingwall.Model) bool {
	p := l.pool(name)
	return p == nil || !now.Before(p.askAfter)
}

// Ask requests a permit; Granted or Denied follows.
func (l *Limiter) Ask(now time.Time, a Ask) {
	p := l.ensurePool(a.Pool)
	if p.owner == l.self || now.Before(p.silentUntil) {
		l.handleAsk(now, l.self, a)
		return
	}
	l.asks[a.ID] = &pendingAsk{
		ask:    a,
		to:     p.owner,
		sentAt: now,
	}
	l.send(p.owner, a)
}

// Cancel withdraws an ask that was not answered yet.
func (l *Limiter) Cancel(now time.Time, id uint64) {
	if a := l.asks[id]; a != nil {
		delete(l.asks, id)
		l.send(a.to, Return{
			ID:   id,
			Pool: a.ask.Pool,
		})
		return
	}
	for _, p := range l.pools {
		l.handleReturn(now, l.self, Return{
			ID:   id,
			Pool: p.name,
		})
	}
}

// GiveBack returns a permit with which nothing was sent.
func (l *Limiter) GiveBack(now time.Time, g Granted) {
	r := Return{
		ID:       g.ID,
		Pool:     g.Pool,
		Endpoint: g.Endpoint,
	}
	if g.By.VM == l.self.VM {
		l.handleReturn(now, l.self, r)
		return
	}
	l.send(g.By, r)
}

// handleMessage handles a message from a peer.
func (l *Limiter) handleMessage(now time.Time, ev effect.Received) {
	switch m := ev.Message.(type) {
	case Ask:
		l.handleAsk(now, ev.From, m)
	case Answer:
		l.handleAnswer(now, ev.From, m)
	case Return:
		l.handleReturn(now, ev.From, m)
	case Loan:
		p := l.ensurePool(m.Pool)
		p.borrow(loan{
			from:  ev.From,
			right: min(max(m.Right, 0), 1),
			until: now.Add(m.For),
		})
		l.updateHeld(now, p)
	case Notices:
		l.merge(now, ev.From, m.Notices)
	}
}

// usable reports whether permits of an endpoint may be granted.
func (l *Limiter) usable(r *row) bool {
	_, usable, known := l.lookup(r.notice.Endpoint)
	return known && usable
}

// handleAsk grants, queues or denies an ask.
func (l *Limiter) handleAsk(now time.Time, from waxwingwall.Incarnation, a Ask) {
	p := l.ensurePool(a.Pool)
	if !p.limited() {
		l.answer(now, &entry{ask: a, from: from, since: now}, Answer{
			ID:         a.ID,
			RetryAfter: minRetryAfter,
			Unknown:    true,
		})
		return
	}
	p.refill(now)
	e := p.newEntry(now, from, a)
	if len(p.waiting) == 0 {
		if r := l.freeRow(p, e); r != nil {
			l.grant(now, p, e, r)
			return
		}
	}
	eligible := func(r *row) bool { return l.usable(r) && !slices.Contains(a.Exclude, r.notice.Endpoint) }
	if a.Wait <= 0 {
		next, _ := p.wait(len(p.waiting)+1, 0, eligible)
		l.answer(now, e, Answer{
			ID:         a.ID,
			RetryAfter: next,
		})
		return
	}
	p.claimCredit(e)
	free, ok := p.wait(p.ahead(e)+1, p.urgentRate(now, e), eligible)
	if !ok || free > a.Wait*admittedPercent/100 || len(p.waiting) >= maxWaiting {
		l.deny(now, p, e, free)
		return
	}
	p.waiting = append(p.waiting, e)
	if p.ahead(e) < len(p.waiting)-1 {
		l.denyLate(now, p)
	}
}

// denyLate denies the asks that can't be granted in time any more, as others came before
// them or rights were lost.
func (l *Limiter) denyLate(now time.Time, p *pool) {
	before := 0
	for _, e := range p.inOrder() {
		free, _ := p.wait(before+1, 0, l.usable)
		if !now.Add(free).After(e.deadline) {
			before++
			continue
		}
		p.remove(e)
		l.deny(now, p, e, free)
	}
}

// deny denies an ask, which may be repeated later.
func (l *Limiter) deny(now time.Time, p *pool, e *entry, free time.Duration) {
	l.answer(now, e, Answer{
		ID:         e.ask.ID,
		RetryAfter: p.book(now, e.ask.Rank, free, l.usable),
	})
}

// freeRow returns the endpoint with a token for an ask: the preferred one, or the one
// with the most tokens; nil if there is none.
func (l *Limiter) freeRow(p *pool, e *entry) *row {
	var best *row
	for _, r := range p.rows {
		if !r.limited() || r.tokens < 1 || !l.usable(r) || slices.Contains(e.ask.Exclude, r.notice.Endpoint) {
			continue
		}
		if r.notice.Endpoint == e.ask.Prefer {
			return r
		}
		if best == nil || r.tokens > best.tokens {
			best = r
		}
	}
	return best
}

// grantWaiting grants the permits that are free, and denies the asks whose time is over.
func (l *Limiter) grantWaiting(now time.Time, p *pool) {
	if len(p.waiting) == 0 {
		return
	}
	p.refill(now)
	for _, e := range p.inOrder() {
		if r := l.freeRow(p, e); r != nil {
			p.remove(e)
			l.grant(now, p, e, r)
		}
	}
	l.denyLate(now, p)
}

// grant grants a permit.
func (l *Limiter) grant(now time.Time, p *pool, e *entry, r *row) {
	r.tokens--
	p.granted(now, e.ask)
	l.answer(now, e, Answer{
		ID:       e.ask.ID,
		Endpoint: r.notice.Endpoint,
		Queued:   now.Sub(e.since),
	})
}

// answer passes an answer to the router that asked.
func (l *Limiter) answer(now time.Time, e *entry, a Answer) {
	if e.from != l.self {
		l.send(e.from, a)
		return
	}
	l.resolve(now, e.ask, l.self, a)
}

// resolve ends an ask of this router.
func (l *Limiter) resolve(now time.Time, ask Ask, by waxwingwall.Incarnation, a Answer) {
	if a.Endpoint != "" {
		l.emit(Granted{
			ID:       ask.ID,
			Pool:     ask.Pool,
			Endpoint: a.Endpoint,
			By:       by,
		})
		return
	}
	if ask.Wait <= 0 && !a.Unknown {
		// Routers that were denied together should not ask again together.
		p := l.ensurePool(ask.Pool)
		p.askAfter = now.Add(a.RetryAfter + time.Duration(l.rng.Int64N(int64(a.RetryAfter/2)+1)))
	}
	l.emit(Denied{
		ID:         ask.ID,
		RetryAfter: a.RetryAfter,
	})
}

// handleAnswer handles the answer of an owner. A permit that comes too late is returned,
// as it would add to the permits of a later time.
func (l *Limiter) handleAnswer(now time.Time, from waxwingwall.Incarnation, m Answer) {
	a := l.asks[m.ID]
	if a == nil || a.to != from {
		if m.Endpoint != "" {
			if r := l.rows[m.Endpoint]; r != nil {
				l.send(from, Return{
					ID:       m.ID,
					Pool:     r.notice.Pool,
					Endpoint: m.Endpoint,
				})
			}
		}
		return
	}
	delete(l.asks, m.ID)
	if m.Unknown {
		l.sendPool(from, a.ask.Pool)
	}
	if m.Endpoint != "" && now.Sub(a.sentAt)-m.Queued > answerTimeout {
		l.send(from, Return{
			ID:       m.ID,
			Pool:     a.ask.Pool,
			Endpoint: m.Endpoint,
		})
		m.Endpoint = ""
		m.RetryAfter = minRetryAfter
	}
	l.resolve(now, a.ask, from, m)
}

// handleReturn withdraws an ask or takes a permit back.
func (l *Limiter) handleReturn(now time.Time, from waxwingwall.Incarnation, m Return) {
	p := l.pool(m.Pool)
	if p == nil {
		return
	}
	if e := p.find(from, m.ID); e != nil {
		p.remove(e)
		return
	}
	if r := l.rows[m.Endpoint]; r != nil && r.notice.Pool == m.Pool {
		p.refill(now)
		r.tokens = min(r.tokens+1, p.burst(r))
	}
}

// expireAsks ends the asks whose owner does not answer.
func (l *Limiter) expireAsks(now time.Time) {
	var expired []*pendingAsk
	for _, a := range l.asks {
		if now.Sub(a.sentAt) > a.ask.Wait+answerTimeout {
			expired = append(expired, a)
		}
	}
	slices.SortFunc(expired, func(a, b *pendingAsk) int { return cmp.Compare(a.ask.ID, b.ask.ID) })
	for _, a := range expired {
		delete(l.asks, a.ask.ID)
		l.ensurePool(a.ask.Pool).silentUntil = now.Add(ownerTimeout)
		l.emit(Denied{
			ID:         a.ask.ID,
			RetryAfter: ownerTimeout,
			Silent:     true,
		})
	}
}
