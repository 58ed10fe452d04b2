package edge

import (
	"math"
	"time"
)

const (
	// arrivalTime is the time constant over which the rate of requests is smoothed.
	arrivalTime = time.Second

	// minReads is the least number of reads of the endpoints' changes in Bounds.EndpointDrain,
	// and maxReadPause the longest time between two of them. A request that comes meanwhile is
	// dispatched by a list that is older by no more than that.
	minReads     = 8
	maxReadPause = 400 * time.Millisecond
)

// arrivalRate is the rate of the requests that arrive.
type arrivalRate struct {
	// count is the number of requests, each of which loses weight with its age, as of at.
	count float64
	at    time.Time
}

// add counts a request.
func (a *arrivalRate) add(now time.Time) {
	a.count = a.weight(now) + 1
	a.at = now
}

// weight returns the count as of now.
func (a *arrivalRate) weight(now time.Time) float64 {
	return a.count * math.Exp(-max(now.Sub(a.at), 0).Seconds()/arrivalTime.Seconds())
}

// pause returns the mean time between two requests, longest at the most.
func (a *arrivalRate) pause(now time.Time, longest time.Duration) time.Duration {
	rate := a.weight(now) / arrivalTime.Seconds()
	if rate*longest.Seconds() <= 1 {
		return longest
	}
	return time.Duration(float64(time.Second) / rate)
}

// ReadPause returns the time that the router leaves between two reads of the changes of the
// endpoints, beside the shortest that the store's client leaves. Most changes are signs of life,
// each of which ends a read, so that a router which nobody uses would read as often as one that
// has many requests. It reads no more often than requests come to it, but as often as it must
// to be able to take one.
func (e *Edge) ReadPause(now time.Time) time.Duration {
	if e.endpoints.asOf.IsZero() {
		return 0
	}
	return e.arrivalRate.pause(now, min(e.bounds.EndpointDrain/minReads, maxReadPause))
}

// logReadPause logs whether the router reads as seldom as it may, with what it follows from.
func (e *Edge) logReadPause() {
	pause := e.ReadPause(e.now)
	seldom := pause > 0 && pause == min(e.bounds.EndpointDrain/minReads, maxReadPause)
	if seldom == e.endpoints.readsSeldom {
		return
	}
	e.endpoints.readsSeldom = seldom
	e.log("endpoints_read_pause", "", field("pause", pause), field("recent_requests", int(e.arrivalRate.weight(e.now))), field("endpoints_age", e.endpoints.age(e.now)))
}
