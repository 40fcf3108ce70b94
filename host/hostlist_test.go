package host

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
	"github.com/citronscale/citronscale/source"
)

// TestHostStartsWhileThePlatformIsDown starts a second host while the platform
// is down. The host must get the configuration and the host list from its peer.
func TestHostStartsWhileThePlatformIsDown(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions())
	second := fleet.settings("host-2")
	fleet.startReady("host-1")
	fleet.platform.SetDown(true)

	h := fleet.start(second)
	h.await("the host is ready", func() bool { return h.lifecycle.state() == chart.ProcessReady })
	known, _ := h.countUpstreams()
	assert.Equal(t, known, 2)
	h.awaitServing()
	status, _, text := h.complete(completionOf(8, 4, false))
	assert.Equal(t, status, http.StatusOK, text)
}

// TestHostWithoutHostListIsNotReady starts a host without peers that can read
// the configuration but no host list. It would admit requests without any
// upstream.
func TestHostWithoutHostListIsNotReady(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions())
	s := fleet.settings("host-1")
	s.Platform.HostList = append(s.Platform.HostList[:0:0], freeAddress(t))
	h := fleet.start(s)
	h.await("a configuration is in force", func() bool { return h.agreement.revision() > 0 })
	assert.Assert(t, !h.agreement.canBeReady(time.Now().Add(time.Hour)))
	assert.Equal(t, h.lifecycle.state(), chart.ProcessStarting)

	h.useHostList([]source.Entry{}, time.Now())
	h.await("the host is ready", func() bool { return h.lifecycle.state() == chart.ProcessReady })
}

// TestForwardedHostListKeepsItsAge receives an older list after a newer
// one, which must not replace it, and checks the age sent to peers.
func TestForwardedHostListKeepsItsAge(t *testing.T) {
	var list hostList
	now := time.Now()
	assert.Assert(t, list.age(now) > maxHostListAge)
	_, ok := list.response(now)
	assert.Assert(t, !ok)
	entry := source.Entry{Name: "engine-1", Role: source.RoleEngine, Address: "127.0.0.1:1", Model: testModel, Leaving: true, ChecksFence: true}
	assert.Assert(t, list.replace([]source.Entry{entry}, now.Add(-2*time.Second)))
	assert.Assert(t, !list.replace(nil, now.Add(-3*time.Second)))
	response, ok := list.response(now)
	assert.Assert(t, ok)
	assert.Equal(t, response.GetAgeMs(), uint64(2000))
	assert.DeepEqual(t, entriesOf(response), []source.Entry{entry})
}
