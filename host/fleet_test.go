package host

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
	"github.com/citronscale/citronscale/internal/stub/platformstub"
	"github.com/citronscale/citronscale/internal/stub/servicestub"
	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/internal/testport"
	"github.com/citronscale/citronscale/settings"
	"github.com/citronscale/citronscale/source/httpsource"
)

const (
	testTeam  = "pallets"
	testToken = "token-of-pallets"
	testModel = "citron-base"
)

// testFleet runs a platform, one engine, one plain service and hosts in the
// test process.
type testFleet struct {
	t        *testing.T
	platform *platformstub.Platform
	address  netip.AddrPort // of the platform
	engine   *enginestub.Engine
	service  *servicestub.Service
	list     httpsource.List
}

// newFleet starts the platform and the upstreams. The lines are added to the
// defaults table of the configuration.
func newFleet(t *testing.T, options enginestub.Options, lines ...string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, platform: platformstub.New(), engine: enginestub.New(options)}
	t.Cleanup(f.engine.Close)
	f.service = servicestub.New("booking-1", func() {})
	f.address = netip.MustParseAddrPort(f.serve(f.platform.Handler(), f.platform.Gate))
	f.list.Entries = []httpsource.Entry{
		{Name: options.Name, Role: "engine", Address: f.serve(f.engine.Handler(), f.engine.Gate), FailureDomain: "domain-1", Model: testModel},
		{Name: "booking-1", Role: "service", Address: f.serve(f.service.Handler(), f.service.Gate), FailureDomain: "domain-1", Service: "booking"},
	}
	f.publish(lines...)
	return f
}

func (f *testFleet) serve(handler http.Handler, gate *stubhttp.Gate) string {
	f.t.Helper()
	server, err := stubhttp.Listen("127.0.0.1:0", handler, gate)
	assert.NilError(f.t, err)
	f.t.Cleanup(server.Close)
	return server.Address()
}

// publish publishes a new revision at the configuration service.
func (f *testFleet) publish(lines ...string) uint64 {
	digest := sha256.Sum256([]byte(testToken))
	return f.platform.Publish(0, fmt.Appendf(nil, `format = 1
[defaults]
leaving_grace_ms = 0
heartbeat_period_ms = 50
%s
[teams]
%s = "%s"
[models.%s]
version = "v1"
replicas = 1
context_tokens = 1_000_000
[services.booking]
non_idempotent = ["POST /bookings"]
`, strings.Join(lines, "\n"), testTeam, base64.RawURLEncoding.EncodeToString(digest[:16]), testModel))
}

// testHost is a running host.
type testHost struct {
	*Host
	t      *testing.T
	cancel context.CancelFunc
	done   chan error
	once   sync.Once
}

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := testport.Address()
	assert.NilError(t, err)
	return netip.MustParseAddrPort(address)
}

// settings adds a host to the host list and returns its settings.
func (f *testFleet) settings(name ident.Host) *settings.Settings {
	s := settings.Default()
	s.Host = settings.Host{Name: name, FailureDomain: "domain-1"}
	s.Listen = settings.Listen{Callers: freeAddress(f.t), Peers: freeAddress(f.t), Operators: freeAddress(f.t)}
	s.Platform = settings.Platform{Config: []netip.AddrPort{f.address}, HostList: []netip.AddrPort{f.address}}
	f.list.Entries = append(f.list.Entries, httpsource.Entry{
		Name: string(name), Role: "host", Address: s.Listen.Callers.String(), PeerAddress: s.Listen.Peers.String(), FailureDomain: "domain-1",
	})
	f.platform.SetHosts(f.list)
	return s
}

// start runs a host until the test ends or stop is called.
func (f *testFleet) start(s *settings.Settings) *testHost {
	f.t.Helper()
	h, err := New(s, event.NewLogger(&log.Logger{Writer: log.IOWriter{Writer: io.Discard}}))
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	running := &testHost{Host: h, t: f.t, cancel: cancel, done: make(chan error, 1)}
	go func() { running.done <- h.Run(ctx) }()
	f.t.Cleanup(running.stop)
	return running
}

// startReady runs a host and waits until it is ready and has a report of the
// engine.
func (f *testFleet) startReady(name ident.Host) *testHost {
	f.t.Helper()
	h := f.start(f.settings(name))
	h.awaitServing()
	return h
}

func (h *testHost) awaitServing() {
	h.t.Helper()
	h.await("the host is ready and has a report of the engine", func() bool {
		engines := h.directory.Engines()
		return h.lifecycle.state() == chart.ProcessReady && len(engines) > 0 && engines[0].Report != nil
	})
}

// stop begins a planned stop and waits for its end.
func (h *testHost) stop() {
	h.once.Do(func() {
		h.cancel()
		assert.NilError(h.t, <-h.done)
	})
}

// await waits until a condition holds.
func (h *testHost) await(description string, condition func() bool) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", description)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// post sends a request of the test team. The caller closes the response body.
func (h *testHost) post(path, body string, header ...string) *http.Response {
	h.t.Helper()
	response, err := h.send(path, strings.NewReader(body), header...)
	assert.NilError(h.t, err)
	return response
}

func (h *testHost) send(path string, body io.Reader, header ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+h.settings.Listen.Callers.String()+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return transport.RoundTrip(request)
}

// complete runs a completion to its end and returns the status, the request
// identifier and the body.
func (h *testHost) complete(body string, header ...string) (status int, request ident.Request, text string) {
	h.t.Helper()
	response := h.post("/v1/completions", body, header...)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(h.t, err)
	request, err = ident.ParseRequest(response.Header.Get("Citron-Request-Id"))
	assert.NilError(h.t, err)
	return response.StatusCode, request, string(data)
}

// get returns the body of a path of the operator listener.
func (h *testHost) get(path string) string {
	h.t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.settings.Listen.Operators.String()+path, http.NoBody)
	assert.NilError(h.t, err)
	response, err := transport.RoundTrip(request)
	assert.NilError(h.t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(h.t, err)
	return string(data)
}

// completionOf returns the body of a completion with a prompt of the given
// number of words.
func completionOf(words, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, testModel, strings.Repeat("pallet ", words), maxTokens, stream)
}
