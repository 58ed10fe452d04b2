package engine_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"

	"waxwingwall/io/engine"
)

// TestStreamEndsWithConnection guards against streams that have neither a length nor
// chunks: one that ends with its connection is whole, and one that is reset or ends
// inside an event is broken off, without that event.
func TestStreamEndsWithConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	const first = `data: {"id":"1","choices":[{"delta":{"content":"one"}}]}`
	const last = `data: {"id":"1","choices":[{"delta":{"content":"two"},"finish_reason":"stop"}]}`
	const done = "data: [DONE]"
	for name, test := range map[string]struct {
		text  string
		reset bool
		want  string
		whole bool
	}{
		"whole":                           {first + "\n\n" + last + "\n\n" + done + "\n\n", false, "onetwo", true},
		"reset":                           {first + "\n\n", true, "one", false},
		"inside an event":                 {first + "\n\n" + last[:20], false, "one", false},
		"no blank line after an event":    {first + "\n\n" + last + "\n", false, "one", false},
		"no blank line after the last":    {first + "\n\n" + last + "\n\n" + done, false, "onetwo", false},
		"without the end marker":          {first + "\n\n" + last + "\n\n", false, "onetwo", false},
		"whole, carriage returns":         {first + "\r\n\r\n" + last + "\r\n\r\n" + done + "\r\n\r\n", false, "onetwo", true},
		"inside an event, CR in between":  {first + "\r\n\r\n" + last + "\r\n", false, "one", false},
		"inside the first event":          {first, false, "", false},
		"inside the first event, newline": {first + "\n", false, "", false},
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
			c, closeClient := engine.New()
			defer closeClient()
			var got string
			_, err = c.Stream(context.Background(), engine.Call{
				Address: netip.MustParseAddrPort(l.Addr().String()),
				Attempt: "1",
			}, func(f engine.Frame) error {
				got += f.Text
				return nil
			})
			if (err == nil) != test.whole || got != test.want && !test.reset {
				t.Errorf("got %q, %v; want %q", got, err, test.want)
			}
		})
	}
}
