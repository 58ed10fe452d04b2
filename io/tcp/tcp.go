// Package tcp provides dialers whose connections end once the peer is gone, but not while
// a sound peer is silent for a moment or reads nothing.
//
// An open connection can stop working permanently while new ones work, and a
// lost SYN is retransmitted only after a second. The timeouts are therefore
// short, both for dialing and for established connections.
//
// Keep-alive probes find a peer that is gone while no bytes are unacknowledged, and a watch
// in this package the others. TCP_USER_TIMEOUT is not used for either: it replaces the count of
// the probes, cuts the last retransmission timeout short, and covers the time in which the
// peer's receive window is closed.
//
// The kernel reports a failure of a connection once, to the first call that meets it; a read after
// that sees an end in order. So nothing but reads and writes may take the report: Idle and Closed
// only look, and Conn keeps what a write has got for the reads.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout limits the time to make a connection: a new attempt is faster
	// than the retransmission of a lost SYN.
	DialTimeout = 400 * time.Millisecond

	// soundSilence is how long a sound peer may acknowledge nothing.
	soundSilence = 2 * time.Second

	// unackedTimeout is how long sent bytes may stay without any acknowledgement. Each
	// retransmission timeout is twice the last one, so that the first retransmission after
	// a silence can follow as late as at three times its length.
	unackedTimeout = 3 * soundSilence

	// keepAliveIdle, keepAliveInterval and keepAliveCount end an idle connection five seconds
	// after the last sign of life of the peer, patientKeepAliveCount two seconds later.
	keepAliveIdle         = time.Second
	keepAliveInterval     = time.Second
	keepAliveCount        = 4
	patientKeepAliveCount = 6

	// fallbackUserTimeout is the TCP_USER_TIMEOUT of a connection that can't be watched.
	fallbackUserTimeout = 10 * time.Second
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

// WatchedDialer makes connections that are watched for bytes without acknowledgement.
// Create it with Dialer or PatientDialer.
type WatchedDialer struct {
	net.Dialer

	// readInfo reads the state of a connection.
	readInfo readInfo
}

// Dialer returns a dialer with the timeouts of this package.
func Dialer() *WatchedDialer {
	return newDialer(keepAliveCount, readTCPInfo)
}

// PatientDialer returns a dialer whose connections survive a busy link. The time to
// make a connection is limited by the context alone.
func PatientDialer() *WatchedDialer {
	d := newDialer(patientKeepAliveCount, readTCPInfo)
	d.Timeout = 0
	return d
}

func newDialer(probes int, read readInfo) *WatchedDialer {
	return &WatchedDialer{
		Dialer: net.Dialer{
			Timeout: DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    probes,
			},
			Control: func(_, _ string, raw syscall.RawConn) error {
				if _, err := read(raw); err == nil {
					return nil
				}
				return setUserTimeout(raw, fallbackUserTimeout)
			},
		},
		readInfo: read,
	}
}

// DialContext is like net.Dialer.DialContext.
func (d *WatchedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		_ = tc.Close()
		return nil, err
	}
	if _, err := d.readInfo(raw); err != nil {
		// The fallback is in force.
		return tc, nil
	}
	return newWatchedConn(tc, raw, d.readInfo), nil
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}
