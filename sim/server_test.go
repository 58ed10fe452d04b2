package sim

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// TestCrashDuringAccept crashes a port while connections are being opened: the
// server must not wait for a callback that waits for the port.
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
		t.Error("a crash waits for ever")
	}
	close(stop)
	close(w.done)
	dialing.Wait()
}
