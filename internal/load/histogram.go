package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxTracked        = 30 * time.Minute
	significantDigits = 3
)

// Quantiles summarises durations in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// histogram records durations with microsecond resolution.
type histogram struct {
	values *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{values: hdrhistogram.New(1, maxTracked.Microseconds(), significantDigits)}
}

func (h *histogram) record(d time.Duration) {
	value := min(max(d.Microseconds(), 1), maxTracked.Microseconds())
	_ = h.values.RecordValue(value) // within the range by the line above
}

func (h *histogram) quantiles() Quantiles {
	return Quantiles{
		Count: h.values.TotalCount(),
		P50:   h.at(50),
		P95:   h.at(95),
		P99:   h.at(99),
		Max:   milliseconds(h.values.Max()),
	}
}

func (h *histogram) at(percent float64) float64 {
	return milliseconds(h.values.ValueAtQuantile(percent))
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}
