package sched

import (
	"sort"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// endpoint is what this router knows of one endpoint.
type endpoint struct {
	spec EndpointSpec

	// running holds this router's attempts, in the order of their dispatch;
	// foreign counts those that the peers last told of.
	running []*job
	foreign int

	// window is how many requests of all routers it takes, learnt; at most
	// spec.Concurrency.
	window float64

	// gap is the time between tokens, as of paced; shrunk is when the window
	// last changed.
	gap    mean
	paced  time.Time
	shrunk time.Time

	// busy is set if the last report showed a good part of the slots in use.
	busy bool

	// crowded counts reports in a row that show more work than is run.
	crowded int

	// restUntil is until when it gets nothing because it failed; failures
	// counts failures in a row.
	restUntil time.Time
	failures  int

	// suspected is when it was last known to run a suspect.
	suspected time.Time

	// lastSign is when one of its streams last carried something.
	lastSign time.Time
}

// load is the number of requests that the endpoint is thought to hold.
func (e *endpoint) load() int {
	return len(e.running) + e.foreign
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
	return !e.spec.Leaving && !now.Before(e.restUntil)
}

// pool is a set of endpoints whose models overlap, and the work for them.
type pool struct {
	endpoints []*endpoint
	classes   []*class
	inFlight  int

	// The router's part of the pool, in slots: granted is the sum over the
	// classes, spare what no one asks for, headroom what is kept free for the
	// most urgent class.
	granted  float64
	spare    float64
	headroom float64
}

// class is the work of one rank in a pool.
type class struct {
	spec     RankSpec
	flows    []*flow
	inFlight int

	// foreign is what the accounts want at live peers.
	foreign []claim

	// granted is the router's part in slots. credit is what was left unused of
	// it, in slot seconds, as of settled.
	granted float64
	credit  float64
	settled time.Time
}

// flow is the work of one account for one model in a class.
type flow struct {
	account  waxwingwall.Account
	model    waxwingwall.Model
	queue    []*job
	inFlight int

	// granted is the flow's part in slots.
	granted float64

	// refused is the recent rate of refusals, promised the time up to which
	// the refused were told to come back.
	refused  rate
	promised time.Time

	// learnt is shared by all flows of a rank and model.
	learnt *learnt
}

// wanted is what the flow could use, in slots.
func (f *flow) wanted(now time.Time) float64 {
	want := float64(len(f.queue) + f.inFlight)
	return want + f.refused.at(now)*f.learnt.slotTime.seconds()
}

type learntKey struct {
	rank  waxwingwall.Rank
	model waxwingwall.Model
}

// learnt are the times of the requests of a rank and model.
type learnt struct {
	// slotTime is from dispatch to end, firstToken from dispatch to the first
	// token.
	slotTime   mean
	firstToken mean
}

// job is a queued or running request.
type job struct {
	work     Work
	seq      uint64
	offered  time.Time
	deadline time.Time

	pool  *pool
	class *class
	flow  *flow

	// attempt counts the dispatches; at is where the last one runs, nil while
	// the job is queued. avoid is where the one before failed.
	attempt    int
	at         *endpoint
	avoid      *endpoint
	fresh      bool
	dispatched time.Time

	// queued is since when the job waits for a dispatch.
	queued time.Time

	// passed counts the later jobs that were started before this one.
	passed int

	// progress is the time and tokens of the last sign of life.
	progress time.Time
	tokens   waxwingwall.Tokens
	began    bool

	// paced is set once the attempt told of progress.
	paced bool
}

// SetRanks replaces the table of ranks. Queued work of a rank that is gone is
// refused at the next step.
func (s *Scheduler) SetRanks(specs []RankSpec) {
	s.ranks = append([]RankSpec(nil), specs...)
	sort.SliceStable(s.ranks, func(i, j int) bool {
		return s.ranks[i].Level < s.ranks[j].Level
	})
	s.rebuild()
}

// SetEndpoints replaces the table of endpoints. Attempts on an endpoint that is
// gone go on until they are reported as Finished.
func (s *Scheduler) SetEndpoints(_ time.Time, specs []EndpointSpec) {
	var table []*endpoint
	byName := map[waxwingwall.Endpoint]*endpoint{}
	for _, spec := range specs {
		e := s.byName[spec.Name]
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
	s.endpoints = table
	s.byName = byName
	s.rebuild()
}

// SetAccounts replaces the table of client accounts. An account that is not in
// the table has weight 1.
func (s *Scheduler) SetAccounts(specs []AccountSpec) {
	s.accounts = map[waxwingwall.Account]AccountSpec{}
	for _, spec := range specs {
		s.accounts[spec.Name] = spec
	}
	s.changed = true
	s.heard = true
}

func (s *Scheduler) weight(a waxwingwall.Account) float64 {
	if w := s.accounts[a].Weight; w > 0 {
		return w
	}
	return 1
}

// rebuild makes the pools anew from the tables and puts all jobs back.
func (s *Scheduler) rebuild() {
	old := s.pools
	s.pools = nil
	s.byModel = map[waxwingwall.Model]*pool{}
	for _, e := range s.endpoints {
		s.join(e)
	}
	for _, p := range s.pools {
		for _, r := range s.ranks {
			p.classes = append(p.classes, &class{
				spec: r,
			})
		}
	}
	s.carryOver(old)
	for _, j := range s.sorted() {
		s.place(j)
	}
	s.changed = true
	s.heard = true
}

// join adds an endpoint to the pool of its models, merging pools it connects.
func (s *Scheduler) join(e *endpoint) {
	var into *pool
	for _, m := range e.spec.Models {
		p := s.byModel[m]
		if into == nil {
			into = p
		}
		if p != nil && p != into {
			s.merge(into, p)
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

func (s *Scheduler) merge(into, from *pool) {
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

// carryOver keeps what flows told callers, so that a change of a table starts
// no rush.
func (s *Scheduler) carryOver(old []*pool) {
	for _, p := range old {
		for _, c := range p.classes {
			for _, f := range c.flows {
				to := s.byModel[f.model]
				if to == nil || to.class(c.spec.Level) == nil {
					continue
				}
				n := s.flow(to.class(c.spec.Level), f.account, f.model)
				n.refused = f.refused
				n.promised = f.promised
			}
		}
	}
}

// sorted returns all jobs in the order of their offers.
func (s *Scheduler) sorted() []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].seq < jobs[k].seq })
	return jobs
}

// place puts a job into the tables that rebuild made. A queued job that has no
// place any more is refused; a running one goes on outside the pools.
func (s *Scheduler) place(j *job) {
	p := s.byModel[j.work.Model]
	var c *class
	if p != nil {
		c = p.class(j.work.Rank)
	}
	if c == nil {
		j.pool, j.class, j.flow = nil, nil, nil
		if j.at == nil {
			delete(s.jobs, j.work.Identity)
			s.pending = append(s.pending, Refuse{
				Identity: j.work.Identity,
				Problem:  s.gone(j),
			})
		}
		return
	}
	j.pool, j.class = p, c
	j.flow = s.flow(c, j.work.Account, j.work.Model)
	if j.at == nil {
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

// flow returns the flow of an account and model, made if it is new. Flows are
// kept in order.
func (s *Scheduler) flow(c *class, a waxwingwall.Account, m waxwingwall.Model) *flow {
	i := sort.Search(len(c.flows), func(i int) bool {
		f := c.flows[i]
		return f.account > a || f.account == a && f.model >= m
	})
	if i < len(c.flows) && c.flows[i].account == a && c.flows[i].model == m {
		return c.flows[i]
	}
	f := &flow{
		account: a,
		model:   m,
		learnt:  s.learntFor(c.spec.Level, m),
	}
	c.flows = append(c.flows, nil)
	copy(c.flows[i+1:], c.flows[i:])
	c.flows[i] = f
	return f
}

func (s *Scheduler) learntFor(r waxwingwall.Rank, m waxwingwall.Model) *learnt {
	k := learntKey{
		rank:  r,
		model: m,
	}
	if s.learnt[k] == nil {
		s.learnt[k] = &learnt{}
	}
	return s.learnt[k]
}

// take returns the pending actions.
func (s *Scheduler) take() []effect.Action {
	acts := s.pending
	s.pending = nil
	return acts
}
