package attempt

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/upstream"
)

const historySteps = 80

// TestRequestsEndCorrectlyUnderFaults guards against corrupted answers and wrong
// result codes. It drives two requests through failing and unresponsive engines,
// delayed, duplicated, lost, reordered and misrouted frames, and pauses of the
// process. The record of what the engines ran is the oracle.
func TestRequestsEndCorrectlyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runHistory(t, testseed.Drawn{T: t}, true)
	})
}

// TestRequestsEndCorrectlyUnderSeededFaults runs many seeded histories of the
// same kind.
func TestRequestsEndCorrectlyUnderSeededFaults(t *testing.T) {
	const histories = 5000
	seen := map[code.Code]int{}
	for history := range uint64(histories) {
		t.Run(strconv.FormatUint(history, 10), func(t *testing.T) {
			for _, r := range runHistory(t, testseed.Seeded(history), true).requests {
				seen[r.finish.Code]++
			}
		})
	}
	for _, want := range []code.Code{
		code.OK, code.DeadlineBeforeStart, code.DeadlineExceeded, code.UpstreamSilent, code.AnswerIncomplete, code.AnswerTruncated,
		code.NoCapacity, code.UpstreamUnavailable, code.UpstreamLost, code.CallerGone, code.CallerGoneBeforeStart,
	} {
		assert.Assert(t, seen[want] > 0, "no history ended with %s", want.Name())
	}
	t.Logf("%d histories ended with %v", histories, seen)
}

// TestAllAnswersCompleteWithoutFaults guards against a machine that retries or
// ends a request although no fault occurs.
func TestAllAnswersCompleteWithoutFaults(t *testing.T) {
	for history := range uint64(200) {
		w := newSimulation(t, testseed.Seeded(history), false)
		for range historySteps {
			w.chooseUpstream()
			w.deliver()
		}
		for _, r := range w.requests {
			assert.Assert(t, r.finish != nil && r.finish.Code == code.OK && r.machine.Attempts() == 1)
		}
	}
}

func runHistory(t assert.TestingT, choose testseed.Chooser, faults bool) *simulation {
	w := newSimulation(t, choose, faults)
	for range historySteps {
		w.step()
	}
	w.endRequests()
	return w
}

// TestResumeAfterProgressTimeout checks that a request whose engine makes no
// progress resumes on another engine after the tokens already delivered.
func TestResumeAfterProgressTimeout(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	r := &request{}
	id := ident.Request{Host: "host-1", Incarnation: 1, Sequence: 1}
	m := New(Options{
		Request: id, Deadline: start.Add(testDeadline), FirstFrameTimeout: testProgress, ProgressTimeout: testProgress,
		MaxAttempts: 2, Retry: r,
	})
	m.Start(start)
	first := m.Chosen(start, "engine-1")[1].(Send).Attempt
	m.FrameReceived(start, upstream.Frame{Attempt: first, Text: "one ", Tokens: 1})
	actions := m.TimerFired(start.Add(testProgress))
	assert.DeepEqual(t, actions[0], Cancel{Attempt: first, Upstream: "engine-1"})
	assert.DeepEqual(t, actions[2], Choose{Number: 2, Avoid: []upstream.Name{"engine-1"}, ResumeOffset: 1, Deadline: start.Add(testDeadline), MayHaveRun: true})
	send := m.Chosen(start.Add(testProgress), "engine-2")[1].(Send)
	assert.Equal(t, send.ResumeText, "one ")
	assert.Assert(t, send.Fresh)
	assert.Assert(t, len(m.FrameReceived(start, upstream.Frame{Attempt: first, Offset: 1, Text: "late ", Tokens: 1})) == 0)
	assert.Equal(t, m.LateFrames(), 1)
	done := m.FrameReceived(start.Add(testProgress), upstream.Frame{Attempt: send.Attempt, Offset: 1, Done: true, FinishReason: "stop"})
	assert.DeepEqual(t, done, []Action{Finish{Code: code.OK, FinishReason: "stop", Tokens: 1}})
	assert.Equal(t, m.State(), chart.AttemptFinished)
}

// BenchmarkFrame measures the cost of one frame of a long answer.
func BenchmarkFrame(b *testing.B) {
	now := time.UnixMilli(1_000_000)
	m := New(Options{Deadline: now.Add(time.Hour), FirstFrameTimeout: time.Hour, ProgressTimeout: time.Hour, MaxAttempts: 1})
	m.Start(now)
	attempt := m.Chosen(now, "engine-1")[1].(Send).Attempt
	for n := uint64(0); b.Loop(); n++ {
		m.FrameReceived(now, upstream.Frame{Attempt: attempt, Offset: n, Text: "word ", Tokens: 1})
	}
}
