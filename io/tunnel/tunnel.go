package tunnel

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"waxwingwall/io/tcp"
)

const (
	// bufferBytes is the size of the buffer of each direction, without the head of a frame.
	bufferBytes = maxFrameBytes

	// idleTimeout is how long a tunnel may copy nothing; it exceeds the time limits of
	// requests.
	idleTimeout = 2 * time.Minute

	// lingerTimeout is how long a tunnel waits for the router to close its side after the
	// endpoint has closed its own.
	lingerTimeout = 5 * time.Second

	// writeInterval is the time between two checks, while the endpoint takes no bytes,
	// whether the router still waits.
	writeInterval = 50 * time.Millisecond

	// drainTimeout limits the wait, before a reset, for bytes that the router has not yet
	// acknowledged; drainInterval is the time between two checks.
	drainTimeout  = time.Second
	drainInterval = time.Millisecond
)

// errHungUp means that the router closed its side while bytes for the endpoint waited.
var errHungUp = errors.New("tunnel closed by the router")

// resettable is a TCP connection of package net or of a tcp.WatchedDialer.
type resettable interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

// tunnel copies between two connections.
type tunnel struct {
	// near is the connection of the router, far that of the endpoint; nearTCP is the one below
	// near, and is neither read nor written itself.
	near, far *tcp.Conn
	nearTCP   *net.TCPConn
	onCopied  func(bytes int)

	// framed is set if the router gets the bytes of the endpoint in frames.
	framed bool

	// idle ends the tunnel when it expires.
	idle *time.Timer

	// ended is set once the endpoint has closed its side in order.
	ended atomic.Bool
}

// newTunnel returns a tunnel and a function that stops its timer.
func newTunnel(near *net.TCPConn, far resettable, framed bool, onCopied func(bytes int)) (*tunnel, func()) {
	t := &tunnel{
		near:     tcp.NewConn(near),
		far:      tcp.NewConn(far),
		nearTCP:  near,
		onCopied: onCopied,
		framed:   framed,
	}
	t.idle = time.AfterFunc(idleTimeout, t.expire)
	return t, func() { t.idle.Stop() }
}

// run answers the request and copies in both directions until the tunnel has ended. The
// bytes early arrived together with the request.
func (t *tunnel) run(early []byte) {
	// A router that has vanished would otherwise hold the tunnel and the endpoint.
	_ = t.nearTCP.SetKeepAliveConfig(tcp.Dialer().KeepAliveConfig)
	// A router that gets no frames has only the end of this connection to go by.
	tcp.ResetAtEnd(t.nearTCP)
	head := establishedHead
	if t.framed {
		head = framedHead
	}
	if _, err := io.WriteString(t.near, head); err != nil {
		return
	}
	var down sync.WaitGroup
	down.Go(t.copyDown)
	t.copyUp(early)
	down.Wait()
}

// copyUp copies from the router to the endpoint and closes both when the router closes
// its side. After a failed write it discards what arrives: unread bytes would turn the
// end of the router's connection into a reset.
func (t *tunnel) copyUp(early []byte) {
	part, buffer := early, make([]byte, bufferBytes)
	writable := true
	for {
		if writable {
			err := t.writeFar(part)
			if errors.Is(err, errHungUp) {
				t.reset()
				return
			}
			writable = err == nil
		}
		n, err := t.near.Read(buffer)
		part = buffer[:n]
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) {
			t.close()
			return
		}
		t.reset()
		return
	}
}

// writeFar writes to the endpoint until the router closes its side.
func (t *tunnel) writeFar(b []byte) error {
	for len(b) > 0 {
		n, err := t.writePart(b)
		b = b[n:]
		t.copied(n)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if err != nil && hungUp(t.near) {
			return errHungUp
		}
	}
	return nil
}

// writePart writes to the endpoint for a bounded time.
func (t *tunnel) writePart(b []byte) (int, error) {
	if err := t.far.SetWriteDeadline(time.Now().Add(writeInterval)); err != nil {
		return 0, err
	}
	return t.far.Write(b)
}

// copyDown copies from the endpoint to the router, and then passes the end on.
func (t *tunnel) copyDown() {
	buffer := make([]byte, headBytes+bufferBytes)
	for {
		n, err := t.far.Read(buffer[headBytes:])
		if n > 0 {
			if err := t.writeNear(buffer[:headBytes+n]); err != nil {
				t.reset()
				return
			}
			t.copied(n)
		}
		if err != nil {
			t.endDown(err)
			return
		}
	}
}

// writeNear writes bytes to the router that have room for the head of a frame before them.
func (t *tunnel) writeNear(frame []byte) error {
	if !t.framed {
		frame = frame[headBytes:]
	} else {
		putHead(frame)
	}
	_, err := t.near.Write(frame)
	return err
}

// endDown passes the end of the endpoint's connection on to the router.
func (t *tunnel) endDown(err error) {
	if !errors.Is(err, io.EOF) {
		t.drain()
		t.reset()
		return
	}
	// A router that reads slowly has room for the mark only once it has read on.
	if t.framed {
		if _, err := t.near.Write(endFrame); err != nil {
			t.reset()
			return
		}
	}
	tcp.EndInOrder(t.nearTCP)
	t.idle.Reset(lingerTimeout)
	t.ended.Store(true)
	if err := t.nearTCP.CloseWrite(); err != nil {
		t.reset()
	}
}

// drain waits until the router has acknowledged all bytes, which a reset would discard.
func (t *tunnel) drain() {
	for began := time.Now(); unacknowledged(t.near) > 0 && time.Since(began) < drainTimeout; {
		time.Sleep(drainInterval)
	}
}

// copied counts bytes that were copied.
func (t *tunnel) copied(n int) {
	if n > 0 {
		t.idle.Reset(idleTimeout)
		t.onCopied(n)
	}
}

// expire ends a tunnel that copies nothing any more.
func (t *tunnel) expire() {
	if t.ended.Load() {
		t.close()
		return
	}
	t.reset()
}

// close closes both connections, that of the router in order only if the endpoint has ended its
// side so. Bytes that were written still arrive.
func (t *tunnel) close() {
	_ = t.far.Close()
	if !t.ended.Load() {
		t.drain()
	}
	_ = t.near.Close()
}

// reset resets both connections.
func (t *tunnel) reset() {
	tcp.Reset(t.far.Conn)
	tcp.Reset(t.near.Conn)
}

// hungUp reports whether the other side of a connection has closed it, even if there are
// bytes left to read.
func hungUp(c syscall.Conn) bool {
	hungUp := false
	err := control(c, func(fd int) {
		fds := []unix.PollFd{{
			Fd:     int32(fd),
			Events: unix.POLLRDHUP,
		}}
		_, err := unix.Poll(fds, 0)
		hungUp = err == nil && fds[0].Revents != 0
	})
	return hungUp || err != nil
}

// unacknowledged returns the number of bytes that the other side has not acknowledged;
// zero if the connection is closed.
func unacknowledged(c syscall.Conn) int {
	bytes := 0
	if err := control(c, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	}); err != nil {
		return 0
	}
	return bytes
}

// control calls f with the descriptor of a connection.
func control(c syscall.Conn, f func(fd int)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
