package membership

import (
	"fmt"
	"runtime"
	"testing"
)

var benchSizes = []int{10, 70, 700}

func benchFleet(hosts int) *fleet {
	f := newFleet(DefaultOptions(testPeriod, testSuspect), 1)
	f.startAll(hosts)
	return f
}

// report adds the mean bytes per second of one host, in and out.
func report(b *testing.B, f *fleet, periods int) {
	const directions = 2
	seconds := float64(periods) * testPeriod.Seconds()
	hosts := float64(len(f.names))
	b.ReportMetric(directions*float64(f.bytes)/hosts/seconds, "bytes/s/host")
	b.ReportMetric(directions*float64(f.sent)/hosts/seconds, "messages/s/host")
}

// BenchmarkRest measures a fleet in which nothing changes; one operation is one
// period of one host.
func BenchmarkRest(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := benchFleet(hosts)
			periods := 0
			for b.Loop() {
				f.period()
				periods++
			}
			report(b, f, periods)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(periods*hosts), "ns/period/host")
		})
	}
}

// BenchmarkState measures the memory of one table.
func BenchmarkState(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := benchFleet(hosts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts), "state-bytes")
		})
	}
}

// benchRounds measures the periods until all hosts agree after a change, and
// the traffic until then.
func benchRounds(b *testing.B, change func(f *fleet), done func(f *fleet) bool) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			total := 0
			for b.Loop() {
				f := benchFleet(hosts)
				for range 5 {
					f.period()
				}
				change(f)
				f.bytes, f.sent = 0, 0
				n, ok := f.periodsUntil(400, func() bool { return done(f) })
				if !ok {
					b.Fatalf("no agreement: %s", f.disagreement())
				}
				total += n
				report(b, f, max(n, 1))
			}
			b.ReportMetric(float64(total)/float64(b.N), "periods")
		})
	}
}

func BenchmarkLeaving(b *testing.B) {
	benchRounds(b, func(f *fleet) { f.tables[hostName(1)].SetState(f.now, Leaving) }, (*fleet).agree)
}

func BenchmarkRestart(b *testing.B) {
	benchRounds(b, func(f *fleet) { f.start(hostName(1), hostName(2), hostName(3), hostName(4)) }, (*fleet).agree)
}

func BenchmarkHostLost(b *testing.B) {
	benchRounds(b, func(f *fleet) { f.down[hostName(1)] = true }, (*fleet).agree)
}

func BenchmarkFailureDomainLost(b *testing.B) {
	benchRounds(b, func(f *fleet) {
		for i := 0; i < len(f.names); i += 6 {
			f.down[f.names[i]] = true
		}
	}, (*fleet).agree)
}

func BenchmarkRegionsApart(b *testing.B) {
	benchRounds(b, func(f *fleet) {
		for i, name := range f.names {
			f.side[name] = i % 3
		}
	}, func(f *fleet) bool { return f.agree() && crossSidesFailed(f) })
}

// crossSidesFailed reports whether each host counts all of the other sides as
// failed.
func crossSidesFailed(f *fleet) bool {
	for _, observer := range f.names {
		for _, e := range f.tables[observer].order {
			if f.side[e.host] != f.side[observer] && e.state != Failed {
				return false
			}
		}
	}
	return true
}

func BenchmarkRegionsBack(b *testing.B) {
	benchRounds(b, func(f *fleet) {
		for i, name := range f.names {
			f.side[name] = i % 3
		}
		f.periodsUntil(400, func() bool { return crossSidesFailed(f) })
		clear(f.side)
	}, (*fleet).agree)
}
