// Package intake limits the bytes of requests that a router accepts to what its link
// passes on.
//
// A router receives the body of a request and sends it on over the same link. What
// it accepts beyond the speed of that link queues there, in front of its calls to the
// platform's store, messages of peers, probes and answers. The length of a body is
// known from the head of the request, so a Limiter decides before the body is read: it
// models the queue as a backlog that drains at the speed of the link. A request is
// accepted while the backlog is short, whatever the length of its own body, so that
// requests with long bodies are refused no more often than others. Refused callers are
// asked to return in the order in which they were refused, spread over the time that
// the link needs for them.
//
// A Limiter does no I/O and reads no clock. It is not safe for concurrent use.
package intake

import (
	"math"
	"time"
)

const (
	// maxDelay is the delay of the modelled queue from which requests are refused.
	maxDelay = 150 * time.Millisecond

	// usablePart is the part of the link's speed for requests and answers; the rest
	// is for the store, peers and probes.
	usablePart = 0.85

	// requestOverhead is the number of bytes of a request in addition to its body:
	// its head, and those of its connection and answer.
	requestOverhead = 1200

	// maxRetryAfter limits how long refused callers are asked to wait.
	maxRetryAfter = 2 * time.Second

	// askedTime is the time constant of Limiter.Asked. It outlasts the gaps in which the VM's
	// processor is not to be had.
	askedTime = 600 * time.Millisecond

	// bytesPerMegabit converts the speed of a link.
	bytesPerMegabit = 1e6 / 8
)

// Limiter models the queue on a link. The zero value accepts everything.
type Limiter struct {
	// BytesPerSecond is the usable speed of the link; zero means no limit.
	BytesPerSecond float64

	// backlog is the number of accepted bytes that the link has not carried yet,
	// deferred the number of bytes of refused callers that were asked to return;
	// both as of at.
	backlog, deferred float64
	at                time.Time

	// linkBytesPerSecond is the whole speed of the link. asked is the sum of all bytes that
	// callers asked the link to carry, each of which has faded since by askedTime, as of
	// askedAt.
	linkBytesPerSecond float64
	asked              float64
	askedAt            time.Time
}

// New returns the Limiter of a link with a speed in Mbit/s; zero means no limit.
func New(mbps int) *Limiter {
	return &Limiter{
		BytesPerSecond:     usablePart * bytesPerMegabit * float64(mbps),
		linkBytesPerSecond: bytesPerMegabit * float64(mbps),
	}
}

// Accept reports whether a request whose body has the given length may be accepted.
// If not, it returns when the caller should return. The length is 0 if it is unknown.
func (l *Limiter) Accept(now time.Time, length int64) (retryAfter time.Duration, ok bool) {
	if l.BytesPerSecond == 0 {
		return 0, true
	}
	l.drain(now)
	size := float64(length + requestOverhead)
	l.ask(now, size)
	if l.delay(l.backlog) < maxDelay {
		l.backlog += size
		return 0, true
	}
	retryAfter = min(l.delay(l.backlog+l.deferred), maxRetryAfter)
	l.deferred += size
	return retryAfter, false
}

// Add adds bytes to the backlog that pass the link in any case: answers, and bodies
// of unknown length.
func (l *Limiter) Add(now time.Time, bytes int) {
	if l.BytesPerSecond == 0 {
		return
	}
	l.drain(now)
	l.ask(now, float64(bytes))
	l.backlog += float64(bytes)
}

// Asked returns what callers ask of the link as a part of its speed: the requests that
// arrive, accepted or not, and the answers. The bodies of refused requests pass the link too, as
// they are under way before the refusal. It is 0 if the speed is not known.
func (l *Limiter) Asked(now time.Time) float64 {
	if l.linkBytesPerSecond == 0 {
		return 0
	}
	l.ask(now, 0)
	return l.asked / (l.linkBytesPerSecond * askedTime.Seconds())
}

// ask adds bytes to those asked for.
func (l *Limiter) ask(now time.Time, bytes float64) {
	l.asked *= math.Exp(-max(now.Sub(l.askedAt), 0).Seconds() / askedTime.Seconds())
	l.asked += bytes
	l.askedAt = now
}

// drain removes what the link has carried since the last call. Deferred callers
// return while it carries, so both drain together.
func (l *Limiter) drain(now time.Time) {
	carried := l.BytesPerSecond * max(now.Sub(l.at), 0).Seconds()
	l.at = now
	l.deferred = max(l.deferred-max(carried-l.backlog, 0), 0)
	l.backlog = max(l.backlog-carried, 0)
}

// delay returns how long the link takes to carry a number of bytes.
func (l *Limiter) delay(bytes float64) time.Duration {
	return time.Duration(bytes / l.BytesPerSecond * float64(time.Second))
}
