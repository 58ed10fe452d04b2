package edge

import (
	"net/netip"
	"time"

	"waxwingwall"
	"waxwingwall/core/quarantine"
)

const (
	// crashRetention is how long crashes are kept.
	crashRetention = time.Minute

	// crashConfirmTime is the time after a broken run within which its endpoint
	// must be found unreachable, removed or replaced for the run to count as a
	// crash.
	crashConfirmTime = 5 * time.Second
)

// crashTracker tracks the requests whose runs ended with a broken connection. A
// run counts as a crash only if its endpoint is found unreachable, removed or
// replaced soon after.
type crashTracker struct {
	table   quarantine.Table
	pending []brokenRun
}

// brokenRun is a run that ended with a broken connection.
type brokenRun struct {
	fingerprint uint64
	endpoint    waxwingwall.Endpoint
	address     netip.AddrPort
	at          time.Time
	confirmed   bool
}

// addBroken records a broken run.
func (t *crashTracker) addBroken(now time.Time, fingerprint uint64, on waxwingwall.Replica) {
	if fingerprint == 0 {
		return
	}
	t.pending = append(t.pending, brokenRun{
		fingerprint: fingerprint,
		endpoint:    on.Endpoint,
		address:     on.Address,
		at:          now,
	})
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
	var notices []quarantine.Notice
	kept := e.crashes.pending[:0]
	for _, b := range e.crashes.pending {
		if !b.confirmed {
			kept = append(kept, b)
			continue
		}
		n, counted := e.crashes.table.RecordCrash(e.now, e.Self, b.fingerprint, b.endpoint)
		if !counted {
			continue
		}
		notices = append(notices, n)
		e.log("crash_counted", "", field("fingerprint", n.Fingerprint),
			field("endpoint", b.endpoint), field("crashes", e.crashes.table.Crashes(e.now, b.fingerprint)))
	}
	e.crashes.pending = kept
	if len(notices) > 0 {
		e.broadcast(Crashes{
			Notices: notices,
		}, reportFanout)
	}
}
