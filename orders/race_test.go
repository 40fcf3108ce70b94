package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

const (
	raceStep     = 250 * time.Millisecond
	raceEngines  = 3
	raceHosts    = 3
	raceLoadTime = 4 // steps
)

// raceEngine models an engine. It executes every order or, if it checks fencing
// tokens, every order whose token is not lower than the last one.
type raceEngine struct {
	name          upstream.Name
	checksFence   bool
	reportsFence  bool
	version       string
	loading       string
	loadStepsLeft int
	fence         uint64
	pulls         int
}

func (e *raceEngine) execute(order *upstream.Order) {
	if e.checksFence && order.Fence < e.fence {
		return
	}
	e.fence = order.Fence
	switch order.Version {
	case e.loading:
	case e.version:
		e.loading = ""
	default:
		e.loading, e.loadStepsLeft = order.Version, raceLoadTime
		e.pulls++
	}
}

func (e *raceEngine) step() {
	if e.loading == "" {
		return
	}
	e.loadStepsLeft--
	if e.loadStepsLeft <= 0 {
		e.version, e.loading = e.loading, ""
	}
}

func (e *raceEngine) report() *upstream.Report {
	r := &upstream.Report{Version: e.version, LoadingVersion: e.loading}
	if e.checksFence || e.reportsFence {
		r.Fence = e.fence
	}
	return r
}

// raceHost models a host that acts as the owner of all engines.
type raceHost struct {
	planner  *Planner
	view     View
	paused   bool
	reports  []*upstream.Report
	readAt   []time.Time
	outgoing []orderInTransit // planned, not yet sent
}

type orderInTransit struct {
	engine int
	order  *upstream.Order
}

// race simulates several owners of the same engines. Configuration revision n
// asks for version "v(n mod 3)" and withdraws version "v((n+1) mod 3)".
type race struct {
	t       *rapid.T
	now     time.Time
	newest  uint64
	engines []*raceEngine
	hosts   []*raceHost
	delayed []orderInTransit // sent, not yet delivered
}

func newRace(t *rapid.T) *race {
	r := &race{t: t, now: testStart, newest: 1}
	for i := range raceEngines {
		checks := rapid.Bool().Draw(t, "checks")
		shows := rapid.Bool().Draw(t, "shows")
		r.engines = append(r.engines, &raceEngine{
			name: upstream.Name(fmt.Sprintf("e%d", i)), checksFence: checks, reportsFence: shows, version: "v1",
		})
	}
	var names []ident.Host
	for i := range raceHosts {
		names = append(names, ident.Host(fmt.Sprintf("h%d", i)))
	}
	for i := range raceHosts {
		r.hosts = append(r.hosts, &raceHost{
			planner: NewPlanner(r.now.Add(-time.Minute)),
			view: View{
				Self: names[i], Hosts: names, Revision: 1, NewestRevision: 1,
				ConfirmedAt: r.now, ResumedAt: r.now, Settled: true, PullsPerSecond: 1,
			},
			reports: make([]*upstream.Report, raceEngines),
			readAt:  make([]time.Time, raceEngines),
		})
	}
	return r
}

func desiredAt(revision uint64) *upstream.Order {
	version := func(n uint64) string { return fmt.Sprintf("v%d", n%3) }
	return &upstream.Order{Fence: revision, Version: version(revision), Withdrawn: []string{version(revision + 1)}}
}

func (r *race) drawHost() *raceHost { return rapid.SampledFrom(r.hosts).Draw(r.t, "host") }

// step advances the time. Running hosts read reports at random and plan.
func (r *race) step() {
	r.now = r.now.Add(raceStep)
	for _, e := range r.engines {
		e.step()
	}
	for _, h := range r.hosts {
		if !h.paused {
			r.plan(h)
		}
	}
}

func (r *race) plan(h *raceHost) {
	engines := make([]Engine, 0, raceEngines)
	for i, e := range r.engines {
		if rapid.IntRange(0, 3).Draw(r.t, "read") > 0 {
			h.reports[i], h.readAt[i] = e.report(), r.now
		}
		engines = append(engines, Engine{
			Name: e.name, ChecksFence: e.checksFence, Desired: desiredAt(h.view.Revision),
			Report: h.reports[i], ReadAt: h.readAt[i],
		})
	}
	for _, d := range h.planner.Plan(r.now, &h.view, engines) {
		if d.Order == nil {
			continue
		}
		assert.Assert(r.t, d.Order.Fence >= h.view.NewestRevision, "host sent an order of revision %d but knew revision %d", d.Order.Fence, h.view.NewestRevision)
		at := slices.IndexFunc(r.engines, func(e *raceEngine) bool { return e.name == d.Engine })
		h.outgoing = append(h.outgoing, orderInTransit{engine: at, order: d.Order})
	}
	r.send(h)
}

// send delivers most planned orders immediately and delays some.
func (r *race) send(h *raceHost) {
	for _, o := range h.outgoing {
		if rapid.IntRange(0, 4).Draw(r.t, "late") == 0 {
			r.delayed = append(r.delayed, o)
			continue
		}
		r.engines[o.engine].execute(o.order)
	}
	h.outgoing = nil
}

func (r *race) deliverDelayed() {
	if len(r.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.delayed)-1).Draw(r.t, "order")
	o := r.delayed[i]
	r.delayed = slices.Delete(r.delayed, i, i+1)
	r.engines[o.engine].execute(o.order)
}

// learnRevision updates the newest revision that a running host knows. At random
// the host also fetches it.
func (r *race) learnRevision(h *raceHost) {
	if h.paused {
		return
	}
	h.view.NewestRevision = r.newest
	if rapid.Bool().Draw(r.t, "fetched") {
		h.view.Revision = r.newest
		h.view.ConfirmedAt = r.now
	}
}

func (r *race) resume(h *raceHost) {
	if h.paused {
		h.paused = false
		h.view.Settled = false
		h.view.ResumedAt = r.now
	}
}

// endFaults ends all faults: every host runs and has the newest revision, and
// delayed orders are delivered.
func (r *race) endFaults() {
	for _, h := range r.hosts {
		r.resume(h)
		h.view.Revision, h.view.NewestRevision = r.newest, r.newest
		h.view.Settled = true
	}
	for len(r.delayed) > 0 {
		r.deliverDelayed()
	}
}

// TestEnginesConvergeToTheNewestRevision runs several owners at once, with random
// pauses, outdated revisions and delayed orders, against engines that check
// fencing tokens and engines that ignore them.
func TestEnginesConvergeToTheNewestRevision(t *testing.T) {
	// Four steps per second: three engines in turn wait up to three slots of 1 s
	// for a pull, a lost order is repeated after 5 s and waits again, and the
	// engine loads the version.
	const boundSteps = 4 * (3*3 + 5 + 3*3 + 2)
	rapid.Check(t, func(t *rapid.T) {
		r := newRace(t)
		t.Repeat(map[string]func(*rapid.T){
			"step":    func(*rapid.T) { r.step() },
			"publish": func(*rapid.T) { r.newest++ },
			"learn":   func(*rapid.T) { r.learnRevision(r.drawHost()) },
			"late":    func(*rapid.T) { r.deliverDelayed() },
			"pause":   func(*rapid.T) { r.drawHost().paused = true },
			"wake":    func(*rapid.T) { r.resume(r.drawHost()) },
			"settle":  func(*rapid.T) { r.drawHost().view.Settled = true },
		})
		r.endFaults()
		for range boundSteps {
			for _, h := range r.hosts {
				h.view.ConfirmedAt = r.now
			}
			r.step()
			r.delayed = nil
		}
		for _, e := range r.engines {
			want := desiredAt(r.newest).Version
			assert.Equal(t, e.version, want, "engine %+v", *e)
			assert.Equal(t, e.loading, "")
		}
	})
}

// TestOutdatedOwnerSendsNoOrder guards against a host that resumes with an
// outdated configuration and overrides the order of the newer owner.
func TestOutdatedOwnerSendsNoOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		engine := &raceEngine{name: "e", checksFence: checks, version: "v2", fence: 8}
		view := singleHostView()
		now := testStart.Add(time.Minute)
		outdated := Engine{Name: "e", ChecksFence: checks, Desired: desiredAt(5), Report: &upstream.Report{Version: "v1"}, ReadAt: testStart}
		view.ResumedAt = now
		planner := NewPlanner(testStart)
		assert.Assert(t, planner.Plan(now, view, []Engine{outdated})[0].Order == nil, "report from before the pause")
		outdated.Report, outdated.ReadAt = engine.report(), now
		view.Settled = false
		assert.Assert(t, allHeld(planner.Plan(now, view, []Engine{outdated})), "not settled")
		view.Settled, view.NewestRevision = true, 8
		assert.Assert(t, allHeld(planner.Plan(now, view, []Engine{outdated})), "a peer stated a higher revision")
	}
}

func allHeld(decisions []Decision) bool {
	return !slices.ContainsFunc(decisions, func(d Decision) bool { return d.Order != nil })
}
