package reclaim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/ident"
	_ "github.com/citronscale/citronscale/internal/testseed"
)

var epoch = time.Unix(1_700_000_000, 0)

func attemptOf(host ident.Host, incarnation ident.Incarnation, deadline time.Duration) ident.Attempt {
	request := ident.Request{Host: host, Incarnation: incarnation, Sequence: 1}
	return ident.Attempt{Request: request, Number: 1, Deadline: epoch.Add(deadline)}
}

func TestJudgeReturnsReason(t *testing.T) {
	options := DefaultOptions()
	view := NewView([]Host{
		{Name: "alive", Incarnation: 5},
		{Name: "other", Incarnation: 1},
		{Name: "third", Incarnation: 1},
		{Name: "lost", Incarnation: 5, Failed: true, FailedSince: epoch.Add(-time.Minute)},
		{Name: "silent", Incarnation: 5, Failed: true, FailedSince: epoch.Add(-time.Second)},
	})
	for _, c := range []struct {
		attempt ident.Attempt
		want    Reason
	}{
		{attemptOf("alive", 5, time.Minute), 0},
		{attemptOf("alive", 5, -options.MaxSkew), 0},
		{attemptOf("alive", 5, -options.MaxSkew-time.Millisecond), DeadlinePassed},
		{attemptOf("alive", 4, time.Minute), HolderReplaced},
		{attemptOf("alive", 6, time.Minute), 0},
		{attemptOf("alive", 5, 100*time.Hour), DeadlineWrong},
		{attemptOf("lost", 5, time.Minute), HolderFailed},
		{attemptOf("silent", 5, time.Minute), 0},
		{attemptOf("unknown", 5, time.Minute), 0},
	} {
		cancels := Judge(epoch, options, view, []ident.Attempt{c.attempt})
		if c.want == 0 {
			assert.Equal(t, len(cancels), 0, "%v", c.attempt)
			continue
		}
		assert.DeepEqual(t, cancels, []Cancel{{c.attempt, c.want}})
	}
}

func TestIsolatedOwnerKeepsWorkOfFailedHosts(t *testing.T) {
	failed := Host{Name: "a", Incarnation: 1, Failed: true, FailedSince: epoch.Add(-time.Hour)}
	secondFailed := failed
	secondFailed.Name = "b"
	view := NewView([]Host{failed, secondFailed, {Name: "self"}})
	assert.Equal(t, len(Judge(epoch, DefaultOptions(), view, []ident.Attempt{attemptOf("a", 1, time.Minute)})), 0)
}

// Work of a live host is never cancelled before its deadline while the clocks of
// both hosts differ by at most MaxSkew.
func TestJudgeKeepsLiveWork(t *testing.T) {
	options := DefaultOptions()
	rapid.Check(t, func(t *rapid.T) {
		skew := time.Duration(rapid.Int64Range(-int64(options.MaxSkew), int64(options.MaxSkew)).Draw(t, "skew"))
		remaining := time.Duration(rapid.Int64Range(0, int64(options.MaxDeadline)).Draw(t, "left"))
		view := NewView([]Host{{Name: "a", Incarnation: 3}})
		attempt := attemptOf("a", 3, remaining)
		assert.Equal(t, len(Judge(epoch.Add(skew), options, view, []ident.Attempt{attempt})), 0)
	})
}
