package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronscale/citronscale/costmodel"
)

// Sequence is a stream that an engine decodes, or will decode after its prefill.
type Sequence struct {
	Value   float64 // of the answer, see the function Value
	GapGoal float64 // milliseconds
}

// pendingStream is a stream whose prefill is not complete. Times are in
// milliseconds from now.
type pendingStream struct {
	value         float64
	prefilled     float64 // when all engines have prefilled their parts
	goal          float64 // when the first event misses its goal
	callerTimeout float64 // when the caller disconnects
}

// loss returns the expected loss of value if the first event comes at the given time.
func (s *pendingStream) loss(firstEvent float64) float64 {
	return s.value * loss(firstEvent, s.goal, s.callerTimeout)
}

// queuedPart is a part of a stream's prompt that one engine has not prefilled.
type queuedPart struct {
	stream *pendingStream
	finish float64 // when this engine has prefilled the part, milliseconds from now
}

// Load is the work of one engine.
type Load struct {
	HelperMillis  float64 // milliseconds of prefill left for streams that other engines decode
	OwnMillis     float64 // milliseconds of prefill left for its own streams
	PrefillTokens int     // tokens left in both
	HelperParts   int     // parts in HelperMillis
	Sequences     []Sequence
	ContextTokens float64 // tokens of all its sequences
	MemoryTokens  int     // tokens of the prompts and answers that it holds

	queue []queuedPart
	jobs  []job
	hops  int // most engines that hold parts for one of its sequences
}

// valueTokens is the prompt length that doubles the value of an answer. For
// callers, the value grows roughly in proportion to the cost of the prefill.
const valueTokens = 8000.0

// Value returns the value of an answer to a prompt for its caller, relative to
// that of an answer to a very short prompt.
func Value(prompt int) float64 {
	return 1 + float64(prompt)/valueTokens
}

// job is the prefill of one part of a prompt on one engine.
type job struct {
	stream    *Stream
	helper    bool
	split     bool    // other engines prefill parts of the same prompt
	arrival   float64 // milliseconds from now, negative
	done      float64 // when the part is known to be prefilled; positive if unknown
	remaining float64 // milliseconds of prefill
	total     float64
}

// Loads derives the load of each engine from the active streams, at the published speed.
func Loads(costs *costmodel.Costs, streams []Stream, now time.Duration) map[uint64]*Load {
	return loadsAt(costs, streams, now, relativePaces{base: 1})
}

// PacedLoads is Loads for engines that may be slow. The times of the loads are relative
// to the fastest engine, as Decide expects them for the same engines.
func PacedLoads(costs *costmodel.Costs, streams []Stream, engines []Engine, now time.Duration) map[uint64]*Load {
	return loadsAt(costs, streams, now, newRelativePaces(engines))
}

func loadsAt(costs *costmodel.Costs, streams []Stream, now time.Duration, paces relativePaces) map[uint64]*Load {
	slices.SortFunc(streams, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.PlacedAt, b.PlacedAt), cmp.Compare(a.ID, b.ID))
	})
	loads := map[uint64]*Load{}
	jobs := map[uint64][]job{}
	for i := range streams {
		s := &streams[i]
		if len(s.Engines) == 0 {
			continue
		}
		addSequence(loads, s)
		for position, key := range s.Engines {
			j := job{stream: s, helper: position > 0, split: len(s.Engines) > 1, arrival: millis(s.PlacedAt-now) / paces.base, done: 1}
			if s.Decoding {
				j.done = millis(s.FirstEventAt-now) / paces.base
			}
			jobs[key] = append(jobs[key], j)
		}
	}
	pending := map[*Stream]*pendingStream{}
	for key, list := range jobs {
		load := loadOf(loads, key)
		pace := paces.of(key)
		for i := range list {
			list[i].total = pace * partMillis(costs, load, list[i].stream.Prompt, len(list[i].stream.Engines))
			list[i].remaining = list[i].total
		}
		replay(list)
		load.addJobs(list, pending, now)
		load.keepJobs(list, pace, paces.base)
	}
	return loads
}

// partMillis returns the time that an engine takes to prefill its part of a prompt.
// An engine with sequences runs a decoding step for them with each chunk.
func partMillis(costs *costmodel.Costs, load *Load, tokens, parts int) float64 {
	part := costs.Prefill(tokens, parts)
	if load == nil || len(load.Sequences) == 0 || costs.ChunkTokens == 0 {
		return part
	}
	chunks := float64(tokens) / float64(parts) / float64(costs.ChunkTokens)
	return part + chunks*costs.Step(len(load.Sequences), load.ContextTokens)
}

// replay simulates the prefill of the jobs of one engine up to now. A part for a
// stream that another engine decodes preempts all other prefill, so the newest
// such part runs first. Prompts of the engine's own streams follow in order of
// arrival.
func replay(jobs []job) {
	for i := range jobs {
		next := 0.0
		if i+1 < len(jobs) {
			next = min(jobs[i+1].arrival, 0)
		}
		from := jobs[i].arrival
		advance(jobs[:i+1], from, next)
	}
}

// prefillOrder calls f with the jobs in the order in which an engine runs them.
func prefillOrder(jobs []job, f func(j *job) bool) {
	for i := range slices.Backward(jobs) {
		if jobs[i].helper && !f(&jobs[i]) {
			return
		}
	}
	for i := range jobs {
		if !jobs[i].helper && !f(&jobs[i]) {
			return
		}
	}
}

// advance simulates the prefill of an engine between two times.
func advance(jobs []job, from, to float64) {
	at := from
	prefillOrder(jobs, func(j *job) bool {
		if j.done <= at {
			j.remaining = 0
		}
		spent := min(j.remaining, to-at)
		j.remaining -= spent
		at += spent
		return at < to
	})
}

// minRemainingMillis is the remaining prefill of a part that should be complete
// although its stream has no event yet: the engine is slower than predicted.
const minRemainingMillis = 2.0

func (l *Load) addJobs(jobs []job, pending map[*Stream]*pendingStream, now time.Duration) {
	prefillOrder(jobs, func(j *job) bool {
		if j.stream.Decoding {
			return true
		}
		remaining := max(j.remaining, minRemainingMillis)
		if j.helper {
			l.HelperMillis += remaining
			l.HelperParts++
		} else {
			l.OwnMillis += remaining
		}
		l.PrefillTokens += int(remaining / max(j.total, 1) * float64(j.stream.Prompt/len(j.stream.Engines)))
		stream, ok := pending[j.stream]
		if !ok {
			stream = newPendingStream(j.stream, now)
			pending[j.stream] = stream
		}
		finish := l.HelperMillis + l.OwnMillis
		stream.prefilled = max(stream.prefilled, finish)
		l.queue = append(l.queue, queuedPart{stream: stream, finish: finish})
		return true
	})
}

func newPendingStream(s *Stream, now time.Duration) *pendingStream {
	return &pendingStream{
		value:         Value(s.Prompt),
		goal:          millis(s.PlacedAt + s.Goal - now),
		callerTimeout: millis(s.PlacedAt + CallerTimeout(s.Goal, s.GapGoal) - now),
	}
}

// delays maps the pending streams that a plan delays to the new time of their
// first event.
type delays map[*pendingStream]float64

// add adds a part that an engine prefills before its queue.
func (d delays) add(load *Load, added float64) {
	if load == nil {
		return
	}
	for _, queued := range load.queue {
		d[queued.stream] = max(d[queued.stream], queued.stream.prefilled, queued.finish+added)
	}
}

// cost returns the cost of the delays to all pending streams.
func (d delays) cost() float64 {
	cost := 0.0
	for stream, firstEvent := range d {
		cost += stream.loss(firstEvent) - stream.loss(stream.prefilled)
		cost += stream.value * latencyCost * (firstEvent - stream.prefilled) / max(stream.goal, minGoalMillis)
	}
	return cost
}

// minGoalMillis bounds divisors that are goals, so that quotients stay finite.
const minGoalMillis = 50.0

func addSequence(loads map[uint64]*Load, s *Stream) {
	load := loadOf(loads, s.Engines[0])
	load.Sequences = append(load.Sequences, Sequence{Value: Value(s.Prompt), GapGoal: millis(s.GapGoal)})
	load.ContextTokens += float64(s.Prompt - s.Holders*s.Share)
	load.MemoryTokens += s.Prompt + s.Answer - s.Holders*s.Share
	load.hops = max(load.hops, s.Holders)
	for _, key := range s.Engines[1 : 1+min(s.Holders, len(s.Engines)-1)] {
		loadOf(loads, key).MemoryTokens += s.Share
	}
}

func loadOf(loads map[uint64]*Load, key uint64) *Load {
	load, ok := loads[key]
	if !ok {
		load = &Load{}
		loads[key] = load
	}
	return load
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
