// Package meter makes OpenTelemetry meters that are read as text.
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

// New returns a meter with a registry of its own, the handler that serves its
// instruments as text, and a function that ends it.
func New(name string) (metric.Meter, http.Handler, func(), error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, nil, nil, trace.Wrap(err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	stop := func() {
		// What was measured is gone with the process either way.
		_ = provider.Shutdown(context.Background())
	}
	return provider.Meter(name), promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), stop, nil
}
