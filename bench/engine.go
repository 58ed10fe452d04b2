package bench

import (
	"sort"
	"time"

	"waxwingwall"
	"waxwingwall/core/sched"
)

// Parameters of the simulated engines. A step takes stepBase, plus
// stepPerRequest for each request of the batch, plus prefillPerToken for each of
// at most prefillChunk prompt tokens. The prefix cache holds cacheBlocks blocks
// of blockTokens tokens each.
const (
	stepBase           = 12 * time.Millisecond
	stepPerRequest     = 500 * time.Microsecond
	prefillPerToken    = 80 * time.Microsecond
	prefillChunk       = 256
	blockTokens        = 32
	cacheBlocks        = 640
	loadReportInterval = time.Second
	engineRestartDelay = 5 * time.Second
)

// engine simulates a model engine with continuous batching or, if spec.Service is
// set, a plain service.
type engine struct {
	world    *world
	spec     sched.EndpointSpec
	fifo     bool
	slowdown float64
	down     bool
	waiting  []*run
	running  []*run
	stepping bool
	cache    prefixCache

	// Generated tokens, in total and up to the last load report.
	tokens         int
	reportedTokens int
}

// run is one attempt at an engine. attempt is its number among the router's
// dispatches since the request was submitted to it; callerTry is the number of the
// caller's try to which the attempt belongs.
type run struct {
	req                *request
	router             *router
	attempt            int
	callerTry          int
	engineIndex        int
	silent             bool
	firstTokenReported bool
	output             int
	generated          int
	prefillLeft        int
	started            bool
	ended              bool
}

// submit queues an attempt.
func (e *engine) submit(r *run) {
	if e.down {
		e.fail(r, sched.Declined)
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
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// cancel removes an attempt.
func (e *engine) cancel(r *run) {
	r.ended = true
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

// admit fills the batch from the queue.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Concurrency {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		e.start(r)
	}
}

func (e *engine) start(r *run) {
	r.started = true
	e.world.meter.recordStart(r)
	if e.spec.Service {
		return
	}
	cached := e.cache.use(r.req.work.Prefix) * blockTokens
	e.world.meter.recordPrefix(r, cached)
	r.prefillLeft = int(r.req.work.Prompt) + r.generated - cached
	if r.prefillLeft < 1 {
		r.prefillLeft = 1
	}
	if r.req.poison {
		e.world.after(100*time.Millisecond, func() {
			if !r.ended {
				e.crash(r)
			}
		})
	}
}

// step runs one step of the batch and schedules the next.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 || e.down {
		e.stepping = false
		return
	}
	budget := prefillChunk
	for _, r := range e.running {
		n := min(budget, r.prefillLeft)
		r.prefillLeft -= n
		budget -= n
	}
	d := stepBase + time.Duration(len(e.running))*stepPerRequest
	d += time.Duration(prefillChunk-budget) * prefillPerToken
	batch := append([]*run(nil), e.running...)
	e.world.after(time.Duration(float64(d)*e.slowdown), func() {
		e.emit(batch)
		e.step()
	})
}

func (e *engine) emit(batch []*run) {
	for _, r := range batch {
		if r.ended || r.prefillLeft > 0 || e.down {
			continue
		}
		r.generated++
		e.tokens++
		e.world.deliverToken(r)
		if r.generated >= r.output {
			e.running = without(e.running, r)
			r.ended = true
			e.world.deliverFinished(r, sched.None)
		}
	}
}

// serve runs queued requests of a plain service, whose slots are independent of
// each other.
func (e *engine) serve() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Concurrency {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		e.start(r)
		e.world.after(time.Duration(float64(r.req.serviceTime)*e.slowdown), func() {
			if r.ended {
				return
			}
			r.generated = 1
			e.world.deliverToken(r)
			r.ended = true
			e.running = without(e.running, r)
			e.world.deliverFinished(r, sched.None)
			e.serve()
		})
	}
}

// crash takes the engine down until engineRestartDelay has passed. All running
// and waiting attempts fail as crashed, so the routers cannot tell which one is
// the cause.
func (e *engine) crash(cause *run) {
	e.world.meter.recordCrash(cause)
	e.down = true
	failed := append(e.running, e.waiting...)
	e.running = nil
	e.waiting = nil
	e.cache = prefixCache{}
	for _, r := range failed {
		r.ended = true
		e.fail(r, sched.Crashed)
	}
	e.world.after(engineRestartDelay, func() {
		e.down = false
	})
}

func (e *engine) fail(r *run, f sched.Failure) {
	r.ended = true
	e.world.deliverFinished(r, f)
}

func (e *engine) loadReport(interval time.Duration) sched.LoadReport {
	rate := float64(e.tokens-e.reportedTokens) / interval.Seconds()
	e.reportedTokens = e.tokens
	return sched.LoadReport{
		Endpoint:  e.spec.Name,
		Running:   len(e.running),
		Waiting:   len(e.waiting),
		TokenRate: rate,
		At:        e.world.now,
	}
}

// prefixCache is a bounded cache of prompt blocks that evicts the least recently
// used one first. The zero value is empty.
type prefixCache struct {
	uses    uint64
	lastUse map[uint64]uint64
}

// use returns the number of leading blocks of the chain that are cached, and
// caches the whole chain.
func (c *prefixCache) use(chain []uint64) int {
	if c.lastUse == nil {
		c.lastUse = map[uint64]uint64{}
	}
	hits := 0
	for _, b := range chain {
		if c.lastUse[b] == 0 {
			break
		}
		hits++
	}
	// Going backwards makes the end of the chain the least recently used.
	for i := len(chain) - 1; i >= 0; i-- {
		c.uses++
		c.lastUse[chain[i]] = c.uses
	}
	c.evict()
	return hits
}

// evict shrinks the cache to its bound once it exceeds it by an eighth, so that
// it does not sort on each use.
func (c *prefixCache) evict() {
	if len(c.lastUse) <= cacheBlocks+cacheBlocks/8 {
		return
	}
	lastUses := make([]uint64, 0, len(c.lastUse))
	for _, t := range c.lastUse {
		lastUses = append(lastUses, t)
	}
	sort.Slice(lastUses, func(i, j int) bool { return lastUses[i] < lastUses[j] })
	oldest := lastUses[len(lastUses)-cacheBlocks]
	for b, t := range c.lastUse {
		if t < oldest {
			delete(c.lastUse, b)
		}
	}
}

// Models served by all model engines and by all plain services.
const (
	draftModel waxwingwall.Model = "drafts"
	orderModel waxwingwall.Model = "orders"
)
