package relay

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronscale/citronscale/event"
)

const (
	// answeredLinesPerSecond and failedLinesPerSecond bound the log of one host.
	// They are several times the peak request rate of a host and cost little CPU
	// time. The limit of failures is higher because a failed request is more
	// likely to be looked up.
	answeredLinesPerSecond = 100
	failedLinesPerSecond   = 300
	// droppedReportInterval is the least time between reports of dropped lines.
	droppedReportInterval = time.Second
)

// lineLimiter limits the rate of log lines for requests. It is safe for
// concurrent use.
type lineLimiter struct {
	answered, failed *rate.Limiter

	mu         sync.Mutex
	dropped    int
	reportedAt time.Time
}

func newLineLimiter() *lineLimiter {
	return &lineLimiter{
		answered: rate.NewLimiter(answeredLinesPerSecond, answeredLinesPerSecond),
		failed:   rate.NewLimiter(failedLinesPerSecond, failedLinesPerSecond),
	}
}

// allow reports whether a request is logged. It counts the dropped lines and logs
// their number at intervals.
func (l *lineLimiter) allow(ok bool, now time.Time, log *event.Logger) bool {
	limiter := l.failed
	if ok {
		limiter = l.answered
	}
	allowed := limiter.AllowN(now, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !allowed {
		l.dropped++
	}
	if l.dropped > 0 && now.Sub(l.reportedAt) >= droppedReportInterval {
		log.Emit(event.LinesDropped).Int("lines", l.dropped).Msg("")
		l.dropped, l.reportedAt = 0, now
	}
	return allowed
}
