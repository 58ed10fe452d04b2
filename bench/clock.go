package bench

import (
	"container/heap"
	"time"
)

// epoch is the start of simulated time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a simulated clock. Callbacks run in the order of their times, those
// with equal times in the order in which they were scheduled.
type clock struct {
	now    time.Time
	seq    uint64
	timers timerHeap
}

type timer struct {
	at  time.Time
	seq uint64
	run func()
}

// timerHeap implements heap.Interface, earliest timer first.
type timerHeap []timer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after runs f after d.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.timers, timer{
		at:  c.now.Add(d),
		seq: c.seq,
		run: f,
	})
}

// every runs f every d until f returns false.
func (c *clock) every(d time.Duration, f func() bool) {
	c.after(d, func() {
		if f() {
			c.every(d, f)
		}
	})
}

// runUntil runs all callbacks that are due up to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(end) {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}
