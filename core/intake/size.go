package intake

import "math/bits"

const (
	// smallBody is the largest body of the first size; each further size goes up to four
	// times as much.
	smallBody = 1 << 10
	sizeCount = 10

	// minAsked is the number of requests of a size from which its rate counts.
	minAsked = 3

	// neglectedPart is the part of the best rate at which the requests of a size are accepted
	// below which one is accepted for its size, and favouredFactor how many times the worst
	// rate another one may be to be favoured.
	neglectedPart  = 0.6
	favouredFactor = 1.8
)

// sizes count requests by the length of their bodies. The zero value is ready to use.
type sizes struct {
	asked, taken [sizeCount]float64
}

// sizeOf returns the index of a length.
func sizeOf(body int64) int {
	return min((bits.Len64(uint64(max(body-1, 0)/smallBody))+1)/2, sizeCount-1)
}

// decay keeps a part of what was counted.
func (s *sizes) decay(keep float64) {
	for i := range s.asked {
		s.asked[i] *= keep
		s.taken[i] *= keep
	}
}

// rates returns the rate at which requests of a length were accepted, and the worst and best of
// all sizes.
func (s *sizes) rates(body int64) (own, worst, best float64) {
	own, worst = 1, 1
	if i := sizeOf(body); s.asked[i] > 0 {
		own = s.taken[i] / s.asked[i]
	}
	for i := range s.asked {
		if s.asked[i] >= minAsked {
			rate := s.taken[i] / s.asked[i]
			worst, best = min(worst, rate), max(best, rate)
		}
	}
	return own, worst, best
}

// neglected reports whether requests of a length are accepted far less often than others.
func (s *sizes) neglected(body int64) bool {
	own, _, best := s.rates(body)
	return own < neglectedPart*best
}

// favoured reports whether requests of a length are accepted more often than others, so that
// they may not be preferred further.
func (s *sizes) favoured(body int64) bool {
	own, worst, _ := s.rates(body)
	return own > favouredFactor*worst
}
