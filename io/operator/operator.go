// Package operator serves the HTTP API for operators and the metrics.
//
// The API is defined in api/operator.yaml. Every call requires an operator's
// bearer key, except for the metrics, which contain no names of callers.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/go-faster/jx"
	"github.com/gravitational/trace"
	"github.com/ogen-go/ogen/ogenerrors"

	"waxwingwall"
	"waxwingwall/api/operatorapi"
)

// New returns the handler of the operator port. The metrics handler may be nil.
func New(api waxwingwall.OperatorAPI, metrics http.Handler) (http.Handler, error) {
	h := &handler{api: api}
	server, err := operatorapi.NewServer(h, h)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", server)
	if metrics != nil {
		mux.Handle("GET /metrics", metrics)
	}
	return mux, nil
}

var errWrongKey = errors.New("no operator has this key")

type handler struct {
	api waxwingwall.OperatorAPI
}

// HandleBearer implements operatorapi.SecurityHandler.
func (h *handler) HandleBearer(ctx context.Context, _ operatorapi.OperationName, t operatorapi.Bearer) (context.Context, error) {
	if !h.api.IsOperator(t.Token) {
		return ctx, errWrongKey
	}
	return ctx, nil
}

// DumpState implements operatorapi.Handler.
func (h *handler) DumpState(ctx context.Context) (operatorapi.State, error) {
	data, err := h.api.Dump(ctx)
	if err != nil {
		return nil, err
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, trace.Wrap(err)
	}
	state := make(operatorapi.State, len(raw))
	for key, value := range raw {
		state[key] = jx.Raw(value)
	}
	return state, nil
}

// Drain implements operatorapi.Handler.
func (h *handler) Drain(ctx context.Context) error {
	return h.api.Drain(ctx)
}

// DrainEndpoint implements operatorapi.Handler.
func (h *handler) DrainEndpoint(ctx context.Context, p operatorapi.DrainEndpointParams) error {
	return h.api.DrainEndpoint(ctx, waxwingwall.Endpoint(p.Endpoint))
}

// NewError implements operatorapi.Handler.
func (h *handler) NewError(_ context.Context, err error) *operatorapi.ProblemStatusCode {
	status, code := http.StatusInternalServerError, "internal"
	switch {
	case errors.Is(err, errWrongKey), errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied):
		status, code = http.StatusUnauthorized, "wrong_key"
	case errors.Is(err, waxwingwall.ErrUnavailable):
		status, code = http.StatusServiceUnavailable, "platform_unavailable"
	case trace.IsNotFound(err):
		status, code = http.StatusNotFound, "not_found"
	}
	return &operatorapi.ProblemStatusCode{
		StatusCode: status,
		Response: operatorapi.Problem{
			Code:    code,
			Message: err.Error(),
		},
	}
}
