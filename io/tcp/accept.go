package tcp

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// minAcceptWait is the wait after an accept that failed. It doubles with each further one, up
	// to maxAcceptWait.
	minAcceptWait = 5 * time.Millisecond
	maxAcceptWait = 200 * time.Millisecond

	// acceptReportInterval is the shortest time between two reports of failed accepts.
	acceptReportInterval = 10 * time.Second
)

// AcceptFailed is told of accepts that have failed since it was told before, and of the last
// error of them. It must not wait.
type AcceptFailed func(failed int, err error)

// KeepAccepting returns a listener whose Accept tries again after a failure, whatever it is, until
// the listener is closed. net/http goes on only after some errors, and not if the system lacks
// memory. report is called at most once in acceptReportInterval; it may be nil.
func KeepAccepting(l net.Listener, report AcceptFailed) net.Listener {
	if report == nil {
		report = func(int, error) {}
	}
	return &keptListener{
		Listener: l,
		report:   report,
		closed:   make(chan struct{}),
	}
}

// keptListener is a listener of KeepAccepting.
type keptListener struct {
	net.Listener
	report AcceptFailed
	closed chan struct{}
	once   sync.Once

	// mu guards the fields below. failed counts the failures that are not yet reported.
	mu         sync.Mutex
	failed     int
	reportedAt time.Time
}

// Accept implements net.Listener. It fails only once the listener is closed.
func (l *keptListener) Accept() (net.Conn, error) {
	for wait := minAcceptWait; ; wait = min(2*wait, maxAcceptWait) {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		default:
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.count(err)
		select {
		case <-time.After(wait):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// count counts a failure, and reports it unless another one was reported just before.
func (l *keptListener) count(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
	if now := time.Now(); l.reportedAt.IsZero() || now.Sub(l.reportedAt) >= acceptReportInterval {
		l.report(l.failed, err)
		l.failed = 0
		l.reportedAt = now
	}
}

// Close implements net.Listener.
func (l *keptListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
