package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// keptCaller sends requests one after the other on a kept connection.
type keptCaller struct {
	to     string
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection if there is none.
func (c *keptCaller) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.Dial("tcp", c.to)
	if err != nil {
		return err
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return nil
}

func (c *keptCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// call sends a whole request and reads its answer. It reports whether the connection ended
// without a header, or within the answer.
func (c *keptCaller) call(id, route string) (status int, cut bool) {
	h := http.Header{}
	standin.SetHeaders(h, id, "key", 0, 0)
	if route == "advice" || route == "draft" {
		standin.SetHeaders(h, id, "key", 1_000, 50)
	}
	fmt.Fprintf(c.conn, "POST /%s/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n", route)
	_ = h.Write(c.conn)
	fmt.Fprint(c.conn, "\r\nx")
	_ = c.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return 0, true
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
		c.close()
		return resp.StatusCode, err != nil
	}
	return resp.StatusCode, false
}

// changes brings one configuration after the other into force until stop is closed: the same
// again, and without routes, services or accounts.
func (f *fleet) changes(every time.Duration, stop chan struct{}) {
	for version := int64(2); ; version++ {
		whole := standin.Configuration(version, testAccount)
		texts := [][]byte{
			whole, standin.Without(whole, standin.Services), whole, standin.Without(whole, standin.Routes),
			whole, standin.Without(whole, standin.Accounts),
		}
		f.store.Put("op", "config", texts[int(version)%len(texts)])
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
	}
}

// TestStopAmidChanges guards against requests that are passed on and get no answer: on kept
// connections, beside many changes of the configuration, endpoints that are silent for a
// moment, new settings and a stop at once.
func TestStopAmidChanges(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	f.slowEvents()
	n := f.relays[0]
	stop := make(chan struct{})
	var changing, calling sync.WaitGroup
	changing.Go(func() { f.changes(60*time.Millisecond, stop) })
	var mu sync.Mutex
	statuses := map[int]int{}
	crossed := 0
	for i := range 16 {
		route := []string{"order", "draft", "advice", "quote"}[i%4]
		calling.Go(func() {
			c := &keptCaller{to: n.settings.Callers.String()}
			defer c.close()
			for k := 0; c.connect() == nil; k++ {
				id := fmt.Sprintf("%s-%d-%d", route, i, k)
				status, cut := c.call(id, route)
				mu.Lock()
				statuses[status]++
				switch runs := len(f.runs(id)); {
				case cut && status == 0 && runs == 0:
					crossed++
				case cut:
					t.Errorf("%s got status %d and no whole answer, after %d runs", id, status, runs)
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for _, e := range append(f.engines, f.ledgers...) {
		e.Silence(soundSilence)
	}
	n.Drain()
	n.Reload(n.settings)
	<-n.Drained()
	n.stop()
	calling.Wait()
	close(stop)
	changing.Wait()
	t.Logf("by status: %v, closed without being passed on: %d", statuses, crossed)
}
