package origin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// largeBody is a body that is still being written when its answer begins.
var largeBody = make([]byte, 8<<20)

// uploadingEndpoint is an endpoint whose answers begin before it has read the request and
// have no length; end ends each connection.
func uploadingEndpoint(t *testing.T, end func(*net.TCPConn)) netip.AddrPort {
	t.Helper()
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
				if _, err := io.ReadFull(c, make([]byte, 1<<10)); err != nil {
					return
				}
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"); err != nil {
					return
				}
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// upload returns a request with a large body.
func upload(to, via netip.AddrPort) Request {
	return Request{
		Address: to,
		Via:     via,
		Method:  "POST",
		Target:  "/",
		Host:    "a.example",
		Header:  map[string][]string{"Id": {"1"}},
		Body:    largeBody,
		Confirm: func(context.Context, *Companion) bool { return true },
	}
}

// ways returns no peer and a peer, by name.
func ways(t *testing.T) map[string]netip.AddrPort {
	return map[string]netip.AddrPort{
		"direct":  {},
		"by peer": newPeer(t),
	}
}

// TestResetDuringUpload guards against an answer without a length that looks complete although
// its endpoint reset the connection: the write of the request consumes the error.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 100
	for name, via := range ways(t) {
		t.Run(name, func(t *testing.T) {
			addr := uploadingEndpoint(t, func(c *net.TCPConn) {
				_, _ = io.CopyN(io.Discard, c, 4<<20)
				_ = c.SetLinger(0)
			})
			p, stop := New()
			defer stop()
			looksComplete := 0
			for range rounds {
				if got, err := readBody(p, upload(addr, via)); err == nil {
					looksComplete++
				} else if errors.Is(err, ErrIdleTimeout) {
					t.Fatalf("%q, %v", got, err)
				}
			}
			if looksComplete > 0 {
				t.Errorf("%d of %d answers look complete", looksComplete, rounds)
			}
		})
	}
}

// TestEndDuringUpload guards against a complete answer that counts as broken, or whose end is
// held back, because its request is still being written.
func TestEndDuringUpload(t *testing.T) {
	for name, afterEnd := range map[string]func(*net.TCPConn){
		"reads on":      func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"reads no more": func(*net.TCPConn) { <-t.Context().Done() },
		"resets":        func(c *net.TCPConn) { _ = c.SetLinger(0) },
	} {
		for way, via := range ways(t) {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				addr := uploadingEndpoint(t, func(c *net.TCPConn) {
					_ = c.CloseWrite()
					afterEnd(c)
				})
				p, stop := New()
				defer stop()
				for range 20 {
					got, err := readBody(p, upload(addr, via))
					if got != "part" || err != nil {
						t.Fatalf("%q, %v", got, err)
					}
				}
			})
		}
	}
}

// TestResetBesideCompanion guards against an answer that is reset and looks whole: the look at its
// connection by which a companion begins to count takes the report of the reset from the read that
// follows, and the endpoint lives on.
func TestResetBesideCompanion(t *testing.T) {
	for way, via := range ways(t) {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			rest, reset := make(chan struct{}), make(chan struct{})
			var requests atomic.Int32
			addr, _ := numberedEndpoint(t, func(_ int32, c net.Conn) {
				if !receive(c) {
					return
				}
				switch requests.Add(1) {
				case 1:
					send(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				case 2:
					send(c, unframedHead+"bo")
					<-rest
					send(c, "dy")
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
					close(reset)
				default:
					send(c, unframedHead)
				}
			})
			p, stop := New()
			defer stop()
			r, _ := watchedRequest(p, addr)
			r.Via = via
			r.Confirm = func(context.Context, *Companion) bool { return true }
			if _, err := readBody(p, r); err != nil {
				t.Fatal(err)
			}
			a, err := p.Do(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			time.Sleep(time.Second)
			close(rest)
			<-reset
			time.Sleep(100 * time.Millisecond)
			if body, err := io.ReadAll(a); err == nil {
				t.Errorf("%q looks whole", body)
			}
		})
	}
}
