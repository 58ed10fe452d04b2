package bench

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/sched"
)

// Limits of the simulated table service. storeLatency is the latency of each
// transaction.
const (
	storeTransactionsPerSecond = 400
	storeLatency               = 8 * time.Millisecond
)

// store is a table service with a bounded write rate, shared by all routers. It
// holds the exact number of requests in flight at each endpoint.
type store struct {
	freeAt   time.Time
	inFlight []int
}

// transact returns the completion time of a transaction that starts now.
func (s *store) transact(now time.Time) time.Time {
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Second / storeTransactionsPerSecond)
	return s.freeAt.Add(storeLatency)
}

// storeBaseline makes one transaction to dispatch each request to the endpoint
// with the fewest requests in flight from all routers, and one when it finishes.
type storeBaseline struct {
	*baseline
	store   *store
	pending []pendingDispatch
}

// pendingDispatch is a request whose dispatch waits for its transaction.
type pendingDispatch struct {
	id     waxwingwall.Identity
	doneAt time.Time
}

func newStoreTransaction(c Setup) Policy {
	b := &storeBaseline{
		baseline: newBaseline(c),
		store:    c.store,
	}
	for len(b.store.inFlight) < len(c.Endpoints) {
		b.store.inFlight = append(b.store.inFlight, 0)
	}
	b.inFlight = b.store.inFlight
	b.pick = (*baseline).pickLeast
	return b
}

// Offer implements Policy.
func (b *storeBaseline) Offer(now time.Time, w sched.Work) sched.Verdict {
	if b.jobs[w.Identity] == nil {
		b.jobs[w.Identity] = &baselineJob{
			work:     w,
			endpoint: -1,
		}
		b.pending = append(b.pending, pendingDispatch{
			id:     w.Identity,
			doneAt: b.store.transact(now),
		})
	}
	return sched.Verdict{}
}

// Withdraw implements Policy.
func (b *storeBaseline) Withdraw(now time.Time, id waxwingwall.Identity) int {
	if j := b.jobs[id]; j != nil && j.endpoint < 0 {
		delete(b.jobs, id)
		return 0
	}
	return b.baseline.Withdraw(now, id)
}

// Step implements Policy.
func (b *storeBaseline) Step(now time.Time, ev effect.Event) []effect.Action {
	for len(b.pending) > 0 && !b.pending[0].doneAt.After(now) {
		if j := b.jobs[b.pending[0].id]; j != nil {
			b.dispatch(j)
		}
		b.pending = b.pending[1:]
	}
	if _, ok := ev.(sched.Finished); ok {
		b.store.transact(now)
	}
	return b.baseline.Step(now, ev)
}
