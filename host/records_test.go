package host

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
	"github.com/citronscale/citronscale/record"
)

// kindsOf returns the kinds of the entries that a host has recorded for a
// request.
func (h *testHost) kindsOf(request ident.Request) []record.Kind {
	var kinds []record.Kind
	for _, entry := range h.records.lookup(request).Entries {
		kinds = append(kinds, entry.Kind)
	}
	return kinds
}

func (h *testHost) verdictOf(request ident.Request) record.Outcome {
	return record.Judge(request, []record.Answer{h.records.lookup(request)}).Outcome
}

// TestTraceBeginsWithAdmitted reads the records of requests that ran, were
// refused, or came from an unknown caller. The last kind must leave no record.
func TestTraceBeginsWithAdmitted(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions())
	h := fleet.startReady("host-1")

	status, ran, _ := h.complete(completionOf(8, 4, false))
	assert.Equal(t, status, http.StatusOK)
	assert.DeepEqual(t, h.kindsOf(ran), []record.Kind{record.Admitted, record.Sending, record.Running, record.Finished})
	assert.Equal(t, h.verdictOf(ran), record.Ran)

	status, refused, _ := h.complete(`{"model":"citron-base","prompt":""}`)
	assert.Equal(t, status, http.StatusBadRequest)
	assert.DeepEqual(t, h.kindsOf(refused), []record.Kind{record.Admitted, record.Finished})
	assert.Equal(t, h.verdictOf(refused), record.NotRun)
	assert.Assert(t, refused.Sequence > ran.Sequence)

	before, _ := h.records.size()
	status, unknown, _ := h.complete(completionOf(8, 4, false), "Authorization", "Bearer wrong")
	assert.Equal(t, status, http.StatusUnauthorized)
	after, _ := h.records.size()
	assert.Equal(t, before, after)
	assert.Equal(t, h.records.lookup(unknown).Result, record.NotFound)
}

// TestTraceShowsQueuedRequest fills the engine and sends another request, which
// waits in the queue until the queue time has passed.
func TestTraceShowsQueuedRequest(t *testing.T) {
	options := enginestub.DefaultOptions()
	options.CapacityTokens = 4_000
	fleet := newFleet(t, options, "queue_time_ms = 200")
	h := fleet.startReady("host-1")
	first := h.post("/v1/completions", completionOf(100, 3_000, true))
	defer func() { _ = first.Body.Close() }()

	status, queued, text := h.complete(completionOf(100, 3_000, false))
	assert.Equal(t, status, code.NoCapacity.Status(), text)
	assert.DeepEqual(t, h.kindsOf(queued), []record.Kind{record.Admitted, record.Queued, record.Finished})
	assert.Equal(t, h.verdictOf(queued), record.NotRun)
}
