package relay

import (
	"fmt"
	"net"
	"net/http"
	"path"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// TestResetWithLastBytes guards against an answer that is reset together with bytes of it and looks
// whole: its endpoint framed the answers before, and lives on.
func TestResetWithLastBytes(t *testing.T) {
	const event = "id: 1\ndata: piece 1\n\n"
	for name, test := range map[string]struct {
		route, start, rest string
	}{
		"stream": {"draft", "Content-Type: text/event-stream\r\n\r\n" + event, "id: 2\ndata: piece 2\n\n"},
		"answer": {"order", "\r\npl", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 8, testAccount)
			f.serveConns(test.route, func(_ net.Listener, c *net.TCPConn, next func() *http.Request) {
				req := next()
				head := standin.SealedHead("200 OK") + standin.CallField(standin.CallID(req.Header))
				switch path.Base(req.RequestURI) {
				case "framed":
					write(c, head+"Connection: close\r\nContent-Length: 0\r\n\r\n")
				case "cut":
					write(c, head+test.start)
					time.Sleep(700 * time.Millisecond)
					write(c, test.rest)
					_ = c.SetLinger(0)
				case "report":
					write(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":1}")
				}
			})
			prompt := 0
			if test.route == "draft" {
				prompt = 1000
			}
			var calls sync.WaitGroup
			var whole atomic.Int32
			for i, n := range f.relays {
				calls.Go(func() {
					f.callAs(n, fmt.Sprint("framed-", i), "key", "/"+test.route+"/framed", "", prompt, 0)
					if a := f.callAs(n, fmt.Sprint("cut-", i), "key", "/"+test.route+"/cut", "", prompt, 0); a.status == http.StatusOK && a.err == nil {
						whole.Add(1)
					}
				})
			}
			calls.Wait()
			if n := whole.Load(); n > 0 {
				t.Errorf("%d of 8 answers look whole", n)
			}
		})
	}
}

// TestEndOfEndpointThatGoesDown guards against an answer that is cut and looks whole because its
// endpoint, which closes its connections one after the other, still answers on another one.
func TestEndOfEndpointThatGoesDown(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	down := make(chan struct{})
	f.serveConns("order", func(l net.Listener, c *net.TCPConn, next func() *http.Request) {
		if path.Base(next().RequestURI) == "cut" {
			write(c, standin.SealedHead("200 OK")+"\r\npla")
			time.AfterFunc(20*time.Millisecond, func() {
				_ = l.Close()
				close(down)
			})
			return
		}
		select {
		case <-down:
		default:
			write(c, notFound)
		}
	})
	if a := f.callAs(f.relays[0], "1", "key", "/order/cut", "", 0, 0); a.status == http.StatusOK && a.err == nil {
		t.Errorf("%q looks whole", a.body)
	}
}
