package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/limit"
	"github.com/citronscale/citronscale/ownership"
	"github.com/citronscale/citronscale/record"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

var start = time.Unix(1_800_000_000, 0)

// benchState reports the memory that the built state keeps.
func benchState(b *testing.B, sizes []int, build func(n int) any) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				state := build(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(state)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-bytes")
		})
	}
}

func BenchmarkStateOfConfig(b *testing.B) {
	benchState(b, []int{10, 2_100, 21_000}, func(n int) any {
		var text strings.Builder
		text.WriteString("format = 1\n[teams]\n")
		for i := range n {
			fmt.Fprintf(&text, "team-%d = %q\n", i, config.HashToken(fmt.Sprint(i)))
		}
		c, err := config.Parse(1, []byte(text.String()))
		if err != nil {
			b.Fatal(err)
		}
		return c
	})
}

func BenchmarkStateOfPlacement(b *testing.B) {
	benchState(b, []int{20, 540, 5_400}, func(n int) any {
		set := balancer.NewSet("domain-0", balancer.DefaultOptions())
		for i := range n {
			name := upstream.Name(fmt.Sprintf("engine-%d", i))
			set.Put(&upstream.Info{Name: name, Model: "m", FailureDomain: fmt.Sprintf("domain-%d", i%6)})
			set.Report(&upstream.Report{Name: name, Model: "m", AsOf: start, CapacityTokens: 1 << 20})
		}
		return set
	})
}

func BenchmarkStateOfLimits(b *testing.B) {
	benchState(b, []int{10, 2_100, 21_000}, func(n int) any {
		limiter := limit.NewLimiter(limit.DefaultOptions(), 700)
		for i := range n {
			limiter.Allow(start, fmt.Sprintf("team-%d", i), limit.TeamRate{TokensPerSecond: 1e6, BurstTokens: 1e6}, 10)
		}
		return limiter
	})
}

func BenchmarkStateOfOwnership(b *testing.B) {
	benchState(b, []int{20, 540, 5_400}, func(n int) any {
		hosts := make([]ident.Host, 700)
		for i := range hosts {
			hosts[i] = ident.Host(fmt.Sprintf("host-%d", i))
		}
		m := ownership.New(hosts)
		for i := range n {
			m.Owner(upstream.Name(fmt.Sprintf("engine-%d", i)))
		}
		return m
	})
}

func BenchmarkStateOfRecords(b *testing.B) {
	benchState(b, []int{1_000, 10_000, 20_000}, func(n int) any {
		book := record.New(record.Options{Host: "host-0", Incarnation: 1, MaxRequests: n, MaxAge: time.Hour, MaxOrigins: 16})
		for i := range 2 * n {
			request := ident.Request{Host: "host-0", Incarnation: 1, Sequence: uint64(i + 1)}
			for _, kind := range []record.Kind{record.Admitted, record.Finished} {
				book.Add(record.Entry{Request: request, Time: start, Kind: kind, Team: "team-1"})
			}
		}
		return book
	})
}

// BenchmarkReportBytes measures an engine's load report by the streams in it.
func BenchmarkReportBytes(b *testing.B) {
	for _, streams := range []int{0, 10, 100, 240} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			report := enginewire.Report{Name: "engine-4711", Model: "citron-base", Version: "v1", Role: "mixed", CapacityTokens: 1 << 20}
			for i := range streams {
				attempt := ident.Attempt{
					Request: ident.Request{Host: "host-417", Incarnation: ident.Incarnation(start.UnixNano()), Sequence: uint64(1_000_000 + i)},
					Number:  1, Deadline: start,
				}
				report.Running = append(report.Running, enginewire.Work{Attempt: enginewire.Attempt(attempt), Tokens: 9_000, Priority: 1})
			}
			var data []byte
			for b.Loop() {
				data, _ = json.Marshal(&report)
				var back enginewire.Report
				_ = json.Unmarshal(data, &back)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
