package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronscale/citronscale/costmodel"
)

// Writer is a stream that an engine writes, or will after its prompt is read.
type Writer struct {
	Weight  float64 // what a late answer costs its caller
	GapGoal float64 // milliseconds
}

// reader is a stream whose prompt is not read yet. Times are in milliseconds
// from now.
type reader struct {
	weight   float64
	first    float64 // when all engines have read their parts
	goal     float64 // when the first event is late
	patience float64 // when the caller leaves
}

// loss returns what a first event at a time costs the caller.
func (r *reader) loss(at float64) float64 {
	return r.weight * loss(at, r.goal, r.patience)
}

// waiting is a stream that waits for its part at one engine.
type waiting struct {
	reader *reader
	finish float64 // when this engine has read its part, milliseconds from now
}

// Load is what one engine has to do.
type Load struct {
	HelpLeft float64 // milliseconds of parts that it reads for other engines
	ReadLeft float64 // milliseconds of the prompts of its own streams
	Unread   int     // tokens of both
	Helping  int     // parts that it reads for other engines
	Writers  []Writer
	Context  float64 // tokens of all its writers
	Memory   int     // tokens that its prompts and answers take

	waiting []waiting
}

// weightTokens is the prompt length that doubles the weight of a stream: what
// an answer is worth to callers grows about in proportion to what it takes to
// read the prompt.
const weightTokens = 8000.0

// Weight returns what an answer to a prompt is worth to its caller, against
// that to a very short one.
func Weight(prompt int) float64 {
	return 1 + float64(prompt)/weightTokens
}

// job is the part of one prompt at one engine.
type job struct {
	work   *Work
	help   bool
	arrive float64 // milliseconds from now, negative
	gone   float64 // when it is known to have been read; after now if it is not
	left   float64 // milliseconds of reading
	part   float64
}

// Loads derives the load of each engine from the streams under way.
func Loads(laws *costmodel.Laws, works []Work, now time.Duration) map[uint64]*Load {
	slices.SortFunc(works, func(a, b Work) int {
		return cmp.Or(cmp.Compare(a.PlacedAt, b.PlacedAt), cmp.Compare(a.ID, b.ID))
	})
	loads := map[uint64]*Load{}
	jobs := map[uint64][]job{}
	for i := range works {
		w := &works[i]
		if len(w.Engines) == 0 {
			continue
		}
		addWriter(loads, w)
		for n, key := range w.Engines {
			j := job{work: w, help: n > 0, arrive: millis(w.PlacedAt - now), gone: 1}
			if w.Writing {
				j.gone = millis(w.WritingAt - now)
			}
			jobs[key] = append(jobs[key], j)
		}
	}
	readers := map[*Work]*reader{}
	for key, list := range jobs {
		load := get(loads, key)
		for i := range list {
			list[i].part = partMillis(laws, load, list[i].work.Prompt, len(list[i].work.Engines))
			list[i].left = list[i].part
		}
		replay(list)
		load.addJobs(list, readers, now)
	}
	return loads
}

// partMillis returns the time in which an engine reads its part of a prompt. An
// engine with writers makes a step for them with each chunk.
func partMillis(laws *costmodel.Laws, load *Load, tokens, parts int) float64 {
	part := laws.Read(tokens, parts)
	if load == nil || len(load.Writers) == 0 || laws.ChunkTokens == 0 {
		return part
	}
	chunks := float64(tokens) / float64(parts) / float64(laws.ChunkTokens)
	return part + chunks*laws.Step(len(load.Writers), load.Context)
}

// replay reads the jobs of one engine up to now. An engine reads a part for
// another engine at once, ahead of all it has to read, so the newest goes first;
// prompts of its own streams follow in the order of their arrival.
func replay(jobs []job) {
	for i := range jobs {
		next := 0.0
		if i+1 < len(jobs) {
			next = min(jobs[i+1].arrive, 0)
		}
		from := jobs[i].arrive
		spend(jobs[:i+1], from, next)
	}
}

// readingOrder calls f with the jobs in the order in which an engine reads them.
func readingOrder(jobs []job, f func(j *job) bool) {
	for i := range slices.Backward(jobs) {
		if jobs[i].help && !f(&jobs[i]) {
			return
		}
	}
	for i := range jobs {
		if !jobs[i].help && !f(&jobs[i]) {
			return
		}
	}
}

// spend lets an engine read from one moment to another.
func spend(jobs []job, from, to float64) {
	at := from
	readingOrder(jobs, func(j *job) bool {
		if j.gone <= at {
			j.left = 0
		}
		step := min(j.left, to-at)
		j.left -= step
		at += step
		return at < to
	})
}

// unreadLeast is counted as left, in milliseconds, of a part that should be read
// by now though its stream has not begun: the engine is slower than predicted.
const unreadLeast = 2.0

func (l *Load) addJobs(jobs []job, readers map[*Work]*reader, now time.Duration) {
	readingOrder(jobs, func(j *job) bool {
		if j.work.Writing {
			return true
		}
		left := max(j.left, unreadLeast)
		if j.help {
			l.HelpLeft += left
			l.Helping++
		} else {
			l.ReadLeft += left
		}
		l.Unread += int(left / max(j.part, 1) * float64(j.work.Prompt/len(j.work.Engines)))
		r, ok := readers[j.work]
		if !ok {
			r = newReader(j.work, now)
			readers[j.work] = r
		}
		finish := l.HelpLeft + l.ReadLeft
		r.first = max(r.first, finish)
		l.waiting = append(l.waiting, waiting{reader: r, finish: finish})
		return true
	})
}

func newReader(w *Work, now time.Duration) *reader {
	return &reader{
		weight:   Weight(w.Prompt),
		goal:     millis(w.PlacedAt + w.Goal - now),
		patience: millis(w.PlacedAt + Patience(w.Goal, w.GapGoal) - now),
	}
}

// delays collects what the parts of one plan do to the streams that wait.
type delays map[*reader]float64 // when the first event comes then

// add counts a part that an engine reads first.
func (d delays) add(load *Load, part float64) {
	if load == nil {
		return
	}
	for _, w := range load.waiting {
		d[w.reader] = max(d[w.reader], w.reader.first, w.finish+part)
	}
}

// harm returns the harm to all streams that wait.
func (d delays) harm() float64 {
	harm := 0.0
	for r, after := range d {
		harm += r.loss(after) - r.loss(r.first)
		harm += r.weight * slowCost * (after - r.first) / max(r.goal, minGoal)
	}
	return harm
}

// minGoal keeps figures that are divided by a goal finite, in milliseconds.
const minGoal = 50.0

func addWriter(loads map[uint64]*Load, w *Work) {
	load := get(loads, w.Engines[0])
	load.Writers = append(load.Writers, Writer{Weight: Weight(w.Prompt), GapGoal: millis(w.GapGoal)})
	load.Context += float64(w.Prompt - w.Holders*w.Share)
	load.Memory += w.Prompt + w.Answer - w.Holders*w.Share
	for _, key := range w.Engines[1 : 1+min(w.Holders, len(w.Engines)-1)] {
		get(loads, key).Memory += w.Share
	}
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
