package origin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// noStatuses are texts in the place of a status that are none of an answer to a request which asks
// for no upgrade.
var noStatuses = []string{
	"", "0", "000", "001", "020", "099", "+20", "-10", "+200", " 200", "\t200", "2 00", "20 0", "1e2", "0x1", "20", "2000", "200\t", "٢00",
	"101", "104", "199", "600", "700", "999",
}

// framed returns the rest of an answer with a body, by how its end is told.
func framed(body string) map[string]string {
	return map[string]string{
		"length":     fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"connection": "Connection: close\r\n\r\n" + body,
	}
}

// checkNoAnswer sends a request, and fails if anything comes back, or if it counts as not run or as
// not answered, or if its connection is kept.
func checkNoAnswer(t *testing.T, p *Pool, r Request, name string) {
	t.Helper()
	body, err := readBody(p, r)
	if err == nil || body != "" {
		t.Errorf("%s: %q, %v", name, body, err)
	}
	if errors.Is(err, ErrUnreachable) || errors.Is(err, ErrExpired) || errors.Is(err, ErrIdleTimeout) {
		t.Errorf("%s: %v, want an error after which the request may have run", name, err)
	}
	if c := p.popIdle(way{
		addr: r.Address,
		via:  r.Via,
	}, ""); c != nil {
		_ = c.Close()
		t.Errorf("%s: the connection is kept", name)
	}
}

// TestNoStatus guards against an answer whose status is none of HTTP and that is taken for one, or for
// an interim one whose body, a text that a caller may have chosen, is the answer then.
func TestNoStatus(t *testing.T) {
	for way, via := range ways(t) {
		for _, status := range noStatuses {
			t.Run(way+", "+status, func(t *testing.T) {
				t.Parallel()
				for framing, rest := range framed(answer("1", "fake")) {
					bad := "HTTP/1.1 " + status + " Odd\r\nId: 1\r\n" + rest
					for name, scripts := range map[string][]string{
						"first":         {bad},
						"later":         {answer("0", "kept"), bad},
						"after another": {answer("0", "old") + bad},
						"after interim": {"HTTP/1.1 100 Continue\r\n\r\n" + bad},
						"no reason":     {strings.Replace(bad, " Odd", "", 1)},
					} {
						e := newEndpoint(t, scripts...)
						p, stop := New()
						for range scripts[1:] {
							r := e.request("0")
							r.Via = via
							if got, err := readBody(p, r); got != "kept" || err != nil {
								t.Fatalf("%q, %v", got, err)
							}
						}
						r := e.request("1")
						r.Via = via
						checkNoAnswer(t, p, r, framing+", "+name)
						if p.Dials() != 1 {
							t.Errorf("%s, %s: %d dials", framing, name, p.Dials())
						}
						stop()
					}
				}
			})
		}
	}
}

// TestInterimAnswers: interim answers come before a final one. One that has a body is none, since
// that body would be the next answer, and their number is bounded.
func TestInterimAnswers(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	fake := answer("1", "fake")
	for name, test := range map[string]struct {
		interim string
		whole   bool
	}{
		"one":       {"HTTP/1.1 100 Continue\r\n\r\n", true},
		"no reason": {"HTTP/1.1 100\r\n\r\n", true},
		"three":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + early, true},
		"eight":     {strings.Repeat(early, 8), true},
		"nine":      {strings.Repeat(early, 9), false},
		"length":    {"HTTP/1.1 100 Continue\r\n" + framed(fake)["length"], false},
		"no length": {"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n", false},
		"chunks":    {"HTTP/1.1 103 Early Hints\r\n" + framed(fake)["chunks"], false},
		"old":       {"HTTP/1.0 100 Continue\r\n\r\n", false},
		"long":      {strings.ReplaceAll(strings.Repeat(early, 3), "</a>", strings.Repeat("a", 30<<10)), false},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, test.interim+answer("1", "done"))
			p, stop := New()
			defer stop()
			if !test.whole {
				checkNoAnswer(t, p, e.request("1"), name)
				return
			}
			if got, err := readBody(p, e.request("1")); got != "done" || err != nil {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// TestNoStatusConfirmsNothing guards against an end that counts as confirmed by an answer with a
// status that is none.
func TestNoStatusConfirmsNothing(t *testing.T) {
	for _, status := range noStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			addr, _ := numberedEndpoint(t, func(n int32, c net.Conn) {
				switch {
				case !receive(c):
				case n == 1:
					send(c, unframedHead+"bo")
				default:
					send(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n"+answer("1", ""))
					time.Sleep(50 * time.Millisecond)
				}
			})
			p, stop := New()
			defer stop()
			r, answered := watchedRequest(p, addr)
			r.Header = http.Header{}
			if body, err := readBody(p, r); !errors.Is(err, ErrUnconfirmed) || answered.Load() {
				t.Errorf("%q, %v, answered %t", body, err, answered.Load())
			}
		})
	}
}
