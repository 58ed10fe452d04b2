package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"waxwingwall/io/endpoint"
	"waxwingwall/io/engine"
)

// TestRepeatedRefusal guards against an engine that writes an earlier refusal once more
// where the answer to the next request on a kept connection is due: a run must not be
// reported as declined.
func TestRepeatedRefusal(t *testing.T) {
	const accepted = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, refusal := range map[string]string{
		"no body": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"body":    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 4\r\n\r\nfull",
		"chunks":  "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"another": "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			var conns, runs atomic.Int32
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					first := conns.Add(1) == 1
					go func() {
						defer c.Close()
						r := bufio.NewReader(c)
						for n := 1; ; n++ {
							req, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							if _, err := io.Copy(io.Discard, req.Body); err != nil {
								return
							}
							text := ""
							if first && n <= 2 {
								text = refusal
							}
							if !first || n > 1 {
								runs.Add(1)
								text += accepted
							}
							if _, err := io.WriteString(c, text); err != nil || text != refusal {
								return
							}
						}
					}()
				}
			}()
			c, closeClient := engine.New()
			defer closeClient()
			do := func(attempt string) endpoint.Failure {
				_, err := c.Stream(context.Background(), engine.Call{
					Address: netip.MustParseAddrPort(l.Addr().String()),
					Attempt: attempt,
				}, func(engine.Frame) error { return nil })
				var failure *endpoint.Error
				if !errors.As(err, &failure) {
					t.Fatalf("got %v, want a failure", err)
				}
				return failure.Failure
			}
			if f := do("1"); f != endpoint.Declined {
				t.Errorf("first refusal: %v, want it to be declined", f)
			}
			if f := do("2"); f == endpoint.Declined || runs.Load() != 1 {
				t.Errorf("%v with %d runs, want one run that is not declined", f, runs.Load())
			}
		})
	}
}
