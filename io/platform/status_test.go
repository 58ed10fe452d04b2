package platform_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"waxwingwall"
	"waxwingwall/io/platform"
)

// TestNoStatus guards against a row that is taken from an answer whose status is none of HTTP, or from
// its body, and against one that counts as absent by it.
func TestNoStatus(t *testing.T) {
	const row = `{"key":"k","version":1,"value":"dg=="}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(row), row)
	for _, status := range []string{"200", "000", "001", "+20", "-10", " 200", " 404", "2 00", "20", "2000", "", "101", "199", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			text := whole
			if status != "200" {
				text = "HTTP/1.1 " + status + " Odd\r\nContent-Type: application/json\r\n\r\n" + whole
			}
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, text)
					}
					_ = c.Close()
				}
			}()
			c, closeClient, err := platform.New("http://" + l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer closeClient()
			got, err := c.Get(t.Context(), "k")
			if sound := status == "200"; sound != (err == nil) || !sound && !errors.Is(err, waxwingwall.ErrUnavailable) {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
}
