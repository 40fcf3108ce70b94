package metrics

import (
	"errors"

	"go.opentelemetry.io/otel/metric"
)

const unitSeconds = "s"

// builder creates instruments and collects their errors.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) seconds(name, description string, buckets []float64) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(
		name,
		metric.WithUnit(unitSeconds),
		metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(buckets...),
	)
	b.err = errors.Join(b.err, err)
	return h
}

func (b *builder) counter(name, unit, description string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
	b.err = errors.Join(b.err, err)
	return c
}

func (b *builder) gauge(name, unit, description string) metric.Int64ObservableGauge {
	g, err := b.meter.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
	b.err = errors.Join(b.err, err)
	return g
}

func (b *builder) level(name, description string) metric.Int64Gauge {
	g, err := b.meter.Int64Gauge(name, metric.WithDescription(description))
	b.err = errors.Join(b.err, err)
	return g
}

func (b *builder) secondsGauge(name, description string) metric.Float64ObservableGauge {
	g, err := b.meter.Float64ObservableGauge(name, metric.WithUnit(unitSeconds), metric.WithDescription(description))
	b.err = errors.Join(b.err, err)
	return g
}
