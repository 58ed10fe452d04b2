// Package quarantine blocks requests that crash the endpoints that run them: whole
// requests that come again (Table), and unlike ones that share a part of their prompts
// (Parts).
//
// Each router keeps a Table of request fingerprints and of the crashes that
// ended their runs. A crash also ends the runs of unrelated requests, so a
// single crash only makes a fingerprint suspect; it is blocked after Limit
// crashes. Routers exchange Notices, which hold the sender's total count for a
// fingerprint. A Table keeps the highest count of each router: a duplicate or
// late notice changes nothing, and the next notice makes up for a lost one. A
// fingerprint without a new crash or notice during the retention time is
// removed.
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

	// sameCrashWindow is the time after a crash of an endpoint during which the
	// end of another run of the same fingerprint on it counts as the same
	// crash.
	sameCrashWindow = 500 * time.Millisecond

	// maxFingerprints limits the size of a table.
	maxFingerprints = 4096
)

// Notice is the number of crashes that one router counted for a fingerprint.
type Notice struct {
	// Fingerprint identifies the content of the request.
	Fingerprint uint64

	// Reporter is the router that counted the crashes.
	Reporter waxwingwall.Incarnation

	// Crashes is the count; it never decreases while the reporter keeps the
	// fingerprint.
	Crashes int
}

// Table is a router's record of crashes. The zero value is empty.
type Table struct {
	// Limit is the number of crashes that block a fingerprint; zero selects
	// DefaultLimit.
	Limit int

	// Retention is the time for which a crash is kept; zero selects
	// DefaultRetention.
	Retention time.Duration

	entries map[uint64]*entry
}

type entry struct {
	notices    []Notice
	lastNotice time.Time

	// The last crash that this router counted. It prevents counting one crash
	// twice.
	endpoint  waxwingwall.Endpoint
	lastCrash time.Time
}

// RecordCrash records that a run of the fingerprint ended with a crash of the
// endpoint. It returns the notice for the peers, and false if the crash is not
// counted: the fingerprint is zero, or the crash was counted already.
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

// Merge applies a notice from a peer.
func (t *Table) Merge(now time.Time, n Notice) {
	if n.Fingerprint != 0 {
		t.entry(now, n.Fingerprint).merge(n)
	}
}

// Crashes returns the number of crashes, counted by all routers, that ended
// runs of the fingerprint.
func (t *Table) Crashes(now time.Time, fp uint64) int {
	e := t.entries[fp]
	if e == nil || now.Sub(e.lastNotice) > t.retention() {
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

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int {
	return len(t.entries)
}

// Expire removes entries older than the retention time.
func (t *Table) Expire(now time.Time) {
	for fp, e := range t.entries {
		if now.Sub(e.lastNotice) > t.retention() {
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

// evictOldest removes the least recently updated entry other than keep if the
// table exceeds maxFingerprints.
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

func (t *Table) retention() time.Duration {
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
