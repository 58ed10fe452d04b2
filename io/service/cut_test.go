package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/io/service"
)

const (
	framedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n" + `{"id":"framed","body":""}`
	unframedHead = "HTTP/1.1 201 Created\r\n\r\n"
	unframedText = "placed"
	aliveAnswer  = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
)

// lasting is a service whose answers are chosen by the attempt.
type lasting struct {
	listener net.Listener

	// cut answers the attempt "cut" and ends its connection, of which it has read the head alone.
	cut func(e *lasting, c *net.TCPConn)

	// mu guards the fields below.
	mu    sync.Mutex
	down  bool
	conns []net.Conn
}

// newLasting starts an endpoint.
func newLasting(t *testing.T, cut func(*lasting, *net.TCPConn)) *lasting {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &lasting{
		listener: l,
		cut:      cut,
	}
	t.Cleanup(e.goDown)
	go e.serve(l)
	return e
}

func (e *lasting) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if e.hold(c) {
			go e.serveConn(c.(*net.TCPConn))
		}
	}
}

// hold notes a connection, and closes it if the endpoint is down.
func (e *lasting) hold(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		_ = c.Close()
		return false
	}
	e.conns = append(e.conns, c)
	return true
}

// goDown closes the listener and all connections.
func (e *lasting) goDown() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for _, c := range e.conns {
		_ = c.Close()
	}
}

func (e *lasting) serveConn(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 1<<10)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		attempt := req.Header.Get("X-Request-Id")
		if attempt == "cut" {
			e.cut(e, c)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		switch attempt {
		case "framed":
			_, err = io.WriteString(c, framedAnswer)
		case "unframed":
			_, _ = io.WriteString(c, unframedHead+unframedText)
			return
		default:
			_, err = io.WriteString(c, aliveAnswer)
		}
		if err != nil {
			return
		}
	}
}

// history is the answers of an endpoint before the one that is cut.
type history struct {
	before []string

	// kept is set if the last connection may be used again.
	kept bool
}

var histories = map[string]history{
	"first":                       {nil, false},
	"after a framed one":          {[]string{"framed"}, false},
	"after a framed one, kept":    {[]string{"framed"}, true},
	"after an unframed one":       {[]string{"unframed"}, false},
	"after an unframed one, kept": {[]string{"unframed"}, true},
	"after both":                  {[]string{"unframed", "framed"}, false},
	"after both, kept":            {[]string{"unframed", "framed", "framed"}, true},
}

// countWhole makes the calls of a history, and the one that is cut, at endpoints of their own. It
// returns the number of cut answers that look whole.
func countWhole(t *testing.T, rounds int, h history, body string, cut func(*lasting, *net.TCPConn)) int {
	t.Helper()
	var calls sync.WaitGroup
	var whole atomic.Int32
	for range rounds {
		calls.Go(func() {
			e := newLasting(t, cut)
			c, stop := service.New()
			defer stop()
			call := service.Call{
				Address:    netip.MustParseAddrPort(e.listener.Addr().String()),
				Idempotent: h.kept,
			}
			for _, call.Attempt = range h.before {
				if _, err := c.Do(t.Context(), call); err != nil {
					t.Logf("%s: %v", call.Attempt, err)
				}
			}
			call.Attempt = "cut"
			call.Body = body
			if _, err := c.Do(t.Context(), call); err == nil {
				whole.Add(1)
			}
		})
	}
	calls.Wait()
	return int(whole.Load())
}

// TestResetWithLastBytes guards against an answer that looks whole although its endpoint, which lives
// on, reset the connection together with the last bytes.
func TestResetWithLastBytes(t *testing.T) {
	const rounds = 8
	for name, h := range histories {
		for when, pause := range map[string]time.Duration{"at once": 0, "later": 700 * time.Millisecond} {
			t.Run(name+", "+when, func(t *testing.T) {
				t.Parallel()
				n := countWhole(t, rounds, h, "", func(_ *lasting, c *net.TCPConn) {
					_, _ = io.WriteString(c, unframedHead+"pl")
					time.Sleep(pause)
					_, _ = io.WriteString(c, "a")
					_ = c.SetLinger(0)
				})
				if n > 0 {
					t.Errorf("%d of %d answers look whole", n, rounds)
				}
			})
		}
	}
}

// TestResetDuringUploadToLivingEndpoint guards against an answer that looks whole although its endpoint,
// which lives on, reset the connection: a write of a large body gets the error.
func TestResetDuringUploadToLivingEndpoint(t *testing.T) {
	const rounds = 4
	body := strings.Repeat("x", 6<<20)
	for name, h := range histories {
		for when, reset := range map[string]func(c *net.TCPConn){
			"at once": func(*net.TCPConn) {},
			"reads":   func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, 3<<20) },
			"later": func(c *net.TCPConn) {
				time.Sleep(100 * time.Millisecond)
				_, _ = io.CopyN(io.Discard, c, 1<<20)
				_, _ = io.WriteString(c, "c")
			},
		} {
			t.Run(name+", "+when, func(t *testing.T) {
				n := countWhole(t, rounds, h, body, func(_ *lasting, c *net.TCPConn) {
					_, _ = io.WriteString(c, unframedHead+"pla")
					reset(c)
					_ = c.SetLinger(0)
				})
				if n > 0 {
					t.Errorf("%d of %d answers look whole", n, rounds)
				}
			})
		}
	}
}

// TestEndOfEndpointThatGoesDown guards against an answer that is cut and looks whole because its
// endpoint, which closes its connections one after the other, still answers on another one.
func TestEndOfEndpointThatGoesDown(t *testing.T) {
	const rounds = 4
	for name, h := range histories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := countWhole(t, rounds, h, "", func(e *lasting, c *net.TCPConn) {
				_, _ = io.WriteString(c, unframedHead+"pla")
				time.AfterFunc(20*time.Millisecond, e.goDown)
			})
			if n > 0 {
				t.Errorf("%d of %d answers look whole", n, rounds)
			}
		})
	}
}

// succeed lets another process take over the address of an endpoint.
func succeed(t *testing.T, e *lasting) {
	_ = e.listener.Close()
	again, err := net.Listen("tcp", e.listener.Addr().String())
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { _ = again.Close() })
	go (&lasting{
		cut: func(_ *lasting, c *net.TCPConn) { _, _ = io.WriteString(c, aliveAnswer) },
	}).serve(again)
}

// TestSuccessorWithinAnswer guards against an answer that is cut and looks whole because a process
// answers that took over the address of its endpoint while it was running.
func TestSuccessorWithinAnswer(t *testing.T) {
	const rounds = 4
	for name, h := range histories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := countWhole(t, rounds, h, "", func(e *lasting, c *net.TCPConn) {
				_, _ = io.WriteString(c, unframedHead+"pla")
				time.Sleep(300 * time.Millisecond)
				succeed(t, e)
				e.goDown()
			})
			if n > 0 {
				t.Errorf("%d of %d answers look whole", n, rounds)
			}
		})
	}
}

// TestSuccessorBeforeAnswer guards against an answer that is cut and looks whole because a process
// answers that took over the address of its endpoint after the request and before the answer.
func TestSuccessorBeforeAnswer(t *testing.T) {
	const rounds = 4
	for name, h := range histories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := countWhole(t, rounds, h, "", func(e *lasting, c *net.TCPConn) {
				succeed(t, e)
				_, _ = io.WriteString(c, unframedHead+"pla")
				e.goDown()
			})
			if n > 0 {
				t.Errorf("%d of %d answers look whole", n, rounds)
			}
		})
	}
}

// TestSuccessorBesideKeptConnection guards against an answer that is cut and looks whole because a
// process answers that has had the address since before the request was sent: its endpoint has left
// and still serves the connections that were kept.
func TestSuccessorBesideKeptConnection(t *testing.T) {
	for name, before := range map[string][]string{
		"framed ones": {"framed"},
		"both":        {"unframed", "framed", "framed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newLasting(t, func(e *lasting, c *net.TCPConn) {
				_, _ = io.WriteString(c, unframedHead+"pla")
				e.goDown()
			})
			c, stop := service.New()
			defer stop()
			call := service.Call{
				Address:    netip.MustParseAddrPort(e.listener.Addr().String()),
				Idempotent: true,
			}
			for _, call.Attempt = range before {
				if _, err := c.Do(t.Context(), call); err != nil {
					t.Fatal(err)
				}
			}
			succeed(t, e)
			call.Attempt = "cut"
			if a, err := c.Do(t.Context(), call); err == nil && a.Body == "pla" {
				t.Errorf("%+v looks whole", a)
			}
		})
	}
}

// TestEndOfLivingEndpoint guards against a whole answer that is given up although its endpoint lives on.
// Only the first without framing may be, if its connection was kept.
func TestEndOfLivingEndpoint(t *testing.T) {
	const rounds = 4
	for name, h := range histories {
		if name == "after a framed one, kept" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := countWhole(t, rounds, h, "", func(_ *lasting, c *net.TCPConn) {
				_, _ = io.WriteString(c, unframedHead+unframedText)
			})
			if n < rounds {
				t.Errorf("%d of %d answers look whole", n, rounds)
			}
		})
	}
}

// TestEndingIsTold guards against an answer that ended with its connection and of which the log doesn't tell
// by what the end was confirmed.
func TestEndingIsTold(t *testing.T) {
	byCompanion := waxwingwall.Ending{
		Confirmed: waxwingwall.ConfirmedByCompanion,
		Asked:     1,
		Status:    http.StatusNotFound,
	}
	accompanied := byCompanion
	accompanied.Accompanied = true
	whole := func(_ *lasting, c *net.TCPConn) { _, _ = io.WriteString(c, unframedHead+unframedText) }
	for name, test := range map[string]struct {
		before []string
		kept   bool
		cut    func(*lasting, *net.TCPConn)
		want   waxwingwall.Ending
	}{
		"first":              {nil, false, whole, byCompanion},
		"after one":          {[]string{"unframed"}, false, whole, accompanied},
		"kept":               {[]string{"framed"}, true, whole, waxwingwall.Ending{}},
		"goes down at once":  {nil, false, func(e *lasting, c *net.TCPConn) { whole(e, c); e.goDown() }, waxwingwall.Ending{}},
		"goes down after it": {[]string{"unframed"}, false, func(e *lasting, c *net.TCPConn) { whole(e, c); e.goDown() }, waxwingwall.Ending{Accompanied: true}},
	} {
		t.Run(name, func(t *testing.T) {
			e := newLasting(t, test.cut)
			c, stop := service.New()
			defer stop()
			var got []waxwingwall.Ending
			call := service.Call{
				Address:    netip.MustParseAddrPort(e.listener.Addr().String()),
				Idempotent: test.kept,
			}
			for _, call.Attempt = range test.before {
				if _, err := c.Do(t.Context(), call); err != nil {
					t.Fatal(err)
				}
			}
			call.Attempt = "cut"
			call.OnEnding = func(e waxwingwall.Ending) { got = append(got, e) }
			_, err := c.Do(t.Context(), call)
			if len(got) != 1 {
				t.Fatalf("told %d times, %v", len(got), err)
			}
			if got[0].Took < 0 {
				t.Errorf("took %v", got[0].Took)
			}
			got[0].Took = 0
			if got[0] != test.want || (err == nil) != (test.want.Confirmed != "") {
				t.Errorf("told %+v, want %+v; %v", got[0], test.want, err)
			}
		})
	}
}

// TestEndsOfManyAnswers guards against whole answers that are given up because many end with their
// connections at one endpoint at a time.
func TestEndsOfManyAnswers(t *testing.T) {
	const answers = 100
	var begun, calls sync.WaitGroup
	begun.Add(answers)
	e := newLasting(t, func(_ *lasting, c *net.TCPConn) {
		_, _ = io.WriteString(c, unframedHead+unframedText)
		begun.Done()
		begun.Wait()
		time.Sleep(200 * time.Millisecond)
	})
	c, stop := service.New()
	defer stop()
	var whole atomic.Int32
	for range answers {
		calls.Go(func() {
			_, err := c.Do(t.Context(), service.Call{
				Address: netip.MustParseAddrPort(e.listener.Addr().String()),
				Attempt: "cut",
			})
			if err == nil {
				whole.Add(1)
			}
		})
	}
	calls.Wait()
	if n := whole.Load(); n < answers {
		t.Errorf("%d of %d answers are whole", n, answers)
	}
}
