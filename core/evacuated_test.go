package core_test

import (
	"strings"
	"testing"
	"time"

	"waxwingwall/fake"
)

// TestEvacuatedDomains guards against requests to endpoints of a failure domain that the
// document names as evacuated, also after a restart, against a service without endpoints
// elsewhere that runs, and against a domain that is not used again.
func TestEvacuatedDomains(t *testing.T) {
	w, document, _ := startFleet(t, 3, 1, 100_000)
	submit := func() (ran, services int) {
		var clients []*fake.Client
		for n := range 40 {
			c := &fake.Client{Request: request(t, document, n), MaxTries: 1}
			c.Request.Identity.Key += "-" + w.Now.Format("150405")
			clients = append(clients, c)
			w.After(time.Duration(n)*50*time.Millisecond, func() { w.Submit(c) })
		}
		w.Run(10 * time.Second)
		for _, c := range clients {
			if w.Runs[c.Request.Identity] == 0 {
				continue
			}
			ran++
			if c.Request.Service {
				services++
			}
		}
		return ran, services
	}
	if ran, services := submit(); services == 0 || ran == services {
		t.Fatalf("%d ran, %d of them at the service", ran, services)
	}
	w.Configure(strings.Replace(fleetDocument, "[limits]\n", "[limits]\nevacuated_domains = domain1, elsewhere\n", 1))
	w.Run(10 * time.Second)
	w.Boot(w.Hosts[0])
	w.Run(10 * time.Second)
	leaving := func() map[string]bool {
		all := map[string]bool{}
		for _, h := range w.Hosts {
			for _, e := range h.Node.Scheduler.Dump().Endpoints {
				if e.Leaving {
					all[string(e.Name)] = true
				} else if all[string(e.Name)] {
					t.Errorf("%s leaves at some routers only", e.Name)
				}
			}
		}
		return all
	}
	if got := leaving(); len(got) != 2 || !got["e2"] || !got["orders"] {
		t.Errorf("leaving: %v", got)
	}
	if ran, services := submit(); services > 0 || ran == 0 {
		t.Errorf("%d ran, %d of them at the evacuated service", ran, services)
	}
	w.Configure(fleetDocument)
	w.Run(10 * time.Second)
	if got := leaving(); len(got) > 0 {
		t.Errorf("leaving after it was taken back: %v", got)
	}
	if _, services := submit(); services == 0 {
		t.Error("the service is not used again")
	}
}
