package host

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/settings"
)

// TestPlannedStopLetsAStreamEnd stops a host in the middle of a stream. A
// second stop changes nothing.
func TestPlannedStopLetsAStreamEnd(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions())
	h := fleet.startReady("host-1")
	response := h.post("/v1/completions", completionOf(8, 400, true))
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	assert.NilError(t, err)

	h.cancel()
	h.await("the host leaves", func() bool { return h.lifecycle.state() == chart.ProcessLeaving })
	h.cancel()
	h.lifecycle.leave(time.Now(), time.Hour)
	assert.Equal(t, h.get("/readyz"), "leaving\n")
	late := h.post("/v1/completions", completionOf(8, 4, false))
	assert.NilError(t, late.Body.Close())
	assert.Equal(t, late.Header.Get("Citron-Code"), fmt.Sprint(int(code.HostLeaving)))

	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	text := first + string(rest)
	assert.Assert(t, strings.HasSuffix(text, "data: [DONE]\n\n"), "%q", text[max(0, len(text)-200):])
	prompt := strings.Repeat("pallet ", 8)
	assert.Equal(t, strings.Count(text, `"text":`), strings.Count(enginestub.Answer(prompt, 400), " ")+1)
	h.stop()
	assert.Equal(t, h.lifecycle.state(), chart.ProcessStopped)
}

// TestStopLeavesNoGoroutine runs a host through its life and looks for
// goroutines that outlive it.
func TestStopLeavesNoGoroutine(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions())
	before := goleak.IgnoreCurrent()
	h := fleet.startReady("host-1")
	status, _, text := h.complete(completionOf(8, 4, true))
	assert.Equal(t, status, http.StatusOK, text)
	h.stop()
	// The stand-ins still hold the server side of connections for a moment.
	goleak.VerifyNone(t, before, goleak.IgnoreAnyFunction("net/http.(*conn).serve"))
}

// limited shortens the time that callers get for bodies and answers.
func limited(s *settings.Settings) *settings.Settings {
	s.Limits.ReadTimeout = settings.Duration(200 * time.Millisecond)
	s.Limits.WriteTimeout = settings.Duration(200 * time.Millisecond)
	return s
}

// openRequest sends the head of a request and the first bytes of its body.
func (h *testHost) openRequest(path, token, body string, length int) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.settings.Listen.Callers.String())
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, token, length, body)
	assert.NilError(h.t, err)
	return conn
}

// TestSlowSenderIsRefused sends a part of a body and then nothing.
func TestSlowSenderIsRefused(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions())
	h := fleet.start(limited(fleet.settings("host-1")))
	h.awaitServing()
	for token, want := range map[string]code.Code{testToken: code.BodyIncomplete, "wrong": code.TeamTokenInvalid} {
		conn := h.openRequest("/v1/completions", token, `{"model":`, 1000)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get("Citron-Code"), fmt.Sprint(int(want)))
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil, "the connection is still open")
	}
	assert.Equal(t, h.pool.Used(), int64(0))
}

// TestSlowReaderOfAWholeAnswerIsCutOff asks a service for an answer larger than
// all buffers between it and the caller, and reads nothing.
func TestSlowReaderOfAWholeAnswerIsCutOff(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions())
	large := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 7<<20)) })
	fleet.list.Entries[1].Address = fleet.serve(large, stubhttp.NewGate())
	h := fleet.start(limited(fleet.settings("host-1")))
	h.awaitServing()
	h.openRequest("/services/booking/report", testToken, "{}", 2)
	h.await("the host holds the request", func() bool { return h.pool.Used() > 0 })
	h.await("the host lets it go", func() bool { return h.pool.Used() == 0 })
}
