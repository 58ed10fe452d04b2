package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/config"
)

// Metrics returns a handler that serves the metrics in Prometheus text format.
func (r *Router) Metrics() http.Handler {
	return r.metrics.handler
}

// IsOperator implements waxwingwall.OperatorAPI.
func (r *Router) IsOperator(key string) bool {
	found := false
	for _, h := range r.operatorHashes {
		if config.VerifyKey(key, h) {
			found = true
		}
	}
	return found
}

// Drain implements waxwingwall.OperatorAPI.
func (r *Router) Drain(ctx context.Context) error {
	return r.callControl(ctx, func(now time.Time) {
		r.log.Info("drain begins")
		r.perform(now, r.node.Drain(now))
	})
}

// DrainEndpoint implements waxwingwall.OperatorAPI.
func (r *Router) DrainEndpoint(ctx context.Context, e waxwingwall.Endpoint) error {
	s := r.snapshot.Load()
	if s == nil {
		return notReady()
	}
	if _, ok := s.Document.Endpoint(e); !ok {
		return trace.NotFound("no endpoint %q", e)
	}
	return r.callUpdate(ctx, func(now time.Time) {
		r.perform(now, r.node.DrainEndpoint(now, e))
	})
}

// Dump implements waxwingwall.OperatorAPI.
func (r *Router) Dump(ctx context.Context) ([]byte, error) {
	var data []byte
	var marshalErr error
	err := r.callControl(ctx, func(now time.Time) {
		data, marshalErr = json.Marshal(r.node.Dump(now))
	})
	if err != nil {
		return nil, err
	}
	return data, trace.Wrap(marshalErr)
}

// Addresses implements waxwingwall.CallerAPI.
func (r *Router) Addresses(account waxwingwall.Account) waxwingwall.Addresses {
	var out waxwingwall.Addresses
	_ = r.callControl(r.ctx, func(now time.Time) {
		out = r.node.Addresses(now, account)
	})
	return out
}
