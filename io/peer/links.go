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
	// linkQueue is how many messages may wait for a peer; more are dropped,
	// which the decision logic takes as lost.
	linkQueue = 1024

	// messageTimeout bounds the passing on of one message.
	messageTimeout = time.Second
)

// Links is the table of connections to peers, one for each address. Create it
// with NewLinks.
type Links struct {
	ctx     context.Context
	tls     *tls.Config
	working *sync.WaitGroup

	mu        sync.Mutex
	addresses map[waxwingwall.VM]netip.AddrPort
	rows      map[netip.AddrPort]*link
}

// link is the connection to one peer with the messages that wait for it.
type link struct {
	client *Client
	close  func()
	queue  chan Envelope
	cancel context.CancelFunc
}

// NewLinks returns a table without connections and a function that shuts all of
// them. What goes over them ends with the context; working counts the goroutines
// that are left.
func NewLinks(ctx context.Context, tc *tls.Config, working *sync.WaitGroup) (*Links, func()) {
	l := &Links{
		ctx:       ctx,
		tls:       tc,
		working:   working,
		addresses: make(map[waxwingwall.VM]netip.AddrPort),
		rows:      make(map[netip.AddrPort]*link),
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
	if row := l.rows[old]; ok && row != nil {
		row.shut()
		delete(l.rows, old)
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
	if row := l.rows[addr]; row != nil {
		return row
	}
	ctx, cancel := context.WithCancel(l.ctx)
	client, shut := New(addr, l.tls)
	row := &link{
		client: client,
		close:  shut,
		queue:  make(chan Envelope, linkQueue),
		cancel: cancel,
	}
	l.rows[addr] = row
	l.working.Add(1)
	go func() {
		defer l.working.Done()
		row.pump(ctx)
	}()
	return row
}

// Client returns the client of the router of a VM, if its address is known.
func (l *Links) Client(vm waxwingwall.VM) (*Client, bool) {
	row := l.link(vm)
	if row == nil {
		return nil, false
	}
	return row.client, true
}

// Send queues a message, or drops it.
func (l *Links) Send(e Envelope) {
	row := l.link(e.To.VM)
	if row == nil {
		return
	}
	select {
	case row.queue <- e:
	default:
	}
}

// close shuts all links.
func (l *Links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range l.rows {
		row.shut()
	}
}

// shut ends the link; what waits in its queue is lost.
func (k *link) shut() {
	k.cancel()
	k.close()
}

// pump passes messages on until the link is shut. A message that fails is
// lost, as any may be.
func (k *link) pump(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-k.queue:
			k.deliver(ctx, e)
		}
	}
}

// deliver passes a message on, with all that wait behind it.
func (k *link) deliver(ctx context.Context, e Envelope) {
	batch := []Envelope{e}
	for len(batch) < linkQueue {
		select {
		case more := <-k.queue:
			batch = append(batch, more)
			continue
		default:
		}
		break
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	_ = k.client.Messages(ctx, batch)
}
