package peer

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"
)

// payload is a message whose size on the wire is that of its text.
type payload struct {
	Text string
}

// TestWriteEndsInTime guards against a link to a peer that sends nothing any more, because a
// message that fills the connection's buffers waits for a peer that reads nothing.
func TestWriteEndsInTime(t *testing.T) {
	Register(payload{})
	c, stop := New(silentListener(t), nil)
	defer stop()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- c.Messages(ctx, []Envelope{{Message: payload{
			Text: strings.Repeat("a", 32<<20),
		}}})
	}()
	select {
	case err := <-ended:
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("still waiting")
	}
}
