package edge

import (
	"errors"
	"fmt"
	"time"

	"waxwingwall"
)

// Limits of the numbers in messages of peers, so that sums of them can't overflow.
const (
	maxVersion  = 1 << 53
	maxRevision = 1 << 60
	maxDuration = 7 * 24 * time.Hour
	maxTokens   = 1 << 50
	maxCount    = 1_000_000

	// maxColdRate is in requests per second.
	maxColdRate = 1e6
)

// isCount reports whether n is neither negative nor above a limit.
func isCount[N ~int | ~int64](n, limit N) bool {
	return n >= 0 && n <= limit
}

// check returns an error if no router can have sent the news.
func (m *News) check() error {
	c := &m.Configuration
	if !isCount(c.Version, maxVersion) || !isCount(m.Revision, maxRevision) {
		return fmt.Errorf("invalid version %d or revision %d", c.Version, m.Revision)
	}
	if m.Asked < 0 || !isCount(m.Age, maxDuration) {
		return fmt.Errorf("invalid time %v or age %v", m.Asked, m.Age)
	}
	if len(m.Blocked) > maxBlockedNotices {
		return fmt.Errorf("%d notices of blocked requests", len(m.Blocked))
	}
	if !m.Evacuations.valid() {
		return fmt.Errorf("invalid evacuations of revision %d", m.Evacuations.Revision)
	}
	for i := range c.Routes {
		if !validRoute(&c.Routes[i]) {
			return fmt.Errorf("invalid route %q", c.Routes[i].Name)
		}
	}
	for _, s := range c.Services {
		if s.Name == "" || !isCount(s.Slots, maxCount) || !isCount(s.Connections, maxCount) || !isCount(s.Memory, maxTokens) || !isCount(s.EventTokens, maxTokens) || !(s.ColdRate >= 0 && s.ColdRate <= maxColdRate) || !isCount(s.ColdTime, waxwingwall.MaxColdTime) {
			return fmt.Errorf("invalid service %q", s.Name)
		}
	}
	for _, a := range c.Accounts {
		if a.Name == "" || !isCount(a.Prepaid, maxTokens) {
			return fmt.Errorf("invalid account %q", a.Name)
		}
	}
	l := c.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || !isCount(l.HeaderTime, maxDuration) || !isCount(l.IdleTime, maxDuration) {
		return errors.New("invalid limits")
	}
	return nil
}

// validRoute reports whether a configuration can hold the route.
func validRoute(r *waxwingwall.Route) bool {
	for _, s := range r.Services {
		if s.Service == "" || !isCount(s.Weight, maxCount) {
			return false
		}
	}
	return len(r.Services) > 0 && r.Attempts >= 1 && r.Attempts <= maxCount && isCount(r.Timeout, maxDuration) &&
		isCount(r.Objective, maxDuration) && isCount(r.Pause, maxDuration)
}

// validReplicas returns the entries that can be used.
func validReplicas(all []waxwingwall.Replica) []waxwingwall.Replica {
	var valid []waxwingwall.Replica
	for _, r := range all {
		if r.Endpoint != "" && r.Service != "" && reachable(r.Address) && isCount(r.Slots, maxCount) && isCount(r.Cold, waxwingwall.MaxColdTime) {
			valid = append(valid, r)
		}
	}
	return valid
}

// valid reports whether a router can have sent the report.
func (m *Report) valid() bool {
	for _, l := range m.Loads {
		if !isCount(l.Running, maxCount) || !isCount(l.Prefill, maxTokens) || !isCount(l.Memory, maxTokens) {
			return false
		}
	}
	for _, t := range m.Troubles {
		if !(t.FailureRate >= 0 && t.FailureRate <= 1) || !(t.Slowdown >= 0 && t.Slowdown <= maxSlowdown) {
			return false
		}
	}
	for i := range m.Queues {
		if !m.Queues[i].valid() {
			return false
		}
	}
	return len(m.Queues) <= maxQueues && isCount(m.Version, maxVersion) && isCount(m.Revision, maxRevision) && isCount(m.EndpointsAge, maxDuration) && len(m.Reads) <= maxReads && len(m.Blocked) <= maxBlockedNotices && m.Evacuations.valid()
}
