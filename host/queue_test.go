package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
)

// Guards against a begun answer that is cut although an engine takes it in time: its retry is
// refused like a new request whose expected run doesn't fit the deadline.
func TestRetryOfABegunRequestWaitsForCapacity(t *testing.T) {
	h := newFleet(t, enginestub.DefaultOptions()).startReady("host-1")
	h.placement.observeFirstToken(1_000, 10*time.Second)
	for _, mayHaveRun := range []bool{false, true} {
		request := &balancer.Request{Model: testModel, PromptTokens: 1_000, MaxTokens: 10, Team: testTeam, Deadline: time.Now().Add(5 * time.Second), MayHaveRun: mayHaveRun}
		_, err := h.enqueue(&waiter{ctx: t.Context(), request: request, result: make(chan placeResult, 1)})
		if mayHaveRun {
			assert.NilError(t, err)
		} else {
			assert.Equal(t, code.Of(err), code.DeadlineTooShort)
		}
	}
}
