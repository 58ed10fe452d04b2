package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// contactTime is ContactMs of the sites.
	contactTime = 3 * time.Second

	// maxRetries is the number of retries in which a request that crashes replicas may reach one
	// later than contactTime after the third crash.
	maxRetries = 3

	// crashLimit is the number of crashes after which that counts.
	crashLimit = 3

	// poisonTime is how long the request comes again, poisonInterval how often from each of poisonClients
	// clients of its caller. Another client looks something else up every lookupInterval.
	poisonTime     = 80 * time.Second
	poisonInterval = 500 * time.Millisecond
	poisonClients  = 3
	lookupInterval = 50 * time.Millisecond
)

const poisonTarget = "/quote/poison"

// playPoison lets a request that crashes the replicas that run it come again and again, and checks
// BUDGET: later than ContactMs after the third crash it reaches replicas in three retries at the most.
func playPoison(s *stage) (bool, error) {
	var mu sync.Mutex
	var crashes []time.Time
	for range 6 {
		r := &replica{
			service: "ledger",
			slots:   6,
		}
		r.crashes = func(req *http.Request) bool {
			if !s.trouble || req.URL.Path != poisonTarget {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			id, _ := r.name()
			s.record("%s reaches %s, which begins to run it and crashes (%d)", req.Header.Get("X-Attempt-Id"), id, len(crashes))
			return true
		}
		if err := s.addReplica(r); err != nil {
			return false, err
		}
	}
	if err := s.configure(quoteManifest()); err != nil {
		return false, err
	}
	if err := s.startRouters(4); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	lookups := newTally()
	every(stop, &running, lookupInterval, func(i int) {
		a := send(client(), s.routers[i%len(s.routers)], quote(fmt.Sprintf("/quote/%d", i)))
		lookups.add(a.outcome())
	})
	poisons := newTally()
	for c := range poisonClients {
		every(stop, &running, poisonInterval, func(i int) {
			a := send(client(), s.routers[(i+c)%len(s.routers)], quote(poisonTarget))
			s.record("%s at %s sent %.3f s: %s, Retry-After %q", a.id, a.machine, a.sent.Sub(s.began).Seconds(), a.outcome(), a.retryAfter)
			poisons.add(a.outcome())
		})
	}
	time.Sleep(poisonTime)
	close(stop)
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range crashes {
		if len(crashes) >= crashLimit && at.Sub(crashes[crashLimit-1]) > contactTime {
			late++
		}
	}
	s.record("the request that crashes: %v; other requests: %v", poisons, lookups)
	s.record("later than %v after the third crash it reached replicas %d times; %d is the most", contactTime, late, maxRetries)
	return late > maxRetries, nil
}

// quoteManifest is a manifest with one route of idempotent requests.
func quoteManifest() manifest {
	return manifest{
		Version: 1,
		Routes: []route{{
			Name:        "quote",
			Hostname:    host,
			PathPrefix:  "/quote/",
			RouteKind:   "idempotent",
			Service:     "ledger",
			TimeoutMs:   800,
			SloMs:       300,
			Priority:    2,
			MaxAttempts: 2,
		}},
		Services: []service{{
			Name:       "ledger",
			HealthPath: "/healthz",
			MaxConns:   100,
		}},
		Limits: usualLimits,
		Tenants: []tenant{{
			Name:    "builder",
			APIKeys: []string{"key-1"},
		}},
	}
}

// quote is an idempotent request.
func quote(target string) call {
	return call{
		method:  http.MethodGet,
		target:  target,
		key:     "key-1",
		timeout: 1500 * time.Millisecond,
	}
}

// every calls f at an interval, each in a goroutine, until stop is closed.
func every(stop <-chan struct{}, running *sync.WaitGroup, interval time.Duration, f func(i int)) {
	running.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
				running.Go(func() { f(i) })
			case <-stop:
				return
			}
		}
	})
}

// tally counts outcomes.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTally() *tally {
	return &tally{
		counts: map[string]int{},
	}
}

func (t *tally) add(outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[outcome]++
}

// String implements fmt.Stringer.
func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}
