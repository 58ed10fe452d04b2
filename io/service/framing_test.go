package service_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"

	"waxwingwall/io/service"
)

// TestAnswerEndsWithConnection guards against answers that have neither a length nor
// chunks: one that ends with its connection is whole, one that is reset or cut is not.
func TestAnswerEndsWithConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	const answer = `{"id":"1","body":"placed"}`
	for name, test := range map[string]struct {
		text  string
		reset bool
		whole bool
	}{
		"whole": {answer, false, true},
		"cut":   {answer[:len(answer)-3], false, false},
		"reset": {answer[:len(answer)-3], true, false},
		"empty": {"", false, false},
	} {
		t.Run(name, func(t *testing.T) {
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
				if _, err := c.Read(make([]byte, 8<<10)); err != nil {
					return
				}
				if _, err := io.WriteString(c, head+test.text); err == nil && test.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
			c, stop := service.New()
			defer stop()
			a, err := c.Do(context.Background(), service.Call{
				Address: netip.MustParseAddrPort(l.Addr().String()),
				Attempt: "1",
			})
			if (err == nil) != test.whole || test.whole && a.Body != "placed" {
				t.Errorf("got %+v, %v", a, err)
			}
		})
	}
}
