// Package intake limits the bytes of requests that a router accepts to what its link
// passes on, and decides which requests these are.
//
// A router receives the body of a request and sends it on over the same link. What
// it accepts beyond the speed of that link queues there, in front of its calls to the
// platform's store, messages of peers, probes and answers. The length of a body is
// known from the head of the request, so a Limiter decides before the body is read: it
// models the queue as a backlog that drains at the speed of the link. While the backlog
// is short, all requests are accepted that can still be carried in their time. While it
// is long, none is. In between the link is short of room, and what it can carry is
// divided: first among the ranks, each of which has a floor, then among the client
// accounts of each rank, so that none takes what others ask for. The length of a body
// has no part in it: requests with long bodies are accepted at least half as often as
// others.
//
// Some bytes of a refused request pass the link as well. They leave less of it for others, and
// a request is accepted if its refusal would save the link next to nothing. Refused callers are asked
// to return spread over the time that the link needs for them, those of the most urgent
// rank first.
//
// A Limiter does no I/O and reads no clock. It is not safe for concurrent use.
package intake

import (
	"math"
	"time"

	"waxwingwall"
)

const (
	// shortDelay is the delay of the modelled queue from which the link is short of room,
	// maxDelay the one from which all requests are refused. From sharesDelay on what is left
	// is for accounts that have less than their part.
	shortDelay  = 50 * time.Millisecond
	sharesDelay = 90 * time.Millisecond
	maxDelay    = 150 * time.Millisecond

	// Each measured delay that is too long withholds withheldStep of the link from requests, up to
	// maxWithheld, which they get back with withheldBack per second.
	withheldStep = 0.02
	maxWithheld  = 0.25
	withheldBack = 0.05

	// usablePart is the part of the link's speed for requests and answers; the rest
	// is for the store, peers and probes.
	usablePart = 0.85

	// requestOverhead is the number of bytes of a request in addition to its body:
	// its head, and those of its connection and answer.
	requestOverhead = 1200

	// minServedPart is the least part of the link that is for accepted requests, whatever
	// passes for refused ones, and of that for bodies, whatever passes for answers.
	minServedPart = 0.5

	// sharedPart is the part of the link that is divided among accounts while it is short of
	// room, so that the backlog becomes shorter.
	sharedPart = 0.9

	// refusalBytes is the number of bytes of a refused request in addition to its body.
	refusalBytes = 900

	// maxRetryAfter limits how long refused callers are asked to wait.
	maxRetryAfter = 2 * time.Second

	// bytesPerMegabit converts the speed of a link.
	bytesPerMegabit = 1e6 / 8
)

// Reason tells why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// TooLate means that the link can't carry the request and its answer in time.
	TooLate Reason = "too_late"

	// NoRoom means that the backlog is long.
	NoRoom Reason = "no_room"

	// OverShare means that the link is short of room, and that the client account has its
	// part of what its rank gets.
	OverShare Reason = "over_share"
)

// Request is what the head of a request tells.
type Request struct {
	// Account is the client account; empty if it is unknown.
	Account waxwingwall.Account

	// Rank is the urgency.
	Rank waxwingwall.Rank

	// Body is the length of the body, 0 if it is unknown, and Answer the expected length of
	// the answer.
	Body, Answer int64

	// TimeLeft is how long the caller waits; zero if unknown.
	TimeLeft time.Duration
}

// Verdict is the decision on a request, with its inputs.
type Verdict struct {
	// Reason is empty if the request is accepted.
	Reason Reason

	// RetryAfter is when the caller of a refused request should return.
	RetryAfter time.Duration

	// Delay is the delay of the modelled queue before the decision.
	Delay time.Duration

	// Taken and Share are the bytes that were accepted lately of the account in this rank,
	// and its part of the link in the same time. They are zero unless the link is short of
	// room.
	Taken, Share float64
}

// Accepted reports whether the request is accepted.
func (v Verdict) Accepted() bool {
	return v.Reason == ""
}

// Limiter models the queue on a link. The zero value accepts everything.
type Limiter struct {
	// BytesPerSecond is the usable speed of the link; zero means no limit.
	BytesPerSecond float64

	// RefusedBytes is how many bytes of the body of a refused request pass the link at most.
	RefusedBytes int64

	// backlog is the number of bytes that the link has not carried yet, as of at. It has none
	// of refused requests.
	backlog float64
	at      time.Time

	// refused and added are the numbers of bytes that passed for refused requests and by Add;
	// they decay with shareWindow.
	refused, added float64

	// withheld is the part of BytesPerSecond that the measured queue shows to be missing.
	withheld float64

	// deferred is the number of bytes of refused callers that were asked to return, by rank,
	// as of at.
	deferred map[waxwingwall.Rank]float64

	shares shares
}

// New returns the Limiter of a link with a speed in Mbit/s; zero means no limit.
// refusedBytes is Limiter.RefusedBytes.
func New(mbps int, refusedBytes int64) *Limiter {
	return &Limiter{
		BytesPerSecond: usablePart * bytesPerMegabit * float64(mbps),
		RefusedBytes:   refusedBytes,
		deferred:       map[waxwingwall.Rank]float64{},
	}
}

// Accept decides on a request.
func (l *Limiter) Accept(now time.Time, r Request) Verdict {
	if l.BytesPerSecond == 0 {
		return Verdict{}
	}
	l.drain(now)
	l.shares.decay(now)
	size := float64(r.Body + requestOverhead)
	l.shares.ask(r, size)
	v := l.judge(r, size)
	if v.Accepted() {
		l.backlog += size
		l.shares.take(r, size)
		return v
	}
	v.RetryAfter = l.retryAfter(r, v)
	l.deferred[r.Rank] += size
	l.refused += l.refusalCost(r)
	return v
}

// judge returns the decision on a request.
func (l *Limiter) judge(r Request, size float64) Verdict {
	v := Verdict{
		Delay: l.delay(l.backlog),
	}
	if r.TimeLeft > 0 && l.delay(l.backlog+size+float64(r.Answer)) > r.TimeLeft {
		v.Reason = TooLate
		return v
	}
	if v.Delay < shortDelay {
		return v
	}
	room := sharedPart * l.speed() * shareWindow.Seconds()
	v.Taken, v.Share = l.shares.of(r, room-min(l.added, (1-minServedPart)*room))
	sizes := &l.shares.party(r).sizes
	switch {
	case v.Delay >= maxDelay:
		v.Reason = NoRoom
	case sizes.favoured(r.Body):
		v.Reason = OverShare
	case v.Taken < v.Share:
	case v.Delay < sharesDelay && (sizes.neglected(r.Body) || l.savesLittle(r, size)):
	default:
		v.Reason = OverShare
	}
	return v
}

// refusalCost returns the number of bytes that pass the link if the request is refused.
func (l *Limiter) refusalCost(r Request) float64 {
	if l.RefusedBytes == 0 {
		return 0
	}
	return float64(min(r.Body, l.RefusedBytes) + refusalBytes)
}

// savesLittle reports whether most of what a request takes of the link passes it as well if it
// is refused.
func (l *Limiter) savesLittle(r Request, size float64) bool {
	return 2*l.refusalCost(r) > size+float64(r.Answer)
}

// retryAfter returns when a refused caller should return: after the backlog and the refused
// callers of its rank and of more urgent ones, and after its account's part of the link allows.
func (l *Limiter) retryAfter(r Request, v Verdict) time.Duration {
	before := l.backlog
	for rank, bytes := range l.deferred {
		if rank <= r.Rank {
			before += bytes
		}
	}
	wait := l.delay(before)
	if v.Share > 0 && v.Taken > v.Share {
		// What was taken decays until the account has room again.
		wait = max(wait, time.Duration(math.Log(v.Taken/v.Share)*float64(shareWindow)))
	}
	return softCap(max(wait, time.Millisecond))
}

// softCap maps a wait to one below maxRetryAfter, so that callers still return in order.
func softCap(wait time.Duration) time.Duration {
	const linear = maxRetryAfter / 2
	if wait <= linear {
		return wait
	}
	return maxRetryAfter - time.Duration(float64(linear)*(float64(linear)/float64(wait)))
}

// Add adds bytes to the backlog that pass the link in any case: answers, and bodies
// of unknown length.
func (l *Limiter) Add(now time.Time, bytes int) {
	if l.BytesPerSecond == 0 {
		return
	}
	l.drain(now)
	l.backlog += float64(bytes)
	l.added += float64(bytes)
}

// Observe records a measured delay of the queue on the link. If it is longer than the modelled one
// may become, other bytes use the link as well, or it is slower than it should be: less of it is
// taken for usable then.
func (l *Limiter) Observe(now time.Time, delay time.Duration) {
	if l.BytesPerSecond == 0 || delay < maxDelay {
		return
	}
	l.drain(now)
	l.withheld = min(l.withheld+withheldStep, maxWithheld)
}

// Load returns the part of the link that was asked for lately, and the largest part that one
// account has taken, with its name.
func (l *Limiter) Load(now time.Time) (asked float64, top waxwingwall.Account, part float64) {
	if l.BytesPerSecond == 0 {
		return 0, "", 0
	}
	l.shares.decay(now)
	return l.shares.load(l.BytesPerSecond)
}

// drain removes what the link has carried since the last call. Deferred callers
// return while it carries, so both drain together, the most urgent ranks first.
func (l *Limiter) drain(now time.Time) {
	passed := max(now.Sub(l.at), 0).Seconds()
	carried := l.speed() * passed
	l.at = now
	l.withheld = max(l.withheld-withheldBack*passed, 0)
	keep := math.Exp(-passed / shareWindow.Seconds())
	l.refused *= keep
	l.added *= keep
	rest := max(carried-l.backlog, 0)
	l.backlog = max(l.backlog-carried, 0)
	for rest > 0 && len(l.deferred) > 0 {
		first := waxwingwall.Rank(math.MaxInt)
		for rank := range l.deferred {
			first = min(first, rank)
		}
		if l.deferred[first] > rest {
			l.deferred[first] -= rest
			return
		}
		rest -= l.deferred[first]
		delete(l.deferred, first)
	}
}

// speed returns the speed of the link for accepted requests, in bytes per second: what refused
// ones leave, or minServedPart of it. If they took more, further refusals would only feed on
// themselves.
func (l *Limiter) speed() float64 {
	usable := (1 - l.withheld) * l.BytesPerSecond
	return usable - min(l.refused/shareWindow.Seconds(), (1-minServedPart)*usable)
}

// delay returns how long the link takes to carry a number of bytes.
func (l *Limiter) delay(bytes float64) time.Duration {
	return time.Duration(bytes / l.speed() * float64(time.Second))
}
