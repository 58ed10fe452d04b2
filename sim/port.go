package sim

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// relistenEvery is how often a crashed port tries to listen again.
const relistenEvery = 10 * time.Millisecond

// port is one HTTP server that can be made to fail.
type port struct {
	name    string
	handler http.Handler
	done    <-chan struct{}

	mu       sync.Mutex
	addr     netip.AddrPort // with the real port number once started
	server   *http.Server
	listener net.Listener
	down     bool               // between a crash and the return
	lines    map[net.Conn]*line // open connections
	gate     chan struct{}      // open while frozen, nil otherwise
	outage   bool
	delay    time.Duration
	lose     int     // answers still to lose
	loseRate float64 // share of answers to lose
	random   *rand.Rand
}

// line is one open connection.
type line struct {
	silent atomic.Bool
}

type lineKey struct{}

func newRandom(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func (p *port) start() error {
	l, err := net.Listen("tcp", p.addr.String())
	if err != nil {
		return trace.Wrap(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addr = l.Addr().(*net.TCPAddr).AddrPort()
	p.server = &http.Server{
		Handler:           http.HandlerFunc(p.serve),
		ReadHeaderTimeout: time.Minute,
		ConnContext:       p.opened,
		ConnState:         p.changed,
	}
	p.listener = l
	p.down = false
	s := p.server
	go func() { _ = s.Serve(l) }()
	return nil
}

func (p *port) opened(ctx context.Context, c net.Conn) context.Context {
	l := &line{}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines[c] = l
	return context.WithValue(ctx, lineKey{}, l)
}

func (p *port) changed(c net.Conn, s http.ConnState) {
	if s != http.StateClosed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lines, c)
}

func (p *port) stop() {
	p.mu.Lock()
	server, listener := p.server, p.listener
	p.mu.Unlock()
	if server != nil {
		closeServer(server, listener)
	}
}

// closeServer ends a server. Close waits for Serve, which may be in opened and
// wait for mu, so the caller must not hold mu. The listener is closed apart,
// because a server that has not begun to serve doesn't know it yet.
func closeServer(server *http.Server, listener net.Listener) {
	_ = listener.Close()
	_ = server.Close()
}

// crash resets all connections, stops listening and comes back after a while.
func (p *port) crash(after time.Duration) {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return
	}
	p.down = true
	for c := range p.lines {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	server, listener := p.server, p.listener
	p.mu.Unlock()
	closeServer(server, listener)
	go p.comeBack(after)
}

func (p *port) comeBack(after time.Duration) {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(after):
		}
		if err := p.start(); err == nil {
			break
		}
		after = relistenEvery
	}
	select {
	case <-p.done:
		p.stop()
	default:
	}
}

func (p *port) address() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

func (p *port) url() string {
	return "http://" + p.address().String()
}

// serve applies the faults and then calls the handler.
func (p *port) serve(w http.ResponseWriter, r *http.Request) {
	l := r.Context().Value(lineKey{}).(*line)
	lw := &lineWriter{
		ResponseWriter: w,
		port:           p,
		line:           l,
		ctx:            r.Context(),
	}
	if !p.hold(r.Context()) || l.silent.Load() {
		p.neverAnswer(r.Context())
	}
	outage, delay, lost := p.draw(r)
	if delay > 0 {
		sleep(r.Context(), delay)
	}
	if outage {
		http.Error(w, `{"reason":"outage"}`, http.StatusServiceUnavailable)
		return
	}
	if lost {
		p.handler.ServeHTTP(&discard{}, r)
		panic(http.ErrAbortHandler)
	}
	p.handler.ServeHTTP(lw, r)
	if l.silent.Load() {
		p.neverAnswer(r.Context())
	}
}

// neverAnswer waits for the other side to give up.
func (p *port) neverAnswer(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.done:
	}
	panic(http.ErrAbortHandler)
}

// draw tells which faults strike the request.
func (p *port) draw(r *http.Request) (outage bool, delay time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method != http.MethodGet && !p.outage {
		switch {
		case p.lose > 0:
			p.lose--
			lost = true
		case p.loseRate > 0:
			lost = p.random.Float64() < p.loseRate
		}
	}
	return p.outage, p.delay, lost
}

// hold waits while the port is frozen; false means that the wait was given up.
func (p *port) hold(ctx context.Context) bool {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	if gate == nil {
		return true
	}
	select {
	case <-gate:
		return true
	case <-ctx.Done():
		return false
	case <-p.done:
		return false
	}
}

func (p *port) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gate == nil {
		p.gate = make(chan struct{})
	}
}

func (p *port) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gate != nil {
		close(p.gate)
		p.gate = nil
	}
}

// silence makes all connections that are open now silent for good.
func (p *port) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lines {
		l.silent.Store(true)
	}
}

// lineWriter holds back what a frozen port writes and drops what goes to a
// silent connection.
type lineWriter struct {
	http.ResponseWriter
	port *port
	line *line
	ctx  context.Context
}

func (w *lineWriter) Write(b []byte) (int, error) {
	if !w.port.hold(w.ctx) || w.line.silent.Load() {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

func (w *lineWriter) Flush() {
	if !w.line.silent.Load() {
		w.ResponseWriter.(http.Flusher).Flush()
	}
}

// discard is the writer of an answer that is lost.
type discard struct {
	header http.Header
}

func (d *discard) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}

func (d *discard) Write(b []byte) (int, error) { return len(b), nil }

func (d *discard) WriteHeader(int) {}

func (d *discard) Flush() {}

// sleep waits and reports whether it was not given up.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
