package sim

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
)

func TestBatchOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := batch{
			size:  rapid.IntRange(1, 4).Draw(t, "size"),
			queue: rapid.IntRange(0, 4).Draw(t, "queue"),
		}
		var entries []*entry
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(entries) > 0 && rapid.Bool().Draw(t, "remove") {
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "index")
				b.remove(entries[i])
				entries = append(entries[:i], entries[i+1:]...)
			} else if e, ok := b.add(rapid.IntRange(0, 2).Draw(t, "priority")); ok {
				entries = append(entries, e)
			} else if b.running < b.size || len(b.waiting) < b.queue {
				t.Fatal("rejected although there was room")
			}
			checkBatch(t, &b, entries)
		}
	})
}

func checkBatch(t *rapid.T, b *batch, entries []*entry) {
	var running int
	for _, e := range entries {
		if e.running {
			running++
		}
	}
	if running != b.running || running > b.size || len(b.waiting) > b.queue {
		t.Fatalf("%d streams run, counted %d of at most %d; %d wait", running, b.running, b.size, len(b.waiting))
	}
	if running < b.size && len(b.waiting) > 0 {
		t.Fatal("a stream waits although the batch has room")
	}
	for i := 1; i < len(b.waiting); i++ {
		if b.waiting[i-1].priority > b.waiting[i].priority {
			t.Fatal("the queue is not ordered by priority")
		}
	}
}

func TestPrefixCache(t *testing.T) {
	c := prefixCache{
		limit: 4,
	}
	prompt := strings.Repeat("a", 3*cacheBlockBytes+10)
	if hit := c.touch(prompt); hit != 0 {
		t.Fatal(hit)
	}
	if hit := c.touch(prompt + "more"); hit != 3*cacheBlockBytes {
		t.Fatal(hit)
	}
	c.touch(strings.Repeat("b", 4*cacheBlockBytes))
	if hit := c.touch(prompt); hit != 0 {
		t.Fatal("not evicted:", hit)
	}
}

func TestMembersLag(t *testing.T) {
	w, stop, err := New(WithMemberLag(time.Hour), WithMembers(waxwingwall.Member{
		VM:      "vm-1",
		Address: netip.MustParseAddrPort("127.0.0.1:9"),
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	listed := func() int {
		l, err := w.Platform.ListMembers(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return len(l.Members)
	}
	w.Platform.RemoveMember("vm-1")
	if listed() != 1 {
		t.Fatal("the change was listed without the lag")
	}
	w.Platform.changes[1].at = time.Now()
	if listed() != 0 {
		t.Fatal("the change was not listed after the lag")
	}
}
