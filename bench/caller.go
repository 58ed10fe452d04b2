package bench

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/sched"
)

// Behaviour of the simulated callers. orderShare is the fraction of the urgent
// requests that are orders; a large account has slots at ownersPerLargeAccount
// routers.
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
		if w.now.After(epoch.Add(w.scenario.WarmUp + w.scenario.Window)) {
			return
		}
		w.offer(w.newRequest(r))
		w.scheduleArrivals(r)
	})
}

func (w *world) arrivalRate(r waxwingwall.Rank) float64 {
	load := w.scenario.Load[r]
	flooded := w.now.After(epoch.Add(w.scenario.WarmUp / 2))
	if w.scenario.Flood > 0 && w.scenario.FloodRank == r && flooded {
		load = w.scenario.Flood
	}
	return load * float64(w.site.Models) / meanEngineTime(r)
}

func (w *world) pickAccount() int {
	weight := func(i int) float64 {
		if i < w.site.Large {
			return w.scenario.LargeFactor
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
	req := &request{
		world:     w,
		rank:      r,
		account:   w.pickAccount(),
		offeredAt: w.now,
	}
	req.id = waxwingwall.Identity{
		Account: accountName(req.account),
		Key:     fmt.Sprintf("%d", len(w.meter.requests)),
	}
	s := requestShapes[r]
	req.output = s.meanOutput/2 + w.rng.IntN(s.meanOutput)
	req.work = sched.Work{
		Identity:    req.id,
		Account:     req.id.Account,
		Rank:        r,
		Model:       draftModel,
		Idempotent:  true,
		Prefix:      w.drawPrefix(req.account, r),
		Fingerprint: xxhash.Sum64String(req.id.Key),
		Prompt:      waxwingwall.Tokens(s.prefixBlocks*blockTokens + s.ownTokens),
		MaxOutput:   waxwingwall.Tokens(s.meanOutput * 2),
	}
	if r == urgent && w.rng.Float64() < orderShare {
		req.makeOrder()
	}
	w.meter.add(req)
	return req
}

func (req *request) makeOrder() {
	req.work.Model = orderModel
	req.work.Idempotent = false
	req.work.Prefix = nil
	req.work.Prompt = 0
	req.work.MaxOutput = 1
	req.output = 1
	req.serviceTime = meanServiceTime/2 + time.Duration(req.world.rng.Int64N(int64(meanServiceTime)))
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
	req := w.newRequest(routine)
	w.meter.exclude(req)
	req.poison = true
	req.work.Fingerprint = 0xbad
	w.offer(req)
}

// offer sends a request and starts the caller's timeout.
func (w *world) offer(req *request) {
	w.openRequests = append(w.openRequests, req)
	req.send(0)
	w.after(requestShapes[req.rank].timeout, func() {
		if !req.done && req.firstTokenAt.IsZero() {
			req.abandon()
		}
	})
}

// primaryOwner returns the index of the router that owns the request's slot while
// it is live. Large accounts use the slots of several routers.
func (req *request) primaryOwner() int {
	n := 1
	if req.account < req.world.site.Large {
		n = ownersPerLargeAccount
	}
	key := int(xxhash.Sum64String(req.id.Key) % uint64(n))
	return (req.account*3 + key*2) % len(req.world.routers)
}

// currentOwner returns the router that owns the request's slot: the primary
// owner, or the next router that is live in its peers' view.
func (req *request) currentOwner() *router {
	all := req.world.routers
	for k := range all {
		r := all[(req.primaryOwner()+k)%len(all)]
		if r.liveInView {
			return r
		}
	}
	return all[req.primaryOwner()]
}

// send sends the request to a router; skip is the number of addresses that did
// not answer.
func (req *request) send(skip int) {
	w := req.world
	target := w.routers[(req.primaryOwner()+skip)%len(w.routers)]
	w.after(w.site.ClientLatency, func() {
		if req.done {
			return
		}
		if !target.live {
			w.after(w.site.ClientLatency+reconnectDelay, func() {
				req.send(skip + 1)
			})
			return
		}
		owner := req.currentOwner()
		if owner == target {
			req.offerToOwner(owner)
			return
		}
		w.after(w.site.PeerLatency, func() { req.offerToOwner(owner) })
	})
}

// offerToOwner offers the request to its owner.
func (req *request) offerToOwner(owner *router) {
	w := req.world
	if req.done || req.owner != nil {
		return
	}
	if !req.work.Idempotent && req.dispatches > 0 {
		req.finish(endUnknown)
		return
	}
	if !owner.live {
		req.handleRefusal(&waxwingwall.Problem{
			Outcome:    waxwingwall.NotRun,
			RetryAfter: time.Duration(200+w.rng.IntN(200)) * time.Millisecond,
		})
		return
	}
	req.tries++
	req.owner = owner
	req.arrivedAt = w.now
	v := owner.policy.Offer(w.now, req.work)
	if v.Decision == sched.Refused {
		w.meter.recordImmediateRefusal(req)
		if req.tries > 1 && req.measured {
			w.meter.rankResult(req).RefusedAgain++
		}
		req.handleRefusal(v.Problem)
	}
	owner.step(effect.Tick{})
}

// handleRefusal delivers a refusal to the caller, which retries after the
// Retry-After.
func (req *request) handleRefusal(p *waxwingwall.Problem) {
	w := req.world
	req.owner = nil
	if p.Outcome == waxwingwall.Unknown {
		req.finish(endUnknown)
		return
	}
	req.notRunTry = req.tries
	if p.RetryAfter == 0 {
		req.finish(endNotRetried)
		return
	}
	w.after(p.RetryAfter+w.site.ClientLatency, func() {
		if !req.done {
			w.meter.recordCallerRetry(req)
			req.send(0)
		}
	})
}

// handleConnectionLoss retries at the next router after the owner's connection
// broke.
func (req *request) handleConnectionLoss() {
	w := req.world
	req.owner = nil
	delay := reconnectDelay + time.Duration(w.rng.IntN(100))*time.Millisecond
	w.after(delay, func() {
		if !req.done {
			w.meter.recordCallerRetry(req)
			req.send(1)
		}
	})
}

// abandon withdraws a request whose caller has left.
func (req *request) abandon() {
	req.finish(endCallerLeft)
	r := req.owner
	if r == nil || !r.live {
		return
	}
	r.policy.Withdraw(req.world.now, req.id)
	if x := r.runs[req.id]; x != nil {
		delete(r.runs, req.id)
		req.world.cancelAtEngine(x)
	}
	r.step(effect.Tick{})
}
