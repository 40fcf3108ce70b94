package host

import (
	"sync"
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
)

// lifecycle holds the state machine of the process and counts the requests and
// tokens in flight.
type lifecycle struct {
	mu       sync.Mutex
	machine  *chart.Machine
	log      *event.Logger
	requests int
	tokens   uint64
	graceEnd time.Time     // end of the grace period in which a leaving host admits requests
	idle     chan struct{} // closed once a leaving host has no request in flight
}

func newLifecycle(log *event.Logger) *lifecycle {
	return &lifecycle{machine: chart.MustLoad(chart.Process).New(), log: log, idle: make(chan struct{})}
}

// state returns the state of the process.
func (l *lifecycle) state() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// becomeReady makes a starting host ready. The caller has checked that a
// configuration is in force and that the host may admit requests.
func (l *lifecycle) becomeReady() {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.machine.State()
	if after, err := l.machine.Fire(chart.ProcessConfigured); err == nil && after != before {
		l.log.Emit(event.ProcessReady).Msg("")
	}
}

// leave begins a planned stop. The host still admits requests until grace has
// passed, because the balancer needs that time to detect that it is not ready.
func (l *lifecycle) leave(now time.Time, grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.machine.State()
	after, err := l.machine.Fire(chart.ProcessStop)
	if err != nil || after == before {
		return
	}
	l.graceEnd = now.Add(grace)
	l.log.Emit(event.ProcessLeaving).Int("requests", l.requests).Dur("grace", grace).Msg("")
}

// admitting returns an error unless the host admits new requests.
func (l *lifecycle) admitting(now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admittingLocked(now)
}

func (l *lifecycle) admittingLocked(now time.Time) error {
	switch l.machine.State() {
	case chart.ProcessReady:
		return nil
	case chart.ProcessLeaving:
		if now.Before(l.graceEnd) {
			return nil
		}
		return code.New(code.HostLeaving, "host is leaving")
	case chart.ProcessStopped:
		return code.New(code.HostLeaving, "host has stopped")
	default:
		return code.New(code.HostNotReady, "host has no configuration in force or no host list")
	}
}

// begin counts a new request as in flight. It returns an error if the host does
// not admit requests or has reached the limit.
func (l *lifecycle) begin(now time.Time, limit int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.admittingLocked(now); err != nil {
		return err
	}
	if l.requests >= limit {
		return code.New(code.NoCapacity, "host has %d requests in flight, limit is %d", l.requests, limit)
	}
	l.requests++
	return nil
}

// beginForwarded counts a forwarded call as in flight. A leaving host accepts
// these until it stops, because only it may run calls with its keys.
func (l *lifecycle) beginForwarded(limit int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.State() == chart.ProcessStopped {
		return code.New(code.HostLeaving, "host has stopped")
	}
	if l.requests >= limit {
		return code.New(code.NoCapacity, "host has %d requests in flight, limit is %d", l.requests, limit)
	}
	l.requests++
	return nil
}

// end removes a request from the count.
func (l *lifecycle) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests--
}

// addTokens changes the number of prompt and answer tokens in flight.
func (l *lifecycle) addTokens(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = uint64(int64(l.tokens) + n)
}

// inFlight returns the requests and tokens in flight.
func (l *lifecycle) inFlight() (requests int, tokens uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests, l.tokens
}

// checkIdle ends a planned stop once no request is in flight and the grace
// period has passed.
func (l *lifecycle) checkIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.State() != chart.ProcessLeaving || l.requests > 0 || now.Before(l.graceEnd) {
		return
	}
	if _, err := l.machine.Fire(chart.ProcessIdle); err == nil {
		l.log.Emit(event.ProcessStopped).Msg("")
		close(l.idle)
	}
}
