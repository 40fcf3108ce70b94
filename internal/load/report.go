package load

import (
	"time"

	"github.com/citronscale/citronscale/code"
)

// ReportFile is the name of the report of a run in its directory.
const ReportFile = "report.json"

// Report summarises a run.
type Report struct {
	Workload      string          `json:"workload"`
	Seed          uint64          `json:"seed"`
	Scale         float64         `json:"scale"`
	Hosts         int             `json:"hosts"`
	Engines       int             `json:"engines"`
	Sent          int             `json:"sent"`
	DurationS     float64         `json:"duration_s"`
	GoodputPerS   float64         `json:"goodput_per_s"` // whole answers within their timeout
	TokensPerS    float64         `json:"tokens_per_s"`  // answer tokens of whole answers
	Wrong         int             `json:"wrong"`         // answers whose end marker came with another text
	Overdue       int             `json:"overdue"`       // requests that took longer than their timeout and a second
	CacheHitShare float64         `json:"cache_hit_share"`
	Fairness      float64         `json:"fairness"` // Jain's index of the share in time per team
	Machine       Machine         `json:"machine"`
	Classes       []ClassRow      `json:"classes"`
	Slowdown      []SlowdownRow   `json:"slowdown,omitempty"`
	Codes         []CodeRow       `json:"codes"`
	Teams         []TeamRow       `json:"teams"`
	Upstreams     []UpstreamRow   `json:"upstreams"`
	Failures      []FailureSample `json:"failures,omitempty"`
}

// Machine tells whether the machine that sent the load kept up with it.
type Machine struct {
	Cores     int       `json:"cores"`
	BusyCores float64   `json:"busy_cores"` // of the whole machine during the run; negative if unknown
	Lateness  Quantiles `json:"lateness"`   // of sending
	Limited   bool      `json:"limited"`    // the figures show the machine, not the system
}

// ClassRow describes the requests of one length class.
type ClassRow struct {
	Class   string    `json:"class"`
	Sent    int       `json:"sent"`
	Whole   int       `json:"whole"`
	InTime  int       `json:"in_time"`
	Refused int       `json:"refused"` // not run
	Failed  int       `json:"failed"`
	TTFT    Quantiles `json:"ttft"`
	Gap     Quantiles `json:"gap"` // time between tokens
	Took    Quantiles `json:"took"`
}

// SlowdownRow compares a stream alone with the same arrivals among others.
type SlowdownRow struct {
	Stream string    `json:"stream"`
	Alone  Quantiles `json:"alone_ttft"`
	Mixed  Quantiles `json:"mixed_ttft"`
	P50    float64   `json:"p50_factor"`
	P95    float64   `json:"p95_factor"`
	P99    float64   `json:"p99_factor"`
}

// CodeRow counts the requests that ended with a result code.
type CodeRow struct {
	Code  code.Code `json:"code"`
	Name  string    `json:"name"`
	Count int       `json:"count"`
}

// TeamRow describes the requests of one team.
type TeamRow struct {
	Team        string    `json:"team"`
	Weight      int       `json:"weight"`
	Sent        int       `json:"sent"`
	InTime      int       `json:"in_time"`
	InTimeShare float64   `json:"in_time_share"`
	Tokens      uint64    `json:"tokens"` // prompt and answer tokens of whole answers
	TTFT        Quantiles `json:"ttft"`
}

// UpstreamRow describes what one engine ran.
type UpstreamRow struct {
	Upstream     string `json:"upstream"`
	Runs         int    `json:"runs"`
	PromptTokens uint64 `json:"prompt_tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	AnswerTokens uint64 `json:"answer_tokens"`
}

// FailureSample is one request that failed, for a trace.
type FailureSample struct {
	RequestID string    `json:"request_id"`
	Stream    string    `json:"stream"`
	Code      code.Code `json:"code"`
	Detail    string    `json:"detail"`
}

// Length classes of the report by prompt tokens, ascending.
var classes = []struct {
	name  string
	limit uint32 // largest prompt in tokens
}{
	{"up to 4k", 4_000},
	{"4k to 32k", 32_000},
	{"32k to 100k", 100_000},
	{"over 100k", 1 << 31},
}

func classOf(promptTokens uint32) int {
	for i, class := range classes {
		if promptTokens <= class.limit {
			return i
		}
	}
	return len(classes) - 1
}

const (
	overdueGrace       = time.Second
	maxFailureSamples  = 20
	latenessLimit      = 10 * time.Millisecond // of the 99th percentile
	busyLimitShare     = 0.9                   // of all cores
	hundredthToPercent = 100
)

// NewReport summarises results, which took the given time to send and answer.
func NewReport(r *Runner, scale float64, results []Result, took time.Duration) *Report {
	report := &Report{
		Workload:  r.Workload.Name,
		Seed:      r.Seed,
		Scale:     scale,
		Hosts:     len(r.Hosts),
		Sent:      len(results),
		DurationS: took.Seconds(),
	}
	report.Classes = classRows(r.Workload, results)
	report.Codes = codeRows(results)
	report.Teams = teamRows(r, results)
	report.Fairness = fairness(report.Teams)
	report.countAnswers(r.Workload, results, took)
	report.Machine.Lateness = lateness(results)
	return report
}

func (report *Report) countAnswers(w *Workload, results []Result, took time.Duration) {
	inTime := 0
	var tokens uint64
	for i := range results {
		result := &results[i]
		timeout := time.Duration(w.Streams[result.Arrival.Stream].Timeout)
		if result.InTime(timeout) {
			inTime++
		}
		if result.Whole {
			tokens += uint64(result.Answer.Tokens)
		}
		if result.Wrong {
			report.Wrong++
		}
		if result.Answer.Took > timeout+overdueGrace {
			report.Overdue++
		}
		if !result.Whole && len(report.Failures) < maxFailureSamples {
			report.Failures = append(report.Failures, FailureSample{
				RequestID: result.Answer.RequestID,
				Stream:    w.Streams[result.Arrival.Stream].Name,
				Code:      result.Answer.Code,
				Detail:    result.Answer.Detail,
			})
		}
	}
	report.GoodputPerS = float64(inTime) / took.Seconds()
	report.TokensPerS = float64(tokens) / took.Seconds()
}

// SetMachine adds what is known about the machine.
func (report *Report) SetMachine(cores int, busyCores float64) {
	machine := &report.Machine
	machine.Cores = cores
	machine.BusyCores = busyCores
	late := machine.Lateness.P99 > float64(latenessLimit.Milliseconds())
	machine.Limited = late || busyCores > busyLimitShare*float64(cores)
}

func lateness(results []Result) Quantiles {
	h := newHistogram()
	for i := range results {
		h.record(results[i].Late)
	}
	return h.quantiles()
}
