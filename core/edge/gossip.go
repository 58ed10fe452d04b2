package edge

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/member"
	"waxwingwall/core/quarantine"
)

const (
	// minReportInterval is the least time between two reports of load, maxReportInterval that
	// after which one is sent though nothing changed.
	minReportInterval = 200 * time.Millisecond
	maxReportInterval = time.Second

	// reportValidity is how long a report of load is believed.
	reportValidity = 1500 * time.Millisecond

	// maxReads bounds the parts of prompts in a report.
	maxReads = 512

	// reportFanout bounds to how many peers a report goes, departureFanout to how many a
	// departure does at once: in the largest fleet each router hears of it from
	// several.
	reportFanout    = 12
	departureFanout = 36

	// askInterval is the least time between two questions for what a peer knows
	// better.
	askInterval = 300 * time.Millisecond

	// askDelay is how long the store gets to tell what a peer knows already.
	askDelay = 200 * time.Millisecond
)

// EndpointLoad is what one router runs at one endpoint.
type EndpointLoad struct {
	// Endpoint names it.
	Endpoint waxwingwall.Endpoint

	// Running counts requests; Prefill are the tokens that they still have to
	// read, Memory those that they hold.
	Running int
	Prefill waxwingwall.Tokens
	Memory  waxwingwall.Tokens
}

// Report tells a peer what its sender runs, and how new its knowledge is.
type Report struct {
	// Version is that of the configuration in force at the sender.
	Version int64

	// Revision is the store's as of which it knows the endpoints.
	Revision int64

	// Loads are the endpoints at which it runs anything.
	Loads []EndpointLoad

	// Departures are endpoints that leave.
	Departures []Departure

	// Reads are the parts of prompts that it sent to endpoints since its last
	// report, those of a single caller left out.
	Reads []PartRead
}

// PartRead is a part of a prompt that an endpoint has read.
type PartRead struct {
	// Endpoint read it.
	Endpoint waxwingwall.Endpoint

	// Part names it.
	Part uint64
}

// AskNews asks a peer for what it knows better.
type AskNews struct {
	// Version and Revision are what the sender has.
	Version, Revision int64
}

// News answers AskNews.
type News struct {
	// Configuration is newer than the one asked with, if its version is set.
	Configuration waxwingwall.Configuration

	// Replicas are all endpoints as of Revision, if that is newer.
	Replicas []waxwingwall.Replica
	Revision int64
}

// Departures tells at once of endpoints that leave.
type Departures struct {
	// Departures are those that the store has just told of.
	Departures []Departure
}

// Crashes tells of requests that crashed endpoints.
type Crashes struct {
	// Notices are merged by whoever hears them.
	Notices []quarantine.Notice
}

// gossipState is what routers tell each other.
type gossipState struct {
	reportedAt  time.Time
	loadChanged bool

	// alivePeers counts those alive when something was last told to all.
	alivePeers int

	// pendingReads are the parts sent to endpoints since then.
	pendingReads []PartRead

	// reports are the newest of each peer.
	reports map[waxwingwall.Incarnation]report

	// newestVersion is the newest version of the configuration that a peer has.
	newestVersion int64

	// behindSince is since when a peer is known to know more, asked when one was
	// last asked.
	behindSince time.Time
	askedAt     time.Time
}

// report is a Report with the time when it came.
type report struct {
	Report
	receivedAt time.Time
}

// sendReports sends a report when one is due.
func (e *Edge) sendReports() {
	g := &e.gossip
	elapsed := e.now.Sub(g.reportedAt)
	if elapsed >= maxReportInterval || g.loadChanged && elapsed >= minReportInterval {
		g.reportedAt = e.now
		g.loadChanged = false
		e.broadcast(e.report(), reportFanout)
	}
	if len(e.departures.unsent) > 0 {
		e.broadcast(Departures{
			Departures: e.departures.unsent,
		}, departureFanout)
		e.departures.unsent = nil
	}
	e.sumPeerLoads()
}

// report returns what this router runs and knows.
func (e *Edge) report() Report {
	r := Report{
		Version:    e.config.version,
		Revision:   e.endpoints.revision,
		Departures: e.departures.list(e.now),
		Reads:      e.gossip.pendingReads,
	}
	e.gossip.pendingReads = nil
	for _, s := range e.config.configuration.Services {
		for _, row := range e.endpoints.byService[s.Name] {
			if row.running == 0 {
				continue
			}
			r.Loads = append(r.Loads, EndpointLoad{
				Endpoint: row.replica.Endpoint,
				Running:  row.running,
				Prefill:  row.prefill,
				Memory:   row.memory,
			})
		}
	}
	return r
}

// broadcast sends a message to the peers that are alive; in a large fleet to some
// of them, others each time.
func (e *Edge) broadcast(message any, limit int) {
	var alive []member.Peer
	for _, p := range e.view.Peers(e.now) {
		if p.Alive {
			alive = append(alive, p)
		}
	}
	e.gossip.alivePeers = len(alive)
	if len(alive) > limit {
		e.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
		alive = alive[:limit]
	}
	for _, p := range alive {
		e.send(p.Incarnation, message)
	}
}

// recordReads notes the parts of a prompt that go to an endpoint.
func (e *Edge) recordReads(r *request, row *endpoint) {
	for i, p := range r.call.Parts {
		row.parts[p.ID] = e.now
		if i < len(r.call.Parts)-1 && len(e.gossip.pendingReads) < maxReads {
			e.gossip.pendingReads = append(e.gossip.pendingReads, PartRead{
				Endpoint: row.replica.Endpoint,
				Part:     p.ID,
			})
		}
	}
}

// send sends a message.
func (e *Edge) send(to waxwingwall.Incarnation, message any) {
	e.emit(effect.Send{
		To:      to,
		Message: message,
	})
}

// handleMessage takes in a message of a peer.
func (e *Edge) handleMessage(ev effect.Received) {
	switch m := ev.Message.(type) {
	case Report:
		if e.gossip.reports == nil {
			e.gossip.reports = map[waxwingwall.Incarnation]report{}
		}
		e.gossip.reports[ev.From] = report{
			Report:     m,
			receivedAt: e.now,
		}
		for _, read := range m.Reads {
			if row := e.endpoints.rows[read.Endpoint]; row != nil {
				row.parts[read.Part] = e.now
			}
		}
		e.handleDepartures(m.Departures)
		e.askIfBehind(ev.From, m)
	case Departures:
		e.handleDepartures(m.Departures)
	case AskNews:
		e.answerAskNews(ev.From, m)
	case News:
		e.handleNews(m)
	case Crashes:
		for _, n := range m.Notices {
			e.crashes.table.Merge(e.now, n)
		}
	}
}

// askIfBehind asks a peer that has known more for a while.
func (e *Edge) askIfBehind(from waxwingwall.Incarnation, m Report) {
	g := &e.gossip
	g.newestVersion = max(g.newestVersion, m.Version)
	newer := m.Version > e.config.version || m.Revision > e.endpoints.revision && (e.endpoints.storeUnavailable || !e.endpoints.complete)
	if !newer {
		g.behindSince = time.Time{}
		return
	}
	if g.behindSince.IsZero() {
		g.behindSince = e.now
	}
	if e.now.Sub(g.behindSince) < askDelay || e.now.Sub(g.askedAt) < askInterval {
		return
	}
	g.askedAt = e.now
	e.send(from, AskNews{
		Version:  e.config.version,
		Revision: e.endpoints.revision,
	})
}

// configOutdated reports whether a peer has a newer configuration.
func (e *Edge) configOutdated() bool {
	return e.gossip.newestVersion > e.config.version
}

// answerAskNews tells a peer what it lacks.
func (e *Edge) answerAskNews(to waxwingwall.Incarnation, m AskNews) {
	var n News
	if e.config.version > m.Version {
		n.Configuration = e.config.configuration
	}
	if e.endpoints.complete && e.endpoints.revision > m.Revision {
		n.Revision = e.endpoints.revision
		for _, rows := range e.endpoints.byService {
			for _, row := range rows {
				n.Replicas = append(n.Replicas, row.replica)
			}
		}
	}
	e.send(to, n)
}

// handleNews takes in what a peer knows better.
func (e *Edge) handleNews(m News) {
	e.applyConfiguration(m.Configuration, "peer")
	t := &e.endpoints
	if m.Revision > t.revision && (t.storeUnavailable || !t.complete) {
		e.mergeReplicas(Replicas{
			Snapshot: true,
			Replicas: m.Replicas,
			Revision: m.Revision,
		}, "peer")
	}
}

// sumPeerLoads sums up what the others run.
func (e *Edge) sumPeerLoads() {
	for _, row := range e.endpoints.rows {
		row.peerLoad = load{}
	}
	for from, r := range e.gossip.reports {
		if e.now.Sub(r.receivedAt) > reportValidity {
			delete(e.gossip.reports, from)
			continue
		}
		for _, l := range r.Loads {
			if row := e.endpoints.rows[l.Endpoint]; row != nil {
				row.peerLoad.running += l.Running
				row.peerLoad.prefill += l.Prefill
				row.peerLoad.memory += l.Memory
			}
		}
	}
}

// Messages returns one of each type that routers send to each other, for the
// codec between them.
func Messages() []any {
	return []any{
		Report{},
		Departures{},
		AskNews{},
		News{},
		Crashes{},
	}
}
