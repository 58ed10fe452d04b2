package bench

import (
	"encoding/gob"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingwall"
	"waxwingwall/core/sched"
)

// ending is how a request ended for its caller.
type ending int

const (
	endServed ending = iota
	endLeft
	endUnknown
	endGaveUp
)

// The histograms hold microseconds.
const (
	histLow    = 1
	histHigh   = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

func newHist() *hdrhistogram.Histogram {
	return hdrhistogram.New(histLow, histHigh, histDigits)
}

// meter watches a run from outside: it sees what callers see, and what the
// endpoints really ran.
type meter struct {
	world    *world
	requests map[waxwingwall.Identity]*request
	result   Result
	first    [rankCount]*hdrhistogram.Histogram
	between  [rankCount]*hdrhistogram.Histogram
	held     *hdrhistogram.Histogram
	hits     int
	asked    int
	useful   float64
	left     map[*engine]time.Time

	// One message in sampleSends is encoded, to count its bytes.
	sends   int
	wire    byteCounter
	encoder *gob.Encoder
}

const sampleSends = 20

// byteCounter counts what is written to it.
type byteCounter struct {
	bytes int
}

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

func newMeter(w *world) *meter {
	m := &meter{
		world:    w,
		requests: map[waxwingwall.Identity]*request{},
		held:     newHist(),
		left:     map[*engine]time.Time{},
	}
	for r := range rankCount {
		m.first[r] = newHist()
		m.between[r] = newHist()
	}
	m.encoder = gob.NewEncoder(&m.wire)
	return m
}

// sent counts a message between routers.
func (m *meter) sent(message any) {
	m.sends++
	if m.sends%sampleSends == 0 {
		_ = m.encoder.Encode(message)
	}
}

// inWindow reports whether now is after the warm-up and before the end.
func (m *meter) inWindow() bool {
	t := m.world.now.Sub(epoch)
	return t >= m.world.sc.WarmUp && t < m.world.sc.WarmUp+m.world.sc.Window
}

func (m *meter) rank(q *request) *RankResult {
	return &m.result.Ranks[q.rank]
}

func (m *meter) size(q *request) *SizeResult {
	if q.account < m.world.site.Large {
		return &m.rank(q).Large
	}
	return &m.rank(q).Small
}

func (m *meter) add(q *request) {
	m.requests[q.id] = q
	q.measured = m.inWindow()
	if q.measured {
		m.rank(q).Offered++
		m.size(q).Offered++
	}
}

// exclude keeps a request that belongs to a fault out of the figures.
func (m *meter) exclude(q *request) {
	if q.measured {
		m.rank(q).Offered--
		m.size(q).Offered--
		q.measured = false
	}
}

func (m *meter) refusedAtOnce(q *request) {
	if q.measured {
		m.rank(q).RefusedAtOnce++
	}
	if q.poison {
		m.result.PoisonRefused++
	}
}

func (m *meter) cameBack(q *request) {
	if q.measured {
		m.rank(q).CallerRetries++
	}
}

// refuse takes in a refusal of queued or failed work.
func (m *meter) refuse(a sched.Refuse) {
	q := m.requests[a.Identity]
	if q == nil || q.done {
		return
	}
	if q.measured {
		m.rank(q).RefusedLate++
		_ = m.held.RecordValue(m.world.now.Sub(q.taken).Microseconds())
	}
	m.world.after(m.world.site.ClientLatency, func() {
		if !q.done {
			q.refused(a.Problem)
		}
	})
}

func (m *meter) dispatched(q *request, a sched.Dispatch) {
	q.dispatches++
	if a.Attempt > 1 {
		m.result.Retries++
	} else {
		m.result.FirstTries++
	}
	e := m.world.engines[m.world.engineIndex(a.Endpoint)]
	if at, ok := m.left[e]; ok && e.spec.Leaving {
		late := m.world.now.Sub(at)
		m.result.DispatchedToLeaving = max(m.result.DispatchedToLeaving, late.Seconds())
	}
}

func (m *meter) leaving(e *engine) {
	m.left[e] = m.world.now
}

// began audits an attempt that an endpoint begins to run.
func (m *meter) began(x *run) {
	q := x.req
	q.begun++
	if !q.work.Idempotent && q.begun > 1 {
		m.result.RunMoreThanOnce++
	}
	if q.toldNotRun >= x.try {
		m.result.RanAfterNotRun++
	}
}

func (m *meter) prefix(x *run, cached int) {
	if m.inWindow() {
		m.hits += cached
		m.asked += len(x.req.work.Prefix) * blockTokens
	}
}

func (m *meter) crashed(*run) {
	m.result.Crashes++
}

// token takes in the n-th token of a request at its router.
func (m *meter) token(q *request, n int) {
	if q.done || n <= q.delivered {
		return
	}
	now := m.world.now
	if m.inWindow() {
		q.inWindow++
	}
	if q.firstToken.IsZero() {
		q.firstToken = now.Add(m.world.site.ClientLatency)
		if q.measured {
			_ = m.first[q.rank].RecordValue(q.firstToken.Sub(q.offered).Microseconds())
		}
	} else {
		gap := now.Sub(q.lastToken)
		q.gaps++
		if gap > Ranks()[q.rank].BetweenTokens {
			q.lateGaps++
		}
		if q.measured {
			_ = m.between[q.rank].RecordValue(gap.Microseconds())
		}
	}
	q.lastToken = now
}

func (m *meter) served(q *request) {
	if !q.done {
		q.end(endServed)
	}
}

// end settles what became of a request.
func (q *request) end(how ending) {
	m := q.world.meter
	q.done = true
	q.world.live = forget(q.world.live, q)
	if how == endServed {
		m.rank(q).GoodputTokens += float64(q.inWindow)
		m.useful += q.idealTime()
	}
	if !q.measured {
		return
	}
	r := m.rank(q)
	switch how {
	case endServed:
		r.Served++
		m.size(q).Served++
		if q.inTarget() {
			r.InTarget++
			m.size(q).InTarget++
		}
	case endLeft:
		r.CallerLeft++
	case endUnknown:
		r.Unknown++
	case endGaveUp:
		r.NotRetried++
	}
}

// idealTime is the engine time, in seconds, of the part of the request that
// fell into the window, in full batches with its shared prefix cached.
func (q *request) idealTime() float64 {
	if q.work.Model != model {
		return 0
	}
	step := (stepBase + modelSlots*stepPerRequest).Seconds() / modelSlots
	own := int(q.work.Prompt) - len(q.work.Prefix)*blockTokens
	whole := float64(q.output)*step + float64(own)*prefillPerTok.Seconds()
	return whole * float64(q.inWindow) / float64(q.output)
}

func forget(live []*request, q *request) []*request {
	for i, x := range live {
		if x == q {
			live[i] = live[len(live)-1]
			return live[:len(live)-1]
		}
	}
	return live
}

// inTarget reports whether the first token, counted from the caller's first
// try, and 95 in 100 of the times between tokens were within the rank's target.
func (q *request) inTarget() bool {
	spec := Ranks()[q.rank]
	if q.firstToken.Sub(q.offered) > spec.FirstToken {
		return false
	}
	return q.lateGaps*20 <= q.gaps
}
