package place

import (
	"math"

	"github.com/citronscale/citronscale/costmodel"
)

// minPace is the least factor on the published times that placement takes into account.
// Predictions are off by about that much while news of streams is under way.
const minPace = 1.5

func (e *Engine) pace() float64 {
	if e.Pace < minPace {
		return 1
	}
	return e.Pace
}

// basePace returns the pace of the fastest engine that takes requests. Costs are compared
// in times at that pace: if all engines are slow, goals that none can meet must not hide
// the differences between them.
func basePace(engines []Engine) float64 {
	base := math.Inf(1)
	for i := range engines {
		if e := &engines[i]; !e.Avoided && !e.AtLimit {
			base = min(base, e.pace())
		}
		if base == 1 {
			return 1
		}
	}
	if math.IsInf(base, 1) {
		return 1
	}
	return base
}

// relativePace returns the pace of an engine as a multiple of the base.
func (e *Engine) relativePace(base float64) float64 {
	return max(e.pace()/base, 1)
}

// relativePaces holds the relative paces of the engines that are slower than the base.
type relativePaces struct {
	base   float64
	slower map[uint64]float64
}

func newRelativePaces(engines []Engine) relativePaces {
	p := relativePaces{base: basePace(engines)}
	for i := range engines {
		if pace := engines[i].relativePace(p.base); pace > 1 {
			if p.slower == nil {
				p.slower = map[uint64]float64{}
			}
			p.slower[engines[i].Key] = pace
		}
	}
	return p
}

func (p relativePaces) of(key uint64) float64 {
	if pace, ok := p.slower[key]; ok {
		return pace
	}
	return 1
}

// keepJobs keeps the prefill of an engine for PrefillWithin, in times at the published
// speed and in milliseconds from now.
func (l *Load) keepJobs(jobs []job, pace, base float64) {
	for i := range jobs {
		j := &jobs[i]
		j.stream = nil // the streams need not stay in memory
		if pace == 1 && base == 1 {
			continue
		}
		j.total /= pace
		j.done *= base
		j.arrival *= base
	}
	l.jobs = jobs
}

// PrefillWithin returns the most prefill, in milliseconds at the published speed, that the
// engine may have run since the given time in milliseconds before the load was derived.
func (l *Load) PrefillWithin(span float64) float64 {
	prefill := 0.0
	for i := range l.jobs {
		if l.jobs[i].done >= -span {
			prefill += l.jobs[i].total
		}
	}
	return prefill
}

// LongestWait returns the longest wait in milliseconds for an event, begun at the given time
// in milliseconds before the load was derived, that the streams explain at the published
// speed: a number of passes and the prefill of all prompts that may run in them.
func (l *Load) LongestWait(begun, passes float64) float64 {
	for longest := passes; ; {
		sum := passes
		for i := range l.jobs {
			if j := &l.jobs[i]; j.done >= -begun && j.arrival <= longest-begun {
				sum += j.total
			}
		}
		if sum <= longest {
			return longest
		}
		longest = sum
	}
}

// Pass returns the time of a pass of the engine without prefill, in milliseconds.
func (l *Load) Pass(costs *costmodel.Costs) float64 {
	pass := costs.Pass(max(len(l.Sequences), 1), l.ContextTokens)
	return pass + float64(max(costs.Stride, 1)*l.hops)*costs.HopMillis
}

// Waited returns how long at least two streams have waited for their first event from the
// engine, in milliseconds. Streams that wait for the helpers of the engine as well don't
// count.
func (l *Load) Waited() float64 {
	var longest, second float64
	for i := range l.jobs {
		if j := &l.jobs[i]; j.done > 0 && !j.split {
			longest, second = max(longest, -j.arrival), max(second, min(longest, -j.arrival))
		}
	}
	return second
}
