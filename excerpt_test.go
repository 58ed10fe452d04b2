package waxwingwall

import (
	"strings"
	"testing"
)

// TestExcerpt guards against log lines as long as what another party has written.
func TestExcerpt(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	for text, want := range map[string]string{
		"":     "",
		"odd":  "odd",
		long:   long[:maxExcerptBytes] + "...",
		"x\ny": "x\ny",
	} {
		if got := Excerpt(text); got != want {
			t.Errorf("%d bytes: got %d, want %d", len(text), len(got), len(want))
		}
	}
}
