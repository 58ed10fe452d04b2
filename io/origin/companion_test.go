package origin

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

const unframedHead = "HTTP/1.1 200 OK\r\n\r\n"

// numberedEndpoint serves each connection with a function that gets its number, from 1 on. The
// connections end in order after it.
func numberedEndpoint(t *testing.T, serve func(n int32, c net.Conn)) (netip.AddrPort, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var count atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := count.Add(1)
			go func() {
				defer c.Close()
				serve(n, c)
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), &count
}

// receive reads a request; it reports false if none came.
func receive(c net.Conn) bool {
	_, err := c.Read(make([]byte, 4<<10))
	return err == nil
}

// send writes a part of an answer. The router may have closed the connection.
func send(c net.Conn, text string) {
	_, _ = io.WriteString(c, text)
}

// watchedRequest returns a request, and whether its end was asked about with a companion that
// answered. An answer is confirmed by that alone.
func watchedRequest(p *Pool, to netip.AddrPort) (Request, *atomic.Bool) {
	var answered atomic.Bool
	r := Request{
		Address: to,
		Method:  http.MethodGet,
		Target:  "/",
		Host:    "a.example",
		Header:  http.Header{},
	}
	question := r
	r.Confirm = func(ctx context.Context, c *Companion) bool {
		if c == nil {
			return false
		}
		question.Companion = c
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		a, err := p.Do(ctx, question)
		if err != nil {
			return false
		}
		a.Close()
		answered.Store(true)
		return true
	}
	return r, &answered
}

// waitForCompanions fails if companions are left.
func waitForCompanions(t *testing.T, p *Pool) {
	t.Helper()
	left := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.companionCount + len(p.companions)
	}
	for end := time.Now().Add(5 * time.Second); left() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d companions are left", left())
		}
	}
}

// TestCompanion guards against an end that counts as confirmed by a connection that may be one of
// another process, and against a whole answer that is given up although its process still answers
// on another connection.
func TestCompanion(t *testing.T) {
	for name, test := range map[string]struct {
		serve func(n int32, c net.Conn)
		want  bool
	}{
		"lives on": {func(_ int32, c net.Conn) {
			if receive(c) {
				send(c, unframedHead+"body")
			}
		}, true},
		"killed": {func(n int32, c net.Conn) {
			if n == 1 && receive(c) {
				send(c, unframedHead+"body")
			}
		}, false},
		"closed early, others open": {func(n int32, c net.Conn) {
			switch {
			case n == 2:
			case receive(c) && n == 1:
				send(c, unframedHead)
				time.Sleep(time.Second)
				send(c, "bo")
				time.Sleep(10 * time.Millisecond)
				send(c, "dy")
			case n > 2:
				send(c, unframedHead)
			}
		}, false},
		"closed just before the end": {func(n int32, c net.Conn) {
			switch {
			case n == 2:
				time.Sleep(350 * time.Millisecond)
			case receive(c) && n == 1:
				send(c, unframedHead+"bo")
				time.Sleep(350 * time.Millisecond)
				send(c, "dy")
			case n > 2:
				send(c, unframedHead)
			}
		}, false},
		"closed just after the end": {func(n int32, c net.Conn) {
			switch {
			case n == 2:
				time.Sleep(350*time.Millisecond + outliveTime/2)
			case receive(c) && n == 1:
				send(c, unframedHead+"bo")
				time.Sleep(350 * time.Millisecond)
				send(c, "dy")
			case n > 2:
				send(c, unframedHead)
			}
		}, false},
	} {
		for way, via := range ways(t) {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				addr, _ := numberedEndpoint(t, test.serve)
				p, stop := New()
				defer stop()
				r, answered := watchedRequest(p, addr)
				r.Via = via
				body, err := readBody(p, r)
				if body != "body" || (err == nil) != test.want || answered.Load() != test.want {
					t.Errorf("%q, %v, answered %t", body, err, answered.Load())
				}
				waitForCompanions(t, p)
			})
		}
	}
}

// TestCompanionOfSlowReader guards against an end that was underway, behind bytes that nobody had
// read yet, when the companion was opened again.
func TestCompanionOfSlowReader(t *testing.T) {
	addr, _ := numberedEndpoint(t, func(n int32, c net.Conn) {
		switch {
		case n == 2:
		case receive(c):
			send(c, unframedHead+"body")
		}
	})
	p, stop := New()
	defer stop()
	r, answered := watchedRequest(p, addr)
	a, err := p.Do(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	time.Sleep(time.Second)
	if body, err := io.ReadAll(a); string(body) != "body" || err == nil || answered.Load() {
		t.Errorf("%q, %v, answered %t", body, err, answered.Load())
	}
}

// TestSerialEndpoint guards against a companion that holds up an endpoint which serves one
// connection at a time.
func TestSerialEndpoint(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if receive(c) {
				send(c, unframedHead+"body")
			}
			_ = c.Close()
		}
	}()
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	p, stop := New()
	defer stop()
	for range 20 {
		r, answered := watchedRequest(p, addr)
		if body, err := readBody(p, r); body != "body" || err != nil || !answered.Load() {
			t.Fatalf("%q, %v, answered %t", body, err, answered.Load())
		}
	}
}

// TestFirstAnswersAtOnce guards against whole answers that are given up because an endpoint of which
// nothing is known gets several requests at once.
func TestFirstAnswersAtOnce(t *testing.T) {
	addr, _ := numberedEndpoint(t, func(_ int32, c net.Conn) {
		if receive(c) {
			time.Sleep(50 * time.Millisecond)
			send(c, unframedHead+"body")
		}
	})
	p, stop := New()
	defer stop()
	results := make(chan error, maxFirstCompanions)
	for range maxFirstCompanions {
		r, _ := watchedRequest(p, addr)
		go func() {
			_, err := readBody(p, r)
			results <- err
		}()
	}
	for range maxFirstCompanions {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// TestCompanionsAreBounded guards against connections beside requests to endpoints that frame their
// answers, beside too many at once, and against ones that outlive their requests.
func TestCompanionsAreBounded(t *testing.T) {
	const many = 3 * maxCompanionsPerAddress
	for name, test := range map[string]struct {
		answer string
		most   int32
	}{
		"framed":   {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 1 + many + 1},
		"silent":   {"", many + maxFirstCompanions},
		"unframed": {unframedHead, 1 + many + 1 + maxCompanionsPerAddress},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, count := numberedEndpoint(t, func(_ int32, c net.Conn) {
				if receive(c) {
					send(c, test.answer)
					_, _ = io.Copy(io.Discard, c)
				}
			})
			p, stop := New()
			defer stop()
			if test.answer != "" {
				// The others must find the framing known, however slow the machine is.
				r, _ := watchedRequest(p, addr)
				a, err := p.Do(t.Context(), r)
				if err != nil {
					t.Fatal(err)
				}
				a.Close()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			results := make(chan error, many)
			do := func() {
				r, _ := watchedRequest(p, addr)
				a, err := p.Do(ctx, r)
				if err == nil {
					_, err = io.ReadAll(a)
					a.Close()
				}
				results <- err
			}
			for range many {
				go do()
			}
			for range many {
				<-results
			}
			waitForCompanions(t, p)
			if n := count.Load(); n > test.most {
				t.Errorf("%d connections, at most %d are allowed", n, test.most)
			}
		})
	}
}
