package logline

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *blockedWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// TestBlockedWriter checks that a blocked reader of the log does not block the
// writer, and that the dropped lines are reported once it reads again.
func TestBlockedWriter(t *testing.T) {
	out := &blockedWriter{
		unblock: make(chan struct{}),
	}
	w, stop := NewWriter(out)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 3 * queueLines {
			fmt.Fprintf(w, "line %d\n", i)
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked")
	}
	if w.Dropped() == 0 {
		t.Error("no dropped lines were counted")
	}
	close(out.unblock)
	for end := time.Now().Add(10 * time.Second); !strings.Contains(out.String(), "log_lines_dropped"); {
		if time.Now().After(end) {
			t.Fatal("the dropped lines were not reported")
		}
		time.Sleep(time.Millisecond)
	}
	stop()
}

// TestSamplingUnderLoad checks that under overload the lines per second stay
// limited, and that the lines kept for a request are complete.
func TestSamplingUnderLoad(t *testing.T) {
	s := Sampler{
		LinesPerSecond: 100,
	}
	now := time.Unix(1_800_000_000, 0)
	const lines = 4
	for second := range 20 {
		kept := 0
		linesOf := map[string]int{}
		for i := range 1000 {
			id := fmt.Sprintf("request-%d-%d", second, i)
			for range lines {
				if keep, _ := s.Keep(now, id, false); keep {
					kept++
					linesOf[id]++
				}
			}
		}
		if kept > urgentFactor*100 {
			t.Errorf("second %d: %d lines", second, kept)
		}
		if second < 8 {
			now = now.Add(time.Second)
			continue
		}
		for id, n := range linesOf {
			if n != lines {
				t.Errorf("%s: %d of %d lines", id, n, lines)
			}
		}
		if kept == 0 {
			t.Errorf("second %d: no lines kept", second)
		}
		now = now.Add(time.Second)
	}
}

// TestUrgentFirst checks that lines about refusals are kept while others are
// left out.
func TestUrgentFirst(t *testing.T) {
	s := Sampler{
		LinesPerSecond: 100,
	}
	now := time.Unix(1_800_000_000, 0)
	refused, served := 0, 0
	for range 12 {
		refused, served = 0, 0
		for i := range 2000 {
			if keep, _ := s.Keep(now, fmt.Sprint("served-", i), false); keep {
				served++
			}
			if i%40 == 0 {
				if keep, _ := s.Keep(now, fmt.Sprint("refused-", i), true); keep {
					refused++
				}
			}
		}
		now = now.Add(time.Second)
	}
	if refused != 50 || served >= 1000 {
		t.Errorf("%d of 50 refusals, %d of 2000 served", refused, served)
	}
}
