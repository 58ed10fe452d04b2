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

	// poisonTime is how long the request comes again, poisonInterval how often at each machine. Another
	// client looks something else up every lookupInterval.
	poisonTime     = 80 * time.Second
	poisonInterval = 500 * time.Millisecond
	lookupInterval = 50 * time.Millisecond

	// restartTries is how often it comes to a machine that was started again.
	restartTries = 6

	// poisonedMachines and poisonedReplicas are the sizes of the deployment.
	poisonedMachines = 4
	poisonedReplicas = 6
)

const poisonTarget = "/quote/poison"

// playRestarts lets a request that crashes replicas come again after each machine was stopped and started
// as planned, and checks the same. A machine gets it only once it has run for longer than ContactMs.
func playRestarts(s *stage) (bool, error) {
	crashes, err := s.addPoisoned()
	if err != nil {
		return false, err
	}
	if err := s.configure(quoteManifest()); err != nil {
		return false, err
	}
	if err := s.startRouters(poisonedMachines); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	for range 2 {
		for _, r := range s.routers {
			s.sendPoison(r)
		}
	}
	for _, r := range s.routers {
		if s.trouble {
			s.record("%s is stopped and started", r.name)
			if err := r.restart(); err != nil {
				return false, err
			}
		}
		time.Sleep(contactTime + time.Second)
		for range restartTries {
			s.sendPoison(r)
			time.Sleep(poisonInterval)
		}
	}
	return crashes.judge(s), nil
}

// sendPoison sends the request to a machine.
func (s *stage) sendPoison(r *router) *attempt {
	a := send(client(), r, quote(poisonTarget))
	s.record("%s at %s sent %.3f s: %s, Retry-After %q", a.id, a.machine, a.sent.Sub(s.began).Seconds(), a.outcome(), a.retryAfter)
	return a
}

// playPoison lets a request that crashes the replicas that run it come again and again, and checks
// BUDGET: later than ContactMs after the third crash it reaches replicas in three retries at the most.
func playPoison(s *stage) (bool, error) {
	crashes, err := s.addPoisoned()
	if err != nil {
		return false, err
	}
	if err := s.configure(quoteManifest()); err != nil {
		return false, err
	}
	if err := s.startRouters(poisonedMachines); err != nil {
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
	every(stop, &running, poisonInterval, func(int) {
		for _, r := range s.routers {
			running.Go(func() { poisons.add(s.sendPoison(r).outcome()) })
		}
	})
	time.Sleep(poisonTime)
	close(stop)
	running.Wait()
	s.record("the request that crashes: %v; other requests: %v", poisons, lookups)
	return crashes.judge(s), nil
}

// crashes are the times at which the request reached a replica, which crashed.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
}

// addPoisoned starts replicas that the request crashes as they begin to run it.
func (s *stage) addPoisoned() (*crashes, error) {
	all := &crashes{}
	for range poisonedReplicas {
		r := &replica{
			service: "ledger",
			slots:   6,
		}
		r.crashes = func(req *http.Request) bool {
			if !s.trouble || req.URL.Path != poisonTarget {
				return false
			}
			all.mu.Lock()
			defer all.mu.Unlock()
			all.times = append(all.times, time.Now())
			id, _ := r.name()
			s.record("%s reaches %s, which begins to run it and crashes (%d)", req.Header.Get("X-Attempt-Id"), id, len(all.times))
			return true
		}
		if err := s.addReplica(r); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// judge checks the rule.
func (c *crashes) judge(s *stage) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for _, at := range c.times {
		if len(c.times) >= crashLimit && at.Sub(c.times[crashLimit-1]) > contactTime {
			late++
		}
	}
	s.record("later than %v after the third crash it reached replicas %d times; %d is the most", contactTime, late, maxRetries)
	return late > maxRetries
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
