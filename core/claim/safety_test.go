package claim_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/claim"
)

// keyCount is the number of distinct requests.
const keyCount = 60

var testVMs = []waxwingwall.VM{"a", "b", "c", "d"}

// TestSafety runs four VMs through random faults and then heals them. It
// checks throughout that no non-idempotent request runs twice, that no caller
// gets "not run" for a request that is running, and that a finished key stays
// finished. At the end it checks that every settled request has exactly one
// bill, and that no request has two.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.abandon = 15
		for _, vm := range testVMs {
			w.boot(vm, domainOf(vm))
		}
		w.advance(time.Duration(rapid.IntRange(0, 10).Draw(t, "calm")) * time.Second)
		steps := rapid.IntRange(10, 60).Draw(t, "steps")
		for i := range steps {
			w.injectFault(t)
			if len(w.violations) > 0 {
				t.Fatalf("step %d: %v", i, w.violations)
			}
		}
		w.heal()
		w.checkBills(t)
	})
}

func domainOf(vm waxwingwall.VM) waxwingwall.Domain {
	return waxwingwall.Domain(fmt.Sprint("d", vm[0]%3))
}

// injectFault performs one random fault, request or delay.
func (w *world) injectFault(t *rapid.T) {
	vm := rapid.SampledFrom(testVMs).Draw(t, "vm")
	switch rapid.IntRange(0, 21).Draw(t, "what") {
	case 0:
		w.kill(vm)
	case 1:
		if r := w.liveRouter(vm); r != nil && r.closed {
			w.renew(vm)
			return
		}
		w.restart(vm)
	case 2:
		if r := w.liveRouter(vm); r != nil {
			r.paused = !r.paused
		}
	case 3:
		w.tableFault = true
		w.table.down = !w.table.down
	case 4:
		w.tableFault = true
		w.table.loss = rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "table loss")
	case 5:
		w.loss = rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "loss")
		w.duplication = rapid.SampledFrom([]int{0, 20}).Draw(t, "repeat")
	case 6, 7:
		other := rapid.SampledFrom(testVMs).Draw(t, "other")
		key := [2]waxwingwall.VM{vm, other}
		w.cut[key] = !w.cut[key]
	case 8, 9:
		w.suspected[vm] = !w.suspected[vm]
		w.updatePeers()
	case 10:
		if r := w.liveRouter(vm); r != nil {
			r.ledger.Drain(w.now)
		}
	case 11, 12, 13:
		w.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "time")) * 50 * time.Millisecond)
	case 14, 15:
		w.suspected[vm] = true
		w.updatePeers()
		w.submitBurst(vm)
	default:
		w.submitNumber(vm, rapid.IntRange(0, keyCount-1).Draw(t, "key"))
	}
	w.advance(time.Duration(rapid.IntRange(0, 6).Draw(t, "ticks")) * testTick)
}

// submitBurst sends requests to a suspected VM and to others at each step of
// the period in which the VM may be closed.
func (w *world) submitBurst(vm waxwingwall.VM) {
	for range 40 {
		w.submitNumber(vm, w.rng.IntN(keyCount))
		w.submitNumber(testVMs[w.rng.IntN(len(testVMs))], w.rng.IntN(keyCount))
		w.advance(testTick)
	}
}

// submitNumber submits request n, which may be new or a retry.
func (w *world) submitNumber(vm waxwingwall.VM, n int) {
	request := claim.RunRequest{
		Identity: waxwingwall.Identity{
			Account: waxwingwall.Account(fmt.Sprint("account", n%5)),
			Key:     fmt.Sprint(n),
		},
		Idempotent: n%3 == 0,
		Budget:     "budget",
		Worst:      100,
		Digest:     uint64(n),
	}
	if r := w.liveRouter(vm); r != nil && !r.paused && !r.closed {
		w.submit(r, request)
	}
}

// liveRouter returns the live router of a VM, or nil.
func (w *world) liveRouter(vm waxwingwall.VM) *router {
	for _, r := range w.routers {
		if r.self.VM == vm && !r.dead {
			return r
		}
	}
	return nil
}

func (w *world) kill(vm waxwingwall.VM) {
	if r := w.liveRouter(vm); r != nil {
		r.dead = true
		r.killed = true
		w.kills++
		w.updatePeers()
	}
}

func (w *world) restart(vm waxwingwall.VM) {
	w.kill(vm)
	w.boot(vm, domainOf(vm))
}

// renew lets the process of a VM continue as a new incarnation, or starts one
// if there is none.
func (w *world) renew(vm waxwingwall.VM) {
	r := w.liveRouter(vm)
	if r == nil {
		w.boot(vm, domainOf(vm))
		return
	}
	r.dead = true
	w.boot(vm, domainOf(vm), r.ledger.Late()...)
}

// heal ends all faults, replaces dead routers and waits until all requests
// have ended.
func (w *world) heal() {
	w.table.down = false
	w.table.loss = 0
	w.loss = 0
	w.duplication = 0
	clear(w.cut)
	clear(w.suspected)
	w.tick = 4 * testTick
	for range 5 {
		for _, vm := range testVMs {
			r := w.liveRouter(vm)
			if r != nil {
				r.paused = false
			}
			if r == nil || r.closed || r.ledger.Drained() {
				w.renew(vm)
			}
		}
		w.updatePeers()
		w.advance(30 * time.Second)
	}
}

// sorted lists the requests by key.
func (w *world) sorted() []*identityRecord {
	var list []*identityRecord
	for _, rec := range w.records {
		list = append(list, rec)
	}
	slices.SortFunc(list, func(a, b *identityRecord) int {
		return strings.Compare(a.request.Identity.Key, b.request.Identity.Key)
	})
	return list
}

// checkBills submits every request again and counts its bills.
func (w *world) checkBills(t *rapid.T) {
	for _, rec := range w.sorted() {
		w.submit(w.liveRouter("a"), rec.request)
	}
	w.abandon = 0
	w.advance(30 * time.Second)
	bills := w.bills()
	for _, rec := range w.sorted() {
		id := rec.request.Identity
		v := w.submit(w.liveRouter("a"), rec.request)
		if v.Kind == claim.Fresh {
			w.advance(15 * time.Second)
			v = w.submit(w.liveRouter("a"), rec.request)
			bills = w.bills()
		}
		if v.Kind != claim.Finished {
			w.traceAll()
			t.Fatalf("%v: verdict %v at the end", id, v)
		}
		if len(bills[id]) > 1 {
			t.Fatalf("%v: bills %v", id, bills[id])
		}
		if rec.finished && !w.lostByAll(rec) && rec.answers[0].Outcome == waxwingwall.Ran && len(bills[id]) == 0 {
			t.Fatalf("%v: settled but not billed", id)
		}
	}
	if len(w.violations) > 0 {
		t.Fatalf("at the end: %v", w.violations)
	}
}
