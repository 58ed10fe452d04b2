package origin

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"waxwingwall/io/tunnel"
)

// newPeer starts a peer that opens tunnels.
func newPeer(t *testing.T, opts ...tunnel.Option) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, stop, err := tunnel.Serve(l, func(netip.AddrPort) bool { return true }, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// closedAddress returns an address where nothing listens.
func closedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestVia guards against a request that is sent on an idle connection of another way, or on
// one that was closed, and against a tunnel that counts as a direct dial.
func TestVia(t *testing.T) {
	via, other := newPeer(t), newPeer(t)
	scripts := make([]string, 10)
	for i := range scripts {
		scripts[i] = answer("1", "one")
	}
	e := newEndpoint(t, scripts...)
	direct := 0
	p, stop := New(WithDialObserver(func(netip.AddrPort, time.Duration, error) { direct++ }))
	defer stop()
	for i, step := range []struct {
		via             netip.AddrPort
		before          func()
		dials, observed int
	}{
		{netip.AddrPort{}, func() {}, 1, 1},
		{via, func() {}, 2, 1},
		{via, func() {}, 2, 1},
		{netip.AddrPort{}, func() {}, 2, 1},
		{other, func() {}, 3, 1},
		{via, func() { p.CloseVia(via) }, 4, 1},
		{other, func() {}, 4, 1},
		{netip.AddrPort{}, func() { p.CloseVia(netip.AddrPort{}) }, 4, 1},
		{via, func() { p.CloseIdle(e.addr) }, 5, 1},
		{netip.AddrPort{}, func() {}, 6, 2},
	} {
		step.before()
		r := e.request("1")
		r.Via = step.via
		if got, err := readBody(p, r); got != "one" || err != nil {
			t.Fatalf("step %d: %q, %v", i, got, err)
		}
		if p.Dials() != step.dials || direct != step.observed {
			t.Fatalf("step %d: %d dials, %d direct, want %d, %d", i, p.Dials(), direct, step.dials, step.observed)
		}
	}
}

// TestViaKeepAlive guards against an idle tunnel that takes room at a peer for as long as
// the endpoint keeps its connection.
func TestViaKeepAlive(t *testing.T) {
	e := newEndpoint(t, strings.Replace(answer("1", "one"), "Id:", "Keep-Alive: timeout=60\r\nId:", 1))
	p, stop := New()
	defer stop()
	r := e.request("1")
	r.Via = newPeer(t)
	if _, err := readBody(p, r); err != nil {
		t.Fatal(err)
	}
	c := p.popIdle(way{
		addr: r.Address,
		via:  r.Via,
	}, "")
	defer c.Close()
	if left := time.Until(c.expires); left > tunnelKeepAlive {
		t.Fatalf("kept for %v", left)
	}
}

// TestViaFailures guards against a failed tunnel for which the wrong side is blamed, and
// against a request that counts as not sent although it may have run.
func TestViaFailures(t *testing.T) {
	via := newPeer(t)
	e := newEndpoint(t, "", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nshort")
	for _, test := range []struct {
		name              string
		via, to           netip.AddrPort
		unreachable, peer bool
	}{
		{"peer refuses", closedAddress(t), e.addr, true, true},
		{"peer is full", newPeer(t, tunnel.WithLimit(0)), e.addr, true, true},
		{"endpoint refuses", via, closedAddress(t), true, false},
		{"reset", via, e.addr, false, false},
		{"truncated", via, e.addr, false, false},
	} {
		p, stop := New()
		r := e.request("1")
		r.Via = test.via
		r.Address = test.to
		_, err := readBody(p, r)
		if err == nil || errors.Is(err, ErrUnreachable) != test.unreachable || errors.Is(err, ErrVia) != test.peer {
			t.Errorf("%s: %v", test.name, err)
		}
		stop()
	}
}

// TestViaReset guards against an answer without a length that looks complete although its
// endpoint failed.
func TestViaReset(t *testing.T) {
	e := newEndpoint(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
	p, stop := New()
	defer stop()
	r := e.request("1")
	r.Via = newPeer(t)
	a, err := p.Do(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if _, err := io.ReadFull(a, make([]byte, len("part"))); err != nil {
		t.Fatal(err)
	}
	c := (<-e.conns).(*net.TCPConn)
	_ = c.SetLinger(0)
	_ = c.Close()
	if n, err := a.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, io.EOF) {
		t.Fatalf("%d bytes, %v", n, err)
	}
}
