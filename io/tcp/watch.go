package tcp

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchInterval is the time between two looks at a connection with unacknowledged bytes.
	watchInterval = time.Second

	// minProbes is the number of probes of a closed window that must be unanswered. After a
	// long time only one of them falls within unackedTimeout, and a moment's silence may hide it.
	minProbes = 2
)

// readInfo reads the state of a connection.
type readInfo func(raw syscall.RawConn) (*unix.TCPInfo, error)

// readTCPInfo reads TCP_INFO.
func readTCPInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); cerr != nil {
		return nil, cerr
	}
	return info, err
}

// watchedConn is a connection that fails with a timeout, like one that TCP gives up, once
// the peer has not acknowledged anything for unackedTimeout although it should have.
type watchedConn struct {
	net.Conn
	tcp      *net.TCPConn
	raw      syscall.RawConn
	readInfo readInfo

	// mu guards the fields below. writing is the number of calls of Write. timer is
	// running while watching is set, which it is while bytes may be unacknowledged.
	mu       sync.Mutex
	writing  int
	timer    *time.Timer
	watching bool
	closed   bool

	// since is the time since which the peer owes an acknowledgement, if it does.
	since time.Time

	// lost is set once the connection was given up.
	lost bool
}

func newWatchedConn(tc *net.TCPConn, raw syscall.RawConn, read readInfo) *watchedConn {
	return &watchedConn{
		Conn:     tc,
		tcp:      tc,
		raw:      raw,
		readInfo: read,
	}
}

// SyscallConn implements syscall.Conn.
func (c *watchedConn) SyscallConn() (syscall.RawConn, error) {
	return c.raw, nil
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		err = c.cause("read", err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *watchedConn) Write(b []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(b)
	c.endWrite()
	if err != nil {
		err = c.cause("write", err)
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger is like net.TCPConn.SetLinger.
func (c *watchedConn) SetLinger(seconds int) error {
	return c.tcp.SetLinger(seconds)
}

func (c *watchedConn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing++
	if c.watching || c.closed {
		return
	}
	c.watching = true
	c.since = time.Now()
	if c.timer == nil {
		c.timer = time.AfterFunc(watchInterval, c.watch)
		return
	}
	c.timer.Reset(watchInterval)
}

func (c *watchedConn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
}

// watch gives the connection up if the peer is gone. It is called again until all bytes are
// acknowledged.
func (c *watchedConn) watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	info, err := c.readInfo(c.raw)
	if err != nil || c.writing == 0 && info.Unacked == 0 && info.Notsent_bytes == 0 {
		c.watching = false
		return
	}
	if c.peerGone(time.Now(), info) {
		c.giveUp()
		return
	}
	c.timer.Reset(watchInterval)
}

// peerGone reports whether the peer has owed an acknowledgement for too long. It owes none
// if it has acknowledged something since the last transmission: a receiver that reads nothing
// acknowledges each repetition and each probe. c.mu is held.
func (c *watchedConn) peerGone(now time.Time, info *unix.TCPInfo) bool {
	unacked := info.Unacked > 0 && info.Last_ack_recv > info.Last_data_sent
	if !unacked && info.Probes == 0 {
		c.since = now
		return false
	}
	heard := now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
	if heard.After(c.since) {
		c.since = heard
	}
	return now.Sub(c.since) >= unackedTimeout && (unacked || info.Probes >= minProbes)
}

// giveUp ends all reads and writes, and discards the unacknowledged bytes. The owner closes
// the connection. c.mu is held.
func (c *watchedConn) giveUp() {
	c.lost = true
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.CloseRead()
	_ = c.tcp.CloseWrite()
}

// cause returns the error of an operation that failed with err: a timeout if the connection
// was given up.
func (c *watchedConn) cause(op string, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lost {
		return err
	}
	return &net.OpError{
		Op:     op,
		Net:    "tcp",
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    os.NewSyscallError(op, syscall.ETIMEDOUT),
	}
}

// Unwatched ends the watch over a connection of a WatchedDialer and returns the connection
// itself; false if it is no TCP connection.
func Unwatched(conn net.Conn) (*net.TCPConn, bool) {
	c, ok := conn.(*watchedConn)
	if !ok {
		tc, ok := conn.(*net.TCPConn)
		return tc, ok
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	return c.tcp, true
}
