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

	"waxwingwall/io/tcp"
)

// relistenInterval is the time between attempts of a crashed server to listen
// again.
const relistenInterval = 10 * time.Millisecond

// faultServer is an HTTP server with fault injection.
type faultServer struct {
	name    string
	handler http.Handler
	done    <-chan struct{}

	mu        sync.Mutex
	addr      netip.AddrPort // with the actual port number
	release   func()         // gives the port up
	server    *http.Server
	listener  net.Listener
	down      bool                     // between a crash and the restart
	conns     map[net.Conn]*connection // open connections
	thawed    chan struct{}            // closed at the end of a freeze; nil unless frozen
	outage    bool
	delay     time.Duration
	dropCount int     // answers that remain to be dropped
	dropRate  float64 // probability that an answer is dropped
	random    *rand.Rand
}

// connection is the state of an open connection.
type connection struct {
	silent atomic.Bool
}

type connectionKey struct{}

func newRandom(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func (s *faultServer) start() error {
	l, err := net.Listen("tcp", s.addr.String())
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: time.Minute,
		ConnContext:       s.connContext,
		ConnState:         s.connState,
	}
	s.listener = tcp.KeepAccepting(l, nil)
	s.down = false
	server := s.server
	go func() { _ = server.Serve(l) }()
	return nil
}

func (s *faultServer) connContext(ctx context.Context, c net.Conn) context.Context {
	conn := &connection{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = conn
	return context.WithValue(ctx, connectionKey{}, conn)
}

func (s *faultServer) connState(c net.Conn, state http.ConnState) {
	if state != http.StateClosed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *faultServer) stop() {
	s.mu.Lock()
	server, listener := s.server, s.listener
	s.mu.Unlock()
	if server != nil {
		closeServer(server, listener)
	}
	s.release()
}

// closeServer stops a server. The caller must not hold mu: Close waits for Serve,
// which may be waiting for mu in connContext. The listener is closed separately,
// because a server that has not begun to serve doesn't know it yet.
func closeServer(server *http.Server, listener net.Listener) {
	_ = listener.Close()
	_ = server.Close()
}

// crash resets all connections, stops listening and listens again after a delay.
func (s *faultServer) crash(after time.Duration) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	server, listener := s.server, s.listener
	s.mu.Unlock()
	closeServer(server, listener)
	go s.restart(after)
}

func (s *faultServer) restart(after time.Duration) {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(after):
		}
		if err := s.start(); err == nil {
			break
		}
		after = relistenInterval
	}
	select {
	case <-s.done:
		s.stop()
	default:
	}
}

func (s *faultServer) address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

func (s *faultServer) url() string {
	return "http://" + s.address().String()
}

// serve applies the active faults and calls the handler.
func (s *faultServer) serve(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connectionKey{}).(*connection)
	fw := &faultWriter{
		ResponseWriter: w,
		server:         s,
		conn:           conn,
		ctx:            r.Context(),
	}
	if !s.waitWhileFrozen(r.Context()) || conn.silent.Load() {
		s.abortOnClose(r.Context())
	}
	outage, delay, lost := s.drawFaults(r)
	if delay > 0 {
		sleep(r.Context(), delay)
	}
	if outage {
		http.Error(w, `{"reason":"outage"}`, http.StatusServiceUnavailable)
		return
	}
	if lost {
		s.handler.ServeHTTP(&discardWriter{}, r)
		panic(http.ErrAbortHandler)
	}
	s.handler.ServeHTTP(fw, r)
	if conn.silent.Load() {
		s.abortOnClose(r.Context())
	}
}

// abortOnClose waits until the client closes the connection, or the World stops,
// and aborts the request.
func (s *faultServer) abortOnClose(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.done:
	}
	panic(http.ErrAbortHandler)
}

// drawFaults returns the faults that apply to the request.
func (s *faultServer) drawFaults(r *http.Request) (outage bool, delay time.Duration, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method != http.MethodGet && !s.outage {
		switch {
		case s.dropCount > 0:
			s.dropCount--
			lost = true
		case s.dropRate > 0:
			lost = s.random.Float64() < s.dropRate
		}
	}
	return s.outage, s.delay, lost
}

// waitWhileFrozen waits until the server is not frozen. It returns false if the
// request or the World ended first.
func (s *faultServer) waitWhileFrozen(ctx context.Context) bool {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	if thawed == nil {
		return true
	}
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	case <-s.done:
		return false
	}
}

func (s *faultServer) freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed == nil {
		s.thawed = make(chan struct{})
	}
}

func (s *faultServer) thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
}

// silence stops all output on the currently open connections, permanently.
func (s *faultServer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.silent.Store(true)
	}
}

// faultWriter delays output while the server is frozen and drops output to a
// silent connection.
type faultWriter struct {
	http.ResponseWriter
	server *faultServer
	conn   *connection
	ctx    context.Context
}

func (w *faultWriter) Write(b []byte) (int, error) {
	if !w.server.waitWhileFrozen(w.ctx) || w.conn.silent.Load() {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

func (w *faultWriter) Flush() {
	if !w.conn.silent.Load() {
		w.ResponseWriter.(http.Flusher).Flush()
	}
}

// discardWriter discards an answer that is dropped.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}

func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func (d *discardWriter) WriteHeader(int) {}

func (d *discardWriter) Flush() {}

// sleep waits for d; it returns false if ctx ended first.
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
