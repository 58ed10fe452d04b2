package config

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// Part is the name of this package in effect.ID.
const Part = "config"

const (
	// defaultPollInterval is the time between two looks at the current version.
	defaultPollInterval = time.Second

	// fleetPollRate is how many looks a second the whole fleet takes; a large fleet
	// looks less often and hears of a change from its peers.
	fleetPollRate = 50

	// gossipInterval is the time between two announcements to a peer taken by
	// chance.
	gossipInterval = time.Second

	// fanout is how many peers are told at once of a new version.
	fanout = 4

	// tableTimeout is how long an answer of the table may take.
	tableTimeout = 2 * time.Second

	// peerTimeout is how long a peer's answer may take before another source
	// is asked; a late one is still taken.
	peerTimeout = 500 * time.Millisecond

	// fetchRetryDelay is the time between two attempts to collect a version.
	fetchRetryDelay = 200 * time.Millisecond

	// bootWait is how long a router that has no configuration yet, and hears
	// nothing from the platform, goes on collecting its peers' versions.
	bootWait = 500 * time.Millisecond

	// maxHolders is how many peers are kept as sources of a version.
	maxHolders = 8

	// parseStepBytes is about how many bytes of parts are read in one step.
	parseStepBytes = 64 << 10

	// maxInlineBytes is the size in bytes up to which a peer sends all parts with
	// the manifest.
	maxInlineBytes = 32 << 10

	// maxMessageBytes is about how many bytes of parts one message carries.
	maxMessageBytes = 256 << 10
)

// Announce tells a peer which version the sender holds.
type Announce struct {
	// Environment is the sender's.
	Environment string

	// Head is the sender's; version 0 means that it holds nothing.
	Head Head

	// Ask wants an Announce in answer, whatever the receiver holds.
	Ask bool
}

// Want asks a peer for a part of a version that it announced.
type Want struct {
	// Environment is the sender's.
	Environment string

	// Version is the version wanted.
	Version int64

	// Parts are the digests wanted; none asks for the manifest.
	Parts []string
}

// Have answers Want.
type Have struct {
	// Environment is the sender's.
	Environment string

	// Version is the version asked for.
	Version int64

	// Manifest is the manifest's text, if that was asked for.
	Manifest string

	// Parts are texts of parts, as many as fit; the rest is asked for again.
	Parts []string
}

// Changed tells that a newer version is in force on this router.
type Changed struct {
	effect.IsAction

	// Document is the configuration.
	Document Document

	// Head says how it came about.
	Head Head
}

// Watcher brings the newest configuration to one router. Create it with
// NewWatcher, step it with every event, and tell it of peers.
type Watcher struct {
	// Environment is the environment that is watched.
	Environment string

	pollInterval time.Duration
	rng          *rand.Rand

	// What is in force here. The version only rises.
	head     Head
	document Document
	manifest string
	digests  []string
	parts    map[string]packed
	size     int

	// What is known to be in force elsewhere, and who has it.
	known        Head
	knownAt      time.Time
	knownInTable bool
	holders      []waxwingwall.Incarnation
	tableReached bool
	tableBehind  bool
	refused      int64
	lastError    string

	peers []waxwingwall.Incarnation

	// Work under way.
	fetch        *fetch
	attempts     int
	pollID       effect.ID
	pollDeadline time.Time
	nextPoll     time.Time
	nextGossip   time.Time
	lastID       uint64
	out          []effect.Action
}

// fetch is the collecting of one version from one source.
type fetch struct {
	head Head

	// id is that of the answer awaited from the table, if any.
	id effect.ID

	// retryAt is when the next source is asked.
	retryAt time.Time

	// manifest is empty until it has come.
	manifest string
	digests  []string

	// parts are those that came, checked.
	parts map[string]string

	// complete is set once all have come; those before next were read into fresh
	// and moved to kept.
	complete    bool
	nextDigest  int
	parsed      []Document
	packedParts map[string]packed
}

// Option changes how a Watcher works.
type Option func(*Watcher)

// WithSeed gives the seed of every choice by chance.
func WithSeed(seed uint64) Option {
	return func(w *Watcher) {
		w.rng = rand.New(rand.NewPCG(seed, 0))
	}
}

// WithPollInterval gives the time between two looks at the current version.
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

// SetPeers tells which peers can be asked, live ones only.
func (w *Watcher) SetPeers(peers []waxwingwall.Incarnation) {
	w.peers = slices.Clone(peers)
}

// Head returns what is in force on this router.
func (w *Watcher) Head() Head {
	return w.head
}

// Document returns the configuration in force on this router; its version is 0
// before the first is known.
func (w *Watcher) Document() Document {
	return w.document
}

// Step tells the Watcher of an event.
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
	if w.fetch != nil {
		w.continueFetch(now)
	}
	w.startFetch(now)
}

// continueFetch goes on with a fetch.
func (w *Watcher) continueFetch(now time.Time) {
	switch {
	case w.fetch.complete:
		w.advanceFetch(now)
	case !now.Before(w.fetch.retryAt):
		w.requestMissing(now)
	}
}

// jitter spreads a pause over 90% to 110%.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*w.rng.Float64()))
}

// pollCurrent reads the current version.
func (w *Watcher) pollCurrent(now time.Time) {
	pause := max(w.pollInterval, time.Duration(len(w.peers)+1)*time.Second/fleetPollRate)
	w.nextPoll = now.Add(w.jitter(pause))
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

// announce tells n peers taken by chance what is in force here.
func (w *Watcher) announce(n int, ask bool) {
	for _, i := range w.rng.Perm(len(w.peers))[:min(n, len(w.peers))] {
		w.send(w.peers[i], Announce{
			Environment: w.Environment,
			Head:        w.head,
			Ask:         ask,
		})
	}
}

// handleRows takes an answer of the table.
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

// handleCurrent takes the current version from the table.
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
	w.setKnown(now, head)
	if head.Version == w.known.Version {
		w.knownInTable = true
	}
	w.startFetch(now)
}

// setKnown notes a version that is in force elsewhere.
func (w *Watcher) setKnown(now time.Time, head Head) {
	if head.Version <= w.known.Version {
		return
	}
	w.known = head
	w.knownAt = now
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

// Dump is a Watcher's state.
type Dump struct {
	// Environment is the environment that is watched.
	Environment string `json:"environment"`

	// Head is what is in force on this router.
	Head Head `json:"head"`

	// Known is the highest version heard of.
	Known int64 `json:"known"`

	// Fetching tells that a version is being collected.
	Fetching bool `json:"fetching"`

	// TableBehind tells that the table's version is below the one in force
	// here, as after a restore of the table.
	TableBehind bool `json:"table_behind"`

	// Refused is a version that this router can't read; 0 for none.
	Refused int64 `json:"refused"`

	// LastError is the last fault met.
	LastError string `json:"last_error"`
}

// Dump returns the state for operators.
func (w *Watcher) Dump() Dump {
	return Dump{
		Environment: w.Environment,
		Head:        w.head,
		Known:       w.known.Version,
		Fetching:    w.fetch != nil,
		TableBehind: w.tableBehind,
		Refused:     w.refused,
		LastError:   w.lastError,
	}
}
