package edge

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/quarantine"
)

const (
	// crashRetention is how long crashes are kept.
	crashRetention = time.Minute

	// blockedRetention is how long a blocked request is kept that does not come any more.
	blockedRetention = 24 * time.Hour

	// crashConfirmTime is the time after a broken run within which its endpoint
	// must be found unreachable, removed or replaced for the run to count as a
	// crash.
	crashConfirmTime = 5 * time.Second

	// crashProbeInterval is the minimum time between two probes of an address at
	// which runs broke.
	crashProbeInterval = 200 * time.Millisecond

	// crashFanout is the number of peers that are told of a crash: all of them, as
	// any router may get the next request that causes one.
	crashFanout = math.MaxInt
)

// crashTracker tracks the requests whose runs ended with a broken connection, and the
// parts of their prompts. A run counts as a crash only if its endpoint is found
// unreachable, removed or replaced soon after.
type crashTracker struct {
	table   quarantine.Table
	parts   quarantine.Parts
	pending []brokenRun

	blockedRow
}

// brokenRun is a run that ended with a broken connection.
type brokenRun struct {
	fingerprint uint64
	crash       quarantine.Crash
	address     netip.AddrPort
	at          time.Time
	confirmed   bool

	// parts are the shared parts of the prompt if no part of the answer had arrived.
	parts []uint64
}

// addBroken records a broken run. It reports whether the address is to be probed: a
// single probe tells whether all runs there have ended with the endpoint.
func (t *crashTracker) addBroken(now time.Time, r *request, answered bool, on waxwingwall.Replica) bool {
	run := brokenRun{
		fingerprint: r.call.Fingerprint,
		crash: quarantine.Crash{
			Endpoint: on.Endpoint,
			Born:     on.Born,
		},
		address: on.Address,
		at:      now,
	}
	if !answered {
		run.parts = sharedParts(r.call)
	}
	if run.fingerprint == 0 && len(run.parts) == 0 {
		return false
	}
	probed := slices.ContainsFunc(t.pending, func(b brokenRun) bool {
		return b.address == on.Address && now.Sub(b.at) < crashProbeInterval
	})
	t.pending = append(t.pending, run)
	return !probed
}

// sharedParts returns the IDs of the parts of a prompt that other requests may have.
func sharedParts(c waxwingwall.Call) []uint64 {
	var ids []uint64
	for i := range len(c.Parts) - 1 {
		ids = append(ids, c.Parts[i].ID)
	}
	return ids
}

// addressChanged confirms the broken runs at an address whose endpoint was added,
// removed or found unreachable.
func (t *crashTracker) addressChanged(now time.Time, address netip.AddrPort) {
	for i := range t.pending {
		if t.pending[i].address == address && now.Sub(t.pending[i].at) <= crashConfirmTime {
			t.pending[i].confirmed = true
		}
	}
}

// expire removes old broken runs and crashes.
func (t *crashTracker) expire(now time.Time) {
	kept := t.pending[:0]
	for _, b := range t.pending {
		if now.Sub(b.at) <= crashConfirmTime {
			kept = append(kept, b)
		}
	}
	t.pending = kept
	t.table.Expire(now)
	t.parts.Expire(now)
}

// handleBroken records a broken run and finds out whether its endpoint crashed.
func (e *Edge) handleBroken(r *request, target *endpoint, answered bool) {
	if e.crashes.addBroken(e.now, r, answered, target.replica) {
		e.emit(Probe{
			Address:     target.replica.Address,
			DialTimeout: maxDialTimeout,
		})
	}
}

// confirmCrash counts the broken runs at an endpoint as crashes after it was
// found unreachable or replaced.
func (e *Edge) confirmCrash(target *endpoint) {
	e.crashes.addressChanged(e.now, target.replica.Address)
	e.countCrashes()
}

// countCrashes counts the confirmed broken runs as crashes and notifies the
// peers.
func (e *Edge) countCrashes() {
	var m Crashes
	kept := e.crashes.pending[:0]
	for _, b := range e.crashes.pending {
		if !b.confirmed {
			kept = append(kept, b)
			continue
		}
		if n, counted := e.crashes.table.RecordCrash(e.now, e.Self, b.fingerprint, b.crash.Endpoint); counted {
			m.Notices = append(m.Notices, n)
			e.crashes.rowStale = true
			e.log("crash_counted", "", field("fingerprint", n.Fingerprint),
				field("endpoint", b.crash.Endpoint), field("crashes", e.crashes.table.Crashes(e.now, b.fingerprint)))
		}
		if e.crashes.parts.Record(e.now, b.crash, b.parts) {
			m.Suspects = append(m.Suspects, e.crashes.parts.Get(e.now, b.parts)...)
			e.log("parts_suspected", "", field("endpoint", b.crash.Endpoint), field("born", b.crash.Born),
				field("parts", e.partCounts(b.parts)))
		}
	}
	e.crashes.pending = kept
	if len(m.Notices)+len(m.Suspects) > 0 {
		e.broadcast(m, crashFanout)
	}
}

// partCounts returns the IDs of parts with the number of crashes under each, for the
// log.
func (e *Edge) partCounts(parts []uint64) []string {
	texts := make([]string, len(parts))
	for i, part := range parts {
		texts[i] = fmt.Sprintf("%x:%d", part, e.crashes.parts.Crashes(part))
	}
	return texts
}

// clearParts records that a request got a complete answer with success, so that none of
// its parts crashes endpoints.
func (e *Edge) clearParts(r *request) {
	if e.crashes.parts.Len() == 0 {
		return
	}
	cleared := e.crashes.parts.Clear(e.now, r.sentAt, sharedParts(r.call))
	if len(cleared) > 0 {
		e.broadcast(Crashes{
			Suspects: cleared,
		}, reportFanout)
	}
}

// quarantined reports whether a request must not run, since it or a part of its prompt
// crashed endpoints. A request with a blocked part may be tried if this router is the
// one to do so.
func (e *Edge) quarantined(r *request) bool {
	if e.blocked(r) {
		return true
	}
	part, blocked := e.crashes.parts.Blocked(sharedParts(r.call))
	if !blocked {
		return false
	}
	if e.triesFirst(part) && e.crashes.parts.Trial(e.now, part) {
		e.log("part_tried", r.call.ID, field("part", fmt.Sprintf("%x", part)), field("crashes", e.crashes.parts.Crashes(part)))
		return false
	}
	e.crashes.parts.Refused(e.now, part)
	e.log("part_blocked", r.call.ID, field("part", fmt.Sprintf("%x", part)), field("crashes", e.crashes.parts.Crashes(part)))
	return true
}

// triesFirst reports whether this router tries a blocked request or part: the first live one in
// an order that all routers agree on.
func (e *Edge) triesFirst(id uint64) bool {
	return e.turn(id) == 0
}

// turn returns how many live routers come before this one in an order by ID that all routers
// agree on.
func (e *Edge) turn(id uint64) int {
	order := func(vm waxwingwall.VM) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%x %s", id, vm))
	}
	own := order(e.Self.VM)
	earlier := 0
	for _, p := range e.view.Peers(e.now) {
		if p.Alive && order(p.Incarnation.VM) < own {
			earlier++
		}
	}
	return earlier
}
