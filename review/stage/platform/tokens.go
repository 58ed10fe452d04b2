package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// machines is the number of machines, as of a small site.
	machines = 7

	// recoveryTime is RecoveryS of the sites.
	recoveryTime = 12 * time.Second

	// prepaid is the tenant's total for the day. The requests of the whole case need less than 97 in
	// 100 of it.
	prepaid = 600_000

	// generationsPerSecond is the traffic, each of promptTokens and outputTokens at the most.
	generationsPerSecond       = 20
	promptTokens, outputTokens = 600, 60

	// beforeTime is the time of the traffic before the loss of power, darkTime how long the machines
	// are dark, afterTime how long the requests are judged after the recovery.
	beforeTime = 10 * time.Second
	darkTime   = 3500 * time.Millisecond
	afterTime  = 10 * time.Second
)

// playTokens lets all machines lose power once and be back after some seconds, and checks RECOVER:
// of the requests that are sent later than RecoveryS after that, less than a quarter is served.
func playTokens(s *stage) (bool, error) {
	for range 3 {
		if err := s.addReplica(&replica{
			service: "assistant",
			slots:   64,
		}); err != nil {
			return false, err
		}
	}
	if err := s.configure(manifest{
		Version: 1,
		Routes: []route{{
			Name:        "advice",
			Hostname:    host,
			PathPrefix:  "/advice/",
			RouteKind:   "streaming",
			Service:     "assistant",
			TimeoutMs:   5000,
			SloMs:       600,
			ItlTargetMs: 500,
			Priority:    1,
			MaxAttempts: 2,
			Sticky:      true,
			Resumable:   true,
		}},
		Services: []service{{
			Name:       "assistant",
			HealthPath: "/healthz",
			MaxConns:   360,
			Engine: &engine{
				Slots:      64,
				KvCapacity: 414234,
				Stride:     eventTokens,
			},
		}},
		Limits: usualLimits,
		Tenants: []tenant{{
			Name:    "builder",
			APIKeys: []string{"key-1"},
			Prepaid: prepaid,
		}},
	}); err != nil {
		return false, err
	}
	if err := s.startRouters(machines); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	load := newLoad(s)
	load.start()
	time.Sleep(beforeTime)
	faultAt := time.Now()
	if s.trouble {
		for _, r := range s.routers {
			go r.kill()
		}
		s.record("all machines lose power")
		time.Sleep(darkTime)
		if err := s.startAll(); err != nil {
			return false, err
		}
	}
	backAt := time.Now()
	s.record("all machines are back")
	time.Sleep(recoveryTime + afterTime)
	load.stop()
	return load.judge(faultAt, backAt.Add(recoveryTime)), nil
}

// load sends generations at a steady rate to the machines in turn.
type load struct {
	stage   *stage
	ended   chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	attempts []*attempt
}

func newLoad(s *stage) *load {
	return &load{
		stage: s,
		ended: make(chan struct{}),
	}
}

func (l *load) start() {
	l.running.Go(func() {
		ticker := time.NewTicker(time.Second / generationsPerSecond)
		defer ticker.Stop()
		c := client()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
			case <-l.ended:
				return
			}
			l.running.Go(func() {
				a := send(c, l.stage.routers[i%len(l.stage.routers)], call{
					method:  http.MethodPost,
					target:  "/advice/1",
					key:     "key-1",
					prompt:  promptTokens,
					output:  outputTokens,
					timeout: 5 * time.Second,
				})
				l.stage.record("%s at %s sent %.3f s: %s", a.id, a.machine, a.sent.Sub(l.stage.began).Seconds(), a.outcome())
				l.mu.Lock()
				defer l.mu.Unlock()
				l.attempts = append(l.attempts, a)
			})
		}
	})
}

func (l *load) stop() {
	close(l.ended)
	l.running.Wait()
}

// judge checks RECOVER, and records how much of the prepaid total the tenant can have had at the most.
func (l *load) judge(faultAt, from time.Time) bool {
	before, servedBefore, after, servedAfter, refused, most := 0, 0, 0, 0, 0, 0
	for _, a := range l.attempts {
		switch {
		case a.sent.Before(faultAt):
			before++
			if a.served() {
				servedBefore++
			}
		case a.sent.After(from):
			after++
			if a.served() {
				servedAfter++
			}
		}
		switch {
		case a.served() || a.err != nil && a.sent.Before(faultAt):
			most += promptTokens + outputTokens
		case a.status == http.StatusPaymentRequired:
			refused++
		}
	}
	l.stage.record("before: %d of %d served", servedBefore, before)
	l.stage.record("later than %v after the machines were back: %d of %d served; a quarter is the least", recoveryTime, servedAfter, after)
	l.stage.record("refused with 402: %d; the tenant had %d of %d tokens at the most", refused, most, prepaid)
	return before > 0 && 4*servedBefore >= before && 4*servedAfter < after
}
