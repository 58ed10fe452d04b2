package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/sched"
)

// Periods of the routers and of what is around them.
const (
	tickEvery     = 10 * time.Millisecond
	progressEvery = 8
	detectDeath   = 500 * time.Millisecond
	bootAfter     = 5 * time.Second
	drainTime     = 25 * time.Second
)

// world is one run of the model.
type world struct {
	clock
	rng     *rand.Rand
	site    Site
	sc      Scenario
	policy  PolicyFunc
	seed    uint64
	engines []*engine
	routers []*router
	meter   *meter
	lag     time.Duration
	cut     bool
	store   store
	live    []*request
}

// router is one router of the modelled fleet.
type router struct {
	world *world
	inc   waxwingwall.Incarnation
	pol   Policy
	alive bool
	known bool
	runs  map[waxwingwall.Identity]*run
	conns []connPool
}

// connPool is a router's connections to one endpoint. Those opened up to
// silent carry nothing any more.
type connPool struct {
	current int
	silent  int
}

func newWorld(site Site, sc Scenario, p PolicyFunc, seed uint64) *world {
	w := &world{
		rng:    rand.New(rand.NewPCG(seed, 0xbe)),
		site:   site,
		sc:     sc,
		policy: p,
		seed:   seed,
		lag:    500 * time.Millisecond,
	}
	w.now = epoch
	w.meter = newMeter(w)
	w.addEngines()
	for i := range site.Routers {
		w.routers = append(w.routers, &router{
			world: w,
		})
		w.boot(i)
	}
	w.tellPeers()
	return w
}

func (w *world) addEngines() {
	for i := range w.site.Models + w.site.Services {
		spec := sched.EndpointSpec{
			Name:        waxwingwall.Endpoint(fmt.Sprintf("model-%d", i)),
			Domain:      waxwingwall.Domain(fmt.Sprintf("domain-%d", i%w.site.Domains)),
			Models:      []waxwingwall.Model{model},
			Concurrency: modelSlots,
			TokenRate:   modelSlots / (stepBase + modelSlots*stepPerRequest).Seconds(),
		}
		if i >= w.site.Models {
			spec.Name = waxwingwall.Endpoint(fmt.Sprintf("plain-%d", i-w.site.Models))
			spec.Models = []waxwingwall.Model{orders}
			spec.Service = true
			spec.Concurrency = serviceSlots
			spec.TokenRate = 0
		}
		e := &engine{
			world: w,
			spec:  spec,
			slow:  1,
		}
		w.engines = append(w.engines, e)
		w.every(reportEvery, func() bool {
			w.spread(e.report(reportEvery))
			return true
		})
	}
}

// spread brings a load report to all routers, late.
func (w *world) spread(rep sched.LoadReport) {
	w.after(w.lag, func() {
		for _, r := range w.routers {
			r.step(rep)
		}
	})
}

func (w *world) specs() []sched.EndpointSpec {
	var specs []sched.EndpointSpec
	for _, e := range w.engines {
		specs = append(specs, e.spec)
	}
	return specs
}

// boot starts a new life of router i.
func (w *world) boot(i int) {
	r := w.routers[i]
	r.inc = waxwingwall.Incarnation{
		VM:   waxwingwall.VM(fmt.Sprintf("vm-%d", i)),
		Boot: w.now.UnixMilli(),
	}
	r.alive = true
	r.known = true
	r.runs = map[waxwingwall.Identity]*run{}
	r.conns = make([]connPool, len(w.engines))
	for at := range r.conns {
		r.conns[at].current = 1
	}
	r.pol = w.policy(Setup{
		Self:      r.inc,
		Seed:      w.seed*100 + uint64(i),
		Ranks:     Ranks(),
		Accounts:  w.site.accountSpecs(),
		Endpoints: w.specs(),
		Now:       w.now,
		store:     &w.store,
	})
	if f, ok := r.pol.(interface{ firstCome() bool }); ok && f.firstCome() {
		for _, e := range w.engines {
			e.fifo = true
		}
	}
	life := r.inc
	w.every(tickEvery, func() bool {
		if r.inc != life {
			return false
		}
		r.step(effect.Tick{})
		return r.alive
	})
}

// tellPeers gives each router the list of the others that are known to live.
func (w *world) tellPeers() {
	for _, r := range w.routers {
		var peers []waxwingwall.Incarnation
		for _, p := range w.routers {
			if p != r && p.known {
				peers = append(peers, p.inc)
			}
		}
		if r.alive {
			r.pol.SetPeers(w.now, peers)
		}
	}
}

// kill ends a router; the others learn of it later, and a new one boots.
func (w *world) kill(i int) {
	r := w.routers[i]
	r.alive = false
	for _, q := range w.live {
		if q.owner == r && !q.done {
			q.lostOwner()
		}
	}
	for _, x := range r.runs {
		w.cancelAtEngine(x)
	}
	w.after(detectDeath, func() {
		r.known = false
		w.tellPeers()
	})
	w.after(bootAfter, func() {
		w.boot(i)
		w.tellPeers()
	})
}

func (w *world) cancelAtEngine(x *run) {
	if x.deaf {
		return
	}
	e := x.engine()
	w.after(w.site.HopLatency, func() {
		if !x.gone {
			e.cancel(x)
		}
	})
}

func (x *run) engine() *engine {
	return x.router.world.engines[x.conn]
}

// step tells the router's policy of an event and carries out its actions.
func (r *router) step(ev effect.Event) {
	if !r.alive {
		return
	}
	r.act(r.pol.Step(r.world.now, ev))
}

func (r *router) act(acts []effect.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case sched.Dispatch:
			r.dispatch(a)
		case sched.Cancel:
			r.cancel(a)
		case sched.Refuse:
			delete(r.runs, a.Identity)
			r.world.meter.refuse(a)
		case effect.Send:
			r.send(a)
		}
	}
}

func (r *router) send(a effect.Send) {
	w := r.world
	from := r.inc
	w.meter.sent(a.Message)
	if w.cutBetween(from, a.To) {
		return
	}
	w.after(w.site.PeerLatency, func() {
		for _, p := range w.routers {
			if p.inc == a.To {
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
	q := w.meter.requests[a.Identity]
	at := w.engineIndex(a.Endpoint)
	pool := &r.conns[at]
	if a.NewConnection && pool.current <= pool.silent {
		pool.current = pool.silent + 1
	}
	x := &run{
		req:     q,
		router:  r,
		attempt: a.Attempt,
		try:     q.tries,
		conn:    at,
		output:  q.output,
	}
	if a.Resume {
		x.emitted = q.delivered
	}
	w.meter.dispatched(q, a)
	r.runs[a.Identity] = x
	silent := pool.current <= pool.silent
	x.deaf = silent
	if silent && w.rng.IntN(2) == 0 {
		return
	}
	latency := w.site.HopLatency
	if a.NewConnection {
		latency += 2 * w.site.HopLatency
	}
	w.after(latency, func() {
		if !x.gone {
			w.engines[at].submit(x)
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
		pool := &r.conns[x.conn]
		if pool.current <= pool.silent {
			pool.current = pool.silent + 1
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

// silence makes all connections of a router to an endpoint carry nothing more.
func (w *world) silence(r *router, at int) {
	r.conns[at].silent = r.conns[at].current
	for _, x := range r.runs {
		if x.conn == at {
			x.deaf = true
		}
	}
}

// token brings a token from an engine to the caller.
func (w *world) token(x *run) {
	if x.deaf {
		return
	}
	n := x.emitted
	w.after(w.site.HopLatency, func() {
		r := x.router
		if !r.alive || r.runs[x.req.id] != x {
			return
		}
		w.meter.token(x.req, n)
		if x.req.delivered < n {
			x.req.delivered = n
		}
		switch {
		case n == 1 || !x.told:
			x.told = true
			r.step(sched.FirstToken{
				Identity: x.req.id,
				Attempt:  x.attempt,
			})
		case n%progressEvery == 0:
			r.step(sched.Progress{
				Identity: x.req.id,
				Attempt:  x.attempt,
				Tokens:   waxwingwall.Tokens(n),
			})
		}
	})
}

// ended brings the end of an attempt to the router.
func (w *world) ended(x *run, f sched.Failure) {
	if x.deaf {
		return
	}
	n := x.emitted
	w.after(w.site.HopLatency, func() {
		r := x.router
		if !r.alive || r.runs[x.req.id] != x {
			return
		}
		delete(r.runs, x.req.id)
		if f == sched.None {
			w.meter.served(x.req)
		}
		r.step(sched.Finished{
			Identity: x.req.id,
			Attempt:  x.attempt,
			Tokens:   waxwingwall.Tokens(n),
			Failure:  f,
		})
	})
}
