package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"waxwingwall/io/tcp"
	"waxwingwall/sim/child"
)

const (
	// resetTries is how often each case of a reset is tried, resetsAtOnce how many of them
	// run at a time.
	resetTries   = 320
	resetsAtOnce = 16

	// resetText is what an endpoint sends before it resets its connection.
	resetText = "part of an answer"
)

// resetCases are the moments at which an endpoint resets its connection. The router runs
// beside it and then reads; either may be nil.
var resetCases = map[string]struct {
	endpoint func(*net.TCPConn)
	router   func(t *testing.T, c net.Conn, nearTCP *net.TCPConn)
}{
	"opened": {
		endpoint: func(*net.TCPConn) {},
	},
	"opened, request follows": {
		endpoint: func(*net.TCPConn) {},
		router:   writeBytes,
	},
	"with its last bytes": {
		endpoint: func(c *net.TCPConn) { _, _ = io.WriteString(c, resetText) },
	},
	"with its last bytes, request is being written": {
		endpoint: func(c *net.TCPConn) {
			_, _ = c.Read(make([]byte, 1))
			_, _ = io.WriteString(c, resetText)
		},
		router: writeBytes,
	},
	"endpoint takes nothing": {
		endpoint: func(c *net.TCPConn) {
			_, _ = io.WriteString(c, resetText)
			time.Sleep(2 * writeInterval)
		},
		router: func(t *testing.T, c net.Conn, _ *net.TCPConn) {
			t.Helper()
			go func() { _, _ = c.Write(make([]byte, 8<<20)) }()
		},
	},
	"router closes its half": {
		endpoint: func(c *net.TCPConn) { _, _ = io.WriteString(c, resetText) },
		router: func(t *testing.T, _ net.Conn, near *net.TCPConn) {
			t.Helper()
			_ = near.CloseWrite()
		},
	},
	"router has closed its half": {
		endpoint: func(c *net.TCPConn) {
			_, _ = io.WriteString(c, resetText)
			_, _ = c.Read(make([]byte, 1))
		},
		router: func(t *testing.T, _ net.Conn, near *net.TCPConn) {
			t.Helper()
			_ = near.CloseWrite()
		},
	},
}

// writeBytes writes a byte at a time, as one write consumes one report of a failure.
func writeBytes(_ *testing.T, c net.Conn, _ *net.TCPConn) {
	for range 20 {
		if _, err := c.Write([]byte{0}); err != nil {
			return
		}
	}
}

// dialUnframed opens a tunnel as a router that knows no frames does.
func dialUnframed(ctx context.Context, via, to netip.AddrPort) (net.Conn, error) {
	conn, err := tcp.Dialer().DialContext(ctx, "tcp", via.String())
	if err != nil {
		return nil, err
	}
	if _, err = fmt.Fprintf(conn, "CONNECT %v HTTP/1.1\r\nHost: %v\r\n\r\n", to, to); err == nil {
		var resp *http.Response
		if resp, err = readAnswer(conn); err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tcp.NewConn(conn), nil
}

// dialEither opens a tunnel with or without frames, and returns the connection below as well.
func dialEither(ctx context.Context, via, to netip.AddrPort, framed bool) (net.Conn, *net.TCPConn, error) {
	var conn net.Conn
	var err error
	if framed {
		conn, err = Dial(ctx, via, to, patience)
	} else {
		conn, err = dialUnframed(ctx, via, to)
	}
	if err != nil {
		return nil, nil, err
	}
	below := conn
	if c, ok := below.(*Conn); ok {
		below = c.Conn
	}
	near, ok := tcp.Unwatched(below.(*tcp.Conn).Conn)
	if !ok {
		return nil, nil, fmt.Errorf("not a TCP connection: %T", below)
	}
	return conn, near, conn.SetDeadline(time.Now().Add(patience))
}

// manyResets counts the tries whose end looks orderly.
func manyResets(t *testing.T, try func(t *testing.T) error) {
	t.Helper()
	var whole, resets, failed atomic.Int64
	var wait sync.WaitGroup
	for range resetsAtOnce {
		wait.Go(func() {
			for range resetTries / resetsAtOnce {
				switch err := try(t); {
				case errors.Is(err, errNotOpened):
					failed.Add(1)
				case err == nil || errors.Is(err, io.EOF):
					whole.Add(1)
				case errors.Is(err, syscall.ECONNRESET):
					resets.Add(1)
				}
			}
		})
	}
	wait.Wait()
	if whole.Load() > 0 {
		t.Errorf("an orderly end in %d of %d tries", whole.Load(), resetTries)
	}
	t.Logf("resets %d, not opened %d of %d", resets.Load(), failed.Load(), resetTries)
}

// errNotOpened means that a peer opened no tunnel.
var errNotOpened = errors.New("no tunnel")

// TestNoResetEndsInOrder guards against an orderly end that a router reads although the endpoint
// has reset its connection, at whatever moment, and whoever was told of the reset first.
func TestNoResetEndsInOrder(t *testing.T) {
	for name, test := range resetCases {
		for _, framed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, framed %v", name, framed), func(t *testing.T) {
				_, via, _ := newServer(t)
				to := listen(t, func(c *net.TCPConn) {
					_ = c.SetDeadline(time.Now().Add(patience))
					test.endpoint(c)
					_ = c.SetLinger(0)
					_ = c.Close()
				})
				manyResets(t, func(t *testing.T) error {
					c, near, err := dialEither(t.Context(), via, to, framed)
					if err != nil {
						return errNotOpened
					}
					defer func() { _ = c.Close() }()
					if test.router != nil {
						test.router(t, c, near)
					}
					_, err = io.Copy(io.Discard, c)
					return err
				})
			})
		}
	}
}

// TestNoStopEndsInOrder guards against an orderly end that a router reads although its peer has
// stopped, or the router has closed its half, while the endpoint was answering.
func TestNoStopEndsInOrder(t *testing.T) {
	for name, end := range map[string]func(stop func(), near *net.TCPConn) error{
		"peer stops": func(stop func(), _ *net.TCPConn) error {
			stop()
			return nil
		},
		"router closes its half": func(_ func(), near *net.TCPConn) error { return near.CloseWrite() },
	} {
		for _, framed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, framed %v", name, framed), func(t *testing.T) {
				to := listen(t, func(c *net.TCPConn) {
					defer func() { _ = c.Close() }()
					for {
						if _, err := io.WriteString(c, resetText); err != nil {
							return
						}
						time.Sleep(time.Millisecond)
					}
				})
				manyResets(t, func(t *testing.T) error {
					_, via, stop := newServer(t)
					c, near, err := dialEither(t.Context(), via, to, framed)
					if err != nil {
						return errNotOpened
					}
					defer func() { _ = c.Close() }()
					if _, err := io.ReadFull(c, make([]byte, len(resetText))); err != nil {
						return err
					}
					if err := end(stop, near); err != nil {
						return err
					}
					_, err = io.Copy(io.Discard, c)
					return err
				})
			})
		}
	}
}

// TestKilledPeerOfOldRouter guards against an orderly end that a router without frames reads
// although its peer was killed while the endpoint was answering.
func TestKilledPeerOfOldRouter(t *testing.T) {
	to, conns := accepting(t)
	for round := range 10 {
		p := child.Start(t, "peer", child.AnyPort)
		c, err := dialUnframed(t.Context(), p.Addr, to)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		far := <-conns
		defer func() { _ = far.Close() }()
		if _, err := io.WriteString(far, resetText); err != nil {
			t.Fatal(err)
		}
		if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, len(resetText))); err != nil {
			t.Fatal(err)
		}
		p.Kill()
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("round %d: %v", round, err)
		}
	}
}
