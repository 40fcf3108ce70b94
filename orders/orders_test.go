package orders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/ident"
	_ "github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/upstream"
)

var testStart = time.Unix(1_800_000_000, 0)

func TestDesiredCoversListedEnginesOfConfiguredModels(t *testing.T) {
	cfg, err := config.Parse(9, []byte("format = 1\n[models.m]\nversion = \"v3\"\nwithdrawn = [\"v2\"]\n"))
	assert.NilError(t, err)
	orders := Desired(cfg, []upstream.Info{
		{Name: "e1", Kind: upstream.KindEngine, Model: "m"},
		{Name: "e2", Kind: upstream.KindEngine, Model: "other"},
		{Name: "e3", Kind: upstream.KindEngine, Model: "m", Leaving: true},
		{Name: "s1", Kind: upstream.KindService},
	})
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders["e1"].Fence, uint64(9))
	assert.Equal(t, orders["e1"].Version, "v3")
	assert.DeepEqual(t, orders["e1"].Withdrawn, []string{"v2"})
}

func singleHostView() *View {
	return &View{
		Self: "a", Hosts: []ident.Host{"a"}, Revision: 5, NewestRevision: 5,
		ConfirmedAt: testStart, ResumedAt: testStart, Settled: true, PullsPerSecond: 1,
	}
}

func planOne(view *View, e Engine) Decision {
	now := testStart.Add(time.Second)
	decisions := NewPlanner(testStart).Plan(now, view, []Engine{e})
	if len(decisions) == 0 {
		return Decision{}
	}
	return decisions[0]
}

func TestPlanHoldsOrders(t *testing.T) {
	order := &upstream.Order{Fence: 5, Version: "v2"}
	engine := Engine{Name: "e", Desired: order, Report: &upstream.Report{Version: "v1"}, ReadAt: testStart}
	assert.Equal(t, planOne(singleHostView(), engine).Order, order)
	cases := []struct {
		hold   Hold
		change func(v *View, e *Engine)
	}{
		{HoldOutdated, func(v *View, _ *Engine) { v.NewestRevision = 6 }},
		{HoldOutdated, func(_ *View, e *Engine) { e.Report = &upstream.Report{Version: "v1", Fence: 6} }},
		{HoldUnsettled, func(v *View, _ *Engine) { v.Settled = false }},
		{HoldStaleReport, func(v *View, _ *Engine) { v.ResumedAt = testStart.Add(time.Millisecond) }},
		{HoldStaleReport, func(_ *View, e *Engine) { e.ReadAt = testStart.Add(-2 * time.Second) }},
		{HoldStaleReport, func(_ *View, e *Engine) { e.Report = nil }},
		{HoldUnconfirmed, func(v *View, _ *Engine) { v.ConfirmedAt = testStart.Add(-10 * time.Second) }},
		{HoldPullRate, func(v *View, _ *Engine) { v.PullsPerSecond = 0 }},
	}
	for _, c := range cases {
		view, e := singleHostView(), engine
		c.change(view, &e)
		d := planOne(view, e)
		assert.Equal(t, d.Hold, c.hold)
		assert.Assert(t, d.Order == nil)
	}
}

// TestRestartsDoNotExceedThePullRate checks that no slot exceeds its pulls while
// hosts restart at random and take as many pulls as they can.
func TestRestartsDoNotExceedThePullRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.25, 1, 3, 10}).Draw(t, "rate")
		count := rapid.IntRange(1, 20).Draw(t, "hosts")
		schedule := newPullSchedule(rate)
		var hosts []ident.Host
		var planners []*Planner
		for i := range count {
			hosts = append(hosts, ident.Host(fmt.Sprintf("h%d", i)))
			planners = append(planners, NewPlanner(testStart.Add(-time.Hour)))
		}
		total := 0
		perSlot := make(map[int64]int64)
		now := testStart
		const steps = 160
		for range steps {
			now = now.Add(250 * time.Millisecond)
			for i, host := range hosts {
				if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
					planners[i] = NewPlanner(now)
				}
				view := &View{Self: host, Hosts: hosts, PullsPerSecond: rate}
				for {
					if _, ok := planners[i].takePull(now, view); !ok {
						break
					}
					number, _ := schedule.at(now)
					perSlot[number]++
					total++
				}
			}
		}
		for number, pulls := range perSlot {
			assert.Assert(t, pulls <= schedule.pulls, "slot %d has %d pulls", number, pulls)
		}
	})
}

// TestAllPullsAreAssigned checks that every pull of a slot is assigned to a host.
func TestAllPullsAreAssigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := newPullSchedule(rapid.Float64Range(0.1, 50).Draw(t, "rate"))
		number := rapid.Int64Range(0, 1<<40).Draw(t, "slot")
		var hosts []ident.Host
		for i := range rapid.IntRange(1, 30).Draw(t, "hosts") {
			hosts = append(hosts, ident.Host(fmt.Sprintf("h%d", i)))
		}
		var total int64
		for _, host := range hosts {
			total += schedule.share(number, host, hosts)
		}
		assert.Equal(t, total, schedule.pulls)
	})
}

// BenchmarkPlan measures Desired and Plan of an owner whose engines all match
// their orders.
func BenchmarkPlan(b *testing.B) {
	cfg, err := config.Parse(9, []byte("format = 1\n[models.m]\nversion = \"v3\"\n"))
	assert.NilError(b, err)
	for _, owned := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("owned=%d", owned), func(b *testing.B) {
			infos := make([]upstream.Info, owned)
			for i := range infos {
				infos[i] = upstream.Info{Name: upstream.Name(fmt.Sprintf("e%d", i)), Kind: upstream.KindEngine, Model: "m"}
			}
			view := singleHostView()
			planner := NewPlanner(testStart)
			for b.Loop() {
				desired := Desired(cfg, infos)
				engines := make([]Engine, 0, owned)
				for _, info := range infos {
					engines = append(engines, Engine{Name: info.Name, Desired: desired[info.Name], Report: &upstream.Report{Version: "v3", Role: "mixed"}})
				}
				planner.Plan(testStart, view, engines)
			}
		})
	}
}
