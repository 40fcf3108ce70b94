package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/ident"
	_ "github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/upstream"
)

func numberedHosts(n int) []ident.Host {
	hosts := make([]ident.Host, n)
	for i := range hosts {
		hosts[i] = ident.Host(fmt.Sprintf("host-%d", i))
	}
	return hosts
}

func numberedEngines(n int) []upstream.Name {
	engines := make([]upstream.Name, n)
	for i := range engines {
		engines[i] = upstream.Name(fmt.Sprintf("engine-%d", i))
	}
	return engines
}

func TestOwnerIsEmptyWithoutHosts(t *testing.T) {
	assert.Equal(t, New(nil).Owner("engine-1"), ident.Host(""))
}

// Removing one host of a random set moves no engine of the other hosts.
func TestRemovedHostMovesOnlyItsEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := numberedHosts(rapid.IntRange(2, 40).Draw(t, "hosts"))
		removed := rapid.SampledFrom(hosts).Draw(t, "gone")
		shuffled := rapid.Permutation(hosts).Draw(t, "order")
		before := New(shuffled)
		after := New(slices.DeleteFunc(slices.Clone(hosts), func(h ident.Host) bool { return h == removed }))
		for _, engine := range numberedEngines(60) {
			if owner := before.Owner(engine); owner != removed {
				assert.Equal(t, after.Owner(engine), owner)
			}
		}
	})
}

func TestEachEngineHasOneOwner(t *testing.T) {
	hosts, engines := numberedHosts(18), numberedEngines(20)
	m := New(hosts)
	count := 0
	for _, host := range hosts {
		count += len(m.Owned(host, engines))
	}
	assert.Equal(t, count, len(engines))
}

func BenchmarkOwned(b *testing.B) {
	for _, size := range []struct{ hosts, engines int }{{18, 20}, {70, 540}, {700, 5400}} {
		b.Run(fmt.Sprintf("hosts=%d/engines=%d", size.hosts, size.engines), func(b *testing.B) {
			hosts, engines := numberedHosts(size.hosts), numberedEngines(size.engines)
			m := New(hosts)
			for b.Loop() {
				m = New(hosts)
				m.Owned(hosts[0], engines)
			}
			started := time.Now()
			m.Owned(hosts[0], engines)
			b.ReportMetric(float64(time.Since(started).Nanoseconds()), "ns/again")
			counts := make(map[ident.Host]int)
			largest := 0
			for _, engine := range engines {
				owner := m.Owner(engine)
				counts[owner]++
				largest = max(largest, counts[owner])
			}
			b.ReportMetric(float64(largest), "engines/host-max")
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, hosts := range []int{18, 70, 700} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			m := New(numberedHosts(hosts))
			for b.Loop() {
				m.Owner("engine-17")
			}
		})
	}
}
