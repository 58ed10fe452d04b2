package bench

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/sched"
)

// Behaviour of the simulated callers.
const (
	templatesPerAccount   = 16
	addressTTL            = 10 * time.Second
	reconnectDelay        = 50 * time.Millisecond
	ownersPerLargeAccount = 3
	orderShare            = 0.2
	meanServiceTime       = 55 * time.Millisecond
)

// request is one request of a caller, with all its tries.
type request struct {
	world       *world
	id          waxwingwall.Identity
	rank        waxwingwall.Rank
	account     int
	work        sched.Work
	output      int
	serviceTime time.Duration
	poison      bool
	offeredAt   time.Time
	tries       int
	arrivedAt   time.Time
	owner       *router
	done        bool

	// What the caller and the safety checks observe. notRunTry is the last try
	// that was refused with the outcome not_run.
	measured       bool
	delivered      int
	dispatches     int
	starts         int
	startedTry     int
	notRunTry      int
	firstTokenAt   time.Time
	lastTokenAt    time.Time
	tokenGaps      int
	lateGaps       int
	tokensInWindow int
}

// scheduleArrivals offers the requests of one rank as a Poisson process with
// the scenario's rate. Arrivals never wait for answers.
func (w *world) scheduleArrivals(r waxwingwall.Rank) {
	rate := w.arrivalRate(r)
	gap := time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
	w.after(gap, func() {
		if w.now.After(epoch.Add(w.sc.WarmUp + w.sc.Window)) {
			return
		}
		w.offer(w.newRequest(r))
		w.scheduleArrivals(r)
	})
}

func (w *world) arrivalRate(r waxwingwall.Rank) float64 {
	load := w.sc.Load[r]
	flooded := w.now.After(epoch.Add(w.sc.WarmUp / 2))
	if w.sc.Flood > 0 && w.sc.FloodRank == r && flooded {
		load = w.sc.Flood
	}
	return load * float64(w.site.Models) / meanEngineTime(r)
}

func (w *world) pickAccount() int {
	weight := func(i int) float64 {
		if i < w.site.Large {
			return w.sc.LargeFactor
		}
		return 1
	}
	sum := 0.0
	for i := range w.site.Accounts {
		sum += weight(i)
	}
	x := w.rng.Float64() * sum
	for i := range w.site.Accounts {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return w.site.Accounts - 1
}

func (w *world) newRequest(r waxwingwall.Rank) *request {
	q := &request{
		world:     w,
		rank:      r,
		account:   w.pickAccount(),
		offeredAt: w.now,
	}
	q.id = waxwingwall.Identity{
		Account: accountName(q.account),
		Key:     fmt.Sprintf("%d", len(w.meter.requests)),
	}
	s := requestShapes[r]
	q.output = s.meanOutput/2 + w.rng.IntN(s.meanOutput)
	q.work = sched.Work{
		Identity:    q.id,
		Account:     q.id.Account,
		Rank:        r,
		Model:       draftModel,
		Idempotent:  true,
		Prefix:      w.drawPrefix(q.account, r),
		Fingerprint: xxhash.Sum64String(q.id.Key),
		Prompt:      waxwingwall.Tokens(s.prefixBlocks*blockTokens + s.ownTokens),
		MaxOutput:   waxwingwall.Tokens(s.meanOutput * 2),
	}
	if r == urgent && w.rng.Float64() < orderShare {
		q.makeOrder()
	}
	w.meter.add(q)
	return q
}

func (q *request) makeOrder() {
	q.work.Model = orderModel
	q.work.Idempotent = false
	q.work.Prefix = nil
	q.work.Prompt = 0
	q.work.MaxOutput = 1
	q.output = 1
	q.serviceTime = meanServiceTime/2 + time.Duration(q.world.rng.Int64N(int64(meanServiceTime)))
}

// drawPrefix returns the block hashes of one of the account's prompt templates,
// drawn from a skewed distribution.
func (w *world) drawPrefix(account int, r waxwingwall.Rank) []uint64 {
	u := w.rng.Float64()
	template := int(u * u * templatesPerAccount)
	var chain []uint64
	h := uint64(account + 1)
	for i := range requestShapes[r].prefixBlocks {
		part := fmt.Sprintf("%d/%d", h, i)
		if i >= 4 {
			part = fmt.Sprintf("%d/%d/%d/%d", h, i, r, template)
		}
		h = xxhash.Sum64String(part)
		chain = append(chain, h)
	}
	return chain
}

func (w *world) offerPoison() {
	q := w.newRequest(routine)
	w.meter.exclude(q)
	q.poison = true
	q.work.Fingerprint = 0xbad
	w.offer(q)
}

// offer sends a request and starts the caller's timeout.
func (w *world) offer(q *request) {
	w.openRequests = append(w.openRequests, q)
	q.send(0)
	w.after(requestShapes[q.rank].timeout, func() {
		if !q.done && q.firstTokenAt.IsZero() {
			q.abandon()
		}
	})
}

// primaryOwner returns the index of the router that owns the request's slot while
// it is live. Large accounts use the slots of several routers.
func (q *request) primaryOwner() int {
	n := 1
	if q.account < q.world.site.Large {
		n = ownersPerLargeAccount
	}
	key := int(xxhash.Sum64String(q.id.Key) % uint64(n))
	return (q.account*3 + key*2) % len(q.world.routers)
}

// currentOwner returns the router that owns the request's slot: the primary
// owner, or the next router that is live in its peers' view.
func (q *request) currentOwner() *router {
	all := q.world.routers
	for k := range all {
		r := all[(q.primaryOwner()+k)%len(all)]
		if r.liveInView {
			return r
		}
	}
	return all[q.primaryOwner()]
}

// send sends the request to a router; skip is the number of addresses that did
// not answer.
func (q *request) send(skip int) {
	w := q.world
	target := w.routers[(q.primaryOwner()+skip)%len(w.routers)]
	w.after(w.site.ClientLatency, func() {
		if q.done {
			return
		}
		if !target.live {
			w.after(w.site.ClientLatency+reconnectDelay, func() {
				q.send(skip + 1)
			})
			return
		}
		owner := q.currentOwner()
		if owner == target {
			q.offerToOwner(owner)
			return
		}
		w.after(w.site.PeerLatency, func() { q.offerToOwner(owner) })
	})
}

// offerToOwner offers the request to its owner.
func (q *request) offerToOwner(owner *router) {
	w := q.world
	if q.done || q.owner != nil {
		return
	}
	if !q.work.Idempotent && q.dispatches > 0 {
		q.finish(endUnknown)
		return
	}
	if !owner.live {
		q.handleRefusal(&waxwingwall.Problem{
			Outcome:    waxwingwall.NotRun,
			RetryAfter: time.Duration(200+w.rng.IntN(200)) * time.Millisecond,
		})
		return
	}
	q.tries++
	q.owner = owner
	q.arrivedAt = w.now
	v := owner.policy.Offer(w.now, q.work)
	if v.Decision == sched.Refused {
		w.meter.recordImmediateRefusal(q)
		if q.tries > 1 && q.measured {
			w.meter.rankResult(q).RefusedAgain++
		}
		q.handleRefusal(v.Problem)
	}
	owner.step(effect.Tick{})
}

// handleRefusal delivers a refusal to the caller, which retries after the
// Retry-After.
func (q *request) handleRefusal(p *waxwingwall.Problem) {
	w := q.world
	q.owner = nil
	if p.Outcome == waxwingwall.Unknown {
		q.finish(endUnknown)
		return
	}
	q.notRunTry = q.tries
	if p.RetryAfter == 0 {
		q.finish(endNotRetried)
		return
	}
	w.after(p.RetryAfter+w.site.ClientLatency, func() {
		if !q.done {
			w.meter.recordCallerRetry(q)
			q.send(0)
		}
	})
}

// handleConnectionLoss retries at the next router after the owner's connection
// broke.
func (q *request) handleConnectionLoss() {
	w := q.world
	q.owner = nil
	delay := reconnectDelay + time.Duration(w.rng.IntN(100))*time.Millisecond
	w.after(delay, func() {
		if !q.done {
			w.meter.recordCallerRetry(q)
			q.send(1)
		}
	})
}

// abandon withdraws a request whose caller has left.
func (q *request) abandon() {
	q.finish(endCallerLeft)
	r := q.owner
	if r == nil || !r.live {
		return
	}
	r.policy.Withdraw(q.world.now, q.id)
	if x := r.runs[q.id]; x != nil {
		delete(r.runs, q.id)
		q.world.cancelAtEngine(x)
	}
	r.step(effect.Tick{})
}
