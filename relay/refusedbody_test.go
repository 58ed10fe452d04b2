package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"waxwingwall/platform/standin"
)

// TestRefusedBodyStaysOut guards against bodies of refused requests that fill the link: the
// caller gets its answer at once and the rest of the body does not pass, whereas that of an
// accepted request does.
func TestRefusedBodyStaysOut(t *testing.T) {
	const body = 100_000
	f := newFleet(t, 0, testAccount)
	f.store.Put("op", "config", standin.WithBodies(standin.Configuration(2, testAccount), 2*body, 20*time.Second))
	f.linkMbps = 10
	n := f.start("vm-0")
	f.callAs(n, "first", "key", "/order/", "", 0, 0)
	for _, full := range []bool{false, true} {
		name := "accepted"
		if full {
			name = "refused"
			n.link.add(2_000_000)
		}
		c, err := net.Dial("tcp", n.settings.Callers.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		h := http.Header{}
		standin.SetHeaders(h, name, "key", 0, 0)
		var head strings.Builder
		fmt.Fprintf(&head, "POST /order/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n", body)
		if err := h.Write(&head); err != nil {
			t.Fatal(err)
		}
		written := make(chan int, 1)
		go func() {
			n, _ := c.Write([]byte(head.String() + "\r\n" + strings.Repeat("x", body)))
			written <- n
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		// Ends the write of what does not fit into the caller's own buffer.
		if err := c.SetWriteDeadline(time.Now()); err != nil {
			t.Fatal(err)
		}
		taken := <-written - unsent(t, c.(*net.TCPConn))
		refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Close && resp.Header.Get("Retry-After") != ""
		if refused != full || full == (taken >= body) || full && taken > 4*headWindowBytes {
			t.Errorf("%s: status %d, closes %t, %d bytes of %d taken", name, resp.StatusCode, resp.Close, taken, body)
		}
	}
}

// unsent returns how many bytes were written to a connection that its peer has not taken.
func unsent(t *testing.T, c *net.TCPConn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	bytes := 0
	if err := raw.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return bytes
}
