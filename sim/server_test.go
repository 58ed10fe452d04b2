package sim

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// TestCrashDuringAccept crashes a server while clients connect. It guards against
// a deadlock in which closing the server waits for its ConnContext callback, and
// the callback waits for the lock held by crash.
func TestCrashDuringAccept(t *testing.T) {
	const (
		dialers      = 4
		crashes      = 200
		crashTimeout = 20 * time.Second
	)
	w := &World{
		done: make(chan struct{}),
	}
	s, err := w.listen("port", netip.AddrPort{}, http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	address := s.address().String()
	stop := make(chan struct{})
	var dialing sync.WaitGroup
	for range dialers {
		dialing.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.Dial("tcp", address); err == nil {
					_ = c.Close()
				}
			}
		})
	}
	crashed := make(chan struct{})
	go func() {
		defer close(crashed)
		for range crashes {
			s.crash(time.Millisecond)
			time.Sleep(2 * time.Millisecond)
		}
	}()
	select {
	case <-crashed:
	case <-time.After(crashTimeout):
		t.Error("crash deadlocked")
	}
	close(stop)
	close(w.done)
	dialing.Wait()
}
