package balancer

import (
	"fmt"
	"testing"

	"github.com/citronscale/citronscale/upstream"
)

func benchRequest(digest uint64) *Request {
	return &Request{Model: testModel, PromptTokens: 8000, MaxTokens: 500, PrefixDigests: []uint64{digest, digest + 1, digest + 2}}
}

// BenchmarkPick measures one decision of a Set.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 5400} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			set := newTestSet(fleet(n))
			rng := newRand()
			req := benchRequest(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req.PrefixDigests[2] = uint64(i)
				set.Pick(epoch, req, rng)
			}
		})
	}
}

// BenchmarkPickByScan measures the same decision without an index.
func BenchmarkPickByScan(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 5400} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			loads := fleet(n)
			policy := &CostAware{Options: DefaultOptions()}
			rng := newRand()
			req := benchRequest(0)
			for i := 0; b.Loop(); i++ {
				req.PrefixDigests[2] = uint64(i)
				policy.Pick(epoch, req, loads, rng)
			}
		})
	}
}

// BenchmarkReport measures applying one load report.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{20, 5400} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			loads := fleet(n)
			set := newTestSet(loads)
			for i := 0; b.Loop(); i++ {
				set.Report(testReport(&loads[i%n]))
			}
		})
	}
}

// BenchmarkReplaceEngine measures removing an engine and adding it again.
func BenchmarkReplaceEngine(b *testing.B) {
	for _, n := range []int{20, 675, 5400} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			loads := fleet(n)
			set := newTestSet(loads)
			for i := 0; b.Loop(); i++ {
				name := loads[i%n].Name
				set.Remove(name)
				set.Put(&upstream.Info{Name: name, Model: testModel})
			}
		})
	}
}
