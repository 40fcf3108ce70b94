package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/balancer"
)

// A pause of the machine during an answer of four tokens must not raise the
// estimate for an answer of 1500 tokens to more than a minute: the request
// would be refused although it could run.
func TestShortAnswersDoNotSkewEstimate(t *testing.T) {
	long := &balancer.Request{PromptTokens: 1_000, MaxTokens: 1_500}
	var e durationEstimate
	e.observeFirstToken(1, 30*time.Millisecond)
	e.observeAnswer(4, 300*time.Millisecond)
	assert.Assert(t, e.expectedDuration(long) < 10*time.Second, "estimated run of %v", e.expectedDuration(long))
	for range 20 {
		e.observeAnswer(200, 2*time.Second)
		e.observeAnswer(4, 300*time.Millisecond)
	}
	assert.Assert(t, e.expectedDuration(long) > 6*time.Second && e.expectedDuration(long) < 9*time.Second, "estimated run of %v", e.expectedDuration(long))
}
