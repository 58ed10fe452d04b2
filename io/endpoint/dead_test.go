package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDeadMachineIsDetected guards against attempts that wait for a machine that is gone:
// a connection whose bytes or probes are not acknowledged must fail. The machine is played by
// a filter on the accepted connection that drops what arrives.
func TestDeadMachineIsDetected(t *testing.T) {
	const limit = 10 * time.Second
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, unshared := range []bool{false, true} {
		for _, sending := range []bool{false, true} {
			wg.Go(func() {
				took, err := callDying(t, unshared, sending, 2*limit)
				t.Logf("unshared %v, sending %v: after %v: %v", unshared, sending, took, err)
				if err == nil || took > limit {
					t.Errorf("unshared %v, sending %v: no end in time", unshared, sending)
				}
			})
		}
	}
}

// callDying makes a call to a machine that dies when it has the head of the request, before
// the body is sent if sending is set.
func callDying(t *testing.T, unshared, sending bool, limit time.Duration) (time.Duration, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	body, send := io.Pipe()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			t.Error(err)
		}
		die(t, c)
		_, _ = io.WriteString(send, "body")
		_ = send.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String(), body)
	if err != nil {
		return 0, err
	}
	if !sending {
		_ = body.Close()
		req.Body = http.NoBody
	}
	pool, closePool := NewPool()
	defer closePool()
	began := time.Now()
	res, err := pool.Transport(netip.MustParseAddrPort(l.Addr().String()), unshared).RoundTrip(req)
	if err == nil {
		_ = res.Body.Close()
	}
	return time.Since(began), err
}

// die makes an accepted connection ignore all that arrives.
func die(t *testing.T, c net.Conn) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len: 1,
			Filter: &unix.SockFilter{
				Code: unix.BPF_RET | unix.BPF_K,
			},
		})
	}); cerr != nil || err != nil {
		t.Error(cerr, err)
	}
}
