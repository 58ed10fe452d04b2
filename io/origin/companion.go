package origin

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall/io/tcp"
)

const (
	// companionWait limits how long a request waits for its companion before it is sent.
	companionWait = 50 * time.Millisecond

	// outliveTime is how long an endpoint must run on after the end of an answer to confirm it. One
	// that goes down closes its connections one after the other, and answers meanwhile.
	outliveTime = 100 * time.Millisecond

	// maxCompanionsPerAddress limits the companions at one address, maxFirstCompanions those at
	// one whose framing is not known yet, and maxCompanions all.
	maxCompanionsPerAddress = 64
	maxFirstCompanions      = 8
	maxCompanions           = 512

	// maxFramings limits the addresses whose framing is remembered.
	maxFramings = 4096
)

// Companion is a connection that is held beside an answer without a length and without chunks,
// by the same way and without a request. The kernel ends it together with the connection of the
// answer if the endpoint's process is killed, and a process that takes over the address doesn't
// have it. An answer on it thus shows that the endpoint lives on, even if its listener is closed.
//
// It is opened before the request is sent, unless the endpoint is known to frame its answers. One
// that was opened later, or again, could be one of a process that has the address since. The
// connection of the request always comes first, so that an endpoint that serves one connection at a
// time is not held up. Requests on kept connections have none: a process that leaves serves these
// while another one has its address.
type Companion struct {
	pool *Pool
	way  way

	// since is when the connection was opened; zero if it wasn't.
	since time.Time

	// mu guards the fields below. conn is the connection, nil once it was taken or closed.
	// closed is set once the companion no longer counts against the limits.
	mu     sync.Mutex
	conn   *conn
	closed bool
}

// openCompanion opens a companion, or returns nil if there are too many. One that the endpoint doesn't
// take in time has no connection.
func (p *Pool) openCompanion(ctx context.Context, w way, limit int, wait time.Duration) *Companion {
	if !p.reserveCompanion(w.addr, limit) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c := &Companion{
		pool: p,
		way:  w,
	}
	if conn, err := p.dial(ctx, w, wait, unobserved); err == nil {
		c.conn = conn
		c.since = time.Now()
	}
	return c
}

// reserveCompanion counts a companion at an address; it returns false if there are too many.
func (p *Pool) reserveCompanion(addr netip.AddrPort, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.companions[addr] >= limit || p.companionCount >= maxCompanions {
		return false
	}
	p.companions[addr]++
	p.companionCount++
	return true
}

// releaseCompanion counts a companion no longer.
func (p *Pool) releaseCompanion(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.companionCount--
	if p.companions[addr]--; p.companions[addr] == 0 {
		delete(p.companions, addr)
	}
}

// companionFor opens the companion of a request that is about to be sent, unless nobody asks for it
// or the connection of the request was kept: another process may have taken over the address since.
func (p *Pool) companionFor(ctx context.Context, c *conn, r Request) *Companion {
	if r.Confirm == nil || !c.tellsEnd() || !c.isNew() {
		return nil
	}
	return p.accompany(ctx, c.way)
}

// Accompany opens the companion of a request that is about to be sent directly on a connection of
// another pool, which exists already. It returns nil unless the endpoint is known to answer without
// framing, see Framed, or if there are too many or it isn't taken in time. The companion must be closed.
func (p *Pool) Accompany(ctx context.Context, to netip.AddrPort) *Companion {
	if !p.AnswersUnframed(to) {
		return nil
	}
	return p.accompany(ctx, way{
		addr: to,
	})
}

// AccompanyAnswer opens the companion of an answer that has begun without framing, directly on a
// connection of another pool that was made for its request. It confirms the answer unless another
// process has taken over the address since the request was sent. AccompanyAnswer returns nil if there
// are too many at all addresses together. The companion must be closed.
func (p *Pool) AccompanyAnswer(ctx context.Context, to netip.AddrPort) *Companion {
	return p.openCompanion(ctx, way{
		addr: to,
	}, maxCompanions, tcp.DialTimeout)
}

// AnswersUnframed reports whether an endpoint is known to have answered without framing, see Framed.
func (p *Pool) AnswersUnframed(addr netip.AddrPort) bool {
	_, unframed := p.framing(addr)
	return unframed
}

// framing reports whether the framing of an endpoint is known, and whether it answers without.
func (p *Pool) framing(addr netip.AddrPort) (known, unframed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unframed, known = p.unframed[addr]
	return known, unframed
}

// needsCompanion reports whether a request needs a new connection, beside which a companion counts:
// its endpoint is known to answer without framing.
func (p *Pool) needsCompanion(r Request) bool {
	return r.Confirm != nil && p.AnswersUnframed(r.Address)
}

// accompany opens a companion, unless the endpoint is known to frame its answers.
func (p *Pool) accompany(ctx context.Context, w way) *Companion {
	limit := maxCompanionsPerAddress
	switch known, unframed := p.framing(w.addr); {
	case known && !unframed:
		return nil
	case !known:
		limit = maxFirstCompanions
	}
	return p.openCompanion(ctx, w, limit, companionWait)
}

// Framed records whether the end of an answer is known without that of its connection. An endpoint
// that once answered without framing may do so again.
func (p *Pool) Framed(addr netip.AddrPort, framed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unframed) >= maxFramings {
		clear(p.unframed)
	}
	p.unframed[addr] = !framed || p.unframed[addr]
}

// Opened reports whether there was a connection, even if it has ended; nil never had one.
func (c *Companion) Opened() bool {
	return c != nil && !c.since.IsZero()
}

// Age returns the time since the connection was opened; zero if it wasn't.
func (c *Companion) Age() time.Duration {
	if !c.Opened() {
		return 0
	}
	return time.Since(c.since)
}

// Settle is called when the answer has ended, and returns once its endpoint has had time to end as
// well. It reports whether the companion is open still; nil never is.
func (c *Companion) Settle(ctx context.Context) bool {
	select {
	case <-time.After(outliveTime):
	case <-ctx.Done():
		return false
	}
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && c.conn.drained()
}

// take returns the connection of the companion, once.
func (c *Companion) take() (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conn
	c.conn = nil
	if conn == nil {
		return nil, trace.Wrap(ErrUnreachable, "the companion is used")
	}
	if !conn.drained() {
		_ = conn.Close()
		return nil, trace.Wrap(ErrUnreachable, "the companion has ended")
	}
	return conn, nil
}

// Close closes the companion; nil has nothing to close.
func (c *Companion) Close() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	if !c.closed {
		c.closed = true
		c.pool.releaseCompanion(c.way.addr)
	}
}
