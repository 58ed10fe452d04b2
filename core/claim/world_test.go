package claim_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/claim"
	"waxwingwall/core/effect"
)

const (
	testSlots          = 8
	testRetention      = 10 * time.Minute
	testSuspectTimeout = 500 * time.Millisecond
	testTick           = 50 * time.Millisecond
)

// fakeTable is a fake of the platform's table that injects faults.
type fakeTable struct {
	rows map[string]waxwingwall.Row
	down bool

	// loss is the probability in percent that an answer is lost; the
	// transaction then takes effect, does not, or is delayed.
	loss    int
	delayed [][]waxwingwall.Write

	// writtenBytes counts the bytes of values written, readRows the rows read
	// by key.
	writtenBytes int
	readRows     int
}

func (t *fakeTable) transact(writes []waxwingwall.Write) ([]int64, bool) {
	for _, w := range writes {
		if w.Expect != waxwingwall.AnyVersion && t.rows[w.Key].Version != w.Expect {
			return nil, false
		}
	}
	versions := make([]int64, len(writes))
	for i, w := range writes {
		row := t.rows[w.Key]
		if !w.CheckOnly {
			row = waxwingwall.Row{
				Key:     w.Key,
				Version: row.Version + 1,
				Value:   w.Value,
			}
			t.rows[w.Key] = row
			t.writtenBytes += len(w.Value)
		}
		versions[i] = row.Version
	}
	return versions, true
}

func (t *fakeTable) list(prefix string) []waxwingwall.Row {
	var rows []waxwingwall.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b waxwingwall.Row) int {
		return strings.Compare(a.Key, b.Key)
	})
	return rows
}

// router is a ledger with a driver that dispatches cleared requests.
type router struct {
	self   waxwingwall.Incarnation
	domain waxwingwall.Domain
	ledger *claim.Ledger
	dead   bool
	closed bool

	// killed is set if the process died, so that its memory is lost.
	killed bool

	// paused is set while the router processes no events; its pending tasks
	// wait.
	paused bool
	inbox  []effect.Event
	tasks  []func()
	active map[waxwingwall.Identity]*run
}

// run is one attempt at one router.
type run struct {
	request claim.RunRequest
	cleared bool
	started bool
	ended   bool
}

// identityRecord is what the test observed of an identity.
type identityRecord struct {
	request  claim.RunRequest
	runs     int
	answers  []claim.Result
	finished bool // some caller received the result

	// home is the router that settled the request.
	home *router
}

// world drives several routers over one table and one network.
type world struct {
	now  time.Time
	tick time.Duration

	// retention is the retention of routers started from now on.
	retention time.Duration

	rng     *rand.Rand
	table   *fakeTable
	routers []*router
	boots   int64

	// loss and duplication are probabilities in percent for each message; cut
	// holds pairs of VMs that cannot reach each other.
	loss, duplication int

	// abandon is the probability in percent that a cleared request is
	// abandoned.
	abandon int

	// runSteps is the number of steps that a run takes; zero means random.
	runSteps   int
	cut        map[[2]waxwingwall.VM]bool
	packets    []packet
	suspected  map[waxwingwall.VM]bool
	records    map[waxwingwall.Identity]*identityRecord
	violations []string

	// kills counts the routers that were killed; tableFault is set once the table has
	// failed.
	kills      int
	tableFault bool

	wireBytes   int // bytes of messages sent
	stream      *bytes.Buffer
	encoder     *gob.Encoder
	decoder     *gob.Decoder
	peersClosed []claim.PeerClosed
}

type packet struct {
	deliverAt time.Time
	from      waxwingwall.Incarnation
	to        waxwingwall.Incarnation
	message   any
}

func newWorld(seed uint64) *world {
	stream := new(bytes.Buffer)
	return &world{
		stream:    stream,
		encoder:   gob.NewEncoder(stream),
		decoder:   gob.NewDecoder(stream),
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		tick:      testTick,
		retention: testRetention,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		table: &fakeTable{
			rows: make(map[string]waxwingwall.Row),
		},
		cut:       make(map[[2]waxwingwall.VM]bool),
		suspected: make(map[waxwingwall.VM]bool),
		records:   make(map[waxwingwall.Identity]*identityRecord),
	}
}

// boot starts a router on a VM in the given domain.
func (w *world) boot(vm waxwingwall.VM, domain waxwingwall.Domain, late ...claim.Claim) *router {
	w.boots++
	self := waxwingwall.Incarnation{
		VM:   vm,
		Boot: w.boots,
	}
	r := &router{
		self:   self,
		domain: domain,
		ledger: claim.New(self, netip.MustParseAddrPort("10.0.0.1:80"), domain,
			claim.WithSlots(testSlots),
			claim.WithRetention(w.retention),
			claim.WithInterruptedTimeout(time.Minute),
			claim.WithSuspectTimeout(testSuspectTimeout),
			claim.WithSeed(uint64(w.boots)),
			claim.WithLate(late),
		),
		active: make(map[waxwingwall.Identity]*run),
	}
	w.routers = append(w.routers, r)
	w.updatePeers()
	return r
}

// updatePeers passes the current membership to all routers.
func (w *world) updatePeers() {
	var peers []claim.Peer
	for _, r := range w.routers {
		peers = append(peers, claim.Peer{
			Incarnation: r.self,
			Domain:      r.domain,
			Alive:       !r.dead && !r.closed && !w.suspected[r.self.VM],
		})
	}
	for _, r := range w.routers {
		if !r.dead {
			r.ledger.SetPeers(w.now, peers)
		}
	}
}

// advance advances time by d.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(w.tick)
		w.deliver()
		for _, r := range w.routers {
			w.step(r)
		}
	}
}

func (w *world) step(r *router) {
	if r.dead || r.paused {
		return
	}
	tasks := r.tasks
	r.tasks = nil
	for _, t := range tasks {
		t()
	}
	events := append(r.inbox, effect.Tick{})
	r.inbox = nil
	for _, ev := range events {
		for _, a := range r.ledger.Step(w.now, ev) {
			w.perform(r, a)
		}
	}
}

// perform performs an action. Its answer arrives with a later step.
func (w *world) perform(r *router, a effect.Action) {
	w.traceAction(r, a)
	switch a := a.(type) {
	case effect.Transact:
		r.inbox = append(r.inbox, w.transact(a))
	case effect.Read:
		ev := effect.Rows{
			ID:     a.ID,
			Result: w.readResult(),
		}
		for _, k := range a.Keys {
			w.table.readRows++
			row := w.table.rows[k]
			row.Key = k
			ev.Rows = append(ev.Rows, row)
		}
		r.inbox = append(r.inbox, ev)
	case effect.List:
		r.inbox = append(r.inbox, effect.Rows{
			ID:     a.ID,
			Result: w.readResult(),
			Rows:   w.table.list(a.Prefix),
		})
	case effect.Send:
		w.send(r, a)
	case claim.Cleared:
		w.cleared(r, a.Identity)
	case claim.Refused:
		w.refused(r, a.Identity)
	case claim.Settled:
		w.settled(r, a.Identity)
	case claim.Closed:
		r.closed = true
		w.updatePeers()
	case claim.PeerClosed:
		w.peersClosed = append(w.peersClosed, a)
	}
}

func (w *world) readResult() effect.Result {
	if w.table.down || w.chance(w.table.loss) {
		return effect.Lost
	}
	return effect.Done
}

func (w *world) transact(a effect.Transact) effect.Transacted {
	t := w.table
	lost := effect.Transacted{
		ID:     a.ID,
		Result: effect.Lost,
	}
	if t.down {
		return lost
	}
	if w.chance(t.loss) {
		switch w.rng.IntN(3) {
		case 0:
			t.transact(a.Writes)
		case 1:
			t.delayed = append(t.delayed, a.Writes)
		}
		return lost
	}
	versions, ok := t.transact(a.Writes)
	if !ok {
		return effect.Transacted{
			ID:     a.ID,
			Result: effect.Conflict,
		}
	}
	return effect.Transacted{
		ID:       a.ID,
		Versions: versions,
	}
}

func (w *world) send(r *router, a effect.Send) {
	if w.chance(w.loss) || w.cut[[2]waxwingwall.VM{r.self.VM, a.To.VM}] || w.cut[[2]waxwingwall.VM{a.To.VM, r.self.VM}] {
		return
	}
	for copies := 1; copies > 0; copies-- {
		p := packet{
			deliverAt: w.now,
			from:      r.self,
			to:        a.To,
			message:   w.overWire(a.Message),
		}
		if w.chance(w.duplication) {
			copies++
			p.deliverAt = w.now.Add(time.Duration(w.rng.IntN(8000)) * time.Millisecond)
		}
		w.packets = append(w.packets, p)
	}
}

// overWire returns a message as received, after encoding and decoding.
func (w *world) overWire(m any) any {
	if err := w.encoder.Encode(&m); err != nil {
		w.violation("%v", err)
	}
	w.wireBytes += w.stream.Len()
	var got any
	if err := w.decoder.Decode(&got); err != nil {
		w.violation("%v", err)
	}
	return got
}

// deliver delivers messages that are due, and applies delayed transactions.
func (w *world) deliver() {
	delayed := w.table.delayed
	w.table.delayed = nil
	for _, writes := range delayed {
		if w.chance(90) {
			w.table.delayed = append(w.table.delayed, writes)
			continue
		}
		w.table.transact(writes)
	}
	packets := w.packets
	w.packets = nil
	for _, p := range packets {
		if p.deliverAt.After(w.now) {
			w.packets = append(w.packets, p)
			continue
		}
		for _, r := range w.routers {
			if r.self != p.to || r.dead {
				continue
			}
			r.inbox = append(r.inbox, effect.Received{
				From:    p.from,
				Message: p.message,
			})
		}
	}
}

func (w *world) chance(percent int) bool {
	return percent > 0 && w.rng.IntN(100) < percent
}

func (w *world) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// bills returns all bills in the table by identity.
func (w *world) bills() map[waxwingwall.Identity][]claim.Claim {
	bills := make(map[waxwingwall.Identity][]claim.Claim)
	for _, r := range w.table.list("bill/") {
		home, _, err := claim.ParseBillKey(r.Key)
		if err != nil {
			w.violations = append(w.violations, err.Error())
		}
		var row claim.BillRow
		if err := json.Unmarshal([]byte(r.Value), &row); err != nil {
			w.violations = append(w.violations, err.Error())
		}
		for _, b := range row.Bills(home) {
			bills[b.Identity] = append(bills[b.Identity], b)
		}
	}
	return bills
}
