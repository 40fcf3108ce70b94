package retry

import (
	"math/rand/v2"
	"time"

	"github.com/citronscale/citronscale/code"
)

// Policy decides which failed attempts are retried.
type Policy struct {
	MaxAttempts int           // for one request, including the first attempt
	BaseDelay   time.Duration // longest random delay before the first retry
	MaxDelay    time.Duration // longest random delay before any retry
	MinRun      time.Duration // least time between a retry and the deadline
}

// DefaultPolicy returns the policy that applies unless the configuration sets
// another.
func DefaultPolicy() Policy {
	return Policy{
		MaxAttempts: 4,
		BaseDelay:   50 * time.Millisecond,
		MaxDelay:    2 * time.Second,
		MinRun:      100 * time.Millisecond,
	}
}

// Failure describes an attempt that failed.
type Failure struct {
	Code          code.Code
	Attempt       int           // number of the failed attempt, from 1
	Idempotent    bool          // the request may run more than once
	RetryReported bool          // a failure that the upstream reported may be retried
	Deadline      time.Time     // of the request
	RetryAfter    time.Duration // shortest delay that the upstream or owner requested
}

// Decision is the result of Decide.
type Decision struct {
	Retry bool
	At    time.Time // earliest time of the retry
	Code  code.Code // final result if there is no retry
}

// Decide decides whether the request is retried, and takes the retry from the
// budget if so. The delay is uniformly random up to a limit that doubles with
// each attempt (full jitter), so that requests that failed together are not
// retried together.
func (p Policy) Decide(now time.Time, failure Failure, budget *Budget, rng *rand.Rand) Decision {
	noRetry := Decision{Code: failure.Code}
	if !retryable(failure) || failure.Attempt >= p.MaxAttempts {
		return noRetry
	}
	at := now.Add(p.delay(failure, rng))
	if at.Add(p.MinRun).After(failure.Deadline) {
		return noRetry
	}
	if !budget.Take(now) {
		return Decision{Code: codeWithoutBudget(failure.Code)}
	}
	return Decision{Retry: true, At: at, Code: failure.Code}
}

// retryable reports whether a retry is safe and can succeed.
func retryable(failure Failure) bool {
	switch failure.Code {
	case code.UpstreamUnavailable, code.NoCapacity:
		return true
	case code.UpstreamLost, code.UpstreamSilent, code.AnswerIncomplete:
		return failure.Idempotent
	case code.UpstreamFailed:
		return failure.Idempotent && failure.RetryReported
	default:
		return false
	}
}

// codeWithoutBudget returns the final code if the budget is spent. An attempt
// that may have run keeps its code, because RetryBudgetSpent has the outcome
// NotRun.
func codeWithoutBudget(c code.Code) code.Code {
	if c.Outcome() == code.NotRun {
		return code.RetryBudgetSpent
	}
	return c
}

func (p Policy) delay(failure Failure, rng *rand.Rand) time.Duration {
	limit := p.BaseDelay
	for range failure.Attempt - 1 {
		limit = min(2*limit, p.MaxDelay)
	}
	return failure.RetryAfter + time.Duration(rng.Int64N(int64(limit)+1))
}
