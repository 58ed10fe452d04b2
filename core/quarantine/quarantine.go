// Package quarantine stops requests that crash the endpoints that run them.
//
// Each router keeps a Table of fingerprints of requests and of the crashes
// that ended their runs. A crash ends the runs of innocent requests too, so one
// crash makes a suspect only; a fingerprint is blocked once Limit crashes ended
// runs of it. Routers tell each other what they saw by Notices: a count for
// each reporting router, merged by the larger count, so that lost and repeated
// notices do no harm. What was not seen for the retention time is forgotten.
package quarantine

import (
	"sort"
	"time"

	"waxwingwall"
)

// Defaults of a Table.
const (
	DefaultLimit     = 3
	DefaultRetention = 10 * time.Minute

	// sameCrashWindow is how long after a crash of an endpoint another run of the
	// same fingerprint that ends with it counts as ended by the same crash.
	sameCrashWindow = 500 * time.Millisecond

	// maxFingerprints bounds the table.
	maxFingerprints = 4096
)

// Notice tells how many crashes one router saw for a fingerprint.
type Notice struct {
	// Fingerprint is that of the request.
	Fingerprint uint64

	// Reporter is the router that saw the crashes.
	Reporter waxwingwall.Incarnation

	// Crashes counts up.
	Crashes int
}

// Table is what a router knows of crashes. The zero value is empty.
type Table struct {
	// Limit is the number of crashes that block; zero stands for DefaultLimit.
	Limit int

	// Retention is how long a crash is remembered; zero stands for DefaultRetention.
	Retention time.Duration

	entries map[uint64]*entry
}

type entry struct {
	notices    []Notice
	lastNotice time.Time

	// The last crash seen here, to count one crash once.
	endpoint  waxwingwall.Endpoint
	lastCrash time.Time
}

// RecordCrash takes in that a run of the fingerprint ended with a crash of the
// endpoint, and returns the notice for the peers. A zero fingerprint is not
// tracked.
func (t *Table) RecordCrash(now time.Time, self waxwingwall.Incarnation, fp uint64, on waxwingwall.Endpoint) (Notice, bool) {
	if fp == 0 {
		return Notice{}, false
	}
	e := t.entry(now, fp)
	if e.endpoint == on && now.Sub(e.lastCrash) < sameCrashWindow {
		return Notice{}, false
	}
	e.endpoint = on
	e.lastCrash = now
	n := Notice{
		Fingerprint: fp,
		Reporter:    self,
		Crashes:     e.count(self) + 1,
	}
	e.merge(n)
	return n, true
}

// Merge takes in a notice of a peer.
func (t *Table) Merge(now time.Time, n Notice) {
	if n.Fingerprint != 0 {
		t.entry(now, n.Fingerprint).merge(n)
	}
}

// Crashes returns how many crashes, fleet-wide, ended runs of the fingerprint.
func (t *Table) Crashes(now time.Time, fp uint64) int {
	e := t.entries[fp]
	if e == nil || now.Sub(e.lastNotice) > t.retain() {
		return 0
	}
	sum := 0
	for _, n := range e.notices {
		sum += n.Crashes
	}
	return sum
}

// Blocked reports whether the fingerprint must not run.
func (t *Table) Blocked(now time.Time, fp uint64) bool {
	return t.Crashes(now, fp) >= t.limit()
}

// Len returns the number of fingerprints held.
func (t *Table) Len() int {
	return len(t.entries)
}

// Expire forgets what is older than the retention time.
func (t *Table) Expire(now time.Time) {
	for fp, e := range t.entries {
		if now.Sub(e.lastNotice) > t.retain() {
			delete(t.entries, fp)
		}
	}
}

func (t *Table) entry(now time.Time, fp uint64) *entry {
	if t.entries == nil {
		t.entries = map[uint64]*entry{}
	}
	e := t.entries[fp]
	if e == nil {
		e = &entry{}
		t.entries[fp] = e
		t.evictOldest(fp)
	}
	e.lastNotice = now
	return e
}

// evictOldest drops the entry heard of least recently if there are too many.
func (t *Table) evictOldest(keep uint64) {
	if len(t.entries) <= maxFingerprints {
		return
	}
	var all []uint64
	for fp := range t.entries {
		if fp != keep {
			all = append(all, fp)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := t.entries[all[i]].lastNotice, t.entries[all[j]].lastNotice
		if !a.Equal(b) {
			return a.Before(b)
		}
		return all[i] < all[j]
	})
	delete(t.entries, all[0])
}

func (t *Table) limit() int {
	if t.Limit == 0 {
		return DefaultLimit
	}
	return t.Limit
}

func (t *Table) retain() time.Duration {
	if t.Retention == 0 {
		return DefaultRetention
	}
	return t.Retention
}

func (e *entry) count(r waxwingwall.Incarnation) int {
	for _, n := range e.notices {
		if n.Reporter == r {
			return n.Crashes
		}
	}
	return 0
}

func (e *entry) merge(n Notice) {
	for i := range e.notices {
		if e.notices[i].Reporter == n.Reporter {
			e.notices[i].Crashes = max(e.notices[i].Crashes, n.Crashes)
			return
		}
	}
	e.notices = append(e.notices, n)
}
