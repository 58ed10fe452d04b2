// Package relay provides a TCP proxy that a test puts between two processes to
// simulate network faults. It is unrelated to waxwingwall/relay, which runs a relay
// router.
//
// A Relay listens on its own address and forwards every connection to its target.
// Set changes its behaviour for both open and new connections.
package relay

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall/io/tcp"
)

// State is the behaviour of a Relay.
type State int

// The states of a Relay.
const (
	// Open forwards all bytes.
	Open State = iota

	// Cut closes all open connections and immediately closes new ones.
	Cut

	// Silent keeps connections open, accepts new ones, and drops all bytes.
	Silent

	// OneWay forwards bytes to the target and drops those from the target.
	OneWay
)

const (
	bufferBytes = 16 << 10 // read at a time
	dialTimeout = time.Second
)

// Relay forwards connections to one target.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu      sync.Mutex
	state   State
	conns   map[net.Conn]struct{}
	stopped bool
}

// New starts an open Relay on a free loopback port. The returned function
// stops it and closes its connections.
func New(target netip.AddrPort) (*Relay, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	r := &Relay{
		listener: tcp.KeepAccepting(l, nil),
		target:   target,
		conns:    map[net.Conn]struct{}{},
	}
	go r.accept()
	return r, r.stop, nil
}

// Address returns the address on which the Relay listens.
func (r *Relay) Address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Set changes the state of the Relay. Bytes that were dropped from a connection
// are still missing after Open; set Cut in between to close such connections,
// unless the test needs them open.
func (r *Relay) Set(s State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	if s == Cut {
		r.closeAll()
	}
}

func (r *Relay) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.closeAll()
}

func (r *Relay) closeAll() {
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// forward forwards one connection.
func (r *Relay) forward(client net.Conn) {
	defer client.Close()
	if !r.add(client) {
		return
	}
	defer r.remove(client)
	server, err := net.DialTimeout("tcp", r.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer server.Close()
	if !r.add(server) {
		return
	}
	defer r.remove(server)
	ended := make(chan struct{})
	go func() {
		r.copy(server, client, Silent)
		close(ended)
	}()
	r.copy(client, server, Silent, OneWay)
	<-ended
}

// copy copies bytes, but drops them in the given states. It closes both
// connections when it returns.
func (r *Relay) copy(to io.WriteCloser, from io.ReadCloser, drops ...State) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		if n > 0 && !r.inState(drops) {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) inState(states []State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range states {
		if r.state == s {
			return true
		}
	}
	return false
}

func (r *Relay) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || r.state == Cut {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) remove(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
