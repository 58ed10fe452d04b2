package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"waxwingwall"
)

// cutLimit is more than all bytes of a connection.
const cutLimit = 1 << 20

// countingOwner is an owner that counts what reaches it.
type countingOwner struct {
	Handler
	calls, messages atomic.Int64
}

func (o *countingOwner) Next(context.Context, waxwingwall.Identity, int) (waxwingwall.Frames, error) {
	o.calls.Add(1)
	return waxwingwall.Frames{
		Frames: []waxwingwall.Frame{{Text: "one"}, {Text: "two"}},
		End: &waxwingwall.End{
			Finish: waxwingwall.FinishStop,
		},
	}, nil
}

func (o *countingOwner) Receive(Envelope) {
	o.messages.Add(1)
}

// cutter forwards connections, each up to a number of bytes in either direction, and then ends
// them.
type cutter struct {
	to netip.AddrPort

	// up and down are the numbers of bytes to forward, linger how the connections end then.
	up, down int64
	linger   int

	// sentUp and sentDown are the numbers of bytes that were forwarded.
	sentUp, sentDown atomic.Int64
}

// listen returns the address of the cutter, and a function that waits for its connections.
func (c *cutter) listen(t *testing.T) (netip.AddrPort, func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { c.serve(conn.(*net.TCPConn)) })
		}
	})
	return netip.MustParseAddrPort(l.Addr().String()), func() {
		_ = l.Close()
		serving.Wait()
	}
}

func (c *cutter) serve(near *net.TCPConn) {
	conn, err := net.Dial("tcp", c.to.String())
	if err != nil {
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	end := sync.OnceFunc(func() {
		for _, c1 := range []*net.TCPConn{near, far} {
			_ = c1.SetLinger(c.linger)
			_ = c1.Close()
		}
	})
	var copying sync.WaitGroup
	copying.Go(func() {
		defer end()
		n, _ := io.CopyN(far, near, c.up)
		c.sentUp.Add(n)
	})
	copying.Go(func() {
		defer end()
		n, _ := io.CopyN(near, far, c.down)
		c.sentDown.Add(n)
	})
	copying.Wait()
}

// TestCutMessages guards against a call or messages that a peer takes although they were cut, and
// against an answer that a part of it makes, after whichever byte, in order or by a reset.
func TestCutMessages(t *testing.T) {
	owner := &countingOwner{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	Register(sized{})
	stop, err := Serve(l, owner, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	to := netip.MustParseAddrPort(l.Addr().String())
	id := waxwingwall.Identity{Key: "one"}
	next := func(c *Client) error {
		f, err := c.Next(t.Context(), id, 0)
		if err == nil && (len(f.Frames) != 2 || f.End == nil) {
			t.Errorf("a part of an answer: %+v", f)
		}
		return err
	}
	send := func(c *Client) error {
		return c.Messages(t.Context(), []Envelope{{Message: sized{Bytes: 1}}, {Message: sized{Bytes: 2}}})
	}
	// through makes one call on a connection that is cut, and returns what was forwarded.
	through := func(call func(*Client) error, up, down int64, linger int) (sentUp, sentDown int64, err error) {
		cut := &cutter{
			to:     to,
			up:     up,
			down:   down,
			linger: linger,
		}
		via, wait := cut.listen(t)
		c, closeClient := New(via, nil)
		err = call(c)
		closeClient()
		wait()
		return cut.sentUp.Load(), cut.sentDown.Load(), err
	}
	for name, call := range map[string]func(*Client) error{"call": next, "messages": send} {
		owner.calls.Store(0)
		owner.messages.Store(0)
		up, down, err := through(call, cutLimit, cutLimit, -1)
		if reached := owner.calls.Load() + owner.messages.Load(); err != nil || up == 0 || down == 0 || reached == 0 {
			t.Fatalf("%s: %d bytes up, %d down, %d reached the peer, %v", name, up, down, reached, err)
		}
		for end, linger := range map[string]int{"in order": -1, "reset": 0} {
			t.Run(fmt.Sprintf("%s, %s", name, end), func(t *testing.T) {
				owner.calls.Store(0)
				owner.messages.Store(0)
				for n := range up {
					if _, _, err := through(call, n, cutLimit, linger); err == nil {
						t.Errorf("answered after %d of %d bytes of it", n, up)
					}
				}
				time.Sleep(50 * time.Millisecond)
				if calls, messages := owner.calls.Load(), owner.messages.Load(); calls+messages > 0 {
					t.Errorf("%d calls and %d messages that were cut reached the peer", calls, messages)
				}
				for n := range down {
					if _, _, err := through(call, cutLimit, n, linger); err == nil {
						t.Errorf("an answer of %d of %d bytes", n, down)
					}
				}
			})
		}
	}
}
