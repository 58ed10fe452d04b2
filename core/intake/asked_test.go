package intake

import (
	"testing"
	"time"
)

// TestAsked guards against a measure that misses what the link carries for refused requests:
// their bodies are under way before the refusal.
func TestAsked(t *testing.T) {
	const body = 10_000
	l := New(linkMbps)
	now := time.Unix(1_800_000_000, 0)
	// Twice the link's speed.
	interval := time.Duration((body + requestOverhead) / (2 * linkMbps * bytesPerMegabit) * float64(time.Second))
	refused := 0
	for range int(4 * time.Second / interval) {
		now = now.Add(interval)
		if _, ok := l.Accept(now, body); !ok {
			refused++
		}
	}
	if refused == 0 {
		t.Fatal("nothing was refused")
	}
	if got := l.Asked(now); got < 1.9 || got > 2.1 {
		t.Errorf("asked %.2f of the link, want 2", got)
	}
	if got := l.Asked(now.Add(6 * time.Second)); got > 0.01 {
		t.Errorf("asked %.2f of the link 6 s later, want none", got)
	}
	if got := New(0).Asked(now); got != 0 {
		t.Errorf("asked %.2f of a link of unknown speed", got)
	}
}
