package router

import (
	"sync"
	"time"

	"waxwingwall"
)

// Timeouts of runs.
const (
	// abandonTimeout is how long a run continues without a reader.
	abandonTimeout = 15 * time.Second

	// runRetention is how long an ended run is kept for retries by the caller.
	runRetention = 60 * time.Second
)

// runs is the table of the runs that this router owns. Traffic goroutines look
// up runs; only the control goroutine and the final stop of the router modify
// the table.
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

// sweep removes expired runs and returns the identities of abandoned ones.
func (t *runs) sweep(now time.Time) []waxwingwall.Identity {
	t.mu.Lock()
	defer t.mu.Unlock()
	var abandonedIDs []waxwingwall.Identity
	for id, r := range t.byIdentity {
		if r.expired(now, runRetention) {
			delete(t.byIdentity, id)
			continue
		}
		if r.abandoned(now, abandonTimeout) {
			abandonedIDs = append(abandonedIDs, id)
		}
	}
	return abandonedIDs
}

// stopAll ends every run with a problem, because the incarnation has ended or the
// router stops.
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

// count returns the number of runs, both running and ended.
func (t *runs) count() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.byIdentity)
}
