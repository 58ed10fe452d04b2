package limit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// An endpoint may get limitFactor times what its limit allows, plus limitSlack
	// requests, in each window that ends later than contact after it first named a limit.
	// Requests of a router count from countedAfter after its first answer with the limit.
	limitFactor  = 1.5
	limitSlack   = 5
	window       = 4 * time.Second
	contact      = 3 * time.Second
	countedAfter = 500 * time.Millisecond

	// usedShare is the part of a limit that has to be used while there is more work.
	usedShare = 0.75

	tickInterval = 50 * time.Millisecond
	peerDelay    = 5 * time.Millisecond
	sendDelay    = 3 * time.Millisecond
	headDelay    = 25 * time.Millisecond
)

// world drives the Limiters of a fleet in front of the endpoints of one service. Each
// request goes to one endpoint: at once if that has no limit at its router, otherwise
// with a permit.
type world struct {
	t         rapid.TB
	random    *rand.Rand
	now       time.Time
	events    events
	count     int
	routers   []*router
	endpoints []*endpoint

	// cut reports whether messages between two routers are lost; delay is the additional
	// delay of the messages of a router; nil means never and none.
	cut   func(a, b int) bool
	delay func(from int) time.Duration

	// lose reports whether a single message is lost, connect is the time until a request with
	// a permit is sent; nil means never and none.
	lose    func() bool
	connect func() time.Duration

	// messages counts the messages between routers.
	messages int

	ranks    map[waxwingwall.Rank]*stats
	accounts map[waxwingwall.Account]*stats
}

// stats counts requests. longestWait is the longest time until a permit, longestHeld that
// until a denial; held counts the denials that took over 100 ms.
type stats struct {
	asked, sent, denied int
	held                int
	longestWait         time.Duration
	longestHeld         time.Duration
	shortestRetry       time.Duration
}

// router is a router with its Limiter. Its view of the fleet is set by the world.
type router struct {
	limiter *Limiter
	life    int
	down    bool
	frozen  bool
	pending map[uint64]*asked
}

// asked is a request that waits for a permit.
type asked struct {
	at    time.Time
	ask   Ask
	stats []*stats
}

// endpoint names limits. wanted is set for those that the load goes to.
type endpoint struct {
	id   waxwingwall.Endpoint
	born int64

	// limits are the limits it named with the time from which it did.
	limits []named

	// informed is when a router got its first answer with a limit, by router and life.
	informed map[[2]int]time.Time
	arrivals []arrival
}

type named struct {
	at    time.Time
	limit waxwingwall.RateLimit
}

type arrival struct {
	at   time.Time
	from [2]int
}

type event struct {
	at   time.Time
	n    int
	call func()
}

type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].n < h[j].n
}

func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// testPool is the service of all endpoints.
const testPool = waxwingwall.Model("model")

func newWorld(t rapid.TB, seed uint64, routers, endpoints int) *world {
	w := &world{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 4)),
		now:      time.Unix(1_800_000_000, 0),
		ranks:    map[waxwingwall.Rank]*stats{},
		accounts: map[waxwingwall.Account]*stats{},
	}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, &endpoint{
			id:       waxwingwall.Endpoint(fmt.Sprintf("e%03d", i)),
			born:     1,
			informed: map[[2]int]time.Time{},
		})
	}
	for range routers {
		w.routers = append(w.routers, &router{})
	}
	for i := range w.routers {
		w.boot(i)
	}
	w.setViews()
	return w
}

func (w *world) incarnation(i int) waxwingwall.Incarnation {
	return waxwingwall.Incarnation{
		VM:   waxwingwall.VM(fmt.Sprintf("vm-%03d", i)),
		Boot: int64(1 + w.routers[i].life),
	}
}

// lookup is the Lookup of all routers.
func (w *world) lookup(id waxwingwall.Endpoint) (born int64, usable, known bool) {
	for _, e := range w.endpoints {
		if e.id == id {
			return e.born, true, true
		}
	}
	return 0, false, false
}

// boot starts a router.
func (w *world) boot(i int) {
	r := w.routers[i]
	r.down = false
	r.pending = map[uint64]*asked{}
	r.limiter = New(w.incarnation(i), w.lookup, WithSeed(uint64(1000*r.life+i)))
	life := r.life
	var tick func()
	tick = func() {
		if r.life != life || r.down {
			return
		}
		if !r.frozen {
			w.perform(i, r.limiter.Step(w.now, effect.Tick{}))
		}
		w.after(tickInterval, tick)
	}
	w.after(time.Duration(w.random.Int64N(int64(tickInterval))), tick)
}

// setViews sets the views of all routers: each sees those as live that are running and
// not cut from it, and all as registered.
func (w *world) setViews() {
	for i := range w.routers {
		w.setView(i)
	}
}

func (w *world) setView(i int) {
	var live []waxwingwall.Incarnation
	for j, r := range w.routers {
		if j != i && !r.down && !r.frozen && (w.cut == nil || !w.cut(i, j)) {
			live = append(live, w.incarnation(j))
		}
	}
	w.routers[i].limiter.SetPeers(live, len(w.routers), true, false)
}

// refreshViews makes the routers see the fleet as it is, one after the other within d.
func (w *world) refreshViews(d time.Duration) {
	for i := range w.routers {
		w.after(time.Duration(w.random.Int64N(int64(d))), func() { w.setView(i) })
	}
}

func (w *world) after(d time.Duration, f func()) {
	w.count++
	heap.Push(&w.events, event{
		at:   w.now.Add(d),
		n:    w.count,
		call: f,
	})
}

// run processes the events of the next d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.call()
	}
	w.now = end
}

// skip moves the time on without any event: long enough for tokens to accrue.
func (w *world) skip(d time.Duration) {
	w.now = w.now.Add(d)
	for i := range w.events {
		w.events[i].at = w.events[i].at.Add(d)
	}
}

// perform performs the actions of a router.
func (w *world) perform(i int, actions []effect.Action) {
	r := w.routers[i]
	for _, a := range actions {
		switch a := a.(type) {
		case effect.Send:
			w.deliver(i, a)
		case Granted:
			q := r.pending[a.ID]
			if q == nil {
				r.limiter.GiveBack(w.now, a)
				w.perform(i, r.limiter.Take())
				continue
			}
			delete(r.pending, a.ID)
			for _, s := range q.stats {
				s.sent++
				s.longestWait = max(s.longestWait, w.now.Sub(q.at))
			}
			w.send(i, w.endpoint(a.Endpoint))
		case Denied:
			q := r.pending[a.ID]
			delete(r.pending, a.ID)
			for _, s := range q.stats {
				s.denied++
				s.longestHeld = max(s.longestHeld, w.now.Sub(q.at))
				if w.now.Sub(q.at) > 100*time.Millisecond {
					s.held++
				}
				if s.shortestRetry == 0 || a.RetryAfter < s.shortestRetry {
					s.shortestRetry = a.RetryAfter
				}
			}
		}
	}
}

func (w *world) endpoint(id waxwingwall.Endpoint) *endpoint {
	for _, e := range w.endpoints {
		if e.id == id {
			return e
		}
	}
	w.t.Fatalf("no endpoint %s", id)
	return nil
}

// deliver passes a message on.
func (w *world) deliver(from int, a effect.Send) {
	w.messages++
	var to int
	if _, err := fmt.Sscanf(string(a.To.VM), "vm-%d", &to); err != nil {
		w.t.Fatal(err)
	}
	if w.cut != nil && w.cut(from, to) || w.lose != nil && w.lose() {
		return
	}
	self := w.incarnation(from)
	d := peerDelay
	if w.delay != nil {
		d += w.delay(from)
	}
	w.after(d, func() {
		r := w.routers[to]
		if r.down || r.frozen || a.To.Boot != w.incarnation(to).Boot {
			return
		}
		w.perform(to, r.limiter.Step(w.now, effect.Received{From: self, Message: a.Message}))
	})
}

// send sends a request to an endpoint, whose answer is observed.
func (w *world) send(i int, e *endpoint) {
	r := w.routers[i]
	life := r.life
	seq := r.limiter.Seq(e.id)
	delay := sendDelay
	if w.connect != nil {
		delay += w.connect()
	}
	w.after(delay, func() {
		e.arrivals = append(e.arrivals, arrival{at: w.now, from: [2]int{i, life}})
		w.after(headDelay, func() {
			l := e.limitAt(w.now)
			if r.life != life || r.down {
				return
			}
			if _, ok := e.informed[[2]int{i, life}]; l.Named && !ok {
				e.informed[[2]int{i, life}] = w.now
			}
			r.limiter.Observe(w.now, Observation{
				Endpoint: e.id,
				Pool:     testPool,
				Born:     e.born,
				Seq:      seq,
				Limit:    l,
			})
			w.perform(i, r.limiter.Take())
		})
	})
}

// request starts a request at a router for an endpoint. With a wait it may also go to any
// other endpoint.
func (w *world) request(i int, e *endpoint, rank waxwingwall.Rank, account waxwingwall.Account, wait time.Duration) {
	r := w.routers[i]
	if r.down || r.frozen {
		return
	}
	all := []*stats{statsOf(w.ranks, rank), statsOf(w.accounts, account)}
	for _, s := range all {
		s.asked++
	}
	if !r.limiter.Limited(e.id) {
		for _, s := range all {
			s.sent++
		}
		w.send(i, e)
		return
	}
	if wait == 0 && !r.limiter.MayAsk(w.now, testPool) {
		for _, s := range all {
			s.denied++
		}
		return
	}
	a := Ask{
		ID:      r.limiter.NextID(),
		Pool:    testPool,
		Rank:    rank,
		Account: account,
		Prefer:  e.id,
		Wait:    wait,
	}
	r.pending[a.ID] = &asked{at: w.now, ask: a, stats: all}
	r.limiter.Ask(w.now, a)
	w.perform(i, r.limiter.Take())
}

func statsOf[K comparable](all map[K]*stats, k K) *stats {
	if all[k] == nil {
		all[k] = &stats{}
	}
	return all[k]
}

// load makes requests for random endpoints of a list arrive at random routers, so many a
// second.
func (w *world) load(rate float64, rank waxwingwall.Rank, account waxwingwall.Account, wait time.Duration, endpoints ...int) {
	var next func()
	next = func() {
		e := w.endpoints[endpoints[w.random.IntN(len(endpoints))]]
		w.request(w.random.IntN(len(w.routers)), e, rank, account, wait)
		w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(0, next)
}

// limit makes endpoints name a limit from now on.
func (w *world) limit(rate float64, endpoints ...int) {
	for _, i := range endpoints {
		e := w.endpoints[i]
		e.limits = append(e.limits, named{at: w.now, limit: waxwingwall.RateLimit{Named: true, Rate: rate}})
	}
}

// endLimit makes endpoints name no limit from now on.
func (w *world) endLimit(endpoints ...int) {
	for _, i := range endpoints {
		e := w.endpoints[i]
		e.limits = append(e.limits, named{at: w.now})
		clear(e.informed)
	}
}

func (e *endpoint) limitAt(at time.Time) waxwingwall.RateLimit {
	var l waxwingwall.RateLimit
	for _, n := range e.limits {
		if !n.at.After(at) {
			l = n.limit
		}
	}
	return l
}

// restart ends a router and starts it again.
func (w *world) restart(i int, after time.Duration) {
	w.routers[i].down = true
	w.after(after, func() {
		w.routers[i].life++
		w.boot(i)
		w.setView(i)
	})
}

// join adds a router, which the others see within d.
func (w *world) join(d time.Duration) {
	w.routers = append(w.routers, &router{})
	i := len(w.routers) - 1
	w.boot(i)
	w.setView(i)
	w.refreshViews(d)
}

// bound returns what a window that ends at a time allows; negative if it has no bound. A
// limit that is lower than the one before applies countedAfter later.
func (w *world) bound(e *endpoint, end time.Time) float64 {
	first := time.Time{}
	for _, n := range e.limits {
		switch {
		case n.at.After(end):
		case !n.limit.Named:
			first = time.Time{}
		case first.IsZero():
			first = n.at
		}
	}
	if first.IsZero() || end.Sub(first) < contact {
		return -1
	}
	const step = 50 * time.Millisecond
	sum := 0.0
	for at := end.Add(-window); at.Before(end); at = at.Add(step) {
		rate := e.limitAt(at).Rate
		if before := e.limitAt(at.Add(-countedAfter)); before.Named {
			rate = max(rate, before.Rate)
		}
		sum += rate * step.Seconds()
	}
	return limitFactor*sum + limitSlack
}

// check fails the test if a limited endpoint got more than it may. Requests of excused
// routers don't count.
func (w *world) check(excused ...int) {
	w.t.Helper()
	for _, e := range w.endpoints {
		if len(e.limits) == 0 {
			continue
		}
		var counted []time.Time
		worst, got, allowed := math.Inf(-1), 0, 0.0
		start := 0
		for _, a := range e.arrivals {
			informed, ok := e.informed[a.from]
			if !ok || a.at.Sub(informed) < countedAfter || contains(excused, a.from[0]) {
				continue
			}
			counted = append(counted, a.at)
			for a.at.Sub(counted[start]) >= window {
				start++
			}
			may := w.bound(e, a.at)
			if n := len(counted) - start; may >= 0 && float64(n)-may > worst {
				worst, got, allowed = float64(n)-may, n, may
			}
		}
		if worst > 0 {
			w.t.Errorf("%s got %d requests in 4 s; allowed %.1f", e.id, got, allowed)
		}
	}
}

func contains(all []int, x int) bool {
	for _, y := range all {
		if x == y {
			return true
		}
	}
	return false
}

// used returns the requests that endpoints got since a time as a share of what their
// limits allow.
func (w *world) used(since time.Time, endpoints ...int) float64 {
	got, allowed := 0, 0.0
	for _, i := range endpoints {
		e := w.endpoints[i]
		for _, a := range e.arrivals {
			if a.at.After(since) {
				got++
			}
		}
		for at := since; at.Before(w.now); at = at.Add(tickInterval) {
			allowed += e.limitAt(at).Rate * tickInterval.Seconds()
		}
	}
	return float64(got) / allowed
}
