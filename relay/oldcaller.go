package relay

// lingerer is a connection whose end can be a reset.
type lingerer interface {
	SetLinger(seconds int) error
}

const (
	// lingerReset makes the end of a connection a reset, lingerDefault an orderly one.
	lingerReset   = 0
	lingerDefault = -1
)

// resetUnlessWhole makes the end of the caller's connection a reset, however it comes about,
// if an orderly one would tell the caller that an answer of this length is whole. -1 is an
// unknown length, which only HTTP/1.0 does not mark itself.
func (p *proxyRequest) resetUnlessWhole(length int64) {
	if length >= 0 || p.r.ProtoAtLeast(1, 1) {
		return
	}
	p.resets = p.setLinger(lingerReset)
}

// endInOrder undoes resetUnlessWhole if the whole answer was written.
func (p *proxyRequest) endInOrder() {
	if p.resets && p.written {
		p.resets = !p.setLinger(lingerDefault)
	}
}

// setLinger reports whether it could set how the caller's connection ends.
func (p *proxyRequest) setLinger(seconds int) bool {
	conn, ok := p.r.Context().Value(connKey{}).(lingerer)
	if !ok {
		return false
	}
	if err := conn.SetLinger(seconds); err != nil {
		// An error means that the caller disconnected.
		return false
	}
	return true
}
