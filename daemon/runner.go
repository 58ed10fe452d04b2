package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"

	"waxwingwall"
	"waxwingwall/io/endpoint"
	"waxwingwall/io/engine"
	"waxwingwall/io/service"
)

// errStopStream stops a stream when emit returns false.
var errStopStream = errors.New("receiver stopped the stream")

// runner runs attempts on model engines and plain services.
type runner struct {
	engines  *engine.Client
	services *service.Client
}

// NewRunner returns a runner for all endpoints and a function that closes its
// connections.
func NewRunner() (waxwingwall.Runner, func()) {
	engines, closeEngines := engine.New()
	services, closeServices := service.New()
	r := &runner{
		engines:  engines,
		services: services,
	}
	return r, func() {
		closeEngines()
		closeServices()
	}
}

// Run implements waxwingwall.Runner.
func (r *runner) Run(ctx context.Context, a waxwingwall.Attempt, emit func(waxwingwall.Frame) bool) waxwingwall.AttemptResult {
	if a.Request.Service {
		return r.call(ctx, a)
	}
	return r.stream(ctx, a, emit)
}

// stream runs a model request on an engine.
func (r *runner) stream(ctx context.Context, a waxwingwall.Attempt, emit func(waxwingwall.Frame) bool) waxwingwall.AttemptResult {
	call := engine.Call{
		Address:       a.Address,
		Attempt:       a.ID,
		Identity:      a.Request.Identity,
		Priority:      int(a.Request.Rank),
		Model:         a.Request.Model,
		MaxTokens:     int(a.Request.MaxOutput),
		ContinueFrom:  a.Offset,
		NewConnection: a.NewConnection,
		FirstTimeout:  a.IdleTimeout,
		IdleTimeout:   a.IdleTimeout,
		OnHead:        onHead(a),
	}
	for _, m := range a.Request.Messages {
		call.Messages = append(call.Messages, engine.Message{
			Role:    m.Role,
			Content: m.Content,
		})
	}
	end, err := r.engines.Stream(ctx, call, func(f engine.Frame) error {
		if f.Text == "" {
			return nil
		}
		if !emit(waxwingwall.Frame{Text: f.Text}) {
			return errStopStream
		}
		return nil
	})
	if err != nil {
		return failureResult(err)
	}
	return waxwingwall.AttemptResult{
		Failure: waxwingwall.FailureNone,
		Finish:  end.Reason,
	}
}

// call runs a request on a plain service.
func (r *runner) call(ctx context.Context, a waxwingwall.Attempt) waxwingwall.AttemptResult {
	answer, err := r.services.Do(ctx, service.Call{
		Address:       a.Address,
		Attempt:       a.ID,
		Identity:      a.Request.Identity,
		Idempotent:    a.Request.Idempotent,
		NewConnection: a.NewConnection,
		Body:          a.Request.Body,
		Timeout:       a.IdleTimeout,
		OnHead:        onHead(a),
		OnEnding:      a.OnEnding,
	})
	if err != nil {
		return failureResult(err)
	}
	if answer.Status < http.StatusOK || answer.Status >= http.StatusMultipleChoices {
		return waxwingwall.AttemptResult{
			Failure:    waxwingwall.FailureBroken,
			RetryAfter: answer.RetryAfter,
			Err:        fmt.Errorf("service answered with status %d", answer.Status),
		}
	}
	return waxwingwall.AttemptResult{
		Failure: waxwingwall.FailureNone,
		Finish:  waxwingwall.FinishStop,
		Body:    answer.Body,
	}
}

// onHead returns a function that passes the limit in a header on to the attempt.
func onHead(a waxwingwall.Attempt) func(http.Header) {
	return func(h http.Header) {
		if a.OnLimit != nil {
			a.OnLimit(h.Get(endpoint.HeaderLimit))
		}
	}
}

// failureResult converts an adapter's error to the result of an attempt.
func failureResult(err error) waxwingwall.AttemptResult {
	res := waxwingwall.AttemptResult{
		Failure: waxwingwall.FailureBroken,
		Err:     err,
	}
	var failure *endpoint.Error
	if !errors.As(err, &failure) {
		return res
	}
	res.RetryAfter = failure.RetryAfter
	switch failure.Failure {
	case endpoint.Declined:
		res.Failure = waxwingwall.FailureDeclined
	case endpoint.Crashed:
		res.Failure = waxwingwall.FailureCrashed
	case endpoint.IdleTimeout:
		res.Failure = waxwingwall.FailureIdleTimeout
	case endpoint.Cancelled:
		res.Failure = waxwingwall.FailureCancelled
	}
	return res
}

// Load implements waxwingwall.Runner.
func (r *runner) Load(ctx context.Context, addr netip.AddrPort) (waxwingwall.Load, error) {
	l, err := r.engines.Load(ctx, addr)
	if err != nil {
		return waxwingwall.Load{}, err
	}
	return waxwingwall.Load{
		Running:   l.Running,
		Waiting:   l.Waiting,
		TokenRate: l.TokensPerSecond,
		At:        l.At,
		Limit:     l.Limit,
	}, nil
}
