package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/edge"
	"waxwingwall/core/effect"
	"waxwingwall/io/origin"
)

const (
	// maxHeld bounds the bytes of an answer that are held back until it is
	// whole.
	maxHeld = 256 << 10

	// copyBytes is the size of the buffer with which an answer is passed on.
	copyBytes = 16 << 10

	// writeTimeout bounds how long a caller may take to accept a part of its
	// answer.
	writeTimeout = 10 * time.Second

	// bodyShare is the part of the process's memory, as a divisor, that bodies
	// of requests may take together; bodyLeast is granted in any case.
	bodyShare = 6
	bodyLeast = 8 << 20

	// busyRetry is when to come back while there is no memory for a body.
	busyRetry = 500 * time.Millisecond

	// actionsSize is how many actions may wait for a passage; control never
	// sends more.
	actionsSize = 8
)

// passage is one request on its way through.
type passage struct {
	relay   *Relay
	id      uint64
	call    waxwingwall.Call
	body    []byte
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	// rank is the request's, as control told; gone is set once the caller left.
	rank waxwingwall.Rank
	gone bool

	// actions come from control.
	actions chan effect.Action

	// held is the answer that was kept back.
	held *held

	// events is the stream that the caller gets; committed is set once it has
	// the head of an answer.
	events    origin.EventSplitter
	committed bool
}

// held is a whole answer.
type held struct {
	status int
	header http.Header
	body   []byte
}

// pass is the handler of callers' requests.
func (r *Relay) pass(w http.ResponseWriter, req *http.Request) {
	s := r.shared.Load()
	if s.draining {
		w.Header().Set("Connection", "close")
	}
	p := &passage{
		relay:   r,
		id:      r.names.Add(1),
		w:       w,
		r:       req,
		arrived: time.Now(),
		actions: make(chan effect.Action, actionsSize),
	}
	if problem := p.read(s.limits); problem != nil {
		r.log.WithField("request", p.call.ID).WithField("code", problem.Code).
			WithField("status", problem.Status).WithField("cause", problem.Message).Info("refused")
		p.refuse(problem)
		return
	}
	defer r.bodies.Add(-int64(len(p.body)))
	r.metrics.open.Add(context.Background(), 1)
	defer r.metrics.open.Add(context.Background(), -1)
	r.post(job{
		call: func(now time.Time) {
			r.passages[p.id] = p
			r.step(now, edge.Arrived{
				Request: p.id,
				Call:    p.call,
			})
		},
	})
	p.run()
}

// run performs the actions for the request until the last one.
func (p *passage) run() {
	gone := p.r.Context().Done()
	for {
		select {
		case a := <-p.actions:
			if p.perform(a) {
				return
			}
		case <-gone:
			gone = nil
			p.leave()
		}
	}
}

// leave tells that the caller went away.
func (p *passage) leave() {
	p.gone = true
	p.relay.event(edge.CallerLeft{
		Request: p.id,
		Events:  p.events.Count,
	})
}

// perform performs one action and reports whether it was the last.
func (p *passage) perform(a effect.Action) bool {
	switch a := a.(type) {
	case edge.Dispatch:
		p.rank = a.Rank
		p.attempt(a)
		return false
	case edge.Refuse:
		p.rank = a.Rank
		p.refuse(a.Problem)
	case edge.Deliver:
		p.deliver()
	case edge.Abort:
		p.ended("cut")
		panic(http.ErrAbortHandler)
	case edge.Finished:
		code := "served"
		if p.gone {
			code = "caller_left"
		}
		p.ended(code)
	}
	return true
}

// ended counts the request.
func (p *passage) ended(code string) {
	p.relay.metrics.ended(code, p.rank, time.Since(p.arrived))
}

// refuse answers with a problem.
func (p *passage) refuse(problem *waxwingwall.Problem) {
	p.ended(problem.Code)
	h := p.w.Header()
	if problem.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(problem.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "application/json")
	p.w.WriteHeader(problem.Status)
	// A caller that went away asks again.
	_ = json.NewEncoder(p.w).Encode(problem)
}

// deliver answers with what was held back.
func (p *passage) deliver() {
	if p.held == nil {
		panic(http.ErrAbortHandler)
	}
	p.ended("endpoint_failed")
	p.writeHeld()
}

// writeHeld writes the whole answer that was held back.
func (p *passage) writeHeld() {
	copyHeader(p.w.Header(), p.held.header)
	p.w.Header().Set("Content-Length", strconv.Itoa(len(p.held.body)))
	p.w.WriteHeader(p.held.status)
	// A caller that went away asks again.
	_, _ = p.w.Write(p.held.body)
}

// attempt runs one attempt and tells how it ended.
func (p *passage) attempt(d edge.Dispatch) {
	ctx, cancel := context.WithDeadline(p.r.Context(), d.Deadline)
	defer cancel()
	p.held = nil
	ended := p.exchange(ctx, d)
	if p.r.Context().Err() != nil && ended.Result != edge.Complete {
		// A caller that has the whole answer may close its connection at once.
		p.leave()
		return
	}
	if ended.Result != edge.Complete && ended.Result != edge.Failed && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		ended.Result = edge.DeadlineExceeded
	}
	ended.Request = d.Request
	ended.Attempt = d.Attempt
	ended.Committed = p.committed
	ended.Events = p.events.Count
	ended.Offset = p.events.LastID
	p.relay.metrics.attempt(d.Params.Endpoint, ended.Result)
	p.relay.event(ended)
}

// exchange sends the request to an endpoint and passes the answer on.
func (p *passage) exchange(ctx context.Context, d edge.Dispatch) edge.AttemptEnded {
	answer, err := p.relay.origins.Do(ctx, origin.Request{
		Address:       d.Address,
		Method:        p.r.Method,
		Target:        p.r.RequestURI,
		Host:          p.r.Host,
		Header:        p.relay.wire.Forward(p.r.Header, d.Params),
		Body:          p.body,
		DialTimeout:   d.DialTimeout,
		HeaderTimeout: d.FirstTimeout,
		IdleTimeout:   d.IdleTimeout,
		Match: func(h http.Header) bool {
			id := p.relay.wire.ParseReply(0, h).Call
			return id == "" || id == p.call.ID
		},
	})
	if errors.Is(err, origin.ErrIdleTimeout) {
		// Others to the same address may have gone silent with it.
		p.relay.origins.CloseIdle(d.Address)
	}
	if err != nil {
		return failed(err)
	}
	defer answer.Close()
	if d.Stream && answer.Status == http.StatusOK && isStream(answer.Header) {
		return p.stream(d, answer)
	}
	return p.whole(d, answer)
}

// failed tells how an attempt without an answer ended.
func failed(err error) edge.AttemptEnded {
	result := edge.Broken
	switch {
	case errors.Is(err, origin.ErrUnreachable):
		result = edge.Unreachable
	case errors.Is(err, origin.ErrIdleTimeout):
		result = edge.IdleTimeout
	}
	return edge.AttemptEnded{
		Result: result,
		Err:    trace.Unwrap(err).Error(),
	}
}

// isStream reports whether an answer is a series of events.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// whole reads an answer to its end and passes it on if that decides nothing.
func (p *passage) whole(d edge.Dispatch, answer *origin.Answer) edge.AttemptEnded {
	reply := p.relay.wire.ParseReply(answer.Status, answer.Header)
	body, err := io.ReadAll(io.LimitReader(answer, maxHeld))
	ended := edge.AttemptEnded{
		Status: answer.Status,
	}
	switch {
	case err != nil:
		ended = failed(err)
		ended.Status = answer.Status
		if reply.NotRun {
			ended.Result = edge.Declined
		}
		return ended
	case reply.NotRun:
		ended.Result = edge.Declined
		return ended
	case answer.Status < http.StatusMultipleChoices && !reply.Sealed:
		ended.Result = edge.Broken
		ended.Err = "answer without a seal"
		return ended
	}
	p.relay.event(edge.AnswerStarted{
		Request: d.Request,
		Attempt: d.Attempt,
	})
	if len(body) == maxHeld {
		return p.long(answer, body)
	}
	p.held = &held{
		status: answer.Status,
		header: answer.Header,
		body:   body,
	}
	if answer.Status >= http.StatusInternalServerError {
		ended.Result = edge.Failed
		return ended
	}
	p.committed = true
	p.writeHeld()
	return ended
}

// long passes on an answer that is too long to be held back.
func (p *passage) long(answer *origin.Answer, begun []byte) edge.AttemptEnded {
	p.commit(answer, answer.Length)
	ended := edge.AttemptEnded{
		Status: answer.Status,
	}
	if !p.write(begun) {
		return ended
	}
	buffer := make([]byte, copyBytes)
	for {
		n, err := answer.Read(buffer)
		if n > 0 && !p.write(buffer[:n]) {
			return ended
		}
		if errors.Is(err, io.EOF) {
			return ended
		}
		if err != nil {
			return failed(err)
		}
	}
}

// stream passes the events of an answer on as they come, whole ones only, so
// that the stream can go on from another endpoint.
func (p *passage) stream(d edge.Dispatch, answer *origin.Answer) edge.AttemptEnded {
	p.events.DiscardPartial()
	buffer := make([]byte, copyBytes)
	began := false
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if !began {
				began = true
				p.relay.event(edge.AnswerStarted{
					Request: d.Request,
					Attempt: d.Attempt,
				})
			}
			whole, ok := p.events.Feed(buffer[:n])
			if !ok {
				return edge.AttemptEnded{
					Result: edge.Broken,
					Err:    "event too long",
				}
			}
			if len(whole) > 0 {
				p.commit(answer, -1)
				if !p.write(whole) {
					return edge.AttemptEnded{
						Result: edge.Broken,
						Err:    "caller gone",
					}
				}
			}
		}
		switch {
		case errors.Is(err, io.EOF) && p.events.Pending():
			return edge.AttemptEnded{
				Result: edge.Broken,
				Status: answer.Status,
				Err:    "ended within an event",
			}
		case errors.Is(err, io.EOF):
			p.commit(answer, -1)
			return edge.AttemptEnded{
				Status: answer.Status,
			}
		case err != nil:
			ended := failed(err)
			ended.Status = answer.Status
			return ended
		}
	}
}

// commit writes the head of the answer, once.
func (p *passage) commit(answer *origin.Answer, length int64) {
	if p.committed {
		return
	}
	p.committed = true
	p.relay.metrics.first(time.Since(p.arrived))
	copyHeader(p.w.Header(), answer.Header)
	if length >= 0 {
		p.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	p.w.WriteHeader(answer.Status)
}

// write writes and flushes a part of the answer; it reports false if the caller
// does not take it.
func (p *passage) write(b []byte) bool {
	c := http.NewResponseController(p.w)
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	if _, err := p.w.Write(b); err != nil {
		return false
	}
	return c.Flush() == nil
}

// copyHeader copies what is the endpoint's to say: all but what concerns its
// connection.
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
