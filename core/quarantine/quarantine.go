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
// complete answer to a request that was sent after the last crash clears its
// fingerprint. A suspect without a new crash or notice during the retention time is
// removed; a blocked fingerprint stays for longer, and now and then one request is tried.
package quarantine

import (
	"cmp"
	"slices"
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

	// trialGrowth is the factor by which the time until the next trial grows with each crash
	// above the limit.
	trialGrowth = 16

	// maxTrialInterval limits the time between two trials.
	maxTrialInterval = 7 * 24 * time.Hour
)

// Notice is the number of crashes that one router counted for a fingerprint.
type Notice struct {
	// Fingerprint identifies the content of the request.
	Fingerprint uint64 `json:"fingerprint"`

	// Reporter is the router that counted the crashes.
	Reporter waxwingwall.Incarnation `json:"reporter"`

	// Crashes is the count; it never decreases while the reporter keeps the
	// fingerprint.
	Crashes int `json:"crashes"`

	// Cleared is how many of them are known to have another cause; at most Crashes.
	Cleared int `json:"cleared,omitempty"`
}

// Valid reports whether a router can have sent the notice.
func (n Notice) Valid() bool {
	return n.Fingerprint != 0 && n.Crashes > 0 && n.Crashes <= maxReported && n.Cleared >= 0 && n.Cleared <= n.Crashes
}

// maxReported limits the crashes that one router counts for a fingerprint.
const maxReported = 1 << 20

// Table is a router's record of crashes. The zero value is empty.
type Table struct {
	// Limit is the number of crashes that block a fingerprint; zero selects
	// DefaultLimit.
	Limit int

	// Retention is the time for which a crash is kept; zero selects
	// DefaultRetention.
	Retention time.Duration

	// BlockedRetention is the time for which a blocked fingerprint is kept after the last crash
	// or refusal; zero selects Retention.
	BlockedRetention time.Duration

	entries map[uint64]*entry
}

type entry struct {
	notices []Notice

	// lastNotice is when a crash was last counted, or a request refused, and changedAt when
	// the counts last changed. triedAt is the last trial; zero if there was none.
	lastNotice, changedAt, triedAt time.Time

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
	n.Cleared = e.cleared(self)
	e.merge(n)
	e.changedAt = now
	return n, true
}

// Merge applies a notice from a peer. It reports whether it was news.
func (t *Table) Merge(now time.Time, n Notice) bool {
	if n.Fingerprint == 0 {
		return false
	}
	if e := t.entries[n.Fingerprint]; e != nil && !e.changedBy(n) {
		return false
	}
	e := t.entry(now, n.Fingerprint)
	e.merge(n)
	e.changedAt = now
	return true
}

// Crashes returns the number of crashes, counted by all routers, that ended
// runs of the fingerprint and are not cleared.
func (t *Table) Crashes(now time.Time, fp uint64) int {
	e := t.entries[fp]
	if e == nil || t.expired(now, e) {
		return 0
	}
	return e.open()
}

// Blocked reports whether the fingerprint must not run.
func (t *Table) Blocked(now time.Time, fp uint64) bool {
	return t.BlockedAfter(now, fp, 0)
}

// BlockedAfter reports whether the fingerprint must not run if so many further crashes count.
func (t *Table) BlockedAfter(now time.Time, fp uint64, further int) bool {
	return t.Crashes(now, fp)+further >= t.limit()
}

// Refused records that a request was refused, so that its fingerprint stays blocked while it
// comes.
func (t *Table) Refused(now time.Time, fp uint64) {
	if e := t.entries[fp]; e != nil {
		e.lastNotice = now
	}
}

// Trial reports whether a request with a blocked fingerprint should be tried now. The time since
// the counts changed must be DefaultTrialInterval, and trialGrowth times as long for each crash
// above the limit; no other one is tried until as much time has passed again.
func (t *Table) Trial(now time.Time, fp uint64) bool {
	e := t.entries[fp]
	if e == nil {
		return false
	}
	interval := DefaultTrialInterval
	for range e.open() - t.limit() {
		interval = min(interval*trialGrowth, maxTrialInterval)
	}
	last := e.changedAt
	if e.triedAt.After(last) {
		last = e.triedAt
	}
	if now.Sub(last) < interval {
		return false
	}
	e.triedAt = now
	return true
}

// Clear records that a request with the fingerprint, which was sent at a time, got a complete
// answer, so that it did not cause the crashes before. It returns the notices for the peers.
func (t *Table) Clear(now, sentAt time.Time, fp uint64) []Notice {
	e := t.entries[fp]
	if e == nil || e.open() == 0 || !sentAt.After(e.changedAt) {
		return nil
	}
	e.lastNotice = now
	for i := range e.notices {
		e.notices[i].Cleared = e.notices[i].Crashes
	}
	e.changedAt = now
	return slices.Clone(e.notices)
}

// List returns up to limit notices: those of fingerprints that are blocked, with the latest ones
// first, and of those that were cleared as well if cleared is set. It has all notices of a
// fingerprint or none.
func (t *Table) List(now time.Time, limit int, cleared bool) []Notice {
	var listed []*entry
	for _, e := range t.entries {
		if !t.expired(now, e) && (e.open() >= t.limit() || cleared && e.open() < e.total()) {
			listed = append(listed, e)
		}
	}
	slices.SortFunc(listed, func(a, b *entry) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.notices[0].Fingerprint, b.notices[0].Fingerprint))
	})
	var notices []Notice
	for _, e := range listed {
		if len(notices)+len(e.notices) <= limit {
			notices = append(notices, e.notices...)
		}
	}
	return notices
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int {
	return len(t.entries)
}

// Expire removes entries older than the retention time.
func (t *Table) Expire(now time.Time) {
	for fp, e := range t.entries {
		if t.expired(now, e) {
			delete(t.entries, fp)
		}
	}
}

// expired reports whether an entry is older than its retention time.
func (t *Table) expired(now time.Time, e *entry) bool {
	retention := t.retention()
	if t.BlockedRetention > 0 && e.open() >= t.limit() {
		retention = t.BlockedRetention
	}
	return now.Sub(e.lastNotice) > retention
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
// table exceeds maxFingerprints: of those that are not blocked, if there are any.
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
		a, b := t.entries[all[i]], t.entries[all[j]]
		if blocked := a.open() >= t.limit(); blocked != (b.open() >= t.limit()) {
			return !blocked
		}
		if !a.lastNotice.Equal(b.lastNotice) {
			return a.lastNotice.Before(b.lastNotice)
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

// notice returns the notice of a router; its counts are zero if there is none.
func (e *entry) notice(r waxwingwall.Incarnation) Notice {
	for _, n := range e.notices {
		if n.Reporter == r {
			return n
		}
	}
	return Notice{}
}

func (e *entry) count(r waxwingwall.Incarnation) int {
	return e.notice(r).Crashes
}

func (e *entry) cleared(r waxwingwall.Incarnation) int {
	return e.notice(r).Cleared
}

// total returns the number of crashes that all routers counted, open those that are not cleared.
func (e *entry) total() int {
	sum := 0
	for _, n := range e.notices {
		sum += n.Crashes
	}
	return sum
}

func (e *entry) open() int {
	sum := 0
	for _, n := range e.notices {
		sum += n.Crashes - n.Cleared
	}
	return sum
}

// changedBy reports whether a notice has more than is known.
func (e *entry) changedBy(n Notice) bool {
	known := e.notice(n.Reporter)
	return n.Crashes > known.Crashes || n.Cleared > known.Cleared
}

func (e *entry) merge(n Notice) {
	for i := range e.notices {
		if known := &e.notices[i]; known.Reporter == n.Reporter {
			known.Crashes = max(known.Crashes, n.Crashes)
			known.Cleared = max(known.Cleared, n.Cleared)
			return
		}
	}
	e.notices = append(e.notices, n)
}
