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
	return t >= m.world.scenario.WarmUp && t < m.world.scenario.WarmUp+m.world.scenario.Window
}

func (m *meter) rankResult(req *request) *RankResult {
	return &m.result.Ranks[req.rank]
}

func (m *meter) sizeResult(req *request) *SizeResult {
	if req.account < m.world.site.Large {
		return &m.rankResult(req).Large
	}
	return &m.rankResult(req).Small
}

func (m *meter) add(req *request) {
	m.requests[req.id] = req
	req.measured = m.inWindow()
	if req.measured {
		m.rankResult(req).Offered++
		m.sizeResult(req).Offered++
	}
}

// exclude removes a request that is part of a fault from the results.
func (m *meter) exclude(req *request) {
	if req.measured {
		m.rankResult(req).Offered--
		m.sizeResult(req).Offered--
		req.measured = false
	}
}

func (m *meter) recordImmediateRefusal(req *request) {
	if req.measured {
		m.rankResult(req).RefusedAtOnce++
	}
	if req.poison {
		m.result.PoisonRefused++
	}
}

func (m *meter) recordCallerRetry(req *request) {
	if req.measured {
		m.rankResult(req).CallerRetries++
	}
}

// handleRefuse records a refusal of queued or failed work and delivers it to the
// caller.
func (m *meter) handleRefuse(a sched.Refuse) {
	req := m.requests[a.Identity]
	if req == nil || req.done {
		return
	}
	if req.measured {
		m.rankResult(req).RefusedLate++
		_ = m.waitBeforeRefusal.RecordValue(m.world.now.Sub(req.arrivedAt).Microseconds())
	}
	m.world.after(m.world.site.ClientLatency, func() {
		if !req.done {
			req.handleRefusal(a.Problem)
		}
	})
}

func (m *meter) recordDispatch(req *request, a sched.Dispatch) {
	req.dispatches++
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
	req := x.req
	req.starts++
	if !req.work.Idempotent && req.starts > 1 {
		m.result.RunMoreThanOnce++
	}
	if req.notRunTry >= x.callerTry {
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
func (m *meter) recordToken(req *request, n int) {
	if req.done || n <= req.delivered {
		return
	}
	now := m.world.now
	if m.inWindow() {
		req.tokensInWindow++
	}
	if req.firstTokenAt.IsZero() {
		req.firstTokenAt = now.Add(m.world.site.ClientLatency)
		if req.measured {
			_ = m.firstToken[req.rank].RecordValue(req.firstTokenAt.Sub(req.offeredAt).Microseconds())
		}
	} else {
		gap := now.Sub(req.lastTokenAt)
		req.tokenGaps++
		if gap > Ranks()[req.rank].BetweenTokens {
			req.lateGaps++
		}
		if req.measured {
			_ = m.betweenTokens[req.rank].RecordValue(gap.Microseconds())
		}
	}
	req.lastTokenAt = now
}

func (m *meter) recordServed(req *request) {
	if !req.done {
		req.finish(endServed)
	}
}

// finish ends a request and records the reason.
func (req *request) finish(reason endReason) {
	m := req.world.meter
	req.done = true
	req.world.openRequests = removeRequest(req.world.openRequests, req)
	if reason == endServed {
		m.rankResult(req).GoodputTokens += float64(req.tokensInWindow)
		m.usefulSeconds += req.idealEngineTime()
	}
	if !req.measured {
		return
	}
	r := m.rankResult(req)
	switch reason {
	case endServed:
		r.Served++
		m.sizeResult(req).Served++
		if req.metTargets() {
			r.InTarget++
			m.sizeResult(req).InTarget++
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
func (req *request) idealEngineTime() float64 {
	if req.work.Model != draftModel {
		return 0
	}
	step := (stepBase + modelSlots*stepPerRequest).Seconds() / modelSlots
	own := int(req.work.Prompt) - len(req.work.Prefix)*blockTokens
	total := float64(req.output)*step + float64(own)*prefillPerToken.Seconds()
	return total * float64(req.tokensInWindow) / float64(req.output)
}

func removeRequest(requests []*request, req *request) []*request {
	for i, x := range requests {
		if x == req {
			requests[i] = requests[len(requests)-1]
			return requests[:len(requests)-1]
		}
	}
	return requests
}

// metTargets reports whether the first token, measured from the caller's first
// try, and 95 % of the times between tokens were within the rank's targets.
func (req *request) metTargets() bool {
	spec := Ranks()[req.rank]
	if req.firstTokenAt.Sub(req.offeredAt) > spec.FirstToken {
		return false
	}
	return req.lateGaps*20 <= req.tokenGaps
}
