package retry

import (
	"math/rand/v2"
	"time"

	"github.com/citronscale/citronscale/code"
)

// Policy says which failed attempts are made again.
type Policy struct {
	MaxAttempts int           // for one request, the first included
	BaseDelay   time.Duration // upper end of the delay before the first retry
	MaxDelay    time.Duration // upper end of any delay
	MinRun      time.Duration // time that a retry needs before the deadline
}

// DefaultPolicy returns the policy in use unless the configuration says
// otherwise.
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
	Code       code.Code
	Attempt    int           // number of the failed attempt, from 1
	Idempotent bool          // the request may run more than once
	Reported   bool          // a failure that the upstream reported is worth another attempt
	Deadline   time.Time     // of the request
	RetryAfter time.Duration // shortest delay that the upstream or owner asked for
}

// Decision is the answer to a failure.
type Decision struct {
	Retry bool
	At    time.Time // earliest time of the retry
	Code  code.Code // of the final result if there is no retry
}

// Decide says whether the request is sent again, and takes the retry out of
// budget if so. The delay is drawn evenly from zero to an end that doubles with
// each attempt, so that requests that failed together don't return together.
func (p Policy) Decide(now time.Time, failure Failure, budget *Budget, rng *rand.Rand) Decision {
	giveUp := Decision{Code: failure.Code}
	if !mayRepeat(failure) || failure.Attempt >= p.MaxAttempts {
		return giveUp
	}
	at := now.Add(p.delay(failure, rng))
	if at.Add(p.MinRun).After(failure.Deadline) {
		return giveUp
	}
	if !budget.Take(now) {
		return Decision{Code: budgetCode(failure.Code)}
	}
	return Decision{Retry: true, At: at, Code: failure.Code}
}

// mayRepeat reports whether another attempt is safe and can help.
func mayRepeat(failure Failure) bool {
	switch failure.Code {
	case code.UpstreamUnavailable, code.NoCapacity:
		return true
	case code.UpstreamLost, code.UpstreamSilent, code.AnswerIncomplete:
		return failure.Idempotent
	case code.UpstreamFailed:
		return failure.Idempotent && failure.Reported
	default:
		return false
	}
}

// budgetCode keeps the code of a failure that may have run, because the code
// of a spent budget says that nothing ran.
func budgetCode(c code.Code) code.Code {
	if c.Outcome() == code.NotRun {
		return code.RetryBudgetSpent
	}
	return c
}

func (p Policy) delay(failure Failure, rng *rand.Rand) time.Duration {
	end := p.BaseDelay
	for range failure.Attempt - 1 {
		end = min(2*end, p.MaxDelay)
	}
	return failure.RetryAfter + time.Duration(rng.Int64N(int64(end)+1))
}
