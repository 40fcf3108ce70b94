package load

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginehttp"
)

// Bench compares answers through the entry hosts with answers of the engines
// called directly, in the same run and at the same load.
type Bench struct {
	Fleet        *Fleet
	Teams        []Team
	Model        string
	Seed         uint64
	Rate         float64 // requests per second, half of them direct
	Duration     time.Duration
	PromptTokens uint32
	AnswerTokens uint32
	Streams      int   // open at once while relaying is measured
	PIDs         []int // processes of the entry hosts; empty to skip what needs them
	Caller       *Caller
}

// BenchReport holds the figures of a bench.
type BenchReport struct {
	DirectTTFT  Quantiles `json:"direct_ttft"`
	ThroughTTFT Quantiles `json:"through_ttft"`
	DirectPath  Quantiles `json:"direct_path"`  // TTFT without the time that the engine spent
	ThroughPath Quantiles `json:"through_path"` // of it in queues of the hosts as well
	DirectGap   Quantiles `json:"direct_gap"`
	ThroughGap  Quantiles `json:"through_gap"`
	Failed      int       `json:"failed"` // requests without a whole answer

	Failures []FailureSample `json:"failures,omitempty"` // the first of them
	Relay    *Relay          `json:"relay,omitempty"`
	Machine  Machine         `json:"machine"`
}

// Relay describes what it costs the entry hosts to relay streams.
type Relay struct {
	Streams             int     `json:"streams"`
	Tokens              uint64  `json:"tokens"`
	TokensPerCPUSecond  float64 `json:"tokens_per_cpu_second"`
	IdleBytesPerHost    int64   `json:"idle_bytes_per_host"` // resident before the streams were opened
	OpenBytesPerStream  float64 `json:"open_bytes_per_stream"`
	WholeAnswers        int     `json:"whole_answers"`
	TokensPerSecondHost float64 `json:"tokens_per_second_host"` // during the measurement, not a limit
}

const benchTimeout = time.Minute

// Run compares latencies and then measures relaying.
func (b *Bench) Run(ctx context.Context) (*BenchReport, error) {
	report := &BenchReport{}
	clock := StartCPUClock()
	late := b.compare(ctx, report)
	report.Machine.Lateness = late.quantiles()
	report.Machine.Cores = Cores()
	report.Machine.BusyCores = clock.BusyCores()
	report.Machine.Limited = report.Machine.Lateness.P99 > float64(latenessLimit.Milliseconds()) ||
		report.Machine.BusyCores > busyLimitShare*float64(report.Machine.Cores)
	if len(b.PIDs) == 0 {
		return report, nil
	}
	relay, err := b.relay(ctx, report)
	report.Relay = relay
	return report, err
}

// fail counts a request without a whole answer.
func (report *BenchReport) fail(stream string, answer *Answer) {
	report.Failed++
	if answer == nil || len(report.Failures) >= maxFailureSamples {
		return
	}
	report.Failures = append(report.Failures, FailureSample{
		RequestID: answer.RequestID,
		Stream:    stream,
		Code:      answer.Code,
		Detail:    answer.Detail,
	})
}

// sample is one answer of the comparison.
type sample struct {
	answer *Answer
	whole  bool
	direct bool
	late   time.Duration
}

func (b *Bench) compare(ctx context.Context, report *BenchReport) *histogram {
	w := &Workload{
		Duration:    Duration(b.Duration),
		TeamWeights: []int{1},
		Streams: []Stream{{
			Name:         "bench",
			Rate:         b.Rate,
			PromptTokens: Range{b.PromptTokens, b.PromptTokens},
			MaxTokens:    Range{b.AnswerTokens, b.AnswerTokens},
			Timeout:      Duration(benchTimeout),
		}},
	}
	client := enginehttp.NewClient(enginehttp.Options{})
	defer client.Close()
	arrivals := w.Arrivals(b.Seed, 1)
	samples := make([]sample, len(arrivals))
	started := time.Now().Add(prepareAhead)
	var running sync.WaitGroup
	for i, arrival := range arrivals {
		if !sleepUntil(ctx, started.Add(arrival.At-prepareAhead)) {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			samples[i] = b.sendSample(ctx, client, w, arrival, started)
		}()
	}
	running.Wait()
	return report.collect(samples, b.engineTimes(ctx, started))
}

// engineTimes returns, by request, the time from acceptance to the first token
// in the engine that answered.
func (b *Bench) engineTimes(ctx context.Context, since time.Time) map[string]time.Duration {
	times := make(map[string]time.Duration)
	for _, engine := range b.Fleet.Engines {
		runs, err := EngineRuns(ctx, engine.Address, since)
		if err != nil {
			continue
		}
		for _, run := range runs {
			attempt, err := ident.ParseAttempt(run.Attempt)
			if err == nil && run.Whole {
				times[attempt.Request.String()] = time.Duration(run.FirstTokenUS) * time.Microsecond
			}
		}
	}
	return times
}

// sendSample sends every other arrival directly to an engine.
func (b *Bench) sendSample(ctx context.Context, client *enginehttp.Client, w *Workload, arrival Arrival, started time.Time) sample {
	request := &Request{
		Model:     b.Model,
		Prompt:    w.Prompt(arrival, b.Seed),
		MaxTokens: arrival.MaxTokens,
		Timeout:   benchTimeout,
		Token:     b.Teams[arrival.Index%len(b.Teams)].Token,
	}
	body, err := request.Encode()
	if err != nil {
		return sample{answer: &Answer{Code: NoAnswer, Detail: err.Error()}}
	}
	at := started.Add(arrival.At)
	sleepUntil(ctx, at)
	s := sample{direct: arrival.Index%2 == 0, late: time.Since(at)}
	turn := arrival.Index / 2
	if s.direct {
		entry := b.Fleet.Engines[turn%len(b.Fleet.Engines)]
		engine := client.Engine(upstream.Name(entry.Name), entry.Address)
		s.answer = direct(ctx, engine, request, uint64(arrival.Index+1))
	} else {
		host := b.Fleet.Hosts[turn%len(b.Fleet.Hosts)]
		s.answer = b.Caller.Complete(ctx, host.Address, request, body)
	}
	s.whole = s.answer.Code == code.OK && s.answer.Text == enginestub.Answer(request.Prompt, request.MaxTokens)
	s.answer.Text = ""
	return s
}

// direct sends a request to an engine itself.
func direct(ctx context.Context, engine upstream.Engine, request *Request, sequence uint64) *Answer {
	started := time.Now()
	id := ident.Request{Host: "bench", Incarnation: ident.Incarnation(started.UnixNano()), Sequence: sequence}
	answer := &Answer{Code: NoAnswer, RequestID: id.String()}
	defer func() { answer.Took = time.Since(started) }()
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	stream, err := engine.Generate(ctx, &upstream.GenerateRequest{
		Attempt: ident.Attempt{
			Request:  id,
			Number:   1,
			Deadline: started.Add(request.Timeout).Truncate(time.Millisecond),
		},
		Model:        request.Model,
		Prompt:       request.Prompt,
		PromptTokens: upstream.CountTokens(request.Prompt),
		MaxTokens:    request.MaxTokens,
	})
	if err != nil {
		answer.Detail = err.Error()
		return answer
	}
	defer func() { _ = stream.Close() }()
	answer.readEngine(stream, started)
	return answer
}

func (a *Answer) readEngine(stream upstream.Stream, started time.Time) {
	var text strings.Builder
	last := started
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			a.Detail = err.Error()
			return
		}
		if frame.Text == "" {
			continue
		}
		text.WriteString(frame.Text)
		a.Tokens += frame.Tokens
		now := time.Now()
		if a.FirstToken == 0 {
			a.FirstToken = now.Sub(started)
		} else {
			a.Gaps = append(a.Gaps, now.Sub(last))
		}
		last = now
	}
	a.Code = code.OK
	a.Text = text.String()
}

func (report *BenchReport) collect(samples []sample, engineTimes map[string]time.Duration) *histogram {
	ttft := [2]*histogram{newHistogram(), newHistogram()}
	path := [2]*histogram{newHistogram(), newHistogram()}
	gap := [2]*histogram{newHistogram(), newHistogram()}
	late := newHistogram()
	for _, s := range samples {
		if s.answer == nil || !s.whole {
			report.fail("comparison", s.answer)
			continue
		}
		late.record(s.late)
		side := 0
		if s.direct {
			side = 1
		}
		ttft[side].record(s.answer.FirstToken)
		if inEngine, ok := engineTimes[s.answer.RequestID]; ok {
			path[side].record(s.answer.FirstToken - inEngine)
		}
		for _, g := range s.answer.Gaps {
			gap[side].record(g)
		}
	}
	report.ThroughTTFT, report.DirectTTFT = ttft[0].quantiles(), ttft[1].quantiles()
	report.ThroughPath, report.DirectPath = path[0].quantiles(), path[1].quantiles()
	report.ThroughGap, report.DirectGap = gap[0].quantiles(), gap[1].quantiles()
	return late
}

// usage is what the entry hosts have used together.
type usage struct {
	at       time.Time
	cpu      time.Duration
	resident int64
}

func (b *Bench) usage() (usage, error) {
	total := usage{at: time.Now()}
	for _, pid := range b.PIDs {
		cpu, err := ProcessTime(pid)
		if err != nil {
			return total, err
		}
		resident, err := ResidentBytes(pid)
		if err != nil {
			return total, err
		}
		total.cpu += cpu
		total.resident += resident
	}
	return total, nil
}

// relay opens streams through the hosts and measures until all have ended.
func (b *Bench) relay(ctx context.Context, report *BenchReport) (*Relay, error) {
	before, err := b.usage()
	if err != nil {
		return nil, err
	}
	answers := make([]*Answer, b.Streams)
	var running sync.WaitGroup
	for i := range b.Streams {
		running.Add(1)
		go func() {
			defer running.Done()
			answers[i] = b.openStream(ctx, i)
		}()
	}
	const settleTime = 2 * time.Second
	sleepUntil(ctx, time.Now().Add(settleTime))
	open, err := b.usage()
	running.Wait()
	if err != nil {
		return nil, err
	}
	after, err := b.usage()
	if err != nil {
		return nil, err
	}
	relay := &Relay{Streams: b.Streams, IdleBytesPerHost: before.resident / int64(len(b.PIDs))}
	for _, answer := range answers {
		if answer.Code == code.OK {
			relay.WholeAnswers++
			relay.Tokens += uint64(answer.Tokens)
		} else {
			report.fail("relay", answer)
		}
	}
	relay.OpenBytesPerStream = float64(open.resident-before.resident) / float64(b.Streams)
	relay.TokensPerCPUSecond = float64(relay.Tokens) / (after.cpu - before.cpu).Seconds()
	relay.TokensPerSecondHost = float64(relay.Tokens) / after.at.Sub(before.at).Seconds() / float64(len(b.PIDs))
	return relay, nil
}

// openStream asks for a long answer.
func (b *Bench) openStream(ctx context.Context, index int) *Answer {
	const answerTokens = 1000
	rng := rand.New(rand.NewPCG(b.Seed, uint64(index)))
	w := &Workload{}
	prompt := ""
	for length := uint64(0); length < answerTokens; {
		arrival := Arrival{PromptTokens: b.PromptTokens, Prefix: noPrefix, PromptSeed: rng.Uint64()}
		prompt = w.Prompt(arrival, b.Seed)
		length, _ = enginestub.AnswerLength(upstream.Digest(prompt), answerTokens)
	}
	request := &Request{
		Model:     b.Model,
		Prompt:    prompt,
		MaxTokens: answerTokens,
		Timeout:   2 * benchTimeout,
		Token:     b.Teams[index%len(b.Teams)].Token,
	}
	body, err := request.Encode()
	if err != nil {
		return &Answer{Code: NoAnswer, Detail: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, request.Timeout+answerGrace)
	defer cancel()
	return b.Caller.Complete(ctx, b.Fleet.Hosts[index%len(b.Fleet.Hosts)].Address, request, body)
}
