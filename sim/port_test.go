package sim

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// TestCrashWhileOpening crashes a port while connections are being opened: the
// server must not wait for a callback that waits for the port.
func TestCrashWhileOpening(t *testing.T) {
	const (
		dialers   = 4
		crashes   = 200
		crashTime = 20 * time.Second
	)
	w := &World{
		done: make(chan struct{}),
	}
	p, err := w.listen("port", netip.AddrPort{}, http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	address := p.address().String()
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
			p.crash(time.Millisecond)
			time.Sleep(2 * time.Millisecond)
		}
	}()
	select {
	case <-crashed:
	case <-time.After(crashTime):
		t.Error("a crash waits for ever")
	}
	close(stop)
	close(w.done)
	dialing.Wait()
}
