package origin

import (
	"context"
	"net"
	"testing"
)

// TestAddressTakenBetweenConnections guards against a cut answer that looks whole because a process took
// over the address after the connection of the request was made and before the companion was: the
// process before it leaves, and is killed within its answer.
func TestAddressTakenBetweenConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	takeOver := func() {
		c := <-accepted
		_ = l.Close()
		go func() {
			defer c.Close()
			if receive(c) {
				send(c, unframedHead+"bo")
			}
		}()
		again, err := net.Listen("tcp", addr.String())
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = again.Close() })
		go func() {
			for {
				c, err := again.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					if receive(c) {
						send(c, unframedHead)
					}
				}()
			}
		}()
	}
	dials := 0
	p, stop := New(WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials++; dials == 2 {
			takeOver()
		}
		var d net.Dialer
		return d.DialContext(ctx, network, address)
	}))
	defer stop()
	r, answered := watchedRequest(p, addr)
	if body, err := readBody(p, r); body != "bo" || err == nil || answered.Load() {
		t.Errorf("%q, %v, answered %t", body, err, answered.Load())
	}
}
