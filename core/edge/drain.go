package edge

import (
	"maps"
	"math"
	"slices"
	"time"

	"waxwingwall/core/effect"
)

const (
	// drainAcceptTime is how long a draining router still accepts requests:
	// callers cache the list of routers for a while.
	drainAcceptTime = 2500 * time.Millisecond

	// drainReserve is the part of the grace period reserved for ending the requests that
	// are left and for returning shares. drainExit is the part of it for the last answers
	// to leave the router.
	drainReserve = 700 * time.Millisecond
	drainExit    = 300 * time.Millisecond

	// stoppingRetryAfter is the Retry-After time of a stopping router: other routers can
	// serve the request now.
	stoppingRetryAfter = 50 * time.Millisecond

	// A request that may outlast the graceful stop by its deadline is accepted if the
	// usual time of its route, plus durationDeviations times the mean deviation, fits.
	// Both are smoothed over durationSmoothing requests.
	durationDeviations = 4
	durationSmoothing  = 8
)

// duration is the smoothed time of requests from arrival to end, in seconds.
type duration struct {
	mean, deviation float64
}

// observe adds the time of one request.
func (d *duration) observe(took time.Duration) {
	s := took.Seconds()
	if d.mean == 0 {
		d.mean = s
		d.deviation = s / 2
		return
	}
	d.deviation += (math.Abs(s-d.mean) - d.deviation) / durationSmoothing
	d.mean += (s - d.mean) / durationSmoothing
}

// usual returns a time that few requests exceed; zero if it is not known.
func (d *duration) usual() time.Duration {
	return time.Duration((d.mean + durationDeviations*d.deviation) * float64(time.Second))
}

// recordDuration records the time of a request that an endpoint has ended.
func (e *Edge) recordDuration(r *request) {
	d := e.durations[r.route.Name]
	if d == nil {
		d = &duration{}
		e.durations[r.route.Name] = d
	}
	d.observe(e.now.Sub(r.arrived))
}

// requestsEnd returns the time at which a graceful stop ends the requests that are left.
func (e *Edge) requestsEnd() time.Time {
	return e.drainStart.Add(e.bounds.Grace - drainReserve)
}

// outlastsStop reports whether a new request may still be in flight when the graceful stop
// ends all requests.
func (e *Edge) outlastsStop(r *request) bool {
	if e.drainStart.IsZero() || !r.deadline.After(e.requestsEnd()) {
		return false
	}
	d := e.durations[r.route.Name]
	return d == nil || e.now.Add(d.usual()).After(e.requestsEnd())
}

// Drain begins a graceful stop.
func (e *Edge) Drain(now time.Time) []effect.Action {
	e.now = now
	if e.drainStart.IsZero() {
		e.drainStart = now
		e.limiterStale = true
		e.log("drain_begins", "", field("requests", len(e.requests)))
		e.handleActions(e.view.Leave(now))
		e.book.Retire(now)
		e.stepBook()
	}
	out := e.out
	e.out = nil
	return out
}

// refusesRequests reports whether new requests are refused.
func (e *Edge) refusesRequests() bool {
	return !e.drainStart.IsZero() && e.now.Sub(e.drainStart) >= drainAcceptTime
}

// refuseWaiting refuses the requests that wait for tokens, a permit or the version of their
// stream: there is no time left to run them.
func (e *Edge) refuseWaiting() {
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		// The end of another request may have ended this one.
		if r := e.requests[id]; r != nil && r.endpoint == nil && !r.mayHaveRun() {
			e.refuse(r, e.unavailableProblem("stopping", "this router stops", stoppingRetryAfter))
		}
	}
}

// endRequests ends the requests that are left: those in flight are cut, so that their
// callers get their outcome before the connection is closed.
func (e *Edge) endRequests() {
	e.refuseWaiting()
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		r := e.requests[id]
		if r == nil {
			continue
		}
		if r.endpoint == nil {
			e.fail(r, DeadlineExceeded)
			continue
		}
		if !r.cut {
			r.cut = true
			e.emit(CutAttempt{
				Request: id,
			})
		}
	}
}

// drainStep advances a graceful stop.
func (e *Edge) drainStep() {
	if !e.refusesRequests() {
		return
	}
	timedOut := e.now.Sub(e.drainStart) >= e.bounds.Grace-drainExit
	if len(e.requests) > 0 && !timedOut {
		if !e.now.Before(e.requestsEnd()) {
			e.endRequests()
		}
		return
	}
	e.refuseWaiting()
	if !e.book.Draining() {
		e.book.Drain(e.now)
		e.stepBook()
	}
	if !e.book.Drained() && !timedOut {
		return
	}
	if e.book.Drained() && e.nodes.registered && e.mayDelete(e.Self) {
		e.nodes.registered = false
		e.deleteNode(e.Self)
	}
	if !e.drainLogged {
		e.drainLogged = true
		e.log("drain_ends", "", field("requests", len(e.requests)), field("after", e.now.Sub(e.drainStart)))
	}
	e.emit(Drained{
		End: e.drainStart.Add(e.bounds.Grace),
	})
}
