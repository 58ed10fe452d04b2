// Package router runs the decision logic of package core as a process.
//
// One control goroutine owns the Node: it steps it with every event, ticks it,
// and performs the actions that come out. Everything that waits runs on other
// goroutines (calls of the platform, messages to peers, attempts on
// endpoints), and tells the control goroutine of its result as an event.
// Traffic goroutines read an immutable snapshot of the configuration and the
// append-only output of runs; they never touch the Node.
//
// A router whose incarnation was closed by another, after a long pause say,
// ends its runs and goes on as a new incarnation.
package router

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/config"
	"waxwingwall/core/effect"
	"waxwingwall/io/peer"
	"waxwingwall/settings"
)

// inboxSize is how many events may wait for the control goroutine.
const inboxSize = 8192

// Platform is what a router needs of the platform.
type Platform interface {
	waxwingwall.Table
	waxwingwall.Members
}

// Snapshot is what traffic goroutines see of the control state.
type Snapshot struct {
	// Document is the configuration in force.
	Document config.Document

	// Keys finds client accounts.
	Keys config.KeyTable
}

// Router is one router process. It implements waxwingwall.CallerAPI,
// waxwingwall.OperatorAPI and peer.Handler, which is waxwingwall.Owner and Receive.
type Router struct {
	settings settings.Settings
	platform Platform
	runner   waxwingwall.Runner
	log      *logrus.Entry
	peerTLS  *tls.Config
	metrics  *metrics
	hashes   []string

	// self is the current incarnation and belongs to the control goroutine;
	// boot repeats its boot time for others.
	self waxwingwall.Incarnation
	boot atomic.Int64

	// node belongs to the control goroutine.
	node *core.Node

	// snapshot, runs and links are shared with traffic goroutines.
	snapshot atomic.Pointer[Snapshot]
	runs     runs
	links    *peer.Links

	// closeLinks shuts the links.
	closeLinks func()

	// inbox feeds the control goroutine; ctx ends with the router.
	inbox   chan job
	ctx     context.Context
	cancel  context.CancelFunc
	working sync.WaitGroup

	// listed is set once the list of VMs, or the seeds in its place, are known.
	listed atomic.Bool

	// drained is closed when a graceful stop is over; closed is set if another
	// router closed the incarnation before that.
	drained     chan struct{}
	closed      atomic.Bool
	drainedOnce sync.Once
}

// job is something for the control goroutine: an event, or a function to call.
type job struct {
	event effect.Event

	// boot is the boot time of the incarnation that the event is for; zero for
	// whichever is present.
	boot int64

	call func(now time.Time)
}

// Option changes a Router before it starts.
type Option func(*Router)

// WithLog sets the logger.
func WithLog(l *logrus.Entry) Option {
	return func(r *Router) {
		r.log = l
	}
}

// WithPeerTLS sets the configuration of connections to peers.
func WithPeerTLS(c *tls.Config) Option {
	return func(r *Router) {
		r.peerTLS = c
	}
}

// New starts a router and returns it with a function that stops it at once.
// For a graceful stop call Drain first and wait for Drained.
func New(s settings.Settings, p Platform, runner waxwingwall.Runner, opts ...Option) (*Router, func(), error) {
	hashes, err := s.OperatorKeys.KeyHashes()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{
		settings: s,
		platform: p,
		runner:   runner,
		log:      logrus.NewEntry(logrus.StandardLogger()),
		hashes:   hashes,
		inbox:    make(chan job, inboxSize),
		ctx:      ctx,
		cancel:   cancel,
		drained:  make(chan struct{}),
	}
	for _, o := range opts {
		o(r)
	}
	if r.metrics, err = newMetrics(r); err != nil {
		cancel()
		return nil, nil, trace.Wrap(err)
	}
	peer.Register(core.Messages()...)
	r.links, r.closeLinks = peer.NewLinks(ctx, r.peerTLS, &r.working)
	now := time.Now()
	self := waxwingwall.Incarnation{
		VM:   s.Router.VM,
		Boot: r.nextBoot(now),
	}
	r.begin(core.New(self, r.place(), s.Router.Environment, r.seed(now)))
	r.goDo(r.control)
	r.goDo(r.pollMembers)
	r.goDo(r.pollLoad)
	return r, r.stop, nil
}

// stop ends the router at once and waits for its goroutines.
func (r *Router) stop() {
	r.cancel()
	r.runs.stopAll(stopping())
	r.closeLinks()
	r.working.Wait()
	r.metrics.close()
}

// Drained is closed once a graceful stop is over.
func (r *Router) Drained() <-chan struct{} {
	return r.drained
}

// Closed reports that another router closed the incarnation during a graceful
// stop, which was not complete then.
func (r *Router) Closed() bool {
	return r.closed.Load()
}

// nextBoot is the boot time of the next incarnation.
func (r *Router) nextBoot(now time.Time) int64 {
	return max(now.UnixMilli(), r.self.Boot+1)
}

// seed is that of an incarnation that begins now.
func (r *Router) seed(now time.Time) uint64 {
	return xxhash.Sum64String(fmt.Sprint(r.settings.Router.VM, now.UnixNano()))
}

// place is where this router runs.
func (r *Router) place() core.Options {
	return core.Options{
		Peers:        r.settings.Listen.Peers,
		Callers:      r.settings.Listen.Callers,
		Domain:       r.settings.Router.Domain,
		Heartbeat:    r.settings.Timing.Heartbeat,
		PollInterval: r.settings.Timing.Config,
	}
}

// begin makes a node the present incarnation.
func (r *Router) begin(n *core.Node) {
	r.self = n.Self
	r.boot.Store(n.Self.Boot)
	r.node = n
	r.log.WithField("incarnation", r.self.String()).Info("incarnation begins")
}

// goDo runs f on a goroutine that the stop of the router waits for.
func (r *Router) goDo(f func()) {
	r.working.Add(1)
	go func() {
		defer r.working.Done()
		f()
	}()
}

// peer returns the home of a peer, if its address is known.
func (r *Router) peer(i waxwingwall.Incarnation) (waxwingwall.Owner, bool) {
	if i.VM == r.settings.Router.VM {
		return r, i.Boot == r.boot.Load()
	}
	c, ok := r.links.Client(i.VM)
	if !ok {
		return nil, false
	}
	return c, true
}

// Ready reports whether the router takes requests.
func (r *Router) Ready(ctx context.Context) bool {
	ready := false
	err := r.ask(ctx, func(time.Time) {
		ready = r.node.Ready()
	})
	return err == nil && ready
}
