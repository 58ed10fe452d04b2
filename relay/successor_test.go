package relay

import (
	"net"
	"net/http"
	"path"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// TestSuccessorTakesCompanion guards against a cut answer that looks whole because a new process at the
// same address, which makes no reports, has its companion. The process before it, as one that leaves,
// serves its last answer beside the new one for some time, and is killed within it.
func TestSuccessorTakesCompanion(t *testing.T) {
	const pause = 700 * time.Millisecond
	for name, late := range map[string]bool{"opened again": false, "opened late": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, testAccount)
			var others closers
			f.serveConns("order", func(l net.Listener, c *net.TCPConn, next func() *http.Request) {
				var req *http.Request
				if !others.hold(c, func() bool {
					req = next()
					return req.RequestURI != ""
				}) {
					return
				}
				head := standin.SealedHead("200 OK") + standin.CallField(standin.CallID(req.Header))
				if path.Base(req.RequestURI) == "framed" {
					write(c, head+"Connection: close\r\nContent-Length: 6\r\n\r\nplaced")
					return
				}
				if !late {
					write(c, head+"\r\np")
					time.Sleep(pause)
				}
				_ = l.Close()
				again, err := net.Listen("tcp", l.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				t.Cleanup(func() { _ = again.Close() })
				go answerAll(again)
				others.closeAll()
				if late {
					write(c, head+"\r\np")
				}
				time.Sleep(2 * pause)
				write(c, "l")
				time.Sleep(pause / 2)
			})
			ids := []string{"cut"}
			if late {
				ids = []string{"framed", "cut"}
			}
			for _, id := range ids {
				a := f.callAs(f.relays[0], id, "key", "/order/"+id, "", 0, 0)
				if a.status == http.StatusOK && a.err == nil && id == "cut" {
					t.Errorf("%q looks whole\n%s", a.body, f.logOf(id))
				}
			}
		})
	}
}
