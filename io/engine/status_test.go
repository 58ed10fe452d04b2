package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"waxwingwall/io/endpoint"
	"waxwingwall/io/engine"
)

const wholeStream = `data: {"id":"1","choices":[{"delta":{"content":"one"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"

// TestNoStatus guards against a stream whose status is none of HTTP, and against a body of such an
// answer that is taken for a stream. An engine may be one that a caller has repeat a text.
func TestNoStatus(t *testing.T) {
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(wholeStream), wholeStream)
	for _, status := range []string{"000", "001", "099", "+20", "-10", " 200", "+200", "2 00", "1e2", "20", "2000", "", "101", "199", "600", "999"} {
		for framing, rest := range map[string]string{
			"length":     fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(whole), whole),
			"connection": "\r\n" + whole,
			"own body":   strings.TrimPrefix(whole, "HTTP/1.1 200 OK\r\n"),
		} {
			t.Run(status+", "+framing, func(t *testing.T) {
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
					r := bufio.NewReader(c)
					for _, text := range []string{whole, "HTTP/1.1 " + status + " Odd\r\n" + rest} {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						if _, err := io.Copy(io.Discard, req.Body); err != nil {
							return
						}
						if _, err := io.WriteString(c, text); err != nil {
							return
						}
					}
				}()
				c, stop := engine.New()
				defer stop()
				stream := func() (string, error) {
					var got string
					_, err := c.Stream(context.Background(), engine.Call{
						Address: netip.MustParseAddrPort(l.Addr().String()),
						Attempt: "1",
					}, func(f engine.Frame) error {
						got += f.Text
						return nil
					})
					return got, err
				}
				if got, err := stream(); got != "one" || err != nil {
					t.Fatalf("%q, %v", got, err)
				}
				got, err := stream()
				var failure *endpoint.Error
				if got != "" || !errors.As(err, &failure) || failure.Failure == endpoint.Declined || failure.Status != 0 {
					t.Errorf("%q, %v", got, err)
				}
			})
		}
	}
}

// TestResetDuringUpload guards against a stream without a length that begins while its request is still
// being written, is reset and counts as whole, whether the write or the read meets the reset first.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 24
	text := strings.Repeat("x", 8<<20)
	for name, test := range map[string]struct {
		part string
		read int64
	}{
		"write first":         {strings.TrimSuffix(wholeStream, "data: [DONE]\n\n"), 1 << 20},
		"read first":          {strings.TrimSuffix(wholeStream, "data: [DONE]\n\n"), 0},
		"within an event":     {wholeStream[:20], 1 << 20},
		"without a last line": {strings.TrimSuffix(wholeStream, "\n"), 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						if _, err := c.Read(make([]byte, 1<<10)); err != nil {
							return
						}
						if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+test.part); err != nil {
							return
						}
						_, _ = io.CopyN(io.Discard, c, test.read)
						_ = c.(*net.TCPConn).SetLinger(0)
					}()
				}
			}()
			c, stop := engine.New()
			defer stop()
			whole := 0
			for range rounds {
				_, err := c.Stream(context.Background(), engine.Call{
					Address: netip.MustParseAddrPort(l.Addr().String()),
					Attempt: "1",
					Messages: []engine.Message{{
						Role:    "user",
						Content: text,
					}},
				}, func(engine.Frame) error { return nil })
				var failure *endpoint.Error
				if err == nil || errors.As(err, &failure) && failure.Failure == endpoint.Declined {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d streams count as whole or not run", whole, rounds)
			}
		})
	}
}
