package bench

import (
	"encoding/gob"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingwall"
	"waxwingwall/core/sched"
)

// endReason is the reason why a request ended for its caller.
type endReason int

const (
	endServed endReason = iota
	endCallerLeft
	endUnknown
	endNotRetried
)

// Bounds and precision of the histograms, which hold microseconds.
const (
	histLow    = 1
	histHigh   = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histLow, histHigh, histDigits)
}

// meter records what callers observe and what the endpoints actually run,
// independently of the policies.
type meter struct {
	world             *world
	requests          map[waxwingwall.Identity]*request
	result            Result
	firstToken        [rankCount]*hdrhistogram.Histogram
	betweenTokens     [rankCount]*hdrhistogram.Histogram
	waitBeforeRefusal *hdrhistogram.Histogram
	cachedTokens      int
	prefixTokens      int
	usefulSeconds     float64
	leavingSince      map[*engine]time.Time

	// One message in messagesPerSample is encoded to count its bytes.
	messages     int
	sampledBytes byteCounter
	encoder      *gob.Encoder
}

const messagesPerSample = 20

// byteCounter counts the bytes written to it.
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
		world:             w,
		requests:          map[waxwingwall.Identity]*request{},
		waitBeforeRefusal: newHistogram(),
		leavingSince:      map[*engine]time.Time{},
	}
	for r := range rankCount {
		m.firstToken[r] = newHistogram()
		m.betweenTokens[r] = newHistogram()
	}
	m.encoder = gob.NewEncoder(&m.sampledBytes)
	return m
}

// recordMessage records a message between routers.
func (m *meter) recordMessage(message any) {
	m.messages++
	if m.messages%messagesPerSample == 0 {
		_ = m.encoder.Encode(message)
	}
}

// inWindow reports whether the current time is in the measurement window.
func (m *meter) inWindow() bool {
	t := m.world.now.Sub(epoch)
	return t >= m.world.sc.WarmUp && t < m.world.sc.WarmUp+m.world.sc.Window
}

func (m *meter) rankResult(q *request) *RankResult {
	return &m.result.Ranks[q.rank]
}

func (m *meter) sizeResult(q *request) *SizeResult {
	if q.account < m.world.site.Large {
		return &m.rankResult(q).Large
	}
	return &m.rankResult(q).Small
}

func (m *meter) add(q *request) {
	m.requests[q.id] = q
	q.measured = m.inWindow()
	if q.measured {
		m.rankResult(q).Offered++
		m.sizeResult(q).Offered++
	}
}

// exclude removes a request that is part of a fault from the results.
func (m *meter) exclude(q *request) {
	if q.measured {
		m.rankResult(q).Offered--
		m.sizeResult(q).Offered--
		q.measured = false
	}
}

func (m *meter) recordImmediateRefusal(q *request) {
	if q.measured {
		m.rankResult(q).RefusedAtOnce++
	}
	if q.poison {
		m.result.PoisonRefused++
	}
}

func (m *meter) recordCallerRetry(q *request) {
	if q.measured {
		m.rankResult(q).CallerRetries++
	}
}

// handleRefuse records a refusal of queued or failed work and delivers it to the
// caller.
func (m *meter) handleRefuse(a sched.Refuse) {
	q := m.requests[a.Identity]
	if q == nil || q.done {
		return
	}
	if q.measured {
		m.rankResult(q).RefusedLate++
		_ = m.waitBeforeRefusal.RecordValue(m.world.now.Sub(q.arrivedAt).Microseconds())
	}
	m.world.after(m.world.site.ClientLatency, func() {
		if !q.done {
			q.handleRefusal(a.Problem)
		}
	})
}

func (m *meter) recordDispatch(q *request, a sched.Dispatch) {
	q.dispatches++
	if a.Attempt > 1 {
		m.result.Retries++
	} else {
		m.result.FirstTries++
	}
	e := m.world.engines[m.world.engineIndex(a.Endpoint)]
	if since, ok := m.leavingSince[e]; ok && e.spec.Leaving {
		delay := m.world.now.Sub(since)
		m.result.DispatchedToLeaving = max(m.result.DispatchedToLeaving, delay.Seconds())
	}
}

func (m *meter) recordLeaving(e *engine) {
	m.leavingSince[e] = m.world.now
}

// recordStart checks the safety guarantees when an endpoint starts an attempt.
func (m *meter) recordStart(x *run) {
	q := x.req
	q.starts++
	if !q.work.Idempotent && q.starts > 1 {
		m.result.RunMoreThanOnce++
	}
	if q.notRunTry >= x.try {
		m.result.RanAfterNotRun++
	}
}

func (m *meter) recordPrefix(x *run, cached int) {
	if m.inWindow() {
		m.cachedTokens += cached
		m.prefixTokens += len(x.req.work.Prefix) * blockTokens
	}
}

func (m *meter) recordCrash(*run) {
	m.result.Crashes++
}

// recordToken records the n-th token of a request at its router.
func (m *meter) recordToken(q *request, n int) {
	if q.done || n <= q.delivered {
		return
	}
	now := m.world.now
	if m.inWindow() {
		q.tokensInWindow++
	}
	if q.firstTokenAt.IsZero() {
		q.firstTokenAt = now.Add(m.world.site.ClientLatency)
		if q.measured {
			_ = m.firstToken[q.rank].RecordValue(q.firstTokenAt.Sub(q.offeredAt).Microseconds())
		}
	} else {
		gap := now.Sub(q.lastTokenAt)
		q.tokenGaps++
		if gap > Ranks()[q.rank].BetweenTokens {
			q.lateGaps++
		}
		if q.measured {
			_ = m.betweenTokens[q.rank].RecordValue(gap.Microseconds())
		}
	}
	q.lastTokenAt = now
}

func (m *meter) recordServed(q *request) {
	if !q.done {
		q.finish(endServed)
	}
}

// finish ends a request and records the reason.
func (q *request) finish(reason endReason) {
	m := q.world.meter
	q.done = true
	q.world.openRequests = removeRequest(q.world.openRequests, q)
	if reason == endServed {
		m.rankResult(q).GoodputTokens += float64(q.tokensInWindow)
		m.usefulSeconds += q.idealEngineTime()
	}
	if !q.measured {
		return
	}
	r := m.rankResult(q)
	switch reason {
	case endServed:
		r.Served++
		m.sizeResult(q).Served++
		if q.metTargets() {
			r.InTarget++
			m.sizeResult(q).InTarget++
		}
	case endCallerLeft:
		r.CallerLeft++
	case endUnknown:
		r.Unknown++
	case endNotRetried:
		r.NotRetried++
	}
}

// idealEngineTime returns the engine time, in seconds, for the tokens of the
// request in the measurement window, in full batches with its shared prefix
// cached.
func (q *request) idealEngineTime() float64 {
	if q.work.Model != draftModel {
		return 0
	}
	step := (stepBase + modelSlots*stepPerRequest).Seconds() / modelSlots
	own := int(q.work.Prompt) - len(q.work.Prefix)*blockTokens
	total := float64(q.output)*step + float64(own)*prefillPerToken.Seconds()
	return total * float64(q.tokensInWindow) / float64(q.output)
}

func removeRequest(requests []*request, q *request) []*request {
	for i, x := range requests {
		if x == q {
			requests[i] = requests[len(requests)-1]
			return requests[:len(requests)-1]
		}
	}
	return requests
}

// metTargets reports whether the first token, measured from the caller's first
// try, and 95 % of the times between tokens were within the rank's targets.
func (q *request) metTargets() bool {
	spec := Ranks()[q.rank]
	if q.firstTokenAt.Sub(q.offeredAt) > spec.FirstToken {
		return false
	}
	return q.lateGaps*20 <= q.tokenGaps
}
