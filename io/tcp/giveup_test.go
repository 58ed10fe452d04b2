package tcp

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// giveUpTries is how often each case of a connection that is given up is tried.
const giveUpTries = 200

// TestGivenUpConnectionHasNoOrderlyEnd guards against a read that returns an orderly end of a
// connection that was given up, whether it waits then, begins later, or follows bytes that
// came before.
func TestGivenUpConnectionHasNoOrderlyEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- c
		}
	}()
	for name, test := range map[string]struct {
		sent   string
		before bool
	}{
		"a read waits":                   {"", true},
		"a read waits after bytes":       {"text", true},
		"a read begins then":             {"", false},
		"a read begins then, with bytes": {"text", false},
	} {
		t.Run(name, func(t *testing.T) {
			for try := range giveUpTries {
				nc, err := Dialer().DialContext(t.Context(), "tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				watched, ok := nc.(*watchedConn)
				if !ok {
					t.Fatalf("not watched: %T", nc)
				}
				far := <-accepted
				if _, err := io.WriteString(far, test.sent); err != nil {
					t.Fatal(err)
				}
				c := NewConn(nc)
				if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
					t.Fatal(err)
				}
				var reading sync.WaitGroup
				var end error
				read := func() { _, end = io.Copy(io.Discard, c) }
				if test.before {
					reading.Go(read)
					time.Sleep(time.Duration(try) * time.Microsecond)
				}
				watched.mu.Lock()
				watched.giveUp()
				watched.mu.Unlock()
				if !test.before {
					reading.Go(read)
				}
				reading.Wait()
				if !errors.Is(end, syscall.ETIMEDOUT) {
					t.Errorf("try %d: %v", try, end)
				}
				_ = c.Close()
				_ = far.Close()
			}
		})
	}
}
