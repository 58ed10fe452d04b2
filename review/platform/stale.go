package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// The sizes and bounds of the case. The bounds are those of the site.
const (
	staleRouters  = 23
	staleRejected = 8 // 0.35 of the machines, rounded down
	staleWarmUp   = 10 * time.Second
	staleOutage   = 9 * time.Second
	staleRevokeAt = 200 * time.Millisecond
	configApply   = 2000 * time.Millisecond
	outerBound    = 5000 * time.Millisecond
)

const staleConfig = `{"Version":%d,"Routes":[
{"Name":"r1","Hostname":"shop.example","PathPrefix":"/order/","RouteKind":"idempotent","TimeoutMs":800,"SloMs":150,"Priority":2,"Service":"pedidos","MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":false}],
"Services":[{"Name":"pedidos","HealthPath":"/healthz","MaxConns":400,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"bakery","ApiKeys":["key-bakery"],"Priority":1},{"Name":"corner","ApiKeys":[%s],"Priority":1}]}`

// staleCase: the store turns 8 of 23 machines away for 9 s and serves the others. At once a key
// is taken away. The other machines have the new manifest; the question is whether those
// that were turned away have it within ConfigApplyMs + OuterBoundMs.
func staleCase(trouble bool) bool {
	f := newFleet()
	running = f
	runs := newRunLog()
	zones := []string{"heredia-a", "heredia-b", "heredia-c"}
	f.store.Put("op", "config", fmt.Appendf(nil, staleConfig, 4, `"key-corner","key-lost"`))
	for i := range 3 {
		f.startServer(&server{
			id:      fmt.Sprintf("i-%d", i+1),
			service: "pedidos",
			work:    20 * time.Millisecond,
			log:     runs,
		}, zones[i], 64)
	}
	for i := range staleRouters {
		f.add(fmt.Sprintf("edge-%02d", i+1), zones[i%3])
	}
	f.waitReady()
	say("%d routers are ready", len(f.routers))

	c := newClient("shop.example")
	var stops []func()
	for _, r := range f.routers {
		stops = append(stops, every(100*time.Millisecond, func() {
			c.do(r, request{
				method:     "GET",
				path:       "/order/1",
				key:        "key-bakery",
				deadlineMs: 1500,
			})
		}))
	}
	time.Sleep(staleWarmUp)

	var mu sync.Mutex
	var probes []call
	for _, r := range f.routers {
		stops = append(stops, every(200*time.Millisecond, func() {
			p := c.do(r, request{
				method:     "GET",
				path:       "/order/2",
				key:        "key-lost",
				deadlineMs: 1500,
			})
			mu.Lock()
			probes = append(probes, p)
			mu.Unlock()
		}))
	}
	time.Sleep(time.Second)
	rejected := map[*router]bool{}
	if trouble {
		for _, r := range f.routers[:staleRejected] {
			rejected[r] = true
			r.front.reject()
		}
		say("the store turns %d of %d machines away with 503", len(rejected), len(f.routers))
	}
	began := time.Now()
	time.Sleep(staleRevokeAt)
	f.store.Put("op", "config", fmt.Appendf(nil, staleConfig, 7, `"key-corner"`))
	confirmed := time.Now()
	say("version 7, without key-lost, is confirmed")
	time.Sleep(time.Until(began.Add(staleOutage)))
	ended := time.Now()
	for r := range rejected {
		r.front.serve()
	}
	say("the store serves all machines")
	time.Sleep(4 * time.Second)
	for _, stop := range stops {
		stop()
	}
	return judgeStale(runs, probes, rejected, confirmed, ended)
}

// judgeStale reports whether a machine in touch ran a request with the dropped key that was
// sent later than its bound allows. For machines that were turned away the bound is
// longer, and only requests that were answered before the end of the outage count.
func judgeStale(runs *runLog, probes []call, rejected map[*router]bool, confirmed, ended time.Time) bool {
	sort.Slice(probes, func(i, j int) bool { return probes[i].sent.Before(probes[j].sent) })
	late := map[string]int{}
	total := 0
	for _, p := range probes {
		ran := len(runs.of(p.id))
		verdict := ""
		bound := configApply
		if rejected[p.router] {
			bound += outerBound
		}
		counts := !rejected[p.router] || p.ended.Before(ended)
		if ran > 0 && counts && p.sent.Sub(confirmed) > bound {
			verdict = "  RUN WITH A DROPPED KEY"
			late[p.router.name]++
			total++
		}
		note("%.3f %s to %s (turned away: %v): sent %.3f s after the confirmation, status %d, ran %d times%s",
			rel(p.sent), p.id, p.router.name, rejected[p.router], p.sent.Sub(confirmed).Seconds(), p.status, ran, verdict)
	}
	say("%d requests with the dropped key ran too late, by %d machines: %v", total, len(late), late)
	return total > 0
}
