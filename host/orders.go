package host

import (
	"context"
	"sync"
	"time"

	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/orders"
	"github.com/citronscale/citronscale/upstream"
)

const orderTimeout = 2 * time.Second // for an engine to acknowledge an order

// planner guards the order planner with a mutex.
type planner struct {
	mu      sync.Mutex
	planner *orders.Planner
}

func newPlanner(now time.Time) *planner {
	return &planner{planner: orders.NewPlanner(now)}
}

func (p *planner) plan(now time.Time, view *orders.View, engines []orders.Engine) []orders.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.Plan(now, view, engines)
}

// sendOrders compares the owned engines with the configuration and sends orders
// to those that differ from it.
func (h *Host) sendOrders(ctx context.Context, owned []upstream.Name) {
	cfg, ok := h.agreement.config()
	if !ok {
		return
	}
	var infos []upstream.Info
	var engines []orders.Engine
	for _, name := range owned {
		status, ok := h.directory.Status(name)
		if !ok {
			continue
		}
		infos = append(infos, status.Info)
		engines = append(engines, orders.Engine{
			Name: name, ChecksFence: status.Info.ChecksFence, Report: status.Report, ReadAt: status.ReportAt,
		})
	}
	desired := orders.Desired(cfg, infos)
	for i := range engines {
		engines[i].Desired = desired[engines[i].Name]
	}
	view := h.agreement.orderView(time.Now())
	view.PullsPerSecond = cfg.Fleet().WeightPulls
	for _, decision := range h.planner.plan(time.Now(), view, engines) {
		if decision.Order != nil {
			h.sendOrder(ctx, decision)
		}
	}
}

// sendOrder sends an order unless the time limit for sending it has passed.
func (h *Host) sendOrder(ctx context.Context, decision orders.Decision) {
	engine, ok := h.directory.Engine(decision.Engine)
	if !ok || !time.Now().Before(decision.SendBefore) {
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := engine.Order(call, decision.Order)
	e := event.UpstreamOrdered
	if err != nil {
		e = event.UpstreamOrderFailed
	}
	h.log.Emit(e).Str("upstream", string(decision.Engine)).Uint64("fence", decision.Order.Fence).
		Str("model", decision.Order.Model).Str("version", decision.Order.Version).Err(err).Msg("")
}
