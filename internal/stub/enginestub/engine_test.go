package enginestub

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/ident"
	_ "github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

func testMessage(sequence uint64, prompt string, maxTokens uint32, priority int) *enginewire.Generate {
	attempt := ident.Attempt{
		Request:  ident.Request{Host: "host-1", Incarnation: 7, Sequence: sequence},
		Number:   1,
		Deadline: time.UnixMilli(1_900_000_000_000),
	}
	return &enginewire.Generate{
		Attempt:      enginewire.Attempt(attempt),
		Model:        DefaultOptions().Model,
		Prompt:       prompt,
		PromptTokens: upstream.CountTokens(prompt),
		MaxTokens:    maxTokens,
		Priority:     priority,
	}
}

// stepped returns an engine whose steps the test plays itself.
func stepped(options Options) *Engine {
	e := &Engine{options: options, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	e.reset()
	return e
}

func (e *Engine) submit(t assert.TestingT, message *enginewire.Generate) *job {
	j := newGenerateJob(message, nil)
	refused := e.startGenerate(message, j)
	assert.Assert(t, refused == nil, "%+v", refused)
	return j
}

func (e *Engine) playStep(now time.Time) (step, bool) {
	planned, ok := e.planStep(now)
	if ok {
		e.finishStep(now.Add(planned.duration), planned)
	}
	return planned, ok
}

func TestShortPromptPreemptsLongPrefill(t *testing.T) {
	options := DefaultOptions()
	e := stepped(options)
	now := time.UnixMilli(0)
	long := e.submit(t, testMessage(1, strings.Repeat("l", 400_000), 16, 2))
	e.playStep(now)
	short := e.submit(t, testMessage(2, "note", 16, 0))
	e.playStep(now)
	assert.Equal(t, short.generated, uint64(1))
	assert.Assert(t, long.prefillLeft > 0)
	assert.Equal(t, long.generated, uint64(0))
}

func TestStepTimeFollowsCostModel(t *testing.T) {
	options := DefaultOptions()
	e := stepped(options)
	e.submit(t, testMessage(1, strings.Repeat("l", 4*5000), 16, 0))
	planned, _ := e.playStep(time.UnixMilli(0))
	chunk := float64(options.ChunkTokens) / options.PrefillRate * float64(time.Second)
	assert.Equal(t, planned.duration, options.StepTime+options.StepTimePerEntry+time.Duration(chunk))
}

func TestCachedPrefixIsNotComputedAgain(t *testing.T) {
	e := stepped(DefaultOptions())
	prefix := strings.Repeat("p", 4*upstream.BlockBytes)
	first := e.submit(t, testMessage(1, prefix+"one", 16, 0))
	for first.state != stateFinished {
		e.playStep(time.UnixMilli(0))
	}
	second := e.submit(t, testMessage(2, prefix+"two", 16, 0))
	e.playStep(time.UnixMilli(0))
	assert.Equal(t, second.cached, uint32(4*upstream.BlockTokens))
	assert.Equal(t, second.generated, uint64(1))
}

func TestCrashMarkerCrashesEngine(t *testing.T) {
	crashes := 0
	options := DefaultOptions()
	options.Crash = func() { crashes++ }
	e := stepped(options)
	e.submit(t, testMessage(1, "a "+CrashMarker+" b", 16, 0))
	e.submit(t, testMessage(2, "innocent", 16, 0))
	e.playStep(time.UnixMilli(0))
	assert.Equal(t, crashes, 1)
}

// The memory account holds over any history, nothing exceeds the capacity and
// all of it is free once all attempts are freed.
func TestMemoryAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := DefaultOptions()
		options.CapacityTokens = 3000
		options.MaxBatch = 4
		e := stepped(options)
		attempts := make(map[string]ident.Attempt)
		now := time.UnixMilli(0)
		sequence := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"generate": func(t *rapid.T) {
				sequence++
				message := testMessage(sequence, strings.Repeat("x", rapid.IntRange(1, 8000).Draw(t, "bytes")), 16, rapid.IntRange(0, 2).Draw(t, "priority"))
				attempts[fmt.Sprint(sequence)] = ident.Attempt(message.Attempt)
				e.submit(t, message)
			},
			"reserve": func(t *rapid.T) {
				sequence++
				attempt := ident.Attempt(testMessage(sequence, "", 1, 0).Attempt)
				attempts[fmt.Sprint(sequence)] = attempt
				e.reserve(attempt, rapid.Uint32Range(1, 2000).Draw(t, "tokens"))
			},
			"free": func(t *rapid.T) {
				if len(attempts) > 0 {
					e.free(attempts[fmt.Sprint(rapid.Uint64Range(1, sequence).Draw(t, "sequence"))])
				}
			},
			"step": func(*rapid.T) { e.playStep(now) },
			"": func(t *rapid.T) {
				var sum uint64
				for _, j := range e.jobs {
					if j.state != stateWaiting {
						sum += uint64(j.tokens)
					}
				}
				for _, held := range e.holdings {
					sum += uint64(held.tokens)
				}
				assert.Equal(t, e.used, sum)
				assert.Assert(t, e.used <= options.CapacityTokens)
			},
		})
		for _, attempt := range attempts {
			e.free(attempt)
		}
		assert.Equal(t, e.State(), State{Version: options.Version})
	})
}

func TestPrefixCacheStaysWithinItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := DefaultOptions()
		options.CacheTokens = 16 * upstream.BlockTokens
		options.CacheEventLoss = 0
		cache := newPrefixCache(options)
		known := make(map[uint64]bool)
		last := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"insert": func(t *rapid.T) {
				blocks := rapid.SliceOfN(rapid.Uint64Range(0, 3), 1, 20).Draw(t, "blocks")
				cache.insert(time.UnixMilli(0), upstream.PrefixDigestsOfBlocks(blocks))
			},
			"": func(t *rapid.T) {
				assert.Assert(t, cache.used <= cache.capacity)
				events, next := cache.published(last, time.UnixMilli(0))
				last = next
				for _, event := range events {
					known[event.Digest] = !event.Evicted
				}
				for digest, held := range known {
					_, ok := cache.entries[digest]
					assert.Equal(t, ok, held)
				}
			},
		})
	})
}
