package peer

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"waxwingwall"
)

// Limits of a link.
const (
	// maxQueued is the capacity of a peer's queue in messages; further messages
	// are dropped, which the decision logic treats as lost.
	maxQueued = 1024

	// batchTimeout limits the time to send one batch.
	batchTimeout = time.Second
)

// Links is the table of links to peers, one per address. Create it with
// NewLinks.
type Links struct {
	ctx        context.Context
	tls        *tls.Config
	goroutines *sync.WaitGroup

	mu        sync.Mutex
	addresses map[waxwingwall.VM]netip.AddrPort
	links     map[netip.AddrPort]*link
}

// link is the connection to one peer with its queue of messages.
type link struct {
	client *Client
	close  func()
	queue  chan Envelope
	cancel context.CancelFunc
}

// NewLinks returns an empty table and a function that closes all connections.
// Sending stops when the context ends; goroutines counts the running
// goroutines.
func NewLinks(ctx context.Context, tc *tls.Config, goroutines *sync.WaitGroup) (*Links, func()) {
	l := &Links{
		ctx:        ctx,
		tls:        tc,
		goroutines: goroutines,
		addresses:  make(map[waxwingwall.VM]netip.AddrPort),
		links:      make(map[netip.AddrPort]*link),
	}
	return l, l.close
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
		lk.stop()
		delete(l.links, old)
	}
}

// link returns the link to a VM, or nil if its address is unknown.
func (l *Links) link(vm waxwingwall.VM) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	addr, ok := l.addresses[vm]
	if !ok || l.ctx.Err() != nil {
		return nil
	}
	if lk := l.links[addr]; lk != nil {
		return lk
	}
	ctx, cancel := context.WithCancel(l.ctx)
	client, closeClient := New(addr, l.tls)
	lk := &link{
		client: client,
		close:  closeClient,
		queue:  make(chan Envelope, maxQueued),
		cancel: cancel,
	}
	l.links[addr] = lk
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		lk.sendQueued(ctx)
	}()
	return lk
}

// Client returns the client for the router of a VM, if its address is known.
func (l *Links) Client(vm waxwingwall.VM) (*Client, bool) {
	lk := l.link(vm)
	if lk == nil {
		return nil, false
	}
	return lk.client, true
}

// Send queues a message, or drops it if there is no link or no room.
func (l *Links) Send(e Envelope) {
	lk := l.link(e.To.VM)
	if lk == nil {
		return
	}
	select {
	case lk.queue <- e:
	default:
	}
}

// close closes all links.
func (l *Links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, lk := range l.links {
		lk.stop()
	}
}

// stop closes the link; queued messages are lost.
func (lk *link) stop() {
	lk.cancel()
	lk.close()
}

// sendQueued sends messages until the link is closed. A message that fails is
// lost; senders tolerate that.
func (lk *link) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-lk.queue:
			lk.sendBatch(ctx, e)
		}
	}
}

// sendBatch sends a message together with all that are queued behind it.
func (lk *link) sendBatch(ctx context.Context, e Envelope) {
	batch := []Envelope{e}
	for len(batch) < maxQueued {
		select {
		case more := <-lk.queue:
			batch = append(batch, more)
			continue
		default:
		}
		break
	}
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	_ = lk.client.Messages(ctx, batch)
}
