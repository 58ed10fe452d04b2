// Package tunnel lets a router reach an endpoint through a peer.
//
// A router that cannot reach an endpoint itself opens a tunnel with Dial: the peer
// connects to the endpoint and copies the bytes in both directions. It neither reads
// nor decides anything, so the request stays with the router that took it. Tunnels are
// opened by HTTP CONNECT.
//
// The end of the endpoint's connection passes through. An orderly one follows all its
// bytes; a failure, or any other end of the tunnel, resets it, since an answer without a
// length would otherwise look complete. Once the router closes its side, the endpoint's
// connection is closed too.
//
// A tunnel that ends with its peer must not look like an orderly end of the endpoint: the
// kernel ends the connections of a killed process in order. So the peer sends the bytes of
// the endpoint in frames and marks the end. A frame is the number of its bytes, from 1 to
// 16,384, in two bytes, the higher one first, and then these bytes; 0xffff in place of the
// number is the mark. Reads of the router return io.EOF only after the mark, and
// io.ErrUnexpectedEOF if the tunnel ends without it. The other direction has no frames.
//
// The router asks for frames with the header field "Waxwing-Frames: 1" of its request, and
// the peer that sends them has the same field in its answer. Without the field in either
// the bytes follow as they are. A router whose peer does not know the field can't tell the
// end of the peer from that of the endpoint, and takes neither for the end of an answer.
package tunnel

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"waxwingwall/io/tcp"
)

const (
	// defaultLimit is the default number of tunnels at a time.
	defaultLimit = 256

	// headerTimeout limits the wait for the head of a CONNECT request, and for the body of
	// one that has any.
	headerTimeout = 2 * time.Second

	// maxHeadBytes limits the head of a CONNECT request and of its answer.
	maxHeadBytes = 4 << 10

	// maxDialTimeout limits the dial timeout that a request can ask for.
	maxDialTimeout = 5 * time.Second

	// timeoutHeader names the header with the dial timeout in milliseconds.
	timeoutHeader = "Waxwing-Dial-Timeout"

	// establishedHead is the head of the answer before the bytes of the endpoint.
	// framedHead is that before frames.
	establishedHead = "HTTP/1.1 200 OK\r\n\r\n"
	framedHead      = "HTTP/1.1 200 OK\r\n" + framesHeader + ": " + framesVersion + "\r\n\r\n"
)

// exhausted are the errors of a dial that fails for lack of something on this host.
var exhausted = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
}

// Server connects other routers to endpoints. Create it with Serve.
type Server struct {
	allowed  func(netip.AddrPort) bool
	dial     tcp.Dial
	limit    int
	onCopied func(bytes int)
	http     *http.Server

	// acceptFailed is told of accepts that fail; it may be nil.
	acceptFailed tcp.AcceptFailed

	// mu guards the fields below. used is the number of tunnels that are open or being
	// opened, open holds those that are open. closing is set once no new ones are taken,
	// stopped once the open ones were reset. idle is closed when closing is set and used
	// is zero.
	mu      sync.Mutex
	used    int
	open    map[*tunnel]struct{}
	closing bool
	stopped bool
	idle    chan struct{}
}

// Option configures a Server.
type Option func(*Server)

// WithLimit sets the number of tunnels at a time.
func WithLimit(n int) Option {
	return func(s *Server) {
		s.limit = n
	}
}

// WithDial replaces the function that makes connections to endpoints. They must be
// TCP connections of package net or of a tcp.WatchedDialer.
func WithDial(dial tcp.Dial) Option {
	return func(s *Server) {
		s.dial = dial
	}
}

// WithOnCopied sets a function that receives the number of bytes of each part that was
// copied, in either direction. It must not wait.
func WithOnCopied(onCopied func(bytes int)) Option {
	return func(s *Server) {
		s.onCopied = onCopied
	}
}

// WithAcceptFailed sets a function that is told of accepts that fail. They are tried again.
func WithAcceptFailed(report tcp.AcceptFailed) Option {
	return func(s *Server) {
		s.acceptFailed = report
	}
}

// Serve opens tunnels to the allowed addresses for routers that connect to l, a TCP
// listener. The returned function stops it and resets all tunnels.
func Serve(l net.Listener, allowed func(netip.AddrPort) bool, opts ...Option) (*Server, func(), error) {
	if _, ok := l.Addr().(*net.TCPAddr); !ok {
		return nil, nil, errNotTCP
	}
	dialer := tcp.Dialer()
	dialer.Timeout = 0
	s := &Server{
		allowed:  allowed,
		dial:     dialer.DialContext,
		limit:    defaultLimit,
		onCopied: func(int) {},
		open:     map[*tunnel]struct{}{},
		idle:     make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.connect),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	s.http.SetKeepAlivesEnabled(false)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.http.Serve(tcp.KeepAccepting(l, s.acceptFailed))
	}()
	return s, func() {
		cancel()
		_ = s.http.Close()
		<-served
		s.stop()
	}, nil
}

var errNotTCP = errors.New("tunnels need a TCP listener")

// Open returns the number of tunnels that are open or being opened.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// Shutdown takes no new tunnels and waits until all have ended or the context is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.close()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// close takes no new tunnels.
func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return
	}
	s.closing = true
	if s.used == 0 {
		close(s.idle)
	}
}

// stop resets all tunnels and waits for their ends.
func (s *Server) stop() {
	s.close()
	s.mu.Lock()
	s.stopped = true
	for t := range s.open {
		t.reset()
	}
	s.mu.Unlock()
	<-s.idle
}

// reserve returns false if there is no room for another tunnel.
func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.used >= s.limit {
		return false
	}
	s.used++
	return true
}

// release ends a reservation.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	if s.closing && s.used == 0 {
		close(s.idle)
	}
}

// add registers an open tunnel; it returns false if the server was stopped.
func (s *Server) add(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.open[t] = struct{}{}
	return true
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
}

// connect serves a CONNECT request until its tunnel has ended.
func (s *Server) connect(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 && http.NewResponseController(w).SetReadDeadline(time.Now().Add(headerTimeout)) != nil {
		panic(http.ErrAbortHandler)
	}
	if r.Method != http.MethodConnect {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	to, err := netip.ParseAddrPort(r.Host)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.allowed(to) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if !s.reserve() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	far, err := s.dialEndpoint(r.Context(), to, dialTimeout(r.Header))
	if err != nil {
		w.WriteHeader(dialStatus(err))
		return
	}
	defer func() { _ = far.Close() }()
	if err := s.tunnel(w, far, r.Header.Get(framesHeader) == framesVersion); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// tunnel copies between the connection of a request and the endpoint's until both
// directions have ended, with frames to the router if framed is set. It returns an error if
// it could not take the connection over.
func (s *Server) tunnel(w http.ResponseWriter, far resettable, framed bool) error {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	near, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	early, err := buffered.Reader.Peek(buffered.Reader.Buffered())
	if err != nil {
		return nil
	}
	t, stop := newTunnel(near, far, framed, s.onCopied)
	defer stop()
	if !s.add(t) {
		return nil
	}
	defer s.remove(t)
	t.run(early)
	return nil
}

// dialEndpoint makes a connection to an endpoint.
func (s *Server) dialEndpoint(ctx context.Context, to netip.AddrPort, timeout time.Duration) (resettable, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := s.dial(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	far, ok := conn.(resettable)
	if !ok {
		_ = conn.Close()
		return nil, errNotTCP
	}
	return far, nil
}

// dialTimeout returns the dial timeout that a request asks for.
func dialTimeout(h http.Header) time.Duration {
	ms, err := strconv.Atoi(h.Get(timeoutHeader))
	if err != nil || ms <= 0 {
		return tcp.DialTimeout
	}
	ms = min(ms, int(maxDialTimeout.Milliseconds()))
	return time.Duration(ms) * time.Millisecond
}

// dialStatus returns the status that tells why an endpoint was not reached.
func dialStatus(err error) int {
	for _, e := range exhausted {
		if errors.Is(err, e) {
			return http.StatusServiceUnavailable
		}
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
