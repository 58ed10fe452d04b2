package sched

import (
	"net/http"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/quarantine"
)

const (
	// maxAttempts bounds the dispatches of one request.
	maxAttempts = 4

	// Rest of an endpoint that failed, doubled with each failure in a row.
	minRest = 250 * time.Millisecond
	maxRest = 5 * time.Second

	// tidyEvery is how often queues are looked through and old entries
	// dropped.
	tidyEvery = 50 * time.Millisecond

	// reportLife is how old a load report may be to be of use.
	reportLife = 3 * time.Second

	// gapLife is how long the pace of an endpoint counts without new samples.
	gapLife = 5 * time.Second

	// lateTargets is by how many targets queued work must be expected to miss
	// its deadline to be refused after all.
	lateTargets = 4

	// maxCredit bounds the credit of a class, in slot seconds.
	maxCredit = 1.0

	// crowdedReports is the number of reports in a row that shrink a window.
	crowdedReports = 2

	// reportSamples is how many samples of the pace a load report counts for.
	reportSamples = 7

	// busyPart is the part of its slots, one in so many, that an endpoint has in
	// use if its reports are to tell its pace.
	busyPart = 4

	// resizeEvery is the least time between two changes of a window.
	resizeEvery = 500 * time.Millisecond
)

// Step tells the Scheduler of an event and returns what is to be done.
func (s *Scheduler) Step(now time.Time, ev effect.Event) []effect.Action {
	s.now = now
	var acts []effect.Action
	switch ev := ev.(type) {
	case FirstToken:
		s.alive(now, ev.Identity, ev.Attempt, 1)
	case Progress:
		s.alive(now, ev.Identity, ev.Attempt, ev.Tokens)
	case Finished:
		acts = s.finished(now, ev)
	case Report:
		s.reported(now, ev)
	case effect.Received:
		s.received(now, ev)
	case effect.Tick:
		acts = s.tick(now)
	}
	acts = append(acts, s.take()...)
	if s.changed {
		s.share(now)
	}
	acts = append(acts, s.pump(now)...)
	return append(acts, s.tell(now)...)
}

func (s *Scheduler) tick(now time.Time) []effect.Action {
	acts := s.watch(now)
	if now.Sub(s.lastTidy) < tidyEvery {
		return acts
	}
	s.lastTidy = now
	s.suspects.Expire(now)
	s.countForeign(now)
	s.dropIdle(now)
	s.heard = true
	for _, e := range s.endpoints {
		if now.Sub(e.paced) > gapLife {
			e.gap = mean{}
		}
	}
	s.changed = true
	return append(acts, s.giveUp(now)...)
}

// dropIdle forgets the flows that have nothing to remember.
func (s *Scheduler) dropIdle(now time.Time) {
	for _, p := range s.pools {
		for _, c := range p.classes {
			c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool {
				return f.wanted(now) < negligible && now.After(f.promised)
			})
		}
	}
}

// giveUp refuses queued work that will be far too late, because capacity was
// lost since its offer. What is a little late is served: to hold it and then
// refuse it would be worse.
func (s *Scheduler) giveUp(now time.Time) []effect.Action {
	var acts []effect.Action
	for _, p := range s.pools {
		for _, c := range p.classes {
			for _, f := range c.flows {
				acts = append(acts, s.giveUpFlow(now, f)...)
			}
		}
	}
	return acts
}

func (s *Scheduler) giveUpFlow(now time.Time, f *flow) []effect.Action {
	var acts []effect.Action
	for i := len(f.queue) - 1; i >= 0; i-- {
		j := f.queue[i]
		if j.attempt > 0 {
			continue
		}
		wait := s.wait(now, j, i+1)
		allowed := j.deadline.Add(lateTargets * j.class.spec.FirstToken)
		if !now.Add(wait).After(allowed) {
			continue
		}
		s.drop(j)
		f.refused.add(now)
		acts = append(acts, Refuse{
			Identity: j.work.Identity,
			Problem:  s.tooBusy(now, j, wait),
		})
	}
	return acts
}

// pump dispatches what the shares allow.
func (s *Scheduler) pump(now time.Time) []effect.Action {
	var acts []effect.Action
	for _, p := range s.pools {
		for {
			if j, e := s.next(now, p); j != nil {
				acts = append(acts, s.start(now, j, e))
				continue
			}
			a := s.preempt(now, p)
			if a == nil {
				break
			}
			acts = append(acts, a)
		}
	}
	return append(acts, s.take()...)
}

// next returns the next job of a pool to start, and where.
func (s *Scheduler) next(now time.Time, p *pool) (*job, *endpoint) {
	for _, c := range p.classes {
		if !p.mayStart(now, c) {
			continue
		}
		for _, f := range c.byNeed() {
			s.dropBlocked(now, f)
			if len(f.queue) == 0 {
				continue
			}
			if j, e := s.pick(now, f); e != nil {
				return j, e
			}
		}
	}
	return nil, nil
}

// mayStart reports whether the router's part of the pool leaves room for one
// more job of the class. A fraction of a slot is used part of the time: credit
// keeps account of it.
func (p *pool) mayStart(now time.Time, c *class) bool {
	room := p.room(c)
	c.settle(now, room)
	in := float64(c.inFlight)
	return in+1 <= room || in < room && c.credit >= 0
}

// room is the router's part of the pool that the class may use, in slots.
func (p *pool) room(c *class) float64 {
	room := c.granted + p.spare
	if c == p.classes[0] {
		room += p.headroom
	}
	return room
}

// settle adds to the credit what the class left unused since the last time,
// less what it used above its part.
func (c *class) settle(now time.Time, room float64) {
	if !c.settled.IsZero() {
		c.credit += (room - float64(c.inFlight)) * now.Sub(c.settled).Seconds()
		c.credit = min(max(c.credit, -maxCredit), maxCredit)
	}
	c.settled = now
}

// byNeed returns the flows with queued work, the one with the smallest part of
// its grant in use first.
func (c *class) byNeed() []*flow {
	var all []*flow
	for _, f := range c.flows {
		if len(f.queue) == 0 {
			continue
		}
		i := len(all)
		for i > 0 && f.use() < all[i-1].use() {
			i--
		}
		all = append(all, nil)
		copy(all[i+1:], all[i:])
		all[i] = f
	}
	return all
}

func (f *flow) use() float64 {
	return float64(f.inFlight) / max(f.granted, negligible)
}

// dropBlocked refuses quarantined work at the head of a queue.
func (s *Scheduler) dropBlocked(now time.Time, f *flow) {
	for s.suspects.Len() > 0 && len(f.queue) > 0 {
		j := f.queue[0]
		if !s.suspects.Blocked(now, j.work.Fingerprint) {
			return
		}
		s.drop(j)
		s.pending = append(s.pending, s.refuse(j, quarantined()))
	}
}

// refuse ends a job; it is not_run only if it never began.
func (s *Scheduler) refuse(j *job, p *waxwingwall.Problem) Refuse {
	if j.attempt > 0 {
		p.Outcome = waxwingwall.Unknown
	}
	return Refuse{
		Identity: j.work.Identity,
		Problem:  p,
	}
}

func (s *Scheduler) start(now time.Time, j *job, e *endpoint) effect.Action {
	j.flow.queue = removed(j.flow.queue, j)
	j.at = e
	j.attempt++
	j.dispatched = now
	j.progress = now
	j.began = false
	j.paced = false
	e.running = append(e.running, j)
	j.pool.inFlight++
	j.class.inFlight++
	j.flow.inFlight++
	s.unsent = true
	if j.attempt == 1 {
		s.retries.First()
		s.preemptions.First()
	}
	s.tellSuspect(now, j)
	return Dispatch{
		Identity: j.work.Identity,
		Attempt:  j.attempt,
		Endpoint: e.spec.Name,
		Resume:   j.tokens > 0,
		Fresh:    j.fresh || !j.work.Idempotent,
	}
}

// alive takes in a sign of life of an attempt.
func (s *Scheduler) alive(now time.Time, id waxwingwall.Identity, attempt int, tokens waxwingwall.Tokens) {
	j := s.jobs[id]
	if j == nil || j.at == nil || j.attempt != attempt {
		return
	}
	e := j.at
	e.lastSign = now
	e.failures = 0
	if !j.began {
		j.began = true
		j.tokens = max(j.tokens, tokens)
		if j.flow != nil {
			j.flow.learnt.firstToken.add(now.Sub(j.dispatched))
		}
	} else if n := tokens - j.tokens; n > 0 {
		// Tokens that come together tell nothing, nor those just after a
		// resumption, some of which are old.
		quiet := now.Sub(j.progress)
		if quiet > 0 && (j.attempt == 1 || j.paced) {
			s.pace(now, e, quiet/time.Duration(n))
		}
		j.paced = true
		j.tokens = tokens
	}
	j.progress = now
}

// pace takes in a time between two tokens of an endpoint.
func (s *Scheduler) pace(now time.Time, e *endpoint, gap time.Duration) {
	e.gap.add(gap)
	e.paced = now
	s.resize(now, e)
}

// resize fits an endpoint's window to the time between its tokens.
func (s *Scheduler) resize(now time.Time, e *endpoint) {
	if now.Sub(e.shrunk) < resizeEvery || len(s.ranks) == 0 {
		return
	}
	target := s.ranks[0].BetweenTokens
	full := float64(max(1, e.spec.Concurrency))
	old := e.window
	switch {
	case target == 0:
		return
	case e.gap.duration() > target:
		e.window = max(1, e.window-1)
	case e.gap.duration() < target*4/5:
		e.window = min(full, e.window+1)
	}
	if e.window != old {
		e.shrunk = now
		s.changed = true
	}
}

// reported takes in a load report. Reports in a row that show as many waiting
// as running requests, while fewer run than the endpoint is set for, show its
// true concurrency. Shorter lines form between the steps of a batch and tell
// nothing.
func (s *Scheduler) reported(now time.Time, r Report) {
	e := s.byName[r.Endpoint]
	if e == nil || now.Sub(r.At) > reportLife {
		return
	}
	busy := r.Running*busyPart >= max(1, e.spec.Concurrency)
	if r.TokenRate > 0 && busy && e.busy && !e.spec.Service {
		// A report speaks for all streams over some time, in which an endpoint
		// that was not busy may have been idle.
		gap := time.Duration(float64(r.Running) / r.TokenRate * float64(time.Second))
		for range reportSamples {
			s.pace(now, e, gap)
		}
	}
	e.busy = busy
	if r.Running == 0 || r.Waiting < r.Running || float64(r.Running) >= e.window {
		e.crowded = 0
		return
	}
	e.crowded++
	if e.crowded >= crowdedReports {
		e.window = float64(r.Running)
		e.shrunk = now
		s.changed = true
	}
}

// finished takes in the end of an attempt.
func (s *Scheduler) finished(now time.Time, ev Finished) []effect.Action {
	j := s.jobs[ev.Identity]
	if j == nil || j.at == nil || j.attempt != ev.Attempt {
		return nil
	}
	e := j.at
	j.tokens = max(j.tokens, ev.Tokens)
	if ev.Failure == None || ev.Failure == Cancelled {
		if ev.Failure == None {
			s.succeeded(now, j, e)
		}
		s.drop(j)
		return nil
	}
	if ev.Failure != Silent || j.fresh {
		e.rest(now)
	}
	var acts []effect.Action
	if ev.Failure == Crashed {
		acts = s.crashed(now, j, e)
	}
	return append(acts, s.failed(now, j, ev.Failure)...)
}

func (s *Scheduler) succeeded(now time.Time, j *job, e *endpoint) {
	e.lastSign = now
	e.failures = 0
	if j.flow != nil && j.attempt == 1 {
		j.flow.learnt.slotTime.add(now.Sub(j.dispatched))
	}
}

// rest keeps an endpoint that failed from getting new work for a while.
func (e *endpoint) rest(now time.Time) {
	if now.Before(e.restUntil) {
		return
	}
	d := min(minRest<<min(e.failures, 10), maxRest)
	e.failures++
	e.restUntil = now.Add(d)
}

// crashed counts a crash and tells the peers at once.
func (s *Scheduler) crashed(now time.Time, j *job, e *endpoint) []effect.Action {
	n, fresh := s.suspects.Crash(now, s.self, j.work.Fingerprint, e.spec.Name)
	if !fresh || s.self.IsZero() {
		return nil
	}
	return s.sendDemand(now, []quarantine.Notice{n})
}

// failed dispatches a failed job again if it may run again, or ends it.
func (s *Scheduler) failed(now time.Time, j *job, f Failure) []effect.Action {
	e := j.at
	s.leave(j)
	s.changed = true
	s.unsent = true
	if s.repeatable(now, j) {
		s.retries.Take()
		j.avoid = e
		j.fresh = f == Silent && !e.lastSign.After(j.dispatched)
		j.queued = now
		j.flow.queue = append([]*job{j}, j.flow.queue...)
		return nil
	}
	s.drop(j)
	if s.suspects.Blocked(now, j.work.Fingerprint) {
		return []effect.Action{s.refuse(j, quarantined())}
	}
	p := notRun(http.StatusBadGateway, "endpoint_failed",
		"The endpoint failed while it ran the request.", s.jittered(idleRetryAfter))
	if f == Rejected && j.attempt == 1 {
		p.Status = http.StatusServiceUnavailable
		return []effect.Action{Refuse{
			Identity: j.work.Identity,
			Problem:  p,
		}}
	}
	if !j.work.Idempotent {
		p.RetryAfter = 0
	}
	return []effect.Action{s.refuse(j, p)}
}

// repeatable reports whether the job may be dispatched once more.
func (s *Scheduler) repeatable(now time.Time, j *job) bool {
	if !j.work.Idempotent || j.flow == nil || j.attempt >= maxAttempts {
		return false
	}
	if s.suspects.Blocked(now, j.work.Fingerprint) {
		return false
	}
	return s.retries.Left() >= 1
}
