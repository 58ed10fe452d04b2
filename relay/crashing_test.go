package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"waxwingwall/core/quarantine"
	"waxwingwall/platform/standin"
)

// prompted sends a request with the given parts of its prompt and returns its status,
// or zero if it has no whole answer.
func (f *fleet) prompted(n *testRelay, parts string) int {
	f.calls++
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.settings.Callers.String()+fmt.Sprintf("/draft/%d", f.calls), http.NoBody)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "a.example"
	standin.SetHeaders(req.Header, fmt.Sprintf("call-%d", f.calls), "key", 1000, 50)
	standin.SetParts(req.Header, fmt.Sprintf("%s,%x:100", parts, 1<<20+f.calls))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestCrashingPartOverConnections guards against requests that share one part of their
// prompts and crash engine after engine, at all routers, over real connections: a run
// that broke is confirmed by a new connection at once, and the other routers hear of it.
func TestCrashingPartOverConnections(t *testing.T) {
	f := newFleet(t, 3, testAccount)
	crashes := func() int {
		sum := 0
		for _, e := range f.engines {
			sum += e.Crashes()
		}
		return sum
	}
	for _, e := range f.engines {
		e.CrashPart = "bad"
		e.RestartTime = 300 * time.Millisecond
		e.OnRestart = func() { f.store.Put("servers", e.ID, e.Registration("model", "ready")) }
	}
	const sound = "a:500,b:200"
	crashing := []string{"bad:300," + sound, "a:500,bad:300,b:200", sound + ",bad:300"}
	for i := range quarantine.DefaultPartLimit {
		f.waitUntil("an engine answers", func() bool {
			return f.prompted(f.relays[0], sound) == http.StatusOK
		})
		before := crashes()
		f.waitUntil("an engine crashed", func() bool {
			f.prompted(f.relays[i%len(f.relays)], crashing[i%len(crashing)])
			return crashes() > before
		})
	}
	f.waitUntil("all routers refuse the part", func() bool {
		for i, n := range f.relays {
			if f.prompted(n, crashing[i]) != http.StatusServiceUnavailable {
				return false
			}
		}
		return true
	})
	if n := crashes(); n > quarantine.DefaultPartLimit+1 {
		t.Errorf("%d engines crashed", n)
	}
	for _, n := range f.relays {
		f.waitUntil("sound requests are answered", func() bool {
			return f.prompted(n, sound) == http.StatusOK
		})
	}
}
