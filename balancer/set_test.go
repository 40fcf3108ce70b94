package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/upstream"
)

const testModel = "model-a"

func newTestSet(loads []Load) *Set {
	set := NewSet("domain-0", DefaultOptions())
	for i := range loads {
		set.Put(&upstream.Info{Name: loads[i].Name, Model: testModel, FailureDomain: loads[i].FailureDomain})
		set.Report(testReport(&loads[i]))
	}
	return set
}

func testReport(load *Load) *upstream.Report {
	return &upstream.Report{
		Name:           load.Name,
		Model:          testModel,
		Version:        "v1",
		AsOf:           load.AsOf,
		CapacityTokens: load.CapacityTokens,
		UsedTokens:     load.UsedTokens,
	}
}

func TestSetCountsOwnWorkUntilReported(t *testing.T) {
	loads := fleet(1)
	set := newTestSet(loads)
	set.Started(epoch.Add(time.Second), loads[0].Name, ClassShort, 1000)
	set.Started(epoch.Add(2*time.Second), loads[0].Name, ClassLong, 500)
	unreportedTokens := func() uint64 {
		load, ok := set.Load(loads[0].Name)
		assert.Assert(t, ok)
		return load.UnreportedTokens
	}
	assert.Equal(t, unreportedTokens(), uint64(1500))
	loads[0].AsOf = epoch.Add(time.Second)
	set.Report(testReport(&loads[0]))
	assert.Equal(t, unreportedTokens(), uint64(500))
	load, _ := set.Load(loads[0].Name)
	assert.DeepEqual(t, load.ByClass, ByClass{ClassLong: 500})
	set.SetFreeTokens(loads[0].Name, 1000)
	load, _ = set.Load(loads[0].Name)
	assert.Equal(t, load.UsedTokens+load.UnreportedTokens, load.CapacityTokens-1000)
}

func TestSetKeepsCachedPrefixesUntilEvictionOrGap(t *testing.T) {
	loads := fleet(20)
	set := newTestSet(loads)
	holder := loads[7]
	req := &Request{Model: testModel, PromptTokens: 3000, PrefixDigests: []uint64{11, 22}}
	report := testReport(&holder)
	report.CacheEvents = []upstream.CacheEvent{{Sequence: 1, Digest: 22, Tokens: 2048}}
	set.Report(report)
	for range 20 {
		assert.Equal(t, set.Pick(epoch, req, newRand())[0], holder.Name)
	}
	report.CacheEvents = []upstream.CacheEvent{{Sequence: 3, Digest: 99, Tokens: 1024}}
	set.Report(report)
	holders, _ := set.longestCached(req)
	assert.Equal(t, len(holders), 0, "the gap may hide an eviction")
	report.CacheEvents = []upstream.CacheEvent{{Sequence: 4, Digest: 11, Tokens: 1024}}
	set.Report(report)
	holders, tokens := set.longestCached(req)
	assert.Equal(t, len(holders), 1)
	assert.Equal(t, tokens, uint64(1024))
	report.CacheEvents = []upstream.CacheEvent{{Sequence: 5, Digest: 11, Evicted: true}}
	set.Report(report)
	holders, _ = set.longestCached(req)
	assert.Equal(t, len(holders), 0)
}

func TestSetNeverPicksUnusableEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := fleet(6)
		set := newTestSet(loads)
		excluded := make(map[upstream.Name]bool)
		rng := newRand()
		engine := rapid.IntRange(0, len(loads)-1)
		setExcluded := func(name upstream.Name, exclude bool) { excluded[name] = exclude }
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) {
				name, failed := loads[engine.Draw(t, "engine")].Name, rapid.Bool().Draw(t, "failed")
				set.SetFailed(name, failed)
				setExcluded(name, failed)
			},
			"report": func(t *rapid.T) {
				load := loads[engine.Draw(t, "engine")]
				report := testReport(&load)
				report.Running = []upstream.Work{{
					Tokens:   rapid.Uint32Range(0, 1<<20).Draw(t, "used"),
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				}}
				set.Report(report)
			},
			"start": func(t *rapid.T) {
				set.Started(epoch.Add(time.Second), loads[engine.Draw(t, "engine")].Name, ClassShort, 100)
			},
			"replace": func(t *rapid.T) {
				load := loads[engine.Draw(t, "engine")]
				set.Remove(load.Name)
				set.Put(&upstream.Info{Name: load.Name, Model: testModel})
				setExcluded(load.Name, false)
			},
			"": func(t *rapid.T) {
				req := &Request{Model: testModel, PromptTokens: 5000, PrefixDigests: []uint64{rapid.Uint64().Draw(t, "digest")}}
				picked := set.Pick(epoch, req, rng)
				for _, name := range picked {
					assert.Assert(t, !excluded[name], "picked %s", name)
				}
				usable := len(set.Loads(testModel))
				assert.Equal(t, len(picked) > 0, usable > 0)
				checkSums(t, set)
			},
		})
	})
}

// checkSums compares the sums of the pool and the home of a sample of slots with
// recomputed ones.
func checkSums(t *rapid.T, set *Set) {
	p := set.pools[testModel]
	if p == nil {
		return
	}
	var sums ByClass
	var capacity uint64
	for class := range p.rotations {
		assert.Equal(t, len(p.rotations[class].engines), len(p.engines()))
		for i, e := range p.rotations[class].engines {
			assert.Equal(t, e.index[class], i)
		}
	}
	for _, e := range p.engines() {
		sums.add(&e.load.ByClass)
		capacity += e.load.CapacityTokens
	}
	assert.Equal(t, p.byClass, sums)
	assert.Equal(t, p.capacity, capacity)
	for slot := 0; slot < homeSlots; slot += 997 {
		best := p.engines()[0]
		for _, e := range p.engines() {
			if mix(uint64(slot)*slotFactor^e.hash) > mix(uint64(slot)*slotFactor^best.hash) {
				best = e
			}
		}
		assert.Equal(t, p.homes.winners[slot], best)
	}
}
