package peer

import (
	"bytes"
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"
	"time"
)

// FuzzServe guards against a peer whose bytes are no message: no process ends by it, and
// the next peer is served.
func FuzzServe(f *testing.F) {
	Register(sized{})
	var valid bytes.Buffer
	encoder := gob.NewEncoder(&valid)
	for _, part := range []any{rpc.Request{ServiceMethod: serviceName + ".Messages", Seq: 1}, []Envelope{envelope(vm(0), 1)}} {
		if err := encoder.Encode(part); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(valid.Bytes())
	f.Add(valid.Bytes()[:valid.Len()/2])
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{})
	c, addr := serveCollector(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		// The server may close the connection while it is written to.
		_, _ = conn.Write(data)
		_ = conn.Close()
		for len(c.received) > 0 {
			<-c.received
		}
		links := newTestLinks(t)
		links.SetAddress(vm(0), addr)
		links.Send(envelope(vm(0), 1))
		select {
		case <-c.received:
		case <-time.After(10 * time.Second):
			t.Fatal("the next peer is not served")
		}
	})
}
