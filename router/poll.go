package router

import (
	"context"
	"time"

	"waxwingwall/core/config"
	"waxwingwall/core/member"
	"waxwingwall/core/sched"
)

// loadPause is the time between two looks at the load of an endpoint; each
// look takes the next endpoint in turn, so that a router's cost does not grow
// with the number of endpoints.
const loadPause = 50 * time.Millisecond

// loadTimeout bounds one look at an endpoint's load.
const loadTimeout = time.Second

// pollMembers looks at the platform's list of VMs.
func (r *Router) pollMembers() {
	ticker := time.NewTicker(r.settings.Timing.Members)
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

// listMembers posts the platform's list. If the first look fails, the seeds of
// the settings stand in for it.
func (r *Router) listMembers() {
	ctx, cancel := context.WithTimeout(r.ctx, r.settings.Platform.Timeout)
	defer cancel()
	members, err := r.platform.ListMembers(ctx)
	if err != nil {
		if r.listed.Load() {
			return
		}
		members = r.settings.Router.Seeds
	}
	r.listed.Store(true)
	for _, m := range members {
		r.links.SetAddress(m.VM, m.Address)
	}
	r.post(member.Listed{
		Members: members,
	})
}

// pollLoad looks at the load of the model endpoints, one after the other.
func (r *Router) pollLoad() {
	ticker := time.NewTicker(loadPause)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		if e, ok := r.nthModel(i); ok {
			r.goDo(func() { r.load(e) })
		}
	}
}

// nthModel returns the i-th endpoint, counted round, if it is a model's.
func (r *Router) nthModel(i int) (config.Endpoint, bool) {
	s := r.snapshot.Load()
	if s == nil || len(s.Document.Endpoints) == 0 {
		return config.Endpoint{}, false
	}
	e := s.Document.Endpoints[i%len(s.Document.Endpoints)]
	return e, e.Kind == config.ModelKind
}

// load posts what an endpoint says of its load.
func (r *Router) load(e config.Endpoint) {
	ctx, cancel := context.WithTimeout(r.ctx, loadTimeout)
	defer cancel()
	l, err := r.runner.Load(ctx, e.Address)
	if err != nil {
		return
	}
	r.post(sched.LoadReport{
		Endpoint:  e.Name,
		Running:   l.Running,
		Waiting:   l.Waiting,
		TokenRate: l.TokenRate,
		At:        l.At,
	})
}
