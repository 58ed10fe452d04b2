// Package retry bounds retries to a part of the first tries.
//
// Retries multiply load just when capacity is short. A Budget earns a part of
// a retry with every first try and spends a whole one on every retry, so that
// over any time retries stay below Ratio times the first tries, plus Reserve.
package retry

// Defaults of a Budget.
const (
	DefaultRatio   = 0.1
	DefaultReserve = 10
)

// Budget is a retry budget. The zero value uses the defaults and is full.
type Budget struct {
	// Ratio is the part of a retry that each first try earns.
	Ratio float64

	// Reserve is the number of retries that can be saved up, and that a new
	// Budget holds.
	Reserve float64

	// spent is Reserve less what is left, so that the zero value is full.
	spent float64
}

// RecordFirstAttempt takes in a first try.
func (b *Budget) RecordFirstAttempt() {
	b.spent = max(0, b.spent-b.ratio())
}

// Take spends a retry, or reports false if none is left.
func (b *Budget) Take() bool {
	if b.Left() < 1 {
		return false
	}
	b.spent++
	return true
}

// Left returns how many retries are left, as a fraction.
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
