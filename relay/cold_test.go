package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// TestColdOverConnections guards against answers that say that their endpoint is cold and change
// nothing, at the router that gets them and at its peer, and against other texts taken for it.
func TestColdOverConnections(t *testing.T) {
	f := newFleet(t, 2, testAccount)
	f.store.Put("op", "config", standin.WithColdRate(standin.Configuration(2, testAccount), 1000, time.Hour))
	logged := func(n *testRelay, event, text string) bool {
		for line := range strings.SplitSeq(n.log.String(), "\n") {
			if strings.Contains(line, event) && strings.Contains(line, text) {
				return true
			}
		}
		return false
	}
	sendUntil := func(what string, ok func() bool) {
		f.waitUntil(what, func() bool {
			if status := f.prompted(f.relays[0], f.newParts()); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			return ok()
		})
	}
	sendUntil("the configuration is in force", func() bool {
		return logged(f.relays[0], "configuration_in_force", `"version":2`) && logged(f.relays[1], "configuration_in_force", `"version":2`)
	})
	for _, e := range f.engines {
		e.Cool("soon")
	}
	sendUntil("an unreadable time is logged", func() bool { return logged(f.relays[0], "cold_unreadable", "soon") })
	if logged(f.relays[0], "endpoint_cold", "") {
		t.Error("an unreadable time has an effect")
	}
	for _, e := range f.engines {
		e.Cool("600000")
	}
	sendUntil("the answers have an effect", func() bool { return logged(f.relays[0], "endpoint_cold", "answer") })
	f.waitUntil("the peer is told", func() bool { return logged(f.relays[1], "endpoint_cold", "peer") })
	sendUntil("requests have permits", func() bool { return logged(f.relays[0], "permit_cold", "granted") })
}
