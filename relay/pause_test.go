package relay

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// TestRetryAfterOverConnections guards against requests to endpoints within the wait that
// they name as they decline a request, and against refusals that name a shorter wait.
func TestRetryAfterOverConnections(t *testing.T) {
	const (
		wait = 5 * time.Second

		// grace is the time after which the wait applies, allowed the requests that may
		// reach the endpoint in it all the same.
		grace   = 500 * time.Millisecond
		allowed = 2
	)
	for _, all := range []bool{false, true} {
		name := "another endpoint is free"
		if all {
			name = "all endpoints ask for it"
		}
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, testAccount)
			n := f.relays[0]
			for range 20 {
				f.call(n, "quote", "", 0, 0)
				f.prompted(n, f.newParts())
			}
			paused := []*standin.Endpoint{busiest(f.engines), busiest(f.ledgers)}
			if all {
				paused = slices.Concat(f.engines, f.ledgers)
			}
			asked := map[*standin.Endpoint]time.Time{}
			for _, e := range paused {
				e.Pause("5")
			}
			start := time.Now()
			f.waitUntil("all have named their wait", func() bool {
				f.call(n, "quote", "", 0, 0)
				f.prompted(n, f.newParts())
				for _, e := range paused {
					// The endpoint answers at once.
					i := slices.IndexFunc(e.Arrivals(), func(at time.Time) bool { return at.After(start) })
					if i >= 0 {
						asked[e] = e.Arrivals()[i]
					}
				}
				return len(asked) == len(paused)
			})
			first := time.Now()
			for _, at := range asked {
				if at.Before(first) {
					first = at
				}
			}
			for time.Since(first) < wait-grace {
				sent := time.Now()
				a := f.call(n, "quote", "", 0, 0)
				status := f.prompted(n, f.newParts())
				if !all && (a.status != http.StatusOK || status != http.StatusOK) {
					t.Fatalf("status %d and %d while another endpoint is free", a.status, status)
				}
				if left := wait - time.Since(first); all && a.status == http.StatusServiceUnavailable {
					if after, err := time.ParseDuration(a.header.Get("Retry-After") + "s"); err != nil || after < left {
						t.Fatalf("Retry-After %q, the shortest wait has %v left", a.header.Get("Retry-After"), left)
					}
					if took := time.Since(sent); took > time.Second {
						t.Errorf("refused after %v", took)
					}
				} else if all {
					t.Fatalf("status %d", a.status)
				}
				time.Sleep(20 * time.Millisecond)
			}
			for _, e := range paused {
				got := 0
				for _, at := range e.Arrivals() {
					if at.After(asked[e].Add(grace)) && at.Before(asked[e].Add(wait-grace)) {
						got++
					}
				}
				if got > allowed {
					t.Errorf("%d requests reached %s within the wait that it named", got, e.ID)
				}
				e.Pause("")
			}
			if !all {
				return
			}
			f.waitUntil("requests are served again", func() bool {
				a := f.call(n, "quote", "", 0, 0)
				return a.status == http.StatusOK && f.prompted(n, f.newParts()) == http.StatusOK
			})
			for _, e := range paused {
				e.Pause("tomorrow")
			}
			f.waitUntil("a wait that can't be read is logged", func() bool {
				f.prompted(n, f.newParts())
				return strings.Contains(n.log.String(), "retry_after_unreadable")
			})
		})
	}
}
