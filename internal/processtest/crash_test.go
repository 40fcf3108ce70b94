package processtest

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/load"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
)

// maxCrashedEngines is the bound that package strike states for copies that
// follow each other.
const maxCrashedEngines = 3

// A prompt that crashes each engine that starts on it is sent again and again
// through every host.
func TestCrashingPromptIsContained(t *testing.T) {
	var crashes atomic.Int32
	f := startFleet(t, 3, 5)
	for _, engine := range f.engines {
		crash := engine.server.Close
		var once sync.Once // an engine counts once, however much reaches it before it is gone
		engine.stub.OnCrash(func() {
			once.Do(func() { crashes.Add(1) })
			go crash()
		})
	}
	request := &load.Request{
		Model:     testModel,
		Prompt:    "an ordinary beginning " + enginestub.CrashMarker,
		MaxTokens: 32,
		Timeout:   10 * time.Second,
		Token:     demoTeams[0].Token,
	}
	body, err := request.Encode()
	assert.NilError(t, err)
	w, results, _ := f.during(t, faultMixDuration, func() {
		for range 3 {
			for _, host := range f.hosts {
				answer := f.caller.Complete(t.Context(), host.callers, request, body)
				t.Logf("crashing prompt through %s: code %d: %s", host.name, answer.Code, answer.Detail)
				assert.Check(t, answer.Code != code.OK)
			}
		}
	})
	for i := range results {
		assert.Check(t, results[i].Whole, "bystander %s: code %d: %s", results[i].Answer.RequestID, results[i].Answer.Code, results[i].Answer.Detail)
	}
	f.checkResults(t, w, results, nil)
	t.Logf("%d engines crashed", crashes.Load())
	assert.Check(t, crashes.Load() <= maxCrashedEngines, "%d engines crashed", crashes.Load())
}
