package sched_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/retry"
	"waxwingwall/core/sched"
)

// requestState is the test's own record of a request.
type requestState struct {
	idempotent bool
	dispatches int
	mayHaveRun bool
	preempted  bool
	running    *sched.Dispatch
	ended      bool
}

// machine drives a scheduler with random events and checks its actions.
type machine struct {
	t           *rapid.T
	s           *sched.Scheduler
	now         time.Time
	specs       []sched.EndpointSpec
	requests    map[waxwingwall.Identity]*requestState
	order       []waxwingwall.Identity
	first       int
	retries     int
	preemptions int
	messages    uint64
}

const (
	reserve = retry.DefaultReserve
	ratio   = retry.DefaultRatio
)

func (m *machine) step(ev effect.Event) {
	for _, a := range m.s.Step(m.now, ev) {
		m.check(a)
	}
	m.checkWindows()
}

func (m *machine) check(a effect.Action) {
	switch a := a.(type) {
	case sched.Dispatch:
		r := m.requests[a.Identity]
		if r.ended || r.running != nil {
			m.t.Fatalf("%v was dispatched while running or after its end", a.Identity)
		}
		r.dispatches++
		r.mayHaveRun = true
		r.running = &a
		if r.dispatches == 1 {
			m.first++
		} else if !r.preempted {
			m.retries++
		}
		r.preempted = false
		if !r.idempotent && r.dispatches > 1 {
			m.t.Fatalf("%v is not idempotent and was dispatched twice", a.Identity)
		}
		for _, e := range m.specs {
			if e.Name == a.Endpoint && e.Leaving {
				m.t.Fatalf("dispatched to %s, which is leaving", e.Name)
			}
		}
		if float64(m.retries) > reserve+ratio*float64(m.first) {
			m.t.Fatalf("%d retries for %d first attempts", m.retries, m.first)
		}
	case sched.Cancel:
		if r := m.requests[a.Identity]; r.running == nil || r.running.Attempt != a.Attempt {
			m.t.Fatalf("cancelled attempt %d, which is not running", a.Attempt)
		}
		r := m.requests[a.Identity]
		r.running = nil
		r.preempted = a.Reason == sched.Cancelled
		if r.preempted {
			m.preemptions++
		}
		if r.preempted && !r.idempotent {
			m.t.Fatalf("%v is not idempotent and was preempted", a.Identity)
		}
		if float64(m.preemptions) > reserve+ratio/2*float64(m.first) {
			m.t.Fatalf("%d preemptions for %d first attempts", m.preemptions, m.first)
		}
	case sched.Refuse:
		r := m.requests[a.Identity]
		if r.running != nil {
			m.t.Fatalf("%v was refused while running", a.Identity)
		}
		m.end(a.Identity, r)
		if r.mayHaveRun && a.Problem.Outcome == waxwingwall.NotRun {
			m.t.Fatalf("%v may have run but was refused as not run", a.Identity)
		}
	}
}

func (m *machine) end(id waxwingwall.Identity, r *requestState) {
	if r.ended {
		m.t.Fatalf("%v ended twice", id)
	}
	r.ended = true
	r.running = nil
}

func (m *machine) checkWindows() {
	held := map[waxwingwall.Endpoint]int{}
	for _, r := range m.requests {
		if r.running != nil {
			held[r.running.Endpoint]++
		}
	}
	for _, e := range m.specs {
		if held[e.Name] > e.Concurrency {
			m.t.Fatalf("%d requests running on %s", held[e.Name], e.Name)
		}
	}
}

func (m *machine) offer(t *rapid.T) {
	id := waxwingwall.Identity{
		Account: waxwingwall.Account(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
		Key:     fmt.Sprint(len(m.order)),
	}
	r := &requestState{
		idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
	m.requests[id] = r
	m.order = append(m.order, id)
	v := m.s.Offer(m.now, sched.Work{
		Identity:    id,
		Account:     id.Account,
		Rank:        rapid.SampledFrom([]waxwingwall.Rank{0, 2}).Draw(t, "rank"),
		Model:       "drafts",
		Idempotent:  r.idempotent,
		Prefix:      []uint64{rapid.Uint64Range(1, 5).Draw(t, "prefix")},
		Fingerprint: rapid.Uint64Range(0, 20).Draw(t, "fingerprint"),
		MaxOutput:   100,
	})
	if v.Decision == sched.Refused {
		if v.Problem.Outcome != waxwingwall.NotRun {
			t.Fatalf("refused offer has outcome %s", v.Problem.Outcome)
		}
		r.ended = true
	}
	m.step(effect.Tick{})
}

func (m *machine) running() []waxwingwall.Identity {
	var ids []waxwingwall.Identity
	for _, id := range m.order {
		if m.requests[id].running != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *machine) pickRunning(t *rapid.T) *sched.Dispatch {
	ids := m.running()
	if len(ids) == 0 {
		t.Skip("no attempt is running")
	}
	return m.requests[rapid.SampledFrom(ids).Draw(t, "running")].running
}

func (m *machine) finish(d sched.Dispatch, f sched.Failure) {
	r := m.requests[d.Identity]
	r.running = nil
	if f == sched.Declined {
		r.mayHaveRun = false
	}
	if f == sched.None || f == sched.Cancelled {
		m.end(d.Identity, r)
	}
	m.step(sched.Finished{
		Identity: d.Identity,
		Attempt:  d.Attempt,
		Tokens:   7,
		Failure:  f,
	})
}

func (m *machine) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.step(effect.Tick{})
}

func (m *machine) demand(t *rapid.T, from waxwingwall.Incarnation) {
	m.messages++
	m.step(effect.Received{
		From: from,
		Message: sched.Demand{
			Seq: m.messages,
			Flows: []sched.FlowDemand{{
				Model:   "drafts",
				Rank:    rapid.SampledFrom([]waxwingwall.Rank{0, 2, 9}).Draw(t, "rank"),
				Account: "b",
				Slots:   rapid.Float64Range(0, 30).Draw(t, "slots"),
			}},
			Loads: []sched.EndpointLoad{{
				Endpoint: m.specs[0].Name,
				Requests: rapid.IntRange(0, slots).Draw(t, "load"),
			}},
		},
	})
}

// For any sequence of events, non-idempotent work is dispatched at most once,
// each request ends exactly once with a correct outcome, endpoint windows and
// the retry budget are respected, and leaving endpoints get no work.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := waxwingwall.Incarnation{VM: "self", Boot: 1}
		peer := waxwingwall.Incarnation{VM: "peer", Boot: 1}
		m := &machine{
			t:        t,
			s:        sched.New(sched.WithSelf(self)),
			now:      start,
			specs:    endpoints(3),
			requests: map[waxwingwall.Identity]*requestState{},
		}
		m.s.SetRanks(ranks)
		m.s.SetEndpoints(m.now, m.specs)
		failures := []sched.Failure{
			sched.None, sched.None, sched.None, sched.Crashed, sched.IdleTimeout,
			sched.Declined, sched.Broken, sched.Cancelled,
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer,
			"pass": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"token": func(t *rapid.T) {
				d := m.pickRunning(t)
				m.step(sched.FirstToken{
					Identity: d.Identity,
					Attempt:  d.Attempt,
				})
			},
			"finish": func(t *rapid.T) {
				d := m.pickRunning(t)
				m.finish(*d, rapid.SampledFrom(failures).Draw(t, "failure"))
			},
			"late_finish": func(t *rapid.T) {
				d := m.pickRunning(t)
				m.step(sched.Finished{
					Identity: d.Identity,
					Attempt:  d.Attempt - 1,
				})
			},
			"withdraw": func(t *rapid.T) {
				d := m.pickRunning(t)
				if got := m.s.Withdraw(m.now, d.Identity); got != d.Attempt {
					t.Fatalf("withdrew attempt %d, want %d", got, d.Attempt)
				}
				m.end(d.Identity, m.requests[d.Identity])
			},
			"drain": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.specs)-1).Draw(t, "endpoint")
				m.specs[i].Leaving = !m.specs[i].Leaving
				m.s.SetEndpoints(m.now, m.specs)
			},
			"peers": func(t *rapid.T) {
				var peers []waxwingwall.Incarnation
				if rapid.Bool().Draw(t, "known") {
					peers = append(peers, peer)
				}
				m.s.SetPeers(m.now, peers)
			},
			"demand": func(t *rapid.T) { m.demand(t, peer) },
		})
		m.finishAll()
	})
}

// finishAll completes all running attempts and checks that every request ended.
func (m *machine) finishAll() {
	m.s.SetPeers(m.now, nil)
	for i := range m.specs {
		m.specs[i].Leaving = false
	}
	m.s.SetEndpoints(m.now, m.specs)
	for range 400 {
		m.advance(50 * time.Millisecond)
		for _, id := range m.running() {
			m.finish(*m.requests[id].running, sched.None)
		}
	}
	for _, id := range m.order {
		if !m.requests[id].ended {
			m.t.Fatalf("%v did not end", id)
		}
	}
}

// When one rank is overloaded, the other ranks keep their floors while they
// have work.
func TestFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		three := []sched.RankSpec{ranks[0], ranks[0], ranks[1]}
		three[1].Level = 1
		sum := 0.0
		for i := range three {
			three[i].FirstToken = time.Minute
			three[i].Floor = rapid.Float64Range(0, 0.33).Draw(t, "floor")
			sum += three[i].Floor
		}
		r := &rig{
			s:   sched.New(),
			now: start,
		}
		r.s.SetRanks(three)
		r.s.SetEndpoints(r.now, endpoints(5))
		flood := waxwingwall.Rank(rapid.IntRange(0, 2).Draw(t, "flood"))
		held := [3]float64{}
		const rounds, warm = 60, 20
		for i := range rounds {
			for level := range waxwingwall.Rank(3) {
				n := 4
				if level == flood {
					n = 20
				}
				for range n {
					r.offer(waxwingwall.Account(fmt.Sprint("account-", level)), level)
				}
			}
			for k, rank := range r.s.Dump().Pools[0].Ranks {
				if i >= warm {
					held[k] += float64(rank.InFlight) / (rounds - warm)
				}
			}
			done := r.dispatches
			r.dispatches = nil
			r.now = r.now.Add(time.Second)
			for _, d := range done {
				r.finish(d, sched.None)
			}
		}
		for k, spec := range three {
			want := min(spec.Floor*5*slots, 4)
			if held[k] < want-1 {
				t.Errorf("rank %d holds %.2f slots, floor %.2f, while rank %d is overloaded", k, held[k], want, flood)
			}
		}
	})
}
