package relay

import (
	"net"

	"waxwingwall/io/tcp"
)

// resetUnlessWhole makes the end of the caller's connection a reset, however it comes about,
// if an orderly one would tell the caller that an answer of this length is whole. -1 is an
// unknown length, which only HTTP/1.0 does not mark itself.
func (p *proxyRequest) resetUnlessWhole(length int64) {
	if length >= 0 || p.r.ProtoAtLeast(1, 1) {
		return
	}
	conn, ok := p.r.Context().Value(connKey{}).(net.Conn)
	p.resets = ok && tcp.ResetAtEnd(conn)
}

// endInOrder undoes resetUnlessWhole if the whole answer was written.
func (p *proxyRequest) endInOrder() {
	if !p.resets || !p.written {
		return
	}
	conn, ok := p.r.Context().Value(connKey{}).(net.Conn)
	p.resets = !ok || !tcp.EndInOrder(conn)
}
