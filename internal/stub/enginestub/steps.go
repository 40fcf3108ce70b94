package enginestub

import (
	"time"
)

// step is one iteration of the batch.
type step struct {
	duration time.Duration
	prefill  map[*job]uint32 // tokens computed per job
}

// runSteps plays the steps of the batch until the engine is closed.
func (e *Engine) runSteps() {
	defer e.stopped.Done()
	for {
		planned, ok := e.planStep(time.Now())
		if !ok {
			select {
			case <-e.wake:
				continue
			case <-e.closed:
				return
			}
		}
		select {
		case <-time.After(planned.duration):
		case <-e.closed:
			return
		}
		e.finishStep(time.Now(), planned)
	}
}

// planStep admits waiting jobs and shares out the prefill chunk. It reports
// false if there is nothing to do.
func (e *Engine) planStep(now time.Time) (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen {
		return step{}, false
	}
	e.admitWaiting(now)
	if len(e.running) == 0 {
		return step{}, false
	}
	planned := step{prefill: make(map[*job]uint32)}
	budget := e.options.ChunkTokens
	for _, j := range e.byPriority() {
		share := min(budget, j.prefillLeft)
		if share > 0 {
			planned.prefill[j] = share
			budget -= share
		}
	}
	chunk := e.options.ChunkTokens - budget
	planned.duration = e.options.StepTime +
		time.Duration(len(e.running))*e.options.StepTimePerEntry +
		time.Duration(float64(chunk)/e.options.PrefillRate*float64(time.Second))
	return planned, true
}

// admitWaiting moves jobs into the batch in their order while there is memory.
// No job overtakes one before it.
func (e *Engine) admitWaiting(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxBatch {
		j := e.waiting[0]
		if e.used+uint64(j.tokens) > e.options.CapacityTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.start(now, j)
	}
}

func (e *Engine) start(now time.Time, j *job) {
	if j.crashes && e.options.Crash != nil {
		e.options.Crash()
	}
	e.used += uint64(j.tokens)
	j.state = stateRunning
	j.cached = min(e.cache.lookup(j.prefixes), j.prefillLeft)
	j.prefillLeft -= j.cached
	j.run.Started = true
	j.run.StartedMS = now.UnixMilli()
	j.run.CachedTokens = j.cached
	j.run.Version = e.orders.version
	e.running = append(e.running, j)
}

// byPriority returns the running jobs that have prefill left, in order.
func (e *Engine) byPriority() []*job {
	var jobs []*job
	for _, j := range e.running {
		if j.prefillLeft > 0 {
			jobs = append(jobs, j)
		}
	}
	sortJobs(jobs)
	return jobs
}

// finishStep gives each job its progress of the step.
func (e *Engine) finishStep(now time.Time, done step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen {
		return
	}
	for _, j := range append([]*job(nil), e.running...) {
		if share, ok := done.prefill[j]; ok {
			j.prefillLeft -= share
			e.finishPrefill(now, j)
			continue
		}
		e.advance(j)
	}
}

// finishPrefill acts once the whole prompt of a job is computed. The last
// chunk of the prefill also yields the first token.
func (e *Engine) finishPrefill(now time.Time, j *job) {
	if j.prefillLeft > 0 {
		return
	}
	e.cache.insert(now, j.prefixes)
	e.advance(j)
}

// advance generates one token of a job whose prompt is computed.
func (e *Engine) advance(j *job) {
	if j.prefillLeft > 0 {
		return
	}
	if j.run.FirstTokenUS == 0 {
		j.run.FirstTokenUS = time.Since(j.run.accepted).Microseconds()
	}
	if j.generated < j.limit {
		j.generated++
	}
	if j.generated >= j.limit {
		e.running = deleteJob(e.running, j)
		j.end(stateFinished, "")
		if j.kind == KindPrefill {
			e.export(j)
		}
	}
	j.signal()
}
