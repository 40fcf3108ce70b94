package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/balancer"
)

// A pause of the machine during an answer of four tokens must not make a host
// believe that an answer of 1500 tokens takes longer than a minute: the request
// would be refused though it could run.
func TestShortAnswersSayLittleAboutLongOnes(t *testing.T) {
	long := &balancer.Request{PromptTokens: 1_000, MaxTokens: 1_500}
	var e runEstimate
	e.firstToken(1, 30*time.Millisecond)
	e.finished(4, 300*time.Millisecond)
	assert.Assert(t, e.run(long) < 10*time.Second, "estimated run of %v", e.run(long))
	for range 20 {
		e.finished(200, 2*time.Second)
		e.finished(4, 300*time.Millisecond)
	}
	assert.Assert(t, e.run(long) > 6*time.Second && e.run(long) < 9*time.Second, "estimated run of %v", e.run(long))
}
