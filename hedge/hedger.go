package hedge

import (
	"cmp"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronscale/citronscale/retry"
)

// Options are the settings of a Hedger.
type Options struct {
	Share    float64 // most extra sends, as a share of the requests
	Quantile float64 // of the recent times, after which the second send is due
}

const (
	// burst is the most second sends at the same time after a calm period.
	burst = 3
	// maxClasses bounds the memory of a host, at about 60 KB a class.
	maxClasses = 64
)

// Hedger holds the recent times and the budget of one host.
type Hedger struct {
	options Options

	mu       sync.Mutex
	classes  *lru.LRU[Class, *times]
	budget   *retry.Budget
	requests uint64
	verdicts [len(verdictNames)]uint64
}

// New returns a hedger without times and with an empty budget, or nil if the share allows no
// extra sends.
func New(options Options) *Hedger {
	if options.Share <= 0 {
		return nil
	}
	classes, err := lru.NewLRU[Class, *times](maxClasses, nil)
	if err != nil {
		panic(err) // only a size that isn't positive is refused
	}
	// The bucket starts empty, so that all hosts of a fleet that restarts keep to the share.
	const empty = 1e-9 // 0 would mean full
	budget := retry.NewBudget(retry.BudgetOptions{Ratio: options.Share, Burst: burst, Initial: empty}, noTime)
	return &Hedger{options: options, classes: classes, budget: budget}
}

// noTime is the time in calls of the budget, which requests alone fill.
var noTime = time.Time{}

// Began counts a request that may be sent a second time.
func (h *Hedger) Began() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests++
	h.budget.RecordFirst(noTime)
}

// Record records the time from the send of a request to its first byte or event. One that
// another upstream answered first counts with the delay of its second send, and one that was
// never answered isn't recorded: with their whole times, the quantile becomes the timeout as
// soon as a few requests in a hundred go to an upstream that doesn't answer.
func (h *Hedger) Record(class Class, took, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.classes.Get(class)
	if !ok {
		t = newTimes(now)
		h.classes.Add(class, t)
	}
	t.record(took, now)
}

// Delay returns the time after its send from which a request of a class is due a second
// one. It returns false if too few recent times are known.
func (h *Hedger) Delay(class Class, now time.Duration) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.classes.Get(class)
	if !ok {
		return 0, false
	}
	t.refresh(h.options.Quantile, now)
	return t.delay, t.delay > 0
}

// Decide decides about a second send that is due. If the verdict is Send, it is taken from
// the budget.
func (h *Hedger) Decide(f Facts) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	verdict := judge(f)
	if verdict == Send && !h.budget.Take(noTime) {
		verdict = OverBudget
	}
	h.verdicts[verdict]++
	return verdict
}

// Return gives back a second send that was not made after all, for the reason given.
func (h *Hedger) Return(reason Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Return()
	h.verdicts[Send]--
	h.verdicts[reason]++
}

// State is the form of a Hedger in dumps.
type State struct {
	Share    float64           `json:"share"`
	Quantile float64           `json:"quantile"`
	Budget   float64           `json:"budget"`   // second sends that it allows at present
	Requests uint64            `json:"requests"` // that may be sent a second time, since the start
	Verdicts map[string]uint64 `json:"verdicts"` // when a second send was due
	Delays   []DelayEntry      `json:"delays"`
}

// DelayEntry is the delay of one class in dumps.
type DelayEntry struct {
	Route     string        `json:"route"`
	MinTokens int           `json:"min_tokens"` // of the prompts in the class; the next class begins at twice as many
	Samples   int64         `json:"samples"`
	Delay     time.Duration `json:"delay_ns"` // 0 if there are too few samples
}

// State returns the budget and the delays.
func (h *Hedger) State(now time.Duration) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := State{
		Share: h.options.Share, Quantile: h.options.Quantile, Budget: h.budget.Level(noTime),
		Requests: h.requests, Verdicts: map[string]uint64{}, Delays: []DelayEntry{},
	}
	for verdict, n := range h.verdicts {
		if n > 0 {
			state.Verdicts[Verdict(verdict).String()] = n
		}
	}
	for _, class := range h.classes.Keys() {
		t, _ := h.classes.Peek(class)
		t.refresh(h.options.Quantile, now)
		if t.samples > 0 {
			state.Delays = append(state.Delays, DelayEntry{class.Route, minTokens(class.Size), t.samples, t.delay})
		}
	}
	slices.SortFunc(state.Delays, func(a, b DelayEntry) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.MinTokens, b.MinTokens))
	})
	return state
}
