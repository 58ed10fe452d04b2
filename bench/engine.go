package bench

import (
	"sort"
	"time"

	"waxwingwall"
	"waxwingwall/core/sched"
)

// The engine model's constants. A step of an engine generates one token for
// each request of its batch.
const (
	stepBase       = 12 * time.Millisecond
	stepPerRequest = 500 * time.Microsecond
	prefillPerTok  = 80 * time.Microsecond
	prefillChunk   = 256
	blockTokens    = 32
	cacheBlocks    = 640
	reportEvery    = time.Second
	restartAfter   = 5 * time.Second
)

// engine models one endpoint: a model engine with continuous batching, or a
// plain service.
type engine struct {
	world   *world
	spec    sched.EndpointSpec
	fifo    bool
	slow    float64
	down    bool
	waiting []*run
	running []*run
	busy    bool
	cache   prefixCache

	// What the load reports carry.
	tokens     int
	lastTokens int
}

// run is one attempt as the engine sees it.
type run struct {
	req     *request
	router  *router
	attempt int
	try     int
	conn    int
	deaf    bool
	told    bool
	output  int
	emitted int
	prefill int
	started bool
	gone    bool
}

// submit takes in an attempt.
func (e *engine) submit(r *run) {
	if e.down {
		e.fail(r, sched.Rejected)
		return
	}
	e.waiting = append(e.waiting, r)
	if !e.fifo {
		sort.SliceStable(e.waiting, func(i, j int) bool {
			return e.waiting[i].req.rank < e.waiting[j].req.rank
		})
	}
	if e.spec.Service {
		e.serve()
		return
	}
	if !e.busy {
		e.busy = true
		e.step()
	}
}

// cancel forgets an attempt.
func (e *engine) cancel(r *run) {
	r.gone = true
	e.waiting = without(e.waiting, r)
	e.running = without(e.running, r)
	if e.spec.Service {
		e.serve()
	}
}

func without(runs []*run, r *run) []*run {
	for i, x := range runs {
		if x == r {
			return append(runs[:i:i], runs[i+1:]...)
		}
	}
	return runs
}

// admit fills the batch from the waiting line.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Concurrency {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		e.begin(r)
	}
}

func (e *engine) begin(r *run) {
	r.started = true
	e.world.meter.began(r)
	if e.spec.Service {
		return
	}
	cached := e.cache.use(r.req.work.Prefix) * blockTokens
	e.world.meter.prefix(r, cached)
	r.prefill = int(r.req.work.Prompt) + r.emitted - cached
	if r.prefill < 1 {
		r.prefill = 1
	}
	if r.req.poison {
		e.world.after(100*time.Millisecond, func() {
			if !r.gone {
				e.crash(r)
			}
		})
	}
}

// step runs one step of the batch and sets up the next.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 || e.down {
		e.busy = false
		return
	}
	budget := prefillChunk
	for _, r := range e.running {
		n := min(budget, r.prefill)
		r.prefill -= n
		budget -= n
	}
	d := stepBase + time.Duration(len(e.running))*stepPerRequest
	d += time.Duration(prefillChunk-budget) * prefillPerTok
	batch := append([]*run(nil), e.running...)
	e.world.after(time.Duration(float64(d)*e.slow), func() {
		e.emit(batch)
		e.step()
	})
}

func (e *engine) emit(batch []*run) {
	for _, r := range batch {
		if r.gone || r.prefill > 0 || e.down {
			continue
		}
		r.emitted++
		e.tokens++
		e.world.token(r)
		if r.emitted >= r.output {
			e.running = without(e.running, r)
			r.gone = true
			e.world.ended(r, sched.None)
		}
	}
}

// serve runs a plain service: each slot is independent of the others.
func (e *engine) serve() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Concurrency {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		e.begin(r)
		e.world.after(time.Duration(float64(r.req.serviceTime)*e.slow), func() {
			if r.gone {
				return
			}
			r.emitted = 1
			e.world.token(r)
			r.gone = true
			e.running = without(e.running, r)
			e.world.ended(r, sched.None)
			e.serve()
		})
	}
}

// crash takes the engine down. The attempts that it ran fail with it; the one
// that crashed it is known to its router only as one of them.
func (e *engine) crash(cause *run) {
	e.world.meter.crashed(cause)
	e.down = true
	lost := append(e.running, e.waiting...)
	e.running = nil
	e.waiting = nil
	e.cache = prefixCache{}
	for _, r := range lost {
		r.gone = true
		e.fail(r, sched.Crashed)
	}
	e.world.after(restartAfter, func() {
		e.down = false
	})
}

func (e *engine) fail(r *run, f sched.Failure) {
	r.gone = true
	e.world.ended(r, f)
}

func (e *engine) report(interval time.Duration) sched.LoadReport {
	rate := float64(e.tokens-e.lastTokens) / interval.Seconds()
	e.lastTokens = e.tokens
	return sched.LoadReport{
		Endpoint:  e.spec.Name,
		Running:   len(e.running),
		Waiting:   len(e.waiting),
		TokenRate: rate,
		At:        e.world.now,
	}
}

// prefixCache is a bounded cache of prompt blocks; the one not used for
// longest goes first. The zero value is empty.
type prefixCache struct {
	tick uint64
	used map[uint64]uint64
}

// use returns how many blocks of the chain are cached, and caches them all.
func (c *prefixCache) use(chain []uint64) int {
	if c.used == nil {
		c.used = map[uint64]uint64{}
	}
	hits := 0
	for _, b := range chain {
		if c.used[b] == 0 {
			break
		}
		hits++
	}
	// The end of the chain is stamped first, so that it is evicted first.
	for i := len(chain) - 1; i >= 0; i-- {
		c.tick++
		c.used[chain[i]] = c.tick
	}
	c.evict()
	return hits
}

// evict keeps the cache in its bound, with some slack to do it seldom.
func (c *prefixCache) evict() {
	if len(c.used) <= cacheBlocks+cacheBlocks/8 {
		return
	}
	stamps := make([]uint64, 0, len(c.used))
	for _, t := range c.used {
		stamps = append(stamps, t)
	}
	sort.Slice(stamps, func(i, j int) bool { return stamps[i] < stamps[j] })
	cut := stamps[len(stamps)-cacheBlocks]
	for b, t := range c.used {
		if t < cut {
			delete(c.used, b)
		}
	}
}

// model is what all model engines serve, and orders the plain services.
const (
	model  waxwingwall.Model = "drafts"
	orders waxwingwall.Model = "orders"
)
