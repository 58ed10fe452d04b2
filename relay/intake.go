package relay

import (
	"net/http"
	"sync"
	"time"

	"waxwingwall"
	"waxwingwall/core/intake"
)

const (
	// windowTime is the time for which one caller may fill the VM's link with what the router
	// has not asked for; bytes of the store and the peers queue behind it. A caller at a
	// distance of 50 ms gets a fifth of the link at most.
	windowTime = 10 * time.Millisecond

	// minWindowBytes is the smallest window of a caller. On links on which it would be
	// maxWindowBytes or more, the kernel chooses.
	minWindowBytes = 4 << 10
	maxWindowBytes = 64 << 10
)

// callerWindow returns how many bytes a caller may send before they are read; 0 if the kernel
// chooses.
func callerWindow(mbps int) int {
	window := max(int(windowTime.Seconds()*float64(mbps)*1e6/8), minWindowBytes)
	if mbps <= 0 || window >= maxWindowBytes {
		return 0
	}
	return window
}

// link is the Limiter of the VM's link. It is safe for concurrent use.
type link struct {
	mu      sync.Mutex
	limiter *intake.Limiter
}

// accept returns the answer to a request whose body the link would not carry on in
// time, and nil for others. The length is negative if it is unknown.
func (l *link) accept(length int64) *waxwingwall.Problem {
	l.mu.Lock()
	retryAfter, ok := l.limiter.Accept(time.Now(), max(length, 0))
	l.mu.Unlock()
	if ok {
		return nil
	}
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       "link_full",
		Message:    "the link of this router carries no more",
		Outcome:    waxwingwall.NotRun,
		RetryAfter: retryAfter,
	}
}

// add records bytes that pass the link in any case.
func (l *link) add(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Add(time.Now(), bytes)
}

// asked returns intake.Limiter.Asked.
func (l *link) asked() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Asked(time.Now())
}
