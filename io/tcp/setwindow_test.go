package tcp

import (
	"net"
	"testing"
	"time"
)

// TestSetWindow: a connection that was accepted with a small window takes more once it has a larger
// one.
func TestSetWindow(t *testing.T) {
	const small, large = 2 << 10, 64 << 10
	l, err := Listen(t.Context(), "127.0.0.1:0", small)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	taken := map[int]int{}
	for _, window := range []int{small, large} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		if err := SetWindow(accepted, window); err != nil {
			t.Fatal(err)
		}
		if err := c.(*net.TCPConn).SetWriteBuffer(1); err != nil {
			t.Fatal(err)
		}
		// What is read shows the peer the new window.
		for range 20 {
			if _, err := c.Write(make([]byte, 1000)); err != nil {
				t.Fatal(err)
			}
			if _, err := accepted.Read(make([]byte, 4096)); err != nil {
				t.Fatal(err)
			}
		}
		if err := c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, err := c.Write(make([]byte, 1<<20))
		if err == nil {
			t.Fatal("all was taken")
		}
		taken[window] = n
	}
	if taken[small] > 8*small || taken[large] < large/2 {
		t.Errorf("taken %v", taken)
	}
}
