package edge

import "time"

const (
	// unusedTime is how long a router must have had no request until it reads the changes of
	// the endpoints less often.
	unusedTime = 2 * time.Second

	// unusedReads is the number of reads of an unused router in Bounds.EndpointDrain, and
	// maxReadPause the longest time between two of them. A request that comes meanwhile is
	// dispatched by a list that is older by no more than that.
	unusedReads  = 8
	maxReadPause = 400 * time.Millisecond
)

// ReadPause returns the time that the router leaves between two reads of the changes of the
// endpoints, beside the shortest that the store's client leaves: zero if it has requests, or
// had some until shortly before. Most changes are signs of life, each of which ends a read, so
// that a router which nobody uses would cost the store as much as any other.
func (e *Edge) ReadPause(now time.Time) time.Duration {
	if e.endpoints.asOf.IsZero() || len(e.requests) > 0 || now.Sub(e.lastArrival) < unusedTime {
		return 0
	}
	return min(e.bounds.EndpointDrain/unusedReads, maxReadPause)
}

// logReadPause logs a change of the time between two reads, with what it follows from.
func (e *Edge) logReadPause() {
	pause := e.ReadPause(e.now)
	if pause == e.endpoints.loggedPause {
		return
	}
	e.endpoints.loggedPause = pause
	e.log("endpoints_read_pause", "", field("pause", pause), field("requests", len(e.requests)), field("endpoints_age", e.endpoints.age(e.now)))
}
