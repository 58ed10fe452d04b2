// Package tcp provides dialers whose connections fail early when the peer stops
// responding.
//
// An open connection can stop working permanently while new ones work, and a
// lost SYN is retransmitted only after a second. The timeouts are therefore
// short, both for dialing and for established connections.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout limits the time to make a connection: a new attempt is faster
	// than the retransmission of a lost SYN.
	DialTimeout = 400 * time.Millisecond

	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed.
	userTimeout = 2500 * time.Millisecond

	// patientUserTimeout replaces userTimeout where a late answer is worth waiting for.
	patientUserTimeout = 6 * time.Second

	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an idle
	// connection whose peer stopped responding within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dial makes a connection to an address, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Repeated returns a Dial that starts further attempts with dial until one succeeds,
// and fails after limit. The first one follows after DialTimeout, each other one after
// twice the time. A lost SYN is thus replaced early, while a reply that is delayed by
// a busy link still counts.
func Repeated(dial Dial, limit time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		results := make(chan dialResult)
		attempt := func() {
			conn, err := dial(ctx, network, address)
			select {
			case results <- dialResult{
				conn: conn,
				err:  err,
			}:
			case <-ctx.Done():
				if conn != nil {
					_ = conn.Close()
				}
			}
		}
		interval := DialTimeout
		timer := time.NewTimer(interval)
		defer timer.Stop()
		go attempt()
		for pending := 1; ; {
			select {
			case r := <-results:
				pending--
				if r.err == nil || pending == 0 {
					return r.conn, r.err
				}
			case <-timer.C:
				interval *= 2
				timer.Reset(interval)
				pending++
				go attempt()
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}

type dialResult struct {
	conn net.Conn
	err  error
}

// Dialer returns a dialer with these timeouts.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout(userTimeout),
	}
}

// PatientDialer returns a dialer whose connections survive a busy link. The time to
// make a connection is limited by the context alone.
func PatientDialer() *net.Dialer {
	d := Dialer()
	d.Timeout = 0
	d.Control = setUserTimeout(patientUserTimeout)
	return d
}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT, the limit for
// unacknowledged bytes. It applies to unanswered keep-alive probes as well.
func setUserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		}); cerr != nil {
			return cerr
		}
		return err
	}
}

// Closed reports whether the peer has closed a connection and all that it sent was read.
// It neither waits nor reads anything, and may be called while another goroutine reads.
func Closed(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && rerr == nil || errors.Is(rerr, unix.ECONNRESET)
	}); err != nil {
		return true
	}
	return closed
}
