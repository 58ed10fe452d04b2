package edge

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
)

// Endpoints of one service may run several software versions, and a stream may go on only
// at the version that began it. A request for a resumable stream is pinned to a build, a
// version of a service, before its caller gets the first event, and from then on it is
// dispatched to endpoints of that build alone. The router that begins a stream tells a few
// others, chosen by a hash of the caller's attempt; a router at which the caller takes the
// stream up asks them, unless only one version can be meant.

const (
	// streamRetention is how long routers know which build began a stream, and which
	// builds were listed. It exceeds the time for which callers take a stream up.
	streamRetention = 2 * time.Minute

	// maxStreams limits the streams that a router knows; the oldest are dropped.
	maxStreams = 1 << 16

	// streamCopies is the number of peers that are told of a stream, the first of them in
	// different failure domains. maxStreamAsks is the number that are asked about one: a
	// few more, as the view of the fleet differs between routers.
	streamCopies  = 3
	maxStreamAsks = 5

	// streamAskTimeout limits the wait for answers about a stream; the peers are asked
	// again after streamAskRetry, as a notice may be on its way.
	streamAskTimeout = 200 * time.Millisecond
	streamAskRetry   = 100 * time.Millisecond

	// registrationLag is how long after its start an endpoint may take to change its
	// entry in the store.
	registrationLag = time.Second

	// adoptTime is how long a router takes over builds from the rows of others after a gap
	// in its own list: longer than these take to write them.
	adoptTime = 3 * time.Second

	// buildSweepInterval is the time between two sweeps of the builds and streams.
	buildSweepInterval = time.Second

	// maxRowBuilds limits the builds of a service in the router's row: two already show
	// that there are several. A new build is written within newBuildDelay, the end of
	// an old one within oldBuildDelay.
	maxRowBuilds  = 2
	newBuildDelay = time.Second
	oldBuildDelay = 10 * time.Second
)

// How a router learned the build of a stream that is taken up, for the log: by its own
// record, from a peer, or because only one version can be meant.
const (
	sourceOwn         = "own"
	sourcePeer        = "peer"
	sourceOnlyVersion = "only_version"
)

// build identifies a software version of a service. No endpoint has build 0.
type build uint64

// buildOf returns the build of an endpoint.
func buildOf(r waxwingwall.Replica) build {
	return max(build(xxhash.Sum64String(string(r.Service)+"\x00"+r.Version)), 1)
}

// StreamNotice states which build began a stream.
type StreamNotice struct {
	// Stream is a hash of the caller's attempt that brought the first event.
	Stream uint64

	// Build is the build; zero if it is in doubt.
	Build uint64

	// Endpoint is the endpoint that began the stream, and Age the time since the request
	// was sent to it.
	Endpoint waxwingwall.Endpoint
	Age      time.Duration
}

// AskStream asks a peer which build began a stream.
type AskStream struct {
	// Request identifies the request at the sender.
	Request uint64

	// Stream is the StreamNotice.Stream.
	Stream uint64
}

// StreamAnswer is the answer to AskStream.
type StreamAnswer struct {
	// Request is that of the AskStream.
	Request uint64

	// Known is set if Notice is known to the sender.
	Known  bool
	Notice StreamNotice
}

// streamRecord is what a router knows of a stream.
type streamRecord struct {
	build    build
	endpoint waxwingwall.Endpoint
	sentAt   time.Time

	// at is when the record was last confirmed; own is set if this router has passed
	// events of the stream on.
	at  time.Time
	own bool
}

// pin binds a request to a build; build is zero if the request may go on nowhere.
type pin struct {
	set    bool
	build  build
	source string

	// endpoint began the stream, with a request sent at sentAt.
	endpoint waxwingwall.Endpoint
	sentAt   time.Time

	// recorded is set once the stream is known to its owners by this request.
	recorded bool
}

// streamAsk is a request that waits for the build of its stream.
type streamAsk struct {
	request  *request
	stream   uint64
	askedAt  time.Time
	asked    []waxwingwall.Incarnation
	answers  int
	repeated bool
}

// doubt is a change of the build of an endpoint. Its entry changed at a time, but the
// endpoint itself may have changed at any time since from; build is the new one, zero while
// the entry is still the old one.
type doubt struct {
	from, at time.Time
	build    build
}

// lastListing is the last entry of an endpoint that has been removed.
type lastListing struct {
	build build

	// asOf is when the entry was last known to be current, at when it was removed.
	asOf, at time.Time
}

// owner is a router that may be told of streams.
type owner struct {
	vm     waxwingwall.VM
	hash   uint64
	domain waxwingwall.Domain
	weight uint64
}

// versions is what a router knows of builds and of the streams that they began.
type versions struct {
	// seen holds when the builds of each service were last listed, at this router or,
	// before it started, at others. settledAt is from when a build may begin streams
	// while others serve as well.
	seen      map[waxwingwall.Model]map[build]time.Time
	settledAt map[build]time.Time
	sweptAt   time.Time

	// changedWithin is the time within which the row has to follow a change of seen; zero
	// if nothing has changed.
	changedWithin time.Duration

	// adoptUntil is until when builds are taken over from the rows of routers.
	adoptUntil time.Time

	// asOfBefore is endpoints.asOf before the update that is being applied.
	asOfBefore time.Time

	doubts  map[waxwingwall.Endpoint]doubt
	removed map[waxwingwall.Endpoint]lastListing

	// streams are the known streams; order holds their hashes, the oldest first, with one
	// entry for each confirmation.
	streams map[uint64]streamRecord
	order   []uint64

	asks map[uint64]*streamAsk

	// reports are the last reports of endpoints. unconfirmed holds since when requests,
	// by their IDs, wait for reports.
	reports     map[waxwingwall.Endpoint]instanceReport
	unconfirmed map[uint64]time.Time

	// owners are the routers that take notices, this one included. They are out of date
	// while ownersStale is set.
	owners      []owner
	ownersStale bool

	// row are the builds to write to the router's row from rowDue on; written and pending
	// are those in the row and in the write in flight.
	row              map[waxwingwall.Model][]build
	rowDue           time.Time
	written, pending map[waxwingwall.Model][]build
}

func (v *versions) init() {
	v.seen = map[waxwingwall.Model]map[build]time.Time{}
	v.settledAt = map[build]time.Time{}
	v.doubts = map[waxwingwall.Endpoint]doubt{}
	v.removed = map[waxwingwall.Endpoint]lastListing{}
	v.streams = map[uint64]streamRecord{}
	v.asks = map[uint64]*streamAsk{}
	v.reports = map[waxwingwall.Endpoint]instanceReport{}
	v.unconfirmed = map[uint64]time.Time{}
	v.ownersStale = true
}

// versionStep expires builds and streams, and the waits of requests for the build of
// their stream.
func (e *Edge) versionStep() {
	v := &e.versions
	e.askStep()
	e.confirmStep()
	if e.now.Sub(v.sweptAt) >= buildSweepInterval {
		v.sweptAt = e.now
		e.sweepVersions()
	}
	if v.changedWithin > 0 {
		e.updateRow()
	}
}

// sweepVersions expires builds and streams.
func (e *Edge) sweepVersions() {
	v := &e.versions
	for _, row := range e.endpoints.rows {
		e.buildSeen(row.replica.Service, row.build)
	}
	if e.now.Before(v.adoptUntil) {
		e.adoptBuilds()
	}
	for _, builds := range v.seen {
		for b, at := range builds {
			if e.now.Sub(at) > streamRetention {
				delete(builds, b)
				delete(v.settledAt, b)
				v.buildsChanged(oldBuildDelay)
			}
		}
	}
	for id, d := range v.doubts {
		if e.now.Sub(d.at) > streamRetention {
			delete(v.doubts, id)
		}
	}
	for id, l := range v.removed {
		if e.now.Sub(l.at) > streamRetention {
			delete(v.removed, id)
		}
	}
	v.expireStreams(e.now)
	e.expireReports()
}

// buildSeen records that a build is listed.
func (e *Edge) buildSeen(service waxwingwall.Model, b build) {
	v := &e.versions
	builds := v.seen[service]
	if builds == nil {
		builds = map[build]time.Time{}
		v.seen[service] = builds
	}
	if _, known := builds[b]; !known {
		v.buildsChanged(newBuildDelay)
	}
	builds[b] = e.now
}

// buildsChanged notes that the router's row may have to change within a time.
func (v *versions) buildsChanged(within time.Duration) {
	if v.changedWithin == 0 || within < v.changedWithin {
		v.changedWithin = within
	}
}

// updateRow updates the builds for the router's row. Builds that are in the row already
// stay, so that further ones cause no write.
func (e *Edge) updateRow() {
	v := &e.versions
	within := v.changedWithin
	v.changedWithin = 0
	// The map is replaced, as a write in flight may hold it.
	row := map[waxwingwall.Model][]build{}
	for service, seen := range v.seen {
		var builds, others []build
		for b := range seen {
			if slices.Contains(v.row[service], b) {
				builds = append(builds, b)
			} else {
				others = append(others, b)
			}
		}
		slices.Sort(builds)
		slices.Sort(others)
		builds = append(builds, others...)
		if len(builds) > 0 {
			row[service] = builds[:min(len(builds), maxRowBuilds)]
		}
	}
	if equalBuilds(row, v.row) {
		return
	}
	v.row = row
	if due := e.now.Add(e.jitter(within)); !v.rowDue.After(e.now) || due.Before(v.rowDue) {
		v.rowDue = due
	}
}

// rowOutdated reports whether the builds in the router's row have to be written.
func (v *versions) rowOutdated(now time.Time) bool {
	return !now.Before(v.rowDue) && !equalBuilds(v.written, v.row)
}

func equalBuilds(a, b map[waxwingwall.Model][]build) bool {
	if len(a) != len(b) {
		return false
	}
	for service, builds := range a {
		if !sameBuilds(builds, b[service]) {
			return false
		}
	}
	return true
}

// sameBuilds reports whether two lists without duplicates hold the same builds.
func sameBuilds(a, b []build) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(x build) bool { return !slices.Contains(b, x) })
}

// beforeReplicas notes how old the list was before an update of the endpoints. What was
// listed and removed in a longer gap is known from the rows of other routers alone.
func (e *Edge) beforeReplicas(snapshot bool) {
	t := &e.endpoints
	e.versions.asOfBefore = t.asOf
	if t.complete && (snapshot || t.age(e.now) > e.bounds.EndpointDrain) {
		e.versions.adoptUntil = e.now.Add(adoptTime)
	}
}

// adoptBuilds takes over the builds in the rows of all routers, also dead ones: when this
// router reads them for the first time, and after a gap in its own list. They expire as its
// own do.
func (e *Edge) adoptBuilds() {
	for _, n := range e.nodes.rows {
		for service, builds := range n.row.Builds {
			for _, b := range builds {
				e.buildSeen(service, b)
			}
		}
	}
}

// endpointListed records the build of an entry. An entry tells what was so when it was
// written: if an endpoint is listed with another build than before, the streams that it
// began since the entry was known to be current are in doubt.
func (e *Edge) endpointListed(id waxwingwall.Endpoint, service waxwingwall.Model, before, now build) {
	v := &e.versions
	e.buildSeen(service, now)
	if _, known := v.settledAt[now]; !known {
		v.settledAt[now] = e.now
		if !v.asOfBefore.IsZero() {
			v.settledAt[now] = e.now.Add(e.bounds.EndpointDrain)
		}
	}
	asOf := v.asOfBefore
	if old, ok := v.removed[id]; ok {
		delete(v.removed, id)
		if before == 0 {
			before = old.build
			asOf = old.asOf
		}
	}
	if before != 0 && before != now {
		e.doubtEndpoint(id, now, asOf.Add(-registrationLag))
	}
	if d, ok := v.doubts[id]; ok && d.build == 0 && !e.replaced(id) {
		// The new instance runs the version of the old one.
		d.build = now
		v.doubts[id] = d
	}
}

// endpointRemoved keeps the build of an entry in case that it is listed anew.
func (e *Edge) endpointRemoved(row *endpoint) {
	v := &e.versions
	e.buildSeen(row.replica.Service, row.build)
	v.removed[row.replica.Endpoint] = lastListing{
		build: row.build,
		asOf:  v.asOfBefore,
		at:    e.now,
	}
}

// doubtEndpoint marks the streams that an endpoint began from a time on as in doubt, and
// informs their owners.
func (e *Edge) doubtEndpoint(id waxwingwall.Endpoint, now build, from time.Time) {
	v := &e.versions
	if old, ok := v.doubts[id]; ok && old.build == 0 && old.from.Before(from) {
		from = old.from
	}
	v.doubts[id] = doubt{
		from:  from,
		at:    e.now,
		build: now,
	}
	var doubted []uint64
	for stream, rec := range v.streams {
		if rec.build != 0 && v.inDoubt(rec.endpoint, rec.sentAt, rec.build) {
			doubted = append(doubted, stream)
		}
	}
	slices.Sort(doubted)
	for _, stream := range doubted {
		rec := v.streams[stream]
		rec.build = 0
		v.streams[stream] = rec
		if rec.own {
			e.sendNotice(stream, rec)
		}
	}
	for _, r := range e.requests {
		if !r.pin.set {
			continue
		}
		goesOn := r.endpoint != nil && v.inDoubt(r.endpoint.replica.Endpoint, r.sentAt, r.sentBuild)
		if goesOn || v.inDoubt(r.pin.endpoint, r.pin.sentAt, r.pin.build) {
			r.pin.build = 0
		}
	}
	e.log("version_changed", "", field("endpoint", id), field("unlisted", now == 0), field("streams_doubted", len(doubted)), field("since", e.now.Sub(from)))
}

// inDoubt reports whether a stream that an endpoint began may be of another build.
func (v *versions) inDoubt(id waxwingwall.Endpoint, sentAt time.Time, b build) bool {
	d, ok := v.doubts[id]
	return ok && !sentAt.Before(d.from) && b != d.build
}

// learnStream merges what is known of a stream. The result doesn't depend on the order.
func (v *versions) learnStream(now time.Time, stream uint64, rec streamRecord) streamRecord {
	if v.inDoubt(rec.endpoint, rec.sentAt, rec.build) {
		rec.build = 0
	}
	if old, ok := v.streams[stream]; ok {
		if old.build != rec.build {
			rec.build = 0
		}
		rec.own = rec.own || old.own
		if old.sentAt.Before(rec.sentAt) {
			rec.endpoint = old.endpoint
			rec.sentAt = old.sentAt
		}
	}
	rec.at = now
	v.streams[stream] = rec
	v.order = append(v.order, stream)
	for len(v.order) > maxStreams {
		v.dropOldest(now)
	}
	return rec
}

// dropOldest removes the oldest entry of order, and its stream unless that was confirmed
// later.
func (v *versions) dropOldest(now time.Time) {
	stream := v.order[0]
	v.order = v.order[1:]
	if rec, ok := v.streams[stream]; ok && (len(v.order) >= maxStreams || now.Sub(rec.at) > streamRetention) {
		delete(v.streams, stream)
	}
}

// expireStreams removes the streams that are no longer taken up.
func (v *versions) expireStreams(now time.Time) {
	for len(v.order) > 0 {
		if rec, ok := v.streams[v.order[0]]; ok && now.Sub(rec.at) <= streamRetention {
			return
		}
		v.dropOldest(now)
	}
}

// pinnable reports whether the version of a request's endpoints matters.
func (r *request) pinnable() bool {
	return r.route.Kind == waxwingwall.Streaming && r.route.Resumable
}

// resumes reports whether a caller takes a stream up.
func (r *request) resumes() bool {
	return r.pinnable() && r.call.Offset != ""
}

// streamName returns the ID of the caller's attempt that brings or has brought the first
// event of a stream; empty if the caller doesn't name it.
func (r *request) streamName() string {
	if r.resumes() {
		return r.call.Resumes
	}
	return r.call.ID
}

// stream returns the hash of the stream's name. It covers the account, so that a caller
// can't refer to the streams of another.
func (r *request) stream() uint64 {
	account := ""
	if r.account != nil {
		account = string(r.account.Name)
	}
	return xxhash.Sum64String(account + "\x00" + r.streamName())
}

// versionFilter returns which endpoints a request may be sent to by their build. A new
// build begins no streams until all routers with a current list know it, as long as
// another one serves: a router that knows of only one version takes streams up without
// asking.
func (e *Edge) versionFilter(r *request) func(*endpoint) bool {
	if r.pin.set {
		return func(row *endpoint) bool { return row.build == r.pin.build && !e.replaced(row.replica.Endpoint) }
	}
	settled := func(row *endpoint) bool { return !e.now.Before(e.versions.settledAt[row.build]) }
	if r.pinnable() {
		for _, row := range e.endpoints.byService[r.service] {
			if row.listed() && settled(row) && !r.tried[row.replica.Endpoint] && !e.now.Before(row.backoffUntil) {
				return settled
			}
		}
	}
	return func(*endpoint) bool { return true }
}

// streamBegins pins a request when its first event arrives, and informs the owners of the
// stream.
func (e *Edge) streamBegins(r *request) {
	if !r.pinnable() || r.pin.recorded {
		return
	}
	if !r.pin.set {
		r.pin = pin{
			set:   true,
			build: r.sentBuild,
		}
	}
	if r.pin.endpoint == "" {
		r.pin.endpoint = r.endpoint.replica.Endpoint
		r.pin.sentAt = r.sentAt
		if e.versions.inDoubt(r.pin.endpoint, r.pin.sentAt, r.pin.build) {
			r.pin.build = 0
		}
	}
	r.pin.recorded = true
	if r.streamName() == "" {
		return
	}
	rec := e.versions.learnStream(e.now, r.stream(), streamRecord{
		build:    r.pin.build,
		endpoint: r.pin.endpoint,
		sentAt:   r.pin.sentAt,
		own:      true,
	})
	r.pin.build = rec.build
	e.sendNotice(r.stream(), rec)
}

// sendNotice informs the owners of a stream.
func (e *Edge) sendNotice(stream uint64, rec streamRecord) {
	notice := e.notice(stream, rec)
	for _, to := range e.owners(stream, streamCopies) {
		e.send(to, notice)
	}
}

func (e *Edge) notice(stream uint64, rec streamRecord) StreamNotice {
	return StreamNotice{
		Stream:   stream,
		Build:    uint64(rec.build),
		Endpoint: rec.endpoint,
		Age:      e.now.Sub(rec.sentAt),
	}
}

// handleNotice merges a notice of a peer.
func (e *Edge) handleNotice(n StreamNotice) streamRecord {
	id := n.Endpoint
	if row := e.endpoints.rows[id]; row != nil {
		// Shares the memory of the text.
		id = row.replica.Endpoint
	}
	return e.versions.learnStream(e.now, n.Stream, streamRecord{
		build:    build(n.Build),
		endpoint: id,
		sentAt:   e.now.Add(-n.Age),
	})
}

// owners returns up to n peers that may know a stream. All routers have the same order of
// the routers of a stream: the first ones of several failure domains, then the others.
func (e *Edge) owners(stream uint64, n int) []waxwingwall.Incarnation {
	v := &e.versions
	if v.ownersStale {
		e.refreshOwners()
	}
	for i := range v.owners {
		v.owners[i].weight = mix(stream, v.owners[i].hash)
	}
	slices.SortFunc(v.owners, func(a, b owner) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	var first, rest []owner
	for _, o := range v.owners {
		sameDomain := func(other owner) bool { return other.domain == o.domain }
		switch {
		case len(first) < streamCopies && !slices.ContainsFunc(first, sameDomain):
			first = append(first, o)
		case len(rest) <= n:
			rest = append(rest, o)
		}
	}
	var vms []waxwingwall.Incarnation
	for _, o := range append(first, rest...) {
		if o.vm != e.Self.VM && len(vms) < n {
			// Any incarnation will do: a router that has restarted can learn as well.
			vms = append(vms, waxwingwall.Incarnation{
				VM: o.vm,
			})
		}
	}
	return vms
}

// refreshOwners lists the routers that take notices.
func (e *Edge) refreshOwners() {
	v := &e.versions
	v.ownersStale = false
	v.owners = v.owners[:0]
	add := func(vm waxwingwall.VM, domain waxwingwall.Domain) {
		v.owners = append(v.owners, owner{
			vm:     vm,
			hash:   xxhash.Sum64String(string(vm)),
			domain: domain,
		})
	}
	add(e.Self.VM, e.info.Domain)
	for _, p := range e.view.Peers(e.now) {
		if p.Alive && !p.Leaving {
			add(p.Incarnation.VM, p.Domain)
		}
	}
}

// resolve pins a request that takes a stream up, and reports whether it may be dispatched
// now. Otherwise, it was refused or waits for the answers of peers.
func (e *Edge) resolve(r *request) bool {
	if rec, ok := e.knownStream(r); ok {
		return e.pinTo(r, rec, sourceOwn)
	}
	if b, ok := e.onlyBuild(r); ok {
		return e.pinTo(r, streamRecord{
			build: b,
		}, sourceOnlyVersion)
	}
	ask := &streamAsk{
		request: r,
		stream:  r.stream(),
		askedAt: e.now,
	}
	if r.streamName() != "" {
		ask.asked = e.owners(ask.stream, maxStreamAsks)
	}
	if len(ask.asked) == 0 && e.versionsCurrent() {
		e.refuseUnknown(r, ask)
		return false
	}
	e.versions.asks[r.id] = ask
	e.sendAsk(ask)
	return false
}

// knownStream returns what this router knows of the stream that a caller takes up.
func (e *Edge) knownStream(r *request) (streamRecord, bool) {
	if r.streamName() == "" {
		return streamRecord{}, false
	}
	rec, ok := e.versions.streams[r.stream()]
	return rec, ok && e.now.Sub(rec.at) <= streamRetention
}

func (e *Edge) sendAsk(a *streamAsk) {
	for _, to := range a.asked {
		e.send(to, AskStream{
			Request: a.request.id,
			Stream:  a.stream,
		})
	}
}

// handleAskStream answers a peer.
func (e *Edge) handleAskStream(from waxwingwall.Incarnation, m AskStream) {
	answer := StreamAnswer{
		Request: m.Request,
		Notice: StreamNotice{
			Stream: m.Stream,
		},
	}
	if rec, ok := e.versions.streams[m.Stream]; ok && e.now.Sub(rec.at) <= streamRetention {
		answer.Known = true
		answer.Notice = e.notice(m.Stream, rec)
	}
	e.send(from, answer)
}

// handleStreamAnswer pins the request that waits for the answer.
func (e *Edge) handleStreamAnswer(m StreamAnswer) {
	a := e.versions.asks[m.Request]
	if a == nil || a.stream != m.Notice.Stream {
		return
	}
	a.answers++
	if !m.Known {
		return
	}
	e.resolved(a, e.handleNotice(m.Notice), sourcePeer)
}

// askStep ends the waits for answers of peers that are over.
func (e *Edge) askStep() {
	var waiting []*streamAsk
	for _, a := range e.versions.asks {
		waiting = append(waiting, a)
	}
	slices.SortFunc(waiting, func(a, b *streamAsk) int { return cmp.Compare(a.request.id, b.request.id) })
	for _, a := range waiting {
		if b, ok := e.onlyBuild(a.request); ok {
			e.resolved(a, streamRecord{
				build: b,
			}, sourceOnlyVersion)
			continue
		}
		waited := e.now.Sub(a.askedAt)
		switch {
		case waited >= streamAskTimeout:
			e.refuseUnknown(a.request, a)
		case waited >= streamAskRetry && !a.repeated:
			a.repeated = true
			e.sendAsk(a)
		}
	}
}

// resolved continues a request that waited for the build of its stream.
func (e *Edge) resolved(a *streamAsk, rec streamRecord, source string) {
	delete(e.versions.asks, a.request.id)
	if e.pinTo(a.request, rec, source) {
		e.start(a.request)
	}
}

// pinTo pins a request that takes a stream up to the build that began it, or refuses it
// if that can't serve. It reports whether the request is pinned.
func (e *Edge) pinTo(r *request, rec streamRecord, source string) bool {
	r.pin = pin{
		set:      true,
		build:    rec.build,
		source:   source,
		endpoint: rec.endpoint,
		sentAt:   rec.sentAt,
	}
	if rec.build == 0 {
		e.logResumptionRefused(r, "in_doubt")
		e.refuse(r, e.unavailableProblem("version_unknown", "the software version that began the stream is in doubt", 0))
		return false
	}
	for _, s := range r.route.Services {
		for _, row := range e.endpoints.byService[s.Service] {
			if row.build == rec.build && !row.departing() {
				r.service = s.Service
				e.log("resumed", r.call.ID, field("resumes", r.call.Resumes), field("source", source),
					field("service", s.Service), field("software", row.replica.Version),
					field("after", e.now.Sub(r.arrived)), field("began_at", r.pin.endpoint))
				return true
			}
		}
	}
	e.refusePinned(r)
	return false
}

// refuseUnknown refuses a request that takes up a stream that nobody in reach knows.
func (e *Edge) refuseUnknown(r *request, a *streamAsk) {
	e.log("resumption_refused", r.call.ID, field("resumes", r.call.Resumes), field("reason", "unknown"),
		field("asked", len(a.asked)), field("answered", a.answers), field("after", e.now.Sub(r.arrived)),
		field("builds", len(e.versions.seen[r.service])), field("current", e.versionsCurrent()))
	e.refuse(r, e.unavailableProblem("version_unknown", "no router in reach knows the software version that began the stream", defaultRetryAfter))
}

// refusePinned ends a request for which no endpoint of its build is left.
func (e *Edge) refusePinned(r *request) {
	if r.events > 0 || r.mayHaveRun() {
		e.log("no_endpoint_of_version", r.call.ID, field("service", r.service), field("events", r.events), field("in_doubt", r.pin.build == 0))
		e.fail(r, Unreachable)
		return
	}
	if p := e.pausedProblem(r); p != nil {
		e.refuse(r, p)
		return
	}
	e.logResumptionRefused(r, "no_endpoint")
	retryAfter := time.Duration(0)
	if r.pin.source == sourceOnlyVersion {
		retryAfter = defaultRetryAfter
	}
	e.refuse(r, e.unavailableProblem("version_gone", "no endpoint of the software version that began the stream can run the request", retryAfter))
}

// logResumptionRefused logs why a request of a known stream is refused.
func (e *Edge) logResumptionRefused(r *request, reason string) {
	e.log("resumption_refused", r.call.ID, field("resumes", r.call.Resumes), field("reason", reason),
		field("source", r.pin.source), field("after", e.now.Sub(r.arrived)), field("began_at", r.pin.endpoint))
}

// onlyBuild returns the build of the stream that a caller takes up if, of all that was
// listed in the time for which streams are taken up, only one can be meant.
func (e *Edge) onlyBuild(r *request) (build, bool) {
	if r.streamName() == "" && len(r.route.Services) > 1 || !e.versionsCurrent() {
		return 0, false
	}
	builds := e.versions.seen[r.service]
	if len(builds) != 1 {
		return 0, false
	}
	for b := range builds {
		return b, true
	}
	return 0, false
}

// versionsCurrent reports whether this router knows all builds that may have begun
// streams. A list that is too old will do while the store is away, if no peer has a newer
// one.
func (e *Edge) versionsCurrent() bool {
	t := &e.endpoints
	if !t.complete || !e.nodes.loaded {
		return false
	}
	if !e.endpointsStale() {
		return true
	}
	if !e.mayDispatch() {
		return false
	}
	heard := false
	for _, r := range e.gossip.reports {
		if e.now.Sub(r.receivedAt) > reportTTL {
			continue
		}
		if r.Revision > t.revision {
			return false
		}
		heard = true
	}
	return heard || e.fleetSize() == 1
}
