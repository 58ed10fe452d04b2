// Package relay runs an edge.Edge as a router process on the users' platform
// (package platform).
//
// One control goroutine owns the Edge: it passes every event and tick to the Edge
// and performs the resulting actions. Goroutines of the HTTP servers carry the
// traffic: each request is a proxyRequest, which posts events to the control
// goroutine and receives its actions over a channel. Other goroutines watch the
// store's tables and perform calls to the store; they post their results as
// events.
//
// New starts a Relay and returns a function that stops it immediately. Drain
// starts a graceful stop; the channel Drained is closed when it is complete.
package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"waxwingwall"
	"waxwingwall/core/brittle"
	"waxwingwall/core/edge"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
	"waxwingwall/core/intake"
	"waxwingwall/core/limit"
	"waxwingwall/core/member"
	"waxwingwall/io/heads"
	"waxwingwall/io/logline"
	"waxwingwall/io/origin"
	"waxwingwall/io/peer"
	"waxwingwall/io/quota"
	"waxwingwall/io/tcp"
	"waxwingwall/io/tunnel"
	"waxwingwall/platform"
	"waxwingwall/settings"
)

const (
	// minFailedDial is the shortest time without an answer after which a dial has failed;
	// the deadline of the request ended it otherwise.
	minFailedDial = 200 * time.Millisecond

	// tickInterval is the time between two ticks of the Edge.
	tickInterval = 50 * time.Millisecond

	// inboxSize is the capacity of the control goroutine's queue in jobs.
	inboxSize = 1024

	// updatesSize is the capacity of its queue of updates, which come one by one from each
	// watch.
	updatesSize = 16

	// sweepInterval is the time between two sweeps for idle connections.
	sweepInterval = time.Second

	// What waits in the process for a caller or an endpoint may together take its memory
	// divided by waitingDivisor, but at least minWaitingBytes.
	waitingDivisor  = 8
	minWaitingBytes = 8 << 20

	// The heads of requests that arrive or are in progress may together take its memory divided
	// by headsDivisor, but at least minHeadsBytes.
	headsDivisor  = 8
	minHeadsBytes = 8 << 20

	// exitReserve is the part of the grace period of a stop that is left for the end of the
	// process itself.
	exitReserve = 100 * time.Millisecond

	// unusedTimeout is how long a stop that is complete before its grace period ends waits
	// for new connections without a request.
	unusedTimeout = time.Second

	// headerTimeout limits the time to receive the header of a request, idleTimeout
	// the time between two requests on a connection. The time to receive the body is
	// limited by CallerLimits.HeaderTime of the operator's configuration.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute

	// maxHeaderBytes limits the head of a request at any listener, and bodyTimeout the time
	// to receive a body at those that use none.
	maxHeaderBytes = 64 << 10
	bodyTimeout    = 2 * time.Second
)

// Relay is a router process on the users' platform, which runs an edge.Edge.
// Create it with New.
type Relay struct {
	settings settings.Edge
	log      *logrus.Entry
	metrics  *metrics
	store    *platform.Client
	origins  *origin.Pool
	links    *peer.Links
	codec    waxwingwall.HeaderCodec
	link     link

	// bind opens listeners, as tcp.Listen does.
	bind func(ctx context.Context, address string, window int) (net.Listener, error)

	// dial makes connections to endpoints. tunnels makes them for peers that are cut off;
	// nil if it has no address.
	dial    tcp.Dial
	tunnels *tunnel.Server

	// longestWait is the longest time that a job waited in a queue since the last tick. It, edge,
	// sampler, self and requests are owned by the control goroutine.
	longestWait time.Duration

	edge     *edge.Edge
	sampler  logline.Sampler
	self     waxwingwall.Incarnation
	requests map[uint64]*proxyRequest

	// sharedState is the state that the control goroutine publishes.
	sharedState atomic.Pointer[sharedState]

	// lastRequest is the ID of the last request; waiting bounds the bodies of requests and
	// the parts of answers in memory.
	lastRequest atomic.Uint64
	waiting     *quota.Quota

	// heads bounds the heads of requests at the HTTP servers.
	heads *quota.Quota

	// callers is the server for callers, callerConns are its connections. wholeRequests
	// counts the requests that were read and have no whole answer yet.
	callers       *http.Server
	callerConns   callerConns
	callerLog     callerLog
	wholeRequests atomic.Int64

	// inbox and updates are the queues of the control goroutine.
	inbox      chan job
	updates    chan job
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	closers    []func()

	drained     chan struct{}
	drainedOnce sync.Once
}

// sharedState is an immutable snapshot of the state that traffic goroutines need.
type sharedState struct {
	ready      bool
	draining   bool
	limits     waxwingwall.CallerLimits
	addresses  []netip.AddrPort
	addressTTL time.Duration

	// endpointsAge is edge.Edge.EndpointsAge at the time of the snapshot.
	endpointsAge time.Duration

	// cold are the instances to which nothing may be sent without a permit, see
	// edge.Edge.ColdInstances.
	cold map[edge.Instance]time.Time

	// paths are the endpoints that are reached, see edge.Edge.Paths.
	paths map[netip.AddrPort]bool

	// withheld are the instances to which nothing may be sent, see edge.Edge.Withheld.
	withheld map[edge.Instance]time.Time

	// silenced are the addresses of endpoints that are asked nothing, see edge.Edge.Silenced.
	silenced map[netip.AddrPort]time.Time

	// evacuated counts the failure domains that are to be empty.
	evacuated int
}

// job is work for the control goroutine: an event or a function to call.
type job struct {
	event effect.Event
	call  func(now time.Time)

	// postedAt is when the job was passed to post.
	postedAt time.Time
}

// Option changes a Relay before it starts.
type Option func(*Relay)

// WithLog sets the logger.
func WithLog(l *logrus.Entry) Option {
	return func(r *Relay) {
		r.log = l
	}
}

// WithEndpointDial replaces the function that makes connections to endpoints, as
// origin.WithDial does.
func WithEndpointDial(dial tcp.Dial) Option {
	return func(r *Relay) {
		r.dial = dial
	}
}

// WithListen replaces the function that opens listeners, tcp.Listen.
func WithListen(listen func(ctx context.Context, address string, window int) (net.Listener, error)) Option {
	return func(r *Relay) {
		r.bind = listen
	}
}

// New starts a router process and returns it with a function that stops it
// immediately.
func New(s settings.Edge, opts ...Option) (*Relay, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	dialer := tcp.Dialer()
	dialer.Timeout = 0
	r := &Relay{
		settings: s,
		bind:     tcp.Listen,
		dial:     dialer.DialContext,
		log:      logrus.NewEntry(logrus.StandardLogger()),
		codec:    platform.Headers{},
		requests: map[uint64]*proxyRequest{},
		callerConns: callerConns{
			states: map[net.Conn]callerConn{},
		},
		link: link{
			limiter: intake.New(s.LinkMbps),
		},
		waiting: quota.New(max(s.MemoryBytes/waitingDivisor, minWaitingBytes)),
		heads:   heads.NewQuota(max(s.MemoryBytes/headsDivisor, minHeadsBytes)),
		inbox:   make(chan job, inboxSize),
		updates: make(chan job, updatesSize),
		ctx:     ctx,
		cancel:  cancel,
		drained: make(chan struct{}),
	}
	for _, o := range opts {
		o(r)
	}
	if err := r.start(); err != nil {
		r.stop()
		return nil, nil, err
	}
	return r, r.stop, nil
}

// start creates the components and starts their goroutines.
func (r *Relay) start() error {
	var err error
	if r.metrics, err = newMetrics(
		func() int { return len(r.inbox) },
		func() time.Duration { return r.sharedState.Load().endpointsAge },
		func() peer.LinksStats { return r.links.Stats() },
		r.waitingStats,
	); err != nil {
		return trace.Wrap(err)
	}
	r.closers = append(r.closers, r.metrics.close)
	if err = r.metrics.observeCold(func() int { return len(r.sharedState.Load().cold) }); err != nil {
		return trace.Wrap(err)
	}
	if err = r.metrics.observeAsked(r.link.asked); err != nil {
		return trace.Wrap(err)
	}
	var cleanup func()
	r.store, cleanup = platform.New(
		r.settings.Store,
		platform.WithPartitions(edge.Partition, edge.Partitions()),
		platform.WithEraObserver(r.reportEra),
		platform.WithMemory(r.settings.MemoryBytes),
	)
	r.closers = append(r.closers, cleanup)
	r.origins, cleanup = origin.New(origin.WithDialObserver(r.reportDial), origin.WithDial(r.dial))
	r.closers = append(r.closers, cleanup)
	peer.Register(edge.Messages()...)
	peer.Register(escrow.Messages()...)
	peer.Register(limit.Messages()...)
	peer.Register(brittle.Messages()...)
	peer.Register(member.Messages()...)
	r.links, cleanup = peer.NewLinks(r.ctx, nil, &r.goroutines)
	r.closers = append(r.closers, cleanup)
	now := time.Now()
	r.self = waxwingwall.Incarnation{
		VM:   r.settings.VM,
		Boot: now.UnixMilli(),
	}
	r.edge = edge.New(
		r.self,
		edge.RouterInfo{
			Peers:    r.settings.Peers,
			Callers:  r.settings.Callers,
			Tunnels:  r.settings.Tunnels,
			Domain:   r.settings.Domain,
			LinkMbps: r.settings.LinkMbps,
		},
		edge.WithSeed(uint64(now.UnixNano())),
		edge.WithBounds(bounds(r.settings)),
	)
	r.publish(now)
	if err := r.serve(); err != nil {
		return err
	}
	r.spawn(r.control)
	r.spawn(r.watchConfiguration)
	r.spawn(r.watchReplicas)
	r.spawn(r.watchNodes)
	return nil
}

// waitingStats returns the state of what waits for callers and endpoints, with the heads of requests.
func (r *Relay) waitingStats() quota.Stats {
	waiting, arrived := r.waiting.Stats(), r.heads.Stats()
	return quota.Stats{
		Used:    waiting.Used + arrived.Used,
		Refused: waiting.Refused + arrived.Refused,
	}
}

// bounds returns the bounds of the settings.
func bounds(s settings.Edge) edge.Bounds {
	return edge.Bounds{
		RetryRatio:    s.RetryRatio,
		RetryReserve:  s.RetryReserve,
		RetryWindow:   s.RetryWindow,
		Grace:         s.Grace,
		AddressTTL:    s.Lifetime,
		EndpointDrain: s.EndpointDrain,
		Evacuate:      s.Evacuate,
	}
}

// serve opens the listeners.
func (r *Relay) serve() error {
	l, err := r.bind(r.ctx, r.settings.Peers.String(), 0)
	if err != nil {
		return trace.Wrap(err)
	}
	stop, err := peer.ServeMessages(l, r, nil, peer.WithAcceptFailed(r.logAcceptFailed(r.settings.Peers)))
	if err != nil {
		return trace.Wrap(err)
	}
	r.closers = append(r.closers, stop)
	if err := r.serveTunnels(); err != nil {
		return err
	}
	servers := []struct {
		addr    netip.AddrPort
		handler http.Handler
	}{
		{
			addr:    r.settings.Callers,
			handler: http.HandlerFunc(r.serveCaller),
		},
		{
			addr:    r.settings.Readiness,
			handler: platform.Readiness(func() bool { return r.sharedState.Load().ready }),
		},
		{
			addr:    r.settings.Directory,
			handler: platform.Directory(r.callerAddresses, r.logLookup),
		},
		{
			addr:    r.settings.Metrics,
			handler: r.statusHandler(),
		},
	}
	for _, s := range servers {
		if !s.addr.IsValid() {
			continue
		}
		var observe func(net.Conn, http.ConnState)
		handler := r.limitUnusedBody(s.handler)
		if s.addr == r.settings.Callers {
			observe = r.callerConns.observe
			handler = s.handler
		}
		server, err := r.listen(s.addr, handler, observe)
		if err != nil {
			return err
		}
		if s.addr == r.settings.Callers {
			r.callers = server
		}
	}
	return nil
}

// limitUnusedBody limits the time to receive a body that the handler does not use: the server
// reads some of it after the answer.
func (r *Relay) limitUnusedBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.ContentLength != 0 {
			if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
				r.log.WithError(err).Warning("no_read_deadline")
			}
		}
		h.ServeHTTP(w, req)
	})
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// listen starts an HTTP server at an address. observe is told of the states of its
// connections; it may be nil.
func (r *Relay) listen(addr netip.AddrPort, h http.Handler, observe func(net.Conn, http.ConnState)) (*http.Server, error) {
	window := 0
	if addr == r.settings.Callers {
		window = callerWindow(r.settings.LinkMbps)
	}
	l, err := r.bind(r.ctx, addr.String(), window)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discardLogger,
		ConnState:         observe,

		// "OPTIONS *" has no route.
		DisableGeneralOptionsHandler: true,

		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	heads.Observe(server)
	l = heads.Listen(tcp.KeepAccepting(l, r.logAcceptFailed(addr)), r.heads, headRefusal)
	r.closers = append(r.closers, func() { _ = server.Close() })
	r.spawn(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && r.ctx.Err() == nil {
			r.log.WithError(err).WithField("address", addr.String()).Error("listener_ended")
		}
	})
	return server, nil
}

// callerAddresses returns the addresses for callers and how long a caller may
// cache them.
func (r *Relay) callerAddresses() ([]netip.AddrPort, time.Duration) {
	s := r.sharedState.Load()
	return s.addresses, s.addressTTL
}

// stop stops all components immediately and waits for their goroutines.
func (r *Relay) stop() {
	r.cancel()
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
	r.goroutines.Wait()
}

// Drain starts a graceful stop.
func (r *Relay) Drain() {
	r.post(job{
		call: func(now time.Time) {
			r.perform(now, r.edge.Drain(now))
			r.publish(now)
		},
	})
}

// Drained returns a channel that is closed once a graceful stop is complete.
func (r *Relay) Drained() <-chan struct{} {
	return r.drained
}

// spawn runs f in a goroutine that stop waits for.
func (r *Relay) spawn(f func()) {
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		f()
	}()
}

// Receive implements peer.Receiver.
func (r *Relay) Receive(e peer.Envelope) {
	r.post(job{
		call: func(now time.Time) {
			if e.To.VM != r.self.VM || e.To.Boot != 0 && e.To.Boot != r.self.Boot {
				return
			}
			r.step(now, effect.Received{
				From:    e.From,
				Message: e.Message,
			})
		},
	})
}

// Log returns the logger.
func (r *Relay) Log() *logrus.Entry {
	return r.log
}

// Reload applies the bounds of new settings. The listen addresses stay as they were at
// the start.
func (r *Relay) Reload(s settings.Edge) {
	r.post(job{
		call: func(time.Time) {
			r.edge.SetBounds(bounds(s))
			r.log.WithField("grace", s.Grace).WithField("retry_ratio", s.RetryRatio).Info("settings_reloaded")
		},
	})
}
