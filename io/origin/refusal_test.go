package origin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// refusal returns a refusal that names a request, or none if id is empty.
func refusal(id string) string {
	head := "HTTP/1.1 503 Service Unavailable\r\n"
	if id != "" {
		head += "Id: " + id + "\r\n"
	}
	return head + "Content-Length: 4\r\n\r\nfull"
}

// identified returns a request that identifies itself.
func (e *endpoint) identified(id string) Request {
	r := e.request(id)
	r.ID = id
	r.Unnamed = func(h http.Header) bool { return h.Get("Id") == "" }
	return r
}

// TestUnnamedAnswer guards against an answer without an ID that is taken for that to the
// request, although an endpoint may repeat an earlier one: it counts only as the first
// answer on its connection.
func TestUnnamedAnswer(t *testing.T) {
	e := newEndpoint(t, refusal(""), answer("2", "two"), refusal(""), answer("4", "four"), answer("0", "late")+refusal(""))
	p, stop := New()
	defer stop()
	for i, want := range []struct {
		text  string
		fails bool
		dials int
	}{
		{"full", false, 1},
		{"two", false, 2},
		{"", true, 2},
		{"four", false, 3},
		{"", true, 3},
	} {
		text, err := readBody(p, e.identified(strconv.Itoa(i+1)))
		if text != want.text || (err != nil) != want.fails || p.Dials() != want.dials {
			t.Errorf("%d: got %q, %v, %d dials, want %+v", i+1, text, err, p.Dials(), want)
		}
		if errors.Is(err, ErrUnreachable) || errors.Is(err, ErrExpired) || errors.Is(err, ErrIdleTimeout) {
			t.Errorf("%d: got %v, want an error after which the request may have run", i+1, err)
		}
	}
}

// TestFailedRequestIsSentElsewhere guards against a repetition of a failure that is taken
// for a second answer to the same request: that request gets another connection, and
// others reuse the old one.
func TestFailedRequestIsSentElsewhere(t *testing.T) {
	e := newEndpoint(t, answer("1", "one"), refusal("2"), answer("2", "two"), answer("3", "more"), refusal("2")+answer("4", "four"))
	p, stop := New()
	defer stop()
	for i, want := range []struct {
		id, text string
		dials    int
	}{
		{"1", "one", 1},
		{"2", "full", 1},
		{"2", "two", 2},
		{"3", "more", 2},
		{"4", "four", 2},
	} {
		if text, err := readBody(p, e.identified(want.id)); err != nil || text != want.text || p.Dials() != want.dials {
			t.Errorf("%d: got %q, %v, %d dials, want %+v", i, text, err, p.Dials(), want)
		}
	}
}

// TestManyFailures: a connection is reused after failures, but not after
// maxFailedRequests of them.
func TestManyFailures(t *testing.T) {
	e := newEndpoint(t)
	go func() {
		for i := range maxFailedRequests + 1 {
			e.scripts <- refusal(strconv.Itoa(i))
			<-e.seen
		}
	}()
	p, stop := New()
	defer stop()
	for i := range maxFailedRequests + 1 {
		if _, err := readBody(p, e.identified(strconv.Itoa(i))); err != nil {
			t.Fatal(err)
		}
		if want := 1 + i/maxFailedRequests; p.Dials() != want {
			t.Fatalf("%d dials after %d failures, want %d", p.Dials(), i+1, want)
		}
	}
}

// TestRepeatedBeforeWholeRequest guards against an endpoint that repeats an earlier answer
// while it still reads the request: an early answer counts if it names the request.
func TestRepeatedBeforeWholeRequest(t *testing.T) {
	body := []byte(strings.Repeat("x", 1<<20))
	for name, test := range map[string]struct {
		early string
		want  string
		fails bool
	}{
		"refusal without an ID":      {refusal(""), "", true},
		"refusal of another request": {refusal("0"), "done", false},
		"refusal":                    {refusal("2"), "full", false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				r := bufio.NewReader(c)
				for _, texts := range [][2]string{{"", answer("1", "one")}, {test.early, answer("2", "done")}} {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.WriteString(c, texts[0]); err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					if _, err := io.WriteString(c, texts[1]); err != nil {
						return
					}
				}
			}()
			p, stop := New()
			defer stop()
			e := &endpoint{
				addr: l.Addr().(*net.TCPAddr).AddrPort(),
			}
			if _, err := readBody(p, e.identified("1")); err != nil {
				t.Fatal(err)
			}
			r := e.identified("2")
			r.Method = http.MethodPost
			r.Body = body
			text, err := readBody(p, r)
			if text != test.want || (err != nil) != test.fails || p.Dials() != 1 {
				t.Errorf("got %q, %v, %d dials, want %+v", text, err, p.Dials(), test)
			}
		})
	}
}
