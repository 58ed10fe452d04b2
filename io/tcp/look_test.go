package tcp

import (
	"io"
	"net"
	"testing"
	"time"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = nc.Close()
		_ = fc.Close()
	})
	return nc.(*net.TCPConn), fc.(*net.TCPConn)
}

// TestLook guards against a look at a connection that takes its bytes, or the report of its reset from
// the read that follows, and against wrong states.
func TestLook(t *testing.T) {
	const text = "text"
	for name, test := range map[string]struct {
		act          func(far *net.TCPConn) error
		idle, closed bool
		text         string
		inOrder      bool
	}{
		"open":            {func(*net.TCPConn) error { return nil }, true, false, "", false},
		"bytes":           {func(c *net.TCPConn) error { _, err := io.WriteString(c, text); return err }, false, false, text, false},
		"end":             {func(c *net.TCPConn) error { return c.Close() }, false, true, "", true},
		"half closed":     {func(c *net.TCPConn) error { return c.CloseWrite() }, false, true, "", true},
		"bytes and end":   {func(c *net.TCPConn) error { _, _ = io.WriteString(c, text); return c.Close() }, false, false, text, true},
		"reset":           {func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() }, false, true, "", false},
		"bytes and reset": {func(c *net.TCPConn) error { _, _ = io.WriteString(c, text); _ = c.SetLinger(0); return c.Close() }, false, false, text, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			if err := test.act(far); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			for range 2 {
				if idle, closed := Idle(near), Closed(near); idle != test.idle || closed != test.closed {
					t.Errorf("idle %t, closed %t", idle, closed)
				}
			}
			if err := near.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(NewConn(near))
			if string(got) != test.text || (err == nil) != test.inOrder {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}
