package limit

import (
	"time"

	"waxwingwall"
)

const (
	// spreadInterval is the minimum time between two messages with new notices to the
	// same number of peers, spreadFanout.
	spreadInterval = 300 * time.Millisecond
	spreadFanout   = 4

	// repairInterval is the interval at which a part of all notices is passed to
	// repairFanout random peers, for those that missed them.
	repairInterval = time.Second
	repairFanout   = 2

	// maxNotices limits the notices in one message.
	maxNotices = 16

	// maxRate limits the rates in notices, in requests per second. It is above all
	// that waxwingwall.ParseRateLimit accepts.
	maxRate = 1e9
)

// gossip is the state of the exchange of notices.
type gossip struct {
	// urgent is set while a notice that makes a limit stricter, or ends it, is unsent.
	urgent   bool
	spreadAt time.Time

	// repairAt is the time of the last repair, repairNext the position of the next
	// notice to repeat.
	repairAt   time.Time
	repairNext int
}

// valid reports whether an endpoint can have named the limit.
func (n *Notice) valid() bool {
	return isRate(n.Rate) && isRate(n.Named)
}

// isRate reports whether r is a rate; it is false if r is no number.
func isRate(r float64) bool {
	return r >= 0 && r <= maxRate
}

// merge applies the notices of a peer.
func (l *Limiter) merge(now time.Time, from waxwingwall.Incarnation, notices []Notice) {
	for _, n := range notices {
		born, _, known := l.lookup(n.Endpoint)
		if !known || born != n.Born || !n.valid() {
			continue
		}
		if r := l.rows[n.Endpoint]; r != nil && r.notice.Born == n.Born && !n.newer(r.notice) {
			continue
		}
		l.apply(now, n, from)
	}
}

// spread passes notices on: new ones soon, and some of all from time to time.
func (l *Limiter) spread(now time.Time) {
	g := &l.gossip
	if len(l.peers) == 0 || len(l.rows) == 0 {
		return
	}
	wait := repairInterval
	if g.urgent {
		wait = spreadInterval
	}
	if now.Sub(g.spreadAt) >= wait {
		var unsent []Notice
		for _, p := range l.pools {
			for _, r := range p.rows {
				if r.unsent && len(unsent) < maxNotices {
					r.unsent = false
					unsent = append(unsent, r.notice)
				}
			}
		}
		if len(unsent) > 0 {
			g.spreadAt = now
			g.urgent = len(unsent) == maxNotices
			l.sendRandom(spreadFanout, unsent)
		}
	}
	if now.Sub(g.repairAt) >= repairInterval {
		g.repairAt = now
		all := l.Notices()
		if len(all) == 0 {
			return
		}
		var some []Notice
		for range min(len(all), maxNotices) {
			g.repairNext++
			some = append(some, all[g.repairNext%len(all)])
		}
		l.sendRandom(repairFanout, some)
	}
}

// sendRandom sends notices to random peers.
func (l *Limiter) sendRandom(fanout int, notices []Notice) {
	order := l.rng.Perm(len(l.peers))
	for _, i := range order[:min(fanout, len(order))] {
		l.send(l.peers[i], Notices{
			Notices: notices,
		})
	}
}

// sendPool sends all notices of a service to a router that does not know them.
func (l *Limiter) sendPool(to waxwingwall.Incarnation, name waxwingwall.Model) {
	p := l.pool(name)
	if p == nil {
		return
	}
	var all []Notice
	for _, r := range p.rows {
		if r.noticed() {
			all = append(all, r.notice)
		}
	}
	if len(all) == 0 {
		return
	}
	l.send(to, Notices{
		Notices: all,
	})
}
