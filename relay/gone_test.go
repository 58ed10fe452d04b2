package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// TestNothingIsSentForCallerWhoLeft: callers close their connections while their requests
// wait for tokens, and the server does not notice, as it does on a VM without processor
// time. No request reaches an endpoint afterwards.
func TestNothingIsSentForCallerWhoLeft(t *testing.T) {
	const callers = 4
	var accounts []standin.Account
	for i := range callers {
		accounts = append(accounts, standin.Account{
			Name:    fmt.Sprintf("shop-%d", i),
			Key:     fmt.Sprintf("key-%d", i),
			Prepaid: 1_000_000,
		})
	}
	f := newFleet(t, 1, append(accounts, testAccount)...)
	n := f.relays[0]
	f.store.SetDown(true)
	for i := range callers {
		conn, err := net.Dial("tcp", n.settings.Callers.String())
		if err != nil {
			t.Fatal(err)
		}
		header := http.Header{}
		standin.SetHeaders(header, fmt.Sprintf("gone-%d", i), fmt.Sprintf("key-%d", i), 900_000, 50)
		var text bytes.Buffer
		if err := header.Write(&text); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(conn, "POST /draft/ HTTP/1.1\r\nHost: a.example\r\n%sContent-Length: 0\r\n\r\n", text.String()); err != nil {
			t.Fatal(err)
		}
		// The server reads one byte behind the request and then no longer watches the
		// connection.
		time.Sleep(20 * time.Millisecond)
		if _, err := conn.Write([]byte("\r")); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
	}
	time.Sleep(150 * time.Millisecond)
	f.store.SetDown(false)
	time.Sleep(1500 * time.Millisecond)
	sent := 0
	for i := range callers {
		sent += len(f.runs(fmt.Sprintf("gone-%d", i)))
	}
	if sent > 0 {
		t.Errorf("%d of %d requests reached an endpoint", sent, callers)
	}
}

// TestHalfClosedCaller guards against an answer that looks whole and is not: a caller that
// closes its half of the connection counts as gone, and can still read.
func TestHalfClosedCaller(t *testing.T) {
	for route, wait := range map[string]time.Duration{"order": 0, "draft": 3 * eventDelay} {
		t.Run(route, func(t *testing.T) {
			f := newFleet(t, 1, testAccount)
			f.slowEvents()
			f.ledgers[0].Silence(time.Second)
			f.ledgers[1].Silence(time.Second)
			c, err := net.Dial("tcp", f.relays[0].settings.Callers.String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /%s/ HTTP/1.1\r\nHost: a.example\r\n", route)
			h := http.Header{}
			standin.SetHeaders(h, "half", "key", 1_000, 50)
			_ = h.Write(c)
			fmt.Fprint(c, "Content-Length: 1\r\n\r\nx")
			f.waitUntil("the request has run", func() bool { return len(f.runs("half")) > 0 })
			time.Sleep(wait)
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if text, err := io.ReadAll(resp.Body); err == nil && string(text) != streamText(6) {
				t.Errorf("status %d with %q looks whole", resp.StatusCode, text)
			}
		})
	}
}
