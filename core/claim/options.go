package claim

import "time"

// DefaultSlots is the default number of slots, several per router even in a
// large fleet.
const DefaultSlots = 1024

// Defaults of the other options.
const (
	defaultFilingInterval = 5 * time.Second
	defaultRetention      = 30 * time.Minute
	defaultPollInterval   = 2 * time.Second
	defaultSuspectTimeout = 1500 * time.Millisecond
)

// settings are the options of a Ledger.
type settings struct {
	slotCount          int
	filingInterval     time.Duration
	retention          time.Duration
	pollInterval       time.Duration
	suspectTimeout     time.Duration
	interruptedTimeout time.Duration
	seed               uint64
	late               []Claim
	awaitShares        bool
}

// Option changes how a Ledger works.
type Option func(*settings)

// WithSlots sets the number of slots, which is the same at all routers of a fleet. A slots
// row with another number is ignored.
func WithSlots(n int) Option {
	return func(s *settings) {
		s.slotCount = n
	}
}

// WithFilingInterval sets the time between two bill rows while the witness
// responds.
func WithFilingInterval(d time.Duration) Option {
	return func(s *settings) {
		s.filingInterval = d
	}
}

// WithRetention sets how long a finished key is kept. All routers must use the
// same value.
func WithRetention(d time.Duration) Option {
	return func(s *settings) {
		s.retention = d
	}
}

// WithPollInterval sets the time between two reads of the slots row. It is longer
// in a large fleet, and shorter while a peer is about to be closed or this router
// drains.
func WithPollInterval(d time.Duration) Option {
	return func(s *settings) {
		s.pollInterval = d
	}
}

// WithSuspectTimeout sets the minimum time for which a router must be suspected
// before it is closed.
func WithSuspectTimeout(d time.Duration) Option {
	return func(s *settings) {
		s.suspectTimeout = d
	}
}

// WithShareReturn delays the takeover of the slots of a closed incarnation
// until SharesReturned reports that its budget shares are back in the pool, up
// to a limit. As long as the closed incarnation owns the slots, another router
// completes the takeover if this one dies.
func WithShareReturn() Option {
	return func(s *settings) {
		s.awaitShares = true
	}
}

// WithInterruptedTimeout sets the time after which an interrupted request that
// is not retried is billed at its progress.
func WithInterruptedTimeout(d time.Duration) Option {
	return func(s *settings) {
		s.interruptedTimeout = d
	}
}

// WithSeed sets the nonce of the node row. It must differ between processes.
func WithSeed(seed uint64) Option {
	return func(s *settings) {
		s.seed = seed
	}
}
