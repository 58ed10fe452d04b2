package sched

import (
	"math"
	"time"
)

const (
	// meanSmoothing is the weight of a new sample in a mean.
	meanSmoothing = 0.1

	// rateTimeConstant is the time constant of the decay of a rate.
	rateTimeConstant = time.Second
)

// mean is an exponential moving average of durations, in seconds, with its mean
// deviation. The zero value has no samples.
type mean struct {
	value float64
	dev   float64
	known bool
}

// add adds a sample.
func (m *mean) add(d time.Duration) {
	x := d.Seconds()
	if !m.known {
		*m = mean{
			value: x,
			dev:   x / 2,
			known: true,
		}
		return
	}
	m.dev += meanSmoothing * (math.Abs(x-m.value) - m.dev)
	m.value += meanSmoothing * (x - m.value)
}

func (m *mean) seconds() float64 {
	return m.value
}

func (m *mean) duration() time.Duration {
	return time.Duration(m.value * float64(time.Second))
}

// upperBound returns a duration that few samples exceed.
func (m *mean) upperBound() time.Duration {
	return time.Duration((m.value + 2*m.dev) * float64(time.Second))
}

// rate is a number of events a second with exponential decay.
type rate struct {
	value float64
	last  time.Time
}

func (r *rate) at(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.last).Seconds()/rateTimeConstant.Seconds())
}

func (r *rate) add(now time.Time) {
	r.value = r.at(now) + 1/rateTimeConstant.Seconds()
	r.last = now
}
