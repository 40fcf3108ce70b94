package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText writes the figures as tables.
func (report *BenchReport) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "ms\tcount\tp50\tp95\tp99\t")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{
		{"TTFT direct", report.DirectTTFT},
		{"TTFT through a host", report.ThroughTTFT},
		{"TTFT outside the engine, direct", report.DirectPath},
		{"TTFT outside the engine, through a host", report.ThroughPath},
		{"gap direct", report.DirectGap},
		{"gap through a host", report.ThroughGap},
	} {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t\n", row.name, row.q.Count, row.q.P50, row.q.P95, row.q.P99)
	}
	writeAdded(w, "TTFT added outside the engine", report.DirectPath, report.ThroughPath)
	writeAdded(w, "gap added", report.DirectGap, report.ThroughGap)
	fmt.Fprintf(w, "requests without a whole answer: %d\n", report.Failed)
	fmt.Fprintf(w, "machine: %.1f of %d cores busy, requests sent late by %.1f ms for 99 in 100\n", report.Machine.BusyCores, report.Machine.Cores, report.Machine.Lateness.P99)
	if report.Machine.Limited {
		fmt.Fprintln(w, "THE MACHINE WAS THE LIMIT: these figures don't describe the system")
	}
	report.writeRelay(w)
	writeFailures(w, report.Failures)
	return w.Flush()
}

func (report *BenchReport) writeRelay(w io.Writer) {
	relay := report.Relay
	if relay == nil {
		fmt.Fprintln(w, "relaying was not measured: no process identifiers of entry hosts are known")
		return
	}
	const megabyte = 1 << 20
	fmt.Fprintf(w, "relayed %d tokens of %d streams, %d of them whole, at %.0f tokens/s a host: %.0f tokens per processor second\n",
		relay.Tokens, relay.Streams, relay.WholeAnswers, relay.TokensPerSecondHost, relay.TokensPerCPUSecond)
	fmt.Fprintf(w, "resident memory: %.1f MB a host before the streams, %.0f bytes more for each open stream\n",
		float64(relay.IdleBytesPerHost)/megabyte, relay.OpenBytesPerStream)
}

func writeAdded(w io.Writer, name string, direct, through Quantiles) {
	fmt.Fprintf(w, "%s\t\t%+.2f\t%+.2f\t%+.2f\t\n", name, through.P50-direct.P50, through.P95-direct.P95, through.P99-direct.P99)
}
