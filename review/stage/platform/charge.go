package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// chargeMachines is the number of machines, chargeTotal the tenant's prepaid total.
	chargeMachines = 4
	chargeTotal    = 60_000

	// longStreams run while the manifest changes, each of longOutput tokens after a prompt of
	// smallTokens; they last for two seconds. The small ones after that have as many tokens in as out.
	longStreams = 20
	longOutput  = 1000
	smallTokens = 50

	// changeAfter is the time from the beginning of the long streams to the change.
	changeAfter = 800 * time.Millisecond

	// smallTime is how long the small requests are sent, by smallClients at a time.
	smallTime    = 20 * time.Second
	smallClients = 8
)

// playCharge moves the only route of a service to another one while streams run, with a manifest that
// no longer names the first service, and checks BUDGET: a tenant gets no more than its Prepaid.
func playCharge(s *stage) (bool, error) {
	for _, name := range []string{"assistant", "assistant-2"} {
		for range 2 {
			if err := s.addReplica(&replica{
				service: name,
				slots:   64,
			}); err != nil {
				return false, err
			}
		}
	}
	if err := s.configure(chargeManifest(1, "assistant", "assistant", "assistant-2")); err != nil {
		return false, err
	}
	if err := s.startRouters(chargeMachines); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	d := &delivered{
		stage:    s,
		outcomes: newTally(),
	}
	var running sync.WaitGroup
	for i := range longStreams {
		running.Go(func() { d.generate(s.routers[i%len(s.routers)], longOutput) })
	}
	time.Sleep(changeAfter)
	if s.trouble {
		s.record("the manifest moves the route to assistant-2 and no longer names assistant")
		if err := s.configure(chargeManifest(2, "assistant-2", "assistant-2")); err != nil {
			return false, err
		}
	}
	running.Wait()
	s.record("long streams: %v; %d tokens delivered", d.outcomes, d.tokens)
	end := time.Now().Add(smallTime)
	for i := range smallClients {
		running.Go(func() {
			for n := i; time.Now().Before(end); n++ {
				if d.generate(s.routers[n%len(s.routers)], smallTokens) != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	running.Wait()
	s.record("all requests: %v", d.outcomes)
	s.record("the tenant got %d tokens, counting only requests with a whole answer; Prepaid is %d", d.tokens, chargeTotal)
	return d.tokens > chargeTotal, nil
}

// chargeManifest is a manifest with one route to a service, and with the given services.
func chargeManifest(version int64, to string, services ...string) manifest {
	m := manifest{
		Version: version,
		Routes: []route{{
			Name:        "advice",
			Hostname:    host,
			PathPrefix:  "/advice/",
			RouteKind:   "streaming",
			Service:     to,
			TimeoutMs:   5000,
			SloMs:       600,
			ItlTargetMs: 500,
			Priority:    1,
			MaxAttempts: 2,
			Sticky:      true,
			Resumable:   true,
		}},
		Limits: usualLimits,
		Tenants: []tenant{{
			Name:    "builder",
			APIKeys: []string{"key-1"},
			Prepaid: chargeTotal,
		}},
	}
	for _, name := range services {
		m.Services = append(m.Services, service{
			Name:       name,
			HealthPath: "/healthz",
			MaxConns:   360,
			Engine: &engine{
				Slots:      64,
				KvCapacity: 414234,
				Stride:     eventTokens,
			},
		})
	}
	return m
}

// delivered counts what the tenant got.
type delivered struct {
	stage    *stage
	outcomes *tally

	mu     sync.Mutex
	tokens int
}

// generate sends a request for some output, counts the tokens of a whole answer with success, the prompt
// and the events that came, and returns the status.
func (d *delivered) generate(r *router, output int) int {
	a := send(client(), r, call{
		method:  http.MethodPost,
		target:  "/advice/1",
		key:     "key-1",
		prompt:  smallTokens,
		output:  output,
		timeout: 5 * time.Second,
	})
	d.outcomes.add(a.outcome())
	if !a.served() {
		return a.status
	}
	got := smallTokens + strings.Count(a.body, "data:")*eventTokens
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tokens += got
	d.stage.record("%s at %s sent %.3f s: %d, %d tokens, %d in all", a.id, a.machine, a.sent.Sub(d.stage.began).Seconds(), a.status, got, d.tokens)
	return a.status
}
