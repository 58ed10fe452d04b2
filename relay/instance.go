package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall/core/edge"
	"waxwingwall/io/origin"
	"waxwingwall/io/quota"
	"waxwingwall/platform"
)

const (
	// confirmTimeout limits the wait for a sign that an endpoint still runs. A sound one may be silent
	// for as long.
	confirmTimeout = 2 * time.Second

	// confirmTries limits how often it is asked for one, and confirmPause is the time between
	// two tries.
	confirmTries = 3
	confirmPause = 100 * time.Millisecond
)

// askInstance asks an endpoint for its report and posts which instance answered.
func (r *Relay) askInstance(a edge.AskInstance) {
	reported, err := r.readInstance(a)
	if err != nil {
		r.log.WithError(err).WithField("endpoint", string(a.Endpoint)).Debug("report_failed")
	}
	r.postEvent(edge.InstanceReported{
		Endpoint: a.Endpoint,
		Born:     a.Born,
		Reported: reported,
	})
}

// readInstance returns the start time in an endpoint's report, and posts how much longer the
// endpoint says that it is cold.
func (r *Relay) readInstance(a edge.AskInstance) (int64, error) {
	ctx, cancel := context.WithTimeout(r.ctx, a.Timeout)
	defer cancel()
	answer, err := r.readReport(ctx, a, nil)
	if err != nil {
		return 0, err
	}
	if answer.status != http.StatusOK {
		return 0, trace.BadParameter("status %d", answer.status)
	}
	if answer.cold > 0 && answer.unreadable == nil {
		r.postEvent(edge.NoticeReceived{
			Endpoint: a.Endpoint,
			Born:     answer.born,
			Cold:     answer.cold,
		})
	}
	return answer.born, answer.unreadable
}

// report is an endpoint's answer to the request for its report.
type report struct {
	status int

	// born is the start time that it names; unreadable is why there is none.
	born       int64
	unreadable error

	// cold is how much longer the endpoint says that it is cold.
	cold time.Duration
}

// readReport asks an endpoint for its report. The error means that there is no answer. The
// connection is a new one, unless there is a companion, so that no late answer to an earlier
// request is taken for this one. An endpoint whose failure domain
// is to be empty is asked no later than a request may reach it.
func (r *Relay) readReport(ctx context.Context, a edge.AskInstance, companion *origin.Companion) (report, error) {
	head, closeHead := r.waiting.Open()
	defer closeHead()
	body, closeBody := r.waiting.Open()
	defer closeBody()
	answer, err := r.origins.Do(ctx, origin.Request{
		Address:       a.Address,
		Via:           a.Via,
		Method:        http.MethodGet,
		Target:        platform.ReportPath,
		Host:          a.Address.String(),
		Header:        platform.ReportHeader(a.Endpoint),
		DialTimeout:   a.Timeout,
		NewConnection: true,
		Companion:     companion,
		Withhold:      func() bool { return r.isSilenced(a.Address) },
		Head:          head,
	})
	if err != nil {
		return report{}, trace.Wrap(err)
	}
	defer answer.Close()
	out := report{
		status: answer.Status,
		cold:   r.codec.ParseReply(answer.Status, answer.Header).Cold,
	}
	out.born, out.unreadable = parseReport(answer, body)
	return out, nil
}

// isSilenced reports whether an endpoint is asked nothing.
func (r *Relay) isSilenced(address netip.AddrPort) bool {
	from, ok := r.sharedState.Load().silenced[address]
	return ok && !time.Now().Before(from)
}

// reportText reads a report that may end with its connection: one that is cut can't be parsed.
type reportText struct {
	*origin.Answer
}

// Read implements io.Reader.
func (r reportText) Read(b []byte) (int, error) {
	n, err := r.Answer.Read(b)
	if errors.Is(err, origin.ErrUnconfirmed) {
		err = io.EOF
	}
	return n, err
}

// parseReport returns the start time in a report, whose body takes room of a holding.
func parseReport(answer *origin.Answer, holding *quota.Holding) (int64, error) {
	text, err := holding.ReadAll(reportText{
		Answer: answer,
	}, platform.MaxReportBytes+1)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if len(text) > platform.MaxReportBytes {
		return 0, trace.LimitExceeded("the report is too long")
	}
	return platform.ParseReport(text)
}

// stillRuns reports whether the instance that a dispatch went to answers another request by the
// same way. Any answer of its own is enough on the companion, as not all endpoints make reports.
//
// A new connection may reach a process that has taken over the address, and the kernel takes one
// for a process that is being killed: there only a report counts, of the same start. A connection
// that ends without an answer may be one too many for a full endpoint.
//
// What it asked and learnt goes to ending.
func (r *Relay) stillRuns(ctx context.Context, d edge.Dispatch, companion *origin.Companion, ending *edge.Ending) bool {
	began := time.Now()
	defer func() { ending.Took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	ask := edge.AskInstance{
		Endpoint: d.Params.Endpoint,
		Address:  d.Address,
		Via:      d.Via,
		Timeout:  confirmTimeout,
	}
	if companion != nil {
		ending.Asked++
		if answer, err := r.readReport(ctx, ask, companion); err == nil {
			ending.Status = answer.status
			if !answer.confirms(d.Born, false) {
				return false
			}
			ending.Confirmed = edge.ByCompanion
			return true
		}
	}
	if d.Born == 0 {
		return false
	}
	for range confirmTries {
		ending.Asked++
		answer, err := r.readReport(ctx, ask, nil)
		if err == nil {
			ending.Status = answer.status
			if !answer.confirms(d.Born, true) {
				return false
			}
			ending.Confirmed = edge.ByReport
			return true
		}
		if errors.Is(err, origin.ErrUnreachable) || errors.Is(err, origin.ErrExpired) {
			return false
		}
		select {
		case <-time.After(confirmPause):
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// confirms reports whether the answer is one of the instance that started at born; if readable
// is set, only a readable report is.
func (a report) confirms(born int64, readable bool) bool {
	switch a.status {
	case http.StatusMisdirectedRequest, http.StatusBadGateway, http.StatusGatewayTimeout:
		// Another endpoint has the address, or a gateway speaks for one that it does not reach.
		return false
	}
	if a.unreadable != nil {
		return !readable
	}
	return born == 0 || a.born == born
}
