package relay

import (
	"time"

	"github.com/citronscale/citronscale/hedge"
	"github.com/citronscale/citronscale/retry"
)

// Options are the settings of a Server.
type Options struct {
	Host          string
	FailureDomain string
	// FailClosed refuses requests that need a key once the configuration has not
	// been confirmed for ConfirmWithin.
	FailClosed    bool
	ConfirmWithin time.Duration
	// BufferBytes bounds the bodies and answers buffered at a time.
	BufferBytes int64
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all hosts
	// together: in each window at most ratio times the requests, plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Hedging bounds second sends of slow requests. With its share 0 there are none.
	Hedging hedge.Options
	// WriteTimeout is the time after which a caller that takes no bytes of its answer
	// counts as gone; 0 means never.
	WriteTimeout time.Duration
	// AdmitLeaving is how long the server admits new requests after Leave.
	AdmitLeaving time.Duration
	// CutLeaving is the time after Leave at which requests in flight are cut; 0 means
	// never. A request that isn't expected to end before is refused, also while it waits
	// for an upstream.
	CutLeaving time.Duration
	// QueueStreams lets streams without room wait at this host, in the order of their
	// urgency.
	QueueStreams bool
	// TeamShares refuses streams of teams over their fair share while room is scarce.
	TeamShares bool
}

const (
	// dialTimeout is a few round trips to another failure domain. It is not worth
	// waiting longer for an upstream to accept a connection.
	dialTimeout = 300 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are TCP settings, in whole
	// seconds, as the socket options are. They detect a broken path in three seconds:
	// memory that is set aside for a lost engine counts as leaked after four.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout bounds how long sent bytes may stay unacknowledged.
	tcpUserTimeout = time.Second
	// maxAnswerBytes is the maximum size of a buffered answer.
	maxAnswerBytes = 1 << 20
	// maxEventBytes is the maximum size of an event of a stream. Hundreds of engines
	// that send endless events at once must not exhaust the memory of a small host.
	maxEventBytes = 128 << 10
	// resumeInterval is the time between two tries to resume a stream that no upstream
	// takes.
	resumeInterval = 100 * time.Millisecond
	// minAttemptTime is the least time to the deadline that an attempt needs.
	minAttemptTime = 20 * time.Millisecond
	// retryBudgetShare scales the retry budget of each host down, so that all
	// hosts together keep to the bound while their counts of each other lag.
	retryBudgetShare = 0.7
)

// retryPolicy retries without a delay, because the retry goes to another
// upstream and the fault is that of the first one.
func retryPolicy(attempts int) retry.Policy {
	return retry.Policy{MaxAttempts: attempts, MinRun: minAttemptTime}
}
