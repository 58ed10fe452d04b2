package origin

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// companionWait limits how long a request waits for its companion before it is sent.
	companionWait = 50 * time.Millisecond

	// companionAge is how long a companion that was opened after the request was sent must have
	// been open, with the answer still running, before it counts. The end of a killed process
	// arrives within it.
	companionAge = 500 * time.Millisecond

	// outliveTime is how long an endpoint must run on after the end of an answer to confirm it. One
	// that goes down closes its connections one after the other, and answers meanwhile.
	outliveTime = 100 * time.Millisecond

	// companionPause is the time until a companion that has ended is opened again. It doubles
	// each time, up to maxCompanionPause.
	companionPause    = 100 * time.Millisecond
	maxCompanionPause = 5 * time.Second

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
// It is opened before the request is sent, unless the endpoint is known to frame its answers;
// otherwise, or if it has ended, while the answer runs. The connection of the request always comes
// first, so that an endpoint that serves one connection at a time is not held up. Requests on kept
// connections have none: a process that leaves serves these while another one has its address.
type Companion struct {
	pool    *Pool
	way     way
	timeout time.Duration
	cancel  context.CancelFunc

	// opened is closed when the first dial is over, done when the last connection is no longer
	// watched.
	opened, done chan struct{}

	// mu guards the fields below. conn is the open connection, nil if there is none, and since
	// is when it was opened. counts is set if it is known to be one of the process that
	// answers.
	mu     sync.Mutex
	conn   *conn
	since  time.Time
	counts bool

	// counted is set once a connection counted, early if it does since before the request was
	// sent. connections counts those that were made.
	counted     bool
	early       bool
	connections int

	// settled is set once no further connection is opened or watched.
	settled bool
}

// openCompanion opens a companion in the background, or returns nil if there are too many.
func (p *Pool) openCompanion(ctx context.Context, w way, timeout time.Duration, limit int) *Companion {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.companions[w.addr] >= limit || p.companionCount >= maxCompanions {
		return nil
	}
	p.companions[w.addr]++
	p.companionCount++
	ctx, cancel := context.WithCancel(ctx)
	c := &Companion{
		pool:    p,
		way:     w,
		timeout: timeout,
		cancel:  cancel,
		opened:  make(chan struct{}),
		done:    make(chan struct{}),
	}
	go c.run(ctx)
	return c
}

// forgetCompanion counts a companion no longer.
func (p *Pool) forgetCompanion(addr netip.AddrPort) {
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
	return p.accompany(ctx, c.way, r.DialTimeout)
}

// Accompany opens the companion of a request that is about to be sent directly on a connection of
// another pool, which exists already, and waits shortly for it. It returns nil unless the endpoint
// is known to answer without framing, see Framed, or if there are too many. The companion must be
// closed.
func (p *Pool) Accompany(ctx context.Context, to netip.AddrPort) *Companion {
	if _, unframed := p.framing(to); !unframed {
		return nil
	}
	return p.accompany(ctx, way{
		addr: to,
	}, 0)
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
	_, unframed := p.framing(r.Address)
	return r.Confirm != nil && unframed
}

// accompany opens a companion and waits shortly for it, unless the endpoint is known to frame its
// answers.
func (p *Pool) accompany(ctx context.Context, w way, timeout time.Duration) *Companion {
	limit := maxCompanionsPerAddress
	switch known, unframed := p.framing(w.addr); {
	case known && !unframed:
		return nil
	case !known:
		limit = maxFirstCompanions
	}
	companion := p.openCompanion(ctx, w, timeout, limit)
	if companion == nil {
		return nil
	}
	timer := time.NewTimer(companionWait)
	defer timer.Stop()
	select {
	case <-companion.opened:
		companion.vouch(0)
		companion.markEarly()
	case <-timer.C:
	case <-ctx.Done():
	}
	return companion
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

// run keeps a connection open until the companion is settled or the context ends.
func (c *Companion) run(ctx context.Context) {
	defer close(c.done)
	defer c.pool.forgetCompanion(c.way.addr)
	var once sync.Once
	for pause := companionPause; ; pause = min(2*pause, maxCompanionPause) {
		conn, err := c.pool.dial(ctx, c.way, c.timeout, unobserved)
		open := err == nil && c.setConn(conn)
		once.Do(func() { close(c.opened) })
		if open {
			// Returns at the end of the connection, and when the companion is settled.
			_, _ = conn.reader.Peek(1)
			if !c.dropConn() {
				return
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// setConn makes conn the open connection; it closes it if the companion is settled.
func (c *Companion) setConn(conn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settled {
		_ = conn.Close()
		return false
	}
	c.conn = conn
	c.since = time.Now()
	c.connections++
	return true
}

// dropConn closes a connection that has ended. It reports false if the companion is settled, to
// which the connection belongs then.
func (c *Companion) dropConn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settled {
		return false
	}
	_ = c.conn.Close()
	c.conn = nil
	c.counts = false
	c.early = false
	return true
}

// vouch records that the process that answers runs; the connection counts from now on if it has
// been open for some time.
func (c *Companion) vouch(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = c.counts || c.conn != nil && time.Since(c.since) >= age
	c.counted = c.counted || c.counts
}

// markEarly records that the connection that counts does so since before the request was sent.
func (c *Companion) markEarly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = c.counts
}

// companionState is the state of a companion at the end of its answer.
type companionState struct {
	// since is when its connection was opened; zero if none counts.
	since time.Time

	// early and connections are those of the Companion.
	early       bool
	connections int
}

// state returns the state of the companion; nil has none.
func (c *Companion) state() companionState {
	if c == nil {
		return companionState{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := companionState{
		early:       c.early,
		connections: c.connections,
	}
	if c.counts {
		s.since = c.since
	}
	return s
}

// Counted reports whether there was a connection that counted at some time, even if it has ended;
// nil never had one.
func (c *Companion) Counted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counted
}

// doubted reports whether an open connection doesn't count yet.
func (c *Companion) doubted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && !c.counts && time.Since(c.since) >= companionAge
}

// Settle is called when the answer has ended, and returns once its endpoint has had time to end as
// well. It reports whether there is a connection that counts for Request.Companion; nil has none.
func (c *Companion) Settle(ctx context.Context) bool {
	select {
	case <-time.After(outliveTime):
	case <-ctx.Done():
	}
	if c == nil {
		return false
	}
	c.mu.Lock()
	c.settled = true
	conn, counts := c.conn, c.counts
	c.mu.Unlock()
	c.cancel()
	if conn == nil {
		return false
	}
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	<-c.done
	return counts
}

// take returns the connection of a settled companion, once.
func (c *Companion) take() (*conn, error) {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn == nil {
		return nil, trace.Wrap(ErrUnreachable, "the companion is used")
	}
	if err := conn.source.wait(0); err != nil || !conn.drained() {
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
	c.settled = true
	c.cancel()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
