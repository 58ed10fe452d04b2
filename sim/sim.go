// Package sim has small stand-ins for what stands around a router fleet: the
// hosting platform, model engines and plain services.
//
// A World owns a set of HTTP servers on loopback addresses, all in one
// process. New starts them and returns a function that stops them. A World
// answers deterministically: the text of an answer follows from its prompt, so
// that a test can tell whether an answer is whole and the caller's own (see
// Answer). Faults are switched on and off by Inject, or by the admin server.
// The audit records what was really run, whatever the routers' books say.
//
// It is scaffolding for tests and demonstrations, not a model of a cluster.
package sim

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
)

// World is one set of stand-ins.
type World struct {
	// Platform is the table, the object store and the list of VMs.
	Platform *Platform

	// Engines are the model engines, in the order they were added.
	Engines []*Engine

	// Services are the plain services, in the order they were added.
	Services []*Service

	// Audit tells what was really run.
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

// Option changes a World before it starts.
type Option func(*World)

// WithPlatformAddress sets where the platform listens.
func WithPlatformAddress(a netip.AddrPort) Option {
	return func(w *World) { w.platformAddr = a }
}

// WithAdminAddress sets where the admin server listens.
func WithAdminAddress(a netip.AddrPort) Option {
	return func(w *World) { w.adminAddr = a }
}

// WithMemberLag sets how long a change takes to show in the list of VMs.
func WithMemberLag(d time.Duration) Option {
	return func(w *World) { w.memberLag = d }
}

// WithMembers puts VMs on the platform's list.
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

// WithSeed seeds the faults that strike at random.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.seed = seed }
}

// New starts a World. The returned function stops all its servers. It fails
// when an address can't be listened on.
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

// servers lists the servers that run.
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

// AdminURL is the base URL of the admin server.
func (w *World) AdminURL() string {
	return w.admin.url()
}

func (w *World) listen(name string, addr netip.AddrPort, h http.Handler) (*faultServer, error) {
	if !addr.IsValid() {
		addr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	s := &faultServer{
		name:    name,
		addr:    addr,
		handler: h,
		done:    w.done,
		conns:   map[net.Conn]*connection{},
		random:  newRandom(w.seed, name),
	}
	if err := s.start(); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}
