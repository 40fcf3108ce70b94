package metrics

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/code"
)

const meterName = "github.com/citronscale/citronscale"

// Buckets in seconds. 0.69 and 0.029 are the goals for the 95th percentile.
var (
	firstTokenBuckets    = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.69, 1, 2, 5, 10, 30, 60, 300}
	betweenTokensBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.029, 0.04, 0.06, 0.1, 0.25, 1, 5}
	durationBuckets      = []float64{0.01, 0.05, 0.1, 0.5, 1, 5, 10, 30, 60, 120, 300, 600, 1800}
)

// Metrics are the instruments of one host.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
	gauges   *gauges

	firstToken    metric.Float64Histogram
	betweenTokens metric.Float64Histogram
	duration      metric.Float64Histogram
	results       metric.Int64Counter
	retries       metric.Int64Counter
	controlBytes  metric.Int64Counter
	relay         relayInstruments
	admission     admissionInstruments
}

// New returns the instruments of one host, registered in a new registry.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	exporter, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithNamespace("citron"),
		otelprometheus.WithoutScopeInfo(),
		otelprometheus.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, fmt.Errorf("create the Prometheus exporter: %w", err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Metrics{registry: registry, provider: provider}
	if err := m.create(provider.Meter(meterName)); err != nil {
		return nil, fmt.Errorf("create the instruments: %w", err)
	}
	return m, nil
}

func (m *Metrics) create(meter metric.Meter) error {
	b := &builder{meter: meter}
	m.firstToken = b.seconds("time_to_first_token", "Time from the arrival of a request to its first token.", firstTokenBuckets)
	m.betweenTokens = b.seconds("time_between_tokens", "Time between two tokens of one answer.", betweenTokensBuckets)
	m.duration = b.seconds("request_duration", "Time from the arrival of a request to its end.", durationBuckets)
	m.results = b.counter("requests", "", "Requests by result code and outcome.")
	m.retries = b.counter("retries", "", "Attempts after the first, by the code that the one before ended with.")
	m.controlBytes = b.counter("control_bytes", "By", "Bytes exchanged with peers for control.")
	m.relay = b.relay()
	m.admission = b.admission()
	m.gauges = b.gauges()
	return b.err
}

// Handler returns a handler that serves all metrics in the text format of
// Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close ends the collection of metrics.
func (m *Metrics) Close(ctx context.Context) error {
	return m.provider.Shutdown(ctx)
}

// RequestFinished counts one finished request of a caller and records its
// duration. The class is WORK_CLASS_UNSPECIFIED for calls to plain services.
func (m *Metrics) RequestFinished(class peerv1.WorkClass, result code.Code, total time.Duration) {
	if m == nil {
		return
	}
	m.results.Add(context.Background(), 1, resultOption(class, result))
	m.duration.Record(context.Background(), total.Seconds(), classOption(class))
}

// FirstToken records the time to the first token of one request.
func (m *Metrics) FirstToken(class peerv1.WorkClass, after time.Duration) {
	if m == nil {
		return
	}
	m.firstToken.Record(context.Background(), after.Seconds(), classOption(class))
}

// NextToken records the time between two tokens of one answer. For a frame
// with several tokens the caller passes the gap divided by the number of tokens.
func (m *Metrics) NextToken(class peerv1.WorkClass, gap time.Duration) {
	if m == nil {
		return
	}
	m.betweenTokens.Record(context.Background(), gap.Seconds(), classOption(class))
}

// Retried counts one attempt after the first. The cause is the code with which
// the request would have ended without the retry.
func (m *Metrics) Retried(class peerv1.WorkClass, cause code.Code) {
	if m == nil {
		return
	}
	m.retries.Add(context.Background(), 1, resultOption(class, cause))
}

// ControlSent counts bytes sent to peers for control.
func (m *Metrics) ControlSent(bytes int) {
	if m == nil {
		return
	}
	m.controlBytes.Add(context.Background(), int64(bytes), sent)
}

// ControlReceived counts bytes received from peers for control.
func (m *Metrics) ControlReceived(bytes int) {
	if m == nil {
		return
	}
	m.controlBytes.Add(context.Background(), int64(bytes), received)
}
