// Package quota bounds the bytes that wait in a process, all together.
//
// A Quota has a limit, and each request has a Holding in it for each thing that waits. A holding
// grows as bytes arrive. A part of the limit is for small holdings alone, so that large ones
// leave room to them however many they are. Of the rest, a large one may have at most
// greedFactor times what is then left to the others.
package quota

import (
	"errors"
	"io"
	"math"
	"sync"
)

const (
	// smallBytes is the size up to which a holding is small, by default. A part of the limit, divided
	// by smallDivisor, is for small holdings alone.
	smallBytes   = 32 << 10
	smallDivisor = 4
	greedFactor  = 4

	// minCapacity is the capacity of a buffer at its start, in bytes.
	minCapacity = 512
)

// ErrFull means that there is no room for what has arrived.
var ErrFull = errors.New("no memory for what waits")

// Quota is a number of bytes that holdings share. It is safe for concurrent use. Create it
// with New.
type Quota struct {
	limit int64

	// small is the size up to which a holding is small, in bytes.
	small int64

	// mu guards the fields below. used is the sum of all holdings in bytes; refused counts
	// the times that one could not grow.
	mu      sync.Mutex
	used    int64
	refused int64
}

// Stats is the state of a Quota.
type Stats struct {
	// Used is the size of all holdings in bytes.
	Used int64

	// Refused counts the times that a holding could not grow.
	Refused int64
}

// Option configures a Quota.
type Option func(*Quota)

// WithSmall sets the size up to which a holding is small, in bytes.
func WithSmall(n int64) Option {
	return func(q *Quota) {
		q.small = n
	}
}

// New returns a Quota of limit bytes.
func New(limit int64, opts ...Option) *Quota {
	q := &Quota{
		limit: limit,
		small: smallBytes,
	}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Stats returns the state.
func (q *Quota) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{
		Used:    q.used,
		Refused: q.refused,
	}
}

// Open returns an empty holding and a function that gives back all of it for good.
func (q *Quota) Open() (*Holding, func()) {
	h := &Holding{
		quota: q,
	}
	return h, h.close
}

// Holding is a part of a Quota. It is safe for concurrent use; nil is one without a limit.
type Holding struct {
	quota *Quota

	// held is the size in bytes; Quota.mu guards it and closed.
	held   int64
	closed bool
}

// Set changes the size to n bytes. It reports false and leaves the size as it is if there is
// no room.
func (h *Holding) Set(n int) bool {
	if h == nil {
		return true
	}
	q := h.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	more := int64(n) - h.held
	if more > 0 && (h.closed || !q.fits(int64(n), q.limit-q.used-more)) {
		q.refused++
		return false
	}
	q.used += more
	h.held = int64(n)
	return true
}

// fits reports whether a holding may have n bytes if that leaves left bytes.
func (q *Quota) fits(n, left int64) bool {
	if n <= q.small {
		return left >= 0
	}
	return n <= greedFactor*(left-q.limit/smallDivisor)
}

func (h *Holding) close() {
	h.Set(0)
	h.quota.mu.Lock()
	defer h.quota.mu.Unlock()
	h.closed = true
}

// Append appends b to a buffer whose capacity is the size of the holding. The capacity
// doubles as it grows, but beyond limit it has no more than is needed.
func (h *Holding) Append(buffer, b []byte, limit int) ([]byte, error) {
	needed := len(buffer) + len(b)
	if needed > cap(buffer) {
		var err error
		if buffer, err = h.grow(buffer, max(needed, min(2*cap(buffer), limit))); err != nil {
			return nil, err
		}
	}
	return append(buffer, b...), nil
}

// ReadAll reads to the end, but at most limit bytes. The capacity of the result is the size of
// the holding.
func (h *Holding) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	limit = min(limit, math.MaxInt)
	buffer := []byte{}
	for int64(len(buffer)) < limit {
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = h.grow(buffer, int(min(limit, int64(max(2*cap(buffer), minCapacity))))); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return buffer, nil
}

// grow returns a copy of a buffer with another capacity.
func (h *Holding) grow(buffer []byte, capacity int) ([]byte, error) {
	if !h.Set(capacity) {
		return nil, ErrFull
	}
	return append(make([]byte, 0, capacity), buffer...), nil
}
