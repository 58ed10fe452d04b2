package tcp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"waxwingwall"
	"waxwingwall/io/endpoint"
	"waxwingwall/io/origin"
	"waxwingwall/io/peer"
	ioplatform "waxwingwall/io/platform"
	"waxwingwall/io/tcp"
	"waxwingwall/platform"
)

// silence is how long a sound peer may acknowledge nothing.
const silence = 2 * time.Second

// options are what Linux goes by to give up a connection.
type options struct {
	keepAlives                  bool
	userTimeout, idle, interval time.Duration
	count                       int
}

// TestOptionsAllowSilence guards against a connection that TCP gives up although its peer is
// sound and only silent for a moment: the options of each socket, at both ends, are read back
// and applied to all phases of a silence.
func TestOptionsAllowSilence(t *testing.T) {
	connections := map[string]func(t *testing.T, to netip.AddrPort){
		"origin": func(t *testing.T, to netip.AddrPort) {
			p, stop := origin.New()
			t.Cleanup(stop)
			if err := p.Preconnect(t.Context(), to, 0); err != nil {
				t.Fatal(err)
			}
		},
		"endpoint": func(t *testing.T, to netip.AddrPort) {
			p, stop := endpoint.NewPool()
			t.Cleanup(stop)
			go roundTrip(t.Context(), p.Transport(to, false), to)
		},
		"endpoint, unshared": func(t *testing.T, to netip.AddrPort) {
			p, stop := endpoint.NewPool()
			t.Cleanup(stop)
			go roundTrip(t.Context(), p.Transport(to, true), to)
		},
		"store": func(t *testing.T, to netip.AddrPort) {
			c, stop := platform.New(to)
			t.Cleanup(stop)
			go func() { _, _ = c.Transact(t.Context(), nil) }()
		},
		"peer": func(t *testing.T, to netip.AddrPort) {
			c, stop := peer.New(to, nil)
			t.Cleanup(stop)
			go func() { _ = c.Messages(t.Context(), nil) }()
		},
		"table": func(t *testing.T, to netip.AddrPort) {
			c, stop, err := ioplatform.New("http://" + to.String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(stop)
			go func() { _, _ = c.Transact(t.Context(), []waxwingwall.Write{{}}) }()
		},
		"listener": func(t *testing.T, to netip.AddrPort) {
			c, err := net.Dial("tcp", to.String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
		},
	}
	for name, connect := range connections {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
			t.Cleanup(server.Close)
			t.Cleanup(func() { close(release) })
			addr := server.Listener.Addr().(*net.TCPAddr).AddrPort()
			connect(t, addr)
			for _, o := range socketsOf(t, addr) {
				if at, ok := o.surviveKept(); !ok {
					t.Errorf("%+v: a kept connection is given up in a silence that begins after %v", o, at)
				}
				if rto, rest, ok := o.surviveUnacked(); !ok {
					t.Errorf("%+v: bytes sent %v before the end of a silence are given up, first retransmitted after %v", o, rest, rto)
				}
			}
		})
	}
}

func roundTrip(ctx context.Context, transport http.RoundTripper, to netip.AddrPort) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.String(), nil)
	if err != nil {
		return
	}
	if res, err := transport.RoundTrip(req); err == nil {
		_ = res.Body.Close()
	}
}

// socketsOf returns the options of both ends of the connections to a listener of this
// process. Each end sets them one by one after the connection is made, so it waits until
// keep-alive is on at all ends and nothing has changed between two reads.
func socketsOf(t *testing.T, listener netip.AddrPort) []options {
	var before []options
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(settleInterval) {
		ends := readOptions(t, listener)
		off := func(o options) bool { return !o.keepAlives }
		if len(ends) >= 2 && !slices.ContainsFunc(ends, off) && slices.Equal(ends, before) {
			return ends
		}
		before = ends
	}
	t.Fatalf("no connection with keep-alive at both ends: %+v", before)
	return nil
}

// settleInterval is the time between two reads of the options of a connection.
const settleInterval = 10 * time.Millisecond

// readOptions reads the options of all sockets of this process that are connected to a
// listener or were accepted by it.
func readOptions(t *testing.T, listener netip.AddrPort) []options {
	fds, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	var ends []options
	for _, entry := range fds {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			t.Fatal(err)
		}
		remote, err := unix.Getpeername(fd)
		if err != nil {
			continue
		}
		local, err := unix.Getsockname(fd)
		if err == nil && (isAddr(remote, listener) || isAddr(local, listener)) {
			ends = append(ends, optionsOf(t, fd))
		}
	}
	return ends
}

func isAddr(a unix.Sockaddr, want netip.AddrPort) bool {
	in, ok := a.(*unix.SockaddrInet4)
	return ok && netip.AddrFrom4(in.Addr) == want.Addr() && in.Port == int(want.Port())
}

func optionsOf(t *testing.T, fd int) options {
	get := func(level, option int) time.Duration {
		v, err := unix.GetsockoptInt(fd, level, option)
		if err != nil {
			t.Fatal(err)
		}
		return time.Duration(v)
	}
	return options{
		keepAlives:  get(unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0,
		userTimeout: get(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) * time.Millisecond,
		idle:        get(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE) * time.Second,
		interval:    get(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL) * time.Second,
		count:       int(get(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)),
	}
}

// phaseStep is the distance between the phases of a silence that are tried.
const phaseStep = 10 * time.Millisecond

// surviveKept reports whether a connection on which nothing is sent survives each silence,
// and otherwise when after the last receipt that silence begins.
func (o options) surviveKept() (begin time.Duration, ok bool) {
	for begin = 0; begin <= o.idle; begin += phaseStep {
		if !o.keepAlive(begin) {
			return begin, false
		}
	}
	return 0, true
}

// keepAlive is tcp_keepalive_timer of Linux. It reports whether a connection lives on after a
// silence that begins at a time after the last receipt.
func (o options) keepAlive(begin time.Duration) bool {
	end := begin + silence
	received, unanswered := time.Duration(0), 0
	for now := o.idle; received < end; {
		elapsed := now - received
		if elapsed < o.idle {
			now += o.idle - elapsed
			continue
		}
		if o.userTimeout > 0 && elapsed >= o.userTimeout && unanswered > 0 {
			return false
		}
		if o.userTimeout == 0 && unanswered >= o.count {
			return false
		}
		if now >= begin && now < end {
			unanswered++
		} else {
			received, unanswered = now, 0
		}
		now += o.interval
	}
	return true
}

// surviveUnacked reports whether bytes that are sent within a silence are acknowledged after
// it before the user timeout, for each first retransmission timeout and each rest of the
// silence. Each further timeout is twice as long, and the last one ends at the user timeout.
func (o options) surviveUnacked() (rto, rest time.Duration, ok bool) {
	if o.userTimeout == 0 {
		return 0, 0, true
	}
	for rto = 200 * time.Millisecond; rto <= silence; rto += phaseStep {
		for rest = phaseStep; rest < silence; rest += phaseStep {
			sent := rto
			for interval := rto; sent < rest; sent += interval {
				interval *= 2
			}
			if sent >= o.userTimeout {
				return rto, rest, false
			}
		}
	}
	return 0, 0, true
}

// TestSilentPeer guards against a connection that is closed while its peer, which is sound,
// acknowledges nothing for a moment, be the connection kept or in use.
func TestSilentPeer(t *testing.T) {
	t.Parallel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for name, dial := range map[string]tcp.Dial{
		"dialer":         tcp.Dialer().DialContext,
		"patient dialer": tcp.PatientDialer().DialContext,
	} {
		for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
			for _, send := range []bool{false, true} {
				wg.Go(func() {
					err := playInTime(silence, func() (time.Duration, error) {
						return playSilence(t, dial, phase, send)
					})
					if err != nil {
						t.Errorf("%s, silent after %v, bytes sent %v: %v", name, phase, send, err)
					}
				})
			}
		}
	}
}

// playInTime plays a trial that is to take as long as it reports until it took no more than
// playSlack longer: on a busy machine it does not play what it is meant to.
func playInTime(want time.Duration, trial func() (time.Duration, error)) error {
	for range maxTrials {
		took, err := trial()
		if took <= want+playSlack {
			return err
		}
	}
	return fmt.Errorf("no trial of %d took %v", maxTrials, want)
}

const (
	playSlack = 200 * time.Millisecond
	maxTrials = 20
)

// playSilence lets a peer acknowledge nothing for the time silence, beginning a time after
// the connection was made. It returns how long it really was, and the error of an exchange
// after it.
func playSilence(t *testing.T, dial tcp.Dial, phase time.Duration, send bool) (time.Duration, error) {
	near, far := connect(t, dial)
	time.Sleep(phase)
	began := time.Now()
	mute(t, far)
	if send {
		_, _ = near.Write([]byte("a"))
	}
	time.Sleep(silence)
	unmute(t, far)
	return time.Since(began), echo(near, far, send)
}

// TestDeadPeer guards against a connection that stays open although its peer is gone.
func TestDeadPeer(t *testing.T) {
	t.Parallel()
	const limit = 10 * time.Second
	// Each case kills the peer and waits for the end of the connection. It returns when the
	// peer died.
	cases := map[string]func(near, far net.Conn) (time.Time, error){
		"kept": func(near, far net.Conn) (time.Time, error) {
			mute(t, far)
			died := time.Now()
			_, err := near.Read(make([]byte, 1))
			return died, err
		},
		"bytes sent": func(near, far net.Conn) (time.Time, error) {
			mute(t, far)
			died := time.Now()
			if _, err := near.Write([]byte("a")); err != nil {
				return died, err
			}
			_, err := near.Read(make([]byte, 1))
			return died, err
		},
		"window closed": func(near, far net.Conn) (time.Time, error) {
			death := make(chan time.Time, 1)
			time.AfterFunc(windowTime, func() {
				mute(t, far)
				death <- time.Now()
			})
			for {
				if _, err := near.Write(make([]byte, 1<<20)); err != nil {
					return <-death, err
				}
			}
		},
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for dialer, dial := range map[string]tcp.Dial{
		"dialer":         tcp.Dialer().DialContext,
		"patient dialer": tcp.PatientDialer().DialContext,
	} {
		for name, die := range cases {
			wg.Go(func() {
				err := playInTime(windowTime, func() (time.Duration, error) {
					near, far := connect(t, dial)
					defer func() { _ = far.Close() }()
					defer func() { _ = near.Close() }()
					began := time.Now()
					died, err := die(near, far)
					return died.Sub(began), checkEnd(near, err, time.Since(began), limit)
				})
				if err != nil {
					t.Errorf("%s, %s: %v", dialer, name, err)
				}
			})
		}
	}
}

// windowTime is how long a window is closed until its peer dies. The time between two probes
// of it doubles, and so does the time after which a death is noticed.
const windowTime = time.Second

// checkEnd returns an error unless a connection ended with a timeout within a limit.
func checkEnd(near net.Conn, err error, took, limit time.Duration) error {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() || took > limit {
		return fmt.Errorf("after %v: %w", took, err)
	}
	if _, err := near.Read(make([]byte, 1)); err == nil {
		return errors.New("read after the end")
	}
	return nil
}

// connect makes a connection and returns both ends.
func connect(t *testing.T, dial tcp.Dial) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return nil, nil
	}
	defer func() { _ = l.Close() }()
	near, err = dial(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Error(err)
		return nil, nil
	}
	far, err = l.Accept()
	if err != nil {
		t.Error(err)
	}
	return near, far
}

// echo checks that a byte arrives at the far end and one comes back. The first is sent
// already if sent is set; otherwise it is sent after all probes of the silence.
func echo(near, far net.Conn, sent bool) error {
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	deadline := time.Now().Add(10 * time.Second)
	if !sent {
		time.Sleep(silence)
		if _, err := near.Write([]byte("a")); err != nil {
			return err
		}
	}
	if err := far.SetDeadline(deadline); err != nil {
		return err
	}
	if err := near.SetDeadline(deadline); err != nil {
		return err
	}
	var b [1]byte
	if _, err := io.ReadFull(far, b[:]); err != nil {
		return err
	}
	if _, err := far.Write(b[:]); err != nil {
		return err
	}
	_, err := io.ReadFull(near, b[:])
	return err
}

// mute makes an end of a connection ignore all that arrives, without any acknowledgement.
func mute(t *testing.T, far net.Conn) {
	drop := unix.SockFilter{
		Code: unix.BPF_RET | unix.BPF_K,
	}
	control(t, far, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len:    1,
			Filter: &drop,
		})
	})
}

func unmute(t *testing.T, far net.Conn) {
	control(t, far, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
}

func control(t *testing.T, c net.Conn, f func(fd int) error) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	if cerr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); cerr != nil || err != nil {
		t.Error(cerr, err)
	}
}
