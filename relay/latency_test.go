package relay

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// TestConfirmationIsNoLatency guards against an endpoint that counts as slow because the ends of its
// plain answers are confirmed, which takes longer than most answers.
func TestConfirmationIsNoLatency(t *testing.T) {
	const outlives = 100 * time.Millisecond
	f := newFleet(t, 1, testAccount)
	f.serveConns("order", func(_ net.Listener, c *net.TCPConn, next func() *http.Request) {
		if strings.HasPrefix(next().RequestURI, "/order") {
			write(c, standin.SealedHead("200 OK")+"\r\nplaced")
			return
		}
		write(c, notFound)
	})
	if a := f.callAs(f.relays[0], "plain", "key", "/order/plain", "", 0, 0); a.status != http.StatusOK {
		t.Fatalf("got %+v", a)
	}
	for line := range strings.Lines(f.logOf("plain")) {
		var served struct {
			Msg         string
			First, Took time.Duration
		}
		if err := json.Unmarshal([]byte(line), &served); err != nil {
			t.Fatal(err)
		}
		if served.Msg == "served" && served.Took-served.First < outlives {
			t.Errorf("the first part took %v, the answer with its confirmation %v", served.First, served.Took)
		}
	}
}
