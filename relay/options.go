package relay

import (
	"time"

	"github.com/citronscale/citronscale/retry"
)

// Options bound what a Server does.
type Options struct {
	Host          string
	FailureDomain string
	// FailClosed refuses requests that need a key once the configuration has not
	// been confirmed for ConfirmWithin.
	FailClosed    bool
	ConfirmWithin time.Duration
	// BufferBytes bounds the bodies and answers held at a time.
	BufferBytes int64
	// RetryRatio, RetrySlack and RetryWindow bound the repeats of all hosts
	// together: in each window at most ratio times the requests, plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// AdmitLeaving is how long a leaving host still takes new requests.
	AdmitLeaving time.Duration
}

const (
	// dialTimeout is some round trips to another failure domain; an upstream
	// that does not accept in this time is not worth waiting for.
	dialTimeout = 300 * time.Millisecond
	// probeIdle, probeInterval and probeCount find a path that is gone in about
	// a second, half of the pause after which callers leave a stream.
	probeIdle     = 500 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	probeCount    = 3
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = time.Second
	// answerBytes is the largest answer that is held back until it is whole.
	answerBytes = 1 << 20
	// eventBytes is the largest event of a stream.
	eventBytes = 1 << 20
	// minAttempt is the least time that an attempt is given.
	minAttempt = 20 * time.Millisecond
	// retryShare keeps the own repeats below the bound of all hosts, whose
	// count of each other lags.
	retryShare = 0.7
)

// retryPolicy tries again at once, at another upstream: the first one failed
// by itself, and waiting helps nobody.
func retryPolicy(attempts int) retry.Policy {
	return retry.Policy{MaxAttempts: attempts, MinRun: minAttempt}
}
