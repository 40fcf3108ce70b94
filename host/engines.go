package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/directory"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/lease"
	"github.com/citronscale/citronscale/reclaim"
	"github.com/citronscale/citronscale/upstream"
)

const (
	stateLeaving = chart.UpstreamLeaving
	stateDown    = chart.UpstreamDown

	reportTimeout  = time.Second            // of one report
	samplePeriod   = 100 * time.Millisecond // between two reports read from engines of other hosts
	strikeFanout   = 16                     // hosts told at once that content crashed an engine
	maxReportCalls = 16                     // reports read at once
)

var upstreamEvents = map[chart.State]event.Event{
	chart.UpstreamUp:      event.UpstreamUp,
	chart.UpstreamDown:    event.UpstreamDown,
	chart.UpstreamLeaving: event.UpstreamLeaving,
}

// noteUpstreams logs new states of upstreams and hands them to the placement.
func (h *Host) noteUpstreams(changes []directory.Change) {
	if len(changes) == 0 {
		return
	}
	h.placement.noteChanges(changes, h.directory)
	for _, change := range changes {
		if change.Restarted {
			h.noteCrash(change.Name, change.Previous)
		}
		if e, ok := upstreamEvents[change.State]; ok {
			h.log.Emit(e).Str("upstream", string(change.Name)).Bool("restarted", change.Restarted).Msg("")
		}
	}
}

// noteCrash strikes the own content that ran on an incarnation of an engine
// that ended, and tells other hosts at once: the caller may send the content
// again through any of them before the next heartbeat.
func (h *Host) noteCrash(name upstream.Name, incarnation uint64) {
	count := h.strikes.crashed(time.Now(), name, incarnation)
	if count == 0 {
		return
	}
	h.log.Emit(event.ContentStruck).Str("upstream", string(name)).Int("suspects", count).Msg("")
	for _, probe := range h.agreement.announceTo(time.Now(), strikeFanout) {
		go h.sendProbe(context.Background(), probe, h.heartbeatPeriod())
	}
}

// fleetPolicy returns the values of the configuration in force, or the zero
// value while there is none.
func (h *Host) fleetPolicy() config.FleetPolicy {
	cfg, ok := h.agreement.config()
	if !ok {
		return config.FleetPolicy{}
	}
	return cfg.Fleet()
}

// tendEngines reads the reports of owned engines and acts on them: accounts,
// work that nobody waits for, orders.
func (h *Host) tendEngines(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		owned := h.ownedEngines()
		h.readReports(ctx, owned, h.tendEngine)
		h.giveOrders(ctx, owned)
		period := max(h.fleetPolicy().ReportPeriod, ownerTick)
		ctxtime.Sleep(ctx, period-time.Since(started))
	}
}

// sampleEngines reads the reports of other engines at a constant rate, for
// their capacity and their prefix caches, in random order.
func (h *Host) sampleEngines(ctx context.Context) {
	var pending []upstream.Name
	for ctx.Err() == nil {
		if len(pending) == 0 {
			pending = h.otherEngines()
		}
		if len(pending) > 0 {
			h.readReports(ctx, pending[:1], nil)
			pending = pending[1:]
		}
		ctxtime.Sleep(ctx, jitter(samplePeriod))
	}
}

// otherEngines returns the engines that this host doesn't own in random order,
// those without any report first.
func (h *Host) otherEngines() []upstream.Name {
	var fresh, known []upstream.Name
	for _, s := range h.directory.Engines() {
		switch {
		case h.agreement.owner(s.Info.Name) == h.self:
		case s.Report == nil:
			fresh = append(fresh, s.Info.Name)
		default:
			known = append(known, s.Info.Name)
		}
	}
	rand.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return append(fresh, known...)
}

// readReports reads one report from each engine and calls act, if any, with it.
func (h *Host) readReports(ctx context.Context, names []upstream.Name, act func(context.Context, upstream.Engine, *upstream.Report, time.Time)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxReportCalls)
	for _, name := range names {
		engine, ok := h.directory.Engine(name)
		if !ok {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			asked := time.Now()
			report, ok := h.readReport(ctx, name, engine)
			if ok && act != nil {
				act(ctx, engine, report, asked)
			}
		})
	}
	group.Wait()
}

func (h *Host) readReport(ctx context.Context, name upstream.Name, engine upstream.Engine) (*upstream.Report, bool) {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	report, err := engine.Report(call)
	if err != nil {
		if ctx.Err() == nil {
			h.noteUpstreams(h.directory.ReportLost(time.Now(), name, h.fleetPolicy().SuspectTime))
		}
		return nil, false
	}
	h.takeReport(asked, report)
	return report, true
}

// takeReport hands a report to the directory and the placement.
func (h *Host) takeReport(asked time.Time, report *upstream.Report) {
	h.noteUpstreams(h.directory.Reported(time.Now(), asked, report))
	h.placement.takeReport(report)
}

func (p *placement) takeReport(report *upstream.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set.Report(report)
}

// tendEngine acts on the report of an owned engine.
func (h *Host) tendEngine(ctx context.Context, engine upstream.Engine, report *upstream.Report, _ time.Time) {
	h.placement.account(report, h.upstreamPolicy(report.Name))
	h.reclaimWork(ctx, engine, report)
}

func (h *Host) upstreamPolicy(name upstream.Name) config.UpstreamPolicy {
	cfg, ok := h.agreement.config()
	if !ok {
		return config.UpstreamPolicy{AcceptWork: true, CapacityShare: 1}
	}
	return cfg.Upstream(string(name))
}

// account books a report into the account of an owned engine.
func (p *placement) account(report *upstream.Report, policy config.UpstreamPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	owner, ok := p.owners[report.Name]
	if !ok {
		return
	}
	booked := lease.ReportOf(report)
	booked.CapacityTokens = lendable(report.CapacityTokens, policy.CapacityShare)
	booked.Leaving = booked.Leaving || !policy.AcceptWork || report.Version == ""
	owner.Report(time.Now(), booked)
}

// reclaimWork cancels work on an owned engine that nobody waits for.
func (h *Host) reclaimWork(ctx context.Context, engine upstream.Engine, report *upstream.Report) {
	attempts := reclaim.Attempts(report)
	view := h.agreement.reclaimView()
	for _, lost := range reclaim.Judge(time.Now(), reclaim.DefaultOptions(), view, attempts) {
		call, cancel := context.WithTimeout(ctx, cancelTimeout)
		err := engine.Cancel(call, lost.Attempt)
		cancel()
		h.log.Emit(event.UpstreamReclaimed).Str("upstream", string(report.Name)).
			Str("attempt", lost.Attempt.String()).Stringer("reason", lost.Reason).Err(err).Msg("")
	}
}
