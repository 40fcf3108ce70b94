package relay

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronscale/citronscale/event"
)

const (
	// answeredLines and failedLines bound the log of one host, in lines a second:
	// several times the requests of a host of today at its crest, and little
	// processor time. A failure is more likely to be asked for.
	answeredLines = 100
	failedLines   = 300
	// droppedEvery is how often the lines that were left out are reported.
	droppedEvery = time.Second
)

// lines decides which requests get a line in the log. It is safe for concurrent
// use.
type lines struct {
	answered, failed *rate.Limiter

	mu       sync.Mutex
	dropped  int
	reported time.Time
}

func newLines() *lines {
	return &lines{
		answered: rate.NewLimiter(answeredLines, answeredLines),
		failed:   rate.NewLimiter(failedLines, failedLines),
	}
}

// allow reports whether a request gets a line. Those that don't are counted and
// reported from time to time.
func (l *lines) allow(ok bool, now time.Time, log *event.Logger) bool {
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
	if l.dropped > 0 && now.Sub(l.reported) >= droppedEvery {
		log.Emit(event.LinesDropped).Int("lines", l.dropped).Msg("")
		l.dropped, l.reported = 0, now
	}
	return allowed
}
