package enginestub

import (
	"net/http"
	"sync"
	"time"

	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/upstream"
)

// Engine is the stand-in.
type Engine struct {
	Gate *stubhttp.Gate // makes the engine go silent

	options Options
	peers   *http.Client // reads the exports of other engines
	wake    chan struct{}
	closed  chan struct{}
	close   sync.Once
	stopped sync.WaitGroup

	mu          sync.Mutex
	incarnation uint64
	arrivals    uint64
	jobs        map[string]*job // by attempt, until their memory is free
	waiting     []*job          // ascending by priority and arrival
	running     []*job          // in the batch
	holdings    map[string]*holding
	used        uint64 // tokens of KV memory
	cache       *prefixCache
	orders      orderState
	leaving     bool
	frozen      bool
	runs        []*Run
	reports     [2]snapshot // older, newer
}

// New returns a running engine.
func New(options Options) *Engine {
	e := &Engine{
		Gate:    stubhttp.NewGate(),
		options: options,
		peers:   &http.Client{Timeout: memberTimeout},
		wake:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
	}
	e.reset()
	e.stopped.Add(2)
	go e.runSteps()
	go e.runReports()
	return e
}

// Close stops the engine.
func (e *Engine) Close() {
	e.close.Do(func() { close(e.closed) })
	e.stopped.Wait()
	e.peers.CloseIdleConnections()
}

// Restart ends all streams, frees all memory and begins a new incarnation, as
// an engine does that died and was started again.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.jobs {
		j.end(stateFailed, "the engine was restarted")
	}
	e.reset()
}

func (e *Engine) reset() {
	e.incarnation = uint64(time.Now().UnixNano())
	e.jobs = make(map[string]*job)
	e.waiting, e.running = nil, nil
	e.holdings = make(map[string]*holding)
	e.used = 0
	e.cache = newPrefixCache(e.options)
	e.orders = newOrderState(e.options)
	now := time.Now()
	e.reports = [2]snapshot{e.snapshot(now), e.snapshot(now)}
}

// OnCrash replaces what happens when the engine crashes.
func (e *Engine) OnCrash(crash func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.options.Crash = crash
}

// SetLeaving makes the engine refuse new work and finish what it runs.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetFrozen stops all progress, as if the process were stopped, or goes on.
func (e *Engine) SetFrozen(frozen bool) {
	e.Gate.SetSilent(frozen)
	e.mu.Lock()
	e.frozen = frozen
	e.mu.Unlock()
	e.signal()
}

// State is what the engine holds now, without the lag of a report.
type State struct {
	UsedTokens uint64 `json:"used_tokens"`
	Waiting    int    `json:"waiting"`
	Running    int    `json:"running"`
	Unread     int    `json:"unread"` // finished streams whose end was not read
	Held       int    `json:"held"`
	Version    string `json:"version"`
	Fence      uint64 `json:"fence"`
}

// State returns what the engine holds now.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{
		UsedTokens: e.used,
		Waiting:    len(e.waiting),
		Running:    len(e.running),
		Unread:     len(e.jobs) - len(e.waiting) - len(e.running),
		Held:       len(e.holdings),
		Version:    e.orders.version,
		Fence:      e.orders.fence,
	}
}

// signal wakes the loop of steps.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// refusal is a reason not to run a request.
type refusal struct {
	reason upstream.Refusal
	detail string
}
