package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	linkMbps = 10

	// answerBytes is the length of an answer.
	answerBytes = 900

	// controlLimit is how long a call to the store or a message to a peer may wait
	// for the link: half of the shortest time limit of such a call.
	controlLimit = 300 * time.Millisecond
)

// kind is a kind of request.
type kind struct {
	body, perSecond   int
	accepted, refused int
}

// queue is a link that carries bytes in order.
type queue struct {
	freeAt time.Time
}

// carry adds bytes at a time and returns how long they take to pass.
func (q *queue) carry(now time.Time, bytes int) time.Duration {
	if q.freeAt.Before(now) {
		q.freeAt = now
	}
	q.freeAt = q.freeAt.Add(time.Duration(bytes) * time.Second / (linkMbps * bytesPerMegabit))
	return q.freeAt.Sub(now)
}

// TestBusyAccountOnSlowLink guards against a router that takes more bodies than its
// link carries on: one large account sends 2.7 times as much for 10 s, in kinds whose
// bodies differ by a factor of 30. Its calls to the store would wait for up to 17 s.
func TestBusyAccountOnSlowLink(t *testing.T) {
	kinds := []*kind{
		{body: 17_000, perSecond: 120},
		{body: 9_000, perSecond: 120},
		{body: 1_500, perSecond: 120},
		{body: 600, perSecond: 60},
		{body: 0, perSecond: 60},
	}
	l := New(linkMbps)
	random := rand.New(rand.NewPCG(1, 1))
	var q queue
	var carried int
	start := time.Unix(1_800_000_000, 0)
	const seconds = 10
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		for _, k := range kinds {
			if random.IntN(1000) >= k.perSecond {
				continue
			}
			retryAfter, ok := l.Accept(now, int64(k.body))
			if !ok {
				k.refused++
				if retryAfter <= 0 {
					t.Fatal("refused without a time to return")
				}
				continue
			}
			k.accepted++
			q.carry(now, k.body)
			q.carry(now, answerBytes)
			carried += k.body + answerBytes
		}
		if wait := q.carry(now, 0); wait > controlLimit {
			t.Fatalf("calls to the store wait %s after %d ms", wait, ms)
		}
	}
	if share := float64(carried) / (seconds * linkMbps * bytesPerMegabit); share < 0.7 {
		t.Errorf("the link carried %.2f of what it can", share)
	}
	var accepted, total int
	for _, k := range kinds {
		accepted += k.accepted
		total += k.accepted + k.refused
	}
	for _, k := range kinds {
		part, all := float64(k.accepted)/float64(k.accepted+k.refused), float64(accepted)/float64(total)
		if part < 0.75*all {
			t.Errorf("bodies of %d bytes: %.2f accepted, of all %.2f", k.body, part, all)
		}
	}
}

// TestReturnInOrder checks that refused callers are asked to return in the order in
// which they were refused, and that a free link accepts all.
func TestReturnInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(rapid.IntRange(1, 1000).Draw(t, "mbps"))
		now := time.Unix(1_800_000_000, 0)
		var last time.Time
		for range 200 {
			retryAfter, ok := l.Accept(now, rapid.Int64Range(0, 100_000).Draw(t, "length"))
			if ok {
				last = time.Time{}
				continue
			}
			if retryAfter <= 0 || retryAfter > maxRetryAfter {
				t.Fatalf("retry after %s", retryAfter)
			}
			if returns := now.Add(retryAfter); returns.Before(last) && retryAfter < maxRetryAfter-time.Millisecond {
				t.Fatalf("asked to return %s before an earlier caller", last.Sub(returns))
			} else {
				last = returns
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * time.Millisecond)
		}
		if _, ok := l.Accept(now.Add(time.Hour), 1_000_000); !ok {
			t.Fatal("refused by a free link")
		}
	})
}

// TestNoLimit checks that a router of unknown link speed accepts everything.
func TestNoLimit(t *testing.T) {
	l := New(0)
	for range 1000 {
		if _, ok := l.Accept(time.Unix(1, 0), 1_000_000); !ok {
			t.Fatal("refused")
		}
	}
}
