package limit

import (
	"cmp"
	"time"

	"waxwingwall"
)

// coldBurst is the largest number of tokens of the limit of a cold endpoint, for rates below 1
// the rate in place of the last one. Cold endpoints are counted in single seconds, so nothing
// of a second is saved up for the next.
const coldBurst = 3

// Cold is the limit that an endpoint has for some time after its start, or at another moment.
// All routers learn it from where they learn of the endpoint, so it isn't passed on.
type Cold struct {
	// Endpoint and Born identify the instance of the endpoint, Pool is its service.
	Endpoint waxwingwall.Endpoint
	Pool     waxwingwall.Model
	Born     int64

	// Rate is the number of requests a second that it takes from all routers together,
	// until Until. A rate of zero is no limit.
	Rate  float64
	Until time.Time
}

// SetCold replaces the limit of a cold endpoint. It leaves the one alone that the endpoint
// names; the stricter of the two is in force.
func (l *Limiter) SetCold(now time.Time, c Cold) {
	cold := c.Rate > 0 && isRate(c.Rate) && now.Before(c.Until)
	r := l.rows[c.Endpoint]
	if r != nil && (r.notice.Pool != c.Pool || r.notice.Born != c.Born) {
		l.Forget(c.Endpoint)
		r = nil
	}
	if r == nil {
		if !cold {
			return
		}
		r = &row{
			refilledAt: now,
		}
		l.rows[c.Endpoint] = r
		l.ensurePool(c.Pool).add(r, Notice{
			Endpoint: c.Endpoint,
			Pool:     c.Pool,
			Born:     c.Born,
		})
	} else {
		l.pool(c.Pool).refill(now)
	}
	if cold && !r.limited() {
		r.tokens = 0
		r.refilledAt = now
	}
	r.coldRate, r.coldUntil = 0, time.Time{}
	if cold {
		r.coldRate, r.coldUntil = c.Rate, c.Until
	}
	l.forgetUnlimited(r)
}

// Cold reports whether an endpoint has the limit of a cold one.
func (l *Limiter) Cold(endpoint waxwingwall.Endpoint) bool {
	r := l.rows[endpoint]
	return r != nil && r.coldRate > 0
}

// warm ends the limits of the endpoints of a pool that are cold no longer.
func (l *Limiter) warm(now time.Time, p *pool) {
	for i := len(p.rows) - 1; i >= 0; i-- {
		r := p.rows[i]
		if r.coldRate == 0 || now.Before(r.coldUntil) {
			continue
		}
		p.refill(now)
		r.coldRate, r.coldUntil = 0, time.Time{}
		l.forgetUnlimited(r)
	}
}

// forgetUnlimited forgets an endpoint that is not cold and has never named a limit.
func (l *Limiter) forgetUnlimited(r *row) {
	if r.coldRate == 0 && !r.noticed() {
		l.Forget(r.notice.Endpoint)
	}
}

// noticed reports whether the endpoint has named a limit, which may have ended.
func (r *row) noticed() bool {
	return r.notice.Seq > 0
}

// named reports whether the endpoint names a limit.
func (r *row) named() bool {
	return r.noticed() && !r.notice.Ended
}

// limited reports whether requests to the endpoint need a permit.
func (r *row) limited() bool {
	return r.named() || r.coldRate > 0
}

// rate returns the requests a second that the endpoint takes from all routers together: the
// stricter limit of those that it has.
func (r *row) rate() float64 {
	switch {
	case r.coldRate == 0:
		return max(r.notice.Rate, minRate)
	case r.named():
		return max(min(r.notice.Rate, r.coldRate), minRate)
	}
	return max(r.coldRate, minRate)
}

// compareRows orders the rows of a pool.
func compareRows(r *row, id waxwingwall.Endpoint) int {
	return cmp.Compare(r.notice.Endpoint, id)
}
