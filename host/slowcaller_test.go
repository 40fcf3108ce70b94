package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
)

// pausingSink is a caller that stops reading several times.
type pausingSink struct {
	pause  time.Duration
	pauses int // left
	tokens uint32
}

func (s *pausingSink) Deliver(_ string, tokens uint32) error {
	s.tokens += tokens
	if s.pauses > 0 {
		s.pauses--
		time.Sleep(s.pause)
	}
	return nil
}

// A caller that doesn't read for longer than an engine may be silent keeps its engine.
func TestPauseOfACallerIsNotSilenceOfTheEngine(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions(), "progress_timeout_ms = 200")
	h := fleet.startReady("host-1")
	h.awaitServing()
	sink := &pausingSink{pause: 300 * time.Millisecond, pauses: 12}
	result, err := h.Complete(t.Context(), &gateway.Completion{
		Request: h.NewRequest(testTeam), Team: testTeam, Model: testModel, Prompt: "pallet pallet", PromptTokens: 4, MaxTokens: 600,
		Deadline: time.Now().Add(time.Minute),
	}, sink)
	assert.NilError(t, err)
	assert.Equal(t, result.Attempts, 1)
	assert.Equal(t, sink.tokens, uint32(600))
}
