package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	// open passes bytes on.
	open mode = iota

	// delayed passes them on later.
	delayed

	// refused resets the connections that there are and each new one.
	refused

	// stalled passes nothing on, either way.
	stalled

	// requestsStalled passes nothing on from the dialing side, answersStalled nothing to it.
	requestsStalled
	answersStalled

	modeCount = int(iota)
)

func (m mode) String() string {
	return [...]string{"open", "delayed", "refused", "stalled", "requests stalled", "answers stalled"}[m]
}

// addedLatency is what delayed adds to each piece.
const addedLatency = 150 * time.Millisecond

// proxy is a piece of network between two processes.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        mode
	modeChanged chan struct{}
	conns       map[net.Conn]bool
}

// newProxy opens a proxy to an address.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener:    l,
		target:      target,
		modeChanged: make(chan struct{}),
		conns:       map[net.Conn]bool{},
	}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// set changes what the proxy does.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if m == refused {
		p.resetAll()
	}
}

// resetAll resets the connections; the caller holds mu.
func (p *proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// currentMode returns the mode and a channel that is closed when it changes.
func (p *proxy) currentMode() (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

// connect connects a caller to the address.
func (p *proxy) connect(c net.Conn) {
	if m, _ := p.currentMode(); m == refused {
		reset(c)
		return
	}
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c] = true
	p.conns[d] = true
	p.mu.Unlock()
	go p.forward(c, d, requestsStalled)
	p.forward(d, c, answersStalled)
}

// forward passes bytes on one way, which the given mode holds up.
func (p *proxy) forward(from, to net.Conn, stalledBy mode) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for m, changed := p.currentMode(); m == stalled || m == stalledBy; m, changed = p.currentMode() {
			<-changed
		}
		if m, _ := p.currentMode(); m == delayed {
			time.Sleep(addedLatency)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				return
			}
			reset(to)
			return
		}
	}
}
