package peering

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/strike"
)

// evidenceStore is the evidence of one host of a model.
type evidenceStore struct {
	registry *strike.PartRegistry
}

func (s *evidenceStore) MergeEvidence(now time.Duration, e strike.Evidence) strike.Evidence {
	return s.registry.Merge(now, e)
}

func (s *evidenceStore) Evidence(n int) strike.Evidence {
	return s.registry.All(n)
}

// lose lets a host see the loss of a request.
func (h *modelHost) lose(engine uint32, parts ...uint64) {
	loss := strike.Loss{Engine: engine, At: h.m.now, Request: strike.Request{Content: uint64(engine) << 40, Parts: parts}}
	h.node.ShareEvidence(h.evidence.registry.Lost(h.m.now, loss))
}

// missing returns the number of live hosts that don't know n losses.
func (m *fleetModel) missing(n int) int {
	missing := 0
	for _, h := range m.list {
		if h.asleepUntil <= m.now && len(h.evidence.registry.All(100).Losses) < n {
			missing++
		}
	}
	return missing
}

func TestEvidenceReachesAllHostsWithinASecond(t *testing.T) {
	for _, c := range []struct {
		hosts  int
		loss   float64
		relays bool // are lost just before
		within time.Duration
	}{
		{18, 0, false, 20 * time.Millisecond},
		{18, 0.1, false, time.Second},
		{111, 0.025, false, time.Second},
		{295, 0, true, time.Second},
	} {
		t.Run(fmt.Sprintf("%d hosts, %.0f %% lost, relays lost %v", c.hosts, 100*c.loss, c.relays), func(t *testing.T) {
			m := newFleetModel(11, c.hosts)
			m.loss = c.loss
			m.run(5 * time.Second)
			if c.relays {
				for _, h := range m.list {
					if h.node.Rank() == 0 {
						h.asleepUntil = m.now + time.Minute
					}
				}
			}
			for n := range 5 {
				h := m.list[m.rng.IntN(len(m.list))]
				h.asleepUntil = 0
				h.lose(uint32(n+1), 1, uint64(n+2))
			}
			m.run(c.within)
			assert.Equal(t, m.missing(5), 0, "hosts that don't know all losses")
		})
	}
}

// A host that starts must know what the others refuse before it counts as calm.
func TestStartedHostIsToldTheEvidence(t *testing.T) {
	for _, hosts := range []int{18, 295} {
		m := newFleetModel(12, hosts)
		m.run(5 * time.Second)
		for n := range 5 {
			m.list[n].lose(uint32(n+1), 1, uint64(n+2))
		}
		m.run(5 * time.Second)
		m.start(m.list[hosts/2].addr)
		m.run(time.Second)
		assert.Equal(t, m.missing(5), 0, "%d hosts", hosts)
	}
}

// Without news, evidence must cost next to nothing.
func TestEvidenceIsNotSentForEver(t *testing.T) {
	bytes := map[int]int{}
	for _, losses := range []int{0, 10} {
		m := newFleetModel(13, 111)
		m.run(5 * time.Second)
		for n := range losses {
			m.list[n].lose(uint32(n+1), 1, uint64(n+2))
		}
		m.run(2 * time.Second)
		m.bytes = 0
		m.run(2 * time.Second)
		bytes[losses] = m.bytes
		for _, h := range m.list {
			assert.Equal(t, len(h.node.rumors), 0)
		}
	}
	perHost := float64(bytes[10]-bytes[0]) / 2 / 111
	assert.Assert(t, perHost < 1000, "%.0f bytes a second and host", perHost)
}

func TestEvidenceSurvivesTheWire(t *testing.T) {
	const now = time.Minute
	e := strike.Evidence{LatestStart: now - time.Second}
	for n := range uint64(40) {
		e.Losses = append(e.Losses, strike.Loss{Engine: uint32(n), At: now - 2*time.Second, Request: strike.Request{Content: n, Parts: []uint64{n, 1 << 60}}})
		e.Starts = append(e.Starts, strike.Start{ID: n, At: now - 3*time.Second})
	}
	got := unpackEvidence(packEvidence(e, now), now)
	assert.Assert(t, slices.EqualFunc(got.Losses, e.Losses, func(a, b strike.Loss) bool {
		return a.Engine == b.Engine && a.At == b.At && a.Request.Content == b.Request.Content && slices.Equal(a.Request.Parts, b.Request.Parts)
	}))
	assert.DeepEqual(t, got.Starts, e.Starts)
	assert.Equal(t, got.LatestStart, e.LatestStart)
}
