package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/code"
)

const (
	short = peerv1.WorkClass_WORK_CLASS_SHORT
	long  = peerv1.WorkClass_WORK_CLASS_LONG
)

func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	answer := httptest.NewRecorder()
	m.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Equal(t, answer.Code, 200)
	return answer.Body.String()
}

func TestHandlerServesAllMetrics(t *testing.T) {
	m, err := New()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, m.Close(t.Context())) }()
	m.FirstToken(short, 300*time.Millisecond)
	m.NextToken(short, 20*time.Millisecond)
	m.RequestFinished(short, code.OK, time.Second)
	m.RequestFinished(long, code.NoCapacity, time.Second)
	m.RequestFinished(peerv1.WorkClass_WORK_CLASS_UNSPECIFIED, code.UpstreamLost, time.Second)
	m.Retried(long, code.UpstreamUnavailable)
	m.ControlSent(100)
	m.ControlReceived(50)
	assert.NilError(t, m.ObserveGauges(func() Gauges {
		return Gauges{
			RequestsInFlight: 3, TokensInFlight: 9000, ConfigRevision: 42, ConfigAge: 1500 * time.Millisecond,
			BufferUsed: 1 << 20, BufferLimit: 1 << 26, UpstreamsUp: 6, UpstreamsKnown: 7,
			Peers: []PeerCount{{peerv1.HostState_HOST_STATE_READY, 2}, {peerv1.HostState_HOST_STATE_SUSPECT, 1}},
		}
	}))
	body := scrape(t, m)
	for _, want := range []string{
		`citron_time_to_first_token_seconds_bucket{class="short",le="0.35"} 1`,
		`citron_time_between_tokens_seconds_bucket{class="short",le="0.02"} 1`,
		`citron_request_duration_seconds_count{class="long"} 1`,
		`citron_requests_total{class="short",code="0",name="OK",outcome="ran"} 1`,
		`citron_requests_total{class="long",code="1010",name="NoCapacity",outcome="not run"} 1`,
		`citron_requests_total{class="none",code="2001",name="UpstreamLost",outcome="may have run"} 1`,
		`citron_retries_total{class="long",code="1013",name="UpstreamUnavailable",outcome="not run"} 1`,
		`citron_control_bytes_total{direction="sent"} 100`,
		`citron_control_bytes_total{direction="received"} 50`,
		`citron_requests_in_flight 3`,
		`citron_tokens_in_flight 9000`,
		`citron_config_revision 42`,
		`citron_config_age_seconds 1.5`,
		`citron_buffer_used_bytes 1.048576e+06`,
		`citron_buffer_limit_bytes 6.7108864e+07`,
		`citron_peers{state="ready"} 2`,
		`citron_peers{state="suspect"} 1`,
		`citron_upstreams_up 6`,
		`citron_upstreams_known 7`,
		`process_resident_memory_bytes `,
		`process_cpu_seconds_total `,
	} {
		assert.Assert(t, strings.Contains(body, want), "%s is not in\n%s", want, body)
	}
}

func TestMetricsOfTwoHostsInOneProcessAreSeparate(t *testing.T) {
	first, err := New()
	assert.NilError(t, err)
	second, err := New()
	assert.NilError(t, err)
	first.ControlSent(1)
	assert.Assert(t, !strings.Contains(scrape(t, second), "citron_control_bytes_total"))
}

func TestNilMetricsDiscard(t *testing.T) {
	var m *Metrics
	m.RequestFinished(short, code.OK, time.Second)
	m.FirstToken(short, time.Second)
	m.NextToken(short, time.Second)
	m.Retried(short, code.UpstreamLost)
	m.ControlSent(1)
	m.ControlReceived(1)
	assert.NilError(t, m.ObserveGauges(func() Gauges { return Gauges{} }))
}

func BenchmarkNextToken(b *testing.B) {
	m, err := New()
	assert.NilError(b, err)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.NextToken(short, 20*time.Millisecond)
		}
	})
}
