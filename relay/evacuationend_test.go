package relay

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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
