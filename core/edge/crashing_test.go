package edge

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// crashModel drives several routers in front of engines that crash when they begin to
// write an answer to a prompt with one certain part. All runs of an engine end with
// it, and it is back after some seconds.
type crashModel struct {
	t       *testing.T
	random  *rand.Rand
	start   time.Time
	now     time.Time
	routers []*Edge
	engines map[netip.AddrPort]*modelEngine
	events  []modelEvent
	count   int
	next    uint64

	// calls are the requests in flight.
	calls map[modelRun]*modelCall

	// crashes are the times of the crashes under the part; sent counts the requests
	// with it that reached an engine later than contact after the fifth one.
	crashes []time.Time
	sent    int

	// sound counts the other requests since the routers should have stopped the part:
	// those that arrived, and those that were refused as crashing.
	sound, refused int

	// quarantined counts all requests without the part that were refused as crashing.
	quarantined int
}

// modelRun is one attempt of a request at a router.
type modelRun struct {
	router, request, attempt uint64
}

// modelCall is a request in flight.
type modelCall struct {
	parts    []waxwingwall.Part
	crashing bool
}

// modelEngine is an engine with its runs; the value counts the events of each.
type modelEngine struct {
	replica waxwingwall.Replica
	down    bool
	runs    map[modelRun]int
}

const (
	// contact is the time after the fifth crash within which the routers have to stop
	// a crashing part, and allowedSends the number of requests that may pass later.
	contact      = 3 * time.Second
	crashesFree  = 5
	allowedSends = 3

	crashingPart = 0xbad
	engineDown   = 3500 * time.Millisecond
	peerDelay    = 5 * time.Millisecond

	// firstAfter is the time to the first event of an answer and eventEvery that
	// between two; an answer has modelEvents.
	firstAfter  = 90 * time.Millisecond
	eventEvery  = 60 * time.Millisecond
	modelEvents = 8
)

func newCrashModel(t *testing.T, seed uint64, routers, engineCount int) *crashModel {
	m := &crashModel{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 2)),
		start:   time.Unix(1_800_000_000, 0),
		engines: map[netip.AddrPort]*modelEngine{},
		calls:   map[modelRun]*modelCall{},
	}
	m.now = m.start
	configuration := testConfiguration(1)
	for i := range configuration.Routes {
		configuration.Routes[i].Resumable = false
	}
	var replicas []waxwingwall.Replica
	for _, r := range engines(engineCount) {
		r.Born = 1
		m.engines[r.Address] = &modelEngine{
			replica: r,
			runs:    map[modelRun]int{},
		}
		replicas = append(replicas, r)
	}
	var rows []waxwingwall.Row
	for i := range routers {
		e := New(
			waxwingwall.Incarnation{
				VM:   waxwingwall.VM(fmt.Sprintf("vm-%d", i)),
				Boot: 1,
			},
			RouterInfo{
				Peers:   netip.MustParseAddrPort(fmt.Sprintf("10.9.0.%d:1", i+1)),
				Callers: netip.MustParseAddrPort(fmt.Sprintf("10.9.0.%d:2", i+1)),
			},
			WithSeed(seed),
		)
		m.routers = append(m.routers, e)
		rows = append(rows, waxwingwall.Row{
			Key:     NodeKey(e.Self),
			Version: 1,
			Value:   fmt.Sprintf(`{"peers":"10.9.0.%d:1","callers":"10.9.0.%d:2","domain":"d%d"}`, i+1, i+1, i%3),
		})
	}
	for i := range m.routers {
		m.feed(i, Configured{Configuration: configuration})
		m.feed(i, Replicas{Snapshot: true, Replicas: replicas, Revision: 10})
		m.feed(i, Nodes{Snapshot: true, Rows: rows})
	}
	return m
}

// after calls f after d.
func (m *crashModel) after(d time.Duration, f func()) {
	m.count++
	m.events = append(m.events, modelEvent{
		at:   m.now.Add(d),
		n:    m.count,
		call: f,
	})
}

// feed passes an event to a router and performs the actions.
func (m *crashModel) feed(router int, ev effect.Event) {
	e := m.routers[router]
	for _, a := range e.Step(m.now, ev) {
		switch a := a.(type) {
		case effect.Send:
			m.deliver(e.Self, a)
		case Dispatch:
			m.dispatch(router, a)
		case Probe:
			engine := m.engines[a.Address]
			m.after(time.Millisecond, func() { m.feed(router, dialed(a.Address, engine.down)) })
		case Refuse:
			m.refuse(router, a)
		}
	}
}

// dialed returns the result of a dial.
func dialed(address netip.AddrPort, refused bool) Dialed {
	return Dialed{
		Address: address,
		Took:    time.Millisecond,
		Refused: refused,
	}
}

// deliver passes a message to a peer.
func (m *crashModel) deliver(from waxwingwall.Incarnation, a effect.Send) {
	for i, peer := range m.routers {
		if peer.Self.VM == a.To.VM {
			m.after(peerDelay, func() { m.feed(i, effect.Received{From: from, Message: a.Message}) })
		}
	}
}

// dispatch begins a run.
func (m *crashModel) dispatch(router int, d Dispatch) {
	engine := m.engines[d.Address]
	end := func(delay time.Duration, ended AttemptEnded) {
		ended.Request = d.Request
		ended.Attempt = d.Attempt
		m.after(delay, func() { m.feed(router, ended) })
	}
	if engine.down {
		end(time.Millisecond, AttemptEnded{Result: Unreachable})
		return
	}
	run := modelRun{
		router:  uint64(router),
		request: d.Request,
		attempt: uint64(d.Attempt),
	}
	call := m.calls[modelRun{router: run.router, request: run.request}]
	if call.crashing && len(m.crashes) >= crashesFree && m.now.Sub(m.crashes[crashesFree-1]) > contact {
		m.sent++
	}
	engine.runs[run] = 0
	born := engine.replica.Born
	running := func() bool {
		_, ok := engine.runs[run]
		return ok && engine.replica.Born == born
	}
	first := firstAfter + time.Duration(m.random.IntN(40))*time.Millisecond
	m.after(first, func() {
		switch {
		case !running():
		case call.crashing:
			m.crashes = append(m.crashes, m.now)
			m.crash(engine)
		default:
			engine.runs[run] = 1
			m.feed(router, AnswerStarted{Request: d.Request, Attempt: d.Attempt})
		}
	})
	for i := 2; i <= modelEvents; i++ {
		m.after(first+time.Duration(i-1)*eventEvery, func() {
			if !running() {
				return
			}
			engine.runs[run] = i
			if i == modelEvents {
				delete(engine.runs, run)
				end(0, AttemptEnded{Result: Complete, Status: 200, Events: i, Committed: true})
			}
		})
	}
}

// crash ends an engine with all its runs and starts it anew later. The store drops
// its entry only after a while.
func (m *crashModel) crash(engine *modelEngine) {
	if engine.down {
		return
	}
	engine.down = true
	runs := engine.runs
	engine.runs = map[modelRun]int{}
	var order []modelRun
	for run := range runs {
		order = append(order, run)
	}
	slices.SortFunc(order, func(a, b modelRun) int {
		if a.router != b.router {
			return int(a.router) - int(b.router)
		}
		return int(a.request) - int(b.request)
	})
	for _, run := range order {
		m.feed(int(run.router), AttemptEnded{
			Request:   run.request,
			Attempt:   int(run.attempt),
			Result:    Broken,
			Status:    200,
			Events:    runs[run],
			Committed: runs[run] > 0,
		})
	}
	m.after(engineDown, func() {
		engine.down = false
		engine.replica.Born++
		for i := range m.routers {
			m.feed(i, Replicas{Replicas: []waxwingwall.Replica{engine.replica}, Revision: 11})
		}
	})
}

// refuse counts the refusal of a request.
func (m *crashModel) refuse(router int, a Refuse) {
	call := m.calls[modelRun{router: uint64(router), request: a.Request}]
	if call.crashing || a.Problem.Code != "quarantined" {
		return
	}
	m.quarantined++
	if m.stopped() {
		m.refused++
	}
}

// stopped reports whether the time to tell the part from those of sound requests has
// passed: twice contact after the fifth crash, or after the last one if there are fewer.
func (m *crashModel) stopped() bool {
	n := min(len(m.crashes), crashesFree)
	return n > 0 && m.now.Sub(m.crashes[n-1]) > 2*contact
}

// arrive sends a request to a random router.
func (m *crashModel) arrive(call *modelCall) {
	m.next++
	router := m.random.IntN(len(m.routers))
	m.calls[modelRun{router: uint64(router), request: m.next}] = call
	c := prompt(0, 0)
	c.ID = fmt.Sprintf("call-%d", m.next)
	c.Fingerprint = m.next
	c.Parts = append(call.parts, waxwingwall.Part{
		ID:     1<<40 + m.next,
		Tokens: 100,
	})
	if !call.crashing && m.stopped() {
		m.sound++
	}
	m.feed(router, Replicas{Revision: m.routers[router].endpoints.revision})
	m.feed(router, Arrived{
		Request: m.next,
		Call:    c,
	})
}

// run sends requests for some time: soundRate and crashingRate a second. Ordinary
// crashes end an engine every ordinaryEvery. position places the crashing part among
// the others, which sound requests have too.
func (m *crashModel) run(d time.Duration, soundRate, crashingRate float64, ordinaryEvery time.Duration, position int) {
	const tick = 10 * time.Millisecond
	common := func() []waxwingwall.Part {
		return []waxwingwall.Part{
			{ID: 1, Tokens: 1000},
			{ID: 10 + uint64(m.random.IntN(4)), Tokens: 500},
			{ID: 100 + uint64(m.random.IntN(40)), Tokens: 500},
		}
	}
	begin := m.now
	for m.now.Sub(begin) < d {
		m.now = m.now.Add(tick)
		m.processEvents()
		if m.random.Float64() < soundRate*tick.Seconds() {
			m.arrive(&modelCall{parts: common()})
		}
		if m.now.Sub(begin) > 3*time.Second && m.random.Float64() < crashingRate*tick.Seconds() {
			m.arrive(&modelCall{
				parts:    slices.Insert(common(), position, waxwingwall.Part{ID: crashingPart, Tokens: 300}),
				crashing: true,
			})
		}
		if ordinaryEvery > 0 && m.random.Float64() < tick.Seconds()/ordinaryEvery.Seconds() {
			addresses := make([]netip.AddrPort, 0, len(m.engines))
			for a := range m.engines {
				addresses = append(addresses, a)
			}
			slices.SortFunc(addresses, netip.AddrPort.Compare)
			m.crash(m.engines[addresses[m.random.IntN(len(addresses))]])
		}
		if m.now.Sub(m.start)%(50*time.Millisecond) == 0 {
			for i := range m.routers {
				m.feed(i, effect.Tick{})
			}
		}
	}
}

// processEvents runs the events that are due, in order.
func (m *crashModel) processEvents() {
	for {
		at := -1
		for i, ev := range m.events {
			if !ev.at.After(m.now) && (at < 0 || ev.at.Before(m.events[at].at) || ev.at.Equal(m.events[at].at) && ev.n < m.events[at].n) {
				at = i
			}
		}
		if at < 0 {
			return
		}
		next := m.events[at]
		m.events = slices.Delete(m.events, at, at+1)
		next.call()
	}
}

// TestCrashingPart guards against requests that share one part of their prompts, and
// are unlike otherwise, and crash engine after engine: soon after the fifth crash no
// router sends such a request, wherever the part is among the others and while engines
// also crash for other reasons; and requests that share all their other parts with
// them are not refused.
func TestCrashingPart(t *testing.T) {
	for _, c := range []struct {
		name          string
		routers       int
		engines       int
		ordinaryEvery time.Duration
		position      int
		seeds         uint64
	}{
		{"first part", 8, 9, 0, 0, 3},
		{"middle part", 8, 9, 0, 2, 3},
		{"last shared part", 8, 9, 0, 3, 3},
		{"beside ordinary crashes", 8, 9, 2 * time.Second, 1, 3},
		{"many routers", 40, 30, 4 * time.Second, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range c.seeds {
				m := newCrashModel(t, seed, c.routers, c.engines)
				m.run(20*time.Second, 60, 4, c.ordinaryEvery, c.position)
				if len(m.crashes) == 0 || m.sound == 0 {
					t.Fatalf("seed %d: %d crashes, %d sound requests since", seed, len(m.crashes), m.sound)
				}
				if m.sent > allowedSends {
					t.Errorf("seed %d: sent %d times more after five crashes; %d engines crashed", seed, m.sent, len(m.crashes))
				}
				if m.refused*50 > m.sound {
					t.Errorf("seed %d: %d of %d sound requests refused", seed, m.refused, m.sound)
				}
			}
		})
	}
}

// TestManyEnginesCrashAtOnce guards against the refusal of sound requests after many
// engines went at the same time, as with a rack: each crash ends requests with the parts
// that all prompts begin with, before one of them can be answered.
func TestManyEnginesCrashAtOnce(t *testing.T) {
	for seed := range uint64(3) {
		m := newCrashModel(t, seed, 8, 30)
		m.run(2*time.Second, 90, 0, 0, 0)
		for _, e := range engines(30) {
			if engine := m.engines[e.Address]; len(engine.runs) > 0 {
				m.crash(engine)
			}
		}
		m.run(10*time.Second, 90, 0, 0, 0)
		if m.quarantined > 0 {
			t.Errorf("seed %d: %d sound requests refused", seed, m.quarantined)
		}
	}
}
