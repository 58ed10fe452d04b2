package tcp

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// failing is a listener whose Accept returns errors, and then connections.
type failing struct {
	net.Listener
	errs   []error
	closed atomic.Bool
}

func (l *failing) Accept() (net.Conn, error) {
	if l.closed.Load() {
		return nil, net.ErrClosed
	}
	if len(l.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func (l *failing) Close() error {
	l.closed.Store(true)
	return nil
}

// TestKeepAccepting guards against a listener that stops for good after a failed accept, tries
// without a pause, logs each failure, or goes on once it is closed.
func TestKeepAccepting(t *testing.T) {
	repeat := func(n int, errs ...error) []error {
		var all []error
		for range n {
			all = append(all, errs...)
		}
		return all
	}
	for name, test := range map[string]struct {
		errs    []error
		closeAt time.Duration
		took    time.Duration
		reports []int
		err     error
	}{
		"none":        {nil, 0, 0, nil, nil},
		"one":         {[]error{syscall.EMFILE}, 0, 5 * time.Millisecond, []int{1}, nil},
		"all kinds":   {[]error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, errors.New("odd")}, 0, 515 * time.Millisecond, []int{1}, nil},
		"for long":    {repeat(106, syscall.EMFILE), 0, 20315 * time.Millisecond, []int{1, 55, 50}, nil},
		"closed":      {repeat(1, net.ErrClosed), 0, 0, nil, net.ErrClosed},
		"close":       {repeat(1000, syscall.EMFILE), time.Second + time.Millisecond, time.Second + time.Millisecond, []int{1}, net.ErrClosed},
		"end of odds": {repeat(1000, errors.New("odd")), 12 * time.Second, 12 * time.Second, []int{1, 55}, net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var reports []int
				l := KeepAccepting(&failing{errs: test.errs}, func(failed int, _ error) { reports = append(reports, failed) })
				if test.closeAt > 0 {
					time.AfterFunc(test.closeAt, func() { _ = l.Close() })
				}
				began := time.Now()
				_, err := l.Accept()
				if took := time.Since(began); !errors.Is(err, test.err) || took != test.took {
					t.Errorf("%v after %v, want %v after %v", err, took, test.err, test.took)
				}
				if len(reports) != len(test.reports) {
					t.Fatalf("reports %v, want %v", reports, test.reports)
				}
				for i, n := range test.reports {
					if reports[i] != n {
						t.Errorf("reports %v, want %v", reports, test.reports)
					}
				}
			})
		})
	}
}
