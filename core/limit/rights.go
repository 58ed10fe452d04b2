package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
)

const (
	// minRate is the least rate, in requests per second, that is sent to an endpoint,
	// whatever it names: only an answer shows that a limit has ended.
	minRate = 0.2

	// burstSeconds times the rate, plus two tokens and one more for rates from 1 on, is
	// the largest number of tokens of a limit.
	burstSeconds = 1.0

	// minRenewal is the interval at which rights are lent again, renewalPerRouter times
	// the number of routers its least value in a large fleet. A right is lent for
	// renewalsLent intervals, and usable again transferMargin later.
	minRenewal       = 300 * time.Millisecond
	renewalPerRouter = 3 * time.Millisecond
	renewalsLent     = 3
	transferMargin   = 250 * time.Millisecond
)

// chooseOwner returns the router that grants the permits of a pool.
func (l *Limiter) chooseOwner(name waxwingwall.Model) waxwingwall.Incarnation {
	var best waxwingwall.Incarnation
	var highest uint64
	consider := func(i waxwingwall.Incarnation) {
		if h := xxhash.Sum64String(string(name) + "\x00" + string(i.VM)); best.IsZero() || h > highest {
			best = i
			highest = h
		}
	}
	if !l.leaving {
		consider(l.self)
	}
	for _, i := range l.peers {
		consider(i)
	}
	if best.IsZero() {
		return l.self
	}
	return best
}

// lend lends the router's right to the pool's owner, and renews the loan in time.
func (l *Limiter) lend(now time.Time, p *pool) {
	lent := now.Before(p.lentUntil)
	if p.owner == l.self || l.right == 0 || !p.limited() || now.Before(p.silentUntil) || lent && (p.owner != p.lentTo || now.Before(p.renewAt)) {
		return
	}
	interval := max(minRenewal, time.Duration(l.routers)*renewalPerRouter)
	p.lentTo = p.owner
	p.renewAt = now.Add(interval)
	p.lentUntil = now.Add(renewalsLent*interval + transferMargin)
	l.send(p.owner, Loan{
		Pool:  p.name,
		Right: l.right,
		For:   renewalsLent * interval,
	})
}

// borrow records a right that another router lent.
func (p *pool) borrow(o loan) {
	i, found := slices.BinarySearchFunc(p.loans, o.from.VM, func(o loan, vm waxwingwall.VM) int { return cmp.Compare(o.from.VM, vm) })
	if found {
		p.loans[i] = o
		return
	}
	p.loans = slices.Insert(p.loans, i, o)
}

// updateHeld adds up the rights that the router may use.
func (l *Limiter) updateHeld(now time.Time, p *pool) {
	held := 0.0
	if !now.Before(p.lentUntil) {
		held = l.right
	}
	p.loans = slices.DeleteFunc(p.loans, func(o loan) bool { return !now.Before(o.until) })
	for _, o := range p.loans {
		held += o.right
	}
	held = min(held, 1)
	if held != p.held {
		p.refill(now)
		p.held = held
	}
}

// refill adds the tokens that accrued since the last call.
func (p *pool) refill(now time.Time) {
	for _, r := range p.rows {
		if elapsed := now.Sub(r.refilledAt); elapsed > 0 {
			r.tokens += p.rate(r) * elapsed.Seconds()
			r.refilledAt = now
		}
		r.tokens = min(r.tokens, p.burst(r))
	}
}

// rate returns the permits a second that this router may grant for an endpoint.
func (p *pool) rate(r *row) float64 {
	return p.held * r.rate()
}

// burst returns the largest number of tokens that this router may have for an endpoint.
func (p *pool) burst(r *row) float64 {
	rate := r.rate()
	if r.coldRate > 0 {
		return p.held * (coldBurst - 1 + min(rate, 1))
	}
	return p.held * (2 + min(rate, 1) + burstSeconds*rate)
}
