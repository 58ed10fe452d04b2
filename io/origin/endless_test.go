package origin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endlessEndpoint is an endpoint that answers with start, and then with filler until
// the connection is closed. It counts the bytes that it could send.
func endlessEndpoint(t *testing.T, start, filler string) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var sent atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				block := strings.Repeat(filler, 1+(64<<10)/len(filler))
				if _, err := io.WriteString(c, start); err != nil {
					return
				}
				for {
					n, err := io.WriteString(c, block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), &sent
}

// TestEndlessHead guards against an endpoint whose answer has a head without end: the
// head is neither kept in memory without limit, nor read until the deadline.
func TestEndlessHead(t *testing.T) {
	for name, test := range map[string]struct{ start, filler string }{
		"no answer":     {"", "x"},
		"status line":   {"HTTP/1.1 200 ", "O"},
		"field name":    {"HTTP/1.1 200 OK\r\n", "a"},
		"field value":   {"HTTP/1.1 200 OK\r\nId: ", "1"},
		"fields":        {"HTTP/1.1 200 OK\r\n", "Id: 1\r\n"},
		"other answers": {"", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n"},
		"no final one":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, sent := endlessEndpoint(t, test.start, test.filler)
			p, stop := New()
			defer stop()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := p.Do(ctx, Request{
				Address: addr,
				Method:  "GET",
				Target:  "/",
				Host:    "a.example",
				Header:  map[string][]string{"Id": {"1"}},
				Match:   func(h http.Header) bool { return h.Get("Id") == "1" },
			})
			if err == nil || errors.Is(err, ErrUnreachable) || errors.Is(err, ErrIdleTimeout) || ctx.Err() != nil {
				t.Errorf("got %v, want a failure of the answer before the deadline", err)
			}
			// What the kernel takes is not read by the pool.
			if n := sent.Load(); n > maxHeadBytes+(16<<20) {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}
