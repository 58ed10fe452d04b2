package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
)

const tick = 5 * time.Millisecond

// source is a kind of requests that arrive at random.
type source struct {
	rank    waxwingwall.Rank
	account waxwingwall.Account
	rate    float64
	tokens  waxwingwall.Tokens
	patient time.Duration

	offered, served, refused int
	retries                  map[time.Duration]bool
}

func (s *source) fraction() float64 {
	return float64(s.served) / float64(max(s.offered, 1))
}

// router is a router of the model: its Queue, and what it runs.
type router struct {
	q       *Queue
	sources []*source
	running []time.Time
	waits   map[uint64]*source
}

// model drives routers with slots of their own, each of which runs a request for runTime.
// Routers report the tokens of their accounts with a delay.
type model struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	slots   int
	runTime time.Duration
	delay   time.Duration
	routers []*router
	reports [][]map[waxwingwall.Account]float64
	id      uint64
	busy    int
}

func newModel(t *testing.T, slots int, routers ...[]*source) *model {
	m := &model{
		t:       t,
		random:  rand.New(rand.NewPCG(1, 1)),
		now:     time.Unix(1000, 0),
		slots:   slots,
		runTime: 100 * time.Millisecond,
	}
	for _, sources := range routers {
		m.routers = append(m.routers, &router{
			q:       New(),
			sources: sources,
			waits:   map[uint64]*source{},
		})
	}
	return m
}

// run lets time pass and returns the part of the slots that was used.
func (m *model) run(d time.Duration) float64 {
	m.busy = 0
	steps := int(d / tick)
	for range steps {
		m.now = m.now.Add(tick)
		m.report()
		for _, r := range m.routers {
			m.step(r)
			m.busy += len(r.running)
		}
	}
	return float64(m.busy) / float64(steps*m.slots*len(m.routers))
}

func (m *model) report() {
	all := make([]map[waxwingwall.Account]float64, len(m.routers))
	for i, r := range m.routers {
		all[i] = map[waxwingwall.Account]float64{}
		for _, s := range r.q.Served(m.now, 32) {
			all[i][s.Account] += Decay(s.Tokens, m.delay)
		}
	}
	m.reports = append(m.reports, all)
	old := len(m.reports) - 1 - int(m.delay/tick)
	if old < 0 {
		return
	}
	for i, r := range m.routers {
		sum := map[waxwingwall.Account]float64{}
		for j, served := range m.reports[old] {
			if i == j {
				continue
			}
			for a, tokens := range served {
				sum[a] += tokens
			}
		}
		r.q.SetPeersServed(sum)
	}
}

func (m *model) step(r *router) {
	left := r.running[:0]
	for _, end := range r.running {
		if end.After(m.now) {
			left = append(left, end)
			continue
		}
		r.q.Freed(m.now)
	}
	r.running = left
	r.q.RoomChanged(Room{
		Requests: m.slots - len(r.running),
		Rate:     float64(m.slots) / m.runTime.Seconds() / 2,
	})
	m.perform(r)
	for _, s := range r.sources {
		for range m.arrivals(s.rate) {
			m.offer(r, s)
		}
	}
}

// arrivals returns a Poisson number of arrivals in a tick.
func (m *model) arrivals(rate float64) int {
	n := 0
	for left := 1.0; ; n++ {
		left -= m.random.ExpFloat64() / (rate * tick.Seconds())
		if left < 0 {
			return n
		}
	}
}

func (m *model) offer(r *router, s *source) {
	m.id++
	s.offered++
	v := r.q.Offer(m.now, Request{
		ID:      m.id,
		Rank:    s.rank,
		Account: s.account,
		Tokens:  max(s.tokens, 1),
		Latest:  m.now.Add(max(s.patient, 500*time.Millisecond)),
	})
	switch v.Decision {
	case Now:
		s.served++
		r.running = append(r.running, m.now.Add(m.runTime))
	case Wait:
		r.waits[m.id] = s
	case Refused:
		m.refuse(s, v.RetryAfter)
	}
	m.perform(r)
}

func (m *model) refuse(s *source, after time.Duration) {
	s.refused++
	if after < minRetryAfter || after > maxRetryAfter {
		m.t.Errorf("refused for %v", after)
	}
	if s.retries == nil {
		s.retries = map[time.Duration]bool{}
	}
	s.retries[after] = true
}

func (m *model) perform(r *router) {
	for _, a := range r.q.Step(m.now) {
		s := r.waits[a.ID]
		if s == nil {
			m.t.Fatalf("request %d ends twice", a.ID)
		}
		delete(r.waits, a.ID)
		if a.RetryAfter > 0 {
			m.refuse(s, a.RetryAfter)
			continue
		}
		s.served++
		r.running = append(r.running, m.now.Add(m.runTime))
	}
	if len(r.running) > m.slots {
		m.t.Fatalf("%d of %d slots", len(r.running), m.slots)
	}
}

// TestBurstOfRank: the requests of one of three ranks come 2.5 times as often, more than
// there is room for. No rank is served less often than a less urgent one, the least urgent
// keeps its floor, the room is used, and refusals name different times.
func TestBurstOfRank(t *testing.T) {
	for burst := range 3 {
		sources := []*source{
			{rank: 0, account: "a", rate: 60},
			{rank: 1, account: "b", rate: 60},
			{rank: 2, account: "c", rate: 60},
		}
		m := newModel(t, 20, sources)
		m.run(3 * time.Second)
		if refused := sources[0].refused + sources[1].refused; refused > 0 {
			t.Errorf("%d refused before the burst", refused)
		}
		sources[burst].rate *= 2.5
		for _, s := range sources {
			s.offered, s.served = 0, 0
		}
		if used := m.run(20 * time.Second); used < 0.97 {
			t.Errorf("burst of rank %d: %.2f of the room used", burst, used)
		}
		for i, s := range sources {
			t.Logf("burst of rank %d: rank %d served %.3f of %d", burst, i, s.fraction(), s.offered)
			if i > 0 && s.fraction() > sources[i-1].fraction()+0.01 {
				t.Errorf("burst of rank %d: rank %d served %.3f, rank %d %.3f", burst, i, s.fraction(), i-1, sources[i-1].fraction())
			}
		}
		if floor := min(0.8*floorShare*200/sources[2].rate, 1); sources[2].fraction() < floor {
			t.Errorf("burst of rank %d: the least urgent rank was served %.3f, less than its floor %.3f", burst, sources[2].fraction(), floor)
		}
		if n := len(sources[2].retries); n < sources[2].refused/2 {
			t.Errorf("burst of rank %d: %d different times of %d refusals", burst, n, sources[2].refused)
		}
	}
}

// TestUrgentOverload: the most urgent rank alone asks for twice the room. Others get no more
// of theirs than it does, and no less than their floor, but where a floor would serve a rank more
// often than a more urgent one.
func TestUrgentOverload(t *testing.T) {
	sources := []*source{
		{rank: 0, account: "a", rate: 400},
		{rank: 1, account: "b", rate: 200},
		{rank: 2, account: "c", rate: 20},
	}
	m := newModel(t, 20, sources)
	m.run(20 * time.Second)
	for i, s := range sources {
		t.Logf("rank %d served %.3f of %d", i, s.fraction(), s.offered)
		if i > 0 && s.fraction() > sources[i-1].fraction()+0.02 {
			t.Errorf("rank %d served %.3f, rank %d %.3f", i, s.fraction(), i-1, sources[i-1].fraction())
		}
		if i > 0 && float64(s.served) < 0.8*floorShare*200*20 && s.fraction() < 0.5*sources[i-1].fraction() {
			t.Errorf("rank %d was served %d of %d", i, s.served, s.offered)
		}
	}
}

// TestBurstOfAccount: one account of ten of a rank sends 7.5 times as much. The others, who
// ask for less than their part, are served as before.
func TestBurstOfAccount(t *testing.T) {
	var sources []*source
	for i := range 10 {
		sources = append(sources, &source{
			account: waxwingwall.Account(fmt.Sprint("a", i)),
			rate:    16,
			tokens:  1000,
		})
	}
	m := newModel(t, 20, sources)
	m.run(3 * time.Second)
	sources[0].rate *= 7.5
	for _, s := range sources {
		s.offered, s.served = 0, 0
	}
	if used := m.run(20 * time.Second); used < 0.97 {
		t.Errorf("%.2f of the room used", used)
	}
	for i, s := range sources {
		if i > 0 && s.fraction() < 0.97 {
			t.Errorf("%s was served %.3f", s.account, s.fraction())
		}
	}
	if got := float64(sources[0].served) / 20; got < 45 {
		t.Errorf("the burst was served %.0f a second of the 56 that are left", got)
	}
}

// TestOneKeyOfAll: one account sends 0.29 of all requests, at three routers that serve each
// other account at one of them, and there is room for half. Reports are 2 s old. No account
// gets more than its part of all the room, weighed by tokens.
func TestOneKeyOfAll(t *testing.T) {
	routers := make([][]*source, 3)
	var all []*source
	for i := range 12 {
		s := &source{
			account: waxwingwall.Account(fmt.Sprint("a", i)),
			rate:    0.71 * 600 / 12,
			tokens:  waxwingwall.Tokens(500 + 500*(i/3%2)),
		}
		all = append(all, s)
		routers[i%3] = append(routers[i%3], s)
	}
	var big []*source
	for i := range routers {
		s := &source{
			account: "big",
			rate:    0.29 * 600 / 3,
			tokens:  1000,
		}
		big = append(big, s)
		routers[i] = append(routers[i], s)
	}
	m := newModel(t, 10, routers...)
	m.delay = 2 * time.Second
	if used := m.run(30 * time.Second); used < 0.97 {
		t.Errorf("%.2f of the room used", used)
	}
	mean := 0.0
	for _, s := range all {
		mean += float64(s.served) * float64(s.tokens) / float64(len(all))
	}
	got := 0.0
	for _, s := range big {
		got += float64(s.served) * 1000
	}
	t.Logf("the big account got %.2f of the mean of the others, in tokens", got/mean)
	if got > 1.6*mean || got < 0.6*mean {
		t.Errorf("the big account got %.2f of the mean of the others, in tokens", got/mean)
	}
	for _, s := range all {
		if tokens := float64(s.served) * float64(s.tokens); tokens < 0.6*mean && s.fraction() < 0.9 {
			t.Errorf("%s got %.2f of the mean, served %.2f", s.account, tokens/mean, s.fraction())
		}
	}
}

// at returns a request that waits for a second at most.
func at(now time.Time, id uint64, rank waxwingwall.Rank, tokens waxwingwall.Tokens) Request {
	return Request{
		ID:      id,
		Rank:    rank,
		Account: waxwingwall.Account(fmt.Sprint("a", id)),
		Tokens:  tokens,
		Latest:  now.Add(time.Second),
	}
}

// TestLargeRequest: small requests use the memory that comes free as soon as it does. A large
// one of the same rank has its turn after some of them.
func TestLargeRequest(t *testing.T) {
	q, now := New(), time.Unix(1000, 0)
	q.RoomChanged(Room{
		Requests: 10,
		Fit:      100,
		Largest:  1000,
		Rate:     1000,
	})
	if v := q.Offer(now, at(now, 1, 1, 5000)); v.Decision != Wait {
		t.Fatal(v)
	}
	passed := 0
	for id := uint64(2); id < 50; id++ {
		q.Offer(now, at(now, id, 1, 10))
		q.RoomChanged(Room{
			Requests: 1,
			Fit:      100,
			Largest:  1000,
			Rate:     1000,
		})
		passed += len(q.Step(now))
	}
	if passed != maxBypassed {
		t.Errorf("%d passed", passed)
	}
	q.Offer(now, at(now, 50, 0, 10))
	if acts := q.Step(now); len(acts) != 1 || acts[0].ID != 50 {
		t.Errorf("%v instead of the more urgent request", acts)
	}
	q.RoomChanged(Room{
		Requests: 1,
		Fit:      1000,
		Largest:  1000,
		Rate:     1000,
	})
	if acts := q.Step(now); len(acts) != 1 || acts[0].ID != 1 {
		t.Errorf("%v instead of the large request", acts)
	}
}

// TestFullQueue: more requests wait than a queue holds. The newest of the least urgent gives
// way, and nobody to a less urgent one.
func TestFullQueue(t *testing.T) {
	q, now := New(), time.Unix(1000, 0)
	q.RoomChanged(Room{
		Rate: 1e6,
	})
	for id := range uint64(MaxWaiting) {
		if v := q.Offer(now, at(now, id, waxwingwall.Rank(1+id%2), 1)); v.Decision != Wait {
			t.Fatal(v)
		}
	}
	first, next := q.Offer(now, at(now, 1000, 3, 1)), q.Offer(now, at(now, 1002, 3, 1))
	if first.Decision != Refused || next.Decision != Refused || next.RetryAfter <= first.RetryAfter {
		t.Errorf("less urgent: %v, %v", first, next)
	}
	if v := q.Offer(now, at(now, 1001, 0, 1)); v.Decision != Wait || v.Ahead != 0 {
		t.Errorf("more urgent: %v", v)
	}
	acts := q.Step(now)
	if len(acts) != 1 || acts[0].ID != MaxWaiting-1 || !acts[0].Displaced || acts[0].RetryAfter == 0 {
		t.Errorf("gave way: %v", acts)
	}
}

// TestRoomLost: three of four slots are lost while requests wait. Those whose turn can't come
// in time any more are refused at once, the newest of the least urgent, and no others.
func TestRoomLost(t *testing.T) {
	q, now := New(), time.Unix(1000, 0)
	q.RoomChanged(Room{
		Rate: 40,
	})
	for id := range uint64(20) {
		if v := q.Offer(now, at(now, id, waxwingwall.Rank(id/10), 1)); v.Decision != Wait {
			t.Fatal(v)
		}
	}
	q.RoomChanged(Room{
		Rate: 13,
	})
	now = now.Add(200 * time.Millisecond)
	acts := q.Step(now)
	if len(acts) == 0 || len(acts) > 10 {
		t.Fatalf("%d refused", len(acts))
	}
	for i, a := range acts {
		if a.ID != uint64(19-i) || a.RetryAfter == 0 {
			t.Errorf("refused %v", a)
		}
	}
}

// TestEachRequestEndsOnce: requests of all kinds, changing room, callers that leave. Each
// request ends in exactly one way, and those that wait are bounded.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := New(), time.Unix(1000, 0)
		waits := map[uint64]bool{}
		step := func() {
			for _, a := range q.Step(now) {
				if !waits[a.ID] {
					t.Fatalf("request %d does not wait", a.ID)
				}
				delete(waits, a.ID)
			}
			if q.Len() != len(waits) {
				t.Fatalf("%d of %d wait", q.Len(), len(waits))
			}
		}
		for id := range uint64(rapid.IntRange(1, 600).Draw(t, "requests")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			r := at(now, id, waxwingwall.Rank(rapid.IntRange(0, 3).Draw(t, "rank")), waxwingwall.Tokens(rapid.Int64Range(-5, 3000).Draw(t, "tokens")))
			r.Account = waxwingwall.Account(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "account")))
			r.Weight = rapid.Float64Range(-1, 10).Draw(t, "weight")
			if q.Offer(now, r).Decision == Wait {
				waits[id] = true
			}
			if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
				q.Withdraw(id)
				delete(waits, id)
			}
			if rapid.Bool().Draw(t, "room") {
				q.Freed(now)
				q.RoomChanged(Room{
					Requests: rapid.IntRange(-2, 4).Draw(t, "slots"),
					Fit:      waxwingwall.Tokens(rapid.Int64Range(-10, 2000).Draw(t, "fit")),
					Largest:  2000,
					Rate:     rapid.Float64Range(0, 500).Draw(t, "rate"),
				})
			}
			step()
			if q.Len() > MaxWaiting {
				t.Fatalf("%d wait", q.Len())
			}
		}
		now = now.Add(time.Minute)
		q.RoomChanged(Room{})
		step()
		if len(waits) > 0 {
			t.Fatalf("%d wait after their time", len(waits))
		}
	})
}
