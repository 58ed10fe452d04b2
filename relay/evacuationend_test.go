package relay

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"waxwingwall/core/edge"
	"waxwingwall/platform/standin"
)

// TestEvacuatedEndpointIsNotAsked guards against an endpoint that is asked whether it runs on, when
// an answer ends with its connection, long after its failure domain was to be empty; and against a
// whole answer that is given up although the endpoint may still be asked.
func TestEvacuatedEndpointIsNotAsked(t *testing.T) {
	for name, late := range map[string]bool{"within the bound": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, testAccount)
			f.evacuate = 2 * time.Second
			f.start("vm-0")
			var asked atomic.Int64
			arrived, end := make(chan struct{}, 8), make(chan struct{})
			f.serveConns("order", func(_ net.Listener, c *net.TCPConn, next func() *http.Request) {
				switch uri := next().RequestURI; {
				case strings.HasPrefix(uri, "/order"):
					arrived <- struct{}{}
					<-end
					write(c, standin.SealedHead("200 OK")+"\r\nplaced")
				case uri != "":
					asked.Add(1)
					write(c, notFound)
				}
			})
			answered := make(chan answer, 1)
			go func() { answered <- f.call(f.relays[0], "order", "", 0, 0) }()
			<-arrived
			f.store.Put("op", "evacuate/d1", []byte(`{}`))
			f.waitUntil("in force", func() bool { return len(f.relays[0].sharedState.Load().silenced) > 0 })
			if late {
				f.waitUntil("the bound is near", func() bool {
					for address := range f.relays[0].sharedState.Load().silenced {
						return f.relays[0].isSilenced(address)
					}
					return false
				})
			}
			close(end)
			a := <-answered
			if late != (asked.Load() == 0) {
				t.Errorf("asked %d times", asked.Load())
			}
			if !late && a.body != "placed" {
				t.Errorf("got %+v", a)
			}
		})
	}
}

// TestWithheldAtSending: the endpoint of a request that waits for its connection is evacuated or
// becomes cold. It is not sent, unless it has a permit, which is for a cold endpoint only.
func TestWithheldAtSending(t *testing.T) {
	cold := edge.Instance{
		Endpoint: "cold",
		Born:     1,
	}
	evacuated := edge.Instance{
		Endpoint: "evacuated",
		Born:     1,
	}
	until := map[edge.Instance]time.Time{}
	var r Relay
	for _, i := range []edge.Instance{cold, evacuated} {
		until[i] = time.Now().Add(time.Hour)
	}
	r.sharedState.Store(&sharedState{
		cold:     map[edge.Instance]time.Time{cold: until[cold]},
		withheld: map[edge.Instance]time.Time{evacuated: until[evacuated]},
	})
	for i, want := range map[edge.Instance][2]bool{cold: {true, false}, evacuated: {true, true}, {Endpoint: "other", Born: 1}: {}, {Endpoint: "cold", Born: 2}: {}} {
		for j, permit := range []bool{false, true} {
			d := edge.Dispatch{
				Born:    i.Born,
				Limited: permit,
			}
			d.Params.Endpoint = i.Endpoint
			if got := r.withholds(d); got != want[j] {
				t.Errorf("%+v, permit %v: withheld %v", i, permit, got)
			}
		}
	}
}
