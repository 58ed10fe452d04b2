package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/edge"
	"waxwingwall/core/effect"
	"waxwingwall/io/origin"
	"waxwingwall/io/quota"
	"waxwingwall/io/tcp"
)

const (
	// maxBufferedBytes limits the part of an answer that is buffered before it is
	// forwarded.
	maxBufferedBytes = 256 << 10

	// copyBufferBytes is the size of the buffer for forwarding an answer.
	copyBufferBytes = 16 << 10

	// packetOverhead is the number of bytes on the link in addition to a part of an
	// answer.
	packetOverhead = 60

	// writeTimeout limits how long a caller may take to accept one part of its
	// answer.
	writeTimeout = 10 * time.Second

	// busyRetryAfter is the retry delay for callers while no memory for a body is free.
	busyRetryAfter = 500 * time.Millisecond

	// actionQueueSize is the capacity of a request's queue of actions. The control
	// goroutine never queues more, so it does not block.
	actionQueueSize = 8
)

// proxyRequest is one request in flight.
type proxyRequest struct {
	relay   *Relay
	id      uint64
	call    waxwingwall.Call
	body    []byte
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	// target is the path and query as the caller sent them, see originForm.
	target string

	// rank is the rank in the latest Dispatch or Refuse action; callerLeft is set
	// once the caller has disconnected. callerGone is set if an attempt was withheld for
	// that reason.
	rank       waxwingwall.Rank
	callerLeft bool
	callerGone bool

	// attempts is the context of all attempts, which cut ends.
	attempts context.Context
	cut      context.CancelFunc

	// actions are the pending actions from the control goroutine.
	actions chan effect.Action

	// bufferedAnswer is a complete answer that was not yet forwarded; nil if there is
	// none.
	bufferedAnswer *bufferedAnswer

	// events splits the streams of the attempts into events and counts them;
	// committed is set before the header of an answer is written to the caller, and
	// notStream if that answer is no stream: nothing of another attempt may follow.
	events    origin.EventSplitter
	committed bool
	notStream bool

	// received bounds the body, head and buffered the head and the buffered part of an
	// answer.
	received, head, buffered *quota.Holding

	// whole is set once a whole answer was written to the caller.
	whole bool

	// written is set once an answer of unknown or great length was written to its end. resets
	// is set while the end of the caller's connection is a reset.
	written bool
	resets  bool
}

// bufferedAnswer is a complete answer kept in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// serveCaller handles the requests of callers.
func (r *Relay) serveCaller(w http.ResponseWriter, req *http.Request) {
	defer r.logPanic()
	s := r.sharedState.Load()
	if s.draining {
		w.Header().Set("Connection", "close")
	}
	p := &proxyRequest{
		relay:   r,
		id:      r.lastRequest.Add(1),
		w:       w,
		r:       req,
		arrived: time.Now(),
		actions: make(chan effect.Action, actionQueueSize),
	}
	p.attempts, p.cut = context.WithCancel(req.Context())
	defer p.cut()
	defer p.openHoldings()()
	if problem := p.readRequest(s.limits); problem != nil {
		r.log.WithField("request", p.call.ID).WithField("code", problem.Code).
			WithField("status", problem.Status).WithField("cause", problem.Message).Info("refused")
		p.refuse(problem)
		return
	}
	r.wholeRequests.Add(1)
	defer r.wholeRequests.Add(-1)
	r.metrics.openRequests.Add(context.Background(), 1)
	defer r.metrics.openRequests.Add(context.Background(), -1)
	r.post(job{
		call: func(now time.Time) {
			r.requests[p.id] = p
			r.step(now, edge.Arrived{
				Request: p.id,
				Call:    p.call,
				At:      p.arrived,
			})
		},
	})
	p.run()
}

// openHoldings opens what bounds the bytes that wait for the request, and returns a function
// that gives them back.
func (p *proxyRequest) openHoldings() func() {
	var closers []func()
	for _, h := range []**quota.Holding{&p.received, &p.head, &p.buffered, &p.events.Holding} {
		holding, done := p.relay.waiting.Open()
		*h = holding
		closers = append(closers, done)
	}
	return func() {
		for _, done := range closers {
			done()
		}
	}
}

// logPanic logs a panic of a handler, with which net/http closes the caller's connection
// without an answer.
func (r *Relay) logPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		r.log.WithField("panic", fmt.Sprint(v)).WithField("stack", string(debug.Stack())).Error("handler_panicked")
	}
	panic(http.ErrAbortHandler)
}

// run performs the actions for the request, up to and including the last one.
func (p *proxyRequest) run() {
	callerDone := p.r.Context().Done()
	for {
		select {
		case a := <-p.actions:
			if p.perform(a) {
				return
			}
		case <-callerDone:
			callerDone = nil
			p.reportCallerLeft()
		}
	}
}

// reportCallerLeft reports to the control goroutine that the caller disconnected.
func (p *proxyRequest) reportCallerLeft() {
	p.callerLeft = true
	p.relay.postEvent(edge.CallerLeft{
		Request: p.id,
		Events:  p.events.Count,
	})
}

// perform performs one action and reports whether it was the last.
func (p *proxyRequest) perform(a effect.Action) bool {
	switch a := a.(type) {
	case edge.KeepWaiting, edge.LeaveAttempt:
		// The attempt ended before the control goroutine had decided.
		return false
	case edge.Dispatch:
		p.rank = a.Rank
		p.runAttempt(a)
		return false
	case edge.Refuse:
		p.rank = a.Rank
		if p.committed {
			p.abort()
		}
		p.refuse(a.Problem)
	case edge.Deliver:
		p.deliver()
	case edge.Abort:
		p.abort()
	case edge.Finished:
		p.finish()
	}
	return true
}

// finish ends a request whose caller has the whole answer or has disconnected. In the latter
// case the connection is closed: the caller may have closed only its own half, and the server
// would end what it has as a whole answer.
func (p *proxyRequest) finish() {
	p.endInOrder()
	code := "served"
	if p.callerLeft {
		code = "caller_left"
	}
	p.requestEnded(code)
	if !p.whole {
		panic(http.ErrAbortHandler)
	}
}

// abort closes the caller's connection, so that its answer does not look complete. It
// does not return.
func (p *proxyRequest) abort() {
	p.requestEnded("cut")
	panic(http.ErrAbortHandler)
}

// requestEnded records the end of the request in the metrics.
func (p *proxyRequest) requestEnded(code string) {
	p.relay.metrics.requestEnded(code, p.rank, time.Since(p.arrived))
}

// refuse answers the caller with a problem.
func (p *proxyRequest) refuse(problem *waxwingwall.Problem) {
	p.requestEnded(problem.Code)
	h := p.w.Header()
	if problem.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(problem.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "application/json")
	p.w.WriteHeader(problem.Status)
	// An error means that the caller disconnected; it may retry.
	_ = json.NewEncoder(p.w).Encode(problem)
}

// deliver sends the buffered answer, which reports a failure.
func (p *proxyRequest) deliver() {
	if p.bufferedAnswer == nil || p.committed {
		panic(http.ErrAbortHandler)
	}
	p.requestEnded("endpoint_failed")
	p.writeBuffered()
}

func (p *proxyRequest) writeBuffered() {
	copyHeader(p.w.Header(), p.bufferedAnswer.header)
	p.w.Header().Set("Content-Length", strconv.Itoa(len(p.bufferedAnswer.body)))
	p.w.WriteHeader(p.bufferedAnswer.status)
	p.relay.link.add(len(p.bufferedAnswer.body))
	// An error means that the caller disconnected; it may retry.
	_, _ = p.w.Write(p.bufferedAnswer.body)
}

// runAttempt runs one attempt and posts its result to the control goroutine.
func (p *proxyRequest) runAttempt(d edge.Dispatch) {
	ctx, cancel := context.WithDeadline(p.attempts, d.Deadline)
	defer cancel()
	p.bufferedAnswer = nil
	p.head.Set(0)
	p.buffered.Set(0)
	var times attemptTimes
	outcome := p.exchange(ctx, d, times.record)
	p.whole = outcome.Result == edge.Complete
	if (p.r.Context().Err() != nil || p.callerGone) && outcome.Result != edge.Complete {
		// A caller may close its connection as soon as it has the complete answer.
		p.reportCallerLeft()
		return
	}
	if outcome.Result != edge.Complete && outcome.Result != edge.Failed && ctx.Err() != nil {
		outcome.Result = edge.DeadlineExceeded
	}
	outcome.Request = d.Request
	outcome.Attempt = d.Attempt
	outcome.Committed = p.committed
	outcome.Events = p.events.Count
	outcome.Offset = p.events.LastID
	outcome.ConnectedAt, outcome.SentAt, outcome.Idle = times.get(time.Now())
	p.relay.metrics.attemptEnded(d.Params.Endpoint, outcome.Result)
	p.relay.postEvent(outcome)
}

// attemptTimes are the times of the stages of an attempt. It is safe for concurrent
// use.
type attemptTimes struct {
	mu                        sync.Mutex
	connected, sent, received time.Time
}

func (t *attemptTimes) record(s origin.Stage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case origin.Connected:
		t.connected = time.Now()
	case origin.Sent:
		t.sent = time.Now()
	case origin.Received:
		t.received = time.Now()
	}
}

// get returns the times, and the time from the last progress until now.
func (t *attemptTimes) get(now time.Time) (connected, sent time.Time, idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.sent
	if t.received.After(last) {
		last = t.received
	}
	if !last.IsZero() {
		idle = now.Sub(last)
	}
	return t.connected, t.sent, idle
}

// exchange sends the request to an endpoint and forwards the answer.
func (p *proxyRequest) exchange(ctx context.Context, d edge.Dispatch, onStage func(origin.Stage)) edge.AttemptEnded {
	var ending edge.Ending
	answer, err := p.relay.origins.Do(ctx, origin.Request{
		Address:       d.Address,
		Via:           d.Via,
		Method:        p.r.Method,
		Target:        p.target,
		Host:          p.r.Host,
		Header:        p.relay.codec.Forward(p.r.Header, d.Params),
		Body:          p.body,
		DialTimeout:   d.DialTimeout,
		SendBy:        d.SendBy,
		Withhold:      func() bool { return p.relay.withholds(d) || p.abandoned(d) },
		HeaderTimeout: d.FirstTimeout,
		IdleTimeout:   d.IdleTimeout,
		KeepWaiting:   func(idle time.Duration) time.Duration { return p.reportStalled(ctx, d, idle) },
		ID:            p.call.ID,
		Confirm: func(ctx context.Context, c *origin.Companion) bool {
			return p.relay.stillRuns(ctx, d, c, &ending)
		},
		Match:   func(h http.Header) bool { return p.relay.codec.ParseReply(0, h).Call == p.call.ID },
		Unnamed: func(h http.Header) bool { return p.relay.codec.ParseReply(0, h).Call == "" },
		Head:    p.head,
		Trace:   onStage,
	})
	if errors.Is(err, origin.ErrIdleTimeout) {
		// Other connections to the same address may be dead as well.
		p.relay.origins.CloseIdle(d.Address)
	}
	if errors.Is(err, origin.ErrVia) {
		p.relay.origins.CloseVia(d.Via)
	}
	if err != nil {
		return failedAttempt(err)
	}
	defer answer.Close()
	p.reportLimit(d, answer)
	p.reportNotice(d, answer)
	var outcome edge.AttemptEnded
	if d.Stream && answer.Status == http.StatusOK && isStream(answer.Header) {
		outcome = p.forwardStream(d, answer)
	} else {
		outcome = p.forwardAnswer(d, answer)
	}
	outcome.Framing = framing(answer)
	if e := answer.Ending(); e != nil {
		ending.Quiet, ending.Closed = e.Quiet, e.Closed
		ending.Companion, ending.Outlived = e.Companion, e.Outlived
		outcome.Ending = &ending
	}
	if outcome.Result == edge.Broken || outcome.Result != edge.Complete && answer.Status < http.StatusMultipleChoices {
		answer.Reject()
	}
	return outcome
}

// framing returns how the end of an answer is known.
func framing(answer *origin.Answer) edge.Framing {
	switch {
	case answer.Chunked:
		return edge.ByChunks
	case answer.Length >= 0:
		return edge.ByLength
	}
	return edge.ByConnection
}

// reportStalled reports that an endpoint has sent nothing for some time. It returns how
// much longer to wait; zero if the attempt is to be left.
func (p *proxyRequest) reportStalled(ctx context.Context, d edge.Dispatch, idle time.Duration) time.Duration {
	p.relay.postEvent(edge.AttemptStalled{
		Request: d.Request,
		Attempt: d.Attempt,
		Idle:    idle,
	})
	select {
	case a := <-p.actions:
		if a, ok := a.(edge.KeepWaiting); ok {
			return a.For
		}
	case <-ctx.Done():
	case <-p.relay.ctx.Done():
	}
	return 0
}

// abandoned reports, just before a request is sent, that nobody waits for the answer. On a
// busy VM the server notices only later that the caller has closed its connection, and the
// time since the decision counts as well.
func (p *proxyRequest) abandoned(d edge.Dispatch) bool {
	if conn, ok := p.r.Context().Value(connKey{}).(net.Conn); ok && tcp.Closed(conn) {
		p.callerGone = true
	}
	return p.callerGone || p.r.Context().Err() != nil || !time.Now().Before(d.Deadline)
}

// reportLimit reports the limit that an endpoint names in the header of an answer, or
// that it names none any more.
func (p *proxyRequest) reportLimit(d edge.Dispatch, answer *origin.Answer) {
	reply := p.relay.codec.ParseReply(answer.Status, answer.Header)
	switch {
	case reply.InvalidLimit != "":
		p.relay.log.WithField("endpoint", string(d.Params.Endpoint)).WithField("limit", reply.InvalidLimit).Warning("limit_unreadable")
	case reply.Limit.Named, d.Limited && (reply.Sealed || reply.NotRun):
		p.relay.postEvent(edge.HeadReceived{
			Request: d.Request,
			Attempt: d.Attempt,
			Limit:   reply.Limit,
		})
	}
}

// reportNotice reports what an endpoint says of itself in the header of an answer.
func (p *proxyRequest) reportNotice(d edge.Dispatch, answer *origin.Answer) {
	reply := p.relay.codec.ParseReply(answer.Status, answer.Header)
	log := p.relay.log.WithField("endpoint", string(d.Params.Endpoint))
	if reply.InvalidLeaving != "" {
		log.WithField("leaving", waxwingwall.Excerpt(reply.InvalidLeaving)).Warning("leaving_unreadable")
	}
	if reply.InvalidBrittle != "" {
		log.WithField("brittle", waxwingwall.Excerpt(reply.InvalidBrittle)).Warning("brittle_unreadable")
	}
	if reply.InvalidRetryAfter != "" {
		log.WithField("retry_after", waxwingwall.Excerpt(reply.InvalidRetryAfter)).Warning("retry_after_unreadable")
	}
	if reply.InvalidCold != "" {
		log.WithField("cold", waxwingwall.Excerpt(reply.InvalidCold)).Warning("cold_unreadable")
	}
	if !reply.Leaving && reply.RetryAfter == 0 && !reply.Brittle.Named && reply.Cold == 0 {
		return
	}
	p.relay.postEvent(edge.NoticeReceived{
		Endpoint:   d.Params.Endpoint,
		Born:       d.Born,
		Leaving:    reply.Leaving,
		Brittle:    reply.Brittle,
		RetryAfter: reply.RetryAfter,
		Cold:       reply.Cold,
	})
}

// withholds reports whether nothing may be sent to the endpoint of a dispatch any more.
func (r *Relay) withholds(d edge.Dispatch) bool {
	s := r.sharedState.Load()
	to := edge.Instance{
		Endpoint: d.Params.Endpoint,
		Born:     d.Born,
	}
	now := time.Now()
	// A dispatch to an endpoint with a limit has a permit.
	return now.Before(s.withheld[to]) || !d.Limited && now.Before(s.cold[to])
}

// failedAttempt returns the result of an attempt that failed with err.
func failedAttempt(err error) edge.AttemptEnded {
	result := edge.Broken
	switch {
	case errors.Is(err, origin.ErrUnreachable):
		result = edge.Unreachable
	case errors.Is(err, origin.ErrExpired):
		result = edge.Expired
	case errors.Is(err, origin.ErrIdleTimeout):
		result = edge.IdleTimeout
	}
	return edge.AttemptEnded{
		Result:     result,
		PeerFailed: errors.Is(err, origin.ErrVia),
		Err:        trace.Unwrap(err).Error(),
	}
}

// Causes of failed attempts. causeUnsealed: a success lacks the endpoint's signature.
const (
	causeUnsealed   = "answer without a seal"
	causeCallerLeft = "caller disconnected"
)

// isStream reports whether an answer is a stream of events.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// forwardAnswer reads an answer to its end and forwards it, unless another one has
// begun: only events may follow the start of a stream. An answer shorter than
// maxBufferedBytes is buffered; if it is a server error, it is kept for deliver,
// since the control goroutine may dispatch the request again. A longer answer is
// forwarded in parts, whatever its status.
func (p *proxyRequest) forwardAnswer(d edge.Dispatch, answer *origin.Answer) edge.AttemptEnded {
	reply := p.relay.codec.ParseReply(answer.Status, answer.Header)
	outcome := edge.AttemptEnded{
		Status: answer.Status,
	}
	if reply.NotRun && framing(answer) == edge.ByConnection {
		// The body is not used, and its end would have to be confirmed.
		outcome.Result = edge.Declined
		return outcome
	}
	body, err := p.buffered.ReadAll(answer, maxBufferedBytes)
	switch {
	case err != nil:
		outcome = failedAttempt(err)
		outcome.Status = answer.Status
		if reply.NotRun {
			outcome.Result = edge.Declined
		}
		return outcome
	case reply.NotRun:
		outcome.Result = edge.Declined
		return outcome
	case p.committed:
		if answer.Status >= http.StatusBadRequest {
			outcome.Result = edge.Failed
		}
		outcome.Err = "another answer inside a stream"
		return outcome
	case answer.Status < http.StatusMultipleChoices && !reply.Sealed:
		outcome.Err = causeUnsealed
		return outcome
	}
	var confirming time.Duration
	if e := answer.Ending(); e != nil {
		confirming = time.Since(e.At)
	}
	p.relay.postEvent(edge.AnswerStarted{
		Request:    d.Request,
		Attempt:    d.Attempt,
		Confirming: confirming,
	})
	if len(body) == maxBufferedBytes {
		return p.forwardLong(answer, body)
	}
	p.bufferedAnswer = &bufferedAnswer{
		status: answer.Status,
		header: answer.Header,
		body:   body,
	}
	if answer.Status >= http.StatusInternalServerError {
		outcome.Result = edge.Failed
		return outcome
	}
	p.committed = true
	p.writeBuffered()
	outcome.Result = edge.Complete
	return outcome
}

// forwardLong forwards an answer that is too long to be buffered; start is the
// part that was already read.
func (p *proxyRequest) forwardLong(answer *origin.Answer, start []byte) edge.AttemptEnded {
	p.notStream = true
	p.commit(answer, answer.Length)
	if !p.write(start) {
		return brokenAttempt(answer, causeCallerLeft)
	}
	p.buffered.Set(0)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := answer.Read(buffer)
		if n > 0 && !p.write(buffer[:n]) {
			return brokenAttempt(answer, causeCallerLeft)
		}
		if errors.Is(err, io.EOF) {
			return p.endAnswer(answer)
		}
		if err != nil {
			return failedAttempt(err)
		}
	}
}

// brokenAttempt returns the result of an attempt whose answer can't be forwarded to its end.
func brokenAttempt(answer *origin.Answer, cause string) edge.AttemptEnded {
	return edge.AttemptEnded{
		Result: edge.Broken,
		Status: answer.Status,
		Err:    cause,
	}
}

// endAnswer returns the result of an attempt whose whole answer was written, but for the end that
// the server writes.
func (p *proxyRequest) endAnswer(answer *origin.Answer) edge.AttemptEnded {
	p.written = p.extendWrite()
	return edge.AttemptEnded{
		Result: edge.Complete,
		Status: answer.Status,
	}
}

// forwardStream forwards the events of an answer as they arrive. It forwards
// complete events only, so that the stream can be resumed at another endpoint.
func (p *proxyRequest) forwardStream(d edge.Dispatch, answer *origin.Answer) edge.AttemptEnded {
	if p.notStream {
		return brokenAttempt(answer, "stream inside another answer")
	}
	if !p.relay.codec.ParseReply(answer.Status, answer.Header).Sealed {
		return brokenAttempt(answer, causeUnsealed)
	}
	p.events.Restart(d.Params.Offset)
	buffer := make([]byte, copyBufferBytes)
	started := false
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			complete, err := p.events.Feed(buffer[:n])
			if err != nil {
				return brokenAttempt(answer, err.Error())
			}
			if len(complete) > 0 && !started {
				started = true
				p.relay.postEvent(edge.AnswerStarted{
					Request: d.Request,
					Attempt: d.Attempt,
					Event:   true,
				})
			}
			if len(complete) > 0 {
				p.commit(answer, -1)
				if !p.write(complete) {
					return brokenAttempt(answer, causeCallerLeft)
				}
				p.events.Release()
			}
			if p.events.OutOfOrder {
				return brokenAttempt(answer, "event out of order")
			}
		}
		switch {
		case errors.Is(err, io.EOF) && p.events.Pending():
			return brokenAttempt(answer, "stream ended within an event")
		case errors.Is(err, io.EOF):
			p.commit(answer, -1)
			return p.endAnswer(answer)
		case err != nil:
			outcome := failedAttempt(err)
			outcome.Status = answer.Status
			return outcome
		}
	}
}

// commit writes the header of the answer, once.
func (p *proxyRequest) commit(answer *origin.Answer, length int64) {
	if p.committed {
		return
	}
	p.committed = true
	p.resetUnlessWhole(length)
	p.relay.metrics.answerStarted(time.Since(p.arrived))
	copyHeader(p.w.Header(), answer.Header)
	if length >= 0 {
		p.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	p.w.WriteHeader(answer.Status)
}

// write writes and flushes a part of the answer. It reports false if the caller
// does not accept it.
func (p *proxyRequest) write(b []byte) bool {
	if !p.extendWrite() {
		return false
	}
	if _, err := p.w.Write(b); err != nil {
		return false
	}
	p.relay.link.add(len(b) + packetOverhead)
	return http.NewResponseController(p.w).Flush() == nil
}

// extendWrite begins the limit for the next write anew; the server writes the end of an
// answer after the last part. It reports false if the caller has disconnected.
func (p *proxyRequest) extendWrite() bool {
	return http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(writeTimeout)) == nil
}

// copyHeader copies the header of an endpoint's answer without the hop-by-hop
// fields and Content-Length.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Upgrade", "Te", "Trailer":
			continue
		}
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
