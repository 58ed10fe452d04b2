package quarantine

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
)

const (
	crashing = 0xbad
	common   = 1
)

var partsStart = time.Unix(1_800_000_000, 0)

// crashN returns a crash of its own.
func crashN(n int) Crash {
	return Crash{
		Endpoint: waxwingwall.Endpoint(fmt.Sprintf("engine-%d", n)),
		Born:     int64(n),
	}
}

// TestPartBlocked checks that a part is blocked at the limit, whatever else its
// requests have in common, and that a complete answer clears the others.
func TestPartBlocked(t *testing.T) {
	var table Parts
	now := partsStart
	for n := range DefaultPartLimit {
		if part, blocked := table.Blocked([]uint64{common, crashing}); blocked {
			t.Fatalf("%x blocked after %d crashes", part, n)
		}
		now = now.Add(time.Second)
		table.Record(now, crashN(n), []uint64{common, crashing, uint64(100 + n)})
	}
	if _, blocked := table.Blocked([]uint64{common, crashing, 200}); !blocked {
		t.Fatal("not blocked")
	}
	if _, blocked := table.Blocked([]uint64{common, 200}); blocked {
		t.Fatal("a part with an alibi is blocked")
	}
	if cleared := table.Clear(now, now.Add(-time.Hour), []uint64{common}); len(cleared) > 0 {
		t.Fatal("cleared by a request from before the crashes")
	}
	if cleared := table.Clear(now, now, []uint64{common, 200}); len(cleared) != 1 || cleared[0].Part != common {
		t.Fatalf("cleared %+v", cleared)
	}
	if _, blocked := table.Blocked([]uint64{crashing}); !blocked {
		t.Fatal("cleared with the other part")
	}
}

// TestLostAlibi checks that a crash without its alibi blocks a part.
func TestLostAlibi(t *testing.T) {
	var table Parts
	now := partsStart
	for n := range DefaultPartLimit {
		now = now.Add(time.Second)
		table.Record(now, crashN(n), []uint64{common, crashing})
	}
	if _, blocked := table.Blocked([]uint64{crashing}); blocked {
		t.Fatal("blocked, though the other part may be the cause")
	}
	now = now.Add(time.Second)
	table.Record(now, crashN(100), []uint64{crashing})
	if _, blocked := table.Blocked([]uint64{crashing}); !blocked {
		t.Fatal("not blocked")
	}
	if _, blocked := table.Blocked([]uint64{common}); blocked {
		t.Fatal("the other part is blocked, though it has an alibi")
	}
}

// TestOneCrashCountsOnce checks that the runs that one crash ended count once.
func TestOneCrashCountsOnce(t *testing.T) {
	var table Parts
	for range 10 {
		table.Record(partsStart, crashN(1), []uint64{crashing})
	}
	if n := table.Crashes(crashing); n != 1 {
		t.Fatalf("%d crashes", n)
	}
}

// TestPartKeptWhileRefused checks that a part stays blocked while requests with it are
// refused, here or at a peer, and is forgotten later; and that it is tried again ever
// less often.
func TestPartKeptWhileRefused(t *testing.T) {
	var table, peer Parts
	now := partsStart
	for n := range DefaultPartLimit {
		now = now.Add(time.Second)
		table.Record(now, crashN(n), []uint64{crashing})
	}
	var trials []time.Duration
	for now.Sub(partsStart) < time.Hour {
		now = now.Add(time.Second)
		for _, s := range table.List(now) {
			peer.Merge(now, s)
		}
		table.Expire(now)
		peer.Expire(now)
		if _, blocked := peer.Blocked([]uint64{crashing}); !blocked {
			t.Fatalf("not blocked after %s", now.Sub(partsStart))
		}
		table.Refused(now, crashing)
		if table.Trial(now, crashing) {
			trials = append(trials, now.Sub(partsStart))
			table.Record(now, crashN(100+len(trials)), []uint64{crashing})
		}
	}
	if len(trials) == 0 || len(trials) > 6 {
		t.Fatalf("tried at %s", trials)
	}
	now = now.Add(2 * DefaultRetention)
	table.Expire(now)
	if table.Len() != 0 {
		t.Fatal("kept after the last request")
	}
}

// TestSuspectsMerge checks that suspects merge in any order and any number of times,
// and that what is cleared at one router is cleared at all.
func TestSuspectsMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b Parts
		var log []Suspect
		now := partsStart
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Second)
			parts := []uint64{rapid.Uint64Range(1, 3).Draw(t, "part")}
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				log = append(log, a.Clear(now, now, parts)...)
			} else if a.Record(now, crashN(rapid.IntRange(0, 9).Draw(t, "crash")), parts) {
				log = append(log, a.Get(now, parts)...)
			}
		}
		for _, s := range rapid.Permutation(append(log, log...)).Draw(t, "order") {
			b.Merge(now, s)
		}
		for part := range uint64(4) {
			x, y := a.Get(now, []uint64{part}), b.Get(now, []uint64{part})
			for i := range x {
				x[i].Idle = 0
			}
			for i := range y {
				y[i].Idle = 0
			}
			if len(x) != len(y) || len(x) == 1 && (!reflect.DeepEqual(x[0].Crashes, y[0].Crashes) || len(x[0].Cleared) != len(y[0].Cleared)) {
				t.Fatalf("part %d: %+v and %+v", part, x, y)
			}
		}
	})
}

// TestManySuspects checks that the table and the lists in it are bounded.
func TestManySuspects(t *testing.T) {
	var table Parts
	now := partsStart
	for n := range 3 * maxSuspects {
		now = now.Add(time.Millisecond)
		table.Record(now, crashN(n), []uint64{crashing, uint64(n)<<16 + 7})
	}
	if table.Len() > maxSuspects || table.Crashes(crashing) > maxCrashes {
		t.Fatalf("%d suspects, %d crashes", table.Len(), table.Crashes(crashing))
	}
	if _, blocked := table.Blocked([]uint64{crashing}); !blocked {
		t.Fatal("not blocked")
	}
}
