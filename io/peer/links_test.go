package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"waxwingwall"
)

// sized is a message of a size that it names.
type sized struct {
	Bytes int
}

func (s sized) Size() int {
	return s.Bytes
}

// collector is a Receiver that keeps all messages.
type collector struct {
	received chan Envelope
}

func (c *collector) Receive(e Envelope) {
	select {
	case c.received <- e:
	default:
	}
}

// serveCollector serves a collector on loopback.
func serveCollector(t testing.TB) (*collector, netip.AddrPort) {
	t.Helper()
	Register(sized{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &collector{
		received: make(chan Envelope, 1<<16),
	}
	stop, err := ServeMessages(l, c, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return c, netip.MustParseAddrPort(l.Addr().String())
}

// silentListener accepts connections and never answers.
func silentListener(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

func newTestLinks(t testing.TB, opts ...LinksOption) *Links {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	links, stop := NewLinks(ctx, nil, &goroutines, opts...)
	t.Cleanup(func() {
		cancel()
		stop()
		goroutines.Wait()
	})
	return links
}

func vm(i int) waxwingwall.VM {
	return waxwingwall.VM(fmt.Sprintf("vm-%d", i))
}

func envelope(to waxwingwall.VM, bytes int) Envelope {
	return Envelope{
		To: waxwingwall.Incarnation{
			VM: to,
		},
		Message: sized{
			Bytes: bytes,
		},
	}
}

// TestUnusedLinkIsClosed: a router talks to each of many peers once. It keeps no
// connection and no goroutine for those that it does not talk to any more, and talks to
// them again when it has to.
func TestUnusedLinkIsClosed(t *testing.T) {
	const peers = 40
	c, addr := serveCollector(t)
	links := newTestLinks(t, WithIdleTimeout(50*time.Millisecond))
	for round := range 2 {
		for i := range peers {
			// All peers are at one address of a kind: each link is keyed by its own.
			links.SetAddress(vm(i), netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), addr.Port()))
		}
		links.SetAddress(vm(peers), addr)
		links.Send(envelope(vm(peers), 1))
		select {
		case <-c.received:
		case <-time.After(10 * time.Second):
			t.Fatalf("round %d: nothing arrived", round)
		}
		deadline := time.Now().Add(10 * time.Second)
		for links.Stats().Connections > 0 {
			if time.Now().After(deadline) {
				t.Fatalf("round %d: %d connections are still open", round, links.Stats().Connections)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestQueuesAreBoundedTogether: many peers answer nothing, and each gets messages. The
// queues of all links together stay within one bound, and what is dropped is counted.
func TestQueuesAreBoundedTogether(t *testing.T) {
	const peers, each, bytes = 30, 400, 1 << 10
	links := newTestLinks(t)
	for i := range peers {
		links.SetAddress(vm(i), silentListener(t))
		for range each {
			links.Send(envelope(vm(i), bytes))
		}
	}
	s := links.Stats()
	if s.QueuedBytes > maxQueuedBytes {
		t.Errorf("%d bytes are queued", s.QueuedBytes)
	}
	if s.Dropped == 0 || s.QueuedBytes < maxQueuedBytes/2 {
		t.Errorf("%d messages were dropped with %d bytes queued", s.Dropped, s.QueuedBytes)
	}
}

// TestSilentPeerLeavesRoom: one peer answers nothing and gets more than all queues hold
// together. Messages to another one arrive.
func TestSilentPeerLeavesRoom(t *testing.T) {
	c, addr := serveCollector(t)
	links := newTestLinks(t)
	links.SetAddress(vm(0), silentListener(t))
	links.SetAddress(vm(1), addr)
	for range 2 * maxQueuedBytes >> 10 {
		links.Send(envelope(vm(0), 1<<10))
	}
	links.Send(envelope(vm(1), 1<<10))
	select {
	case <-c.received:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing arrived")
	}
}

// TestLargeMessageIsSent: a message that is larger than the room of one link is sent
// when nothing else is queued there.
func TestLargeMessageIsSent(t *testing.T) {
	c, addr := serveCollector(t)
	links := newTestLinks(t)
	links.SetAddress(vm(0), addr)
	links.Send(envelope(vm(0), maxLinkBytes+1))
	select {
	case <-c.received:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing arrived")
	}
}

// BenchmarkLinks measures what a router keeps for its links after it has sent one
// message to each of its peers.
func BenchmarkLinks(b *testing.B) {
	for _, peers := range []int{7, 71, 294} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			for b.Loop() {
				links := newTestLinks(b)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range peers {
					links.SetAddress(vm(i), netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1 + byte(i>>8), byte(i)}), 1))
					links.Send(envelope(vm(i), 1))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "KB")
				runtime.KeepAlive(links)
			}
		})
	}
}

// TestAddressChangesWhileDialing: a peer that can't be reached moves to another address
// while a connection to the old one is being made. Nobody waits for that.
func TestAddressChangesWhileDialing(t *testing.T) {
	c, addr := serveCollector(t)
	links := newTestLinks(t)
	// The queue of this listener is full, so that a dial waits for its timeout.
	full := fullListener(t)
	links.SetAddress(vm(0), full)
	links.Send(envelope(vm(0), 1))
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	links.SetAddress(vm(0), addr)
	if took := time.Since(began); took > dialTimeout/2 {
		t.Errorf("waited for %v", took)
	}
	links.Send(envelope(vm(0), 1))
	select {
	case <-c.received:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing arrived")
	}
}

// fullListener returns an address whose queue of new connections is full.
func fullListener(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*unix.SockaddrInet4).Port))
	for range 4 {
		d := net.Dialer{Timeout: 20 * time.Millisecond}
		if conn, err := d.Dial("tcp", addr.String()); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
	return addr
}

// BenchmarkMessage measures one message to a peer and its receipt.
func BenchmarkMessage(b *testing.B) {
	c, addr := serveCollector(b)
	links := newTestLinks(b, WithIdleTimeout(time.Minute))
	links.SetAddress(vm(0), addr)
	b.ReportAllocs()
	for b.Loop() {
		links.Send(envelope(vm(0), 100))
		<-c.received
	}
}

// BenchmarkFirstMessage measures the first message over a new connection.
func BenchmarkFirstMessage(b *testing.B) {
	c, addr := serveCollector(b)
	b.ReportAllocs()
	for b.Loop() {
		links := newTestLinks(b)
		links.SetAddress(vm(0), addr)
		links.Send(envelope(vm(0), 100))
		<-c.received
	}
}
