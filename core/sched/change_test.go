package sched_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/sched"
)

// pending is the test's record of a request beside changes of the tables.
type pending struct {
	idempotent bool
	attempt    int
	endpoint   waxwingwall.Endpoint
	tokens     waxwingwall.Tokens
	held       bool
	answers    bool
	mayHaveRun bool
	ends       int
}

// changer changes the tables of a scheduler at any time.
type changer struct {
	t        *rapid.T
	s        *sched.Scheduler
	now      time.Time
	specs    []sched.EndpointSpec
	requests map[waxwingwall.Identity]*pending
	order    []waxwingwall.Identity
}

func (c *changer) step(ev effect.Event) {
	for _, a := range c.s.Step(c.now, ev) {
		switch a := a.(type) {
		case sched.Dispatch:
			c.dispatched(a)
		case sched.Cancel:
			p := c.requests[a.Identity]
			if p.ends > 0 || p.endpoint == "" || p.attempt != a.Attempt || p.held {
				c.t.Fatalf("%v: attempt %d is cancelled, which isn't running", a.Identity, a.Attempt)
			}
			p.endpoint = ""
			p.mayHaveRun = true
		case sched.Refuse:
			c.refused(a)
		}
	}
}

func (c *changer) dispatched(d sched.Dispatch) {
	p := c.requests[d.Identity]
	if p.ends > 0 || p.endpoint != "" || p.attempt+1 != d.Attempt {
		c.t.Fatalf("%v: attempt %d is dispatched after attempt %d, at %q, %d ends", d.Identity, d.Attempt, p.attempt, p.endpoint, p.ends)
	}
	if p.mayHaveRun && !p.idempotent {
		c.t.Fatalf("%v is not idempotent and may run twice", d.Identity)
	}
	known := false
	for _, e := range c.specs {
		known = known || e.Name == d.Endpoint && !e.Leaving && e.Version == d.Version
	}
	if !known {
		c.t.Fatalf("%v is dispatched to %s, which takes nothing", d.Identity, d.Endpoint)
	}
	p.attempt = d.Attempt
	p.endpoint = d.Endpoint
	p.answers = false
	p.held = d.Attempt == 1
	if p.held {
		c.s.Hold(d.Identity)
	}
}

// start sends a request whose begin is recorded.
func (c *changer) start(id waxwingwall.Identity) {
	c.requests[id].held = false
	c.s.Start(c.now, id)
}

func (c *changer) refused(r sched.Refuse) {
	p := c.requests[r.Identity]
	p.ends++
	if p.ends > 1 || p.endpoint != "" {
		c.t.Fatalf("%v: refused with %d ends, at %q", r.Identity, p.ends, p.endpoint)
	}
	if p.mayHaveRun && r.Problem.Outcome == waxwingwall.NotRun {
		c.t.Fatalf("%v may have run and is refused as not run: %s", r.Identity, r.Problem.Code)
	}
}

func (c *changer) offer(t *rapid.T) {
	id := waxwingwall.Identity{
		Account: rapid.SampledFrom([]waxwingwall.Account{"a", "b"}).Draw(t, "account"),
		Key:     fmt.Sprint(len(c.order)),
	}
	p := &pending{
		idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0,
	}
	c.requests[id] = p
	c.order = append(c.order, id)
	v := c.s.Offer(c.now, sched.Work{
		Identity:    id,
		Account:     id.Account,
		Rank:        rapid.SampledFrom([]waxwingwall.Rank{0, 2}).Draw(t, "rank"),
		Model:       rapid.SampledFrom([]waxwingwall.Model{"drafts", "letters"}).Draw(t, "model"),
		Idempotent:  p.idempotent,
		Fingerprint: rapid.Uint64Range(0, 20).Draw(t, "fingerprint"),
		MaxOutput:   100,
	})
	if v.Decision == sched.Refused {
		p.ends++
	}
	c.step(effect.Tick{})
}

// setEndpoints draws which endpoints there are, and what they take.
func (c *changer) setEndpoints(t *rapid.T) {
	c.specs = nil
	for i, e := range endpoints(3) {
		kind := rapid.IntRange(0, 5).Draw(t, fmt.Sprint("endpoint", i))
		if kind == 0 {
			continue
		}
		e.Leaving = kind == 1
		e.Concurrency = rapid.IntRange(1, slots).Draw(t, "concurrency")
		e.Version = rapid.SampledFrom([]string{"v1", "v1", "v2"}).Draw(t, "version")
		e.Models = rapid.SampledFrom([][]waxwingwall.Model{
			{"drafts"}, {"letters"}, {"drafts", "letters"},
		}).Draw(t, "models")
		c.specs = append(c.specs, e)
	}
	c.s.SetEndpoints(c.now, c.specs)
	c.maybeStep(t)
}

// setRanks draws which ranks there are, and their targets.
func (c *changer) setRanks(t *rapid.T) {
	var specs []sched.RankSpec
	for i, r := range ranks {
		kind := rapid.IntRange(0, 3).Draw(t, fmt.Sprint("rank", i))
		if kind == 1 {
			r.FirstToken /= 20
			r.BetweenTokens = 0
		}
		if kind > 0 {
			specs = append(specs, r)
		}
	}
	c.s.SetRanks(specs)
	c.maybeStep(t)
}

// maybeStep steps the scheduler after a change, or leaves that to the next event.
func (c *changer) maybeStep(t *rapid.T) {
	if rapid.Bool().Draw(t, "step") {
		c.step(effect.Tick{})
	}
}

func (c *changer) running() []waxwingwall.Identity {
	var ids []waxwingwall.Identity
	for _, id := range c.order {
		if p := c.requests[id]; p.endpoint != "" && p.ends == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *changer) pick(t *rapid.T) (waxwingwall.Identity, *pending) {
	ids := c.running()
	if len(ids) == 0 {
		t.Skip("no attempt is running")
	}
	id := rapid.SampledFrom(ids).Draw(t, "running")
	c.start(id)
	return id, c.requests[id]
}

func (c *changer) finish(id waxwingwall.Identity, f sched.Failure, wait time.Duration) {
	p := c.requests[id]
	p.endpoint = ""
	if f == sched.Declined && p.answers {
		f = sched.Broken
	}
	p.mayHaveRun = p.mayHaveRun || f != sched.Declined
	if f == sched.None {
		p.ends++
	}
	c.step(sched.Finished{
		Identity:   id,
		Attempt:    p.attempt,
		Tokens:     p.tokens,
		Failure:    f,
		RetryAfter: wait,
	})
}

func (c *changer) progress(t *rapid.T) {
	id, p := c.pick(t)
	p.tokens++
	p.answers = true
	p.mayHaveRun = true
	c.step(sched.Progress{
		Identity: id,
		Attempt:  p.attempt,
		Tokens:   p.tokens,
	})
}

func (c *changer) nameLimit(t *rapid.T) {
	id, p := c.pick(t)
	c.step(sched.LimitNamed{
		Identity: id,
		Attempt:  p.attempt,
		Limit: waxwingwall.RateLimit{
			Named: rapid.Bool().Draw(t, "named"),
			Rate:  rapid.Float64Range(0, 20).Draw(t, "rate"),
		},
	})
}

func (c *changer) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(min(50*time.Millisecond, end.Sub(c.now)))
		c.step(effect.Tick{})
	}
}

// TestChangesLeaveNoRequestWithoutEnd guards against a request that neither ends nor is
// refused, ends twice or ends as not run though it may have run, because endpoints, models,
// ranks or limits change while it is queued or runs, or as its attempt fails.
func TestChangesLeaveNoRequestWithoutEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &changer{
			t:        t,
			s:        sched.New(sched.WithSelf(waxwingwall.Incarnation{VM: "self", Boot: 1})),
			now:      start,
			specs:    endpoints(3),
			requests: map[waxwingwall.Identity]*pending{},
		}
		c.s.SetRanks(ranks)
		c.s.SetEndpoints(c.now, c.specs)
		failures := []sched.Failure{sched.None, sched.None, sched.Crashed, sched.IdleTimeout, sched.Declined, sched.Broken}
		waits := []time.Duration{0, 0, 300 * time.Millisecond, 3 * time.Second}
		t.Repeat(map[string]func(*rapid.T){
			"offer":     c.offer,
			"offer2":    c.offer,
			"endpoints": c.setEndpoints,
			"ranks":     c.setRanks,
			"accounts":  func(*rapid.T) { c.s.SetAccounts(nil) },
			"progress":  c.progress,
			"limit":     c.nameLimit,
			"pass": func(t *rapid.T) {
				c.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"finish": func(t *rapid.T) {
				id, _ := c.pick(t)
				c.finish(id, rapid.SampledFrom(failures).Draw(t, "failure"), rapid.SampledFrom(waits).Draw(t, "wait"))
			},
			"withdraw": func(t *rapid.T) {
				id, p := c.pick(t)
				c.s.Withdraw(c.now, id)
				p.ends++
				p.endpoint = ""
			},
		})
		c.endAll()
	})
}

// endAll ends the running attempts, changes nothing more, and checks that each request ends.
func (c *changer) endAll() {
	for range 8 {
		for _, id := range c.running() {
			c.start(id)
			c.finish(id, sched.None, 0)
		}
		c.pass(10 * time.Second)
	}
	for _, id := range c.order {
		if p := c.requests[id]; p.ends != 1 {
			c.t.Fatalf("%v: %d ends, attempt %d at %q", id, p.ends, p.attempt, p.endpoint)
		}
	}
}

// TestNewDispatchIsNotPreempted guards against a request that is dispatched and preempted in
// the same step: the driver, which has yet to record it, starts an attempt that the scheduler
// has given up, or refuses the request as unknown at the next one.
func TestNewDispatchIsNotPreempted(t *testing.T) {
	r := newRig()
	one := endpoints(1)
	one[0].Concurrency = 3
	r.s.SetEndpoints(r.now, one)
	suspect := func(w *sched.Work) { w.Fingerprint = 7 }
	r.offer("shop", 0, suspect)
	r.finish(r.last(), sched.Crashed)
	r.now = r.now.Add(300 * time.Millisecond)
	for range 3 {
		r.offer("shop", 0, suspect)
	}
	r.now = r.now.Add(100 * time.Millisecond)
	r.offer("shop", 2, func(w *sched.Work) { w.Idempotent = true })
	for _, c := range r.cancels {
		t.Errorf("%v is cancelled; dispatches %+v", c.Identity, r.dispatches)
	}
}
