package tunnel

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// goneLimit is how long a tunnel may stay open after its endpoint is gone.
const goneLimit = 9 * time.Second

// TestEndpointGone guards against a request that waits through a tunnel until its deadline:
// its endpoint is gone, and the tunnel's own connection works on.
func TestEndpointGone(t *testing.T) {
	t.Parallel()
	_, via, _ := newServer(t)
	for name, sent := range map[string]int{
		"idle":       0,
		"bytes sent": 1,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to, conns := accepting(t)
			c := dial(t, via, to)
			far := <-conns
			defer func() { _ = far.Close() }()
			dropAll(t, far)
			if _, err := c.Write(make([]byte, sent)); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			_, err := c.Read(make([]byte, 1))
			if took := time.Since(began); !errors.Is(err, syscall.ECONNRESET) || took > goneLimit {
				t.Errorf("after %v: %v", took, err)
			}
		})
	}
}

// dropAll makes an end of a connection ignore all that arrives, without any acknowledgement.
func dropAll(t *testing.T, c *net.TCPConn) {
	drop := unix.SockFilter{
		Code: unix.BPF_RET | unix.BPF_K,
	}
	var err error
	if cerr := control(c, func(fd int) {
		err = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len:    1,
			Filter: &drop,
		})
	}); cerr != nil || err != nil {
		t.Fatal(cerr, err)
	}
}
