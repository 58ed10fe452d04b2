package relay

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// arrivedAfter returns how many requests reached an endpoint after a time.
func arrivedAfter(e *standin.Endpoint, since time.Time) int {
	n := 0
	for _, at := range e.Arrivals() {
		if at.After(since) {
			n++
		}
	}
	return n
}

// busiest returns the endpoint that got the most requests.
func busiest(all []*standin.Endpoint) *standin.Endpoint {
	return slices.MaxFunc(all, func(a, b *standin.Endpoint) int { return cmp.Compare(len(a.Arrivals()), len(b.Arrivals())) })
}

// newParts returns the shared part of a prompt that no other has.
func (f *fleet) newParts() string {
	return fmt.Sprintf("%x:500", 0x1000+f.calls)
}

// TestLeavingAnswerOverConnections guards against requests to endpoints whose answers say
// that they leave, while the store lists them as ready or can't be read.
func TestLeavingAnswerOverConnections(t *testing.T) {
	const (
		answers  = 20
		requests = 60

		// bound is the time after which nothing may reach a leaving endpoint.
		bound = 2 * time.Second
	)
	f := newFleet(t, 2, testAccount)
	send := func(n *testRelay) {
		if a := f.call(n, "quote", "", 0, 0); a.status != http.StatusOK {
			t.Fatalf("quote: status %d, %v", a.status, a.err)
		}
		if status := f.prompted(n, f.newParts()); status != http.StatusOK {
			t.Fatalf("draft: status %d", status)
		}
	}
	sendUntil := func(what string, ok func() bool) {
		f.waitUntil(what, func() bool {
			for _, n := range f.relays {
				send(n)
			}
			return ok()
		})
	}
	for range answers {
		for _, n := range f.relays {
			send(n)
		}
	}
	engine, ledger := busiest(f.engines), busiest(f.ledgers)
	engine.Leave("soon")
	ledger.Leave("0")
	start := time.Now()
	sendUntil("values without a meaning change nothing", func() bool {
		return arrivedAfter(engine, start) >= answers && arrivedAfter(ledger, start) >= answers
	})
	engine.Leave("1")
	ledger.Leave("1")
	f.store.SetDown(true)
	start = time.Now()
	sendUntil("both leave", func() bool {
		return arrivedAfter(engine, start) > 0 && arrivedAfter(ledger, start) > 0
	})
	for time.Since(start) < bound {
		send(f.relays[0])
		time.Sleep(50 * time.Millisecond)
	}
	f.store.SetDown(false)
	since := time.Now()
	for range requests {
		for _, n := range f.relays {
			send(n)
		}
	}
	for _, e := range []*standin.Endpoint{engine, ledger} {
		if got := arrivedAfter(e, since); got > 0 {
			t.Errorf("%d of %d requests reached %s after it said that it leaves", got, requests*len(f.relays), e.ID)
		}
	}
}
