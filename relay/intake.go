package relay

import (
	"net/http"
	"sync"
	"time"

	"waxwingwall"
	"waxwingwall/core/intake"
)

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
