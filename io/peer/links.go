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

// Links is the table of connections to peers, one per address. Create it with
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
	if k := l.links[old]; ok && k != nil {
		k.stop()
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
	if k := l.links[addr]; k != nil {
		return k
	}
	ctx, cancel := context.WithCancel(l.ctx)
	client, closeClient := New(addr, l.tls)
	k := &link{
		client: client,
		close:  closeClient,
		queue:  make(chan Envelope, maxQueued),
		cancel: cancel,
	}
	l.links[addr] = k
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		k.sendQueued(ctx)
	}()
	return k
}

// Client returns the client for the router of a VM, if its address is known.
func (l *Links) Client(vm waxwingwall.VM) (*Client, bool) {
	k := l.link(vm)
	if k == nil {
		return nil, false
	}
	return k.client, true
}

// Send queues a message, or drops it if there is no link or no room.
func (l *Links) Send(e Envelope) {
	k := l.link(e.To.VM)
	if k == nil {
		return
	}
	select {
	case k.queue <- e:
	default:
	}
}

// close closes all links.
func (l *Links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		k.stop()
	}
}

// stop closes the link; queued messages are lost.
func (k *link) stop() {
	k.cancel()
	k.close()
}

// sendQueued sends messages until the link is closed. A message that fails is
// lost; senders tolerate that.
func (k *link) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-k.queue:
			k.sendBatch(ctx, e)
		}
	}
}

// sendBatch sends a message together with all that are queued behind it.
func (k *link) sendBatch(ctx context.Context, e Envelope) {
	batch := []Envelope{e}
	for len(batch) < maxQueued {
		select {
		case more := <-k.queue:
			batch = append(batch, more)
			continue
		default:
		}
		break
	}
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	_ = k.client.Messages(ctx, batch)
}
