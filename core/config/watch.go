package config

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Part is the ID.Part of this package's actions.
const Part = "config"

const (
	// defaultPollInterval is the default interval between polls of the current
	// version.
	defaultPollInterval = time.Second

	// fleetPollRate limits the polls of the whole fleet, in polls per second.
	// Routers of a large fleet poll less often and learn of changes from peers.
	fleetPollRate = 50

	// gossipInterval is the interval between Announce messages to a random peer.
	gossipInterval = time.Second

	// announceFanout is the number of peers that receive an Announce as soon as a
	// new version is active.
	announceFanout = 4

	// tableTimeout is the timeout for an answer of the table.
	tableTimeout = 2 * time.Second

	// peerTimeout is the timeout for an answer of a peer before the next source is
	// tried; a late answer is still used.
	peerTimeout = 500 * time.Millisecond

	// fetchRetryDelay is the delay between attempts to fetch a version.
	fetchRetryDelay = 200 * time.Millisecond

	// bootTimeout is how long a router without a configuration waits for an answer
	// of the table while it collects its peers' versions. It then fetches the
	// highest of these.
	bootTimeout = 500 * time.Millisecond

	// maxAbandoned limits the fetches in a row that are abandoned for a newer version
	// while their source may still answer.
	maxAbandoned = 3

	// maxHolders is the maximum number of peers used as sources of a version.
	maxHolders = 8

	// parseStepBytes is the approximate size of the parts parsed in one step.
	parseStepBytes = 64 << 10

	// maxInlineBytes is the maximum size of a document whose parts are all sent
	// with the manifest.
	maxInlineBytes = 32 << 10

	// maxMessageBytes is the maximum size of the parts in one message; a single
	// larger part is sent alone.
	maxMessageBytes = 256 << 10
)

// Announce is the message that informs a peer of the sender's active version.
type Announce struct {
	// Environment is the sender's environment.
	Environment string

	// Head is the sender's active version; version 0 means that it has none.
	Head Head

	// Ask requests an Announce in return, whatever version the receiver has.
	Ask bool
}

// Want requests the manifest or parts of a version from a peer.
type Want struct {
	// Environment is the sender's environment.
	Environment string

	// Version is the requested version.
	Version int64

	// Parts are the digests of the requested parts; empty requests the manifest.
	Parts []string
}

// Have is the answer to Want.
type Have struct {
	// Environment is the sender's environment.
	Environment string

	// Version is the requested version.
	Version int64

	// Manifest is the encoded manifest, if requested.
	Manifest string

	// Parts are texts of parts, as many as fit; the rest has to be requested
	// again.
	Parts []string
}

// Changed is the action that reports a new active version on this router.
type Changed struct {
	effect.IsAction

	// Document is the new active configuration.
	Document Document

	// Head describes its version.
	Head Head
}

// Watcher keeps the configuration of one router up to date. Create it with
// NewWatcher, step it with every event, and set its peers with SetPeers.
type Watcher struct {
	// Environment is the watched environment.
	Environment string

	pollInterval time.Duration
	rng          *rand.Rand

	// The active version on this router. Its number never decreases.
	head     Head
	document Document
	manifest string
	digests  []string
	parts    map[string]packed
	size     int

	// known is the highest version that the table or a peer is known to have,
	// firstKnownAt when the first one became known. Its sources are the table, if
	// knownInTable is set, in the row of version knownRow, and the peers in holders.
	known        Head
	firstKnownAt time.Time
	knownInTable bool
	knownRow     int64
	holders      []waxwingwall.Incarnation

	// tableReached is set once the table has answered a poll, tableBehind while
	// its current version is lower than the active one.
	tableReached bool
	tableBehind  bool

	// rejected is the last version that this router couldn't parse, 0 for none;
	// lastError is the most recent error.
	rejected  int64
	lastError string

	peers []waxwingwall.Incarnation

	// Operations in flight and the schedule of the next ones. attempts counts the requests
	// to sources of the known version, abandoned the fetches since the last version became
	// active that were not finished since a newer one became known.
	fetch        *fetch
	attempts     int
	abandoned    int
	pollID       effect.ID
	pollDeadline time.Time
	nextPoll     time.Time
	nextGossip   time.Time
	lastID       uint64
	out          []effect.Action
}

// fetch is the state of fetching one version.
type fetch struct {
	head Head

	// id is the ID of the table read in flight, if any.
	id effect.ID

	// retryAt is the time of the request to the next source.
	retryAt time.Time

	// manifest is empty until it has arrived.
	manifest string
	digests  []string

	// parts are the fetched parts by digest, verified but not yet parsed.
	parts map[string]string

	// complete is set when no part is missing. The fetched parts before nextDigest
	// have been parsed into parsed and moved to packedParts.
	complete    bool
	nextDigest  int
	parsed      []Document
	packedParts map[string]packed
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(w *Watcher) {
		w.rng = rand.New(rand.NewPCG(seed, 0))
	}
}

// WithPollInterval sets the minimum interval between polls of the current
// version.
func WithPollInterval(d time.Duration) Option {
	return func(w *Watcher) {
		w.pollInterval = d
	}
}

// NewWatcher returns a Watcher of an environment.
func NewWatcher(environment string, opts ...Option) *Watcher {
	w := &Watcher{
		Environment:  environment,
		pollInterval: defaultPollInterval,
		parts:        make(map[string]packed),
	}
	WithSeed(0)(w)
	for _, o := range opts {
		o(w)
	}
	return w
}

// SetPeers sets the live peers.
func (w *Watcher) SetPeers(peers []waxwingwall.Incarnation) {
	w.peers = slices.Clone(peers)
}

// Head returns the Head of the active version on this router.
func (w *Watcher) Head() Head {
	return w.head
}

// Document returns the active configuration of this router; its version is 0
// before the first one is active.
func (w *Watcher) Document() Document {
	return w.document
}

// Step processes an event and returns the resulting actions.
func (w *Watcher) Step(now time.Time, ev effect.Event) []effect.Action {
	switch e := ev.(type) {
	case effect.Tick:
		w.tick(now)
	case effect.Rows:
		w.handleRows(now, e)
	case effect.Received:
		w.handleReceived(now, e)
	}
	out := w.out
	w.out = nil
	return out
}

func (w *Watcher) tick(now time.Time) {
	if w.pollID.N != 0 && now.After(w.pollDeadline) {
		w.pollID = effect.ID{}
	}
	if w.pollID.N == 0 && !now.Before(w.nextPoll) {
		w.pollCurrent(now)
	}
	if !now.Before(w.nextGossip) {
		w.nextGossip = now.Add(w.jitter(gossipInterval))
		w.announce(1, w.head.Version == 0)
	}
	w.startFetch(now)
	if w.fetch != nil {
		w.continueFetch(now)
	}
}

// continueFetch parses further parts, or tries the next source when a retry is
// due.
func (w *Watcher) continueFetch(now time.Time) {
	switch {
	case w.fetch.complete:
		w.advanceFetch(now)
	case !now.Before(w.fetch.retryAt):
		w.requestMissing(now)
	}
}

// jitter returns a random duration of 90% to 110% of d.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*w.rng.Float64()))
}

// pollCurrent requests the current version from the table.
func (w *Watcher) pollCurrent(now time.Time) {
	interval := max(w.pollInterval, time.Duration(len(w.peers)+1)*time.Second/fleetPollRate)
	w.nextPoll = now.Add(w.jitter(interval))
	w.pollDeadline = now.Add(tableTimeout)
	w.pollID = w.nextID()
	w.read(w.pollID, CurrentKey(w.Environment))
}

func (w *Watcher) nextID() effect.ID {
	w.lastID++
	return effect.ID{
		Part: Part,
		N:    w.lastID,
	}
}

func (w *Watcher) read(id effect.ID, keys ...string) {
	w.out = append(w.out, effect.Read{
		ID:   id,
		Keys: keys,
	})
}

func (w *Watcher) send(to waxwingwall.Incarnation, message any) {
	w.out = append(w.out, effect.Send{
		To:      to,
		Message: message,
	})
}

// announce sends the active version to n random peers.
func (w *Watcher) announce(n int, ask bool) {
	for _, i := range w.rng.Perm(len(w.peers))[:min(n, len(w.peers))] {
		w.send(w.peers[i], Announce{
			Environment: w.Environment,
			Head:        w.head,
			Ask:         ask,
		})
	}
}

// handleRows processes an answer of the table.
func (w *Watcher) handleRows(now time.Time, e effect.Rows) {
	if e.ID.Part != Part {
		return
	}
	if e.ID == w.pollID {
		w.pollID = effect.ID{}
		w.handleCurrent(now, e)
		return
	}
	if w.fetch == nil || e.ID != w.fetch.id {
		return
	}
	if e.Result != effect.Done {
		w.delayRetry(now)
		return
	}
	var texts []string
	for _, r := range e.Rows {
		texts = append(texts, r.Value)
	}
	w.fetch.retryAt = now
	if w.fetch.manifest == "" {
		w.addFetched(now, strings.Join(texts, ""), nil)
		return
	}
	w.addFetched(now, "", texts)
}

// handleCurrent processes the current row.
func (w *Watcher) handleCurrent(now time.Time, e effect.Rows) {
	if e.Result != effect.Done || len(e.Rows) != 1 {
		return
	}
	w.tableReached = true
	row := e.Rows[0]
	if row.Version == 0 {
		w.tableBehind = w.head.Version > 0
		return
	}
	head, err := ParseHead(row.Value)
	if err != nil {
		w.lastError = err.Error()
		return
	}
	w.tableBehind = head.Version < w.head.Version
	if w.knownInTable && row.Version > w.knownRow && !sameVersion(head, w.known) {
		w.dropKnown()
	}
	w.setKnown(now, head)
	if sameVersion(head, w.known) {
		w.knownInTable = true
		w.knownRow = row.Version
	}
	w.startFetch(now)
}

// sameVersion reports whether two heads are of the same version of a document.
func sameVersion(a, b Head) bool {
	return a.Version == b.Version && a.Digest == b.Digest
}

// dropKnown drops the known version, which the table no longer has: another writer may
// have left it. The active version stays.
func (w *Watcher) dropKnown() {
	if w.fetch != nil && sameVersion(w.fetch.head, w.known) {
		w.fetch = nil
	}
	w.known = Head{}
	w.knownInTable = false
	w.holders = nil
}

// setKnown records a newer version and resets its sources.
func (w *Watcher) setKnown(now time.Time, head Head) {
	if head.Version <= w.known.Version {
		return
	}
	w.known = head
	if w.firstKnownAt.IsZero() {
		w.firstKnownAt = now
	}
	w.knownInTable = false
	w.holders = nil
	w.attempts = 0
}

func (w *Watcher) handleReceived(now time.Time, e effect.Received) {
	switch m := e.Message.(type) {
	case Announce:
		if m.Environment == w.Environment {
			w.handleAnnounce(now, e.From, m)
		}
	case Want:
		if m.Environment == w.Environment {
			w.handleWant(e.From, m)
		}
	case Have:
		if m.Environment == w.Environment {
			w.handleHave(now, m)
		}
	}
}

func (w *Watcher) handleAnnounce(now time.Time, from waxwingwall.Incarnation, m Announce) {
	if m.Ask || m.Head.Version < w.head.Version {
		w.send(from, Announce{
			Environment: w.Environment,
			Head:        w.head,
		})
	}
	if m.Head.Version <= w.head.Version {
		return
	}
	w.setKnown(now, m.Head)
	if m.Head.Version == w.known.Version && len(w.holders) < maxHolders && !slices.Contains(w.holders, from) {
		w.holders = append(w.holders, from)
	}
	w.startFetch(now)
}

// Dump is the state of a Watcher for operators.
type Dump struct {
	// Environment is the watched environment.
	Environment string `json:"environment"`

	// Head is the active version on this router.
	Head Head `json:"head"`

	// Known is the highest known version.
	Known int64 `json:"known"`

	// Fetching reports whether a version is being fetched.
	Fetching bool `json:"fetching"`

	// TableBehind reports whether the table's version is lower than the active
	// one, for example after a restore of the table.
	TableBehind bool `json:"table_behind"`

	// Rejected is the last version that this router couldn't parse; 0 for none.
	Rejected int64 `json:"refused"`

	// LastError is the most recent error.
	LastError string `json:"last_error"`
}

// Dump returns the Watcher's state.
func (w *Watcher) Dump() Dump {
	return Dump{
		Environment: w.Environment,
		Head:        w.head,
		Known:       w.known.Version,
		Fetching:    w.fetch != nil,
		TableBehind: w.tableBehind,
		Rejected:    w.rejected,
		LastError:   w.lastError,
	}
}
