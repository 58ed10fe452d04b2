package relay

import (
	"net"
	"net/http"
	"path"
	"strings"
	"sync/atomic"
	"testing"

	"waxwingwall/platform/standin"
)

// TestEndingIsLogged guards against an answer that ended with its connection and whose lines don't tell
// by what the end was confirmed.
func TestEndingIsLogged(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	var gone atomic.Bool
	f.serveConns("order", func(l net.Listener, c *net.TCPConn, next func() *http.Request) {
		switch req := next(); path.Base(req.RequestURI) {
		case "companion":
			write(c, standin.SealedHead("200 OK")+"\r\nplaced")
		case "none":
			_ = l.Close()
			gone.Store(true)
			write(c, standin.SealedHead("200 OK")+"\r\npla")
		case "report":
			if !gone.Load() {
				write(c, notFound)
			}
		}
	})
	for _, id := range []string{"companion", "none"} {
		f.callAs(f.relays[0], id, "key", "/order/"+id, "", 0, 0)
	}
	for id, want := range map[string][]string{
		"companion": {`"msg":"served"`, `"confirmed":"companion"`, `"msg":"connection_ended"`, `"outlived":true`, `"status":404`, `"closed":false`},
		"none":      {`"msg":"attempt_ended"`, `"msg":"connection_ended"`, `"confirmed":""`, `"asked":2`},
	} {
		log := f.logOf(id)
		for _, text := range want {
			if !strings.Contains(log, text) {
				t.Errorf("%s: no %s in\n%s", id, text, log)
			}
		}
	}
}
