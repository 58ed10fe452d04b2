package edge

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
	"waxwingwall/core/member"
	"waxwingwall/core/quarantine"
)

const (
	// minReportInterval is the minimum time between two reports, maxReportInterval
	// the time after which one is sent even if nothing changed. In a fleet of more
	// than reportFanout routers the minimum is longer by reportPerPeer for each
	// further one: each report then covers a smaller part of the fleet's load.
	minReportInterval = 200 * time.Millisecond
	reportPerPeer     = 3 * time.Millisecond
	maxReportInterval = time.Second

	// reportTTL is how long a reported load is used.
	reportTTL = 1500 * time.Millisecond

	// maxReads limits the prompt parts in a report.
	maxReads = 512

	// reportFanout limits the number of peers that receive a report,
	// departureFanout the number that receive a departure at once: in the largest
	// fleet each router receives a departure from several peers.
	reportFanout    = 12
	departureFanout = 36

	// closeFanout limits the peers that a router which callers use exchanges reports with
	// because callers use them too.
	closeFanout = 24

	// Endpoints are reported as troubled from these values on.
	minReportedFailures = 0.15
	minReportedSlowdown = 1.5

	// askInterval is the minimum time between two AskNews messages for the same kind of
	// state.
	askInterval = 300 * time.Millisecond

	// askDelay is how long the store may take to deliver what a peer already has
	// before the peer is asked.
	askDelay = 200 * time.Millisecond
)

// EndpointLoad is the load of one router at one endpoint.
type EndpointLoad struct {
	// Endpoint is the endpoint that the requests were sent to.
	Endpoint waxwingwall.Endpoint

	// Running counts requests. Prefill is the number of their prompt tokens that
	// the endpoint has yet to read; Memory is the number of tokens that they take
	// in its memory.
	Running int
	Prefill waxwingwall.Tokens
	Memory  waxwingwall.Tokens
}

// EndpointTrouble is what a router sees of an endpoint that fails or is slow.
type EndpointTrouble struct {
	// Endpoint is the endpoint.
	Endpoint waxwingwall.Endpoint

	// FailureRate is the fraction of failed attempts, Slowdown the ratio of the actual to
	// the expected time to the first part of an answer.
	FailureRate, Slowdown float64
}

// Report informs a peer of the sender's load and of the versions it has.
type Report struct {
	// Version is the version of the sender's active configuration.
	Version int64

	// Revision is the store's revision of the sender's endpoints.
	Revision int64

	// EndpointsStale is set if the sender's list of endpoints is too old to dispatch
	// requests by it.
	EndpointsStale bool

	// EndpointsAge is how long ago the sender last had all changes of the endpoints in the
	// store; zero if it has not had any, and from earlier versions of this program.
	EndpointsAge time.Duration

	// Loads are the endpoints at which the sender has requests in flight.
	Loads []EndpointLoad

	// Troubles are the endpoints that fail or are slow by the sender's own requests.
	Troubles []EndpointTrouble

	// Cuts are the services whose endpoints the sender does not reach itself.
	Cuts []waxwingwall.Model

	// Departures are leaving endpoints.
	Departures []Departure

	// Reads are the prompt parts that the sender sent to endpoints since its last
	// report, except the last part of each prompt, which other callers don't share.
	Reads []PartRead

	// Suspects are the blocked parts of prompts, for peers that missed the crashes.
	Suspects []quarantine.Suspect

	// Blocked are the notices of requests that are blocked, or were, for peers that missed the
	// crashes; nil from earlier versions of this program.
	Blocked []quarantine.Notice

	// Evacuations are what the sender knows of failure domains that are to be empty.
	Evacuations EvacuationState

	// Queues are the services whose room was short in the last seconds; nil from earlier
	// versions of this program.
	Queues []QueueReport
}

// Sizes of messages and their parts for the queues of links, in bytes: an entry with its
// names, and a message without entries.
const (
	entryBytes   = 64
	messageBytes = 256
)

// Size returns the approximate size of the report in bytes.
func (m Report) Size() int {
	return messageBytes + entryBytes*(len(m.Loads)+len(m.Troubles)+len(m.Cuts)+len(m.Departures)+len(m.Reads)+len(m.Suspects)+len(m.Blocked)) + m.Evacuations.size() + m.queuesSize()
}

// queuesSize returns the approximate size of the reports of queues in bytes.
func (m Report) queuesSize() int {
	n := 0
	for _, q := range m.Queues {
		n += 1 + len(q.Served)
	}
	return entryBytes * n
}

// PartRead is a prompt part that an endpoint has read.
type PartRead struct {
	// Endpoint is the endpoint that read the part.
	Endpoint waxwingwall.Endpoint

	// Part is the ID of the part.
	Part uint64
}

// AskNews requests newer state from a peer.
type AskNews struct {
	// Version and Revision are those of the sender's state; maxVersion and maxRevision
	// stand for state that is not requested.
	Version, Revision int64

	// Asked is the time by the sender's own clock; zero if it does not need to know how old
	// the peer's list of endpoints is.
	Asked time.Duration
}

// News is the answer to AskNews.
type News struct {
	// Configuration is newer than the requester's if its version is set.
	Configuration waxwingwall.Configuration

	// Replicas are all endpoints as of Revision, if that is newer than the
	// requester's.
	Replicas []waxwingwall.Replica
	Revision int64

	// Asked is that of the question, and Age how long ago the sender last had all changes
	// of the endpoints in the store. Asked is zero if it has not had any, and from earlier
	// versions of this program.
	Asked, Age time.Duration

	// Evacuations are what the sender knows of failure domains that are to be empty. It goes
	// with each configuration, so that no router sends by that alone.
	Evacuations EvacuationState

	// Blocked is that of a Report.
	Blocked []quarantine.Notice
}

// Size returns the approximate size of the news in bytes.
func (m News) Size() int {
	c := &m.Configuration
	return messageBytes + 4*entryBytes*(len(m.Replicas)+len(c.Routes)+len(c.Services)+len(c.Accounts)) + entryBytes*len(m.Blocked) + m.Evacuations.size()
}

// Departures reports leaving endpoints without waiting for the next Report.
type Departures struct {
	// Departures are those newly reported by the store.
	Departures []Departure

	// Cold are the endpoints that newly said in an answer that they are cold.
	Cold []ColdEndpoint
}

// Crashes reports requests that crashed endpoints, and what is known of the parts of
// their prompts.
type Crashes struct {
	// Notices and Suspects are merged by the receiver.
	Notices  []quarantine.Notice
	Suspects []quarantine.Suspect
}

// gossipState is the state of the exchange between routers.
type gossipState struct {
	reportedAt  time.Time
	loadChanged bool

	// targets are the peers that get the reports, nil if they have to be chosen again;
	// livePeers counts the live peers then.
	targets   []waxwingwall.Incarnation
	livePeers int

	// pendingReads are the parts sent to endpoints since the last report.
	pendingReads []PartRead

	// reports are the newest reports by peer.
	reports map[waxwingwall.Incarnation]report

	// rooms are what peers last reported of the requests at each service.
	rooms map[waxwingwall.Incarnation]roomReport

	// newestVersion is the newest version of the configuration that a peer has.
	newestVersion int64

	// configuration and endpoints are the waits for newer state.
	configuration, endpoints newsWait

	// clockStart is the start of the clock of AskNews.Asked; zero before its first use.
	clockStart time.Time

	// agingReported is whether endpointsAging held at the last report, staleReported its
	// Report.EndpointsStale.
	agingReported, staleReported bool
}

// report is a Report with its time of arrival.
type report struct {
	Report
	receivedAt time.Time
}

// recordReport keeps the newest report of a peer. Its state only becomes newer, so an older
// one that arrives late takes nothing back.
func (e *Edge) recordReport(from waxwingwall.Incarnation, m Report) {
	g := &e.gossip
	if g.reports == nil {
		g.reports = map[waxwingwall.Incarnation]report{}
	}
	last := g.reports[from]
	m.Version = max(m.Version, last.Version)
	m.Revision = max(m.Revision, last.Revision)
	g.reports[from] = report{
		Report:     m,
		receivedAt: e.now,
	}
	g.newestVersion = max(g.newestVersion, m.Version)
}

// sendReports sends the reports that are due.
func (e *Edge) sendReports() {
	g := &e.gossip
	elapsed := e.now.Sub(g.reportedAt)
	listChanged := e.endpointsAging() != g.agingReported || e.endpointsStale() != g.staleReported
	if elapsed >= maxReportInterval || g.loadChanged && elapsed >= e.reportInterval() || listChanged && elapsed >= minReportInterval {
		g.reportedAt = e.now
		g.loadChanged = false
		r := e.report()
		g.agingReported = e.endpointsAging()
		g.staleReported = r.EndpointsStale
		for _, to := range e.reportTargets() {
			e.send(to, r)
		}
	}
	if len(e.departures.unsent) > 0 || len(e.departures.cold) > 0 {
		e.broadcast(Departures{
			Departures: e.departures.unsent,
			Cold:       e.coldNews(),
		}, departureFanout)
		e.departures.unsent = nil
	}
	e.sumPeerLoads()
}

// reportInterval returns the minimum time between two reports.
func (e *Edge) reportInterval() time.Duration {
	further := max(e.gossip.livePeers-reportFanout, 0)
	return min(minReportInterval+time.Duration(further)*reportPerPeer, maxReportInterval)
}

// reportTargets returns the peers that get the reports: all live ones if they are few, or
// reportFanout of them. They stay the same while they live, since each one costs a connection, are others
// at each router, and get notices of draws as well (escrow.Witnesses).
func (e *Edge) reportTargets() []waxwingwall.Incarnation {
	g := &e.gossip
	if g.targets != nil {
		return g.targets
	}
	g.targets = make([]waxwingwall.Incarnation, 0, reportFanout)
	for _, p := range e.view.Peers(e.now) {
		if p.Alive {
			g.targets = append(g.targets, p.Incarnation)
		}
	}
	g.livePeers = len(g.targets)
	if g.livePeers <= reportFanout {
		return g.targets
	}
	witnesses := escrow.Witnesses(e.Self, g.targets)
	if len(witnesses) == len(g.targets) {
		return g.targets
	}
	g.targets = slices.Clone(witnesses[:reportFanout])
	for _, peer := range e.closePeers() {
		if !slices.Contains(g.targets, peer) {
			g.targets = append(g.targets, peer)
		}
	}
	return g.targets
}

// closePeers returns the live peers that are listed to callers, if this router is as well
// and they are few. Where the requests are, the load of each endpoint and the trouble with
// it have to be known.
func (e *Edge) closePeers() []waxwingwall.Incarnation {
	peers := e.view.Peers(e.now)
	fastest := e.info.LinkMbps
	link := func(i waxwingwall.Incarnation) int {
		if n := e.nodes.rows[i]; n != nil {
			return n.row.LinkMbps
		}
		return 0
	}
	for _, p := range peers {
		if p.Alive {
			fastest = max(fastest, link(p.Incarnation))
		}
	}
	if e.info.LinkMbps*slowLinkFactor < fastest {
		return nil
	}
	var listed []waxwingwall.Incarnation
	for _, p := range peers {
		if p.Alive && !p.Leaving && link(p.Incarnation)*slowLinkFactor >= fastest {
			listed = append(listed, p.Incarnation)
		}
	}
	if len(listed) > closeFanout {
		return nil
	}
	return listed
}

// report returns the report of this router.
func (e *Edge) report() Report {
	r := Report{
		Version:        e.config.version,
		Revision:       e.endpoints.revision,
		EndpointsStale: e.endpointsStale(),
		EndpointsAge:   e.endpointsAge(),
		Cuts:           e.cuts(),
		Departures:     append(e.announcements.list(e.now), e.departures.list(e.now)...),
		Reads:          e.gossip.pendingReads,
		Suspects:       e.crashes.parts.List(e.now),
		Blocked:        e.crashes.table.List(e.now, maxBlockedNotices, true),
		Evacuations:    e.evacuationState(),
		Queues:         e.queueReports(),
	}
	e.gossip.pendingReads = nil
	for _, s := range e.config.configuration.Services {
		for _, row := range e.endpoints.byService[s.Name] {
			row.decay(e.now)
			if row.failureRate >= minReportedFailures || row.slowdown >= minReportedSlowdown {
				r.Troubles = append(r.Troubles, EndpointTrouble{
					Endpoint:    row.replica.Endpoint,
					FailureRate: row.failureRate,
					Slowdown:    row.slowdown,
				})
			}
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

// broadcast sends a message to the live peers, or to a random selection of limit
// peers if there are more.
func (e *Edge) broadcast(message any, limit int) {
	var live []member.Peer
	for _, p := range e.view.Peers(e.now) {
		if p.Alive {
			live = append(live, p)
		}
	}
	if len(live) > limit {
		e.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		live = live[:limit]
	}
	for _, p := range live {
		e.send(p.Incarnation, message)
	}
}

// recordReads records the prompt parts that are sent to an endpoint.
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

// send emits a message to a peer.
func (e *Edge) send(to waxwingwall.Incarnation, message any) {
	e.emit(effect.Send{
		To:      to,
		Message: message,
	})
}

// handleMessage handles a message from a peer.
func (e *Edge) handleMessage(ev effect.Received) {
	switch m := ev.Message.(type) {
	case Report:
		if !m.valid() {
			e.log("message_rejected", "", field("peer", waxwingwall.Excerpt(ev.From.String())), field("message", "report"))
			return
		}
		e.recordReport(ev.From, m)
		e.recordRoom(ev.From, m)
		e.learnEvacuations(ev.From, m.Evacuations, time.Time{})
		for _, read := range m.Reads {
			if row := e.endpoints.rows[read.Endpoint]; row != nil {
				row.parts[read.Part] = e.now
			}
		}
		e.handleDepartures(m.Departures)
		e.mergeSuspects(m.Suspects)
		e.learnCrashes(ev.From, "report", m.Blocked)
		e.askNews()
	case Departures:
		e.handleDepartures(m.Departures)
		e.mergeCold(ev.From, m.Cold)
	case AskNews:
		e.answerAskNews(ev.From, m)
	case News:
		e.handleNews(ev.From, m)
	case escrow.GrantNotice:
		if len(m.Changes) > 0 {
			e.notices.Learn(e.now, ev.From, m)
		}
		e.keepMarks(ev)
	case escrow.SealMarks:
		e.keepMarks(ev)
	case StreamNotice:
		e.handleNotice(m)
	case AskStream:
		e.handleAskStream(ev.From, m)
	case StreamAnswer:
		e.handleStreamAnswer(m)
	case Crashes:
		e.learnCrashes(ev.From, "notice", m.Notices)
		e.mergeSuspects(m.Suspects)
	}
}

// mergeSuspects applies what a peer knows of parts of prompts.
func (e *Edge) mergeSuspects(suspects []quarantine.Suspect) {
	for _, s := range suspects {
		e.crashes.parts.Merge(e.now, s)
	}
}

// sumPeerLoads sums up the loads reported by the peers.
func (e *Edge) sumPeerLoads() {
	for _, row := range e.endpoints.rows {
		row.peerLoad = load{}
		row.peerFailureRate = 0
		row.peerSlowdown = 0
	}
	for from, r := range e.gossip.reports {
		if e.now.Sub(r.receivedAt) > reportTTL {
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
		for _, trouble := range r.Troubles {
			if row := e.endpoints.rows[trouble.Endpoint]; row != nil {
				row.peerFailureRate = max(row.peerFailureRate, trouble.FailureRate)
				row.peerSlowdown = max(row.peerSlowdown, trouble.Slowdown)
			}
		}
	}
}

// Messages returns one message of each type exchanged between routers, for
// registration with the codec.
func Messages() []any {
	return []any{
		Report{},
		Departures{},
		AskNews{},
		News{},
		Crashes{},
		StreamNotice{},
		AskStream{},
		StreamAnswer{},
	}
}
