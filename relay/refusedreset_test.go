package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// TestRefusalIsNotReset: the body of a request is refused and partly unread. Its caller sees the
// answer and the end of the connection, and no reset, which may overtake the answer.
func TestRefusalIsNotReset(t *testing.T) {
	const body = 100_000
	f := newFleet(t, 0, testAccount)
	f.store.Put("op", "config", standin.WithBodies(standin.Configuration(2, testAccount), 2*body, 20*time.Second))
	f.linkMbps = 10
	n := f.start("vm-0")
	f.callAs(n, "first", "key", "/order/", "", 0, 0)
	n.link.add(2_000_000)
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d", body), "Transfer-Encoding: chunked"} {
		c, err := net.Dial("tcp", n.settings.Callers.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		h := http.Header{}
		standin.SetHeaders(h, "refused", "key", 0, 0)
		var head strings.Builder
		fmt.Fprintf(&head, "POST /order/x HTTP/1.1\r\nHost: a.example\r\n%s\r\n", framing)
		if err := h.Write(&head); err != nil {
			t.Fatal(err)
		}
		head.WriteString("\r\n")
		if strings.HasPrefix(framing, "Transfer") {
			fmt.Fprintf(&head, "%x\r\n", body)
		}
		go func() {
			// The write ends with the connection.
			_, _ = c.Write([]byte(head.String() + strings.Repeat("x", body)))
		}()
		if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Errorf("%s: %v", framing, err)
		}
		if _, err := r.ReadByte(); resp.StatusCode != http.StatusServiceUnavailable || !errors.Is(err, io.EOF) {
			t.Errorf("%s: status %d, then %v", framing, resp.StatusCode, err)
		}
	}
}
