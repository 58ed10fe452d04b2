package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestBrittleEndpointsOverConnections guards against several routers that together send
// endpoints more than they have slots for, over real connections, although their answers say
// that they fall over when they decline more than one request in a second.
func TestBrittleEndpointsOverConnections(t *testing.T) {
	const (
		slots   = 4
		delay   = 40 * time.Millisecond
		callers = 24
		length  = 4 * time.Second

		// settled is when declines count, as in the rule.
		settled = 3 * time.Second

		// allowed is the number of declines in a second.
		allowed = 1
	)
	f := newFleet(t, 0, testAccount)
	for _, e := range f.ledgers {
		e.Delay = delay
		e.LimitSlots(slots)
		e.Brittle(fmt.Sprint(allowed))
		f.store.Put("servers", e.ID, e.Registration("ledger", "ready"))
	}
	for i := range 3 {
		f.start(fmt.Sprintf("vm-%d", i))
	}
	for i, n := range f.relays {
		f.waitUntil(fmt.Sprintf("router %d knows", i), func() bool {
			f.call(n, "quote", "", 0, 0)
			return strings.Contains(n.log.String(), "service_brittle")
		})
	}
	start := time.Now()
	served := f.callTogether(callers, settled+length)
	t.Logf("%d served, at most %d would be", served, int((settled+length)/delay)*slots*len(f.ledgers))
	for _, e := range f.ledgers {
		declined := e.Declined()
		if n := mostWithin(declined, start.Add(settled), time.Second); n > allowed {
			t.Errorf("%s declined %d in a second, %d in all", e.ID, n, len(declined))
		}
	}
	if served == 0 {
		t.Error("nothing was served")
	}
	for _, e := range f.ledgers {
		e.Brittle("some")
	}
	f.waitUntil("a value that can't be read is logged", func() bool {
		f.call(f.relays[0], "quote", "", 0, 0)
		return strings.Contains(f.relays[0].log.String(), "brittle_unreadable")
	})
}

// callTogether makes callers call without a pause, each one router, and returns how many calls
// were served.
func (f *fleet) callTogether(callers int, length time.Duration) int {
	var callersDone sync.WaitGroup
	var mu sync.Mutex
	served := 0
	end := time.Now().Add(length)
	for i := range callers {
		callersDone.Go(func() {
			for call := 0; time.Now().Before(end); call++ {
				a := f.callAs(f.relays[i%len(f.relays)], fmt.Sprintf("caller-%d-%d", i, call), "key", "/order/x", "", 0, 0)
				if a.status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				} else {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	callersDone.Wait()
	return served
}

// mostWithin returns the largest number of times after a start within any window.
func mostWithin(times []time.Time, start time.Time, window time.Duration) int {
	most := 0
	for i, last := range times {
		if last.Before(start) {
			continue
		}
		n := 0
		for _, at := range times[:i+1] {
			if last.Sub(at) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
