package metrics

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// admissionInstruments are the instruments of streams without room.
type admissionInstruments struct {
	waiting metric.Int64Gauge
	waited  metric.Float64Histogram
	refused metric.Int64Counter
}

// Buckets in seconds: fractions of the goal of a short stream up to the deadlines of long
// ones.
var waitBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 15}

func (b *builder) admission() admissionInstruments {
	return admissionInstruments{
		waiting: b.level("relay_waiting", "Streams that wait for room at present."),
		waited:  b.seconds("relay_wait", "Time that a stream waited for room, by how the wait ended.", waitBuckets),
		refused: b.counter("relay_admission_refusals", "", "Streams that were refused for lack of room, by reason."),
	}
}

// RelayWaiting records the number of streams that wait for room.
func (m *Metrics) RelayWaiting(count int) {
	if m == nil {
		return
	}
	m.admission.waiting.Record(context.Background(), int64(count))
}

// RelayWaited records the time that a stream waited for room, and how the wait ended.
func (m *Metrics) RelayWaited(end string, took time.Duration) {
	if m == nil {
		return
	}
	m.admission.waited.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("end", end)))
}

// RelayAdmissionRefused counts one stream that was refused for lack of room.
func (m *Metrics) RelayAdmissionRefused(reason string) {
	if m == nil {
		return
	}
	m.admission.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}
