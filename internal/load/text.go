package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText writes the report as tables.
func (report *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	report.writeSummary(w)
	report.writeClasses(w)
	report.writeSlowdown(w)
	report.writeCodes(w)
	report.writeTeams(w)
	report.writeUpstreams(w)
	writeFailures(w, report.Failures)
	return w.Flush()
}

func (report *Report) writeSummary(w io.Writer) {
	fmt.Fprintf(w, "workload %s, seed %d, rates times %g, %d hosts, %d engines\n", report.Workload, report.Seed, report.Scale, report.Hosts, report.Engines)
	fmt.Fprintf(w, "%d requests in %.1f s; %.2f whole answers in time and %.0f answer tokens a second\n", report.Sent, report.DurationS, report.GoodputPerS, report.TokensPerS)
	fmt.Fprintf(w, "wrong answers: %d, overdue: %d, prompt tokens from prefix caches: %.1f%%, fairness among teams: %.3f\n", report.Wrong, report.Overdue, report.CacheHitShare*hundredthToPercent, report.Fairness)
	machine := report.Machine
	fmt.Fprintf(w, "machine: %.1f of %d cores busy, requests sent late by %.1f ms for 99 in 100\n", machine.BusyCores, machine.Cores, machine.Lateness.P99)
	if machine.Limited {
		fmt.Fprintln(w, "THE MACHINE WAS THE LIMIT: these figures don't describe the system")
	}
}

func (report *Report) writeClasses(w io.Writer) {
	fmt.Fprintln(w, "\nprompt tokens\tsent\twhole\tin time\trefused\tfailed\tTTFT p50\tp95\tp99\tgap p50\tp95\tp99\ttook p50\tp95\t")
	for _, row := range report.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t\n",
			row.Class, row.Sent, row.Whole, row.InTime, row.Refused, row.Failed,
			row.TTFT.P50, row.TTFT.P95, row.TTFT.P99,
			row.Gap.P50, row.Gap.P95, row.Gap.P99,
			row.Took.P50, row.Took.P95)
	}
	fmt.Fprintln(w, "times in milliseconds")
}

func (report *Report) writeSlowdown(w io.Writer) {
	if len(report.Slowdown) == 0 {
		return
	}
	fmt.Fprintln(w, "\nTTFT of stream\talone p50\tp95\tp99\tmixed p50\tp95\tp99\tfactor p50\tp95\tp99\t")
	for _, row := range report.Slowdown {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t\n",
			row.Stream, row.Alone.P50, row.Alone.P95, row.Alone.P99,
			row.Mixed.P50, row.Mixed.P95, row.Mixed.P99, row.P50, row.P95, row.P99)
	}
}

func (report *Report) writeCodes(w io.Writer) {
	fmt.Fprintln(w, "\ncode\tname\trequests\t")
	for _, row := range report.Codes {
		fmt.Fprintf(w, "%d\t%s\t%d\t\n", row.Code, row.Name, row.Count)
	}
}

func (report *Report) writeTeams(w io.Writer) {
	fmt.Fprintln(w, "\nteam\tweight\tsent\tin time\tshare\ttokens\tTTFT p50\tp95\t")
	for _, row := range report.Teams {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.3f\t%d\t%.1f\t%.1f\t\n",
			row.Team, row.Weight, row.Sent, row.InTime, row.InTimeShare, row.Tokens, row.TTFT.P50, row.TTFT.P95)
	}
}

func (report *Report) writeUpstreams(w io.Writer) {
	fmt.Fprintln(w, "\nupstream\truns\tprompt tokens\tcached\tanswer tokens\t")
	for _, row := range report.Upstreams {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t\n", row.Upstream, row.Runs, row.PromptTokens, row.CachedTokens, row.AnswerTokens)
	}
}

func writeFailures(w io.Writer, failures []FailureSample) {
	if len(failures) == 0 {
		return
	}
	fmt.Fprintln(w, "\nfirst requests without a whole answer (code, stream, request, detail):")
	for _, failure := range failures {
		fmt.Fprintf(w, "%d %s %s %s\n", failure.Code, failure.Stream, failure.RequestID, failure.Detail)
	}
}
