package origin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestEndpointReadsBodyLate guards against a connection that is closed because its endpoint,
// which is sound and acknowledges every probe, reads nothing of a long body for a moment.
func TestEndpointReadsBodyLate(t *testing.T) {
	const pause = 4 * time.Second
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
		_, _ = io.WriteString(c, answer("1", "one"))
	}()
	p, stop := New()
	defer stop()
	e := &endpoint{
		addr: l.Addr().(*net.TCPAddr).AddrPort(),
	}
	r := e.request("1")
	r.Method = http.MethodPost
	r.Body = []byte(strings.Repeat("x", 1<<20))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	began := time.Now()
	a, err := p.Do(ctx, r)
	if err != nil {
		t.Fatalf("after %v: %v", time.Since(began), err)
	}
	defer a.Close()
	if body, err := io.ReadAll(a); err != nil || string(body) != "one" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestAnswerWithoutLengthOfDeadConnection guards against an answer that looks complete
// because its connection was given up while the driver was asked whether to wait on: the
// read after the error reports a plain end. The endpoint is gone within the answer, while it
// reads the request.
func TestAnswerWithoutLengthOfDeadConnection(t *testing.T) {
	for name, more := range map[string]time.Duration{"asked": 400 * time.Millisecond, "not asked": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = c.Close() })
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				dropAll(t, c)
			}()
			p, stop := New()
			defer stop()
			e := &endpoint{
				addr: l.Addr().(*net.TCPAddr).AddrPort(),
			}
			r := e.request("1")
			r.Method = http.MethodPost
			r.Body = []byte(strings.Repeat("x", 1<<20))
			if more > 0 {
				r.HeaderTimeout, r.IdleTimeout = more, more
				r.KeepWaiting = func(time.Duration) time.Duration { return more }
			}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			began := time.Now()
			a, err := p.Do(ctx, r)
			if err != nil {
				t.Fatalf("after %v: %v", time.Since(began), err)
			}
			defer a.Close()
			body, err := io.ReadAll(a)
			if took := time.Since(began); !errors.Is(err, ErrIdleTimeout) || took > 10*time.Second {
				t.Errorf("after %v, the broken answer %q ends with %v", took, body, err)
			}
		})
	}
}

// dropAll makes an accepted connection ignore all that arrives, without any acknowledgement.
func dropAll(t *testing.T, c net.Conn) {
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
