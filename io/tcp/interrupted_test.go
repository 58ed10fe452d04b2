package tcp

import (
	"runtime"
	"testing"
	"time"
)

// TestLookIsInterrupted guards against an idle connection that counts as closed because a signal, by
// which the runtime preempts goroutines, interrupts the look at it.
func TestLookIsInterrupted(t *testing.T) {
	near, _ := pair(t)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			default:
				runtime.GC()
			}
		}
	}()
	looks, closed := 0, 0
	for began := time.Now(); time.Since(began) < 2*time.Second; looks++ {
		if !Idle(near) {
			closed++
		}
	}
	if closed > 0 {
		t.Errorf("%d of %d looks find a closed connection", closed, looks)
	}
}
