package metrics

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/citronscale/citronscale/code"
)

// relayInstruments are the instruments of the relay package.
type relayInstruments struct {
	requests   metric.Int64Counter
	answers    metric.Int64Counter
	retries    metric.Int64Counter
	duration   metric.Float64Histogram
	first      metric.Float64Histogram
	prediction metric.Float64Histogram
	crashes    metric.Int64Counter
	quarantine metric.Int64Gauge
	hedges     metric.Int64Counter
	standing   metric.Int64Counter
	badPauses  metric.Int64Counter
	evacuated  metric.Int64ObservableGauge
	era        metric.Int64ObservableGauge
	restores   metric.Int64ObservableGauge
	formerEra  metric.Int64ObservableGauge
	rejected   metric.Int64ObservableGauge
	inPart     metric.Int64ObservableGauge
	slow       metric.Int64Gauge
	cold       metric.Int64ObservableGauge
}

// Buckets in seconds: durations around the goals of routes, and differences
// between the actual and the predicted time of the first event.
var (
	relayBuckets      = []float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2, 3, 5, 10, 15}
	predictionBuckets = []float64{-2, -1, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}
)

func (b *builder) relay() relayInstruments {
	return relayInstruments{
		requests:   b.counter("relayed_requests", "", "Relayed requests by kind and result code."),
		answers:    b.counter("relay_answers", "", "Answers of upstreams to relayed requests, by kind and by what marks their end."),
		retries:    b.counter("relay_retries", "", "Attempts after the first of relayed requests, by the code before them."),
		duration:   b.seconds("relay_duration", "Time from the arrival of a relayed request to its end.", relayBuckets),
		first:      b.seconds("relay_first_event", "Time from the arrival of a relayed request to its first event.", relayBuckets),
		prediction: b.seconds("relay_prediction_error", "First event of a stream, later than predicted.", predictionBuckets),
		crashes:    b.counter("relay_upstream_crashes", "", "Requests whose upstream crashed before it began the answer."),
		hedges:     b.counter("relay_hedges", "", "Second sends of slow requests, by kind and by result: sent, and of these won or wasted, and refused for lack of budget."),
		era:        b.gauge("relay_source_era", "", "Era of the source of the configuration; 0 if it tells none."),
		restores:   b.gauge("relay_source_restores", "", "Times that the source came back from an older copy since the host started."),
		formerEra:  b.gauge("relay_former_era_answers", "", "Answers of the source and of peers that were from before the source came back, since the host started."),
		rejected:   b.gauge("relay_config_rejected", "", "1 if the newest published configuration can't be read; the one in force is then not confirmed."),
		inPart:     b.gauge("relay_config_in_part", "", "1 if a part of the configuration in force could not be read and is that of an earlier one."),
		evacuated:  b.gauge("relay_evacuated_domains", "", "Failure domains that are evacuated."),
		cold:       b.gauge("relay_cold_upstreams", "", "Upstreams to which requests are bounded because they are cold."),
		quarantine: b.level("relay_quarantines", "Combinations of prompt parts that are refused at present."),
		slow:       b.level("relay_slow_engines", "Engines that take a multiple of their published times at present, as far as known."),
		standing:   b.counter("relay_upstream_standings", "", "Upstreams that said in an answer that they are leaving, asked for a pause, or serve again after one, by state."),
		badPauses:  b.counter("relay_invalid_retry_after", "", "Refusals of upstreams whose Retry-After is no positive number of seconds."),
	}
}

func relayOption(kind string, result code.Code) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("kind", kind), attribute.Int("code", int(result)))
}

// RelayFinished counts one finished relayed request and records its duration.
func (m *Metrics) RelayFinished(kind string, result code.Code, took time.Duration) {
	if m == nil {
		return
	}
	m.relay.requests.Add(context.Background(), 1, relayOption(kind, result))
	m.relay.duration.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// RelayAnswered counts one answer of an upstream by what marks its end.
func (m *Metrics) RelayAnswered(kind, framing string) {
	if m == nil {
		return
	}
	m.relay.answers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("framing", framing)))
}

// RelayFirstEvent records the time to the first event of a relayed request
// and the prediction error. The prediction is in seconds; 0 means none.
func (m *Metrics) RelayFirstEvent(kind string, after time.Duration, predicted float64) {
	if m == nil {
		return
	}
	option := metric.WithAttributes(attribute.String("kind", kind))
	m.relay.first.Record(context.Background(), after.Seconds(), option)
	if predicted > 0 {
		m.relay.prediction.Record(context.Background(), after.Seconds()-predicted, option)
	}
}

// RelayRetried counts one attempt after the first.
func (m *Metrics) RelayRetried(kind string, cause code.Code) {
	if m == nil {
		return
	}
	m.relay.retries.Add(context.Background(), 1, relayOption(kind, cause))
}

// RelayUpstreamCrashed counts one request whose upstream crashed before it began the
// answer.
func (m *Metrics) RelayUpstreamCrashed() {
	if m == nil {
		return
	}
	m.relay.crashes.Add(context.Background(), 1)
}

// RelayQuarantined records the number of combinations of parts that are refused.
func (m *Metrics) RelayQuarantined(count int) {
	if m == nil {
		return
	}
	m.relay.quarantine.Record(context.Background(), int64(count))
}

// RelayHedged counts one second send of a slow request.
func (m *Metrics) RelayHedged(kind string) { m.countHedge(kind, "sent") }

// RelayHedgeRefused counts one second send that the budgets did not allow.
func (m *Metrics) RelayHedgeRefused(kind string) { m.countHedge(kind, "refused") }

// RelayHedgeEnded counts the end of one second send by whether its answer came first.
func (m *Metrics) RelayHedgeEnded(kind string, won bool) {
	result := "wasted"
	if won {
		result = "won"
	}
	m.countHedge(kind, result)
}

func (m *Metrics) countHedge(kind, result string) {
	if m == nil {
		return
	}
	m.relay.hedges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("result", result)))
}

// RelaySlowEngines records the number of engines that are slower than published.
func (m *Metrics) RelaySlowEngines(count int) {
	if m == nil {
		return
	}
	m.relay.slow.Record(context.Background(), int64(count))
}

// RelayUpstreamStanding counts one change of what an upstream says of itself.
func (m *Metrics) RelayUpstreamStanding(state string) {
	if m == nil {
		return
	}
	m.relay.standing.Add(context.Background(), 1, metric.WithAttributes(attribute.String("state", state)))
}

// RelayInvalidRetryAfter counts one refusal whose Retry-After can't be used.
func (m *Metrics) RelayInvalidRetryAfter() {
	if m == nil {
		return
	}
	m.relay.badPauses.Add(context.Background(), 1)
}
