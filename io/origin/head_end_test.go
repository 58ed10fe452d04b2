package origin

import (
	"context"
	"net"
	"testing"
)

// TestResetWithinHead guards against an answer that looks whole although its connection was reset within
// its head, or right after it: the reader of lines drops the report of the reset after a part of a line.
func TestResetWithinHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
	for way, via := range ways(t) {
		t.Run(way, func(t *testing.T) {
			for n := range len(head) + 1 {
				addr, _ := numberedEndpoint(t, func(_ int32, c net.Conn) {
					if receive(c) {
						send(c, head[:n])
					}
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				})
				p, stop := New()
				r, _ := watchedRequest(p, addr)
				r.Via = via
				r.Confirm = func(context.Context, *Companion) bool { return true }
				if body, err := readBody(p, r); err == nil {
					t.Errorf("%q looks whole after %q", body, head[:n])
				}
				stop()
			}
		})
	}
}
