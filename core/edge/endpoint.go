package edge

import (
	"slices"
	"strings"
	"time"

	"waxwingwall"
)

const (
	// returnTime is how long an endpoint whose entry was dropped around an
	// outage of the store may take to appear again before it counts as gone.
	returnTime = 2 * time.Second

	// stableTime is how long the store has to answer before what it drops is
	// believed at once.
	stableTime = 3 * time.Second

	// avoidFirst and avoidLast bound how long an endpoint gets no work after a
	// connection to it failed; the time doubles with each failure.
	avoidFirst = 300 * time.Millisecond
	avoidLast  = 4 * time.Second

	// faultDecay is the time constant with which faults are forgotten.
	faultDecay = 3 * time.Second

	// paceDecay is the time constant with which a pace is forgotten, so that an
	// endpoint that was slow is tried again.
	paceDecay = 10 * time.Second

	// keepParts is how long a part that was sent to an endpoint is taken to be
	// in its memory.
	keepParts = 20 * time.Second
)

// endpoint is one life of one endpoint.
type endpoint struct {
	replica waxwingwall.Replica

	// seen is when it was first heard of, dropped when its entry was dropped
	// around an outage; zero otherwise.
	seen    time.Time
	dropped time.Time

	// departs is the revision as of which a peer says that it leaves; it counts
	// until the store's own word is as new.
	departs int64

	// failures counts failed connections in a row, avoid is until when it gets
	// no work while others can.
	failures int
	avoid    time.Time

	// faults is the decaying part of runs that failed, as of faultAt.
	faults  float64
	faultAt time.Time

	// running counts this router's requests there; prefill are the tokens that
	// they still have to read, memory those that they hold.
	running int
	prefill waxwingwall.Tokens
	memory  waxwingwall.Tokens

	// others is what the other routers told of theirs.
	others load

	// pace is how much longer first answers take than expected, smoothed.
	pace float64

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
	whole    bool

	// lost is set while the store can't be read; since is when it could be read
	// again.
	lost  bool
	since time.Time
}

func (t *endpoints) init() {
	t.rows = map[waxwingwall.Endpoint]*endpoint{}
	t.byService = map[waxwingwall.Model][]*endpoint{}
}

// replicas takes in what the store says.
func (e *Edge) replicas(ev Replicas) {
	t := &e.endpoints
	if ev.Unavailable {
		if !t.lost {
			t.lost = true
			e.note("store_lost", "", field("table", "endpoints"))
		}
		return
	}
	if t.lost {
		t.lost = false
		t.since = e.now
		e.note("store_regained", "", field("table", "endpoints"))
	}
	e.merge(ev, "store")
}

// merge takes in what is told of endpoints, by the store or by a peer.
func (e *Edge) merge(ev Replicas, from string) {
	t := &e.endpoints
	if ev.Snapshot {
		t.whole = true
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
		if row.departs <= t.revision {
			row.departs = 0
		}
	}
	for _, r := range ev.Replicas {
		e.listed(r, from)
	}
	for _, id := range ev.Removed {
		e.dropped(id, from)
	}
}

// listed takes in one entry.
func (e *Edge) listed(r waxwingwall.Replica, from string) {
	t := &e.endpoints
	old := t.rows[r.Endpoint]
	if old == nil {
		t.add(&endpoint{
			replica: r,
			seen:    e.now,
			pace:    1,
			parts:   map[uint64]time.Time{},
		})
		e.suspects.replaced(e.now, r.Address)
		e.note("endpoint_listed", "",
			field("endpoint", r.Endpoint), field("service", r.Service), field("leaving", r.Leaving),
			field("revision", t.revision), field("from", from))
		return
	}
	if old.replica.Leaving != r.Leaving {
		e.note("endpoint_changed", "",
			field("endpoint", r.Endpoint), field("leaving", r.Leaving),
			field("revision", t.revision), field("from", from))
	}
	if r.Leaving && !old.replica.Leaving {
		e.departed(r.Endpoint)
	}
	old.dropped = time.Time{}
	if old.replica.Born != r.Born {
		old.parts = map[uint64]time.Time{}
		old.pace = 1
		old.faults = 0
		old.failures = 0
		old.avoid = time.Time{}
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

// dropped takes in that an entry is no longer there. Around an outage of the
// store entries lapse although their endpoints live; those get time to return.
func (e *Edge) dropped(id waxwingwall.Endpoint, from string) {
	t := &e.endpoints
	row := t.rows[id]
	if row == nil {
		return
	}
	if !row.replica.Leaving && !t.since.IsZero() && e.now.Sub(t.since) < stableTime {
		if row.dropped.IsZero() {
			row.dropped = e.now
		}
		return
	}
	e.departed(id)
	e.gone(row, from)
}

// gone forgets an endpoint.
func (e *Edge) gone(row *endpoint, from string) {
	e.endpoints.remove(row)
	delete(e.endpoints.rows, row.replica.Endpoint)
	e.suspects.replaced(e.now, row.replica.Address)
	e.note("endpoint_gone", "",
		field("endpoint", row.replica.Endpoint), field("service", row.replica.Service),
		field("revision", e.endpoints.revision), field("from", from))
}

// expire lets endpoints go whose time to return is over.
func (e *Edge) expire() {
	t := &e.endpoints
	for _, rows := range t.byService {
		for _, row := range slices.Clone(rows) {
			if !row.dropped.IsZero() && !t.lost && e.now.Sub(t.since) >= returnTime {
				e.gone(row, "return time")
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

// tick forgets parts that are no longer in memory.
func (t *endpoints) tick(now time.Time) {
	for _, row := range t.rows {
		for id, used := range row.parts {
			if now.Sub(used) > keepParts {
				delete(row.parts, id)
			}
		}
	}
}

// usable reports whether an endpoint may get new work at all.
func (r *endpoint) usable() bool {
	return !r.replica.Leaving && r.departs == 0
}

// fault takes in the end of a run.
func (r *endpoint) fault(now time.Time, failed bool) {
	r.decay(now)
	part := 0.0
	if failed {
		part = 1
	}
	r.faults += (part - r.faults) / faultRuns
}

// faultRuns is over how many runs the part of failed ones is smoothed.
const faultRuns = 6

// decay forgets faults.
func (r *endpoint) decay(now time.Time) {
	if past := now.Sub(r.faultAt); past > 0 && !r.faultAt.IsZero() {
		r.faults *= max(0, 1-past.Seconds()/faultDecay.Seconds())
		r.pace += (1 - r.pace) * min(1, past.Seconds()/paceDecay.Seconds())
	}
	r.faultAt = now
}

// unreached takes in that a connection could not be made or was lost.
func (r *endpoint) unreached(now time.Time) {
	wait := min(avoidFirst<<min(r.failures, 8), avoidLast)
	r.failures++
	r.avoid = now.Add(wait)
}

// reached takes in that it answered.
func (r *endpoint) reached() {
	r.failures = 0
	r.avoid = time.Time{}
}
