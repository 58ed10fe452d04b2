package quarantine_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/quarantine"
)

// TestFullTableKeepsBlocked guards against a blocked fingerprint that a full table forgets for
// others that are only suspects.
func TestFullTableKeepsBlocked(t *testing.T) {
	var table quarantine.Table
	self := waxwingwall.Incarnation{VM: "a"}
	for i := range quarantine.DefaultLimit {
		table.RecordCrash(start.Add(time.Duration(i)*time.Second), self, 7, "model-0")
	}
	now := start.Add(time.Minute)
	for fp := range uint64(4_500) {
		table.RecordCrash(now, self, 100+fp, "model-1")
	}
	if !table.Blocked(now, 7) {
		t.Error("forgotten")
	}
}

// TestCleared checks that routers which exchange all notices agree on what is blocked, in whichever
// order crashes are counted and answers clear them, and that no crash after an answer is cleared.
func TestCleared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := make([]quarantine.Table, 3)
		var notices []quarantine.Notice
		after := 0
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			r := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
			now := start.Add(time.Duration(i) * time.Second)
			if rapid.IntRange(0, 3).Draw(t, "step") > 0 {
				self := waxwingwall.Incarnation{VM: waxwingwall.VM(rune('a' + r))}
				n, _ := routers[r].RecordCrash(now, self, 5, "model-0")
				notices = append(notices, n)
				after++
				continue
			}
			for _, n := range notices {
				routers[r].Merge(now, n)
			}
			if cleared := routers[r].Clear(now, now.Add(time.Millisecond), 5); len(cleared) > 0 {
				notices = append(notices, cleared...)
				after = 0
			}
		}
		now := start.Add(time.Minute)
		for r := range routers {
			for range notices {
				n := notices[rapid.IntRange(0, len(notices)-1).Draw(t, "notice")]
				routers[r].Merge(now, n)
			}
			for _, n := range notices {
				routers[r].Merge(now, n)
				if !n.Valid() {
					t.Fatalf("notice %+v", n)
				}
			}
			if got := routers[r].Crashes(now, 5); got != after {
				t.Fatalf("router %d: %d crashes, want %d", r, got, after)
			}
		}
	})
}

// TestTrialTimes checks that the time until the next trial grows with each crash above the limit,
// and that a refused request keeps its fingerprint blocked.
func TestTrialTimes(t *testing.T) {
	table := quarantine.Table{
		Retention:        time.Minute,
		BlockedRetention: 24 * time.Hour,
	}
	self := waxwingwall.Incarnation{VM: "a"}
	now := start
	for range quarantine.DefaultLimit {
		table.RecordCrash(now, self, 7, "model-0")
		now = now.Add(time.Second)
	}
	for _, wait := range []time.Duration{quarantine.DefaultTrialInterval, 16 * quarantine.DefaultTrialInterval, 256 * quarantine.DefaultTrialInterval} {
		crashed := now
		now = now.Add(wait - 2*time.Second)
		if table.Trial(now, 7) {
			t.Errorf("tried %s after the last crash", now.Sub(crashed))
		}
		now = now.Add(2 * time.Second)
		if !table.Trial(now, 7) || table.Trial(now, 7) {
			t.Errorf("%s after the last crash: want one trial", now.Sub(crashed))
		}
		table.RecordCrash(now, self, 7, "model-1")
	}
	for range 3 {
		now = now.Add(23 * time.Hour)
		table.Refused(now, 7)
		table.Expire(now)
		if !table.Blocked(now, 7) {
			t.Fatal("forgotten though it comes all the while")
		}
	}
	table.Expire(now.Add(25 * time.Hour))
	if table.Len() > 0 {
		t.Error("kept though it does not come any more")
	}
}
