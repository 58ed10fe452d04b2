package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestEndpointReadsBodyLate guards against a connection that is closed because its endpoint,
// which is sound and acknowledges every probe, reads nothing of a long body for a moment.
func TestEndpointReadsBodyLate(t *testing.T) {
	const pause = 8 * time.Second
	lc := net.ListenConfig{
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 32<<10) })
		},
	}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		time.Sleep(pause)
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none")
	}()
	pool, closePool := NewPool()
	defer closePool()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), strings.NewReader(strings.Repeat("x", 1<<20)))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	res, err := pool.Transport(netip.MustParseAddrPort(l.Addr().String()), true).RoundTrip(req)
	if err != nil {
		t.Fatalf("after %v: %v", time.Since(began), err)
	}
	if err := res.Body.Close(); err != nil {
		t.Error(err)
	}
}
