package sched

import (
	"net/http"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/limit"
)

// permitRetryDelay is the time after which a job asks again whose permit could not be used,
// and the least time after which it does so after a denial.
const permitRetryDelay = 50 * time.Millisecond

// SetRouters sets the number of all registered routers, with this one and those that are
// not live. Without it, the number of live routers counts.
func (s *Scheduler) SetRouters(n int) {
	s.routers = n
	s.updateLimiter()
}

// updateLimiter passes the routers to the limiter.
func (s *Scheduler) updateLimiter() {
	var live []waxwingwall.Incarnation
	for _, p := range s.peers {
		live = append(live, p.inc)
	}
	s.limits.SetPeers(live, max(s.routers, len(live)+1), true, false)
}

// lookupEndpoint is the limit.Lookup of the endpoints, which have no instances here.
func (s *Scheduler) lookupEndpoint(name waxwingwall.Endpoint) (born int64, usable, known bool) {
	e := s.byName[name]
	if e == nil {
		return 0, false, false
	}
	return 0, e.usable(s.now), true
}

// handleLimitNamed records the limit that an answer names.
func (s *Scheduler) handleLimitNamed(now time.Time, ev LimitNamed) {
	j := s.jobs[ev.Identity]
	if j == nil || j.endpoint == nil || j.attempt != ev.Attempt || j.pool == nil {
		return
	}
	s.limits.Observe(now, limit.Observation{
		Endpoint: j.endpoint.spec.Name,
		Pool:     j.pool.name,
		Seq:      j.limitSeq,
		Limit:    ev.Limit,
	})
}

// observeReport records the limit that a load report names. A report has no place in the
// order of the answers to requests, so it can only make a limit stricter.
func (s *Scheduler) observeReport(now time.Time, r LoadReport) {
	e := s.byName[r.Endpoint]
	if e == nil || !r.Limit.Named || len(e.spec.Models) == 0 {
		return
	}
	s.limits.Observe(now, limit.Observation{
		Endpoint: r.Endpoint,
		Pool:     s.byModel[e.spec.Models[0]].name,
		Limit:    r.Limit,
	})
}

// performLimits performs the actions of the limiter. They can cause others.
func (s *Scheduler) performLimits(now time.Time, actions []effect.Action) {
	for len(actions) > 0 {
		for _, a := range actions {
			switch a := a.(type) {
			case limit.Granted:
				s.handleGranted(now, a)
			case limit.Denied:
				s.handleDenied(now, a)
			default:
				s.pendingActions = append(s.pendingActions, a)
			}
		}
		actions = s.limits.Take()
	}
}

// prefersLimited reports whether a job should ask for a permit before it is dispatched to
// an endpoint without a limit: what a limited endpoint takes is used, and its answers show
// whether it still is limited.
func (s *Scheduler) prefersLimited(now time.Time, j *job, e *endpoint) bool {
	if j.attempt > 0 || now.Before(j.askAfter) || !s.limits.MayAsk(now, j.pool.name) {
		return false
	}
	for _, o := range j.pool.endpoints {
		if s.limits.Limited(o.spec.Name) && o.relativeLoad() < e.relativeLoad() && s.hasRoom(now, j, o) {
			return true
		}
	}
	return false
}

// askPermit asks for a permit for a job. If its model has no endpoint without a limit, the
// job may wait for the permit until its deadline.
func (s *Scheduler) askPermit(now time.Time, j *job) {
	if j.ask != 0 || now.Before(j.askAfter) {
		return
	}
	ask := limit.Ask{
		Pool:    j.pool.name,
		Rank:    j.work.Rank,
		Account: j.work.Account,
	}
	var best *endpoint
	// The limiter may still know endpoints of other pools under the name of this one.
	for _, e := range s.endpoints {
		switch {
		case !s.limits.Limited(e.spec.Name):
		case !s.hasRoom(now, j, e) || e == j.failedEndpoint || e == j.endpoint:
			ask.Exclude = append(ask.Exclude, e.spec.Name)
		case best == nil || e.relativeLoad() < best.relativeLoad():
			best = e
		}
	}
	if best == nil {
		return
	}
	if s.hasUnlimited(now, j) {
		if !s.limits.MayAsk(now, ask.Pool) {
			return
		}
	} else {
		ask.Wait = max(j.deadline.Sub(now)-j.flow.estimates.firstToken.duration(), 0)
	}
	ask.Prefer = best.spec.Name
	ask.ID = s.limits.NextID()
	j.ask = ask.ID
	s.asks[ask.ID] = j
	s.limits.Ask(now, ask)
}

// hasUnlimited reports whether a usable endpoint without a limit may run a job.
func (s *Scheduler) hasUnlimited(now time.Time, j *job) bool {
	for _, e := range j.pool.endpoints {
		if e.usable(now) && j.mayRunOn(e) && !s.limits.Limited(e.spec.Name) {
			return true
		}
	}
	return false
}

// handleGranted dispatches the job that a permit was granted for. An attempt that was
// idle is left only if it still is.
func (s *Scheduler) handleGranted(now time.Time, g limit.Granted) {
	j := s.asks[g.ID]
	delete(s.asks, g.ID)
	if j == nil {
		s.limits.GiveBack(now, g)
		return
	}
	j.ask = 0
	e := s.byName[g.Endpoint]
	stays := j.endpoint != nil && !(s.isIdle(now, j) && s.mayLeave(now, j))
	if stays || j.flow == nil || e == nil || !s.hasRoom(now, j, e) {
		j.askAfter = now.Add(permitRetryDelay)
		s.limits.GiveBack(now, g)
		return
	}
	if j.endpoint != nil {
		newConnection := !j.endpoint.lastActivity.After(j.dispatchedAt)
		s.pendingActions = append(s.pendingActions, s.leaveEndpoint(now, j))
		j.newConnection = newConnection
	}
	s.pendingActions = append(s.pendingActions, s.dispatch(now, j, e))
}

// handleDenied leaves a job in its queue if it may run elsewhere or has run before, and
// refuses it otherwise.
func (s *Scheduler) handleDenied(now time.Time, d limit.Denied) {
	j := s.asks[d.ID]
	delete(s.asks, d.ID)
	if j == nil {
		return
	}
	j.ask = 0
	j.askAfter = now.Add(max(d.RetryAfter, permitRetryDelay))
	if j.attempt > 0 || j.flow == nil || s.hasUnlimited(now, j) {
		return
	}
	s.drop(j)
	s.pendingActions = append(s.pendingActions, s.refuse(j, notRunProblem(http.StatusServiceUnavailable, "endpoints_limited",
		"The endpoints take no more requests now.", s.jittered(d.RetryAfter))))
}

// cancelAsk withdraws the pending ask of a job.
func (s *Scheduler) cancelAsk(j *job) {
	if j.ask == 0 {
		return
	}
	delete(s.asks, j.ask)
	s.limits.Cancel(s.now, j.ask)
	j.ask = 0
}
