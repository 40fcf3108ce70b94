package enginestub

import (
	"slices"
	"time"

	"github.com/citronscale/citronscale/ident"
)

type jobState int

const (
	stateWaiting jobState = iota
	stateRunning
	stateFinished // all tokens are generated
	stateCancelled
	stateFailed
)

// job is one attempt that waits for or takes part in the batch. The lock of
// the engine guards its fields.
type job struct {
	attempt  ident.Attempt
	key      string // textual form of attempt
	kind     string
	priority int
	arrival  uint64
	tokens   uint32 // KV memory taken at admission
	blocks   []uint64
	digest   uint64
	prefixes []uint64
	crashes  bool   // the prompt holds the crash marker
	part     uint32 // of a prefill

	state       jobState
	prefillLeft uint32
	cached      uint32
	generated   uint64 // offset of the next token
	limit       uint64
	reason      string // why the answer ends at limit
	fault       string
	changed     chan struct{} // capacity 1; signals progress to the handler
	run         *Run
}

// before orders jobs by priority and arrival.
func (j *job) before(other *job) bool {
	if j.priority != other.priority {
		return j.priority < other.priority
	}
	return j.arrival < other.arrival
}

func (j *job) signal() {
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

func (j *job) end(state jobState, fault string) {
	j.state = state
	j.fault = fault
	j.run.Cancelled = state == stateCancelled
	j.run.EndedMS = time.Now().UnixMilli()
	j.signal()
}

// enqueue puts a job into the queue. The caller holds the lock.
func (e *Engine) enqueue(j *job) {
	e.arrivals++
	j.arrival = e.arrivals
	e.jobs[j.key] = j
	e.addRun(j.run)
	at, _ := slices.BinarySearchFunc(e.waiting, j, compareJobs)
	e.waiting = slices.Insert(e.waiting, at, j)
	e.signal()
}

func compareJobs(a, b *job) int {
	if a.before(b) {
		return -1
	}
	return 1
}

// remove takes a job out of the queue and the batch and frees its memory. The
// caller holds the lock.
func (e *Engine) remove(j *job) {
	if e.jobs[j.key] != j {
		return
	}
	delete(e.jobs, j.key)
	waiting := len(e.waiting)
	e.waiting = deleteJob(e.waiting, j)
	if len(e.waiting) == waiting {
		e.used -= uint64(j.tokens)
	}
	e.running = deleteJob(e.running, j)
	e.signal()
}

func deleteJob(jobs []*job, j *job) []*job {
	return slices.DeleteFunc(jobs, func(other *job) bool { return other == j })
}
