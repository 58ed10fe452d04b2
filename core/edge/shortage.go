package edge

import (
	"maps"
	"math"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/queue"
)

const (
	// maxServed limits the accounts of a service in a report, maxQueues the services.
	maxServed = 32
	maxQueues = 64

	// shortTime is how long after a request last waited the served tokens are reported.
	shortTime = 5 * time.Second
)

// CodeNoRoom is the code of a refusal for want of room at the endpoints of a service.
const CodeNoRoom = "no_room"

// QueueReport is what a router reports of a service whose room was short in the last seconds.
type QueueReport struct {
	// Service is the service.
	Service waxwingwall.Model

	// Waiting counts the requests that wait at the sender.
	Waiting int

	// RunTime is the usual time of an attempt at the sender; zero if it doesn't know it.
	RunTime time.Duration

	// Served are the tokens that accounts were served by the sender, which lose weight with
	// their age; those of the accounts with the most.
	Served []queue.AccountTokens
}

// valid reports whether a router can have sent the report.
func (r *QueueReport) valid() bool {
	for _, s := range r.Served {
		if !isCount(s.Tokens, maxTokens) {
			return false
		}
	}
	return r.Service != "" && isCount(r.Waiting, queue.MaxWaiting) && isCount(r.RunTime, maxDuration) && len(r.Served) <= maxServed
}

// roomReport is what a peer last reported of the requests at each service.
type roomReport struct {
	at               time.Time
	running, waiting map[waxwingwall.Model]int
	runTimes         map[waxwingwall.Model]time.Duration
	served           map[waxwingwall.Model][]queue.AccountTokens
}

// serviceTurns is the queue of a service.
type serviceTurns struct {
	*queue.Queue

	// requests are those that wait.
	requests map[uint64]*request

	// shortAt is when a request last had to wait or was refused for want of room; zero if none
	// has.
	shortAt time.Time

	// runTime is the smoothed time of attempts with a whole answer; zero if there was none.
	runTime time.Duration

	// peers is the result of peerRooms as of peersAt.
	peers   []peerRoom
	peersAt time.Time
}

// turn is the place of a request in the queue of its service.
type turn struct {
	// taken is set once the request may be sent; waits while it waits, since then.
	taken, waits bool
	since        time.Time
}

// queueOf returns the queue of a service.
func (e *Edge) queueOf(service waxwingwall.Model) *serviceTurns {
	q := e.queues[service]
	if q == nil {
		q = &serviceTurns{
			Queue:    queue.New(),
			requests: map[uint64]*request{},
		}
		e.queues[service] = q
	}
	return q
}

// usualRunTime returns the usual time of an attempt with a whole answer, by the peers if none had
// one here; zero if it isn't known. Nobody waits before it is: how soon room comes free is not
// known either.
func (e *Edge) usualRunTime(service waxwingwall.Model, q *serviceTurns) time.Duration {
	longest := q.runTime
	if longest == 0 {
		for _, r := range e.gossip.rooms {
			longest = max(longest, r.runTimes[service])
		}
	}
	return longest
}

// short reports whether a request had to wait in the last seconds.
func (q *serviceTurns) short(now time.Time) bool {
	return q.Len() > 0 || !q.shortAt.IsZero() && now.Sub(q.shortAt) <= shortTime
}

// recordRun records the end of an attempt that may have run.
func (e *Edge) recordRun(r *request, complete bool) {
	q := e.queueOf(r.service)
	q.Freed(e.now)
	if complete {
		if q.runTime == 0 {
			q.runTime = e.now.Sub(r.sentAt)
		}
		q.runTime += (e.now.Sub(r.sentAt) - q.runTime) / runTimeSmoothing
	}
}

// takeTurn reports whether a request may be sent now. If not, it waits for its turn, or was
// refused. One that was sent before, or that has waited for a permit or slot, has had its turn;
// brittle endpoints have an order of their own.
func (e *Edge) takeTurn(r *request) bool {
	if r.turn.taken || r.attempt > 0 || r.pin.set || r.denied || r.slot.denied > 0 || e.guard.Brittle(e.now, r.service) {
		return true
	}
	q := e.queueOf(r.service)
	est := e.estimateRoom(r.service)
	q.RoomChanged(est.Room)
	if est.Requests <= 0 || q.Len() > 0 {
		e.updateServed(r.service, q)
	}
	v := q.Offer(e.now, e.turnRequest(r, q))
	switch v.Decision {
	case queue.Now:
		r.turn.taken = true
		return true
	case queue.Wait:
		q.shortAt = e.now
		q.requests[r.id] = r
		r.turn.waits = true
		e.turnsDue = true
		r.turn.since = e.now
		e.log("queued", r.call.ID, append(e.roomFields(est, r, q),
			field("position", v.Ahead), field("turn_in", v.Turn))...)
	case queue.Refused:
		q.shortAt = e.now
		e.log("room_short", r.call.ID, append(e.roomFields(est, r, q),
			field("position", v.Ahead), field("turn_in", v.Turn), field("result", "refused"))...)
		e.refuseNoRoom(r, v.RetryAfter)
	}
	return false
}

// roomFields returns the inputs of a decision on a request.
func (e *Edge) roomFields(est roomEstimate, r *request, q *serviceTurns) []Field {
	return []Field{
		field("service", r.service), field("rank", r.rank), field("room", est.Requests), field("running", est.running),
		field("waiting", q.Len()), field("part", est.part), field("slots", est.slots), field("endpoints", est.endpoints),
		field("endpoints_full", est.full), field("fit", est.fit), field("peers", est.peers), field("peers_demand", est.demand),
		field("peers_lost", est.lost), field("reports", est.reports), field("oldest_report", est.oldest),
		field("account", r.accountName()), field("account_served", q.ServedTokens(e.now, r.accountName())),
	}
}

// accountName returns the name of the request's account; empty if it has none.
func (r *request) accountName() waxwingwall.Account {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// turnRequest returns what decides on the turn of a request. It is too late if the answer, or the
// first event of a stream, could not begin within the objective of its route; without one, if
// the whole answer could not come by the deadline.
func (e *Edge) turnRequest(r *request, q *serviceTurns) queue.Request {
	usual := e.usualRunTime(r.service, q)
	latest := r.deadline.Add(-max(usual, minAttemptTime))
	if r.route.Objective > 0 {
		before := min(usual, r.route.Objective/2)
		if r.route.Kind == waxwingwall.Streaming {
			before = time.Duration(float64(r.call.Prompt) / prefillTokensPerMs * float64(time.Millisecond))
		}
		latest = r.arrived.Add(r.route.Objective - before)
		if by := r.deadline.Add(-minAttemptTime); by.Before(latest) {
			latest = by
		}
	}
	return queue.Request{
		ID:      r.id,
		Rank:    r.rank,
		Account: r.accountName(),
		Tokens:  r.memoryTokens(),
		Latest:  latest,
	}
}

// refuseNoRoom refuses a request for which there is no room in time.
func (e *Edge) refuseNoRoom(r *request, retryAfter time.Duration) {
	p := e.unavailableProblem(CodeNoRoom, "the endpoints have no room for the request in time", 0)
	p.RetryAfter = retryAfter
	e.refuse(r, p)
}

// stepQueues ends the waits of requests whose turn has come, or can't come in time any more.
// The end of one can let others in, whose waits may end as well.
func (e *Edge) stepQueues() {
	if !e.turnsDue {
		return
	}
	e.turnsDue = false
	for _, service := range slices.Sorted(maps.Keys(e.queues)) {
		e.stepQueue(service)
	}
}

func (e *Edge) stepQueue(service waxwingwall.Model) {
	q := e.queues[service]
	if len(q.requests) == 0 {
		return
	}
	est := e.estimateRoom(service)
	q.RoomChanged(est.Room)
	e.updateServed(service, q)
	for _, a := range q.Step(e.now) {
		r := q.requests[a.ID]
		if r == nil {
			// The end of another request has ended this one.
			continue
		}
		e.endTurn(r)
		result := "granted"
		switch {
		case a.Displaced:
			result = "displaced"
		case a.RetryAfter > 0:
			result = "late"
		}
		e.log("queue_left", r.call.ID, append(e.roomFields(est, r, q), field("result", result), field("waited", e.now.Sub(r.turn.since)))...)
		if a.RetryAfter > 0 {
			e.refuseNoRoom(r, a.RetryAfter)
			continue
		}
		r.turn.taken = true
		e.dispatch(r)
	}
}

// endTurn ends the wait of a request.
func (e *Edge) endTurn(r *request) {
	if !r.turn.waits {
		return
	}
	r.turn.waits = false
	q := e.queueOf(r.service)
	delete(q.requests, r.id)
	q.Withdraw(r.id)
}

// updateServed passes what other routers served of a service to its queue. Whole tokens have
// the same sum in any order.
func (e *Edge) updateServed(service waxwingwall.Model, q *serviceTurns) {
	served := map[waxwingwall.Account]float64{}
	for _, r := range e.gossip.rooms {
		for _, s := range r.served[service] {
			served[s.Account] += math.Floor(queue.Decay(s.Tokens, e.now.Sub(r.at)))
		}
	}
	q.SetPeersServed(served)
}

// queueReports returns the reports of the services whose room was short in the last seconds.
func (e *Edge) queueReports() []QueueReport {
	var all []QueueReport
	for _, s := range e.config.configuration.Services {
		q := e.queues[s.Name]
		if q == nil || !q.short(e.now) || len(all) == maxQueues {
			continue
		}
		all = append(all, QueueReport{
			Service: s.Name,
			Waiting: q.Len(),
			RunTime: q.runTime,
			Served:  q.Served(e.now, maxServed),
		})
	}
	return all
}

// recordRoom keeps what a peer reports of the requests at each service.
func (e *Edge) recordRoom(from waxwingwall.Incarnation, m Report) {
	room := roomReport{
		at:       e.now,
		running:  map[waxwingwall.Model]int{},
		waiting:  map[waxwingwall.Model]int{},
		runTimes: map[waxwingwall.Model]time.Duration{},
		served:   map[waxwingwall.Model][]queue.AccountTokens{},
	}
	for _, l := range m.Loads {
		if row := e.endpoints.rows[l.Endpoint]; row != nil && e.givesRoom(row) {
			room.running[row.replica.Service] += l.Running
		}
	}
	for _, s := range m.Queues {
		room.waiting[s.Service] = s.Waiting
		room.runTimes[s.Service] = s.RunTime
		room.served[s.Service] = s.Served
	}
	if e.gossip.rooms == nil {
		e.gossip.rooms = map[waxwingwall.Incarnation]roomReport{}
	}
	e.gossip.rooms[from] = room
}

// expireRooms forgets reports that are too old.
func (e *Edge) expireRooms() {
	for from, r := range e.gossip.rooms {
		if e.now.Sub(r.at) > lostTTL {
			delete(e.gossip.rooms, from)
		}
	}
}

// QueueState is the state of the queue of one service in a dump.
type QueueState struct {
	// Service is the service; Waiting counts the requests that wait, Room those that the router
	// may send now, of its Part of the Slots.
	Service waxwingwall.Model `json:"service"`
	Waiting int               `json:"waiting"`
	Room    int               `json:"room"`
	Part    float64           `json:"part"`
	Slots   int               `json:"slots"`

	// Reports is the number of peers whose reports were at hand, Demand what they and the
	// others are believed to run and want.
	Reports int     `json:"reports"`
	Demand  float64 `json:"demand"`

	// Served are the accounts that were served the most tokens in the last seconds.
	Served []queue.AccountTokens `json:"served"`
}

// queueStates returns the state of the queues.
func (e *Edge) queueStates() []QueueState {
	var all []QueueState
	for _, s := range e.config.configuration.Services {
		q := e.queues[s.Name]
		if q == nil || !q.short(e.now) {
			continue
		}
		est := e.estimateRoom(s.Name)
		all = append(all, QueueState{
			Service: s.Name,
			Waiting: q.Len(),
			Room:    est.Requests,
			Part:    est.part,
			Slots:   est.slots,
			Reports: est.reports,
			Demand:  est.demand,
			Served:  q.Served(e.now, maxServed),
		})
	}
	return slices.Clip(all)
}
