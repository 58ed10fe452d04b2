package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// sealedAnswer returns a sealed answer to a request, with a body of a length.
func sealedAnswer(id, status, fields, body string) string {
	return standin.SealedHead(status) + standin.CallField(id) + fields + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// TestNoStatus guards against an answer whose status is none of HTTP and that reaches a caller, or
// whose body does as an answer: its text may be one that a caller has had an endpoint repeat.
func TestNoStatus(t *testing.T) {
	const event = "id: 1\ndata: fake\n\n"
	for route, inner := range map[string]struct{ fields, body string }{
		"order": {"", "fake"},
		"draft": {"Content-Type: text/event-stream\r\n", event},
	} {
		t.Run(route, func(t *testing.T) {
			f := newFleet(t, 1, testAccount)
			var status atomic.Value
			var requests atomic.Int32
			f.serveConns(route, func(_ net.Listener, c *net.TCPConn, next func() *http.Request) {
				for req := next(); req.RequestURI != ""; req = next() {
					id := standin.CallID(req.Header)
					if id == "" {
						write(c, notFound)
						continue
					}
					if strings.HasSuffix(req.RequestURI, "sound") {
						write(c, sealedAnswer(id, "200 OK", inner.fields, inner.body))
						continue
					}
					requests.Add(1)
					write(c, sealedAnswer(id, status.Load().(string), inner.fields, sealedAnswer(id, "200 OK", inner.fields, inner.body)))
				}
			})
			prompt := 0
			if route == "draft" {
				prompt = 1000
			}
			for i, text := range []string{"000", "001", "099", "+20", "-10", " 200", "2 00", "1e2", "20", "2000", "", "100", "101", "199", "600", "999"} {
				status.Store(text)
				requests.Store(0)
				// The second of two requests has a kept connection, if the framing allows.
				if a := f.callAs(f.relays[0], fmt.Sprint("sound-", i), "key", "/"+route+"/sound", "", prompt, 0); a.status != http.StatusOK || a.body != inner.body {
					t.Errorf("%q: sound answer: %+v", text, a)
				}
				a := f.callAs(f.relays[0], fmt.Sprint("bad-", i), "key", "/"+route+"/bad", "", prompt, 0)
				if strings.Contains(a.body, "fake") || a.status < http.StatusInternalServerError || a.seal != "" {
					t.Errorf("%q: got %+v", text, a)
				}
				if n := requests.Load(); n == 0 || strings.Contains(a.body, "not_run") {
					t.Errorf("%q: got %+v after %d requests", text, a, n)
				}
			}
		})
	}
}

// TestResetDuringUpload guards against an answer without a length that begins while its request is
// still being written, is reset, and reaches the caller as a whole one.
func TestResetDuringUpload(t *testing.T) {
	const (
		rounds = 12
		// The kernel's buffers don't take all of the upload.
		length = 8 << 20
	)
	body := strings.Repeat("x", length)
	for name, test := range map[string]struct {
		route, rest string
		// read is how much of the request is read before the reset.
		read int64
	}{
		"answer, write first":  {"order", "\r\npla", 1 << 20},
		"answer, read first":   {"order", "\r\npla", 0},
		"long answer":          {"order", "\r\n" + strings.Repeat("x", 2*maxBufferedBytes), 0},
		"stream, write first":  {"draft", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n", 1 << 20},
		"stream, read first":   {"draft", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n", 0},
		"failure, write first": {"order", "\r\nfai", 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, testAccount)
			f.memoryBytes = 1 << 30
			f.start("vm-0")
			f.store.Put("op", "config", standin.WithBodies(standin.Configuration(2, testAccount), length, 20*time.Second))
			f.waitUntil("the configuration is in force", func() bool { return f.relays[0].sharedState.Load().limits.BodyBytes == length })
			var reached atomic.Int32
			status := "200 OK"
			if strings.HasPrefix(name, "failure") {
				status = "404 Not Found"
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						if _, err := c.Read(make([]byte, 8<<10)); err != nil {
							return
						}
						reached.Add(1)
						write(c, standin.SealedHead(status)+test.rest)
						_, _ = io.CopyN(io.Discard, c, test.read)
						_ = c.(*net.TCPConn).SetLinger(0)
					}()
				}
			}()
			f.useListener(l, test.route)
			prompt := 0
			if test.route == "draft" {
				prompt = 1000
			}
			whole := 0
			for range rounds {
				a := f.call(f.relays[0], test.route, body, prompt, 0)
				if a.err == nil && (a.status == http.StatusOK || a.status == http.StatusNotFound) {
					whole++
				}
			}
			if n := reached.Load(); whole > 0 || n < rounds {
				t.Errorf("%d of %d answers look whole, %d requests came", whole, rounds, n)
			}
		})
	}
}

// TestNoStatusConfirmsNothing guards against a cut answer that looks whole because its endpoint's
// companion or report is answered with a status that is none of HTTP.
func TestNoStatusConfirmsNothing(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	var status atomic.Value
	var asked atomic.Int32
	f.serveConns("order", func(_ net.Listener, c *net.TCPConn, next func() *http.Request) {
		switch req := next(); {
		case strings.HasSuffix(req.RequestURI, "cut"):
			write(c, standin.SealedHead("200 OK")+"\r\npla")
		case req.RequestURI != "":
			asked.Add(1)
			write(c, "HTTP/1.1 "+status.Load().(string)+" Odd\r\nContent-Length: 10\r\n\r\n{\"born\":1}")
		}
	})
	for i, text := range []string{"000", "001", "+20", " 200", "101", "199", "600", "999"} {
		status.Store(text)
		asked.Store(0)
		a := f.callAs(f.relays[0], fmt.Sprint("cut-", i), "key", "/order/cut", "", 0, 0)
		if a.status == http.StatusOK && a.err == nil || asked.Load() == 0 {
			t.Errorf("%q: got %+v, asked %d times", text, a, asked.Load())
		}
	}
}
