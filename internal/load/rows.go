package load

import (
	"maps"
	"slices"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
)

func classRows(w *Workload, results []Result) []ClassRow {
	rows := make([]ClassRow, len(classes))
	ttft, gap, took := newHistograms(), newHistograms(), newHistograms()
	for i := range results {
		result := &results[i]
		class := classOf(result.Arrival.PromptTokens)
		rows[class].count(result, time.Duration(w.Streams[result.Arrival.Stream].Timeout))
		if result.Whole {
			ttft[class].record(result.Answer.FirstToken)
			took[class].record(result.Answer.Took)
		}
		for _, g := range result.Answer.Gaps {
			gap[class].record(g)
		}
	}
	for i := range rows {
		rows[i].Class = classes[i].name
		rows[i].TTFT = ttft[i].quantiles()
		rows[i].Gap = gap[i].quantiles()
		rows[i].Took = took[i].quantiles()
	}
	return slices.DeleteFunc(rows, func(row ClassRow) bool { return row.Sent == 0 })
}

func newHistograms() []*histogram {
	all := make([]*histogram, len(classes))
	for i := range all {
		all[i] = newHistogram()
	}
	return all
}

func (row *ClassRow) count(result *Result, timeout time.Duration) {
	row.Sent++
	switch {
	case result.Whole:
		row.Whole++
	case isRefusal(result.Answer.Code):
		row.Refused++
	default:
		row.Failed++
	}
	if result.InTime(timeout) {
		row.InTime++
	}
}

func isRefusal(c code.Code) bool {
	return c > code.OK && c.Outcome() == code.NotRun
}

func codeRows(results []Result) []CodeRow {
	counts := make(map[code.Code]int)
	for i := range results {
		counts[results[i].Answer.Code]++
	}
	var rows []CodeRow
	for _, c := range slices.Sorted(maps.Keys(counts)) {
		name := c.Name()
		if c == NoAnswer {
			name = "NoAnswer"
		}
		rows = append(rows, CodeRow{Code: c, Name: name, Count: counts[c]})
	}
	return rows
}

func teamRows(r *Runner, results []Result) []TeamRow {
	rows := make([]TeamRow, len(r.Workload.TeamWeights))
	ttft := make([]*histogram, len(rows))
	for i := range rows {
		rows[i] = TeamRow{Team: r.Teams[i].Name, Weight: r.Workload.TeamWeights[i]}
		ttft[i] = newHistogram()
	}
	for i := range results {
		result := &results[i]
		row := &rows[result.Arrival.Team]
		row.Sent++
		if result.InTime(time.Duration(r.Workload.Streams[result.Arrival.Stream].Timeout)) {
			row.InTime++
		}
		if result.Whole {
			row.Tokens += uint64(result.Arrival.PromptTokens) + uint64(result.Answer.Tokens)
			ttft[result.Arrival.Team].record(result.Answer.FirstToken)
		}
	}
	for i := range rows {
		rows[i].InTimeShare = share(rows[i].InTime, rows[i].Sent)
		rows[i].TTFT = ttft[i].quantiles()
	}
	return rows
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// fairness returns Jain's index of the share of requests served in time over
// the teams that sent any: 1 if all teams are served alike, 1/n if one is.
func fairness(rows []TeamRow) float64 {
	var sum, squares, teams float64
	for _, row := range rows {
		if row.Sent == 0 {
			continue
		}
		teams++
		sum += row.InTimeShare
		squares += row.InTimeShare * row.InTimeShare
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (teams * squares)
}

// AddEngine adds what an engine ran.
func (report *Report) AddEngine(name string, runs []enginestub.Run) {
	row := UpstreamRow{Upstream: name, Runs: len(runs)}
	for _, run := range runs {
		row.PromptTokens += uint64(run.PromptTokens)
		row.CachedTokens += uint64(run.CachedTokens)
		row.AnswerTokens += run.SentOffset - run.FirstOffset
	}
	report.Engines++
	report.Upstreams = append(report.Upstreams, row)
	var prompt, cached uint64
	for _, upstream := range report.Upstreams {
		prompt += upstream.PromptTokens
		cached += upstream.CachedTokens
	}
	report.CacheHitShare = float64(cached) / float64(max(prompt, 1))
}

// AddSlowdown compares the streams of results that were also run alone.
func (report *Report) AddSlowdown(w *Workload, alone, mixed []Result) {
	for i, stream := range w.Streams {
		if !slices.Contains(w.Alone, stream.Name) {
			continue
		}
		row := SlowdownRow{Stream: stream.Name, Alone: firstTokens(alone, i), Mixed: firstTokens(mixed, i)}
		row.P50 = factor(row.Mixed.P50, row.Alone.P50)
		row.P95 = factor(row.Mixed.P95, row.Alone.P95)
		row.P99 = factor(row.Mixed.P99, row.Alone.P99)
		report.Slowdown = append(report.Slowdown, row)
	}
}

func firstTokens(results []Result, stream int) Quantiles {
	h := newHistogram()
	for i := range results {
		if results[i].Arrival.Stream == stream && results[i].Whole {
			h.record(results[i].Answer.FirstToken)
		}
	}
	return h.quantiles()
}

func factor(mixed, alone float64) float64 {
	if alone == 0 {
		return 0
	}
	return mixed / alone
}
