package router

import (
	"sync"
	"time"

	"waxwingwall"
)

// How long runs are kept.
const (
	// abandonTimeout is how long a run without a reader goes on.
	abandonTimeout = 15 * time.Second

	// runRetention is how long an ended run is kept for a caller's retry.
	runRetention = 60 * time.Second
)

// runs is the table of the runs owned here. Traffic goroutines look runs up;
// only the control goroutine, and at last the stop of the router, change the
// table.
type runs struct {
	mu         sync.RWMutex
	byIdentity map[waxwingwall.Identity]*run
}

func (t *runs) get(id waxwingwall.Identity) *run {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byIdentity[id]
}

func (t *runs) put(id waxwingwall.Identity, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byIdentity == nil {
		t.byIdentity = make(map[waxwingwall.Identity]*run)
	}
	t.byIdentity[id] = r
}

// sweep forgets expired runs and returns the identities of abandoned ones.
func (t *runs) sweep(now time.Time) []waxwingwall.Identity {
	t.mu.Lock()
	defer t.mu.Unlock()
	var abandoned []waxwingwall.Identity
	for id, r := range t.byIdentity {
		if r.expired(now, runRetention) {
			delete(t.byIdentity, id)
			continue
		}
		if r.abandoned(now, abandonTimeout) {
			abandoned = append(abandoned, id)
		}
	}
	return abandoned
}

// stopAll ends every run, because the incarnation is over.
func (t *runs) stopAll(p *waxwingwall.Problem) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byIdentity {
		r.finish(waxwingwall.End{
			Problem: p,
		})
	}
	t.byIdentity = nil
}

// count returns the number of runs, running and ended.
func (t *runs) count() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.byIdentity)
}
