package edge

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/member"
	"waxwingwall/core/quarantine"
)

const (
	// tellEvery is the least time between two reports of load, tellAnyway that
	// after which one is sent though nothing changed.
	tellEvery  = 200 * time.Millisecond
	tellAnyway = time.Second

	// loadLife is how long a report of load is believed.
	loadLife = 1500 * time.Millisecond

	// maxReads bounds the parts of prompts in a report.
	maxReads = 512

	// maxTold bounds to how many peers a report goes, urgentTold to how many a
	// departure does at once: in the largest fleet each router hears of it from
	// several.
	maxTold    = 12
	urgentTold = 36

	// askPause is the least time between two questions for what a peer knows
	// better.
	askPause = 300 * time.Millisecond

	// behindTime is how long the store gets to tell what a peer knows already.
	behindTime = 200 * time.Millisecond
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

// gossip is what routers tell each other.
type gossip struct {
	told        time.Time
	loadChanged bool

	// peers counts those alive when something was last told to all.
	peers int

	// reads are the parts sent to endpoints since then.
	reads []PartRead

	// reports are the newest of each peer.
	reports map[waxwingwall.Incarnation]report

	// newest is the newest version of the configuration that a peer has.
	newest int64

	// behind is since when a peer is known to know more, asked when one was
	// last asked.
	behind time.Time
	asked  time.Time
}

// report is a Report with the time when it came.
type report struct {
	Report
	at time.Time
}

// gossip sends a report when one is due.
func (e *Edge) gossip() {
	g := &e.news
	past := e.now.Sub(g.told)
	if past >= tellAnyway || g.loadChanged && past >= tellEvery {
		g.told = e.now
		g.loadChanged = false
		e.tellAll(e.report(), maxTold)
	}
	if len(e.departures.fresh) > 0 {
		e.tellAll(Departures{
			Departures: e.departures.fresh,
		}, urgentTold)
		e.departures.fresh = nil
	}
	e.heardLoads()
}

// report returns what this router runs and knows.
func (e *Edge) report() Report {
	r := Report{
		Version:    e.rules.version,
		Revision:   e.endpoints.revision,
		Departures: e.departures.list(e.now),
		Reads:      e.news.reads,
	}
	e.news.reads = nil
	for _, s := range e.rules.configuration.Services {
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

// tellAll sends a message to the peers that are alive; in a large fleet to some
// of them, others each time.
func (e *Edge) tellAll(message any, most int) {
	var alive []member.Peer
	for _, p := range e.view.Peers(e.now) {
		if p.Alive {
			alive = append(alive, p)
		}
	}
	e.news.peers = len(alive)
	if len(alive) > most {
		e.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
		alive = alive[:most]
	}
	for _, p := range alive {
		e.send(p.Incarnation, message)
	}
}

// noteReads notes the parts of a prompt that go to an endpoint.
func (e *Edge) noteReads(r *request, row *endpoint) {
	for i, p := range r.call.Parts {
		row.parts[p.ID] = e.now
		if i < len(r.call.Parts)-1 && len(e.news.reads) < maxReads {
			e.news.reads = append(e.news.reads, PartRead{
				Endpoint: row.replica.Endpoint,
				Part:     p.ID,
			})
		}
	}
}

// send sends a message.
func (e *Edge) send(to waxwingwall.Incarnation, message any) {
	e.do(effect.Send{
		To:      to,
		Message: message,
	})
}

// received takes in a message of a peer.
func (e *Edge) received(ev effect.Received) {
	switch m := ev.Message.(type) {
	case Report:
		if e.news.reports == nil {
			e.news.reports = map[waxwingwall.Incarnation]report{}
		}
		e.news.reports[ev.From] = report{
			Report: m,
			at:     e.now,
		}
		for _, read := range m.Reads {
			if row := e.endpoints.rows[read.Endpoint]; row != nil {
				row.parts[read.Part] = e.now
			}
		}
		e.heardDepartures(m.Departures)
		e.compare(ev.From, m)
	case Departures:
		e.heardDepartures(m.Departures)
	case AskNews:
		e.answer(ev.From, m)
	case News:
		e.learn(m)
	case Crashes:
		for _, n := range m.Notices {
			e.suspects.table.Merge(e.now, n)
		}
	}
}

// compare asks a peer that has known more for a while.
func (e *Edge) compare(from waxwingwall.Incarnation, m Report) {
	g := &e.news
	g.newest = max(g.newest, m.Version)
	newer := m.Version > e.rules.version || m.Revision > e.endpoints.revision && (e.endpoints.lost || !e.endpoints.whole)
	if !newer {
		g.behind = time.Time{}
		return
	}
	if g.behind.IsZero() {
		g.behind = e.now
	}
	if e.now.Sub(g.behind) < behindTime || e.now.Sub(g.asked) < askPause {
		return
	}
	g.asked = e.now
	e.send(from, AskNews{
		Version:  e.rules.version,
		Revision: e.endpoints.revision,
	})
}

// outdated reports whether a peer has a newer configuration.
func (e *Edge) outdated() bool {
	return e.news.newest > e.rules.version
}

// answer tells a peer what it lacks.
func (e *Edge) answer(to waxwingwall.Incarnation, m AskNews) {
	var n News
	if e.rules.version > m.Version {
		n.Configuration = e.rules.configuration
	}
	if e.endpoints.whole && e.endpoints.revision > m.Revision {
		n.Revision = e.endpoints.revision
		for _, rows := range e.endpoints.byService {
			for _, row := range rows {
				n.Replicas = append(n.Replicas, row.replica)
			}
		}
	}
	e.send(to, n)
}

// learn takes in what a peer knows better.
func (e *Edge) learn(m News) {
	e.configured(m.Configuration, "peer")
	t := &e.endpoints
	if m.Revision > t.revision && (t.lost || !t.whole) {
		e.merge(Replicas{
			Snapshot: true,
			Replicas: m.Replicas,
			Revision: m.Revision,
		}, "peer")
	}
}

// heardLoads sums up what the others run.
func (e *Edge) heardLoads() {
	for _, row := range e.endpoints.rows {
		row.others = load{}
	}
	for from, r := range e.news.reports {
		if e.now.Sub(r.at) > loadLife {
			delete(e.news.reports, from)
			continue
		}
		for _, l := range r.Loads {
			if row := e.endpoints.rows[l.Endpoint]; row != nil {
				row.others.running += l.Running
				row.others.prefill += l.Prefill
				row.others.memory += l.Memory
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
