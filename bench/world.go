package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/sched"
)

// Timing of the simulated routers. progressTokens is the number of tokens per
// progress report. The other routers notice the kill of a router after
// failureDetectionTime, and it boots again routerRestartDelay after the kill.
// settleTime is the time after the measurement window in which requests may still
// end.
const (
	tickInterval         = 10 * time.Millisecond
	progressTokens       = 8
	failureDetectionTime = 500 * time.Millisecond
	routerRestartDelay   = 5 * time.Second
	settleTime           = 25 * time.Second
)

// world is the state of one simulation run.
type world struct {
	clock
	rng          *rand.Rand
	site         Site
	scenario     Scenario
	newPolicy    PolicyFunc
	seed         uint64
	engines      []*engine
	routers      []*router
	meter        *meter
	reportDelay  time.Duration
	partitioned  bool
	store        store
	openRequests []*request
}

// router is one simulated router. liveInView is its state in the view of the
// other routers, which lags behind live.
type router struct {
	world       *world
	incarnation waxwingwall.Incarnation
	policy      Policy
	live        bool
	liveInView  bool
	runs        map[waxwingwall.Identity]*run
	conns       []connPool
}

// connPool holds a router's connections to one endpoint, numbered in the order
// of opening. Those up to newestSilent are silent: of each request sent on one,
// either the request or the answer is lost, each with probability 1/2.
type connPool struct {
	newest       int
	newestSilent int
}

func newWorld(site Site, scenario Scenario, p PolicyFunc, seed uint64) *world {
	w := &world{
		rng:         rand.New(rand.NewPCG(seed, 0xbe)),
		site:        site,
		scenario:    scenario,
		newPolicy:   p,
		seed:        seed,
		reportDelay: 500 * time.Millisecond,
	}
	w.now = epoch
	w.meter = newMeter(w)
	w.addEngines()
	for i := range site.Routers {
		w.routers = append(w.routers, &router{
			world: w,
		})
		w.bootRouter(i)
	}
	w.updatePeers()
	return w
}

func (w *world) addEngines() {
	for i := range w.site.Models + w.site.Services {
		spec := sched.EndpointSpec{
			Name:        waxwingwall.Endpoint(fmt.Sprintf("model-%d", i)),
			Domain:      waxwingwall.Domain(fmt.Sprintf("domain-%d", i%w.site.Domains)),
			Models:      []waxwingwall.Model{draftModel},
			Concurrency: modelSlots,
			TokenRate:   modelSlots / (stepBase + modelSlots*stepPerRequest).Seconds(),
		}
		if i >= w.site.Models {
			spec.Name = waxwingwall.Endpoint(fmt.Sprintf("plain-%d", i-w.site.Models))
			spec.Models = []waxwingwall.Model{orderModel}
			spec.Service = true
			spec.Concurrency = serviceSlots
			spec.TokenRate = 0
		}
		e := &engine{
			world:    w,
			spec:     spec,
			slowdown: 1,
		}
		w.engines = append(w.engines, e)
		w.every(loadReportInterval, func() bool {
			w.broadcastLoad(e.loadReport(loadReportInterval))
			return true
		})
	}
}

// broadcastLoad delivers a load report to all routers after reportDelay.
func (w *world) broadcastLoad(rep sched.LoadReport) {
	w.after(w.reportDelay, func() {
		for _, r := range w.routers {
			r.step(rep)
		}
	})
}

func (w *world) endpointSpecs() []sched.EndpointSpec {
	var specs []sched.EndpointSpec
	for _, e := range w.engines {
		specs = append(specs, e.spec)
	}
	return specs
}

// bootRouter starts router i with a new incarnation.
func (w *world) bootRouter(i int) {
	r := w.routers[i]
	r.incarnation = waxwingwall.Incarnation{
		VM:   waxwingwall.VM(fmt.Sprintf("vm-%d", i)),
		Boot: w.now.UnixMilli(),
	}
	r.live = true
	r.liveInView = true
	r.runs = map[waxwingwall.Identity]*run{}
	r.conns = make([]connPool, len(w.engines))
	for at := range r.conns {
		r.conns[at].newest = 1
	}
	r.policy = w.newPolicy(Setup{
		Self:      r.incarnation,
		Seed:      w.seed*100 + uint64(i),
		Ranks:     Ranks(),
		Accounts:  w.site.accountSpecs(),
		Endpoints: w.endpointSpecs(),
		Now:       w.now,
		store:     &w.store,
	})
	if f, ok := r.policy.(interface{ usesFIFO() bool }); ok && f.usesFIFO() {
		for _, e := range w.engines {
			e.fifo = true
		}
	}
	incarnation := r.incarnation
	w.every(tickInterval, func() bool {
		if r.incarnation != incarnation {
			return false
		}
		r.step(effect.Tick{})
		return r.live
	})
}

// updatePeers gives each router the list of the others that are live in the
// routers' view.
func (w *world) updatePeers() {
	for _, r := range w.routers {
		var peers []waxwingwall.Incarnation
		for _, p := range w.routers {
			if p != r && p.liveInView {
				peers = append(peers, p.incarnation)
			}
		}
		if r.live {
			r.policy.SetPeers(w.now, peers)
		}
	}
}

// killRouter stops a router. The others detect this after failureDetectionTime,
// and it boots again after routerRestartDelay.
func (w *world) killRouter(i int) {
	r := w.routers[i]
	r.live = false
	for _, req := range w.openRequests {
		if req.owner == r && !req.done {
			req.handleConnectionLoss()
		}
	}
	for _, x := range r.runs {
		w.cancelAtEngine(x)
	}
	w.after(failureDetectionTime, func() {
		r.liveInView = false
		w.updatePeers()
	})
	w.after(routerRestartDelay, func() {
		w.bootRouter(i)
		w.updatePeers()
	})
}

func (w *world) cancelAtEngine(x *run) {
	if x.silent {
		return
	}
	e := x.engine()
	w.after(w.site.HopLatency, func() {
		if !x.ended {
			e.cancel(x)
		}
	})
}

func (x *run) engine() *engine {
	return x.router.world.engines[x.engineIndex]
}

// step passes an event to the router's policy and executes the actions.
func (r *router) step(ev effect.Event) {
	if !r.live {
		return
	}
	r.handleActions(r.policy.Step(r.world.now, ev))
}

func (r *router) handleActions(actions []effect.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case sched.Dispatch:
			r.dispatch(a)
		case sched.Cancel:
			r.cancel(a)
		case sched.Refuse:
			delete(r.runs, a.Identity)
			r.world.meter.handleRefuse(a)
		case effect.Send:
			r.send(a)
		}
	}
}

func (r *router) send(a effect.Send) {
	w := r.world
	from := r.incarnation
	w.meter.recordMessage(a.Message)
	if w.separated(from, a.To) {
		return
	}
	w.after(w.site.PeerLatency, func() {
		for _, p := range w.routers {
			if p.incarnation == a.To {
				p.step(effect.Received{
					From:    from,
					Message: a.Message,
				})
			}
		}
	})
}

func (r *router) dispatch(a sched.Dispatch) {
	w := r.world
	req := w.meter.requests[a.Identity]
	engineIndex := w.engineIndex(a.Endpoint)
	pool := &r.conns[engineIndex]
	if a.NewConnection && pool.newest <= pool.newestSilent {
		pool.newest = pool.newestSilent + 1
	}
	x := &run{
		req:         req,
		router:      r,
		attempt:     a.Attempt,
		callerTry:   req.tries,
		engineIndex: engineIndex,
		output:      req.output,
	}
	if a.Resume {
		x.generated = req.delivered
	}
	w.meter.recordDispatch(req, a)
	r.runs[a.Identity] = x
	silent := pool.newest <= pool.newestSilent
	x.silent = silent
	if silent && w.rng.IntN(2) == 0 {
		// The request is lost; otherwise its answer is.
		return
	}
	latency := w.site.HopLatency
	if a.NewConnection {
		latency += 2 * w.site.HopLatency
	}
	w.after(latency, func() {
		if !x.ended {
			w.engines[engineIndex].submit(x)
		}
	})
}

func (r *router) cancel(a sched.Cancel) {
	x := r.runs[a.Identity]
	if x == nil || x.attempt != a.Attempt {
		return
	}
	delete(r.runs, a.Identity)
	if a.Reason == sched.IdleTimeout {
		pool := &r.conns[x.engineIndex]
		if pool.newest <= pool.newestSilent {
			pool.newest = pool.newestSilent + 1
		}
	}
	r.world.cancelAtEngine(x)
}

func (w *world) engineIndex(name waxwingwall.Endpoint) int {
	for i, e := range w.engines {
		if e.spec.Name == name {
			return i
		}
	}
	return -1
}

// silence makes all open connections from a router to an endpoint silent. The
// answers of the running attempts are lost.
func (w *world) silence(r *router, engineIndex int) {
	r.conns[engineIndex].newestSilent = r.conns[engineIndex].newest
	for _, x := range r.runs {
		if x.engineIndex == engineIndex {
			x.silent = true
		}
	}
}

// deliverToken delivers a token from an engine to the router.
func (w *world) deliverToken(x *run) {
	if x.silent {
		return
	}
	n := x.generated
	w.after(w.site.HopLatency, func() {
		r := x.router
		if !r.live || r.runs[x.req.id] != x {
			return
		}
		w.meter.recordToken(x.req, n)
		if x.req.delivered < n {
			x.req.delivered = n
		}
		switch {
		case n == 1 || !x.firstTokenReported:
			x.firstTokenReported = true
			r.step(sched.FirstToken{
				Identity: x.req.id,
				Attempt:  x.attempt,
			})
		case n%progressTokens == 0:
			r.step(sched.Progress{
				Identity: x.req.id,
				Attempt:  x.attempt,
				Tokens:   waxwingwall.Tokens(n),
			})
		}
	})
}

// deliverFinished delivers the end of an attempt to the router.
func (w *world) deliverFinished(x *run, f sched.Failure) {
	if x.silent {
		return
	}
	n := x.generated
	w.after(w.site.HopLatency, func() {
		r := x.router
		if !r.live || r.runs[x.req.id] != x {
			return
		}
		delete(r.runs, x.req.id)
		if f == sched.None {
			w.meter.recordServed(x.req)
		}
		r.step(sched.Finished{
			Identity: x.req.id,
			Attempt:  x.attempt,
			Tokens:   waxwingwall.Tokens(n),
			Failure:  f,
		})
	})
}
