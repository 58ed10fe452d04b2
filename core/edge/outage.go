package edge

import (
	"time"

	"waxwingwall"
)

const (
	// Outages shorter than minOutage are not recorded: single calls fail now and then. The
	// last maxOutages are.
	minOutage  = time.Second
	maxOutages = 8

	// While no recorded outage was longer than the present one, it is taken to last as long
	// again as it did, within these bounds.
	minOutageLeft = 2 * time.Second
	maxOutageLeft = 10 * time.Second

	// Callers refused for a known time come back in the order of their ranks: each rank comes
	// outageRankStep after the one before it, spread over as much. The ranks from
	// maxOutageRank on come together.
	outageRankStep = 250 * time.Millisecond
	maxOutageRank  = 4
)

// outages estimates how long an outage of the store still lasts, by how long it has lasted
// and how long earlier ones did.
type outages struct {
	// since is when the present outage began; zero if there is none.
	since time.Time

	// earlier are the durations of the latest outages, in order of time.
	earlier []time.Duration
}

// observe records whether the store is away.
func (o *outages) observe(now time.Time, away bool) {
	switch {
	case away && o.since.IsZero():
		o.since = now
	case !away && !o.since.IsZero():
		if d := now.Sub(o.since); d >= minOutage {
			o.earlier = append(o.earlier, d)
		}
		if len(o.earlier) > maxOutages {
			o.earlier = o.earlier[1:]
		}
		o.since = time.Time{}
	}
}

// lasted returns how long the present outage has lasted; zero if there is none.
func (o *outages) lasted(now time.Time) time.Duration {
	if o.since.IsZero() {
		return 0
	}
	return max(now.Sub(o.since), 0)
}

// left returns how long the present outage is expected to last: until the longest recorded
// one would have ended, or as long again as it has lasted so far if that was shorter.
func (o *outages) left(now time.Time) time.Duration {
	if o.since.IsZero() {
		return minOutageLeft
	}
	lasted := o.lasted(now)
	var longest time.Duration
	for _, d := range o.earlier {
		longest = max(longest, d)
	}
	if longest > lasted {
		return min(longest-lasted, maxOutageLeft)
	}
	return min(max(lasted, minOutageLeft), maxOutageLeft)
}

// outageRetryAfter returns when a request of a rank that is refused in an outage should be
// repeated.
func (e *Edge) outageRetryAfter(rank waxwingwall.Rank) time.Duration {
	return e.outages.left(e.now) + e.rankDelay(rank)
}

// rankDelay returns how much later than the most urgent callers those of a rank come back, with
// jitter.
func (e *Edge) rankDelay(rank waxwingwall.Rank) time.Duration {
	return time.Duration(min(max(rank, 0), maxOutageRank))*outageRankStep + e.jitter(outageRankStep)
}
