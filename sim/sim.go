// Package sim provides stand-ins for the systems around a fleet of routers: the
// hosting platform, model engines and plain services.
//
// A World owns a set of HTTP servers on loopback addresses, all in one
// process. New starts them and returns a function that stops them. Answers are
// deterministic: the text of an answer is derived from its prompt, so that a test
// can check that an answer is complete and belongs to the request (see Answer).
// Faults are injected by Inject or by the admin server. The audit records what was
// really run, independently of the routers' records.
//
// The package is meant for tests and demonstrations; it isn't a realistic model
// of a cluster.
package sim

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/sim/port"
)

// World is a set of stand-ins.
type World struct {
	// Platform serves the table, the object store and the member list.
	Platform *Platform

	// Engines are the model engines, in the order they were added.
	Engines []*Engine

	// Services are the plain services, in the order they were added.
	Services []*Service

	// Audit records what was really run.
	Audit *Audit

	admin *faultServer
	done  chan struct{}

	// Set by options before the servers start.
	platformAddr netip.AddrPort
	adminAddr    netip.AddrPort
	memberLag    time.Duration
	members      []waxwingwall.Member
	engines      []EngineConfig
	services     []ServiceConfig
	seed         uint64
}

// Option configures a World before it starts.
type Option func(*World)

// WithPlatformAddress sets the listen address of the platform.
func WithPlatformAddress(a netip.AddrPort) Option {
	return func(w *World) { w.platformAddr = a }
}

// WithAdminAddress sets the listen address of the admin server.
func WithAdminAddress(a netip.AddrPort) Option {
	return func(w *World) { w.adminAddr = a }
}

// WithMemberLag sets the delay after which the member list shows a change.
func WithMemberLag(d time.Duration) Option {
	return func(w *World) { w.memberLag = d }
}

// WithMembers adds VMs to the member list.
func WithMembers(ms ...waxwingwall.Member) Option {
	return func(w *World) { w.members = append(w.members, ms...) }
}

// WithEngine adds a model engine.
func WithEngine(c EngineConfig) Option {
	return func(w *World) { w.engines = append(w.engines, c) }
}

// WithService adds a plain service.
func WithService(c ServiceConfig) Option {
	return func(w *World) { w.services = append(w.services, c) }
}

// WithSeed sets the seed of random faults.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.seed = seed }
}

// New starts a World. The returned function stops all its servers. New fails if an
// address can't be listened on.
func New(opts ...Option) (*World, func(), error) {
	w := &World{
		Audit: newAudit(),
		done:  make(chan struct{}),
	}
	for _, opt := range opts {
		opt(w)
	}
	if err := w.start(); err != nil {
		w.stop()
		return nil, nil, trace.Wrap(err)
	}
	return w, w.stop, nil
}

func (w *World) start() error {
	p, err := newPlatform(w)
	if err != nil {
		return trace.Wrap(err)
	}
	w.Platform = p
	for _, c := range w.engines {
		e, err := newEngine(w, c)
		if err != nil {
			return trace.Wrap(err)
		}
		w.Engines = append(w.Engines, e)
	}
	for _, c := range w.services {
		s, err := newService(w, c)
		if err != nil {
			return trace.Wrap(err)
		}
		w.Services = append(w.Services, s)
	}
	w.admin, err = w.listen("admin", w.adminAddr, w.adminHandler())
	return trace.Wrap(err)
}

func (w *World) stop() {
	close(w.done)
	for _, s := range w.servers() {
		s.stop()
	}
}

// servers returns the servers that have been started.
func (w *World) servers() []*faultServer {
	var servers []*faultServer
	if w.Platform != nil {
		servers = append(servers, w.Platform.server)
	}
	for _, e := range w.Engines {
		servers = append(servers, e.server)
	}
	for _, s := range w.Services {
		servers = append(servers, s.server)
	}
	if w.admin != nil {
		servers = append(servers, w.admin)
	}
	return servers
}

// AdminURL returns the base URL of the admin server.
func (w *World) AdminURL() string {
	return w.admin.url()
}

func (w *World) listen(name string, addr netip.AddrPort, h http.Handler) (*faultServer, error) {
	if !addr.IsValid() {
		addr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	addr, release, err := port.Hold(addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &faultServer{
		name:    name,
		addr:    addr,
		release: release,
		handler: h,
		done:    w.done,
		conns:   map[net.Conn]*connection{},
		random:  newRandom(w.seed, name),
	}
	if err := s.start(); err != nil {
		release()
		return nil, trace.Wrap(err)
	}
	return s, nil
}
