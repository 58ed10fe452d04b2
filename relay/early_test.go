package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// TestEarlyRefusalOfSlowBody guards against a caller that gets no answer because its request
// is refused by its head and its body does not arrive: the refusal must not wait for the body
// for longer than the body may take.
func TestEarlyRefusalOfSlowBody(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	for name, head := range map[string]string{
		"large head":   "POST /order/?" + strings.Repeat("x", 5000) + " HTTP/1.1\r\nHost: a.example\r\nContent-Length: 500\r\n",
		"large length": "POST /order/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", f.relays[0].settings.Callers.String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprint(c, head)
			h := http.Header{}
			standin.SetHeaders(h, "early", "key", 0, 0)
			_ = h.Write(c)
			fmt.Fprint(c, "\r\nabc")
			if err := c.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge && resp.StatusCode != http.StatusRequestEntityTooLarge {
				t.Errorf("got status %d, want 431 or 413", resp.StatusCode)
			}
		})
	}
}

// TestTimeRunsFromHead guards against an answer that comes too late because the body of its
// request took long: the caller's time runs from the head.
func TestTimeRunsFromHead(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	f.setBodyTime(2, 4*time.Second)
	for _, e := range f.ledgers {
		e.Silence(20 * time.Second)
	}
	c, err := net.Dial("tcp", f.relays[0].settings.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	fmt.Fprint(c, "POST /order/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 6\r\n")
	h := http.Header{}
	standin.SetHeaders(h, "slow", "key", 0, 0)
	standin.SetTimeout(h, 2*time.Second)
	_ = h.Write(c)
	fmt.Fprint(c, "\r\nabc")
	time.Sleep(1500 * time.Millisecond)
	fmt.Fprint(c, "def")
	if err := c.SetReadDeadline(began.Add(2500 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got status %d, want 504", resp.StatusCode)
	}
}
