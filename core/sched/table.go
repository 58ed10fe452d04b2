package sched

import (
	"slices"
	"sort"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/queue"
)

// endpoint is this router's state of one endpoint.
type endpoint struct {
	spec EndpointSpec

	// running holds this router's attempts in the order of their dispatch;
	// peerInFlight counts those last reported by the peers.
	running      []*job
	peerInFlight int

	// window is the estimated number of concurrent requests from all routers
	// that the endpoint can serve; at most spec.Concurrency.
	window float64

	// tokenGap is the mean time between two tokens of a request; tokenGapAt is the
	// time of its last sample. windowChangedAt is the time of the last change of
	// window.
	tokenGap        mean
	tokenGapAt      time.Time
	windowChangedAt time.Time

	// busy is set if the last load report showed at least 1/busyDivisor of the
	// slots in use.
	busy bool

	// saturated counts consecutive load reports with at least as many waiting
	// as running requests.
	saturated int

	// The endpoint gets no work until backoffUntil because it failed; failures
	// counts consecutive failures.
	backoffUntil time.Time
	failures     int

	// pausedUntil is the end of the last pause that the endpoint asked for.
	pausedUntil time.Time

	// lastSuspect is the last time at which the endpoint was known to run a
	// suspect.
	lastSuspect time.Time

	// lastActivity is the last time at which one of the endpoint's streams
	// carried data.
	lastActivity time.Time

	// removed is set while the endpoint is not in the table.
	removed bool
}

// load returns the number of requests that the endpoint is assumed to run.
func (e *endpoint) load() int {
	return len(e.running) + e.peerInFlight
}

func (e *endpoint) serves(m waxwingwall.Model) bool {
	for _, have := range e.spec.Models {
		if have == m {
			return true
		}
	}
	return false
}

// usable reports whether the endpoint may get new work.
func (e *endpoint) usable(now time.Time) bool {
	return !e.removed && !e.spec.Leaving && !now.Before(e.backoffUntil) && !e.paused(now)
}

// pool is a set of endpoints with overlapping models, and the work for them.
type pool struct {
	// name is the first of the models; it is the same at all routers.
	name      waxwingwall.Model
	endpoints []*endpoint
	classes   []*class
	inFlight  int

	// The router's share of the pool, in slots: granted is the sum over the
	// classes, spare is unclaimed. headroom is kept free for the most urgent class
	// and is not divided among the routers.
	granted  float64
	spare    float64
	headroom float64
}

// class is the work of one rank in a pool.
type class struct {
	spec     RankSpec
	flows    []*flow
	inFlight int

	// peerDemand is the accounts' demand at live peers, sorted by account.
	peerDemand []queue.Demand

	// granted is the router's share in slots. credit is its unused part in slot
	// seconds, as of creditAt; it is negative after overuse.
	granted  float64
	credit   float64
	creditAt time.Time
}

// flow is the work of one account for one model in a class.
type flow struct {
	account  waxwingwall.Account
	model    waxwingwall.Model
	queue    []*job
	inFlight int

	// granted is the flow's share in slots.
	granted float64

	// refusalRate is the recent rate of refusals. nextRetryAt is the latest time
	// to which a Retry-After of a refused request points, before jitter.
	refusalRate rate
	nextRetryAt time.Time

	// estimates is shared by all flows of a rank and model.
	estimates *estimates
}

// demand returns the number of slots that the flow could use.
func (f *flow) demand(now time.Time) float64 {
	want := float64(len(f.queue) + f.inFlight)
	return want + f.refusalRate.at(now)*f.estimates.slotTime.seconds()
}

type estimateKey struct {
	rank  waxwingwall.Rank
	model waxwingwall.Model
}

// estimates holds the measured times of the requests of a rank and model.
type estimates struct {
	// slotTime is the time from dispatch to end, firstToken from dispatch to
	// the first token.
	slotTime   mean
	firstToken mean
}

// job is a queued or running request.
type job struct {
	work      Work
	seq       uint64
	offeredAt time.Time
	deadline  time.Time

	pool  *pool
	class *class
	flow  *flow

	// attempt counts the dispatches. endpoint runs the last one; it is nil
	// while the job is queued. failedEndpoint ran the attempt that failed last.
	// newConnection is set after an idle timeout: the next attempt uses a new
	// connection, to the same endpoint if that fits.
	attempt        int
	endpoint       *endpoint
	failedEndpoint *endpoint
	newConnection  bool
	dispatchedAt   time.Time

	// held is set while the driver has yet to send the request of the attempt.
	held bool

	// spareRetry is set from when an idle attempt is left until the next one has output
	// or was declined.
	spareRetry bool

	// declined counts the attempts that the endpoints did not run.
	declined int

	// attemptVersion is the version of the endpoint at the last dispatch. version is that
	// of the output so far; it is valid if tokens is not zero.
	attemptVersion string
	version        string

	// queuedAt is the time of the offer, or of the last failure or preemption.
	queuedAt time.Time

	// ask is the ID of the pending ask for a permit, zero if there is none; askAfter is
	// the time before which the job does not ask again. limitSeq is the number of the
	// notice of the endpoint's limit at the dispatch.
	ask      uint64
	askAfter time.Time
	limitSeq uint64

	// bypassed counts the later jobs that were dispatched before this one.
	bypassed int

	// lastProgress is the time of the dispatch or of the last output of the
	// attempt. tokens is the output of the request so far. hasOutput is set by the
	// first output of the attempt.
	lastProgress time.Time
	tokens       waxwingwall.Tokens
	hasOutput    bool

	// hasProgress is set by the first Progress of the attempt with new tokens
	// after hasOutput.
	hasProgress bool
}

// SetRanks replaces the table of ranks. The next step refuses queued work of a
// removed rank.
func (s *Scheduler) SetRanks(specs []RankSpec) {
	s.ranks = append([]RankSpec(nil), specs...)
	sort.SliceStable(s.ranks, func(i, j int) bool {
		return s.ranks[i].Level < s.ranks[j].Level
	})
	s.rebuildPools()
}

// SetEndpoints replaces the table of endpoints. Attempts on a removed endpoint
// continue; they are moved when they are idle, as others are.
func (s *Scheduler) SetEndpoints(_ time.Time, specs []EndpointSpec) {
	var table []*endpoint
	byName := map[waxwingwall.Endpoint]*endpoint{}
	for _, spec := range specs {
		e := s.byName[spec.Name]
		if e == nil {
			e = s.removedEndpoint(spec.Name)
		}
		if e == nil {
			e = &endpoint{
				window: float64(spec.Concurrency),
			}
		}
		e.window = min(max(1, e.window), float64(max(1, spec.Concurrency)))
		if spec.Concurrency > e.spec.Concurrency {
			e.window = float64(spec.Concurrency)
		}
		e.spec = spec
		table = append(table, e)
		byName[spec.Name] = e
	}
	sort.SliceStable(table, func(i, j int) bool {
		return table[i].spec.Name < table[j].spec.Name
	})
	s.keepRemoved(byName)
	s.endpoints = table
	s.byName = byName
	s.rebuildPools()
}

// removedEndpoint returns the removed endpoint of a name that still runs attempts, or nil.
func (s *Scheduler) removedEndpoint(name waxwingwall.Endpoint) *endpoint {
	for _, e := range s.removed {
		if e.spec.Name == name {
			return e
		}
	}
	return nil
}

// keepRemoved updates the removed endpoints for a new table.
func (s *Scheduler) keepRemoved(byName map[waxwingwall.Endpoint]*endpoint) {
	var removed []*endpoint
	for _, e := range slices.Concat(s.removed, s.endpoints) {
		e.removed = byName[e.spec.Name] != e
		if e.removed && len(e.running) > 0 {
			removed = append(removed, e)
		}
	}
	s.removed = removed
}

// dropRemoved drops the removed endpoints that no longer run attempts.
func (s *Scheduler) dropRemoved() {
	s.removed = slices.DeleteFunc(s.removed, func(e *endpoint) bool { return len(e.running) == 0 })
}

// SetAccounts replaces the table of client accounts. An account that is not in
// the table has weight 1.
func (s *Scheduler) SetAccounts(specs []AccountSpec) {
	s.accounts = map[waxwingwall.Account]AccountSpec{}
	for _, spec := range specs {
		s.accounts[spec.Name] = spec
	}
	s.sharesStale = true
	s.peerDemandStale = true
}

func (s *Scheduler) weight(a waxwingwall.Account) float64 {
	if w := s.accounts[a].Weight; w > 0 {
		return w
	}
	return 1
}

// rebuildPools rebuilds the pools from the tables and places all jobs in them.
func (s *Scheduler) rebuildPools() {
	old := s.pools
	s.pools = nil
	s.byModel = map[waxwingwall.Model]*pool{}
	for _, e := range s.endpoints {
		s.addToPool(e)
	}
	for m, p := range s.byModel {
		if p.name == "" || m < p.name {
			p.name = m
		}
	}
	for _, p := range s.pools {
		for _, r := range s.ranks {
			p.classes = append(p.classes, &class{
				spec: r,
			})
		}
	}
	s.carryOverRefusals(old)
	for _, j := range s.jobsInOfferOrder() {
		s.placeJob(j)
	}
	s.sharesStale = true
	s.peerDemandStale = true
}

// addToPool adds an endpoint to the pool of its models, merging the pools that
// it connects.
func (s *Scheduler) addToPool(e *endpoint) {
	var into *pool
	for _, m := range e.spec.Models {
		p := s.byModel[m]
		if into == nil {
			into = p
		}
		if p != nil && p != into {
			s.mergePools(into, p)
		}
	}
	if into == nil {
		into = &pool{}
		s.pools = append(s.pools, into)
	}
	into.endpoints = append(into.endpoints, e)
	for _, m := range e.spec.Models {
		s.byModel[m] = into
	}
}

func (s *Scheduler) mergePools(into, from *pool) {
	into.endpoints = append(into.endpoints, from.endpoints...)
	for _, e := range from.endpoints {
		for _, m := range e.spec.Models {
			s.byModel[m] = into
		}
	}
	for i, p := range s.pools {
		if p == from {
			s.pools = append(s.pools[:i:i], s.pools[i+1:]...)
			return
		}
	}
}

// carryOverRefusals keeps the flows' refusal state, so that a change of a table
// does not cause a burst of retries.
func (s *Scheduler) carryOverRefusals(old []*pool) {
	for _, p := range old {
		for _, c := range p.classes {
			for _, f := range c.flows {
				to := s.byModel[f.model]
				if to == nil || to.class(c.spec.Level) == nil {
					continue
				}
				n := s.flow(to.class(c.spec.Level), f.account, f.model)
				n.refusalRate = f.refusalRate
				n.nextRetryAt = f.nextRetryAt
			}
		}
	}
}

// jobsInOfferOrder returns all jobs in the order of their offers.
func (s *Scheduler) jobsInOfferOrder() []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].seq < jobs[k].seq })
	return jobs
}

// placeJob adds a job to the rebuilt pools. A queued job without a pool or
// class, or with output of a version that is not served any more, is refused; a
// running one continues outside the pools.
func (s *Scheduler) placeJob(j *job) {
	p := s.byModel[j.work.Model]
	var c *class
	if p != nil {
		c = p.class(j.work.Rank)
	}
	if c == nil || j.endpoint == nil && !p.servesVersion(j) {
		j.pool, j.class, j.flow = nil, nil, nil
		if j.endpoint == nil {
			delete(s.jobs, j.work.Identity)
			s.pendingActions = append(s.pendingActions, s.refuse(j, s.noEndpointProblem(j)))
		}
		return
	}
	j.pool, j.class = p, c
	j.flow = s.flow(c, j.work.Account, j.work.Model)
	if j.endpoint == nil {
		j.flow.queue = append(j.flow.queue, j)
		return
	}
	p.inFlight++
	c.inFlight++
	j.flow.inFlight++
}

func (p *pool) class(level waxwingwall.Rank) *class {
	for _, c := range p.classes {
		if c.spec.Level == level {
			return c
		}
	}
	return nil
}

// flow returns the flow of an account and model, creating it if necessary.
// Flows are sorted by account and model.
func (s *Scheduler) flow(c *class, a waxwingwall.Account, m waxwingwall.Model) *flow {
	i := sort.Search(len(c.flows), func(i int) bool {
		f := c.flows[i]
		return f.account > a || f.account == a && f.model >= m
	})
	if i < len(c.flows) && c.flows[i].account == a && c.flows[i].model == m {
		return c.flows[i]
	}
	f := &flow{
		account:   a,
		model:     m,
		estimates: s.estimatesFor(c.spec.Level, m),
	}
	c.flows = append(c.flows, nil)
	copy(c.flows[i+1:], c.flows[i:])
	c.flows[i] = f
	return f
}

func (s *Scheduler) estimatesFor(r waxwingwall.Rank, m waxwingwall.Model) *estimates {
	k := estimateKey{
		rank:  r,
		model: m,
	}
	if s.estimates[k] == nil {
		s.estimates[k] = &estimates{}
	}
	return s.estimates[k]
}

// takePendingActions returns the pending actions and clears them.
func (s *Scheduler) takePendingActions() []effect.Action {
	acts := s.pendingActions
	s.pendingActions = nil
	return acts
}
