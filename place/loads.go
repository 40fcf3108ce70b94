package place

import (
	"slices"
	"time"

	"github.com/citronscale/citronscale/costmodel"
)

// Writer is a stream that an engine writes, or will after its prompt is read.
type Writer struct {
	Weight  float64 // what a late answer costs its caller
	GapGoal float64 // milliseconds
}

// Load is what one engine has to do.
type Load struct {
	Backlog float64 // milliseconds of prompts still to be read
	Unread  int     // tokens of these prompts
	Helping int     // prompts that it reads parts of for other engines
	Writers []Writer
	Context float64 // tokens of all its writers
	Memory  int     // tokens that its prompts and answers take
}

const (
	// weightTokens is the prompt length that doubles the weight of a stream:
	// what an answer is worth to callers grows about in proportion to what it
	// takes to read the prompt.
	weightTokens = 8000.0
	// firstStep is the least time that a placed prompt is counted as unread.
	firstStep = 5.0 // milliseconds
)

// Weight returns what an answer to a prompt is worth to its caller, against
// that to a very short one.
func Weight(prompt int) float64 {
	return 1 + float64(prompt)/weightTokens
}

// Loads derives the load of each engine from the streams under way.
func Loads(laws *costmodel.Laws, works []Work, now time.Duration) map[uint64]*Load {
	slices.SortFunc(works, func(a, b Work) int {
		if a.PlacedAt != b.PlacedAt {
			return int(a.PlacedAt - b.PlacedAt)
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	loads := map[uint64]*Load{}
	busy := map[uint64]float64{} // when the engine has read all, milliseconds from now
	for i := range works {
		w := &works[i]
		if len(w.Engines) == 0 {
			continue
		}
		if !w.Writing {
			addReading(laws, loads, busy, w, millis(w.PlacedAt-now))
		}
		addWriter(loads, w)
	}
	for key, until := range busy {
		load := loads[key]
		load.Backlog = max(load.Backlog, until)
	}
	return loads
}

func addReading(laws *costmodel.Laws, loads map[uint64]*Load, busy map[uint64]float64, w *Work, placed float64) {
	parts := len(w.Engines)
	part := laws.Read(w.Prompt, parts)
	for i, key := range w.Engines {
		load := get(loads, key)
		start := placed
		if until, ok := busy[key]; ok {
			start = max(start, until)
		}
		finish := start + part
		busy[key] = finish
		if finish <= 0 {
			continue
		}
		load.Backlog = max(load.Backlog, firstStep)
		left := min(finish/max(part, 1), 1)
		load.Unread += int(left * float64(w.Prompt/parts))
		if i > 0 {
			load.Helping++
		}
	}
}

func addWriter(loads map[uint64]*Load, w *Work) {
	load := get(loads, w.Engines[0])
	load.Writers = append(load.Writers, Writer{Weight: Weight(w.Prompt), GapGoal: millis(w.GapGoal)})
	load.Context += float64(w.Prompt)
	load.Memory += w.Prompt + w.Answer
}

func get(loads map[uint64]*Load, key uint64) *Load {
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
