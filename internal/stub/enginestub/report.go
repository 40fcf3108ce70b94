package enginestub

import (
	"time"

	"github.com/citronscale/citronscale/upstream/enginewire"
)

// snapshot is the load of the engine at one time.
type snapshot struct {
	at     time.Time
	report enginewire.Report
}

// snapshot describes the engine now. The caller holds the lock.
func (e *Engine) snapshot(now time.Time) snapshot {
	report := enginewire.Report{
		Name:           e.options.Name,
		Model:          e.options.Model,
		Version:        e.orders.version,
		LoadingVersion: e.orders.loading,
		Role:           e.orders.role,
		Incarnation:    e.incarnation,
		AsOfMS:         now.UnixMilli(),
		CapacityTokens: e.options.CapacityTokens,
		UsedTokens:     e.used,
		MaxRunning:     uint32(e.options.MaxBatch),
		Leaving:        e.leaving,
		Fence:          e.orders.fence,
		Adapters:       e.orders.adapters,
	}
	for _, j := range e.waiting {
		report.Waiting = append(report.Waiting, work(j))
	}
	for _, j := range e.jobs {
		if j.state != stateWaiting {
			report.Running = append(report.Running, work(j))
		}
	}
	for _, held := range e.holdings {
		if held.export == nil {
			report.ReservedTokens += uint64(held.tokens)
		}
		report.Held = append(report.Held, enginewire.Work{Attempt: enginewire.Attempt(held.attempt), Tokens: held.tokens})
	}
	return snapshot{at: now, report: report}
}

func work(j *job) enginewire.Work {
	return enginewire.Work{Attempt: enginewire.Attempt(j.attempt), Tokens: j.tokens, Priority: j.priority}
}

// runReports takes snapshots until the engine is closed. A report is the older
// of two, so its age lies between half of the lag and the lag.
func (e *Engine) runReports() {
	defer e.stopped.Done()
	const snapshotsPerLag = 2
	interval := max(e.options.ReportLag/snapshotsPerLag, time.Millisecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.refreshReports(time.Now())
		case <-e.closed:
			return
		}
	}
}

func (e *Engine) refreshReports(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen {
		return
	}
	e.reports[0] = e.reports[1]
	e.reports[1] = e.snapshot(now)
}

// report returns the load with a lag, and the cache events after the given
// sequence number.
func (e *Engine) report(now time.Time, after uint64) enginewire.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.reports[0].report
	report.CacheEvents, report.CacheSequence = e.cache.published(after, now.Add(-e.options.CacheEventLag))
	return report
}
