// Package retry limits retries to a fraction of first attempts.
//
// Retries multiply the load when capacity is short. Each first attempt adds
// Ratio to a Budget and each retry takes one, so that over any period retries
// never exceed Ratio times the first attempts, plus Reserve.
package retry

// Defaults of a Budget.
const (
	DefaultRatio   = 0.1
	DefaultReserve = 10
)

// Budget is a retry budget. The zero value uses the defaults and is full.
type Budget struct {
	// Ratio is the number of retries that each first attempt adds.
	Ratio float64

	// Reserve is the maximum number of retries that accumulate, and the number
	// that a new Budget holds.
	Reserve float64

	// spent is Reserve minus the remaining retries, so that the zero value is
	// full.
	spent float64
}

// RecordFirstAttempt adds Ratio for a first attempt, up to Reserve.
func (b *Budget) RecordFirstAttempt() {
	b.spent = max(0, b.spent-b.ratio())
}

// Take takes one retry and reports whether one was left.
func (b *Budget) Take() bool {
	if b.Left() < 1 {
		return false
	}
	b.spent++
	return true
}

// Return returns a retry that was taken and not used.
func (b *Budget) Return() {
	b.spent = max(0, b.spent-1)
}

// Left returns the number of remaining retries, which may be fractional.
func (b *Budget) Left() float64 {
	return b.reserve() - b.spent
}

func (b *Budget) ratio() float64 {
	if b.Ratio == 0 {
		return DefaultRatio
	}
	return b.Ratio
}

func (b *Budget) reserve() float64 {
	if b.Reserve == 0 {
		return DefaultReserve
	}
	return b.Reserve
}
