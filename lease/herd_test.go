package lease

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// BenchmarkHerd simulates the placement decisions of several hosts against one
// queue per engine. It is simpler than a fleet: messages between hosts take no
// time, and an engine computes prompts in order of priority at a fixed rate.
const (
	herdHosts     = 16
	herdEngines   = 20
	herdCapacity  = 600_000 // memory of an engine in tokens
	herdRate      = 50_000  // prompt tokens that an engine computes per second
	herdStep      = 5 * time.Millisecond
	herdTime      = 60 * time.Second
	herdLoad      = 0.6 // share of the rate of all engines outside of peaks
	herdPeak      = 1.2 // the same during a peak
	herdPeakFrom  = 8 * time.Second
	herdPeriod    = 20 * time.Second // peaks last from herdPeakFrom+2 s for 5 s
	herdLongShare = 0.02
	herdDecode    = 2 * time.Second // duration of an answer after its first token
)

var herdBounds = balancer.Bounds{ShortTokens: 8192, MediumTokens: 100_000}

type herdJob struct {
	request balancer.Request
	host    int
	arrived time.Time
	left    float64   // prompt tokens to compute
	ends    time.Time // of the answer; zero until the prompt is computed
	permit  Permit
}

type herdEngine struct {
	name    upstream.Name
	waiting []*herdJob // have no memory yet
	running []*herdJob
	used    uint64
	reports []*upstream.Report // newest last
	owner   *Owner
}

type herdHost struct {
	picker balancer.Picker // nil if the policy of the Set is used
	set    *balancer.Set
	table  *Table
	queue  []*herdJob // jobs that wait for a lease
}

type herd struct {
	now       time.Time
	lag       time.Duration
	policy    string
	rng       *rand.Rand
	engines   []*herdEngine
	hosts     []*herdHost
	byName    map[upstream.Name]*herdEngine
	short     []float64 // seconds to the first token
	long      []float64
	imbalance float64 // sum over all steps of largest/mean backlog
	steps     int
}

// Policies besides those of the balancer package.
const (
	herdLease   = "cost-aware-lease"
	herdNoShare = "cost-aware-lease-no-short-share"
)

// leases reports whether the policy sends work only once a lease covers it.
func (h *herd) leases() bool {
	return h.policy == herdLease || h.policy == herdNoShare
}

func newHerd(policy string, lag time.Duration, seed uint64) *herd {
	h := &herd{now: worldStart, lag: lag, policy: policy, rng: rand.New(rand.NewPCG(seed, 7))}
	h.byName = make(map[upstream.Name]*herdEngine)
	for i := range herdEngines {
		e := &herdEngine{name: upstream.Name(fmt.Sprintf("engine-%02d", i))}
		options := DefaultOwnerOptions()
		options.MaxReportAge = 2*lag + options.MaxReportAge
		if policy == herdNoShare {
			options.ShortShare, options.ShortFloor = 0, 0
		}
		e.owner = NewOwner(options, e.name, h.now.Add(-time.Minute))
		e.owner.Tick(h.now)
		h.engines = append(h.engines, e)
		h.byName[e.name] = e
	}
	for i := range herdHosts {
		host := &herdHost{set: balancer.NewSet(fmt.Sprintf("domain-%d", i%3), balancer.DefaultOptions())}
		if !h.leases() && policy != "cost-aware" {
			host.picker, _ = balancer.NewPicker(policy, "domain-0")
		}
		host.table = NewTable(DefaultTableOptions(), Holder{ident.Host(fmt.Sprintf("host-%02d", i)), 1})
		for j, e := range h.engines {
			host.set.Put(&upstream.Info{Name: e.name, Model: "m", FailureDomain: fmt.Sprintf("domain-%d", j%3)})
		}
		h.hosts = append(h.hosts, host)
	}
	return h
}

// arrivals adds the requests of one step.
func (h *herd) arrivals(since time.Duration) {
	load := herdLoad
	if phase := since % herdPeriod; phase >= herdPeakFrom && phase < herdPeakFrom+5*time.Second {
		load = herdPeak
	}
	const meanTokens = (1-herdLongShare)*4500 + herdLongShare*250_000
	expected := load * herdRate * herdEngines / meanTokens * herdStep.Seconds()
	for expected > 0 && h.rng.Float64() < expected {
		expected--
		prompt := uint32(1000 + h.rng.IntN(7000))
		if h.rng.Float64() < herdLongShare {
			prompt = uint32(100_001 + h.rng.IntN(300_000))
		}
		job := &herdJob{host: h.rng.IntN(herdHosts), arrived: h.now, left: float64(prompt)}
		job.request = balancer.Request{
			Model: "m", PromptTokens: prompt, MaxTokens: 500, Class: balancer.Classify(prompt, herdBounds),
		}
		h.hosts[job.host].queue = append(h.hosts[job.host].queue, job)
	}
}

// place sends the jobs of a host: all of them under a baseline policy, otherwise
// those that leases cover.
func (h *herd) place(host *herdHost) {
	slices.SortStableFunc(host.queue, func(a, b *herdJob) int { return cmp.Compare(a.request.Class, b.request.Class) })
	kept := host.queue[:0]
	for _, job := range host.queue {
		if !h.send(host, job) {
			kept = append(kept, job)
		}
	}
	host.queue = kept
}

func (h *herd) send(host *herdHost, job *herdJob) bool {
	var names []upstream.Name
	if host.picker != nil {
		names = host.picker.Pick(h.now, &job.request, host.set.Loads("m"), h.rng)
	} else {
		names = host.set.Pick(h.now, &job.request, h.rng)
	}
	if !h.leases() {
		h.start(host, job, names[0])
		return true
	}
	for _, name := range names {
		if h.admit(host, job, Key{name, job.request.Class}) {
			h.start(host, job, name)
			return true
		}
	}
	return false
}

func (h *herd) admit(host *herdHost, job *herdJob, key Key) bool {
	var ok bool
	if job.permit, ok = host.table.Take(h.now, key, job.request.Memory()); ok {
		return true
	}
	req := host.table.Request(h.now, key, job.request.Memory())
	response := h.byName[key.Engine].owner.Handle(h.now, req)
	host.table.HandleResponse(key, req.Sequence, response)
	host.set.SetFreeTokens(key.Engine, uint64(response.FreeTokens))
	job.permit, ok = host.table.Take(h.now, key, job.request.Memory())
	return ok
}

func (h *herd) start(host *herdHost, job *herdJob, name upstream.Name) {
	host.set.Started(h.now, name, job.request.Class, job.request.Memory())
	e := h.byName[name]
	e.waiting = append(e.waiting, job)
}

// run computes one step of an engine.
func (h *herd) run(e *herdEngine) {
	slices.SortStableFunc(e.waiting, func(a, b *herdJob) int { return cmp.Compare(a.request.Class, b.request.Class) })
	for len(e.waiting) > 0 && e.used+e.waiting[0].request.Memory() <= herdCapacity {
		e.used += e.waiting[0].request.Memory()
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	slices.SortStableFunc(e.running, func(a, b *herdJob) int { return cmp.Compare(a.request.Class, b.request.Class) })
	budget := herdRate * herdStep.Seconds()
	for _, job := range e.running {
		done := min(budget, job.left)
		budget -= done
		job.left -= done
		if job.left == 0 && job.ends.IsZero() {
			h.firstToken(job)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(job *herdJob) bool {
		ended := !job.ends.IsZero() && !h.now.Before(job.ends)
		if ended {
			e.used -= job.request.Memory()
			host := h.hosts[job.host]
			host.set.Finished(e.name, job.request.Memory())
			if h.leases() {
				host.table.Return(job.permit)
			}
		}
		return ended
	})
}

func (h *herd) firstToken(job *herdJob) {
	job.ends = h.now.Add(herdDecode)
	seconds := h.now.Sub(job.arrived).Seconds()
	if job.request.Class == balancer.ClassShort {
		h.short = append(h.short, seconds)
	} else {
		h.long = append(h.long, seconds)
	}
}

// report publishes the load of an engine with the configured lag: two snapshots
// are taken per lag, and readers get the older one.
func (h *herd) report(e *herdEngine) {
	report := &upstream.Report{
		Name: e.name, Model: "m", Version: "1", AsOf: h.now, CapacityTokens: herdCapacity, UsedTokens: e.used,
	}
	for _, job := range e.running {
		report.Running = append(report.Running, h.work(job))
	}
	for _, job := range e.waiting {
		report.Waiting = append(report.Waiting, h.work(job))
	}
	e.reports = append(e.reports, report)
	if len(e.reports) > 2 {
		e.reports = e.reports[1:]
	}
	e.owner.Report(h.now, ReportOf(e.reports[0]))
	for _, host := range h.hosts {
		host.set.Report(e.reports[0])
	}
}

func (h *herd) work(job *herdJob) upstream.Work {
	attempt := ident.Attempt{Request: ident.Request{Host: ident.Host(fmt.Sprintf("host-%02d", job.host)), Incarnation: 1}}
	return upstream.Work{Attempt: attempt, Tokens: uint32(job.request.Memory()), Priority: job.request.Class.Priority()}
}

func (h *herd) simulate() {
	for since := time.Duration(0); since < herdTime; since += herdStep {
		h.now = worldStart.Add(since)
		if since%(h.lag/2) < herdStep {
			for _, e := range h.engines {
				h.report(e)
			}
		}
		h.arrivals(since)
		for _, host := range h.hosts {
			h.place(host)
			if h.leases() && since%(250*time.Millisecond) == 0 {
				h.renew(host)
			}
		}
		for _, e := range h.engines {
			h.run(e)
		}
		h.measure()
	}
}

func (h *herd) renew(host *herdHost) {
	for _, key := range host.table.Due(h.now) {
		req := host.table.Request(h.now, key, 0)
		host.table.HandleResponse(key, req.Sequence, h.byName[key.Engine].owner.Handle(h.now, req))
	}
}

// measure adds the current imbalance of the engines: the largest backlog of prompt
// tokens over the mean.
func (h *herd) measure() {
	var largest, sum float64
	for _, e := range h.engines {
		var backlog float64
		for _, job := range append(slices.Clone(e.running), e.waiting...) {
			backlog += job.left
		}
		largest = max(largest, backlog)
		sum += backlog
	}
	if sum > 0 {
		h.imbalance += largest * herdEngines / sum
		h.steps++
	}
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[int(p*float64(len(values)-1))]
}

// BenchmarkHerd reports the time to first token and the imbalance of the engines
// (largest backlog over mean) for each policy and report lag. The time per
// operation is meaningless.
func BenchmarkHerd(b *testing.B) {
	policies := []string{"random", "round-robin", "least-in-flight", "better-of-two", "cost-aware", herdLease, herdNoShare}
	for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("lag=%v/%s", lag, policy), func(b *testing.B) {
				var short95, short99, long95, spread, count float64
				runs := 0
				for b.Loop() {
					runs++
					h := newHerd(policy, lag, uint64(runs))
					h.simulate()
					short95 += percentile(h.short, 0.95)
					short99 += percentile(h.short, 0.99)
					long95 += percentile(h.long, 0.95)
					spread += h.imbalance / float64(h.steps)
					count += float64(len(h.short) + len(h.long))
				}
				n := float64(runs)
				b.ReportMetric(1000*short95/n, "short-p95-ms")
				b.ReportMetric(1000*short99/n, "short-p99-ms")
				b.ReportMetric(long95/n, "long-p95-s")
				b.ReportMetric(spread/n, "max/mean")
				b.ReportMetric(count/n, "first-tokens")
			})
		}
	}
}
