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

// report adds the mean bytes and messages per second of one host, in both
// directions.
func report(b *testing.B, f *fleet, periods int) {
	const directions = 2
	seconds := float64(periods) * testPeriod.Seconds()
	hosts := float64(len(f.names))
	b.ReportMetric(directions*float64(f.bytes)/hosts/seconds, "bytes/s/host")
	b.ReportMetric(directions*float64(f.sent)/hosts/seconds, "messages/s/host")
}

// BenchmarkChurn measures a fleet whose only changes are planned restarts: 1,600
// per day for 700 hosts, proportionally fewer for smaller fleets.
func BenchmarkChurn(b *testing.B) {
	const secondsPerRestart = 86_400.0 / 1_600
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := benchFleet(hosts)
			every := int(secondsPerRestart * 700 / float64(hosts) / testPeriod.Seconds())
			const periods = 220
			for range b.N {
				for n := range periods {
					f.churn(n, every)
					f.period()
				}
			}
			report(b, f, periods*b.N)
		})
	}
}

// churn drains, stops and restarts one host per cycle of the given length.
func (f *fleet) churn(n, every int) {
	host := f.names[n/every%len(f.names)]
	switch n % every {
	case 0:
		f.tables[host].SetState(f.now, Leaving)
	case 6:
		f.down[host] = true
	case 10:
		f.start(host, f.names[:3]...)
	case 12:
		f.tables[host].SetState(f.now, Ready)
	}
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

// benchPeriods measures the periods until all hosts agree after a change, and
// the traffic until then.
func benchPeriods(b *testing.B, change func(f *fleet), done func(f *fleet) bool) {
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
					b.Fatalf("the tables did not converge: %s", f.disagreement())
				}
				total += n
				report(b, f, max(n, 1))
			}
			b.ReportMetric(float64(total)/float64(b.N), "periods")
		})
	}
}

func BenchmarkLeaving(b *testing.B) {
	benchPeriods(b, func(f *fleet) { f.tables[hostName(1)].SetState(f.now, Leaving) }, (*fleet).agree)
}

func BenchmarkRestart(b *testing.B) {
	benchPeriods(b, func(f *fleet) { f.start(hostName(1), hostName(2), hostName(3), hostName(4)) }, (*fleet).agree)
}

func BenchmarkHostLost(b *testing.B) {
	benchPeriods(b, func(f *fleet) { f.down[hostName(1)] = true }, (*fleet).agree)
}

func BenchmarkFailureDomainLost(b *testing.B) {
	benchPeriods(b, func(f *fleet) {
		for i := 0; i < len(f.names); i += 6 {
			f.down[f.names[i]] = true
		}
	}, (*fleet).agree)
}

func BenchmarkRegionsApart(b *testing.B) {
	benchPeriods(b, func(f *fleet) {
		for i, name := range f.names {
			f.side[name] = i % 3
		}
	}, func(f *fleet) bool { return f.agree() && crossSidesFailed(f) })
}

// crossSidesFailed reports whether each host has marked all hosts of the other
// sides as failed.
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
	benchPeriods(b, func(f *fleet) {
		for i, name := range f.names {
			f.side[name] = i % 3
		}
		f.periodsUntil(400, func() bool { return crossSidesFailed(f) })
		clear(f.side)
	}, (*fleet).agree)
}

// adoptRevisions sets the revision of each host to the highest one that a peer
// has reported, as if it had been fetched by the end of the period.
func (f *fleet) adoptRevisions() {
	for _, name := range f.names {
		t := f.tables[name]
		for _, e := range t.order {
			if e.configRevision > t.self.configRevision {
				t.SetConfig(e.configRevision, e.configDigest)
			}
		}
	}
}

func (f *fleet) allHaveRevision(revision uint64) bool {
	for _, name := range f.names {
		if f.tables[name].self.configRevision != revision {
			return false
		}
	}
	return true
}

// BenchmarkConfigSpread measures the periods until all hosts have a revision
// that the given number of hosts read from the configuration service.
func BenchmarkConfigSpread(b *testing.B) {
	for _, hosts := range []int{18, 70, 700} {
		for _, readers := range []int{1, 12} {
			b.Run(fmt.Sprintf("hosts=%d/readers=%d", hosts, readers), func(b *testing.B) {
				total := 0
				for b.Loop() {
					f := benchFleet(hosts)
					for i := range readers {
						f.tables[hostName(i)].SetConfig(2, 2)
					}
					n, ok := f.periodsUntil(100, func() bool {
						f.adoptRevisions()
						return f.allHaveRevision(2)
					})
					if !ok {
						b.Fatal("the revision did not reach all hosts")
					}
					total += n
				}
				b.ReportMetric(float64(total)/float64(b.N), "periods")
			})
		}
	}
}

// BenchmarkFullMesh measures, for comparison, the bytes of heartbeats from each
// host to every other host in each period.
func BenchmarkFullMesh(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := benchFleet(hosts)
			b.ResetTimer()
			for range b.N {
				f.bytes, f.sent = 0, 0
				f.exchangeMesh()
			}
			report(b, f, 1)
		})
	}
}

func (f *fleet) exchangeMesh() {
	for _, from := range f.names {
		for _, to := range f.names {
			if p, ok := f.tables[from].Probe(f.now, to); ok {
				f.exchange(from, p)
			}
		}
	}
}
