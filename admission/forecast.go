package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/place"
)

// overdueShare is the least expected rest of an answer, as a share of its expected time:
// lengths of answers are estimates, and a stream that is overdue still runs.
const overdueShare = 0.1

// end is the expected end of a running stream.
type end struct {
	stream *place.Stream
	millis float64 // from now
}

// Prediction holds the expected ends of the running streams of a service.
type Prediction struct {
	costs   *costmodel.Costs
	engines []place.Engine
	ends    []end // the soonest first
}

// Predict returns the expected ends of streams on engines.
func Predict(costs *costmodel.Costs, engines []place.Engine, streams []place.Stream, now time.Duration) *Prediction {
	p := &Prediction{costs: costs, engines: engines}
	byKey := make(map[uint64]*place.Engine, len(engines))
	for i := range engines {
		byKey[engines[i].Key] = &engines[i]
	}
	for i := range streams {
		s := &streams[i]
		if len(s.Engines) == 0 {
			continue
		}
		if e := byKey[s.Engines[0]]; e != nil && e.Load != nil {
			p.ends = append(p.ends, end{s, remaining(costs, e, s, now)})
		}
	}
	slices.SortFunc(p.ends, func(a, b end) int { return cmp.Compare(a.millis, b.millis) })
	return p
}

// remaining returns the expected time until a stream ends, in milliseconds.
func remaining(costs *costmodel.Costs, e *place.Engine, s *place.Stream, now time.Duration) float64 {
	load, pace := e.Load, max(e.Pace, 1)
	answer := pace * float64(s.Answer) * costs.Step(len(load.Sequences), load.ContextTokens)
	if !s.Decoding {
		return pace*(load.HelperMillis+load.OwnMillis) + answer
	}
	return max(answer-float64(now-s.FirstEventAt)/float64(time.Millisecond), overdueShare*answer)
}

// Wait returns the time until a stream that keeps tokens in the memory of an engine gets
// room, after a number of others that keep aheadTokens each. It returns false if no engine
// can ever hold it.
func (p *Prediction) Wait(tokens, ahead, aheadTokens int) (time.Duration, bool) {
	wait, ok := p.waitFor(tokens, 1)
	if !ok || ahead == 0 {
		return wait, ok
	}
	others, ok := p.waitFor(aheadTokens, ahead+1)
	return max(wait, others), ok
}

// waitFor returns the time until there is room for a number of streams of the same size.
func (p *Prediction) waitFor(tokens, count int) (time.Duration, bool) {
	usable := place.UsableMemory(p.costs)
	if tokens > usable || len(p.engines) == 0 {
		return 0, false
	}
	type room struct{ free, memory int }
	rooms := make(map[uint64]*room, len(p.engines))
	places := 0 // that are free now
	for i := range p.engines {
		load := p.engines[i].Load
		if load == nil {
			load = &place.Load{}
		}
		r := &room{p.costs.Slots - len(load.Sequences), usable - load.MemoryTokens}
		if p.costs.Slots <= 0 {
			r.free = len(p.ends) + count // without a number of slots, memory is the limit
		}
		rooms[p.engines[i].Key] = r
		places += fitting(r.free, r.memory, tokens)
	}
	if places >= count {
		return 0, true
	}
	for _, e := range p.ends {
		r := rooms[e.stream.Engines[0]]
		before := fitting(r.free, r.memory, tokens)
		r.free++
		r.memory += e.stream.Prompt + e.stream.Answer - e.stream.Holders*e.stream.Share
		places += fitting(r.free, r.memory, tokens) - before
		if places >= count {
			return costmodel.Millis(e.millis), true
		}
	}
	// More wait than run: what ends after that isn't known yet. One more round of the
	// same streams is the least that it takes.
	if len(p.ends) == 0 || places <= 0 {
		return 0, false
	}
	rounds := float64(count) / float64(places)
	return costmodel.Millis(rounds * p.ends[len(p.ends)-1].millis), true
}

// fitting returns the number of streams that fit into free slots and memory.
func fitting(slots, memory, tokens int) int {
	if slots <= 0 || memory < tokens {
		return 0
	}
	return min(slots, memory/max(tokens, 1))
}
