package tcp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Idle reports whether a connection is open in both directions and nothing has arrived on it that
// was not read. It neither waits nor takes anything from the connection, and may be called while
// another goroutine uses it.
func Idle(conn net.Conn) bool {
	idle := false
	err := look(conn, func(fd int) {
		events, err := poll(fd, unix.POLLIN|unix.POLLRDHUP)
		idle = err == nil && events == 0
	})
	return err == nil && idle
}

// Closed reports whether the peer has closed a connection and all that it sent was read. It is like
// Idle otherwise.
func Closed(conn net.Conn) bool {
	closed := false
	if _, ok := conn.(syscall.Conn); !ok {
		return false
	}
	if err := look(conn, func(fd int) {
		events, err := poll(fd, unix.POLLRDHUP)
		if err != nil || events == 0 {
			return
		}
		unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
		closed = err != nil || unread == 0
	}); err != nil {
		return true
	}
	return closed
}

// poll returns which of some events, and which failures, a descriptor has.
func poll(fd int, events int16) (int16, error) {
	fds := []unix.PollFd{{
		Fd:     int32(fd),
		Events: events,
	}}
	for {
		_, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return fds[0].Revents, err
		}
	}
}

// look calls f with the descriptor of a connection.
func look(conn net.Conn, f func(fd int)) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return syscall.ENOTSUP
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
