package relay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
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

// setBodyTime brings a configuration into force whose callers may take a time for a body.
func (f *fleet) setBodyTime(version int64, d time.Duration) {
	f.t.Helper()
	var c map[string]any
	if err := json.Unmarshal(standin.Configuration(version, testAccount), &c); err != nil {
		f.t.Fatal(err)
	}
	c["Limits"].(map[string]any)["HeaderTimeoutMs"] = d.Milliseconds()
	text, err := json.Marshal(c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put("op", "config", text)
	f.waitUntil("the configuration is in force", func() bool { return f.relays[0].sharedState.Load().limits.HeaderTime == d })
}

// TestStopWaitsForBodies guards against a request that a stop cuts although its grace period
// lasts: the head arrives while requests are taken, the body after the last other request
// has ended. It gets a refusal. A connection without a request does not delay the stop.
func TestStopWaitsForBodies(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	n := f.relays[0]
	f.setBodyTime(2, 4*time.Second)
	unused, err := net.Dial("tcp", n.settings.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	began := time.Now()
	n.Drain()
	stopped := make(chan time.Duration, 1)
	go func() {
		<-n.Drained()
		n.stop()
		stopped <- time.Since(began)
	}()
	time.Sleep(2400 * time.Millisecond)
	c, err := net.Dial("tcp", n.settings.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /order/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 6\r\n")
	h := http.Header{}
	standin.SetHeaders(h, "late", "key", 0, 0)
	_ = h.Write(c)
	fmt.Fprint(c, "\r\nabc")
	time.Sleep(time.Until(began.Add(4200 * time.Millisecond)))
	fmt.Fprint(c, "def")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", resp.StatusCode)
	}
	if took := <-stopped; took >= n.settings.Grace {
		t.Errorf("the stop took %v of %v", took, n.settings.Grace)
	}
}

// TestStopEndsWithoutRequests guards against a stop that a connection without a request keeps
// waiting.
func TestStopEndsWithoutRequests(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	n := f.relays[0]
	n.Drain()
	time.Sleep(2 * time.Second)
	unused, err := net.Dial("tcp", n.settings.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	select {
	case <-n.Drained():
	case <-time.After(2 * time.Second):
		t.Error("not drained")
	}
	if log := n.log.String(); strings.Contains(log, "answers_unfinished") || !strings.Contains(log, "connections_unused") {
		t.Errorf("the log names unfinished answers, or no unused connection: %s", log)
	}
}
