package edge

import (
	"slices"
	"strings"
	"time"

	"waxwingwall"
)

const (
	// lapseGrace is how long an endpoint whose entry was dropped around an
	// outage of the store may take to appear again before it counts as gone.
	lapseGrace = 2 * time.Second

	// storeSettleTime is how long the store has to answer before what it drops is
	// believed at once.
	storeSettleTime = 3 * time.Second

	// minBackoff and maxBackoff bound how long an endpoint gets no work after a
	// connection to it failed; the time doubles with each failure.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 4 * time.Second

	// failureDecay is the time constant with which faults are forgotten.
	failureDecay = 3 * time.Second

	// slowdownDecay is the time constant with which a pace is forgotten, so that an
	// endpoint that was slow is tried again.
	slowdownDecay = 10 * time.Second

	// partRetention is how long a part that was sent to an endpoint is taken to be
	// in its memory.
	partRetention = 20 * time.Second
)

// endpoint is one life of one endpoint.
type endpoint struct {
	replica waxwingwall.Replica

	// firstSeen is when it was first heard of, lapsedAt when its entry was dropped
	// around an outage; zero otherwise.
	firstSeen time.Time
	lapsedAt  time.Time

	// departRevision is the revision as of which a peer says that it leaves; it counts
	// until the store's own word is as new.
	departRevision int64

	// failures counts failed connections in a row, avoid is until when it gets
	// no work while others can.
	failures   int
	avoidUntil time.Time

	// failureRate is the decaying part of runs that failed, as of faultAt.
	failureRate float64
	decayedAt   time.Time

	// running counts this router's requests there; prefill are the tokens that
	// they still have to read, memory those that they hold.
	running int
	prefill waxwingwall.Tokens
	memory  waxwingwall.Tokens

	// peerLoad is what the other routers told of theirs.
	peerLoad load

	// slowdown is how much longer first answers take than expected, smoothed.
	slowdown float64

	// parts are those read here lately, with the time of the last use.
	parts map[uint64]time.Time
}

// load is what routers run at an endpoint.
type load struct {
	running int
	prefill waxwingwall.Tokens
	memory  waxwingwall.Tokens
}

// endpoints is the table of endpoints.
type endpoints struct {
	rows      map[waxwingwall.Endpoint]*endpoint
	byService map[waxwingwall.Model][]*endpoint

	// revision orders what is told of them; whole is set once all are known.
	revision int64
	complete bool

	// storeUnavailable is set while the store can't be read; since is when it could be read
	// again.
	storeUnavailable bool
	storeBackAt      time.Time
}

func (t *endpoints) init() {
	t.rows = map[waxwingwall.Endpoint]*endpoint{}
	t.byService = map[waxwingwall.Model][]*endpoint{}
}

// handleReplicas takes in what the store says.
func (e *Edge) handleReplicas(ev Replicas) {
	t := &e.endpoints
	if ev.Unavailable {
		if !t.storeUnavailable {
			t.storeUnavailable = true
			e.log("store_lost", "", field("table", "endpoints"))
		}
		return
	}
	if t.storeUnavailable {
		t.storeUnavailable = false
		t.storeBackAt = e.now
		e.log("store_regained", "", field("table", "endpoints"))
	}
	e.mergeReplicas(ev, "store")
}

// mergeReplicas takes in what is told of endpoints, by the store or by a peer.
func (e *Edge) mergeReplicas(ev Replicas, from string) {
	t := &e.endpoints
	if ev.Snapshot {
		t.complete = true
		listed := map[waxwingwall.Endpoint]bool{}
		for _, r := range ev.Replicas {
			listed[r.Endpoint] = true
		}
		for id := range t.rows {
			if !listed[id] {
				ev.Removed = append(ev.Removed, id)
			}
		}
		slices.Sort(ev.Removed)
	}
	t.revision = max(t.revision, ev.Revision)
	for _, row := range t.rows {
		if row.departRevision <= t.revision {
			row.departRevision = 0
		}
	}
	for _, r := range ev.Replicas {
		e.handleListed(r, from)
	}
	for _, id := range ev.Removed {
		e.handleRemoved(id, from)
	}
}

// handleListed takes in one entry.
func (e *Edge) handleListed(r waxwingwall.Replica, from string) {
	t := &e.endpoints
	old := t.rows[r.Endpoint]
	if old == nil {
		t.add(&endpoint{
			replica:   r,
			firstSeen: e.now,
			slowdown:  1,
			parts:     map[uint64]time.Time{},
		})
		e.crashes.addressChanged(e.now, r.Address)
		e.log("endpoint_listed", "",
			field("endpoint", r.Endpoint), field("service", r.Service), field("leaving", r.Leaving),
			field("revision", t.revision), field("from", from))
		return
	}
	if old.replica.Leaving != r.Leaving {
		e.log("endpoint_changed", "",
			field("endpoint", r.Endpoint), field("leaving", r.Leaving),
			field("revision", t.revision), field("from", from))
	}
	if r.Leaving && !old.replica.Leaving {
		e.recordDeparture(r.Endpoint)
	}
	old.lapsedAt = time.Time{}
	if old.replica.Born != r.Born {
		old.parts = map[uint64]time.Time{}
		old.slowdown = 1
		old.failureRate = 0
		old.failures = 0
		old.avoidUntil = time.Time{}
	}
	moved := old.replica.Service != r.Service
	if moved {
		t.remove(old)
	}
	old.replica = r
	if moved {
		t.add(old)
	}
}

// handleRemoved takes in that an entry is no longer there. Around an outage of the
// store entries lapse although their endpoints live; those get time to return.
func (e *Edge) handleRemoved(id waxwingwall.Endpoint, from string) {
	t := &e.endpoints
	row := t.rows[id]
	if row == nil {
		return
	}
	if !row.replica.Leaving && !t.storeBackAt.IsZero() && e.now.Sub(t.storeBackAt) < storeSettleTime {
		if row.lapsedAt.IsZero() {
			row.lapsedAt = e.now
		}
		return
	}
	e.recordDeparture(id)
	e.removeEndpoint(row, from)
}

// removeEndpoint forgets an endpoint.
func (e *Edge) removeEndpoint(row *endpoint, from string) {
	e.endpoints.remove(row)
	delete(e.endpoints.rows, row.replica.Endpoint)
	e.crashes.addressChanged(e.now, row.replica.Address)
	e.log("endpoint_gone", "",
		field("endpoint", row.replica.Endpoint), field("service", row.replica.Service),
		field("revision", e.endpoints.revision), field("from", from))
}

// expireLapsed lets endpoints go whose time to return is over.
func (e *Edge) expireLapsed() {
	t := &e.endpoints
	for _, rows := range t.byService {
		for _, row := range slices.Clone(rows) {
			if !row.lapsedAt.IsZero() && !t.storeUnavailable && e.now.Sub(t.storeBackAt) >= lapseGrace {
				e.removeEndpoint(row, "return time")
			}
		}
	}
}

// add puts an endpoint into the table.
func (t *endpoints) add(row *endpoint) {
	t.rows[row.replica.Endpoint] = row
	rows := t.byService[row.replica.Service]
	at, _ := slices.BinarySearchFunc(rows, row.replica.Endpoint, func(r *endpoint, id waxwingwall.Endpoint) int {
		return strings.Compare(string(r.replica.Endpoint), string(id))
	})
	t.byService[row.replica.Service] = slices.Insert(rows, at, row)
}

// remove takes an endpoint out of its service.
func (t *endpoints) remove(row *endpoint) {
	rows := t.byService[row.replica.Service]
	t.byService[row.replica.Service] = slices.DeleteFunc(rows, func(r *endpoint) bool { return r == row })
}

// expireParts forgets parts that are no longer in memory.
func (t *endpoints) expireParts(now time.Time) {
	for _, row := range t.rows {
		for id, used := range row.parts {
			if now.Sub(used) > partRetention {
				delete(row.parts, id)
			}
		}
	}
}

// usable reports whether an endpoint may get new work at all.
func (r *endpoint) usable() bool {
	return !r.replica.Leaving && r.departRevision == 0
}

// recordRun takes in the end of a run.
func (r *endpoint) recordRun(now time.Time, failed bool) {
	r.decay(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	r.failureRate += (sample - r.failureRate) / failureSmoothing
}

// failureSmoothing is over how many runs the part of failed ones is smoothed.
const failureSmoothing = 6

// decay forgets faults.
func (r *endpoint) decay(now time.Time) {
	if elapsed := now.Sub(r.decayedAt); elapsed > 0 && !r.decayedAt.IsZero() {
		r.failureRate *= max(0, 1-elapsed.Seconds()/failureDecay.Seconds())
		r.slowdown += (1 - r.slowdown) * min(1, elapsed.Seconds()/slowdownDecay.Seconds())
	}
	r.decayedAt = now
}

// recordUnreachable takes in that a connection could not be made or was lost.
func (r *endpoint) recordUnreachable(now time.Time) {
	backoff := min(minBackoff<<min(r.failures, 8), maxBackoff)
	r.failures++
	r.avoidUntil = now.Add(backoff)
}

// recordReachable takes in that it answered.
func (r *endpoint) recordReachable() {
	r.failures = 0
	r.avoidUntil = time.Time{}
}
