package bench

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/sched"
)

// Policy decides when and where a simulated router runs work. Its methods have
// the semantics of those of sched.Scheduler.
type Policy interface {
	Offer(now time.Time, w sched.Work) sched.Verdict
	Withdraw(now time.Time, id waxwingwall.Identity) int
	Step(now time.Time, ev effect.Event) []effect.Action
	SetEndpoints(now time.Time, specs []sched.EndpointSpec)
	SetPeers(now time.Time, peers []waxwingwall.Incarnation)
}

// Setup holds the parameters of a new policy.
type Setup struct {
	// Self is the router's incarnation.
	Self waxwingwall.Incarnation

	// Seed differs for each router.
	Seed uint64

	// Ranks, Accounts and Endpoints are the policy's initial tables.
	Ranks     []sched.RankSpec
	Accounts  []sched.AccountSpec
	Endpoints []sched.EndpointSpec

	// Now is the time at which the router boots.
	Now time.Time

	// store is the table service shared by all routers.
	store *store
}

// PolicyFunc creates the policy of one router.
type PolicyFunc func(Setup) Policy

// Names of the policies. Waxwingwall is package sched, TwoChoices is the same
// without prefix affinity, and SingleRouter the same with a single router, which
// has the complete state that several routers have to exchange.
const (
	Waxwingwall      = "waxwingwall"
	SingleRouter     = "single_router"
	RoundRobin       = "round_robin"
	LeastInFlight    = "least_in_flight"
	StoreTransaction = "store_transaction"
	TwoChoices       = "two_choices"
)

// Policies returns the names of all policies, Waxwingwall first.
func Policies() []string {
	return []string{Waxwingwall, TwoChoices, SingleRouter, RoundRobin, LeastInFlight, StoreTransaction}
}

// policyNamed returns the constructor of a policy, or nil if the name is
// unknown.
func policyNamed(name string) PolicyFunc {
	switch name {
	case Waxwingwall, SingleRouter:
		return newScheduler
	case TwoChoices:
		return newTwoChoices
	case RoundRobin:
		return newRoundRobin
	case LeastInFlight:
		return newLeastInFlight
	case StoreTransaction:
		return newStoreTransaction
	}
	return nil
}

func newScheduler(c Setup) Policy {
	return newSchedulerWith(c)
}

// newTwoChoices returns a scheduler without prefix affinity.
func newTwoChoices(c Setup) Policy {
	return newSchedulerWith(c, sched.WithAffinity(false))
}

func newSchedulerWith(c Setup, opts ...sched.Option) Policy {
	opts = append(opts, sched.WithSeed(c.Seed), sched.WithSelf(c.Self))
	s := sched.New(opts...)
	s.SetRanks(c.Ranks)
	s.SetAccounts(c.Accounts)
	s.SetEndpoints(c.Now, c.Endpoints)
	return s
}

// baseline dispatches each request immediately to the endpoint that pick
// returns. The endpoints' queues are FIFO. It accepts all requests, and after a
// failure dispatches rejected or idempotent work once more.
type baseline struct {
	pick     func(*baseline, waxwingwall.Model) int
	specs    []sched.EndpointSpec
	inFlight []int
	rotation int
	jobs     map[waxwingwall.Identity]*baselineJob
	actions  []effect.Action
}

type baselineJob struct {
	work     sched.Work
	endpoint int
	attempt  int
}

func newBaseline(c Setup) *baseline {
	b := &baseline{
		jobs: map[waxwingwall.Identity]*baselineJob{},
	}
	b.SetEndpoints(c.Now, c.Endpoints)
	b.rotation = int(c.Seed % 100)
	return b
}

func newRoundRobin(c Setup) Policy {
	b := newBaseline(c)
	b.pick = (*baseline).pickRoundRobin
	return b
}

func newLeastInFlight(c Setup) Policy {
	b := newBaseline(c)
	b.pick = (*baseline).pickLeast
	return b
}

func (b *baseline) usesFIFO() bool { return true }

// SetEndpoints implements Policy.
func (b *baseline) SetEndpoints(_ time.Time, specs []sched.EndpointSpec) {
	b.specs = specs
	for len(b.inFlight) < len(specs) {
		b.inFlight = append(b.inFlight, 0)
	}
}

// SetPeers implements Policy.
func (b *baseline) SetPeers(time.Time, []waxwingwall.Incarnation) {}

// Offer implements Policy.
func (b *baseline) Offer(_ time.Time, w sched.Work) sched.Verdict {
	if b.jobs[w.Identity] != nil {
		return sched.Verdict{}
	}
	j := &baselineJob{
		work: w,
	}
	b.jobs[w.Identity] = j
	b.dispatch(j)
	return sched.Verdict{}
}

func (b *baseline) dispatch(j *baselineJob) {
	j.endpoint = b.pick(b, j.work.Model)
	j.attempt++
	b.inFlight[j.endpoint]++
	b.actions = append(b.actions, sched.Dispatch{
		Identity: j.work.Identity,
		Attempt:  j.attempt,
		Endpoint: b.specs[j.endpoint].Name,
		Resume:   j.attempt > 1,
	})
}

// Withdraw implements Policy.
func (b *baseline) Withdraw(_ time.Time, id waxwingwall.Identity) int {
	j := b.jobs[id]
	if j == nil {
		return 0
	}
	b.inFlight[j.endpoint]--
	delete(b.jobs, id)
	return j.attempt
}

// Step implements Policy.
func (b *baseline) Step(_ time.Time, ev effect.Event) []effect.Action {
	if ev, ok := ev.(sched.Finished); ok {
		b.handleFinished(ev)
	}
	actions := b.actions
	b.actions = nil
	return actions
}

func (b *baseline) handleFinished(ev sched.Finished) {
	j := b.jobs[ev.Identity]
	if j == nil || j.attempt != ev.Attempt {
		return
	}
	b.inFlight[j.endpoint]--
	if ev.Failure == sched.None {
		delete(b.jobs, ev.Identity)
		return
	}
	retry := j.work.Idempotent || ev.Failure == sched.Declined
	if retry && j.attempt == 1 {
		b.dispatch(j)
		return
	}
	delete(b.jobs, ev.Identity)
	outcome := waxwingwall.Unknown
	if ev.Failure == sched.Declined {
		outcome = waxwingwall.NotRun
	}
	b.actions = append(b.actions, sched.Refuse{
		Identity: ev.Identity,
		Problem: &waxwingwall.Problem{
			Status:     502,
			Code:       "endpoint_failed",
			Outcome:    outcome,
			RetryAfter: time.Second,
		},
	})
}

func (b *baseline) usable(i int, m waxwingwall.Model) bool {
	return !b.specs[i].Leaving && b.specs[i].Models[0] == m
}

func (b *baseline) pickRoundRobin(m waxwingwall.Model) int {
	for {
		b.rotation = (b.rotation + 1) % len(b.specs)
		if b.usable(b.rotation, m) {
			return b.rotation
		}
	}
}

func (b *baseline) pickLeast(m waxwingwall.Model) int {
	best := -1
	b.rotation++
	for k := range b.specs {
		i := (k + b.rotation) % len(b.specs)
		if b.usable(i, m) && (best < 0 || b.inFlight[i] < b.inFlight[best]) {
			best = i
		}
	}
	return best
}
