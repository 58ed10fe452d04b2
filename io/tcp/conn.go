package tcp

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is the state TCP_CLOSE of a connection, as TCP_INFO reports it.
const stateClosed = 7

// Conn is a connection whose reads report that it failed. The kernel reports a failure only
// once: after a write or a read has got it, a read of a plain connection sees an orderly end.
// Create it with NewConn.
type Conn struct {
	net.Conn

	// writing is held during each write. failed is the first failure that a write or a read
	// reported; nil if there is none.
	writing sync.Mutex
	failed  atomic.Pointer[error]
}

// NewConn returns a Conn over a connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{
		Conn: conn,
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.note(err)
	return n, err
}

// note keeps the first failure.
func (c *Conn) note(err error) {
	if err == nil || !isFailure(err) {
		return
	}
	failed := err
	c.failed.CompareAndSwap(nil, &failed)
}

// isFailure reports whether an error is a failure of the connection that another read
// does not report as well. EPIPE follows an orderly end, or a failure that was reported.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && !errors.Is(err, syscall.EPIPE)
}

// Read implements net.Conn. Its end is io.EOF only if the peer ended the connection in order,
// however often it is called.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.note(err)
	if !errors.Is(err, io.EOF) || !c.IsClosed() {
		return n, err
	}
	if failed := c.failure(); failed != nil {
		return n, failed
	}
	return n, err
}

// failure returns the failure that a write or a read reported. The connection must be closed,
// so that a write that is under way ends at once.
func (c *Conn) failure() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if failed := c.failed.Load(); failed != nil {
		return *failed
	}
	return nil
}

// IsClosed reports whether nothing can be sent any more, as after a reset. After an orderly end of
// the peer's side that is still possible.
func (c *Conn) IsClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := true
	if err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == stateClosed
	}); err != nil {
		return true
	}
	return closed
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
