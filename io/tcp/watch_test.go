package tcp

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestPeerGone guards against a peer that is taken for dead while it acknowledges each
// transmission, however rare these have become, and against one that is never given up.
func TestPeerGone(t *testing.T) {
	const old = 20 * time.Second
	ms := func(d time.Duration) uint32 { return uint32(d.Milliseconds()) }
	for name, test := range map[string]struct {
		since time.Duration
		info  unix.TCPInfo
		want  bool
	}{
		"just sent":                    {0, unix.TCPInfo{Unacked: 1, Last_ack_recv: ms(old)}, false},
		"unacknowledged, not for long": {unackedTimeout - 1, unix.TCPInfo{Unacked: 1, Last_ack_recv: ms(old)}, false},
		"unacknowledged":               {unackedTimeout, unix.TCPInfo{Unacked: 1, Last_ack_recv: ms(old), Last_data_sent: ms(3 * time.Second)}, true},
		"others acknowledged since":    {old, unix.TCPInfo{Unacked: 1, Last_ack_recv: ms(unackedTimeout) - 1}, false},
		"repetition not accepted":      {old, unix.TCPInfo{Unacked: 1, Last_ack_recv: ms(old), Last_data_sent: ms(old)}, false},
		"window closed":                {old, unix.TCPInfo{Notsent_bytes: 1, Last_ack_recv: ms(old), Last_data_sent: ms(old)}, false},
		"window closed, one probe":     {old, unix.TCPInfo{Notsent_bytes: 1, Last_ack_recv: ms(old), Last_data_sent: ms(old), Probes: 1}, false},
		"window closed, two probes":    {old, unix.TCPInfo{Notsent_bytes: 1, Last_ack_recv: ms(old), Last_data_sent: ms(old), Probes: 2}, true},
	} {
		now := time.Now()
		c := &watchedConn{
			since: now.Add(-test.since),
		}
		if got := c.peerGone(now, &test.info); got != test.want {
			t.Errorf("%s: gone %v, want %v", name, got, test.want)
		}
	}
}

// TestUnreadableInfo guards against a dead connection that nothing finds because TCP_INFO
// can't be read.
func TestUnreadableInfo(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	d := newDialer(keepAliveCount, func(syscall.RawConn) (*unix.TCPInfo, error) { return nil, errors.ErrUnsupported })
	c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var limit int
	if cerr := raw.Control(func(fd uintptr) {
		limit, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); cerr != nil || err != nil || limit != int(fallbackUserTimeout.Milliseconds()) {
		t.Errorf("user timeout %d ms, %v, %v", limit, cerr, err)
	}
}
