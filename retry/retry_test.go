package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/code"
	_ "github.com/citronscale/citronscale/internal/testseed"
)

var epoch = time.Unix(1_700_000_000, 0)

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

func TestBudgetNeverExceedsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := DefaultBudgetOptions()
		now := epoch
		budget := NewBudget(options, now)
		latest := now
		firsts, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"first": func(t *rapid.T) {
				for range rapid.IntRange(1, 200).Draw(t, "attempts") {
					budget.RecordFirst(now)
					firsts++
				}
			},
			"take": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "retries") {
					if budget.Take(now) {
						retries++
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-500, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if now.After(latest) {
					latest = now
				}
				seconds := latest.Sub(epoch).Seconds()
				limit := options.Burst + options.Ratio*float64(firsts) + options.PerSecond*seconds
				assert.Assert(t, float64(retries) <= limit+1e-6, "%d retries, at most %f", retries, limit)
			},
		})
	})
}

// A request that may have run must not be retried unless it is idempotent.
func TestDecideRetriesOnlySafeFailures(t *testing.T) {
	for _, info := range code.Table() {
		for _, idempotent := range []bool{false, true} {
			failure := Failure{Code: info.Code, Attempt: 1, Idempotent: idempotent, Deadline: epoch.Add(time.Hour)}
			decision := DefaultPolicy().Decide(epoch, failure, NewBudget(DefaultBudgetOptions(), epoch), newRand())
			if decision.Retry && !idempotent {
				assert.Equal(t, info.Code.Outcome(), code.NotRun, info.Name)
			}
			if decision.Retry {
				assert.Assert(t, info.Code.Outcome() != code.Ran, info.Name)
			}
		}
	}
}

func TestDecideRespectsDeadlineAttemptsAndBudget(t *testing.T) {
	policy := DefaultPolicy()
	failure := Failure{Code: code.UpstreamLost, Attempt: 1, Idempotent: true, Deadline: epoch.Add(time.Hour)}
	budget := NewBudget(DefaultBudgetOptions(), epoch)
	assert.Assert(t, policy.Decide(epoch, failure, budget, newRand()).Retry)

	last := failure
	last.Attempt = policy.MaxAttempts
	assert.Assert(t, !policy.Decide(epoch, last, budget, newRand()).Retry)

	nearDeadline := failure
	nearDeadline.Deadline = epoch.Add(policy.MinRun)
	nearDeadline.RetryAfter = time.Millisecond
	assert.Assert(t, !policy.Decide(epoch, nearDeadline, budget, newRand()).Retry)

	for budget.Take(epoch) {
	}
	spent := policy.Decide(epoch, failure, budget, newRand())
	assert.DeepEqual(t, spent, Decision{Code: code.UpstreamLost})
	failure.Code = code.UpstreamUnavailable
	assert.Equal(t, policy.Decide(epoch, failure, budget, newRand()).Code, code.RetryBudgetSpent)
}

// Requests that fail together must not be retried together.
func TestRetriesOfSimultaneousFailuresAreSpread(t *testing.T) {
	const attempts, slots = 1000, 10
	policy := DefaultPolicy()
	rng := newRand()
	for attempt := 1; attempt < policy.MaxAttempts; attempt++ {
		var counts [slots]int
		failure := Failure{Code: code.UpstreamLost, Attempt: attempt, Idempotent: true, Deadline: epoch.Add(time.Hour)}
		limit := min(policy.BaseDelay<<(attempt-1), policy.MaxDelay)
		for range attempts {
			decision := policy.Decide(epoch, failure, NewBudget(DefaultBudgetOptions(), epoch), rng)
			counts[min(int(decision.At.Sub(epoch)*slots/(limit+1)), slots-1)]++
		}
		for _, count := range counts {
			assert.Assert(t, count < 2*attempts/slots, "%d of %d retries in a tenth of the time", count, attempts)
		}
	}
}
