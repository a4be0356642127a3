// Package trace records a span for each hop of a request and propagates the W3C
// trace context to backend servers. Tracing is off by default.
package trace

import (
	"context"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

// Tracer starts spans. Close flushes them.
type Tracer struct {
	tracer     trace.Tracer
	provider   *sdk.TracerProvider
	propagator propagation.TraceContext
}

// New returns a tracer that exports spans to an OTLP endpoint over HTTP or to a
// file. If cfg names neither, no spans are recorded.
func New(cfg settings.Trace, role, host string) (*Tracer, error) {
	exporter, err := newExporter(cfg)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer("")}, nil
	}
	p := sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "plantainbank-"+role), attribute.String("host.name", host))))
	return &Tracer{tracer: p.Tracer("plantainbank"), provider: p}, nil
}

func newExporter(cfg settings.Trace) (sdk.SpanExporter, error) {
	switch {
	case cfg.Endpoint != "":
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(cfg.Endpoint))
	case cfg.File != "":
		f, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		return stdouttrace.New(stdouttrace.WithWriter(f))
	}
	return nil, nil
}

// Join returns a context that continues the trace of a caller's traceparent header.
func (t *Tracer) Join(ctx context.Context, traceparent string) context.Context {
	return t.propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}

// Start starts a span. The caller must call end exactly once.
func (t *Tracer) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (_ context.Context, end func(err error)) {
	ctx, span := t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
	return ctx, func(err error) {
		if err != nil {
			span.RecordError(err)
		}
		span.End()
	}
}

// Header returns the headers that propagate the trace to the next hop.
func (t *Tracer) Header(ctx context.Context) map[string]string {
	m := propagation.MapCarrier{}
	t.propagator.Inject(ctx, m)
	return m
}

// Close flushes the spans.
func (t *Tracer) Close() error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(context.Background())
}
