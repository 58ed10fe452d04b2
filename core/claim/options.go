package claim

import "time"

// DefaultSlots is the number of slots of a fleet, some for each router of a large
// one.
const DefaultSlots = 1024

// Defaults of the other options.
const (
	defaultFilingInterval = 5 * time.Second
	defaultRetention      = 30 * time.Minute
	defaultPollInterval   = 2 * time.Second
	defaultGrace          = 1500 * time.Millisecond
)

// settings are the options of a Ledger.
type settings struct {
	slotCount          int
	filingInterval     time.Duration
	retention          time.Duration
	pollInterval       time.Duration
	grace              time.Duration
	interruptedTimeout time.Duration
	seed               uint64
	late               []Claim
	awaitShares        bool
}

// Option changes how a Ledger works.
type Option func(*settings)

// WithSlots sets the number of slots, used by the router that creates the slots
// row.
func WithSlots(n int) Option {
	return func(s *settings) {
		s.slotCount = n
	}
}

// WithFilingInterval sets the time between two bill rows while the witness answers.
func WithFilingInterval(d time.Duration) Option {
	return func(s *settings) {
		s.filingInterval = d
	}
}

// WithRetention sets how long a finished key is remembered. All routers must
// use the same.
func WithRetention(d time.Duration) Option {
	return func(s *settings) {
		s.retention = d
	}
}

// WithPollInterval sets the time between two looks at the slots row.
func WithPollInterval(d time.Duration) Option {
	return func(s *settings) {
		s.pollInterval = d
	}
}

// WithGrace sets how long a router must be believed dead before it is closed.
func WithGrace(d time.Duration) Option {
	return func(s *settings) {
		s.grace = d
	}
}

// WithShareReturn makes the slots of a closed incarnation wait until Returned tells
// that its budget shares are back, but not for longer than a bound: who owns the
// slots is what makes another router finish the job if this one dies.
func WithShareReturn() Option {
	return func(s *settings) {
		s.awaitShares = true
	}
}

// WithInterruptedTimeout sets after what time an interrupted request that nobody
// retries is billed at its progress.
func WithInterruptedTimeout(d time.Duration) Option {
	return func(s *settings) {
		s.interruptedTimeout = d
	}
}

// WithSeed sets the nonce of the node row. Two processes must not share one.
func WithSeed(seed uint64) Option {
	return func(s *settings) {
		s.seed = seed
	}
}
