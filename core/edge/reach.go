package edge

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/member"
)

// A router may be cut off from endpoints that its peers reach. It then sends its requests
// to them through a tunnel, a connection that a peer makes for it. The peer copies bytes and
// decides nothing: run, bill, deadline and cancellation stay with the router that took the
// request.
//
// A connection that fails is no proof that the router is cut off: the endpoint may be down, or
// the router's own link full. So other endpoints of the service are tried, and then the same ones
// directly and through peers: the router is cut off if peers reach at once what it does not.

const (
	// cutWindow is how long a failed connection counts.
	cutWindow = 2 * time.Second

	// confirmTunnels is the number of tunnels by which peers are asked at a time whether they
	// reach endpoints of a service, while the router tries the same endpoints itself. The time
	// between two rounds is askPeersInterval, or answeredInterval while answers still come from
	// the service. For confirmEndpoints, all if there are fewer, a tunnel must succeed and a
	// connection fail that begin within sameTime of each other, since endpoints come and go. A tunnel that takes maxTunnelTime
	// or more does not show that the router's link is clear: a connection over a full one
	// takes half as long.
	confirmTunnels   = 4
	confirmEndpoints = 2
	sameTime         = 100 * time.Millisecond
	askPeersInterval = 500 * time.Millisecond
	answeredInterval = time.Second
	maxTunnelTime    = 300 * time.Millisecond

	// answersTime is how long after an answer from a service a single failed connection
	// to it is no reason to ask peers.
	answersTime = 500 * time.Millisecond

	// minSilence is the shortest silence of a service that makes the router test its
	// connections, silenceInterval the time between two such tests.
	minSilence      = 300 * time.Millisecond
	silenceInterval = time.Second

	// idleInterval is the time without an answer and without a connection after which the
	// connections to a service are tested, whether or not there are requests for it.
	idleInterval = 1500 * time.Millisecond

	// healInterval is the time between two connections that test whether the router
	// reaches its endpoints again; healEndpoints is the number that must succeed until
	// all endpoints of the service are used directly.
	healInterval  = 300 * time.Millisecond
	healEndpoints = 2

	// tunnelPeers is the number of peers among which a router chooses the one that makes
	// a tunnel. One that has reached the service is preferred for goodPeerTime; one that
	// has not is avoided for cutPeerPause, one that makes no tunnel for lostPeerPause.
	tunnelPeers   = 3
	goodPeerTime  = 5 * time.Second
	cutPeerPause  = 3 * time.Second
	lostPeerPause = time.Second

	// maxTunnelFailures is the number of tunnels in a row that must fail to reach a service
	// until no peer is asked for outagePause: the endpoints are down. outageTrials is the
	// number of tunnels that are tried after that.
	maxTunnelFailures = 10
	outageTrials      = 2
	outagePause       = time.Second

	// tunnelCostMs is the penalty for a tunnel, in milliseconds.
	tunnelCostMs = 20.0
)

// ProbeTunnel requests a tunnel through a peer, to find out whether the peer reaches an
// endpoint and how long the way takes. The answer is TunnelProbed.
type ProbeTunnel struct {
	effect.IsAction

	// Peer is the peer, Via the address at which it makes tunnels.
	Peer waxwingwall.Incarnation
	Via  netip.AddrPort

	// Address is the address of the endpoint.
	Address netip.AddrPort
}

// TunnelProbed is the event of a tunnel that was requested by ProbeTunnel, or of none.
type TunnelProbed struct {
	effect.IsEvent

	// Peer and Address are those of the ProbeTunnel.
	Peer    waxwingwall.Incarnation
	Address netip.AddrPort

	// Took is the time until there was a tunnel, or the attempt ended.
	Took time.Duration

	// Reached is set if there is a tunnel, PeerFailed if the peer could not be reached or
	// makes none.
	Reached, PeerFailed bool
}

// reach is what a router knows of its own paths to endpoints.
type reach struct {
	services map[waxwingwall.Model]*serviceReach

	// peers is what is known of peers that were asked for tunnels.
	peers map[tunnelKey]tunnelPeer
}

// tunnelKey identifies a peer and a service; the service is empty for what concerns tunnels
// to all of them.
type tunnelKey struct {
	peer    waxwingwall.Incarnation
	service waxwingwall.Model
}

// tunnelPeer is what is known of the tunnels that a peer made.
type tunnelPeer struct {
	// reached is set if the last tunnel reached an endpoint; it failed otherwise. It
	// counts until the time until.
	reached bool
	until   time.Time
}

// serviceReach is what a router knows of its paths to the endpoints of a service.
type serviceReach struct {
	// cut is set while some endpoints are reached through peers.
	cut bool

	// askedAt is when peers were last asked whether they reach the service.
	askedAt time.Time

	// failures counts the tunnels in a row that reached no endpoint; until pausedUntil no
	// further one is tried.
	failures    int
	pausedUntil time.Time

	// answeredAt is when an answer last began or ended that came without a tunnel, dialedAt
	// when a connection was last made without one.
	answeredAt, dialedAt time.Time

	// testedAt and healedAt are the times of the last test of a silent or idle service and of
	// the last test whether the cut is over; tests counts the latter.
	testedAt, healedAt time.Time
	tests              int
}

func (t *reach) init() {
	t.services = map[waxwingwall.Model]*serviceReach{}
	t.peers = map[tunnelKey]tunnelPeer{}
}

// service returns the row of a service.
func (t *reach) service(name waxwingwall.Model) *serviceReach {
	s := t.services[name]
	if s == nil {
		s = &serviceReach{}
		t.services[name] = s
	}
	return s
}

// recordDial records a connection that was made, or failed, without a tunnel.
func (e *Edge) recordDial(ev Dialed) {
	if ev.Abandoned {
		return
	}
	for _, s := range e.config.configuration.Services {
		for _, row := range e.endpoints.byService[s.Name] {
			switch {
			case row.replica.Address != ev.Address:
			case ev.Failed:
				row.dialFailedAt = e.now
				row.dialFailedFrom = e.now.Add(-ev.Took)
				row.comparePaths(e.now)
				e.confirmCut(s.Name)
				e.checkCut(s.Name)
			default:
				row.dialedAt = e.now
				e.reach.service(s.Name).dialedAt = e.now
				row.dialFailedAt = time.Time{}
				row.peersOnlyAt = time.Time{}
				e.endTunnels(row)
			}
		}
	}
}

// countsForLink reports whether a connection shows the state of the router's link: one that
// failed because the router is cut off does not.
func (e *Edge) countsForLink(ev Dialed) bool {
	if !ev.Failed {
		return true
	}
	for _, s := range e.config.configuration.Services {
		for _, row := range e.endpoints.byService[s.Name] {
			if row.replica.Address == ev.Address && row.tunneled {
				return false
			}
		}
	}
	return true
}

// checkCut decides whether the router is cut off from a service, after a connection to it
// failed.
func (e *Edge) checkCut(name waxwingwall.Model) {
	s := e.reach.service(name)
	var failed, others []*endpoint
	var dialedAt, firstFailure time.Time
	for _, row := range e.endpoints.byService[name] {
		switch {
		case !row.usable():
		case !row.dialFailedAt.IsZero() && e.now.Sub(row.dialFailedAt) < cutWindow:
			failed = append(failed, row)
			if firstFailure.IsZero() || row.dialFailedAt.Before(firstFailure) {
				firstFailure = row.dialFailedAt
			}
		default:
			others = append(others, row)
			if row.dialedAt.After(dialedAt) {
				dialedAt = row.dialedAt
			}
		}
	}
	if len(failed) == 0 || s.cut || !dialedAt.Before(firstFailure) {
		return
	}
	interval := askPeersInterval
	if e.now.Sub(s.answeredAt) < answersTime {
		if len(failed) == 1 {
			return
		}
		interval = answeredInterval
	}
	if e.now.Sub(s.askedAt) >= interval {
		e.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		e.askPeers(name, s, append(failed, others...))
	}
}

// askPeers asks some peers whether they reach endpoints, and tries these at the same time.
func (e *Edge) askPeers(name waxwingwall.Model, s *serviceReach, rows []*endpoint) {
	peers := e.tunnelCandidates(name)
	if len(peers) == 0 {
		return
	}
	s.askedAt = e.now
	e.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for i := range confirmTunnels {
		row, peer := rows[i%len(rows)], peers[i%len(peers)]
		if i < len(rows) {
			e.emit(Probe{
				Address: row.replica.Address,
			})
		}
		e.emit(ProbeTunnel{
			Peer:    peer,
			Via:     e.tunnelAddress(peer),
			Address: row.replica.Address,
		})
	}
}

// confirmCut sends the requests for a service through peers once they reach endpoints that
// this router does not.
func (e *Edge) confirmCut(name waxwingwall.Model) {
	s := e.reach.service(name)
	confirmed, usable := 0, 0
	for _, row := range e.endpoints.byService[name] {
		if !row.usable() {
			continue
		}
		usable++
		if e.now.Sub(row.peersOnlyAt) < cutWindow {
			confirmed++
		}
	}
	if !s.cut && usable > 0 && confirmed >= min(confirmEndpoints, usable) {
		e.beginTunnels(name, s)
	}
}

// comparePaths records that a peer reached the endpoint while this router did not, if that is
// what the last connection and the last tunnel show.
func (r *endpoint) comparePaths(now time.Time) {
	if !r.dialFailedAt.IsZero() && r.dialFailedFrom.Sub(r.peerReachedFrom).Abs() < sameTime {
		r.peersOnlyAt = now
	}
}

// handleTunnelProbed records whether a peer reaches an endpoint.
func (e *Edge) handleTunnelProbed(ev TunnelProbed) {
	for _, service := range e.config.configuration.Services {
		for _, row := range e.endpoints.byService[service.Name] {
			if row.replica.Address != ev.Address {
				continue
			}
			e.recordPeer(ev.Peer, service.Name, ev.Reached, ev.PeerFailed)
			if ev.Reached && ev.Took < maxTunnelTime {
				row.peerReachedFrom = e.now.Add(-ev.Took)
				row.comparePaths(e.now)
				e.confirmCut(service.Name)
			}
		}
	}
}

// recordPeer records whether a peer reached an endpoint of a service.
func (e *Edge) recordPeer(peer waxwingwall.Incarnation, service waxwingwall.Model, reached, peerFailed bool) {
	key, until := tunnelKey{peer, service}, e.now.Add(cutPeerPause)
	switch {
	case peerFailed:
		key.service = ""
		until = e.now.Add(lostPeerPause)
	case reached:
		until = e.now.Add(goodPeerTime)
	}
	e.reach.peers[key] = tunnelPeer{
		reached: reached,
		until:   until,
	}
}

// Silenced returns the addresses of the endpoints whose failure domains are to be empty, with the
// time from which they are asked nothing either. The result must not be changed.
func (e *Edge) Silenced() map[netip.AddrPort]time.Time {
	e.Paths()
	return e.endpoints.silenced
}

// probe requests a connection to an endpoint without a tunnel.
func (e *Edge) probe(row *endpoint) {
	e.emit(Probe{
		Address:     row.replica.Address,
		DialTimeout: e.dialTimeout(),
	})
}

// beginTunnels sends the requests for a service through peers.
func (e *Edge) beginTunnels(name waxwingwall.Model, s *serviceReach) {
	s.cut = true
	s.failures = 0
	s.pausedUntil = time.Time{}
	s.healedAt = e.now
	rows := e.endpoints.byService[name]
	for _, row := range rows {
		row.tunneled = true
		row.failures = 0
		row.failureRate = 0
		row.backoffUntil = time.Time{}
	}
	e.link.dials = slices.DeleteFunc(e.link.dials, func(d dial) bool { return d.Failed && !e.countsForLink(d.Dialed) })
	e.endpoints.paths = nil
	e.gossip.loadChanged = true
	e.log("endpoints_cut_off", "", field("service", name), field("endpoints", len(rows)))
}

// endTunnels uses an endpoint directly again, and all of its service once healEndpoints of
// them are reached.
func (e *Edge) endTunnels(row *endpoint) {
	if !row.tunneled {
		return
	}
	name := row.replica.Service
	row.tunneled = false
	e.endpoints.paths = nil
	rows := e.endpoints.byService[name]
	direct := 0
	for _, r := range rows {
		if !r.tunneled {
			direct++
		}
	}
	if direct < min(healEndpoints, len(rows)) {
		return
	}
	for _, r := range rows {
		r.tunneled = false
		r.dialFailedAt = time.Time{}
	}
	e.reach.service(name).cut = false
	e.gossip.loadChanged = true
	e.log("endpoints_reached", "", field("service", name), field("endpoints", len(rows)))
}

// reachStep tests the connections to services that are silent, and whether the router
// reaches endpoints again.
func (e *Edge) reachStep() {
	// Quick connections show that the link is clear, on which requests are sent by a list
	// that is out of date. These tests are none for that.
	stale := e.endpointsStale()
	if !stale {
		e.testSilent()
	}
	for _, service := range e.config.configuration.Services {
		s := e.reach.service(service.Name)
		switch {
		case s.cut:
			e.testHealed(service.Name, s)
		case e.now.Sub(s.askedAt) < cutWindow:
			e.checkCut(service.Name)
		case !stale:
			e.testIdle(service.Name, s)
		}
	}
	for key, p := range e.reach.peers {
		if !e.now.Before(p.until) {
			delete(e.reach.peers, key)
		}
	}
}

// testHealed tests whether the router reaches a service again from which it is cut off.
func (e *Edge) testHealed(name waxwingwall.Model, s *serviceReach) {
	if e.now.Sub(s.healedAt) < healInterval {
		return
	}
	rows := slices.DeleteFunc(slices.Clone(e.endpoints.byService[name]), func(r *endpoint) bool { return !r.tunneled })
	if len(rows) == 0 {
		s.cut = false
		return
	}
	if rows = notEvacuated(rows); len(rows) == 0 {
		return
	}
	s.healedAt = e.now
	s.tests++
	e.probe(rows[s.tests%len(rows)])
}

// testIdle tests the connections to a service of which the router has heard nothing for some
// time, so that it notices a cut before its next caller does.
func (e *Edge) testIdle(name waxwingwall.Model, s *serviceReach) {
	rows := notEvacuated(e.endpoints.byService[name])
	if s.testedAt.IsZero() {
		s.testedAt = e.now
	}
	for _, at := range []time.Time{s.answeredAt, s.dialedAt, s.testedAt} {
		if e.now.Sub(at) < idleInterval {
			return
		}
	}
	if len(rows) == 0 || !e.drainStart.IsZero() {
		return
	}
	s.testedAt = e.now
	e.probe(rows[e.rng.IntN(len(rows))])
}

// testSilent makes connections to endpoints that have not answered in time while nothing
// else came from their service: what was sent on open connections may be lost.
func (e *Edge) testSilent() {
	silent := map[waxwingwall.Model]*request{}
	for _, r := range e.requests {
		if !e.isSilent(r) {
			continue
		}
		if first := silent[r.service]; first == nil || r.id < first.id {
			silent[r.service] = r
		}
	}
	for _, service := range e.config.configuration.Services {
		if r := silent[service.Name]; r != nil {
			e.testEndpoint(r.endpoint)
		}
	}
}

// isSilent reports whether an attempt without a tunnel has no answer in time, nor any other
// request of its service.
func (e *Edge) isSilent(r *request) bool {
	wait := max(r.route.Objective, minSilence)
	return r.endpoint != nil && r.via.VM == "" && !r.answerStarted && e.now.Sub(r.sentAt) >= wait &&
		e.now.Sub(e.reach.service(r.service).answeredAt) >= wait
}

// testEndpoint makes a connection to a silent endpoint, at most one in silenceInterval for
// a service.
func (e *Edge) testEndpoint(row *endpoint) {
	s := e.reach.service(row.replica.Service)
	if row.tunneled || row.evacuated || e.now.Sub(s.testedAt) < silenceInterval {
		return
	}
	s.testedAt = e.now
	e.probe(row)
}

// recordAnswer records the beginning or the end of an answer.
func (e *Edge) recordAnswer(r *request) {
	s := e.reach.service(r.service)
	if r.via.VM == "" {
		s.answeredAt = e.now
		return
	}
	s.failures = 0
	e.recordPeer(r.via, r.service, true, false)
}

// recordTunnelFailure records that a tunnel was not made. The endpoint is to blame if the
// peer has reached others of its service; another peer is asked next if not.
func (e *Edge) recordTunnelFailure(r *request, target *endpoint, ev AttemptEnded) {
	if ev.PeerFailed {
		e.link.addDial(e.now, Dialed{
			Address: e.tunnelAddress(r.via),
			Took:    e.now.Sub(r.sentAt),
			Failed:  true,
		})
		e.recordPeer(r.via, r.service, false, true)
		return
	}
	if e.reach.peers[tunnelKey{r.via, r.service}].reached {
		target.recordUnreachable(e.now)
	} else {
		e.recordPeer(r.via, r.service, false, false)
	}
	s := e.reach.service(r.service)
	s.failures++
	if s.failures >= maxTunnelFailures {
		s.failures = maxTunnelFailures - outageTrials
		s.pausedUntil = e.now.Add(outagePause)
	}
}

// chooseTunnel returns the peer through which a request reaches an endpoint; false if the
// router reaches it itself, or if no peer is known that may.
func (e *Edge) chooseTunnel(row *endpoint) (waxwingwall.Incarnation, bool) {
	if !row.tunneled {
		return waxwingwall.Incarnation{}, false
	}
	service := row.replica.Service
	if e.now.Before(e.reach.service(service).pausedUntil) {
		return waxwingwall.Incarnation{}, false
	}
	peers := e.tunnelCandidates(service)
	if len(peers) == 0 {
		return waxwingwall.Incarnation{}, false
	}
	// Each router that is cut off prefers other peers, which shares the load among them.
	self := xxhash.Sum64String(e.Self.String())
	weights := make(map[waxwingwall.Incarnation]uint64, len(peers))
	for _, p := range peers {
		weights[p] = mix(self, xxhash.Sum64String(p.String()))
	}
	slices.SortFunc(peers, func(a, b waxwingwall.Incarnation) int { return cmp.Compare(weights[b], weights[a]) })
	return slices.MinFunc(peers[:min(len(peers), tunnelPeers)], func(a, b waxwingwall.Incarnation) int {
		return cmp.Compare(e.peerRunning(a), e.peerRunning(b))
	}), true
}

// tunnelCandidates returns the peers that reach a service as far as this router knows, or
// those that may if it knows of none. Those with slow links are left out if there are others.
func (e *Edge) tunnelCandidates(service waxwingwall.Model) []waxwingwall.Incarnation {
	var all, good, fast []waxwingwall.Incarnation
	for _, p := range e.view.Peers(e.now) {
		if !e.mayTunnel(p, service) {
			continue
		}
		all = append(all, p.Incarnation)
		if e.reach.peers[tunnelKey{p.Incarnation, service}].reached {
			good = append(good, p.Incarnation)
		}
	}
	if len(good) > 0 {
		all = good
	}
	fastest := 0
	for _, p := range all {
		fastest = max(fastest, e.peerLink(p))
	}
	for _, p := range all {
		if e.peerLink(p)*slowLinkFactor >= fastest {
			fast = append(fast, p)
		}
	}
	return fast
}

// mayTunnel reports whether a peer may be asked for a tunnel to a service.
func (e *Edge) mayTunnel(p member.Peer, service waxwingwall.Model) bool {
	if !p.Alive || p.Suspect || !p.Reachable || p.Leaving || !e.tunnelAddress(p.Incarnation).IsValid() {
		return false
	}
	for _, key := range []tunnelKey{{p.Incarnation, ""}, {p.Incarnation, service}} {
		if known, ok := e.reach.peers[key]; ok && !known.reached {
			return false
		}
	}
	return !slices.Contains(e.gossip.reports[p.Incarnation].Cuts, service)
}

// peerRunning returns the number of requests that a peer reports.
func (e *Edge) peerRunning(p waxwingwall.Incarnation) int {
	n := 0
	for _, l := range e.gossip.reports[p].Loads {
		n += l.Running
	}
	return n
}

// Paths returns the addresses of the endpoints to which a peer may make a tunnel, each with
// whether this router reaches it without a peer. No new tunnel leads to an endpoint whose
// failure domain is to be empty. The result must not be changed.
func (e *Edge) Paths() map[netip.AddrPort]bool {
	t := &e.endpoints
	if t.paths == nil {
		t.evacuated, t.silenced = nil, nil
		t.paths = make(map[netip.AddrPort]bool, len(t.rows))
		for _, row := range t.rows {
			if !row.evacuated {
				t.paths[row.replica.Address] = !row.tunneled
				continue
			}
			if t.evacuated == nil {
				t.evacuated = map[Instance]time.Time{}
				t.silenced = map[netip.AddrPort]time.Time{}
			}
			t.silenced[row.replica.Address] = e.evacuations.silentFrom[row.replica.Domain]
			t.evacuated[Instance{Endpoint: row.replica.Endpoint, Born: row.replica.Born}] = e.now.Add(unlimited)
		}
	}
	return t.paths
}

// isCut reports whether the router is cut off from a service.
func (e *Edge) isCut(name waxwingwall.Model) bool {
	s := e.reach.services[name]
	return s != nil && s.cut
}

// cuts returns the services from which this router is cut off.
func (e *Edge) cuts() []waxwingwall.Model {
	var all []waxwingwall.Model
	for _, service := range e.config.configuration.Services {
		if e.isCut(service.Name) {
			all = append(all, service.Name)
		}
	}
	return all
}
