package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// serveConns serves each connection to a new listener, the address of the endpoints of a route,
// with a function that reads its requests with next; the connection ends in order after it.
func (f *fleet) serveConns(route string, serve func(l net.Listener, c *net.TCPConn, next func() *http.Request)) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				serve(l, c.(*net.TCPConn), func() *http.Request { return nextRequest(reader) })
			}()
		}
	}()
	f.useListener(l, route)
}

// nextRequest reads a request with its body; its target is empty if there is none.
func nextRequest(from *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(from)
	if err != nil {
		return &http.Request{}
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req
}

// TestLateAnswerConfirmsNothing guards against an answer that is cut and looks whole because an
// answer to an earlier request arrives late, on a kept connection, in place of the report.
func TestLateAnswerConfirmsNothing(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	cutBegun, kept := make(chan struct{}), make(chan struct{})
	f.serveConns("order", func(l net.Listener, c *net.TCPConn, next func() *http.Request) {
		switch req := next(); {
		case strings.HasSuffix(req.RequestURI, "cut"):
			write(c, standin.SealedHead("200 OK")+"\r\npla")
			close(cutBegun)
			<-kept
			_ = l.Close()
		case strings.HasSuffix(req.RequestURI, "kept"):
			<-cutBegun
			answer := standin.SealedHead("200 OK") + standin.CallField(standin.CallID(req.Header)) + "Content-Length: 6\r\n\r\nplaced"
			write(c, answer)
			time.AfterFunc(200*time.Millisecond, func() { close(kept) })
			next()
			write(c, answer)
		}
	})
	go f.callAs(f.relays[0], "kept", "key", "/order/kept", "", 0, 0)
	if a := f.callAs(f.relays[0], "cut", "key", "/order/cut", "", 0, 0); a.status == http.StatusOK && a.err == nil {
		t.Errorf("%q looks whole", a.body)
	}
}

// TestGatewayConfirmsNothing guards against an answer that is cut and looks whole because a gateway
// in front of its endpoint answers in the endpoint's place.
func TestGatewayConfirmsNothing(t *testing.T) {
	for _, status := range []string{"502 Bad Gateway", "504 Gateway Timeout"} {
		f := newFleet(t, 1, testAccount)
		f.serveConns("order", func(_ net.Listener, c *net.TCPConn, next func() *http.Request) {
			if strings.HasPrefix(next().RequestURI, "/order") {
				write(c, standin.SealedHead("200 OK")+"\r\npla")
				return
			}
			write(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		})
		if a := f.call(f.relays[0], "order", "", 0, 0); a.status == http.StatusOK && a.err == nil {
			t.Errorf("%s: %q looks whole", status, a.body)
		}
	}
}

// TestFullEndpointConfirms guards against a whole answer that is given up because its endpoint has
// no room for one more connection, or makes reports without framing, and against a new process that is
// taken for the one before it.
func TestFullEndpointConfirms(t *testing.T) {
	for then, whole := range map[string]bool{
		"200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":1}": true,
		"200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":2}": false,
		"404 Not Found\r\nContent-Length: 0\r\n\r\n":       false,
		"200 OK\r\n\r\n{\"born\":1}":                       true,
		"200 OK\r\n\r\n{\"born\":2}":                       false,
		"200 OK\r\n\r\n{\"born\":1":                        false,
	} {
		f := newFleet(t, 1, testAccount)
		resets := make(chan struct{}, 1)
		f.serveConns("order", func(_ net.Listener, c *net.TCPConn, next func() *http.Request) {
			if strings.HasPrefix(next().RequestURI, "/order") {
				write(c, standin.SealedHead("200 OK")+"\r\nplaced")
				return
			}
			select {
			case resets <- struct{}{}:
				_ = c.SetLinger(0)
			default:
				write(c, "HTTP/1.1 "+then)
			}
		})
		if a := f.call(f.relays[0], "order", "", 0, 0); (a.status == http.StatusOK) != whole {
			t.Errorf("then %.13q: got %+v", then, a)
		}
	}
}

// TestDeclinesNeedNoConfirmation guards against a full endpoint that is asked for a sign of life
// after each request that it declines.
func TestDeclinesNeedNoConfirmation(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	var declined, asked atomic.Int64
	f.serveConns("order", func(_ net.Listener, c *net.TCPConn, next func() *http.Request) {
		switch uri := next().RequestURI; {
		case strings.HasPrefix(uri, "/order"):
			declined.Add(1)
			write(c, standin.NotRunHead()+"\r\nfull")
		case uri != "":
			asked.Add(1)
		}
	})
	a := f.call(f.relays[0], "order", "", 0, 0)
	if a.status != http.StatusServiceUnavailable || declined.Load() == 0 || asked.Load() > 0 {
		t.Errorf("status %d, %d declined, asked %d times", a.status, declined.Load(), asked.Load())
	}
}

// TestReportAfterClosedCompanion guards against a whole answer that is given up because its endpoint
// closes idle connections, and against one that is confirmed by a process that doesn't make reports.
func TestReportAfterClosedCompanion(t *testing.T) {
	for report, whole := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":1}": true,
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":2}": false,
		notFound: false,
	} {
		f := newFleet(t, 1, testAccount)
		f.serveConns("order", func(_ net.Listener, c *net.TCPConn, next func() *http.Request) {
			_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			switch req := next(); {
			case strings.HasPrefix(req.RequestURI, "/order"):
				write(c, standin.SealedHead("200 OK")+"\r\npla")
				time.Sleep(time.Second)
				write(c, "ced")
			case req.RequestURI != "":
				write(c, report)
			}
		})
		if a := f.call(f.relays[0], "order", "", 0, 0); (a.status == http.StatusOK && a.err == nil) != whole {
			t.Errorf("%.20q: got %+v", report, a)
		}
	}
}

// TestSilentEndpointConfirms guards against a whole answer that is given up because its endpoint is
// silent for a moment when it is asked whether it runs on.
func TestSilentEndpointConfirms(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	f.serveConns("order", func(_ net.Listener, c *net.TCPConn, next func() *http.Request) {
		if strings.HasPrefix(next().RequestURI, "/order") {
			write(c, standin.SealedHead("200 OK")+"\r\nplaced")
			return
		}
		time.Sleep(time.Second)
		write(c, notFound)
	})
	if a := f.call(f.relays[0], "order", "", 0, 0); a.status != http.StatusOK || a.err != nil {
		t.Errorf("got %+v", a)
	}
}
