package endpoint

import (
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// TestDeadMachineIsDetected guards against attempts that wait for a machine that is gone:
// TCP must close a connection whose bytes or probes are not acknowledged.
func TestDeadMachineIsDetected(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	pool, closePool := NewPool()
	defer closePool()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	for _, unshared := range []bool{false, true} {
		userTimeout, keepAlive := 0, 0
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) {
				raw, err := info.Conn.(*conn).Conn.(syscall.Conn).SyscallConn()
				if err != nil {
					t.Error(err)
					return
				}
				if err := raw.Control(func(fd uintptr) {
					userTimeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
					keepAlive, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
				}); err != nil {
					t.Error(err)
				}
			},
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := pool.Transport(address, unshared).RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if err := res.Body.Close(); err != nil {
			t.Error(err)
		}
		if userTimeout < 1000 || userTimeout > 10_000 || keepAlive < 1 || keepAlive > 2 {
			t.Errorf("unshared %v: user timeout %d ms, keep-alive after %d s", unshared, userTimeout, keepAlive)
		}
	}
}
