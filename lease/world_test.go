package lease

import (
	"flag"
	"fmt"
	"os"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/ident"
)

const (
	worldCapacity = 8
	worldHosts    = 2
	worldSteps    = "60"   // of one history
	worldChecks   = "2000" // histories, unless CITRON_CHECKS is set
)

func init() {
	if err := flag.Set("rapid.steps", worldSteps); err != nil {
		panic("lease: " + err.Error())
	}
	if os.Getenv("CITRON_CHECKS") != "" {
		return
	}
	if err := flag.Set("rapid.checks", worldChecks); err != nil {
		panic("lease: " + err.Error())
	}
}

var (
	worldStart   = time.Unix(1_700_000_000, 0)
	worldClasses = []balancer.Class{balancer.ClassShort, balancer.ClassLong}
)

// world is a model of a few hosts, one engine and the messages in transit. Its
// oracle is the memory in use on the engine.
type world struct {
	now            time.Time
	skew           time.Duration // of the engine's clock
	options        OwnerOptions
	owner          *Owner
	former         *Owner // was frozen when it lost the engine and has not resumed
	hosts          []*worldHost
	work           []*worldWork
	requests       []*peerv1.LeaseRequest
	responses      []worldResponse
	reports        []*EngineReport
	withoutReports bool // the owner gets no reports
	taken          int
}

type worldHost struct {
	skew   time.Duration // of its clock
	holder Holder
	table  *Table
}

// worldWork is work that reaches the engine at the time arrives.
type worldWork struct {
	host    *worldHost
	table   *Table
	permit  Permit
	arrives time.Time
}

type worldResponse struct {
	table    *Table
	key      Key
	sequence uint64
	response *peerv1.LeaseResponse
}

func newWorld(t *rapid.T, settleShare float64) *world {
	w := &world{now: worldStart, options: DefaultOwnerOptions()}
	w.options.SettleShare = settleShare
	w.options.MinQuantum = 2
	skew := func() time.Duration {
		return time.Duration(rapid.Int64Range(-1, 1).Draw(t, "skew")) * w.options.MaxSkew
	}
	w.skew = skew()
	for i := range worldHosts {
		h := &worldHost{skew: skew(), holder: Holder{Host: ident.Host(fmt.Sprintf("host-%d", i))}}
		w.hosts = append(w.hosts, h)
		w.restart(h)
	}
	w.owner = NewOwner(w.options, "engine-0", w.now)
	return w
}

func (w *world) restart(h *worldHost) {
	h.holder.Incarnation++
	h.table = NewTable(DefaultTableOptions(), h.holder)
}

func (w *world) pickHost(t *rapid.T) *worldHost {
	return rapid.SampledFrom(w.hosts).Draw(t, "host")
}

func pickKey(t *rapid.T) Key {
	return Key{"engine-0", rapid.SampledFrom(worldClasses).Draw(t, "class")}
}

// advance moves the clock in steps; in each the owner ticks and gets a report.
func (w *world) advance(d time.Duration) {
	const step = 250 * time.Millisecond
	for d > 0 {
		w.now = w.now.Add(min(d, step))
		d -= step
		w.owner.Tick(w.now)
		if !w.withoutReports {
			w.owner.Report(w.now, w.snapshot())
		}
	}
}

// take admits work of the given size, or of the largest smaller size that the
// lease covers.
func (w *world) take(t *rapid.T, h *worldHost, key Key, tokens uint64) {
	permit, ok := h.table.Take(w.now.Add(h.skew), key, tokens)
	for !ok {
		tokens--
		if tokens == 0 {
			return
		}
		permit, ok = h.table.Take(w.now.Add(h.skew), key, tokens)
	}
	delay := time.Duration(rapid.Int64Range(0, int64(DefaultTableOptions().Margin)-1).Draw(t, "delay"))
	w.work = append(w.work, &worldWork{host: h, table: h.table, permit: permit, arrives: w.now.Add(delay)})
	w.taken++
}

func (w *world) request(h *worldHost, key Key, need uint64) {
	w.requests = append(w.requests, h.table.Request(w.now.Add(h.skew), key, need))
}

// handle delivers a request to the owner.
func (w *world) handle(req *peerv1.LeaseRequest) {
	w.answer(req, w.owner.Handle(w.now, req))
}

func (w *world) answer(req *peerv1.LeaseRequest, response *peerv1.LeaseResponse) {
	for _, h := range w.hosts {
		if string(h.holder.Host) == req.Host && uint64(h.holder.Incarnation) == req.Incarnation {
			key := Key{"engine-0", balancer.ClassOf(req.Class)}
			w.responses = append(w.responses, worldResponse{h.table, key, req.Sequence, response})
		}
	}
}

// finish ends work that has arrived at the engine and returns its permit.
func (w *world) finish(i int) {
	work := w.work[i]
	work.table.Return(work.permit)
	w.work = append(w.work[:i], w.work[i+1:]...)
}

// snapshot returns the current report of the engine.
func (w *world) snapshot() *EngineReport {
	report := &EngineReport{AsOf: w.now.Add(w.skew), CapacityTokens: worldCapacity}
	for _, work := range w.work {
		if !work.arrives.After(w.now) {
			holder := Holder{work.host.holder.Host, work.table.holder.Incarnation}
			report.Uses = append(report.Uses, Use{holder, work.permit.Key.Class, work.permit.Tokens})
		}
	}
	return report
}

// inUse is the oracle: the memory of all work, in transit or arrived.
func (w *world) inUse() uint64 {
	var sum uint64
	for _, work := range w.work {
		sum += work.permit.Tokens
	}
	return sum
}

// lease runs one exchange without faults and keeps its messages for later
// duplicate delivery.
func (w *world) lease(h *worldHost, key Key, need uint64) {
	req := h.table.Request(w.now.Add(h.skew), key, need)
	w.requests = append(w.requests, req)
	response := w.owner.Handle(w.now, req)
	w.responses = append(w.responses, worldResponse{h.table, key, req.Sequence, response})
	h.table.HandleResponse(key, req.Sequence, response)
}

// freezeOwner makes another host the owner while the present one is frozen.
func (w *world) freezeOwner() {
	w.former = w.owner
	w.now = w.now.Add(w.options.MaxTickGap + time.Millisecond)
	w.owner = NewOwner(w.options, "engine-0", w.now)
}

// resumeFormer resumes a former owner, which handles a request before it detects
// that it was replaced.
func (w *world) resumeFormer(h *worldHost, key Key, need uint64) {
	if w.former == nil {
		return
	}
	owner := w.owner
	w.owner = w.former
	w.owner.Report(w.now, w.snapshot())
	w.lease(h, key, need)
	w.owner, w.former = owner, nil
}

var (
	durations = rapid.SampledFrom([]time.Duration{
		time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, 750 * time.Millisecond,
		1400 * time.Millisecond, 1600 * time.Millisecond, 2100 * time.Millisecond, 4 * time.Second,
	})
	sizes = rapid.Uint64Range(1, worldCapacity)
)

// actions returns the steps of a history. Messages stay in the pool after delivery,
// so they arrive repeatedly, delayed and out of order; "drop" removes them.
func (w *world) actions(limit uint64) map[string]func(*rapid.T) {
	steps := w.faults()
	steps["advance"] = func(t *rapid.T) { w.advance(durations.Draw(t, "time")) }
	steps["advance 2"] = steps["advance"]
	steps["advance 3"] = steps["advance"]
	steps["take"] = func(t *rapid.T) { w.take(t, w.pickHost(t), pickKey(t), sizes.Draw(t, "tokens")) }
	steps["take 2"] = steps["take"]
	steps["request"] = func(t *rapid.T) {
		w.request(w.pickHost(t), pickKey(t), rapid.Uint64Range(0, worldCapacity).Draw(t, "need"))
	}
	steps["lease"] = func(t *rapid.T) { w.lease(w.pickHost(t), pickKey(t), sizes.Draw(t, "need")) }
	steps["grab"] = func(t *rapid.T) {
		h, key := w.pickHost(t), pickKey(t)
		need := max(1, w.owner.free(key.Class))
		w.lease(h, key, need)
		w.take(t, h, key, need)
	}
	steps["grab 2"] = steps["grab"]
	steps["finish"] = func(t *rapid.T) {
		i := rapid.IntRange(0, len(w.work)).Draw(t, "work")
		if i < len(w.work) && !w.work[i].arrives.After(w.now) {
			w.finish(i)
		}
	}
	steps[""] = func(t *rapid.T) {
		assert.Assert(t, w.inUse() <= limit, "%d tokens are in use, the limit is %d", w.inUse(), limit)
	}
	return steps
}

func (w *world) faults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"blind": func(t *rapid.T) { w.withoutReports = rapid.IntRange(0, 3).Draw(t, "blind") == 0 },
		"deliver request": func(t *rapid.T) {
			if len(w.requests) > 0 {
				w.handle(rapid.SampledFrom(w.requests).Draw(t, "message"))
			}
		},
		"retry waiting request": func(t *rapid.T) {
			h, key := w.pickHost(t), pickKey(t)
			for _, req := range w.requests {
				if h.table.Outstanding(key) && h.table.leases[key].sequence == req.Sequence {
					w.answer(req, w.owner.Retry(w.now, req))
				}
			}
		},
		"deliver response": func(t *rapid.T) {
			if len(w.responses) > 0 {
				r := rapid.SampledFrom(w.responses).Draw(t, "message")
				r.table.HandleResponse(r.key, r.sequence, r.response)
			}
		},
		"drop": func(t *rapid.T) {
			w.requests = w.requests[rapid.IntRange(0, len(w.requests)).Draw(t, "requests"):]
			w.responses = w.responses[rapid.IntRange(0, len(w.responses)).Draw(t, "responses"):]
		},
		"report": func(*rapid.T) { w.reports = append(w.reports, w.snapshot()) },
		"deliver report": func(t *rapid.T) {
			if len(w.reports) > 0 {
				w.owner.Report(w.now, rapid.SampledFrom(w.reports).Draw(t, "report"))
			}
		},
		"restart":      oneInFive(func(t *rapid.T) { w.restart(w.pickHost(t)) }),
		"freeze owner": oneInFive(func(*rapid.T) { w.freezeOwner() }),
		"wake former": func(t *rapid.T) {
			w.resumeFormer(w.pickHost(t), pickKey(t), sizes.Draw(t, "need"))
		},
		"change owner": oneInFive(func(*rapid.T) { w.owner = NewOwner(w.options, "engine-0", w.now) }),
	}
}

// oneInFive skips four of five steps, so that leases last long enough to matter.
func oneInFive(step func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if rapid.IntRange(0, 4).Draw(t, "happens") == 0 {
			step(t)
		}
	}
}
