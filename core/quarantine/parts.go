package quarantine

import (
	"cmp"
	"slices"
	"time"

	"waxwingwall"
)

// Defaults of Parts.
const (
	// DefaultPartLimit is the number of crashes that block a part.
	DefaultPartLimit = 4

	// DefaultTrialInterval is the time after the last crash under a blocked part
	// until one request with it is tried again.
	DefaultTrialInterval = time.Minute

	// sameCauseWindow is the time after a crash within which others count as one with
	// it: many endpoints that go at once, as with a rack, have another cause, and end
	// requests with the parts that all prompts begin with.
	sameCauseWindow = 500 * time.Millisecond

	// maxSuspects limits the number of suspects of Parts.
	maxSuspects = 4096

	// maxCrashes limits the number of crashes kept for a part.
	maxCrashes = 32
)

// Crash identifies a crash of an endpoint: each instance of it crashes once.
type Crash struct {
	// Endpoint is the endpoint that crashed.
	Endpoint waxwingwall.Endpoint

	// Born is the Replica.Born of the instance.
	Born int64
}

// compare orders crashes.
func (c Crash) compare(o Crash) int {
	return cmp.Or(cmp.Compare(c.Endpoint, o.Endpoint), cmp.Compare(c.Born, o.Born))
}

// Suspect is what is known of a part of prompts under which endpoints crashed.
// Suspects of several routers merge in any order and any number of times.
type Suspect struct {
	// Part is the ID of the part.
	Part uint64

	// Crashes are the crashes that ended requests with the part before their answers
	// had begun, Cleared those of them of which it is known not to be the cause. Both
	// are in order.
	Crashes, Cleared []Crash

	// Count is the number of crashes that are not cleared; those that follow another
	// one at once don't count.
	Count int

	// Idle is the time since the last crash under the part, or the last request with
	// it that was refused.
	Idle time.Duration
}

// Parts finds the parts of prompts that crash endpoints. The zero value is empty.
//
// A crash ends all runs of an endpoint. Those whose answers had begun did not cause it;
// the parts of the others are its suspects, but for the last part of each prompt, which
// no other request has. A part is blocked once it is a suspect of Limit crashes, where
// those that follow another one at once don't count. Three
// rules keep innocent parts from being blocked with the one that causes the crashes:
//
//   - A complete answer clears all parts of its request, if it was sent after the first
//     crash under them. Parts that many requests share are cleared within the time of
//     an answer.
//   - A request is let through if each of its blocked parts has an alibi: another part,
//     which the request does not have, is a suspect of all the same crashes. If the
//     request is answered, its parts are cleared; if it crashes an endpoint, the alibi
//     is gone.
//   - Some time after the last crash one request is tried (see Trial), with more time
//     after each further crash.
type Parts struct {
	// Limit is the number of crashes that block a part; zero selects
	// DefaultPartLimit.
	Limit int

	// Retention is the time for which a suspect is kept; zero selects
	// DefaultRetention.
	Retention time.Duration

	suspects map[uint64]*suspect
}

// suspect is a Suspect with times of this router.
type suspect struct {
	part             uint64
	crashes, cleared []Crash

	// counted is the number of open crashes without those that follow another one within
	// sameCauseWindow; countedAt is the time of the last that counts.
	counted   int
	countedAt time.Time

	// since is when the part became a suspect, crashedAt the time of its last crash and
	// activeAt that of its last crash or refusal.
	since, crashedAt, activeAt time.Time
}

// add adds a crash that is not known yet.
func (s *suspect) add(now time.Time, c Crash) {
	if s.open() == 0 {
		s.since = now
		s.counted = 0
	}
	s.countCrash(now)
	s.crashes = insert(s.crashes, c)
}

// countCrash counts a crash unless it follows another one within sameCauseWindow.
func (s *suspect) countCrash(now time.Time) {
	if s.counted == 0 || now.Sub(s.countedAt) >= sameCauseWindow {
		s.counted++
		s.countedAt = now
	}
	s.crashedAt = now
}

// count returns the number of open crashes that count.
func (s *suspect) count() int {
	return min(s.counted, s.open())
}

// open returns the crashes of which the part is a suspect.
func (s *suspect) open() int {
	return len(s.crashes) - len(s.cleared)
}

// isOpen reports whether the part is a suspect of a crash.
func (s *suspect) isOpen(c Crash) bool {
	return contains(s.crashes, c) && !contains(s.cleared, c)
}

// makeRoom forgets the crashes of which the part is cleared if there is no room for
// another one, and reports whether there is then.
func (s *suspect) makeRoom() bool {
	if len(s.crashes) == maxCrashes {
		s.crashes = slices.DeleteFunc(slices.Clone(s.crashes), func(c Crash) bool { return contains(s.cleared, c) })
		s.cleared = nil
	}
	return len(s.crashes) < maxCrashes
}

// Record records that a crash ended a request with the given parts, without the last
// one, before its answer had begun. It reports whether it was news.
func (t *Parts) Record(now time.Time, crash Crash, parts []uint64) bool {
	news := false
	for _, part := range parts {
		s := t.suspect(now, part)
		if contains(s.crashes, crash) {
			continue
		}
		s.activeAt = now
		if !s.makeRoom() {
			s.countCrash(now)
			continue
		}
		s.add(now, crash)
		news = true
	}
	return news
}

// Clear records that a request with the given parts, which was sent at a time, got a
// complete answer. It returns the suspects that this clears.
func (t *Parts) Clear(now, sentAt time.Time, parts []uint64) []Suspect {
	var cleared []Suspect
	for _, part := range parts {
		s := t.suspects[part]
		if s == nil || s.open() == 0 || !sentAt.After(s.since) {
			continue
		}
		s.cleared = slices.Clone(s.crashes)
		cleared = append(cleared, s.export(now))
	}
	return cleared
}

// Merge applies what another router knows.
func (t *Parts) Merge(now time.Time, other Suspect) {
	s := t.suspect(now, other.Part)
	for _, c := range other.Crashes {
		if !contains(s.crashes, c) && s.makeRoom() {
			s.add(now, c)
		}
	}
	for _, c := range other.Cleared {
		if contains(s.crashes, c) && !contains(s.cleared, c) {
			s.cleared = insert(s.cleared, c)
		}
	}
	s.counted = max(s.counted, other.Count)
	if active := now.Add(-other.Idle); active.After(s.activeAt) {
		s.activeAt = active
	}
}

// Blocked returns the blocked part for which a request with the given parts must not
// run, and false if it may.
func (t *Parts) Blocked(parts []uint64) (uint64, bool) {
	if len(t.suspects) == 0 {
		return 0, false
	}
	for _, part := range parts {
		if s := t.suspects[part]; s != nil && s.count() >= t.limit() && !t.hasAlibi(s, parts) {
			return part, true
		}
	}
	return 0, false
}

// hasAlibi reports whether a part that is not among the given ones is a suspect of all
// crashes of a suspect.
func (t *Parts) hasAlibi(s *suspect, parts []uint64) bool {
	for _, other := range t.suspects {
		if other.open() < s.open() || slices.Contains(parts, other.part) {
			continue
		}
		if !slices.ContainsFunc(s.crashes, func(c Crash) bool { return s.isOpen(c) && !other.isOpen(c) }) {
			return true
		}
	}
	return false
}

// Refused records that a request was refused for a part, so that it stays blocked
// while such requests come.
func (t *Parts) Refused(now time.Time, part uint64) {
	if s := t.suspects[part]; s != nil {
		s.activeAt = now
	}
}

// Trial reports whether a request with a blocked part should be tried now. The time
// since the last crash must be DefaultTrialInterval, and twice as long for each crash
// above the limit; no other one is tried until as much time has passed again.
func (t *Parts) Trial(now time.Time, part uint64) bool {
	s := t.suspects[part]
	if s == nil || now.Sub(s.crashedAt) < DefaultTrialInterval<<min(max(s.count()-t.limit(), 0), 10) {
		return false
	}
	s.crashedAt = now
	return true
}

// Crashes returns the number of crashes of which a part is a suspect.
func (t *Parts) Crashes(part uint64) int {
	if s := t.suspects[part]; s != nil {
		return s.count()
	}
	return 0
}

// List returns the blocked suspects, in the order of their parts.
func (t *Parts) List(now time.Time) []Suspect {
	var all []Suspect
	for _, s := range t.suspects {
		if s.count() >= t.limit() {
			all = append(all, s.export(now))
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int { return cmp.Compare(a.Part, b.Part) })
	return all
}

// Get returns the suspects among the given parts.
func (t *Parts) Get(now time.Time, parts []uint64) []Suspect {
	var found []Suspect
	for _, part := range parts {
		if s := t.suspects[part]; s != nil {
			found = append(found, s.export(now))
		}
	}
	return found
}

// Len returns the number of suspects.
func (t *Parts) Len() int {
	return len(t.suspects)
}

// Expire removes the suspects that were not active during the retention time.
func (t *Parts) Expire(now time.Time) {
	for part, s := range t.suspects {
		if now.Sub(s.activeAt) > t.retention() {
			delete(t.suspects, part)
		}
	}
}

// suspect returns the suspect of a part and creates it if needed.
func (t *Parts) suspect(now time.Time, part uint64) *suspect {
	if s := t.suspects[part]; s != nil {
		return s
	}
	if t.suspects == nil {
		t.suspects = map[uint64]*suspect{}
	}
	if len(t.suspects) >= maxSuspects {
		t.evictOldest()
	}
	s := &suspect{
		part:  part,
		since: now,
	}
	t.suspects[part] = s
	return s
}

// evictOldest removes the suspect that was not active for longest.
func (t *Parts) evictOldest() {
	var oldest *suspect
	for _, s := range t.suspects {
		if oldest == nil || s.activeAt.Before(oldest.activeAt) || s.activeAt.Equal(oldest.activeAt) && s.part < oldest.part {
			oldest = s
		}
	}
	delete(t.suspects, oldest.part)
}

func (t *Parts) limit() int {
	return cmp.Or(t.Limit, DefaultPartLimit)
}

func (t *Parts) retention() time.Duration {
	return cmp.Or(t.Retention, DefaultRetention)
}

// export returns the suspect in the form for other routers.
func (s *suspect) export(now time.Time) Suspect {
	return Suspect{
		Part:    s.part,
		Crashes: slices.Clone(s.crashes),
		Cleared: slices.Clone(s.cleared),
		Count:   s.count(),
		Idle:    now.Sub(s.activeAt),
	}
}

// contains reports whether a crash is among others in order.
func contains(all []Crash, c Crash) bool {
	_, found := slices.BinarySearchFunc(all, c, Crash.compare)
	return found
}

// insert adds a crash to others in order.
func insert(all []Crash, c Crash) []Crash {
	at, found := slices.BinarySearchFunc(all, c, Crash.compare)
	if found {
		return all
	}
	return slices.Insert(slices.Clone(all), at, c)
}
