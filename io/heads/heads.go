// Package heads bounds the memory of the heads of requests at HTTP servers, all together.
//
// net/http limits each head, and any number of connections may send one as slowly as the time for
// it allows. The connections of Listen count what arrives of a head, and Observe tells them when a
// head is complete and when its request has ended. A head without room is refused before its
// request is read, so that it has not run.
package heads

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"waxwingwall/io/quota"
)

const (
	// lineBytes is what a line of a head takes beyond its text, in bytes.
	lineBytes = 128

	// ordinaryBytes is what an ordinary head takes at the most.
	ordinaryBytes = 8 << 10

	// refusalTimeout limits the time to send a refusal and to read on until the client has closed
	// the connection: to close it earlier could discard the refusal on its way.
	refusalTimeout = 500 * time.Millisecond
)

// NewQuota returns a quota for heads, of limit bytes. A part of it is for those of an ordinary size.
func NewQuota(limit int64) *quota.Quota {
	return quota.New(limit, quota.WithSmall(ordinaryBytes))
}

// Listen returns a listener whose TCP connections count the heads that they receive, within a
// quota. One without room gets the refusal, a whole HTTP answer, and ends. It is empty for connections
// below TLS: they end without an answer, and their lines are not counted.
func Listen(l net.Listener, q *quota.Quota, refusal []byte) net.Listener {
	return &listener{
		Listener: l,
		quota:    q,
		refusal:  refusal,
	}
}

// listener is a listener of Listen.
type listener struct {
	net.Listener
	quota   *quota.Quota
	refusal []byte
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	held, done := l.quota.Open()
	return &conn{
		TCPConn: t,
		refusal: l.refusal,
		held:    held,
		done:    done,
	}, nil
}

// conn is a connection that receives heads.
type conn struct {
	*net.TCPConn
	refusal []byte
	held    *quota.Holding
	done    func()

	// refused is set once the connection is refused.
	refused atomic.Bool

	// mu guards the fields below. size is what the head takes so far, lines the number of its lines
	// and line that of the bytes of the last one. complete is set from its end to that of its request.
	mu          sync.Mutex
	size        int
	lines, line int
	complete    bool
}

// Read implements io.Reader. Without room it refuses the request and fails as a connection does, so
// that net/http drops what it has of the head and sends no answer of its own.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.count(b[:n]) {
		return n, err
	}
	if len(c.refusal) > 0 {
		c.refused.Store(true)
		go c.refuse()
	}
	return 0, &net.OpError{
		Op:  "read",
		Net: "tcp",
		Err: quota.ErrFull,
	}
}

// count counts bytes, unless they are of a body. It reports false if there is no room.
func (c *conn) count(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete {
		return true
	}
	if len(c.refusal) > 0 {
		b = b[:c.headBytes(b)]
	}
	c.size += len(b)
	return c.held.Set(c.size + lineBytes*c.lines)
}

// headBytes returns how many bytes of b belong to the head, and counts their lines. An empty line
// ends it, but not before its first line: net/http skips some there.
func (c *conn) headBytes(b []byte) int {
	for i, x := range b {
		switch {
		case x == '\r':
		case x != '\n':
			c.line++
		case c.line > 0:
			c.lines++
			c.line = 0
		case c.lines > 0:
			c.complete = true
			return i + 1
		}
	}
	return len(b)
}

// refuse sends the refusal, waits until the client has closed the connection, and closes it.
func (c *conn) refuse() {
	defer func() { _ = c.TCPConn.Close() }()
	if c.SetDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	if _, err := c.TCPConn.Write(c.refusal); err != nil || c.TCPConn.CloseWrite() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.TCPConn)
}

// Write implements io.Writer. net/http may find the rest of a refused head malformed, and say so.
func (c *conn) Write(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(b)
}

// CloseWrite gives back the room: net/http calls it after a refusal of its own, and waits before it
// closes the connection.
func (c *conn) CloseWrite() error {
	c.done()
	if c.refused.Load() {
		return nil
	}
	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn. A connection that is refused is closed by refuse.
func (c *conn) Close() error {
	c.done()
	if c.refused.Load() {
		return nil
	}
	return c.TCPConn.Close()
}

// begin begins a request whose head is complete, and which takes that much. Bytes of its body that
// came with it don't count any more.
func (c *conn) begin(head int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete = true
	c.held.Set(head)
}

// end ends a request.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete = false
	c.size, c.lines, c.line = 0, 0, 0
	c.held.Set(0)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Observe lets a server tell the connections of Listen which bytes are heads. It is called when the
// other fields of the server are set.
func Observe(s *http.Server) {
	handler, state, connContext := s.Handler, s.ConnState, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if c.refused.Load() {
				// net/http takes a head that breaks off after a "\r" for a whole one.
				panic(http.ErrAbortHandler)
			}
			c.begin(size(r))
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnState = func(nc net.Conn, to http.ConnState) {
		if c, ok := below(nc).(*conn); ok && to == http.StateIdle {
			c.end()
		}
		if state != nil {
			state(nc, to)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, below(nc))
	}
}

// below returns the connection that carries a connection of TLS, or any other one itself.
func below(nc net.Conn) net.Conn {
	if t, ok := nc.(*tls.Conn); ok {
		return t.NetConn()
	}
	return nc
}

// size returns what the head of a request takes, as conn counts it.
func size(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	lines := 3
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
			lines++
		}
	}
	return n + lineBytes*lines
}
