package origin

import "net/netip"

// AnswersUnframed reports whether an endpoint is known to have answered without framing, see Framed.
func (p *Pool) AnswersUnframed(addr netip.AddrPort) bool {
	_, unframed := p.framing(addr)
	return unframed
}
