package strike

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Request identifies what a request asks an engine to run. All identifiers share one
// space; those that are digests don't collide by chance.
type Request struct {
	Content uint64   // digest of the whole request, the same when a caller repeats it
	Parts   []uint64 // of the prompt, in order; requests share some of them
}

// Loss is a request whose answer an engine had not begun when it crashed. Times are
// readings of the clock of this host.
type Loss struct {
	Engine  uint32 // key of the engine
	At      time.Duration
	Request Request
}

// ids returns the identifiers that the crash may be due to.
func (l *Loss) ids() []uint64 {
	return append(slices.Clone(l.Request.Parts), l.Request.Content)
}

// Start shows that requests with an identifier run: an engine began the answer to
// one, and stayed up.
type Start struct {
	ID uint64
	At time.Duration // begin of the answer
}

// Evidence is what hosts tell each other. Merging it is idempotent and commutative, so
// order, duplication and loss of messages do not matter.
type Evidence struct {
	Losses []Loss
	Starts []Start
	// LatestStart is the begin of the latest answer to any prompt on an engine that
	// stayed up, 0 if there was none.
	LatestStart time.Duration
}

// Empty reports whether there is nothing to tell.
func (e *Evidence) Empty() bool {
	return len(e.Losses) == 0 && len(e.Starts) == 0 && e.LatestStart == 0
}

const (
	// maxParts bounds the parts of one prompt that are considered.
	maxParts = 32
	// sameCrash is the time within which the losses on one engine belong to one crash. An
	// engine takes longer to restart.
	sameCrash = 2 * time.Second
)

// PartOptions are the settings of a PartRegistry.
type PartOptions struct {
	Memory    time.Duration // how long losses count
	Hold      time.Duration // how long requests are refused after the crashes needed; grows with each further one
	HoldExtra float64       // share of that time that this host waits longer, so that not all hosts try at once
	MaxLosses int           // stored at once
	MaxStarts int           // stored at once
}

// DefaultPartOptions returns the options of a host.
func DefaultPartOptions(rng *rand.Rand) PartOptions {
	return PartOptions{Memory: time.Hour, Hold: 10 * time.Second, HoldExtra: rng.Float64(), MaxLosses: 512, MaxStarts: 4096}
}

// PartRegistry finds parts of prompts, and whole requests, that crash the engines that
// begin to answer them. It answers load in which such requests are mixed with sound ones
// that share callers and parts with them. It performs no I/O and reads no clock, and is
// not safe for concurrent use.
//
// A crash names as suspects the parts of all requests that the engine had not begun to
// answer. A request that begins clears its parts of all earlier crashes, because a bad
// part crashes each engine. What stays suspect over several crashes is refused, in
// combination with what was common to all of them: as long as a bad part came only
// together with a sound one, requests that hold just the sound one pass.
type PartRegistry struct {
	options     PartOptions
	losses      []Loss                   // by time
	cleared     map[uint64]time.Duration // latest known start of identifiers in losses; it clears them of earlier ones
	starts      *startCache              // latest starts of answers of this host
	latestStart time.Duration
	resumedAt   time.Duration // latestStart was followed by none for outageTime before that

	quarantines []Quarantine
	stale       bool          // the quarantines must be derived again
	awaitsStart bool          // they may change with the start of any prompt
	checkAt     time.Duration // when they change without new evidence
}

// NewPartRegistry returns a registry without evidence.
func NewPartRegistry(options PartOptions) *PartRegistry {
	return &PartRegistry{options: options, cleared: map[uint64]time.Duration{}, starts: newStartCache(options.MaxStarts)}
}

// Lost records a loss that this host saw and returns the evidence to share.
func (r *PartRegistry) Lost(now time.Duration, loss Loss) Evidence {
	return r.Merge(now, Evidence{Losses: []Loss{loss}})
}

// Started records that the answer to a request of this host began at the given time on
// an engine that stayed up, and returns the evidence to share.
func (r *PartRegistry) Started(at time.Duration, request Request) Evidence {
	var e Evidence
	if len(request.Parts) > 0 && r.advance(at) {
		e.LatestStart = at
	}
	for _, id := range append(slices.Clone(request.Parts), request.Content) {
		r.starts.put(id, at)
		if r.clear(id, at) {
			e.Starts = append(e.Starts, Start{id, at})
		}
	}
	return r.complete(e)
}

// Merge adds evidence and returns what of it was new, with what this host knows about
// it.
func (r *PartRegistry) Merge(now time.Duration, e Evidence) Evidence {
	r.expire(now)
	var fresh Evidence
	if r.advance(min(e.LatestStart, now)) {
		fresh.LatestStart = e.LatestStart
	}
	for _, loss := range e.Losses {
		loss.Request.Parts = loss.Request.Parts[:min(len(loss.Request.Parts), maxParts)]
		loss.At = min(loss.At, now)
		if !r.add(loss) || now-loss.At >= r.options.Memory {
			continue
		}
		fresh.Losses = append(fresh.Losses, loss)
		for _, id := range loss.ids() {
			if at, ok := r.starts.get(id); ok && r.clear(id, at) {
				fresh.Starts = append(fresh.Starts, Start{id, at})
			}
		}
	}
	for _, start := range e.Starts {
		start.At = min(start.At, now)
		if r.clear(start.ID, start.At) {
			fresh.Starts = append(fresh.Starts, start)
		}
	}
	r.expire(now)
	return r.complete(fresh)
}

// All returns the stored evidence, at most n losses, the newest first.
func (r *PartRegistry) All(n int) Evidence {
	var e Evidence
	for _, loss := range r.losses[max(len(r.losses)-n, 0):] {
		e.Losses = append(e.Losses, loss)
		for _, id := range loss.ids() {
			at, ok := r.cleared[id]
			if ok && !slices.Contains(e.Starts, Start{id, at}) {
				e.Starts = append(e.Starts, Start{id, at})
			}
		}
	}
	return r.complete(e)
}

// advance records the begin of an answer to any prompt, and reports whether it is the
// first one known after a loss.
func (r *PartRegistry) advance(at time.Duration) bool {
	before := r.latestStart
	if at <= before {
		return false
	}
	if at-before >= outageTime {
		r.resumedAt = at
	}
	r.latestStart = at
	first := slices.ContainsFunc(r.losses, func(l Loss) bool { return l.At >= before && l.At < at })
	r.stale = r.stale || r.awaitsStart
	return first
}

func (r *PartRegistry) complete(e Evidence) Evidence {
	if !e.Empty() {
		e.LatestStart = r.latestStart
	}
	return e
}

// add adds a loss and reports whether it is new.
func (r *PartRegistry) add(loss Loss) bool {
	known := func(l Loss) bool {
		return l.Engine == loss.Engine && l.Request.Content == loss.Request.Content && (l.At-loss.At).Abs() < sameCrash
	}
	if slices.ContainsFunc(r.losses, known) {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.losses, loss.At, func(l Loss, at time.Duration) int { return int(l.At - at) })
	r.losses = slices.Insert(r.losses, at, loss)
	r.stale = true
	return true
}

// clear records the start of an identifier. It reports whether other hosts should know
// it: it clears the identifier of a loss that counted until now, or is the first that
// is known.
func (r *PartRegistry) clear(id uint64, at time.Duration) bool {
	before, known := r.cleared[id]
	if known && at <= before {
		return false
	}
	suspected, clears := false, false
	for i := range r.losses {
		loss := &r.losses[i]
		if loss.Request.Content != id && !slices.Contains(loss.Request.Parts, id) {
			continue
		}
		suspected = true
		clears = clears || !known || loss.At <= at && loss.At > before
	}
	if suspected {
		r.cleared[id] = at
		r.stale = r.stale || clears
	}
	return clears
}

// expire removes losses that don't count any more, and what is known only for them.
func (r *PartRegistry) expire(now time.Duration) {
	excess := max(len(r.losses)-r.options.MaxLosses, 0)
	for excess < len(r.losses) && now-r.losses[excess].At >= r.options.Memory {
		excess++
	}
	if excess == 0 {
		return
	}
	r.losses = slices.Delete(r.losses, 0, excess)
	r.stale = true
	suspected := map[uint64]bool{}
	for i := range r.losses {
		for _, id := range r.losses[i].ids() {
			suspected[id] = true
		}
	}
	for id := range r.cleared {
		if !suspected[id] {
			delete(r.cleared, id)
		}
	}
}
