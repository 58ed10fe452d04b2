// Package meter creates OpenTelemetry meters that are exported in the
// Prometheus text format.
package meter

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// New returns a meter with its own registry, the handler that serves its
// metrics as text, and a function that shuts it down.
func New(name string) (metric.Meter, http.Handler, func(), error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, nil, nil, trace.Wrap(err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	stop := func() {
		// The metrics end with the process whether or not the shutdown fails.
		_ = provider.Shutdown(context.Background())
	}
	return provider.Meter(name), promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), stop, nil
}
