package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// cutBody is the body of the requests that are cut.
const cutBody = "twelve bytes"

// bodyFramings are the versions, fields and bodies of whole requests, by how the end of the body is
// known.
var bodyFramings = map[string]struct{ version, field, body string }{
	"length":   {"1.1", fmt.Sprintf("Content-Length: %d", len(cutBody)), cutBody},
	"chunks":   {"1.1", "Transfer-Encoding: chunked", "5\r\n" + cutBody[:5] + "\r\n7\r\n" + cutBody[5:] + "\r\n0\r\n\r\n"},
	"HTTP/1.0": {"1.0", fmt.Sprintf("Content-Length: %d", len(cutBody)), cutBody},
}

// halfClosed is the way in cutCallers after which a caller can still read.
const halfClosed = "closes its half"

// cutCallers are the ways in which a caller ends its connection within a request.
var cutCallers = map[string]func(c *net.TCPConn) error{
	"closes":   (*net.TCPConn).Close,
	halfClosed: (*net.TCPConn).CloseWrite,
	"resets": func(c *net.TCPConn) error {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	},
}

// TestCutRequestIsNotRun guards against a request that is run although its caller's connection ended
// within it, in order or by a reset, after whichever byte of its body. Nor may its body count as
// whole until it is seen that the caller has left.
func TestCutRequestIsNotRun(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	var cut []string
	for name, framing := range bodyFramings {
		whole := strings.ReplaceAll(name, "/", "-")
		conn := sendPart(t, f, whole, framing.version, framing.field, framing.body)
		answer := make([]byte, len("HTTP/1.1 200 OK"))
		if _, err := io.ReadFull(conn, answer); err != nil || !bytes.HasSuffix(answer, []byte(" 200 OK")) || len(f.runs(whole)) != 1 {
			t.Fatalf("%s, whole: %q, %v, %d runs", name, answer, err, len(f.runs(whole)))
		}
		_ = conn.Close()
		for end, endConn := range cutCallers {
			for n := range len(framing.body) {
				id := fmt.Sprintf("%s-%s-%d", whole, strings.ReplaceAll(end, " ", "-"), n)
				cut = append(cut, id)
				conn := sendPart(t, f, id, framing.version, framing.field, framing.body[:n])
				if n%2 == 0 {
					// The router waits for the rest then.
					time.Sleep(2 * time.Millisecond)
				}
				if err := endConn(conn); err != nil {
					t.Fatal(err)
				}
				answer, _ := io.ReadAll(conn)
				_ = conn.Close()
				if refused := bytes.Contains(answer, []byte(`"bad_body"`)); refused != (end == halfClosed) {
					t.Errorf("%s: %q", id, answer)
				}
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	run := 0
	for _, id := range cut {
		run += len(f.runs(id))
	}
	if run > 0 {
		t.Errorf("%d of %d cut requests were run", run, len(cut))
	}
}

// sendPart sends a request with a part of its body, and returns the connection.
func sendPart(t *testing.T, f *fleet, id, version, field, part string) *net.TCPConn {
	t.Helper()
	header := http.Header{}
	standin.SetHeaders(header, id, "key", 0, 0)
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /order/ HTTP/%s\r\nHost: a.example\r\n", version)
	if err := header.Write(&text); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&text, "%s\r\n\r\n%s", field, part)
	conn, err := net.Dial("tcp", f.relays[0].settings.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(text.Bytes()); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}
