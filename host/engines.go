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
	strikeFanout   = 16                     // hosts notified immediately of a crash
	maxReportCalls = 16                     // concurrent reads of reports
)

var upstreamEvents = map[chart.State]event.Event{
	chart.UpstreamUp:      event.UpstreamUp,
	chart.UpstreamDown:    event.UpstreamDown,
	chart.UpstreamLeaving: event.UpstreamLeaving,
}

// applyUpstreamChanges logs state changes of upstreams and applies them to the
// placement.
func (h *Host) applyUpstreamChanges(changes []directory.Change) {
	if len(changes) == 0 {
		return
	}
	h.placement.applyChanges(changes, h.directory)
	for _, change := range changes {
		if change.Restarted {
			h.recordCrash(change.Name, change.Previous)
		}
		if e, ok := upstreamEvents[change.State]; ok {
			h.log.Emit(e).Str("upstream", string(change.Name)).Bool("restarted", change.Restarted).Msg("")
		}
	}
}

// recordCrash records a strike against the content that this host ran on the
// crashed incarnation of an engine. It notifies other hosts immediately,
// because the caller may send the content again through any of them before the
// next heartbeat.
func (h *Host) recordCrash(name upstream.Name, incarnation uint64) {
	count := h.strikes.crashed(time.Now(), name, incarnation)
	if count == 0 {
		return
	}
	h.log.Emit(event.ContentStruck).Str("upstream", string(name)).Int("suspects", count).Msg("")
	for _, probe := range h.agreement.randomProbes(time.Now(), strikeFanout) {
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

// manageOwnedEngines periodically reads the reports of owned engines, updates
// their accounts, reclaims abandoned work and sends orders.
func (h *Host) manageOwnedEngines(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		owned := h.ownedEngines()
		h.readReports(ctx, owned, h.handleOwnedReport)
		h.sendOrders(ctx, owned)
		period := max(h.fleetPolicy().ReportPeriod, ownerUpdatePeriod)
		ctxtime.Sleep(ctx, period-time.Since(started))
	}
}

// sampleEngines reads the reports of engines that other hosts own, at a
// constant rate and in random order, for their capacity and their prefix
// caches.
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
// those without a report first.
func (h *Host) otherEngines() []upstream.Name {
	var unreported, reported []upstream.Name
	for _, s := range h.directory.Engines() {
		switch {
		case h.agreement.owner(s.Info.Name) == h.self:
		case s.Report == nil:
			unreported = append(unreported, s.Info.Name)
		default:
			reported = append(reported, s.Info.Name)
		}
	}
	rand.Shuffle(len(unreported), func(i, j int) { unreported[i], unreported[j] = unreported[j], unreported[i] })
	rand.Shuffle(len(reported), func(i, j int) { reported[i], reported[j] = reported[j], reported[i] })
	return append(unreported, reported...)
}

// readReports reads one report from each engine and passes it to handle,
// unless handle is nil.
func (h *Host) readReports(ctx context.Context, names []upstream.Name, handle func(context.Context, upstream.Engine, *upstream.Report, time.Time)) {
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
			requestedAt := time.Now()
			report, ok := h.readReport(ctx, name, engine)
			if ok && handle != nil {
				handle(ctx, engine, report, requestedAt)
			}
		})
	}
	group.Wait()
}

func (h *Host) readReport(ctx context.Context, name upstream.Name, engine upstream.Engine) (*upstream.Report, bool) {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requestedAt := time.Now()
	report, err := engine.Report(call)
	if err != nil {
		if ctx.Err() == nil {
			h.applyUpstreamChanges(h.directory.ReportLost(time.Now(), name, h.fleetPolicy().SuspectTime))
		}
		return nil, false
	}
	h.applyReport(requestedAt, report)
	return report, true
}

// applyReport updates the directory and the placement with a report.
func (h *Host) applyReport(requestedAt time.Time, report *upstream.Report) {
	h.applyUpstreamChanges(h.directory.ApplyReport(time.Now(), requestedAt, report))
	h.placement.applyReport(report)
}

func (p *placement) applyReport(report *upstream.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engineSet.Report(report)
}

// handleOwnedReport updates the account of an owned engine and reclaims its
// abandoned work.
func (h *Host) handleOwnedReport(ctx context.Context, engine upstream.Engine, report *upstream.Report, _ time.Time) {
	h.placement.updateAccount(report, h.upstreamPolicy(report.Name))
	h.reclaimAbandoned(ctx, engine, report)
}

func (h *Host) upstreamPolicy(name upstream.Name) config.UpstreamPolicy {
	cfg, ok := h.agreement.config()
	if !ok {
		return config.UpstreamPolicy{AcceptWork: true, CapacityShare: 1}
	}
	return cfg.Upstream(string(name))
}

// updateAccount updates the account of an owned engine with a report.
func (p *placement) updateAccount(report *upstream.Report, policy config.UpstreamPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	owner, ok := p.owners[report.Name]
	if !ok {
		return
	}
	adjusted := lease.ReportOf(report)
	adjusted.CapacityTokens = leasableTokens(report.CapacityTokens, policy.CapacityShare)
	adjusted.Leaving = adjusted.Leaving || !policy.AcceptWork || report.Version == ""
	owner.Report(time.Now(), adjusted)
}

// reclaimAbandoned cancels attempts on an owned engine if their deadline has
// passed or is invalid, or if the host that started them has failed or was
// restarted.
func (h *Host) reclaimAbandoned(ctx context.Context, engine upstream.Engine, report *upstream.Report) {
	attempts := reclaim.Attempts(report)
	view := h.agreement.reclaimView()
	for _, abandoned := range reclaim.Judge(time.Now(), reclaim.DefaultOptions(), view, attempts) {
		call, cancel := context.WithTimeout(ctx, cancelTimeout)
		err := engine.Cancel(call, abandoned.Attempt)
		cancel()
		h.log.Emit(event.UpstreamReclaimed).Str("upstream", string(report.Name)).
			Str("attempt", abandoned.Attempt.String()).Stringer("reason", abandoned.Reason).Err(err).Msg("")
	}
}
