package edge

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
)

// TestBirth checks that a router's row tells the store's clock in the first answer to its process,
// and no longer once the process goes on as a newer incarnation: the one before did not end then.
func TestBirth(t *testing.T) {
	h := newHarness(t)
	clock := func(out []effect.Action) escrow.RowClock {
		var row nodeRow
		if err := json.Unmarshal([]byte(only[effect.Transact](h, out).Writes[0].Value), &row); err != nil {
			t.Fatal(err)
		}
		return row.Clock
	}
	first := only[effect.Transact](h, h.step(effect.Tick{}))
	answer := written(first)
	answer.Clock = waxwingwall.StoreClock{Era: 1, Now: 7 * time.Second}
	out := append(h.step(answer), h.step(effect.Tick{})...)
	if got, want := clock(out), (escrow.RowClock{Era: 1, Ms: 7_000, Day: h.now.UnixMilli()}); got != want {
		t.Errorf("the row has the clock %+v, want %+v", got, want)
	}
	second := written(only[effect.Transact](h, out))
	second.Clock = waxwingwall.StoreClock{Era: 1, Now: 9 * time.Second}
	if out := append(h.step(second), h.step(effect.Tick{})...); has[effect.Transact](out) {
		t.Errorf("the row is written again: %+v", out)
	}
	h.renew()
	if got := clock(h.step(effect.Tick{})); got.Known() {
		t.Errorf("the row of a renewed incarnation has the clock %+v", got)
	}
}

// TestEndedBy guards against shares that are closed by marks though it is not proven when the
// process had ended: of a silent router, of one whose successor does not tell, and by the clock
// of an incarnation before it. Only the earliest successor tells soonest.
func TestEndedBy(t *testing.T) {
	dead := waxwingwall.Incarnation{VM: "vm-2", Boot: 5}
	for _, c := range []struct {
		name   string
		clocks map[int64]int64
		want   int64
	}{
		{"silent", nil, 0},
		{"an earlier one", map[int64]int64{4: 1_000}, 0},
		{"its own", map[int64]int64{5: 1_000}, 0},
		{"a successor without", map[int64]int64{6: 0}, 0},
		{"two successors", map[int64]int64{7: 9_000, 6: 4_000}, 4_000},
		{"the second alone", map[int64]int64{6: 0, 7: 9_000}, 9_000},
	} {
		h := newHarness(t)
		for boot, ms := range c.clocks {
			h.edge.nodes.rows[waxwingwall.Incarnation{VM: dead.VM, Boot: boot}] = &node{row: nodeRow{Clock: escrow.RowClock{Ms: ms}}}
		}
		if got := h.edge.endedBy(dead); got.Ms != c.want {
			t.Errorf("%s: ended by %d, want %d", c.name, got.Ms, c.want)
		}
		if closes := len(h.edge.linesInTable(dead)) > 0; closes != (c.want > 0) {
			t.Errorf("%s: closed by marks: %v", c.name, closes)
		}
	}
	if _, err := decodeNode(dead, `{"peers":"10.0.0.2:1","callers":"10.0.0.2:2","clock":{"ms":-5}}`); err == nil {
		t.Error("a row with an absurd clock is used")
	}
}

// TestClosedIn checks that callers refused for want of tokens of dead routers are told when their
// shares are expected to be closed.
func TestClosedIn(t *testing.T) {
	for _, c := range []struct {
		name string
		rows map[int64]int64 // the clocks of the successors by boot
		dead time.Duration
		want time.Duration
	}{
		{"silent", nil, 4 * time.Second, silentCloseDelay - 4*time.Second},
		{"replaced", map[int64]int64{6: 4_000}, 100 * time.Millisecond, 2400 * time.Millisecond},
		{"replaced, its end is not known", map[int64]int64{6: 0}, 2 * time.Second, unprovenCloseDelay - 2*time.Second},
		{"late", map[int64]int64{6: 4_000}, time.Minute, defaultRetryAfter},
	} {
		h := newHarness(t)
		h.edge.births.observe(h.now, waxwingwall.StoreClock{Now: time.Second})
		dead := waxwingwall.Incarnation{VM: "vm-2", Boot: 5}
		h.edge.nodes.rows[dead] = &node{deadSince: h.now.Add(-c.dead), changedAt: h.now.Add(-c.dead)}
		h.edge.nodes.newest = map[waxwingwall.VM]int64{dead.VM: 5}
		for boot, ms := range c.rows {
			h.edge.nodes.rows[waxwingwall.Incarnation{VM: dead.VM, Boot: boot}] = &node{row: nodeRow{Clock: escrow.RowClock{Ms: ms}}}
			h.edge.nodes.newest[dead.VM] = boot
		}
		if got := h.edge.closedIn([]waxwingwall.Incarnation{dead}); got != c.want+closeTime {
			t.Errorf("%s: closed in %s, want %s", c.name, got, c.want+closeTime)
		}
	}
}

// TestEndedElsewhere guards against tokens that are returned though their owner may live: a machine
// at another address that has the name of one that is cut off proves nothing about it, neither to
// others nor to itself.
func TestEndedElsewhere(t *testing.T) {
	const dead, newer = 5, 6
	for _, address := range []string{"10.0.0.9:4001", "10.0.0.10:4001"} {
		h := newHarness(t)
		h.edge.info.Peers = netip.MustParseAddrPort("10.0.0.9:4001")
		for _, vm := range []waxwingwall.VM{"vm-2", h.edge.Self.VM} {
			for boot, row := range map[int64]nodeRow{
				dead:  {Peers: netip.MustParseAddrPort(address)},
				newer: {Peers: h.edge.info.Peers, Clock: escrow.RowClock{Ms: 7_000}},
			} {
				h.edge.nodes.rows[waxwingwall.Incarnation{VM: vm, Boot: boot}] = &node{row: row}
			}
			proven := len(h.edge.linesInTable(waxwingwall.Incarnation{VM: vm, Boot: dead})) > 0
			if want := address == h.edge.info.Peers.String(); proven != want {
				t.Errorf("%s, that ran at %s, is closed by marks: %v, want %v", vm, address, proven, want)
			}
		}
	}
}
