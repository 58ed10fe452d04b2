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
	// maxQueued is how many messages may wait for a peer; more are dropped,
	// which the decision logic takes as lost.
	maxQueued = 1024

	// batchTimeout bounds the passing on of one message.
	batchTimeout = time.Second
)

// Links is the table of connections to peers, one for each address. Create it
// with NewLinks.
type Links struct {
	ctx        context.Context
	tls        *tls.Config
	goroutines *sync.WaitGroup

	mu        sync.Mutex
	addresses map[waxwingwall.VM]netip.AddrPort
	links     map[netip.AddrPort]*link
}

// link is the connection to one peer with the messages that wait for it.
type link struct {
	client      *Client
	closeClient func()
	queue       chan Envelope
	cancel      context.CancelFunc
}

// NewLinks returns a table without connections and a function that shuts all of
// them. What goes over them ends with the context; working counts the goroutines
// that are left.
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

// SetAddress records where the router of a VM listens.
func (l *Links) SetAddress(vm waxwingwall.VM, addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.addresses[vm]
	if ok && old == addr {
		return
	}
	l.addresses[vm] = addr
	if k := l.links[old]; ok && k != nil {
		k.close()
		delete(l.links, old)
	}
}

// link returns the link to a VM, or nil if its address is not known.
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
		client:      client,
		closeClient: closeClient,
		queue:       make(chan Envelope, maxQueued),
		cancel:      cancel,
	}
	l.links[addr] = k
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		k.sendQueued(ctx)
	}()
	return k
}

// Client returns the client of the router of a VM, if its address is known.
func (l *Links) Client(vm waxwingwall.VM) (*Client, bool) {
	k := l.link(vm)
	if k == nil {
		return nil, false
	}
	return k.client, true
}

// Send queues a message, or drops it.
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

// close shuts all links.
func (l *Links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		k.close()
	}
}

// close ends the link; what waits in its queue is lost.
func (k *link) close() {
	k.cancel()
	k.closeClient()
}

// sendQueued passes messages on until the link is shut. A message that fails is
// lost, as any may be.
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

// sendBatch passes a message on, with all that wait behind it.
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
