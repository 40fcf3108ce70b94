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

// raceEngine is the oracle's engine: it obeys any order, or any whose fencing
// number is not lower than the last.
type raceEngine struct {
	name       upstream.Name
	checks     bool
	showsFence bool
	version    string
	loading    string
	loadLeft   int
	fence      uint64
	pulls      int
}

func (e *raceEngine) obey(order *upstream.Order) {
	if e.checks && order.Fence < e.fence {
		return
	}
	e.fence = order.Fence
	switch order.Version {
	case e.loading:
	case e.version:
		e.loading = ""
	default:
		e.loading, e.loadLeft = order.Version, raceLoadTime
		e.pulls++
	}
}

func (e *raceEngine) step() {
	if e.loading == "" {
		return
	}
	e.loadLeft--
	if e.loadLeft <= 0 {
		e.version, e.loading = e.loading, ""
	}
}

func (e *raceEngine) report() *upstream.Report {
	r := &upstream.Report{Version: e.version, LoadingVersion: e.loading}
	if e.checks || e.showsFence {
		r.Fence = e.fence
	}
	return r
}

// raceHost believes that it owns all engines.
type raceHost struct {
	planner  *Planner
	view     View
	paused   bool
	reports  []*upstream.Report
	readAt   []time.Time
	outgoing []lateOrder // planned, not yet sent when the host was paused
}

type lateOrder struct {
	engine int
	order  *upstream.Order
}

// race holds several owners of the same engines and the orders on their way.
// Configuration revision n wants version "v(n mod 3)" and withdraws the next.
type race struct {
	t       *rapid.T
	now     time.Time
	newest  uint64
	engines []*raceEngine
	hosts   []*raceHost
	pool    []lateOrder
}

func newRace(t *rapid.T) *race {
	r := &race{t: t, now: testStart, newest: 1}
	for i := range raceEngines {
		checks := rapid.Bool().Draw(t, "checks")
		shows := rapid.Bool().Draw(t, "shows")
		r.engines = append(r.engines, &raceEngine{
			name: upstream.Name(fmt.Sprintf("e%d", i)), checks: checks, showsFence: shows, version: "v1",
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

// step lets time pass; hosts that run read reports at random and plan.
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
			Name: e.name, ChecksFence: e.checks, Desired: desiredAt(h.view.Revision),
			Report: h.reports[i], ReadAt: h.readAt[i],
		})
	}
	for _, d := range h.planner.Plan(r.now, &h.view, engines) {
		if d.Order == nil {
			continue
		}
		assert.Assert(r.t, d.Order.Fence >= h.view.NewestRevision, "host ordered %d though it knew of %d", d.Order.Fence, h.view.NewestRevision)
		at := slices.IndexFunc(r.engines, func(e *raceEngine) bool { return e.name == d.Engine })
		h.outgoing = append(h.outgoing, lateOrder{engine: at, order: d.Order})
	}
	r.send(h)
}

// send puts planned orders on their way: most arrive, some are late.
func (r *race) send(h *raceHost) {
	for _, o := range h.outgoing {
		if rapid.IntRange(0, 4).Draw(r.t, "late") == 0 {
			r.pool = append(r.pool, o)
			continue
		}
		r.engines[o.engine].obey(o.order)
	}
	h.outgoing = nil
}

func (r *race) deliverLate() {
	if len(r.pool) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.pool)-1).Draw(r.t, "order")
	o := r.pool[i]
	r.pool = slices.Delete(r.pool, i, i+1)
	r.engines[o.engine].obey(o.order)
}

// learn tells the host the newest revision, or only that it exists.
func (r *race) learn(h *raceHost) {
	if h.paused {
		return
	}
	h.view.NewestRevision = r.newest
	if rapid.Bool().Draw(r.t, "fetched") {
		h.view.Revision = r.newest
		h.view.ConfirmedAt = r.now
	}
}

func (r *race) wake(h *raceHost) {
	if h.paused {
		h.paused = false
		h.view.Settled = false
		h.view.ResumedAt = r.now
	}
}

// heal ends all faults: every host runs, holds the newest revision and keeps it
// confirmed; late orders arrive.
func (r *race) heal() {
	for _, h := range r.hosts {
		r.wake(h)
		h.view.Revision, h.view.NewestRevision = r.newest, r.newest
		h.view.Settled = true
	}
	for len(r.pool) > 0 {
		r.deliverLate()
	}
}

// TestEnginesEndInTheNewestDesiredState fuzzes several owners at once, pauses,
// lagging revisions and late orders against engines that check and engines that
// ignore fencing numbers.
func TestEnginesEndInTheNewestDesiredState(t *testing.T) {
	// Per engine three slots of one second until a host has one, three engines
	// in a row, one repetition after 5 s for an order that was lost, and the load.
	const boundSteps = 4 * (3*3 + 5 + 3*3 + 2)
	rapid.Check(t, func(t *rapid.T) {
		r := newRace(t)
		t.Repeat(map[string]func(*rapid.T){
			"step":    func(*rapid.T) { r.step() },
			"publish": func(*rapid.T) { r.newest++ },
			"learn":   func(*rapid.T) { r.learn(r.drawHost()) },
			"late":    func(*rapid.T) { r.deliverLate() },
			"pause":   func(*rapid.T) { r.drawHost().paused = true },
			"wake":    func(*rapid.T) { r.wake(r.drawHost()) },
			"settle":  func(*rapid.T) { r.drawHost().view.Settled = true },
		})
		r.heal()
		for range boundSteps {
			for _, h := range r.hosts {
				h.view.ConfirmedAt = r.now
			}
			r.step()
			r.pool = nil
		}
		for _, e := range r.engines {
			want := desiredAt(r.newest).Version
			assert.Equal(t, e.version, want, "engine %+v", *e)
			assert.Equal(t, e.loading, "")
		}
	})
}

// TestLateOwnerDoesNotWin: a host wakes up with an old desired state while the
// owner after it holds a newer one.
func TestLateOwnerDoesNotWin(t *testing.T) {
	for _, checks := range []bool{true, false} {
		engine := &raceEngine{name: "e", checks: checks, version: "v2", fence: 8}
		view := soleView()
		now := testStart.Add(time.Minute)
		late := Engine{Name: "e", ChecksFence: checks, Desired: desiredAt(5), Report: &upstream.Report{Version: "v1"}, ReadAt: testStart}
		view.ResumedAt = now
		planner := NewPlanner(testStart)
		assert.Assert(t, planner.Plan(now, view, []Engine{late})[0].Order == nil, "report from before the pause")
		late.Report, late.ReadAt = engine.report(), now
		view.Settled = false
		assert.Assert(t, allHeld(planner.Plan(now, view, []Engine{late})), "not settled")
		view.Settled, view.NewestRevision = true, 8
		assert.Assert(t, allHeld(planner.Plan(now, view, []Engine{late})), "a peer stated a higher revision")
	}
}

func allHeld(decisions []Decision) bool {
	return !slices.ContainsFunc(decisions, func(d Decision) bool { return d.Order != nil })
}
