package host

import (
	"net/http"
	"regexp"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/internal/stub/enginestub"
)

// metricSum returns the sum of all samples of a metric on a metrics page.
func metricSum(t *testing.T, page, name string) float64 {
	t.Helper()
	sum := 0.0
	lines := regexp.MustCompile(`(?m)^`+name+`(?:\{[^}]*\})? (\S+)$`).FindAllStringSubmatch(page, -1)
	assert.Assert(t, len(lines) > 0, "no line of %s in\n%s", name, page)
	for _, line := range lines {
		value, err := strconv.ParseFloat(line[1], 64)
		assert.NilError(t, err)
		sum += value
	}
	return sum
}

// TestMetricsShowGauges reads the gauges and the inter-token latency after one
// answer.
func TestMetricsShowGauges(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions())
	h := fleet.startReady("host-1")
	fleet.startReady("host-2")
	status, _, _ := h.complete(completionOf(8, 32, true))
	assert.Equal(t, status, http.StatusOK)

	page := h.get("/metrics")
	for name, want := range map[string]float64{
		"citron_requests_in_flight": 0,
		"citron_tokens_in_flight":   0,
		"citron_config_revision":    1,
		"citron_buffer_used_bytes":  0,
		"citron_buffer_limit_bytes": float64(h.pool.Limit()),
		"citron_upstreams_up":       2,
		"citron_upstreams_known":    2,
		"citron_peers":              1,
	} {
		assert.Equal(t, metricSum(t, page, name), want, name)
	}
	assert.Assert(t, metricSum(t, page, "citron_config_age_seconds") > 0)
	assert.Assert(t, metricSum(t, page, "citron_time_between_tokens_seconds_count") > 0)
}
