// Package router runs the decision logic of package core as a process.
//
// One control goroutine owns the Node: it passes every event and tick to the
// Node and performs the resulting actions. Blocking operations (platform calls,
// messages to peers, attempts on endpoints) run on other goroutines, which post
// their results to the control goroutine as events. Traffic goroutines read an
// immutable snapshot of the configuration and the append-only output of runs;
// they never access the Node.
//
// If another router closes the incarnation, for example after a long pause of
// the process, the router ends its runs and continues as a new incarnation.
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

const (
	// inboxSize is the capacity of the control goroutine's queue in jobs, updatesSize that of its
	// queue of updates.
	inboxSize   = 8192
	updatesSize = 256
)

// Platform is the part of the hosting platform that a router needs.
type Platform interface {
	waxwingwall.Table
	waxwingwall.Members
}

// Snapshot is the part of the Node's state that traffic goroutines read. It is
// immutable.
type Snapshot struct {
	// Document is the active version of the configuration.
	Document config.Document

	// Keys maps bearer keys to client accounts.
	Keys config.KeyTable
}

// Router runs one core.Node and its requests; package daemon adds the listeners.
// It implements waxwingwall.CallerAPI, waxwingwall.OperatorAPI and peer.Handler
// (waxwingwall.Owner with Receive).
type Router struct {
	settings       settings.Settings
	platform       Platform
	runner         waxwingwall.Runner
	log            *logrus.Entry
	peerTLS        *tls.Config
	metrics        *metrics
	operatorHashes []string

	// self is the current incarnation; only the control goroutine accesses it.
	// boot is a copy of its boot time for other goroutines.
	self waxwingwall.Incarnation
	boot atomic.Int64

	// node is accessed only by the control goroutine.
	node *core.Node

	// snapshot, runs, answers and links are shared with traffic goroutines.
	snapshot atomic.Pointer[Snapshot]
	runs     runs
	answers  *answers
	links    *peer.Links

	closeLinks func()

	// inbox and updates are the queues of the control goroutine; ctx is cancelled when the
	// router stops.
	inbox   chan job
	updates chan job
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	// membersPosted is set once a member list, or the seeds in its place, has been
	// posted.
	membersPosted atomic.Bool

	// drained is closed when a graceful stop is complete; closed is set if
	// another router closed the incarnation before that.
	drained     chan struct{}
	closed      atomic.Bool
	drainedOnce sync.Once
}

// job is a task for the control goroutine: an event to handle, or a function to
// call.
type job struct {
	event effect.Event

	// boot is the boot time of the incarnation that the event is for; zero
	// means the current one.
	boot int64

	call func(now time.Time)

	// update is set if call goes before requests that wait, as events do for which core.IsUpdate
	// holds.
	update bool
}

// Option configures a Router before it starts.
type Option func(*Router)

// WithLog sets the logger.
func WithLog(l *logrus.Entry) Option {
	return func(r *Router) {
		r.log = l
	}
}

// WithPeerTLS sets the TLS configuration of connections to peers.
func WithPeerTLS(c *tls.Config) Option {
	return func(r *Router) {
		r.peerTLS = c
	}
}

// New starts a router and returns it with a function that stops it immediately.
// For a graceful stop, call Drain first, wait for Drained and call EndAnswers.
func New(s settings.Settings, p Platform, runner waxwingwall.Runner, opts ...Option) (*Router, func(), error) {
	operatorHashes, err := s.OperatorKeys.KeyHashes()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{
		settings:       s,
		platform:       p,
		runner:         runner,
		log:            logrus.NewEntry(logrus.StandardLogger()),
		operatorHashes: operatorHashes,
		answers:        newAnswers(),
		inbox:          make(chan job, inboxSize),
		updates:        make(chan job, updatesSize),
		ctx:            ctx,
		cancel:         cancel,
		drained:        make(chan struct{}),
	}
	for _, o := range opts {
		o(r)
	}
	if r.metrics, err = newMetrics(r); err != nil {
		cancel()
		return nil, nil, trace.Wrap(err)
	}
	peer.Register(core.Messages()...)
	r.links, r.closeLinks = peer.NewLinks(ctx, r.peerTLS, &r.wg)
	now := time.Now()
	self := waxwingwall.Incarnation{
		VM:   s.Router.VM,
		Boot: r.nextBoot(now),
	}
	r.beginIncarnation(core.New(self, r.options(), s.Router.Environment, r.seed(now)))
	r.spawn(r.control)
	r.spawn(r.pollMembers)
	r.spawn(r.pollLoad)
	return r, r.stop, nil
}

// stop stops the router immediately and waits for its goroutines.
func (r *Router) stop() {
	r.cancel()
	r.answers.end()
	r.runs.stopAll(stopping())
	r.closeLinks()
	r.wg.Wait()
	r.metrics.close()
}

// Drained returns a channel that is closed once a graceful stop is complete.
func (r *Router) Drained() <-chan struct{} {
	return r.drained
}

// Closed reports whether another router closed the incarnation during a
// graceful stop, before it was complete.
func (r *Router) Closed() bool {
	return r.closed.Load()
}

// nextBoot returns the boot time of the next incarnation. It is greater than
// that of the current one.
func (r *Router) nextBoot(now time.Time) int64 {
	return max(now.UnixMilli(), r.self.Boot+1)
}

// seed returns the random seed of an incarnation that starts now.
func (r *Router) seed(now time.Time) uint64 {
	return xxhash.Sum64String(fmt.Sprint(r.settings.Router.VM, now.UnixNano()))
}

// options returns the addresses, failure domain and intervals for the node.
func (r *Router) options() core.Options {
	return core.Options{
		Peers:        r.settings.Listen.Peers,
		Callers:      r.settings.Listen.Callers,
		Domain:       r.settings.Router.Domain,
		Heartbeat:    r.settings.Timing.HeartbeatInterval,
		PollInterval: r.settings.Timing.ConfigInterval,
	}
}

// beginIncarnation makes n the router's node and its incarnation the current one.
func (r *Router) beginIncarnation(n *core.Node) {
	r.self = n.Self
	r.boot.Store(n.Self.Boot)
	r.node = n
	r.log.WithField("incarnation", r.self.String()).Info("incarnation begins")
}

// spawn runs f on a goroutine that stop waits for.
func (r *Router) spawn(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// peer returns a peer as an Owner, if its address is known.
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

// Ready reports whether the router accepts requests.
func (r *Router) Ready(ctx context.Context) bool {
	ready := false
	err := r.callControl(ctx, func(time.Time) {
		ready = r.node.Ready()
	})
	return err == nil && ready
}
