package edge

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// The operator may want a failure domain to be empty: its endpoints get no new requests
// until that is lifted, and those that run there end in peace. The complete set of these
// domains, as of a revision of the store, replaces any of an earlier revision, whether it
// comes from the store or from a peer: each report and each News has it.
//
// A set is as old as the last update that confirmed it. A router that is not kept up to
// date while a peer is sends nothing once its set is older than the bound allows; if no
// peer has a younger one the store is away for all, and no router can know better.

const (
	// defaultEvacuate is the default of Bounds.Evacuate.
	defaultEvacuate = 5 * time.Second

	// maxEvacuated limits the domains in a message, maxDomainBytes their names.
	maxEvacuated   = 1000
	maxDomainBytes = 200

	// reportTransit is how long a report may take to arrive while nothing shows that the
	// link is busy; the set that it confirms counts as older by that.
	reportTransit = time.Second

	// minEvacuationGain is how much younger than a set that is too old that of a peer must be
	// to keep this router from sending by its own.
	minEvacuationGain = 500 * time.Millisecond

	// evacuationRetryAfter is the Retry-After time while all endpoints of a service are in
	// failure domains that are to be empty. When the operator lifts that is not known; it is
	// the interval at which a state is polled that may change at any moment.
	evacuationRetryAfter = 2 * time.Second

	// keptTime is how long an evacuation stays in force that the store does not have any
	// more after it came back from a copy: it may be one of the writes that were lost.
	keptTime = 30 * time.Second

	// returnTime is how long the load of an endpoint takes to return after its domain is
	// taken back. It begins with returnStart of the requests and shared parts.
	returnTime  = 10 * time.Second
	returnStart = 0.05

	// returnCostMs is the penalty, in milliseconds, for an engine at which a request is not
	// among those that return already, and returnServiceMs that for a plain service. Both are
	// well below backoffCostMs: an endpoint that returns is better than none.
	returnCostMs    = 1000.0
	returnServiceMs = 10 * serviceCostMs
)

// CodeEvacuated is the code of the answer to a request whose service has no endpoint outside
// the failure domains that are to be empty.
const CodeEvacuated = "endpoints_evacuated"

// CodeOldEvacuations is the code of the answer to a request while this router, other than
// its peers, does not know which failure domains are to be empty.
const CodeOldEvacuations = "evacuations_unknown"

// Evacuated is the event of an update of the failure domains that are to be empty.
type Evacuated struct {
	effect.IsEvent

	// Domains are all of them.
	Domains []waxwingwall.Domain

	// Revision is the store's revision of the set.
	Revision int64

	// AsOf is a time before which the set holds all changes; zero stands for the time of the
	// event.
	AsOf time.Time
}

// EvacuationState is what a router knows of the failure domains that are to be empty, for
// peers and dumps. The zero value knows nothing, as that of earlier versions of this program.
type EvacuationState struct {
	// Domains are all of them, sorted, as of Revision. Revision is zero if nothing is known.
	Domains  []waxwingwall.Domain `json:"domains"`
	Revision int64                `json:"revision"`

	// Age is how long ago the router last had all changes.
	Age time.Duration `json:"age"`
}

// known reports whether the state tells anything.
func (s *EvacuationState) known() bool {
	return s.Revision > 0
}

// valid reports whether a router can have sent the state.
func (s *EvacuationState) valid() bool {
	if !isCount(s.Revision, maxRevision) || !isCount(s.Age, maxDuration) || len(s.Domains) > maxEvacuated {
		return false
	}
	return !slices.ContainsFunc(s.Domains, func(d waxwingwall.Domain) bool { return d == "" || len(d) > maxDomainBytes })
}

// size returns the approximate size of the state in a message.
func (s *EvacuationState) size() int {
	return entryBytes * len(s.Domains)
}

// evacuations is the router's knowledge of the failure domains that are to be empty.
type evacuations struct {
	// since are the domains in force, with the time from which they are at this router.
	since map[waxwingwall.Domain]time.Time

	// silentFrom is the time from which endpoints of a domain in force aren't asked whether they run
	// either: it was not to be empty as of the set before, and may be asked until the bound.
	silentFrom map[waxwingwall.Domain]time.Time

	// kept are those of since that are missing in the store since it came back from a copy,
	// with the time until which they stay in force.
	kept map[waxwingwall.Domain]time.Time

	// revision is the store's revision of the set, zero if nothing is known. asOf is a time
	// before which it holds all changes.
	revision int64
	asOf     time.Time

	// peers are what the peers reported last.
	peers map[waxwingwall.Incarnation]peerEvacuations

	// staleLogged is set once the log has an entry of a set that is too old.
	staleLogged bool
}

// peerEvacuations is the set of a peer and its age as of receivedAt.
type peerEvacuations struct {
	domains    []waxwingwall.Domain
	age        time.Duration
	receivedAt time.Time
}

// evacuating reports whether any failure domain is to be empty now.
func (e *Edge) evacuating() bool {
	return len(e.evacuations.since) > 0
}

// Evacuating returns the number of failure domains that are to be empty.
func (e *Edge) Evacuating() int {
	return len(e.evacuations.since)
}

// handleEvacuated applies an update from the store. One of an earlier revision than that of a
// peer says only as of when this router's set holds all changes: it holds those of the update.
func (e *Edge) handleEvacuated(ev Evacuated) {
	s := EvacuationState{
		Domains:  ev.Domains,
		Revision: ev.Revision,
	}
	if !s.valid() || ev.Revision == 0 {
		e.log("message_rejected", "", field("message", "evacuations"), field("revision", ev.Revision))
		return
	}
	asOf := ev.AsOf
	if asOf.IsZero() {
		asOf = e.now
	}
	if s.Revision < e.evacuations.revision {
		e.dateEvacuations(asOf)
		return
	}
	e.mergeEvacuations(s, asOf, "store")
}

// learnEvacuations applies what a peer knows. asOf is a time before which that holds all
// changes; zero if nothing but the age tells.
func (e *Edge) learnEvacuations(from waxwingwall.Incarnation, s EvacuationState, asOf time.Time) {
	if !s.known() {
		return
	}
	t := &e.evacuations
	if t.peers == nil {
		t.peers = map[waxwingwall.Incarnation]peerEvacuations{}
	}
	t.peers[from] = peerEvacuations{
		domains:    s.Domains,
		age:        s.Age,
		receivedAt: e.now,
	}
	if s.Revision < t.revision {
		// This router's set holds the changes of the peer's.
		e.dateEvacuations(asOf)
		return
	}
	if asOf.IsZero() && e.link.queueDelay(e.now) == 0 {
		asOf = e.now.Add(-s.Age - reportTransit)
	}
	e.mergeEvacuations(s, asOf, from.String())
}

// mergeEvacuations applies a set that holds all changes before asOf, if that is set.
func (e *Edge) mergeEvacuations(s EvacuationState, asOf time.Time, from string) {
	t := &e.evacuations
	if s.Revision < t.revision {
		return
	}
	silentFrom := e.now
	if !t.asOf.IsZero() {
		silentFrom = t.asOf.Add(e.bounds.Evacuate - sendReserve)
	}
	e.dateEvacuations(asOf)
	if s.Revision == t.revision {
		return
	}
	restored := t.revision != 0 && t.revision < e.nodes.era && s.Revision >= e.nodes.era
	t.revision = s.Revision
	next := make(map[waxwingwall.Domain]time.Time, len(s.Domains))
	for _, d := range s.Domains {
		next[d] = e.now
		delete(t.kept, d)
	}
	for d, since := range t.since {
		if _, ok := next[d]; ok {
			next[d] = since
			continue
		}
		if restored {
			if t.kept == nil {
				t.kept = map[waxwingwall.Domain]time.Time{}
			}
			t.kept[d] = e.now.Add(keptTime)
		}
		if _, ok := t.kept[d]; ok {
			next[d] = since
		}
	}
	silent := make(map[waxwingwall.Domain]time.Time, len(next))
	for d := range next {
		silent[d] = cmp.Or(t.silentFrom[d], silentFrom)
	}
	t.silentFrom = silent
	e.setEvacuations(next, from)
}

// dateEvacuations records that the set holds all changes before a time, which may be zero.
func (e *Edge) dateEvacuations(asOf time.Time) {
	if t := &e.evacuations; asOf.After(t.asOf) {
		t.asOf = asOf
		t.staleLogged = false
	}
}

// setEvacuations puts the domains in force, and takes others back.
func (e *Edge) setEvacuations(next map[waxwingwall.Domain]time.Time, from string) {
	t := &e.evacuations
	before := t.since
	t.since = next
	same := len(before) == len(next)
	for d := range next {
		if _, ok := before[d]; !ok {
			same = false
		}
	}
	if same {
		return
	}
	for _, row := range e.endpoints.rows {
		e.applyEvacuations(row)
	}
	e.gossip.loadChanged = true
	e.log("evacuation_changed", "", field("domains", domainNames(t.domains())), field("revision", t.revision),
		field("kept", len(t.kept)), field("from", from), field("age", e.evacuationsAge()))
}

// domains returns the domains in force.
func (t *evacuations) domains() []waxwingwall.Domain {
	all := make([]waxwingwall.Domain, 0, len(t.since))
	for d := range t.since {
		all = append(all, d)
	}
	slices.Sort(all)
	return all
}

// domainNames returns the names of domains for the log.
func domainNames(all []waxwingwall.Domain) []string {
	names := make([]string, 0, len(all))
	for _, d := range all {
		names = append(names, waxwingwall.Excerpt(string(d)))
	}
	return names
}

// applyEvacuations sets whether an endpoint is in a domain that is to be empty. Once it is
// not any more, its load begins to return.
func (e *Edge) applyEvacuations(row *endpoint) {
	_, evacuated := e.evacuations.since[row.replica.Domain]
	if row.evacuated == evacuated {
		return
	}
	row.evacuated = evacuated
	row.returnsAt = time.Time{}
	if !evacuated {
		row.returnsAt = e.now
		e.warmed = append(e.warmed, row.replica.Service)
	}
	e.endpoints.paths = nil
}

// evacuationStep ends what is kept for a restored store, and forgets peers that are silent.
func (e *Edge) evacuationStep() {
	t := &e.evacuations
	for from, p := range t.peers {
		if e.now.Sub(p.receivedAt) > reportTTL {
			delete(t.peers, from)
		}
	}
	e.endKept()
	if e.evacuationsStale() && !t.staleLogged {
		t.staleLogged = true
		e.log("evacuations_old", "", field("revision", t.revision), field("age", e.evacuationsAge()))
	}
}

// endKept takes back what was kept for a restored store and is not there in time.
func (e *Edge) endKept() {
	t := &e.evacuations
	next := maps.Clone(t.since)
	for d, until := range t.kept {
		if !e.now.Before(until) {
			delete(t.kept, d)
			delete(next, d)
		}
	}
	if len(next) != len(t.since) {
		e.setEvacuations(next, "return time")
	}
}

// evacuationsAge returns how long ago the set was last known to hold all changes; zero if
// nothing is known.
func (e *Edge) evacuationsAge() time.Duration {
	t := &e.evacuations
	if t.asOf.IsZero() {
		return 0
	}
	return min(max(e.now.Sub(t.asOf), 1), maxDuration)
}

// evacuationState returns what this router knows, for peers.
func (e *Edge) evacuationState() EvacuationState {
	t := &e.evacuations
	if t.revision == 0 || t.asOf.IsZero() {
		return EvacuationState{}
	}
	return EvacuationState{
		Domains:  t.domains(),
		Revision: t.revision,
		Age:      e.evacuationsAge(),
	}
}

// evacuationsDiffer returns the peers whose last report has another set than this router's.
func (e *Edge) evacuationsDiffer() []waxwingwall.Incarnation {
	own := e.evacuations.domains()
	var all []waxwingwall.Incarnation
	for from, p := range e.evacuations.peers {
		if !slices.Equal(p.domains, own) {
			all = append(all, from)
		}
	}
	slices.SortFunc(all, func(a, b waxwingwall.Incarnation) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Boot, b.Boot))
	})
	return all
}

// evacuationsStale reports whether a failure domain may have to be empty for too long without
// this router's knowledge, while a peer may know.
func (e *Edge) evacuationsStale() bool {
	t := &e.evacuations
	own := time.Duration(math.MaxInt64)
	if !t.asOf.IsZero() {
		own = e.now.Sub(t.asOf)
	}
	if own <= e.bounds.Evacuate-sendReserve {
		return false
	}
	for _, p := range t.peers {
		silent := e.now.Sub(p.receivedAt)
		if silent <= reportTTL && p.age+silent+reportTransit < own-minEvacuationGain {
			return true
		}
	}
	return false
}

// evacuatedProblem returns the refusal of a request whose service has no endpoint outside the
// failure domains that are to be empty; nil if it has, or has none at all.
func (e *Edge) evacuatedProblem(r *request) *waxwingwall.Problem {
	evacuated := 0
	for _, row := range e.endpoints.byService[r.service] {
		if row.departing() || r.pin.set && row.build != r.pin.build {
			continue
		}
		if !row.evacuated {
			return nil
		}
		evacuated++
	}
	if evacuated == 0 {
		return nil
	}
	return e.unavailableProblem(CodeEvacuated, "the operator has emptied the failure domains of all endpoints", evacuationRetryAfter)
}

// returnedShare returns the fraction of its usual requests that an endpoint gets a time after
// its failure domain was taken back.
func returnedShare(elapsed time.Duration) float64 {
	return min(1, returnStart+(1-returnStart)*max(elapsed.Seconds(), 0)/returnTime.Seconds())
}

// hasReturned reports whether a request is among those that return to an endpoint already. All
// routers return the same shared parts at about the same time, and each one stays.
func (e *Edge) hasReturned(r *request, row *endpoint) bool {
	if row.returnsAt.IsZero() {
		return true
	}
	share := returnedShare(e.now.Sub(row.returnsAt))
	if share >= 1 {
		row.returnsAt = time.Time{}
		return true
	}
	key := cmp.Or(r.affinityPart(), xxhash.Sum64String(r.call.ID))
	return float64(rendezvousHash(key, row.replica.Endpoint)>>11)/(1<<53) < share
}

// returnCost returns the penalty for an endpoint to which a request has not returned yet.
func returnCost(engine bool) float64 {
	if engine {
		return returnCostMs
	}
	return returnServiceMs
}

// notEvacuated returns the endpoints whose failure domains need not be empty.
func notEvacuated(rows []*endpoint) []*endpoint {
	return slices.DeleteFunc(slices.Clone(rows), func(r *endpoint) bool { return r.evacuated })
}
