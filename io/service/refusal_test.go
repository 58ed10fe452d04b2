package service_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"waxwingwall/io/endpoint"
	"waxwingwall/io/service"
)

// TestRepeatedRefusal guards against a service that writes an earlier refusal once more
// where the answer to the next call on a kept connection is due: that call must not be
// reported as declined.
func TestRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n" + `{"id":"2","body":"placed"}`
	for name, idempotent := range map[string]bool{
		"idempotent":     true,
		"non-idempotent": false,
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				refused := false
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					r := bufio.NewReader(c)
					for n := 1; ; n++ {
						req, err := http.ReadRequest(r)
						if err != nil {
							break
						}
						if _, err := io.Copy(io.Discard, req.Body); err != nil {
							break
						}
						text := answer
						if !refused {
							text = refusal
						} else if n > 1 {
							text = refusal + answer
						}
						refused = true
						if _, err := io.WriteString(c, text); err != nil {
							break
						}
					}
					_ = c.Close()
				}
			}()
			c, stop := service.New()
			defer stop()
			do := func(attempt string) (service.Answer, error) {
				return c.Do(context.Background(), service.Call{
					Address:    netip.MustParseAddrPort(l.Addr().String()),
					Attempt:    attempt,
					Idempotent: idempotent,
				})
			}
			if a, err := do("1"); err != nil || a.Status != http.StatusServiceUnavailable {
				t.Errorf("got %+v, %v, want the refusal", a, err)
			}
			a, err := do("2")
			var failure *endpoint.Error
			if errors.As(err, &failure) && failure.Failure == endpoint.Declined {
				t.Errorf("got %v, want no refusal", err)
			}
			if err == nil && (a.Status != http.StatusOK || a.Body != "placed") {
				t.Errorf("got %+v, want the answer", a)
			}
		})
	}
}
