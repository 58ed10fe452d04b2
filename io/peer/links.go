package peer

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"waxwingwall"
	"waxwingwall/io/quota"
)

// Limits of the links.
const (
	// maxQueuedBytes limits the messages that are queued for all peers together, in
	// bytes by Sizer, and maxLinkBytes those for one peer, unless it is a single
	// message. Further messages are dropped, which the decision logic treats as lost.
	maxQueuedBytes = 4 << 20
	maxLinkBytes   = 512 << 10

	// defaultSize is the size of a message that is not a Sizer, in bytes.
	defaultSize = 512

	// batchTimeout limits the time to send one batch.
	batchTimeout = time.Second

	// defaultIdleTimeout is how long the connection of an unused link is kept. It is longer
	// than the time between two messages to a neighbour in the largest fleet.
	defaultIdleTimeout = 3 * time.Second
)

// Sizer is implemented by messages that can be large.
type Sizer interface {
	// Size returns the approximate size of the message in bytes.
	Size() int
}

// sizeOf returns the size of a message that counts towards the limits.
func sizeOf(message any) int {
	if s, ok := message.(Sizer); ok {
		return s.Size()
	}
	return defaultSize
}

// Links is the table of links to peers, one per address. A link that is not used has
// neither a connection nor a goroutine. Create it with NewLinks.
type Links struct {
	ctx         context.Context
	tls         *tls.Config
	goroutines  *sync.WaitGroup
	idleTimeout time.Duration
	receiving   *quota.Quota

	mu        sync.Mutex
	addresses map[waxwingwall.VM]netip.AddrPort
	links     map[netip.AddrPort]*link

	// queuedBytes is the sum of link.bytes, dropped the number of messages for which there
	// was no room or that could not be sent.
	queuedBytes int
	dropped     int64
}

// link is the connection to one peer with its queue of messages. Links.mu guards all
// fields that change.
type link struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc

	// queue holds the messages that wait, bytes is the size of these and of the batch that
	// is being sent. sending is set while a goroutine sends them.
	queue   []Envelope
	bytes   int
	sending bool
}

// LinksStats are the sums over all links.
type LinksStats struct {
	// Connections is the number of open connections to peers.
	Connections int

	// QueuedBytes is the size of the messages that have not been sent, in bytes.
	QueuedBytes int

	// Dropped counts the messages for which there was no room or that could not be sent.
	Dropped int64
}

// LinksOption configures Links.
type LinksOption func(*Links)

// WithIdleTimeout sets how long the connection of an unused link is kept.
func WithIdleTimeout(d time.Duration) LinksOption {
	return func(l *Links) {
		l.idleTimeout = d
	}
}

// NewLinks returns an empty table and a function that closes all connections.
// Sending stops when the context ends; goroutines counts the running
// goroutines.
func NewLinks(ctx context.Context, tc *tls.Config, goroutines *sync.WaitGroup, opts ...LinksOption) (*Links, func()) {
	l := &Links{
		ctx:         ctx,
		tls:         tc,
		goroutines:  goroutines,
		idleTimeout: defaultIdleTimeout,
		receiving:   quota.New(maxReceivedBytes),
		addresses:   make(map[waxwingwall.VM]netip.AddrPort),
		links:       make(map[netip.AddrPort]*link),
	}
	for _, o := range opts {
		o(l)
	}
	goroutines.Add(1)
	go func() {
		defer goroutines.Done()
		l.closeUnused()
	}()
	return l, l.close
}

// closeUnused closes the connections of unused links until the context ends.
func (l *Links) closeUnused() {
	ticker := time.NewTicker(max(l.idleTimeout/2, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			for _, lk := range l.all() {
				lk.client.closeUnused(now.Add(-l.idleTimeout))
			}
		}
	}
}

// all returns all links.
func (l *Links) all() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*link, 0, len(l.links))
	for _, lk := range l.links {
		all = append(all, lk)
	}
	return all
}

// Stats returns the sums over all links.
func (l *Links) Stats() LinksStats {
	var s LinksStats
	for _, lk := range l.all() {
		if lk.client.connected() {
			s.Connections++
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.QueuedBytes = l.queuedBytes
	s.Dropped = l.dropped
	return s
}

// SetAddress records where the router of a VM listens. It closes the link to
// its previous address.
func (l *Links) SetAddress(vm waxwingwall.VM, addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.addresses[vm]
	if ok && old == addr {
		return
	}
	l.addresses[vm] = addr
	if lk := l.links[old]; ok && lk != nil {
		l.stop(lk)
		delete(l.links, old)
	}
}

// link returns the link to a VM, or nil if its address is unknown. l.mu is held.
func (l *Links) link(vm waxwingwall.VM) *link {
	addr, ok := l.addresses[vm]
	if !ok || l.ctx.Err() != nil {
		return nil
	}
	if lk := l.links[addr]; lk != nil {
		return lk
	}
	client, _ := newClient(addr, l.tls, l.receiving)
	lk := &link{
		client: client,
	}
	lk.ctx, lk.cancel = context.WithCancel(l.ctx)
	l.links[addr] = lk
	return lk
}

// Client returns the client for the router of a VM, if its address is known.
func (l *Links) Client(vm waxwingwall.VM) (*Client, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lk := l.link(vm)
	if lk == nil {
		return nil, false
	}
	return lk.client, true
}

// Send queues a message, or drops it if there is no link or no room.
func (l *Links) Send(e Envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lk := l.link(e.To.VM)
	size := sizeOf(e.Message)
	if lk == nil || l.queuedBytes+size > maxQueuedBytes || lk.bytes > 0 && lk.bytes+size > maxLinkBytes {
		l.dropped++
		return
	}
	lk.queue = append(lk.queue, e)
	lk.bytes += size
	l.queuedBytes += size
	if lk.sending {
		return
	}
	lk.sending = true
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		l.sendQueued(lk)
	}()
}

// close closes all links.
func (l *Links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, lk := range l.links {
		l.stop(lk)
	}
}

// stop closes a link; queued messages are lost. l.mu is held.
func (l *Links) stop(lk *link) {
	lk.cancel()
	lk.client.close()
	l.dropped += int64(len(lk.queue))
	for _, e := range lk.queue {
		l.release(lk, sizeOf(e.Message))
	}
	lk.queue = nil
}

// release subtracts bytes that are no longer queued. l.mu is held.
func (l *Links) release(lk *link, bytes int) {
	lk.bytes -= bytes
	l.queuedBytes -= bytes
}

// sendQueued sends the messages of a link until none is queued. All that wait are sent
// together. A message that fails is lost; senders tolerate that.
func (l *Links) sendQueued(lk *link) {
	var sent []Envelope
	failed := false
	for {
		l.mu.Lock()
		for _, e := range sent {
			l.release(lk, sizeOf(e.Message))
		}
		if failed {
			l.dropped += int64(len(sent))
		}
		sent = lk.queue
		lk.queue = nil
		lk.sending = len(sent) > 0
		l.mu.Unlock()
		if len(sent) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(lk.ctx, batchTimeout)
		failed = lk.client.Messages(ctx, sent) != nil
		cancel()
	}
}
