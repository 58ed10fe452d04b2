package brittle

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	testService  = waxwingwall.Model("ledger")
	testEndpoint = waxwingwall.Endpoint("ledger-1")
	testSlots    = 6
)

var (
	testSelf = waxwingwall.Incarnation{VM: "vm-1", Boot: 1}
	testPeer = waxwingwall.Incarnation{VM: "vm-2", Boot: 1}
)

// owner is the guard of the router that owns the only endpoint. answers are its answers to
// testPeer.
type owner struct {
	*Guard
	now     time.Time
	running int
	born    int64
	granted map[uint64]bool
	denied  map[uint64]time.Duration
	ended   int
	next    uint64
}

// newOwner returns an owner that knows that the endpoint is brittle.
func newOwner(declines int) *owner {
	o := &owner{
		now:     time.Unix(1_800_000_000, 0),
		born:    1,
		granted: map[uint64]bool{},
		denied:  map[uint64]time.Duration{},
	}
	o.Guard = New(
		testSelf,
		func(e waxwingwall.Endpoint) (State, bool) {
			return State{Service: testService, Born: o.born, Slots: testSlots, Running: o.running}, e == testEndpoint
		},
		func(service waxwingwall.Model) []waxwingwall.Endpoint {
			if service != testService {
				return nil
			}
			return []waxwingwall.Endpoint{testEndpoint}
		},
	)
	o.SetPeers(o.now, nil, 1, true)
	o.Named(o.now, testService, declines)
	return o
}

// run lets time pass.
func (o *owner) run(d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(50 * time.Millisecond)
		o.record(o.Step(o.now, effect.Tick{}))
	}
}

// receive handles a message of testPeer.
func (o *owner) receive(message any) {
	o.record(o.Step(o.now, effect.Received{From: testPeer, Message: message}))
}

func (o *owner) record(actions []effect.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case effect.Send:
			if m, ok := a.Message.(Answer); ok && m.Granted {
				o.granted[m.ID] = true
			} else if ok {
				o.denied[m.ID] = m.RetryAfter
			}
		case Changed:
			if a.Ended {
				o.ended++
			}
		}
	}
}

// ask asks for slots without waiting and returns how many were granted.
func (o *owner) ask(n int, wait time.Duration) int {
	before := len(o.granted)
	for range n {
		o.next++
		o.receive(Ask{ID: o.next, Endpoint: testEndpoint, Wait: wait})
	}
	return len(o.granted) - before
}

// TestNewOwnerLearns guards against a new owner that grants slots which others have leased,
// or which requests without a lease have.
func TestNewOwnerLearns(t *testing.T) {
	o := newOwner(1)
	o.receive(Held{Endpoints: []HeldAt{{Endpoint: testEndpoint, Leases: []uint64{101, 102}, Others: 3}}})
	if got := o.ask(5, 0); got != 0 {
		t.Errorf("%d granted at once", got)
	}
	o.run(settleTime + 50*time.Millisecond)
	if got := o.ask(10, 0); got != 1 {
		t.Errorf("%d of 6 slots granted, 5 were taken", got)
	}
	o.receive(End{ID: 101, Endpoint: testEndpoint})
	o.receive(Held{Endpoints: []HeldAt{{Endpoint: testEndpoint, Leases: []uint64{102, 6}}}})
	if got := o.ask(10, 0); got != 4 {
		t.Errorf("%d granted, 4 are free", got)
	}
}

// TestLostMessages guards against slots that stay leased when an end or a router is lost, and
// leases that expire while their router repeats them.
func TestLostMessages(t *testing.T) {
	o := newOwner(1)
	o.run(time.Second)
	if got := o.ask(testSlots, 0); got != testSlots {
		t.Fatalf("%d granted", got)
	}
	for range 20 {
		o.run(heldInterval)
		o.receive(Held{Endpoints: []HeldAt{{Endpoint: testEndpoint, Leases: []uint64{1, 2}}}})
		if got := len(o.rows[testEndpoint].leases); o.now.Sub(time.Unix(1_800_000_000, 0)) > 2*time.Second && got != 2 {
			t.Fatalf("%d leases, 2 are held", got)
		}
	}
	o.Named(o.now, testService, 1)
	o.run(heldTTL + 100*time.Millisecond)
	if got := o.ask(10, 0); got != testSlots {
		t.Errorf("%d granted after the router is gone", got)
	}
}

// TestDeclinesInARow guards against requests that follow declines so soon that there are more
// than the endpoint can stand, whatever room it has.
func TestDeclinesInARow(t *testing.T) {
	for _, declines := range []int{0, 1, 2, 5} {
		for room := range 4 {
			t.Run(fmt.Sprintf("N=%d/room=%d", declines, room), func(t *testing.T) {
				o := newOwner(declines)
				o.run(time.Second)
				// The endpoint once had room for all; now it declines what exceeds its room.
				o.ask(testSlots, 0)
				for id := range o.granted {
					o.receive(End{ID: id, Endpoint: testEndpoint})
				}
				clear(o.granted)
				var last []time.Time
				var running []uint64
				worst := 0
				for range 180 {
					o.run(50 * time.Millisecond)
					o.ask(1, 0)
					o.receive(Held{Endpoints: []HeldAt{{Endpoint: testEndpoint, Leases: running}}})
					for id := range o.granted {
						delete(o.granted, id)
						if len(running) < room {
							running = append(running, id)
							continue
						}
						last = append(last, o.now)
						o.receive(End{ID: id, Endpoint: testEndpoint, Declined: true})
					}
					in := 0
					for _, at := range last {
						if o.now.Sub(at) < time.Second {
							in++
						}
					}
					worst = max(worst, in)
				}
				if worst > max(declines, 1) {
					t.Errorf("%d declines in a second, %d in all", worst, len(last))
				}
			})
		}
	}
}

// TestBrittlenessEnds guards against leases that are needed for ever, and against an end while
// answers still say so.
func TestBrittlenessEnds(t *testing.T) {
	o := newOwner(2)
	for range 30 {
		o.run(time.Second)
		o.Named(o.now, testService, 2)
	}
	if !o.Brittle(o.now, testService) || o.ended > 0 {
		t.Fatal("ended while answers say so")
	}
	o.run(namedTTL + 100*time.Millisecond)
	if o.Brittle(o.now, testService) || o.ended != 1 || len(o.rows) > 0 {
		t.Errorf("not ended: %d times, %d rows", o.ended, len(o.rows))
	}
}

// TestNextInstance guards against what is known of an endpoint that has restarted.
func TestNextInstance(t *testing.T) {
	o := newOwner(1)
	o.run(time.Second)
	o.ask(testSlots, 0)
	o.born = 2
	o.run(time.Second)
	if got := o.ask(testSlots, 0); got != testSlots {
		t.Errorf("%d granted of the next instance", got)
	}
}

// TestOddMessages guards against messages that no router should send.
func TestOddMessages(t *testing.T) {
	o := newOwner(1)
	o.run(time.Second)
	for _, m := range []any{
		Ask{ID: 1, Endpoint: "unknown", Wait: -time.Hour},
		Ask{ID: 2, Endpoint: testEndpoint, Wait: math.MaxInt64, Rank: -1},
		Answer{ID: 7, Endpoint: "unknown", Granted: true},
		End{ID: 9, Endpoint: "unknown", Declined: true},
		Held{Endpoints: []HeldAt{{Endpoint: testEndpoint, Others: math.MinInt}, {Endpoint: "unknown", Others: 3}}},
		Notices{Notices: []Notice{
			{Service: "a", Declines: -1},
			{Service: "b", Declines: math.MaxInt},
			{Service: "c", At: -time.Second},
			{Service: "d", At: 2 * time.Second, Since: time.Second},
			{Service: "e", At: namedTTL, Since: namedTTL},
		}},
	} {
		o.receive(m)
	}
	if len(o.services) != 1 || len(o.rows) != 1 {
		t.Errorf("%d services and %d endpoints", len(o.services), len(o.rows))
	}
	if got := o.ask(testSlots, 0); got != testSlots-1 {
		t.Errorf("%d granted, one was before", got)
	}
}

// TestShares guards against two parts of a fleet that can't reach each other and together use
// more than all slots.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		routers := rapid.IntRange(1, 300).Draw(t, "routers")
		part := rapid.IntRange(0, routers).Draw(t, "part")
		one := shareOf(slots, float64(part)/float64(routers))
		other := shareOf(slots, float64(routers-part)/float64(routers))
		if one+other > slots || one < 0 || other < 0 {
			t.Fatalf("%d and %d of %d slots", one, other, slots)
		}
		if shareOf(slots, 1) != slots {
			t.Fatalf("%d of %d slots for all routers", shareOf(slots, 1), slots)
		}
	})
}

// TestAsksOutliveIncarnation guards against an ask that gets neither a slot nor a refusal, and
// a slot that stays taken, because the incarnation of the router that asked itself was renewed.
func TestAsksOutliveIncarnation(t *testing.T) {
	o := newOwner(1)
	o.run(time.Second)
	answered := 0
	count := func(actions []effect.Action) {
		for _, a := range actions {
			switch a.(type) {
			case Granted, Denied:
				answered++
			}
		}
	}
	var ids []uint64
	for range testSlots + 1 {
		id := o.NextID()
		o.Ask(o.now, Ask{ID: id, Endpoint: testEndpoint, Wait: 10 * time.Second})
		ids = append(ids, id)
		count(o.Take())
	}
	if answered != testSlots {
		t.Fatalf("%d of %d answered", answered, len(ids))
	}
	o.SetSelf(waxwingwall.Incarnation{VM: testSelf.VM, Boot: testSelf.Boot + 1})
	o.End(o.now, ids[0], false)
	count(o.Take())
	if answered != len(ids) {
		t.Errorf("%d of %d answered after a slot became free", answered, len(ids))
	}
}
