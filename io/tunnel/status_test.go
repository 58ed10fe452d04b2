package tunnel

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// TestNoStatus guards against a tunnel that counts as open, or an endpoint that counts as out of reach,
// by a peer's answer whose status is none of HTTP.
func TestNoStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", " 200", " 502", "\t504", "2 00", "20", "2000", "", "100", "101", "199", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
			}()
			c, err := Dial(t.Context(), l.Addr().(*net.TCPAddr).AddrPort(), netip.MustParseAddrPort("127.0.0.1:1"), 5*time.Second)
			if !errors.Is(err, ErrPeer) {
				t.Errorf("%v", err)
			}
			if err == nil {
				_ = c.Close()
			}
		})
	}
}
