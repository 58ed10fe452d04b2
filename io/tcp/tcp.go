// Package tcp makes connections that don't stay silent unnoticed.
//
// An open connection can go silent for good while new ones work, and a lost
// opening packet is sent again only after a second. So connections are given up
// on early, both while they are made and while they are kept.
package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the making of a connection: a fresh try is quicker than
	// a lost opening packet that is sent again.
	dialTimeout = 400 * time.Millisecond

	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as dead.
	userTimeout = 2500 * time.Millisecond

	// keepAliveIdle, keepAliveEvery and keepAliveCount find an unused connection
	// that went silent within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer of such connections.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}
