package tcp

import (
	"os"
	"runtime"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// TestLookDuringSignals guards against a look that a signal interrupts, as the runtime sends them to its
// threads, and that takes a sound connection for one that has ended.
func TestLookDuringSignals(t *testing.T) {
	const looks = 200_000
	near, _ := pair(t)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	thread := unix.Gettid()
	started, stop, stopped := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		close(started)
		for {
			select {
			case <-stop:
				return
			default:
			}
			// The runtime takes it for one of its own and does nothing.
			if err := unix.Tgkill(os.Getpid(), thread, syscall.SIGURG); err != nil {
				t.Error(err)
				return
			}
		}
	}()
	<-started
	failed := 0
	for range looks {
		if !Idle(near) {
			failed++
		}
	}
	close(stop)
	<-stopped
	if failed > 0 {
		t.Errorf("%d of %d looks found that an idle connection has ended", failed, looks)
	}
}
