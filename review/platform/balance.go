package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The sizes and bounds of the case.
const (
	balanceRouters = 8
	balanceKilled  = 4 // 0.55 of the machines, rounded down
	balanceDown    = 2 * time.Second
	finalDown      = 1600 * time.Millisecond
	balancePrompt  = 100
	balanceEvents  = 10
	balanceStride  = 5
	balanceWorst   = balancePrompt + balanceEvents*balanceStride
	balancePrepaid = 2550 * balanceWorst
	balanceLimit   = 97 // percent of the balance
	balanceSettle  = 1500 * time.Millisecond
	balanceRate    = 20 * time.Millisecond
	recoverTime    = 12 * time.Second
	recoverPart    = 4 // a quarter
)

// The times of the kills, and of the end, from the first request on.
const (
	firstKill  = 10 * time.Second
	secondKill = 16 * time.Second
	finalKill  = 29 * time.Second
	balanceEnd = 49 * time.Second
)

const balanceConfig = `{"Version":4,"Routes":[
{"Name":"r1","Hostname":"shop.example","PathPrefix":"/ask/","RouteKind":"streaming","TimeoutMs":8000,"SloMs":500,"Priority":1,"Service":"asistente","MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false,"ItlTargetMs":500}],
"Services":[{"Name":"asistente","HealthPath":"/healthz","MaxConns":400,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":583782,"KvTokenBytes":327680,"LinkMbps":290000.0,"Moves":true,"Backups":true,"Stride":5,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{"Name":"m"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"bakery","ApiKeys":["key-bakery"],"Priority":1,"Prepaid":%d}]}`

// account is what a tenant can have used of its balance, by what its clients have seen.
type account struct {
	mu    sync.Mutex
	calls []call
	open  int
}

// begin counts a request in flight.
func (a *account) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
}

// end records a request that has ended.
func (a *account) end(c call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
	a.calls = append(a.calls, c)
}

// used returns the most that the requests so far can have used when one got its answer:
// those that ended balanceSettle before count what they got, the others their worst case.
// A request that was cut counts its worst case for good.
func (a *account) used(at time.Time) int {
	sum := 0
	for _, c := range a.calls {
		if c.sent.After(at) {
			continue
		}
		switch {
		case c.status == http.StatusPaymentRequired || c.status == http.StatusServiceUnavailable:
		case c.err != nil || c.status != http.StatusOK || at.Sub(c.ended) < balanceSettle:
			sum += balanceWorst
		default:
			sum += balancePrompt + balanceStride*strings.Count(c.body, "data:")
		}
	}
	return sum
}

// balanceClient is the traffic of a tenant on all machines that are up.
type balanceClient struct {
	fleet *fleet
	mu    sync.Mutex
	next  int
	down  map[*router]bool
}

// pick returns the next machine that is up; nil if none is.
func (b *balanceClient) pick() *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.fleet.routers {
		b.next++
		if r := b.fleet.routers[b.next%len(b.fleet.routers)]; !b.down[r] {
			return r
		}
	}
	return nil
}

// kill kills processes at the same moment and starts them again after a time.
func (b *balanceClient) kill(routers []*router, down time.Duration) {
	b.mu.Lock()
	for _, r := range routers {
		b.down[r] = true
		r.signal(syscall.SIGKILL)
	}
	b.mu.Unlock()
	say("%d of %d processes are killed", len(routers), len(b.fleet.routers))
	time.Sleep(down)
	for _, r := range routers {
		<-r.ended
		r.start()
	}
	b.fleet.waitReady()
	b.mu.Lock()
	clear(b.down)
	b.mu.Unlock()
	say("they are back")
}

// balanceCase: half of the machines are killed at once, twice, and at last all of them; they
// are started again 2 s later, at last 1.6 s later. The tenant goes on to use its balance, and gets 402 from all
// machines although much of it is left.
func balanceCase(trouble bool) bool {
	f := newFleet()
	running = f
	runs := newRunLog()
	zones := []string{"heredia-a", "heredia-b", "heredia-c"}
	f.store.Put("op", "config", fmt.Appendf(nil, balanceConfig, balancePrepaid))
	for i := range 3 {
		f.startServer(&server{
			id:      fmt.Sprintf("i-%d", i+1),
			service: "asistente",
			work:    5 * time.Millisecond,
			log:     runs,
			model:   true,
		}, zones[i], 64)
	}
	for i := range balanceRouters {
		f.add(fmt.Sprintf("edge-%02d", i+1), zones[i%3])
	}
	f.waitReady()
	time.Sleep(10 * time.Second)

	c := newClient("shop.example")
	a := &account{}
	b := &balanceClient{
		fleet: f,
		down:  map[*router]bool{},
	}
	began := time.Now()
	stop := every(balanceRate, func() {
		to := b.pick()
		if to == nil {
			return
		}
		a.begin()
		a.end(c.do(to, request{
			method:     "POST",
			path:       fmt.Sprintf("/ask/%d", balanceEvents),
			key:        "key-bakery",
			deadlineMs: 8000,
			header: map[string]string{
				"X-Model":         "m",
				"X-Token-Count":   fmt.Sprintf("%d,%d", balancePrompt, balanceEvents*balanceStride),
				"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:%d", balancePrompt),
			},
		}))
	})
	time.Sleep(time.Until(began.Add(firstKill)))
	if trouble {
		b.kill(f.routers[:balanceKilled], balanceDown)
		time.Sleep(time.Until(began.Add(secondKill)))
		b.kill(f.routers[balanceKilled:], balanceDown)
	}
	time.Sleep(time.Until(began.Add(finalKill)))
	fault, back := time.Now(), time.Now()
	if trouble {
		b.kill(f.routers, finalDown)
		back = time.Now()
	}
	time.Sleep(time.Until(began.Add(balanceEnd)))
	stop()
	return judgeBalance(a, fault, back)
}

// count counts requests and those of them that were served.
type count struct {
	asked, served int
}

func (n *count) add(c call) {
	n.asked++
	if c.status == http.StatusOK && c.err == nil {
		n.served++
	}
}

// judgeBalance reports whether less than a quarter of the requests is served that were sent
// later than recoverTime after the machines were back, though a quarter or more was before
// the final fault. Requests that don't fit, at their most, into 97 in 100 of the balance don't
// count.
func judgeBalance(a *account, fault, back time.Time) bool {
	var before, after count
	denied, first := 0, 0
	for _, c := range a.calls {
		used := a.used(c.ended)
		fits := used+balanceWorst <= balancePrepaid*balanceLimit/100
		verdict := ""
		if c.status == http.StatusPaymentRequired && fits {
			denied++
			verdict = "  402 THOUGH IT FITS"
			if first == 0 || used < first {
				first = used
			}
		}
		switch {
		case c.sent.Before(fault):
			before.add(c)
		case c.sent.Sub(back) > recoverTime && fits:
			after.add(c)
		}
		note("%.3f to %s: status %d, %d events, error %v; used at the most %d of %d%s",
			rel(c.sent), c.router.name, c.status, strings.Count(c.body, "data:"), c.err, used, balancePrepaid, verdict)
	}
	say("before the final fault %d of %d requests were served", before.served, before.asked)
	say("later than %v after the machines were back %d of %d", recoverTime, after.served, after.asked)
	say("%d of %d requests got 402 although they fit; the first when %d of %d tokens were used at the most",
		denied, len(a.calls), first, balancePrepaid)
	return before.served*recoverPart >= before.asked && after.asked > 0 && after.served*recoverPart < after.asked
}
