package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"waxwingwall/platform/standin"
)

// TestCutAnswerOverHTTP10 guards against an answer that looks complete to a caller to whom
// only the end of the connection tells its end, although its endpoint broke off.
func TestCutAnswerOverHTTP10(t *testing.T) {
	const event = "id: 1\ndata: piece 1\n\n"
	for name, reset := range map[string]bool{
		"whole": false,
		"reset": true,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, testAccount)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go answerOnce(l, standin.SealedHead("200 OK")+"Content-Type: text/event-stream\r\n\r\n"+event, reset)
			f.useListener(l, "draft")
			conn, err := net.Dial("tcp", f.relays[0].settings.Callers.String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			header := http.Header{}
			standin.SetHeaders(header, "old", "key", 1_000, 50)
			var text bytes.Buffer
			if err := header.Write(&text); err != nil {
				t.Fatal(err)
			}
			if _, err := fmt.Fprintf(conn, "POST /draft/ HTTP/1.0\r\nHost: a.example\r\n%sContent-Length: 0\r\n\r\n", text.String()); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			succeeded := strings.Contains(string(got), " 200 OK")
			if looksWhole := succeeded && err == nil; looksWhole == reset {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}
