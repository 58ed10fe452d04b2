package router

import (
	"context"
	"time"

	"waxwingwall/core/config"
	"waxwingwall/core/member"
	"waxwingwall/core/sched"
)

// loadInterval is the time between two load queries. Each query goes to the
// next endpoint in turn, so that a router's cost does not grow with the number
// of endpoints.
const loadInterval = 50 * time.Millisecond

// loadTimeout limits one load query.
const loadTimeout = time.Second

// pollMembers periodically reads the platform's member list.
func (r *Router) pollMembers() {
	ticker := time.NewTicker(r.settings.Timing.MembersInterval)
	defer ticker.Stop()
	for {
		r.listMembers()
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// listMembers reads the platform's member list and posts it. If the first read
// fails, it posts the seeds of the settings instead.
func (r *Router) listMembers() {
	ctx, cancel := context.WithTimeout(r.ctx, r.settings.Platform.Timeout)
	defer cancel()
	members, err := r.platform.ListMembers(ctx)
	if err != nil {
		if r.membersPosted.Load() {
			return
		}
		members = r.settings.Router.Seeds
	}
	r.membersPosted.Store(true)
	for _, m := range members {
		r.links.SetAddress(m.VM, m.Address)
	}
	r.post(member.Listed{
		Members: members,
	})
}

// pollLoad queries the load of the model endpoints in turn.
func (r *Router) pollLoad() {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		if e, ok := r.nthModelEndpoint(i); ok {
			r.spawn(func() { r.postLoad(e) })
		}
	}
}

// nthModelEndpoint returns endpoint i modulo the number of endpoints, if it
// serves models.
func (r *Router) nthModelEndpoint(i int) (config.Endpoint, bool) {
	s := r.snapshot.Load()
	if s == nil || len(s.Document.Endpoints) == 0 {
		return config.Endpoint{}, false
	}
	e := s.Document.Endpoints[i%len(s.Document.Endpoints)]
	return e, e.Kind == config.ModelKind
}

// postLoad queries the load of an endpoint and posts it.
func (r *Router) postLoad(e config.Endpoint) {
	ctx, cancel := context.WithTimeout(r.ctx, loadTimeout)
	defer cancel()
	l, err := r.runner.Load(ctx, e.Address)
	if err != nil {
		return
	}
	limit, _ := r.parseLimit(e.Name, l.Limit)
	r.post(sched.LoadReport{
		Endpoint:  e.Name,
		Running:   l.Running,
		Waiting:   l.Waiting,
		TokenRate: l.TokenRate,
		At:        l.At,
		Limit:     limit,
	})
}
