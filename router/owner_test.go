package router

import (
	"testing"

	"waxwingwall"
	"waxwingwall/core/escrow"
	"waxwingwall/io/peer"
)

// TestMessageToFormerIncarnation guards against tokens that count twice: a message for an
// incarnation is queued, another router closes it, and its successor handles the message.
func TestMessageToFormerIncarnation(t *testing.T) {
	r := &Router{
		inbox: make(chan job, 1),
		ctx:   t.Context(),
	}
	r.settings.Router.VM = "vm-1"
	r.boot.Store(1)
	r.Receive(peer.Envelope{
		To: waxwingwall.Incarnation{
			VM:   "vm-1",
			Boot: 1,
		},
		Message: escrow.PassShare{},
	})
	if j := <-r.inbox; j.boot != 1 {
		t.Errorf("the message is for incarnation %d, want 1", j.boot)
	}
}
