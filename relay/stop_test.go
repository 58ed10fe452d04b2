package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// TestStopAnswersAllItAccepts: requests arrive at a router throughout its graceful stop,
// while the endpoints answer nothing for a while. Orders, streams and streams that may be
// resumed: each request gets an answer. One that was refused as not run has reached no
// endpoint.
func TestStopAnswersAllItAccepts(t *testing.T) {
	f := newFleet(t, 2, testAccount)
	n := f.relays[0]
	silent := time.Now().Add(20 * time.Second)
	for _, e := range append(append([]*standin.Endpoint{}, f.engines...), f.ledgers...) {
		e.Silence(time.Until(silent))
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	send := func(id, route string) {
		defer wg.Done()
		a := f.callWithin(20*time.Second, n, id, "key", "/"+route+"/", "", 1000, 50)
		mu.Lock()
		defer mu.Unlock()
		statuses[a.status]++
		switch {
		case a.err != nil && strings.Contains(a.err.Error(), "connection refused"):
			// The router has stopped.
		case a.err != nil:
			t.Errorf("%s: %v", id, a.err)
		case a.status == http.StatusServiceUnavailable && len(f.runs(id)) > 0:
			t.Errorf("%s was refused as not run and ran", id)
		case a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") == "":
			t.Errorf("%s was refused without a retry time", id)
		}
	}
	began := time.Now()
	// Some callers wait for longer than the whole stop.
	arrive := func(after time.Duration) {
		time.Sleep(time.Until(began.Add(after)))
		for i := range 4 {
			for _, route := range []string{"order", "draft", "advice"} {
				wg.Add(1)
				go send(fmt.Sprintf("%s-%v-%d", route, after, i), route)
			}
		}
	}
	arrive(0)
	time.Sleep(100 * time.Millisecond)
	n.Drain()
	for _, after := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2400 * time.Millisecond, 4 * time.Second} {
		arrive(after)
	}
	select {
	case <-n.Drained():
		n.stop()
	case <-time.After(10 * time.Second):
		t.Fatal("router did not stop")
	}
	wg.Wait()
	t.Logf("by status: %v", statuses)
	if statuses[http.StatusGatewayTimeout] == 0 || statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("by status: %v, want outcomes and refusals", statuses)
	}
}
