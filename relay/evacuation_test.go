package relay

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"waxwingwall/core/edge"
	"waxwingwall/platform/standin"
)

// get returns the text at a path of the operator's port.
func (f *fleet) get(n *testRelay, path string) string {
	f.t.Helper()
	resp, err := http.Get("http://" + n.settings.Metrics.String() + path)
	if err != nil {
		f.t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

// evacuated matches the metric while a failure domain is to be empty.
var evacuated = regexp.MustCompile(`(?m)^waxwingwall_edge_evacuated_domains(\{.*\})? [12]$`)

// TestEvacuationOverConnections guards against requests to a failure domain that the operator
// wants to be empty, after restarts too, and against a service without endpoints elsewhere whose
// callers are told nothing.
func TestEvacuationOverConnections(t *testing.T) {
	f := newFleet(t, 2, testAccount)
	for i, domain := range []string{"east", "west"} {
		f.ledgers[i].Domain, f.engines[i].Domain = domain, domain
		f.store.Put("servers", f.ledgers[i].ID, f.ledgers[i].Registration("ledger", "ready"))
		f.store.Put("servers", f.engines[i].ID, f.engines[i].Registration("model", "ready"))
	}
	inForce := func(n *testRelay, domains int) func() bool {
		return func() bool {
			return evacuated.MatchString(f.get(n, "/metrics")) && n.sharedState.Load().evacuated == domains &&
				strings.Contains(f.get(n, "/state"), `"west"`)
		}
	}
	f.store.Put("op", "evacuate/west", []byte(`{}`))
	for _, n := range f.relays {
		f.waitUntil("evacuation in force", inForce(n, 1))
	}
	f.start("vm-2")
	since := time.Now()
	for range 40 {
		for _, n := range f.relays {
			if a := f.call(n, "quote", "", 0, 0); a.status != http.StatusOK {
				t.Fatalf("quote: status %d, %v", a.status, a.err)
			}
			if status := f.prompted(n, f.newParts()); status != http.StatusOK {
				t.Fatalf("draft: status %d", status)
			}
		}
	}
	for _, e := range []*standin.Endpoint{f.ledgers[1], f.engines[1]} {
		if got := arrivedAfter(e, since); got > 0 {
			t.Errorf("%d requests reached %s", got, e.ID)
		}
	}
	f.store.Put("op", "evacuate/east", []byte(`{}`))
	f.waitUntil("both in force", inForce(f.relays[0], 2))
	a := f.call(f.relays[0], "order", "", 0, 0)
	retryAfter, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if a.status != http.StatusServiceUnavailable || err != nil || retryAfter < 2 {
		t.Errorf("status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
	}
	if !strings.Contains(f.relays[0].log.String(), edge.CodeEvacuated) {
		t.Error("the refusal is not in the log")
	}
	f.store.Delete("op", "evacuate/west")
	f.waitUntil("west is back", func() bool { return f.call(f.relays[0], "order", "", 0, 0).status == http.StatusOK })
	if arrivedAfter(f.ledgers[1], since) == 0 {
		t.Error("nothing reached west")
	}
}
