// Package daemon assembles a router process: the router, its listeners for
// callers, peers and operators, and its adapters to the hosting platform and
// the endpoints.
//
// Start opens the listeners and returns once they are open; the router then
// joins the fleet on its own. The function that Start returns stops the process
// immediately; for a graceful stop call Drain first.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"waxwingwall"
	"waxwingwall/io/caller"
	"waxwingwall/io/heads"
	"waxwingwall/io/keys"
	"waxwingwall/io/operator"
	"waxwingwall/io/peer"
	"waxwingwall/io/platform"
	"waxwingwall/io/quota"
	"waxwingwall/io/tcp"
	"waxwingwall/router"
	"waxwingwall/settings"
)

// Timeouts of the HTTP servers.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute

	// shutdownTimeout is how long open calls may take after a drain.
	shutdownTimeout = 5 * time.Second
)

const (
	// maxHeaderBytes limits the head of a request, maxHeadsBytes what the heads of all that arrive
	// or are in progress take.
	maxHeaderBytes = 64 << 10
	maxHeadsBytes  = 16 << 20

	// headRefusal is the answer to a request whose head has no room. It has not run.
	headRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 91\r\n" +
		"Retry-After: 1\r\nConnection: close\r\n\r\n" +
		`{"code":"busy","message":"no memory for the head","outcome":"not_run","retry_after_ms":500}`
)

// Daemon is a Router with its listeners and its adapters.
type Daemon struct {
	// Router is the router of the process.
	Router *router.Router

	log     *logrus.Entry
	servers []*server
	cleanup []func()

	// heads bounds the heads of requests at all servers.
	heads *quota.Quota
}

// newHeads returns the quota of the heads of requests.
func newHeads() *quota.Quota {
	return heads.NewQuota(maxHeadsBytes)
}

// Start starts a daemon with the given settings and returns it with a function
// that stops it.
func Start(s settings.Settings, runner waxwingwall.Runner, log *logrus.Entry) (*Daemon, func(), error) {
	d := &Daemon{
		log:   log,
		heads: newHeads(),
	}
	if err := d.start(s, runner, log); err != nil {
		d.stop()
		return nil, nil, err
	}
	return d, d.stop, nil
}

func (d *Daemon) start(s settings.Settings, runner waxwingwall.Runner, log *logrus.Entry) error {
	client, closeClient, err := platform.New(s.Platform.URL, platform.WithTimeout(s.Platform.Timeout))
	if err != nil {
		return trace.Wrap(err)
	}
	d.cleanup = append(d.cleanup, closeClient)
	peerTLS, err := peerTLSConfig(s.Peers)
	if err != nil {
		return err
	}
	r, stop, err := router.New(s, client, runner, router.WithLog(log), router.WithPeerTLS(peerTLS))
	if err != nil {
		return trace.Wrap(err)
	}
	d.Router = r
	d.cleanup = append(d.cleanup, stop)
	if err := d.servePeers(s.Listen.Peers, r, peerTLS); err != nil {
		return err
	}
	callers, err := caller.New(r, caller.WithLog(log))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := d.serveHTTP(s.Listen.Callers, callers, s.Callers); err != nil {
		return err
	}
	operators, err := operator.New(r, r.Metrics())
	if err != nil {
		return trace.Wrap(err)
	}
	return d.serveHTTP(s.Listen.Operators, operators, s.Operators)
}

// peerTLSConfig returns the TLS configuration between routers, or nil for plain
// connections.
func peerTLSConfig(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	s, err := loadCertificates(t)
	if err != nil {
		return nil, err
	}
	return s.Peer(), nil
}

// loadCertificates loads the certificates that the settings name.
func loadCertificates(t settings.TLS) (*keys.Source, error) {
	s, err := keys.New(keys.Files{
		Certificate: t.Certificate,
		Key:         t.Key,
		Authority:   t.ClientAuthority,
	})
	return s, trace.Wrap(err)
}

// servePeers opens the listener for other routers.
func (d *Daemon) servePeers(addr netip.AddrPort, h peer.Handler, tc *tls.Config) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	stop, err := peer.Serve(l, h, tc, peer.WithAcceptFailed(d.logAcceptFailed(l.Addr())))
	if err != nil {
		return err
	}
	d.cleanup = append(d.cleanup, stop)
	return nil
}

// serveHTTP opens a listener for callers or operators.
func (d *Daemon) serveHTTP(addr netip.AddrPort, h http.Handler, t settings.TLS) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return d.serveListener(l, h, t)
}

// serveListener serves callers or operators on a listener.
func (d *Daemon) serveListener(l net.Listener, h http.Handler, t settings.TLS) error {
	refusal := []byte(headRefusal)
	if t.Enabled() {
		refusal = nil
	}
	l = heads.Listen(tcp.KeepAccepting(l, d.logAcceptFailed(l.Addr())), d.heads, refusal)
	if t.Enabled() {
		s, err := loadCertificates(t)
		if err != nil {
			_ = l.Close()
			return err
		}
		l = tls.NewListener(l, s.Server())
	}
	s := newServer(h)
	heads.Observe(s.Server)
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.WithError(err).Error("listener ended")
		}
	}()
	return nil
}

// logAcceptFailed returns a function that logs failed accepts of a listener.
func (d *Daemon) logAcceptFailed(addr net.Addr) tcp.AcceptFailed {
	return func(failed int, err error) {
		d.log.WithError(err).WithField("address", addr.String()).WithField("failed", failed).Warn("accept failed")
	}
}

// server is an HTTP server whose stop function closes it at once.
type server struct {
	*http.Server
	stop func() error
}

// newServer returns a server for callers or operators.
func newServer(h http.Handler) *server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return &server{
		Server: s,
		stop:   caller.Observe(s),
	}
}

// Drain stops the process gracefully: it waits until no request is running, the
// budget shares are returned, the slots are handed off with their claims and the
// bills are written to the table, and until all callers have their answers, those
// to requests of other owners included. Then it closes the HTTP servers.
//
// Some time before the deadline of ctx, the answers that are left end with a problem;
// Drain then returns an error.
func (d *Daemon) Drain(ctx context.Context) error {
	if err := d.Router.Drain(ctx); err != nil {
		return trace.Wrap(err)
	}
	work, cancel := withoutShutdown(ctx)
	defer cancel()
	drainErr := d.awaitDrained(work)
	d.Router.EndAnswers(work)
	if err := d.shutdown(ctx); drainErr == nil {
		return err
	}
	return drainErr
}

// withoutShutdown returns a context that ends before ctx by the time that closing the
// servers may take.
func withoutShutdown(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-min(shutdownTimeout, time.Until(deadline)/2)))
}

// awaitDrained waits until the router is drained.
func (d *Daemon) awaitDrained(ctx context.Context) error {
	select {
	case <-d.Router.Drained():
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	if d.Router.Closed() {
		return trace.CompareFailed("another router closed this incarnation before the drain was complete")
	}
	return nil
}

// shutdown closes the HTTP servers once their open calls are answered.
func (d *Daemon) shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, s := range d.servers {
		if err := s.Shutdown(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// stop closes the servers, then runs the cleanup functions in reverse order.
func (d *Daemon) stop() {
	for _, s := range d.servers {
		_ = s.stop()
	}
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
}
