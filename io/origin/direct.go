package origin

import (
	"context"
	"net/netip"
)

// AnswersUnframed reports whether an endpoint is known to have answered without framing, see Framed.
func (p *Pool) AnswersUnframed(addr netip.AddrPort) bool {
	_, unframed := p.framing(addr)
	return unframed
}

// AccompanyAnswer opens the companion of an answer that has begun without framing, directly on a connection
// of another pool that was made for its request, and waits for it. It counts unless the endpoint's process
// has left its address to another one since. AccompanyAnswer returns nil if there are too many. The
// companion must be closed.
func (p *Pool) AccompanyAnswer(ctx context.Context, to netip.AddrPort) *Companion {
	companion := p.openCompanion(ctx, way{
		addr: to,
	}, 0, maxCompanionsPerAddress)
	if companion == nil {
		return nil
	}
	select {
	case <-companion.opened:
		companion.vouch(0)
	case <-ctx.Done():
	}
	return companion
}
