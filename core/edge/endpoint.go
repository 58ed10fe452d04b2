package edge

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"waxwingwall"
)

const (
	// reappearTimeout is the time after an outage of the store within which a
	// missing entry must reappear; otherwise its endpoint is removed.
	reappearTimeout = 2 * time.Second

	// missingLimit is the time in which the store answers, in all, after which a missing
	// entry is gone though each outage begins reappearTimeout again.
	missingLimit = 3 * reappearTimeout

	// storeSettleTime is how long the store must have been available after an
	// outage before the removals that it reports take effect at once.
	storeSettleTime = 3 * time.Second

	// minBackoff and maxBackoff limit how long an endpoint is avoided after a
	// connection failed, was lost or timed out; the time doubles with each
	// consecutive failure.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 4 * time.Second

	// failureDecay is the time constant for the decay of failure rates.
	failureDecay = 3 * time.Second

	// slowdownDecay is the time constant for the decay of slowdowns, so that an
	// endpoint that was slow is tried again.
	slowdownDecay = 10 * time.Second

	// partRetention is how long a part that was sent to an endpoint is assumed to
	// be cached there.
	partRetention = 20 * time.Second

	// partSweepInterval is the time between two sweeps for parts that are older.
	partSweepInterval = time.Second
)

// endpoint is this router's state of one endpoint.
type endpoint struct {
	replica waxwingwall.Replica
	build   build

	// firstSeen is when the endpoint was first listed. missingSince is when its
	// entry was found missing after an outage of the store; zero otherwise. missingFrom is
	// the answered time of the store then.
	firstSeen    time.Time
	missingSince time.Time
	missingFrom  time.Duration

	// departRevision is the store's revision at which the endpoint leaves
	// according to a peer; it applies until the state received from the store is
	// as new.
	departRevision int64

	// announced is set if this instance said in an answer that it leaves.
	announced bool

	// paused is set while this instance has asked this router for a pause.
	paused bool

	// evacuated is set while the failure domain is to be empty; returnsAt is when its load
	// began to return after that, zero if it has.
	evacuated bool
	returnsAt time.Time

	// failures counts consecutive failures of connections; until backoffUntil, the
	// endpoint is avoided while others are available.
	failures     int
	backoffUntil time.Time

	// dialedAt is when this router last had a new connection without a tunnel, dialFailedAt
	// when one last failed; dialFailedAt is zero if none has failed since.
	dialedAt, dialFailedAt time.Time

	// dialFailedFrom is when the last failed connection began, peerReachedFrom when a tunnel
	// began by which a peer reached the endpoint. peersOnlyAt is when the two were last seen
	// together; zero if the router has reached the endpoint since.
	dialFailedFrom, peerReachedFrom, peersOnlyAt time.Time

	// tunneled is set while requests reach the endpoint through peers.
	tunneled bool

	// heardAt is when an answer of the endpoint last began or ended; zero if none has.
	heardAt time.Time

	// fullUntil is until when the endpoint counts as full, as it declined for want of room.
	fullUntil time.Time

	// failureRate is the decaying fraction of failed attempts; decayedAt is the
	// time of the last decay of failureRate and slowdown.
	failureRate float64
	decayedAt   time.Time

	// running counts this router's requests at the endpoint. prefill is the number
	// of their prompt tokens that the endpoint has yet to read; memory is the
	// number of tokens that they take in its memory.
	running int
	prefill waxwingwall.Tokens
	memory  waxwingwall.Tokens

	// reserved counts this router's requests that leave another attempt for the endpoint.
	reserved int

	// peerLoad is the load reported by the other routers, peerFailureRate and peerSlowdown
	// the highest values that they report.
	peerLoad                      load
	peerFailureRate, peerSlowdown float64

	// slowdown is the smoothed ratio of the actual to the expected time to the
	// first part of an answer.
	slowdown float64

	// parts are the recently read parts with the time of their last use.
	parts map[uint64]time.Time

	// cold is what is known of the time in which the endpoint is cold.
	cold coldness
}

// load is the load of routers at an endpoint.
type load struct {
	running int
	prefill waxwingwall.Tokens
	memory  waxwingwall.Tokens
}

// endpoints is the table of endpoints.
type endpoints struct {
	rows      map[waxwingwall.Endpoint]*endpoint
	byService map[waxwingwall.Model][]*endpoint

	// paths is the result of Paths; nil if it is out of date.
	paths map[netip.AddrPort]bool

	// evacuated are the instances in failure domains that are to be empty, as of paths, with the
	// time until which nothing is sent to them; nil if there are none.
	evacuated map[Instance]time.Time

	// silenced are their addresses, with the time from which they are asked nothing either.
	silenced map[netip.AddrPort]time.Time

	// revision is the store's revision of rows; complete is set once rows have
	// been replaced by a full snapshot.
	revision int64
	complete bool

	// peerRevision is the revision of the newest list of a peer that rows was replaced by;
	// zero if it was not.
	peerRevision int64

	// asOf is the time before which rows holds all changes in the store; zero if
	// nothing was received from the store yet.
	asOf time.Time

	// storeUnavailable is set while the store can't be read; storeBackAt is when
	// it last became available again.
	storeUnavailable bool
	storeBackAt      time.Time

	// answered is how long the store was available between outages before the last time
	// that it became available.
	answered time.Duration

	// partsExpiredAt is when expireParts last forgot old parts.
	partsExpiredAt time.Time
}

func (t *endpoints) init() {
	t.rows = map[waxwingwall.Endpoint]*endpoint{}
	t.byService = map[waxwingwall.Model][]*endpoint{}
}

// handleReplicas applies an update from the store.
func (e *Edge) handleReplicas(ev Replicas) {
	t := &e.endpoints
	if ev.Unavailable {
		if !t.storeUnavailable {
			t.answered = t.answeredFor(e.now)
			t.storeUnavailable = true
			e.log("store_lost", "", field("table", "endpoints"), field("age", t.age(e.now)), field("cause", ev.Err))
		}
		return
	}
	if t.storeUnavailable {
		t.storeUnavailable = false
		t.storeBackAt = e.now
		e.log("store_regained", "", field("table", "endpoints"))
	}
	asOf := ev.AsOf
	if asOf.IsZero() {
		asOf = e.now
	}
	e.turnsDue = true
	e.beforeReplicas(ev.Snapshot)
	if asOf.After(t.asOf) {
		t.asOf = asOf
	}
	if ev.Revision < t.peerRevision {
		// A peer has sent newer endpoints meanwhile; they need not name each build that there
		// was before.
		for _, r := range ev.Replicas {
			e.buildSeen(r.Service, buildOf(r))
		}
		return
	}
	e.mergeReplicas(ev, "store")
}

// age returns how long ago the rows were last known to hold all changes; zero if
// nothing was received from the store yet.
func (t *endpoints) age(now time.Time) time.Duration {
	if t.asOf.IsZero() {
		return 0
	}
	return now.Sub(t.asOf)
}

// EndpointsAge returns how long ago the router last had all changes of the endpoints
// in the store; zero before it had any.
func (e *Edge) EndpointsAge(now time.Time) time.Duration {
	return e.endpoints.age(now)
}

// mergeReplicas applies an update of the endpoints from the store or a peer.
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

// handleListed applies one listed entry.
func (e *Edge) handleListed(r waxwingwall.Replica, from string) {
	t := &e.endpoints
	old := t.rows[r.Endpoint]
	if old == nil {
		row := &endpoint{
			replica:   r,
			build:     buildOf(r),
			firstSeen: e.now,
			slowdown:  1,
			parts:     map[uint64]time.Time{},
		}
		t.add(row)
		row.tunneled = e.isCut(r.Service)
		e.applyNotices(row)
		e.applyEvacuations(row)
		e.crashes.addressChanged(e.now, r.Address)
		e.endpointListed(r.Endpoint, r.Service, 0, buildOf(r))
		e.listCold(row, true, from)
		e.log("endpoint_listed", "",
			field("endpoint", r.Endpoint), field("service", r.Service), field("software", r.Version), field("leaving", r.Leaving),
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
	old.missingSince = time.Time{}
	if old.replica.Born != r.Born {
		old.parts = map[uint64]time.Time{}
		old.slowdown = 1
		old.failureRate = 0
		old.failures = 0
		old.backoffUntil = time.Time{}
		old.announced = false
		e.forgetCold(old)
		e.limits.Forget(r.Endpoint)
	}
	moved := old.replica.Service != r.Service
	if moved {
		t.remove(old)
		old.tunneled = e.isCut(r.Service)
		e.limits.Forget(r.Endpoint)
	}
	before, changed := old.build, old.replica != r
	old.replica = r
	t.paths = nil
	old.build = buildOf(r)
	e.applyNotices(old)
	e.applyEvacuations(old)
	e.endpointListed(r.Endpoint, r.Service, before, old.build)
	if moved {
		t.add(old)
	}
	e.listCold(old, changed, from)
}

// handleRemoved handles a missing entry. After an outage of the store, entries
// can be missing although their endpoints run; these endpoints are kept for
// some time, so that their entries can reappear.
func (e *Edge) handleRemoved(id waxwingwall.Endpoint, from string) {
	t := &e.endpoints
	row := t.rows[id]
	if row == nil {
		return
	}
	if !row.replica.Leaving && !t.storeBackAt.IsZero() && e.now.Sub(t.storeBackAt) < storeSettleTime {
		if row.missingSince.IsZero() {
			row.missingSince = e.now
			row.missingFrom = t.answeredFor(e.now)
		}
		return
	}
	e.recordDeparture(id)
	e.removeEndpoint(row, from)
}

// removeEndpoint removes an endpoint.
func (e *Edge) removeEndpoint(row *endpoint, from string) {
	e.endpoints.remove(row)
	e.endpointRemoved(row)
	e.forgetCold(row)
	e.limits.Forget(row.replica.Endpoint)
	e.forgetNotices(row.replica)
	delete(e.endpoints.rows, row.replica.Endpoint)
	e.crashes.addressChanged(e.now, row.replica.Address)
	e.log("endpoint_gone", "",
		field("endpoint", row.replica.Endpoint), field("service", row.replica.Service),
		field("revision", e.endpoints.revision), field("from", from))
}

// answeredFor returns how long the store has been available in all since its first outage.
func (t *endpoints) answeredFor(now time.Time) time.Duration {
	if t.storeUnavailable || t.storeBackAt.IsZero() {
		return t.answered
	}
	return t.answered + now.Sub(t.storeBackAt)
}

// removeMissing removes the endpoints whose entries have not reappeared in time.
func (e *Edge) removeMissing() {
	t := &e.endpoints
	for _, rows := range t.byService {
		for _, row := range slices.Clone(rows) {
			if row.missingSince.IsZero() || t.storeUnavailable {
				continue
			}
			if e.now.Sub(t.storeBackAt) >= reappearTimeout || t.answeredFor(e.now)-row.missingFrom >= missingLimit {
				e.removeEndpoint(row, "return time")
			}
		}
	}
}

// add adds an endpoint to the table.
func (t *endpoints) add(row *endpoint) {
	t.paths = nil
	t.rows[row.replica.Endpoint] = row
	rows := t.byService[row.replica.Service]
	at, _ := slices.BinarySearchFunc(rows, row.replica.Endpoint, func(r *endpoint, id waxwingwall.Endpoint) int {
		return strings.Compare(string(r.replica.Endpoint), string(id))
	})
	t.byService[row.replica.Service] = slices.Insert(rows, at, row)
}

// remove removes an endpoint from its service.
func (t *endpoints) remove(row *endpoint) {
	t.paths = nil
	rows := t.byService[row.replica.Service]
	t.byService[row.replica.Service] = slices.DeleteFunc(rows, func(r *endpoint) bool { return r == row })
}

// expireParts removes the parts that are no longer assumed to be cached.
func (t *endpoints) expireParts(now time.Time) {
	if now.Sub(t.partsExpiredAt) < partSweepInterval {
		return
	}
	t.partsExpiredAt = now
	for _, row := range t.rows {
		for id, used := range row.parts {
			if now.Sub(used) > partRetention {
				delete(row.parts, id)
			}
		}
	}
}

// departing reports whether an endpoint takes no new requests from any router.
func (r *endpoint) departing() bool {
	return r.replica.Leaving || r.departRevision != 0 || r.announced
}

// usable reports whether an endpoint may receive new requests.
func (r *endpoint) usable() bool {
	return !r.departing() && !r.paused && !r.evacuated
}

// listed reports whether a usable endpoint has an entry in the store. A missing
// entry may reappear after an outage, but the endpoint may as well have left while
// this router alone could not read the store.
func (r *endpoint) listed() bool {
	return r.usable() && r.missingSince.IsZero()
}

// recordRun updates the failure rate after an attempt that reached the endpoint.
func (r *endpoint) recordRun(now time.Time, failed bool) {
	r.decay(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	r.failureRate += (sample - r.failureRate) / failureSmoothing
}

// failureSmoothing is the number of attempts over which the failure rate is
// smoothed.
const failureSmoothing = 6

// decay decays the failure rate and the slowdown.
func (r *endpoint) decay(now time.Time) {
	if elapsed := now.Sub(r.decayedAt); elapsed > 0 && !r.decayedAt.IsZero() {
		r.failureRate *= max(0, 1-elapsed.Seconds()/failureDecay.Seconds())
		r.slowdown += (1 - r.slowdown) * min(1, elapsed.Seconds()/slowdownDecay.Seconds())
	}
	r.decayedAt = now
}

// recordUnreachable records that a connection failed, was lost or timed out.
func (r *endpoint) recordUnreachable(now time.Time) {
	backoff := min(minBackoff<<min(r.failures, 8), maxBackoff)
	r.failures++
	r.backoffUntil = now.Add(backoff)
}

// avoid puts the endpoint in backoff without counting a failure.
func (r *endpoint) avoid(until time.Time) {
	if until.After(r.backoffUntil) {
		r.backoffUntil = until
	}
}

// recordReachable records that the endpoint responded.
func (r *endpoint) recordReachable() {
	r.failures = 0
	r.backoffUntil = time.Time{}
}
