package intake

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"waxwingwall"
)

const (
	// refusedBytes is what passes of the body of a refused request.
	refusedBytes = 3 << 10

	// newsLimit is how long the store's news may wait for a link of under 10 Mbit/s: a quarter of
	// the time in which the departure of an endpoint has to be known.
	newsLimit = 500 * time.Millisecond

	// A queue is measured from shortestMeasured on, every measureInterval ms.
	shortestMeasured = 100 * time.Millisecond
	measureInterval  = 50

	// minPart is the least part of the best rate at which any size may be served.
	minPart = 0.5
)

// stream is a stream of equal requests of one account.
type stream struct {
	account   waxwingwall.Account
	rank      waxwingwall.Rank
	body      int64
	perSecond float64
	timeLeft  time.Duration
	answer    int

	asked, accepted int
	bytes           float64
	returns         []time.Duration
}

// play offers the streams to a link for a number of seconds. Refused callers return once. It
// returns the longest time that control data waits behind what the link carries.
func play(mbps, seconds int, streams []*stream) (longest time.Duration) {
	return playOver(New(mbps, refusedBytes), float64(mbps)*bytesPerMegabit, seconds, streams)
}

// playOver is play with a Limiter of a link that carries so many bytes per second. The Limiter learns
// of a queue as long as shortestMeasured or more.
func playOver(l *Limiter, bytesPerSecond float64, seconds int, streams []*stream) (longest time.Duration) {
	random := rand.New(rand.NewPCG(7, 7))
	type again struct {
		at time.Time
		s  *stream
	}
	var returning []again
	start := time.Unix(1_800_000_000, 0)
	freeAt := start
	for tick := range seconds * 1000 {
		now := start.Add(time.Duration(tick) * time.Millisecond)
		carry := func(bytes int64) {
			if freeAt.Before(now) {
				freeAt = now
			}
			freeAt = freeAt.Add(time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second)))
		}
		offer := func(s *stream, last bool) {
			v := l.Accept(now, Request{Account: s.account, Rank: s.rank, Body: s.body, TimeLeft: s.timeLeft})
			if v.Accepted() {
				s.accepted++
				s.bytes += float64(s.body + requestOverhead)
				l.Add(now, s.answer)
				carry(s.body + requestOverhead + int64(s.answer))
				return
			}
			carry(min(s.body, refusedBytes) + refusalBytes)
			s.returns = append(s.returns, v.RetryAfter)
			if !last {
				returning = append(returning, again{at: now.Add(v.RetryAfter), s: s})
			}
		}
		for i := 0; i < len(returning); {
			if a := returning[i]; !a.at.After(now) {
				returning = append(returning[:i], returning[i+1:]...)
				offer(a.s, true)
				continue
			}
			i++
		}
		for _, i := range random.Perm(len(streams)) {
			if s := streams[i]; random.Float64()*1000 < s.perSecond {
				s.asked++
				offer(s, false)
			}
		}
		wait := freeAt.Sub(now)
		if wait >= shortestMeasured && tick%measureInterval == 0 {
			l.Observe(now, wait)
		}
		longest = max(longest, wait)
	}
	return longest
}

// halfOfAll are the requests of half of a large fleet's callers: long and short prompts, orders
// and reads of several accounts, one of which sends most. It is 1.5 times what a link of 10 Mbit/s
// carries; factor multiplies it. The orders and reads have another rank.
func halfOfAll(factor float64, orders waxwingwall.Rank) []*stream {
	var all []*stream
	for i, account := range []waxwingwall.Account{"large", "second", "third"} {
		part := []float64{0.7, 0.2, 0.1}[i]
		for _, s := range []stream{
			{body: 17_000, perSecond: 31, timeLeft: 15 * time.Second, answer: 4000, rank: 2},
			{body: 9_200, perSecond: 40, timeLeft: 8 * time.Second, answer: 2000, rank: 2},
			{body: 1_500, perSecond: 40, timeLeft: 15 * time.Second, answer: 5000, rank: 2},
			{body: 600, perSecond: 41, timeLeft: 1500 * time.Millisecond, answer: 900, rank: orders},
			{body: 0, perSecond: 10, timeLeft: 1500 * time.Millisecond, answer: 900, rank: orders},
		} {
			s.account = account
			s.perSecond *= part * factor
			all = append(all, &s)
		}
	}
	return all
}

// rates returns the rate at which requests were accepted, by a property of them, and the best rate.
func rates[K comparable](streams []*stream, of func(*stream) K) (byKey map[K]float64, best float64) {
	asked, accepted := map[K]float64{}, map[K]float64{}
	for _, s := range streams {
		asked[of(s)] += float64(s.asked)
		accepted[of(s)] += float64(s.accepted)
	}
	byKey = map[K]float64{}
	for k, n := range asked {
		byKey[k] = accepted[k] / n
		best = max(best, byKey[k])
	}
	return byKey, best
}

// TestHalfOfAllAtOneSlowRouter answers the load in which half of all callers of a fleet of 72 stay
// with one router; a link of 2 Mbit/s, which could not carry the heads of these, has a fifth of
// it. Control data waits for no more than controlLimit or newsLimit, the smaller accounts are served, no size is
// served less than half as often as others of its rank, and a link with room refuses nothing.
func TestHalfOfAllAtOneSlowRouter(t *testing.T) {
	for _, mbps := range []int{2, 10, 25, 200} {
		for _, orders := range []waxwingwall.Rank{0, 2} {
			t.Run(fmt.Sprintf("%d Mbps, orders of rank %d", mbps, orders), func(t *testing.T) {
				streams := halfOfAll(min(float64(mbps)/linkMbps, 1), orders)
				longest := play(mbps, 30, streams)
				_, all := rates(streams, func(*stream) string { return "" })
				t.Logf("%.2f of all accepted; control data waits %s at most", all, longest)
				if longest > controlLimit && mbps >= linkMbps || longest > newsLimit {
					t.Errorf("control data waits %s", longest)
				}
				if mbps >= 25 && all < 1 {
					t.Error("refused by a link with room for all")
				}
				accounts, _ := rates(streams, func(s *stream) waxwingwall.Account { return s.account })
				for account, rate := range accounts {
					t.Logf("account %s: %.2f accepted", account, rate)
					if rate < accounts["large"] {
						t.Errorf("%s is served less than the large account, %.2f", account, accounts["large"])
					}
				}
				for _, rank := range []waxwingwall.Rank{0, 2} {
					bodies, best := rates(slices.DeleteFunc(slices.Clone(streams), func(s *stream) bool { return s.rank != rank }),
						func(s *stream) int64 { return s.body })
					for body, rate := range bodies {
						t.Logf("rank %d, bodies of %d bytes: %.2f accepted", rank, body, rate)
						if rate < minPart*best {
							t.Errorf("bodies of %d bytes: %.2f accepted, of others %.2f", body, rate, best)
						}
					}
				}
			})
		}
	}
}

// TestLinkSlowerThanItsSetting answers the load in which other bytes take 3 of the 10 Mbit/s that
// requests should have, which ask for 1.3 times the rest. The measured queue keeps control data
// within newsLimit.
func TestLinkSlowerThanItsSetting(t *testing.T) {
	streams := halfOfAll(0.6, 0)
	longest := playOver(New(linkMbps, refusedBytes), 7*bytesPerMegabit, 30, streams)
	_, all := rates(streams, func(*stream) string { return "" })
	t.Logf("%.2f of all accepted; control data waits %s at most", all, longest)
	if longest > newsLimit {
		t.Errorf("control data waits %s", longest)
	}
}

// TestRanksShareFullLink answers the load in which urgent requests alone are more than the link
// carries: the others keep their floor, and the urgent ones go first.
func TestRanksShareFullLink(t *testing.T) {
	urgent := &stream{account: "a", rank: 0, body: 9000, perSecond: 200}
	other := &stream{account: "b", rank: 5, body: 9000, perSecond: 200}
	play(linkMbps, 20, []*stream{urgent, other})
	part := other.bytes / (urgent.bytes + other.bytes)
	if part < rankFloor || part > 0.5 {
		t.Errorf("the rank behind has %.2f of the link", part)
	}
}

// TestAccountsShareFullLink answers the load in which one account asks for most of a full link:
// those that ask for less than their part of it get what they ask for.
func TestAccountsShareFullLink(t *testing.T) {
	large := &stream{account: "large", body: 17_000, perSecond: 200}
	small := &stream{account: "small", body: 17_000, perSecond: 5}
	play(linkMbps, 20, []*stream{large, small})
	if got := float64(small.accepted) / float64(small.asked); got < 0.9 {
		t.Errorf("the small account is served %.2f", got)
	}
}

// TestReturnsDiffer: callers that are refused together return one after the other, the most
// urgent first.
func TestReturnsDiffer(t *testing.T) {
	l := New(linkMbps, refusedBytes)
	now := time.Unix(1_800_000_000, 0)
	l.Add(now, linkMbps*bytesPerMegabit)
	returns := map[time.Duration]bool{}
	var last time.Duration
	for rank := range waxwingwall.Rank(3) {
		for range 5 {
			v := l.Accept(now, Request{Rank: rank, Body: 9000})
			if v.Accepted() || returns[v.RetryAfter] || v.RetryAfter < last {
				t.Errorf("rank %d: %+v after %s", rank, v, last)
			}
			returns[v.RetryAfter] = true
			last = v.RetryAfter
		}
	}
	if v := l.Accept(now, Request{Rank: 0, Body: 9000}); v.RetryAfter >= last {
		t.Errorf("the most urgent returns after %s, behind others", v.RetryAfter)
	}
}

// TestRefusesWhatCannotEnd: a request whose body and answer take longer than its caller waits is
// refused at once, also by a free link.
func TestRefusesWhatCannotEnd(t *testing.T) {
	l := New(2, refusedBytes)
	v := l.Accept(time.Unix(1_800_000_000, 0), Request{Body: 200_000, TimeLeft: 600 * time.Millisecond})
	if v.Reason != TooLate {
		t.Errorf("got %+v", v)
	}
}
