package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Comparison holds the reports of several policies, several seeds each.
type Comparison struct {
	groups map[string][]*Report
	order  []string
}

// ReadComparison reads DIRECTORY/POLICY/SEED/report.json.
func ReadComparison(directory string) (*Comparison, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*", "*", ReportFile))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("directory %q holds no reports", directory)
	}
	c := &Comparison{groups: make(map[string][]*Report)}
	slices.Sort(paths)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		report := &Report{}
		if err := json.Unmarshal(data, report); err != nil {
			return nil, fmt.Errorf("report %q: %w", path, err)
		}
		policy := filepath.Base(filepath.Dir(filepath.Dir(path)))
		if c.groups[policy] == nil {
			c.order = append(c.order, policy)
		}
		c.groups[policy] = append(c.groups[policy], report)
	}
	return c, nil
}

// measure is one column of a comparison.
type measure struct {
	name string
	read func(*Report) float64
}

var measures = []measure{
	{"short TTFT p95 ms", func(r *Report) float64 { return r.shortTTFT() }},
	{"short slowdown p95", func(r *Report) float64 { return r.slowdown() }},
	{"gap p95 ms", func(r *Report) float64 { return r.shortGap() }},
	{"goodput /s", func(r *Report) float64 { return r.GoodputPerS }},
	{"in time %", func(r *Report) float64 { return r.inTimeShare() * hundredthToPercent }},
	{"refused %", func(r *Report) float64 { return r.refusedShare() * hundredthToPercent }},
	{"cached %", func(r *Report) float64 { return r.CacheHitShare * hundredthToPercent }},
	{"fairness", func(r *Report) float64 { return r.Fairness }},
	{"overdue", func(r *Report) float64 { return float64(r.Overdue) }},
	{"wrong", func(r *Report) float64 { return float64(r.Wrong) }},
	{"busy cores", func(r *Report) float64 { return r.Machine.BusyCores }},
}

func (report *Report) shortTTFT() float64 {
	var worst float64
	for _, class := range report.Classes {
		if class.Class == classes[0].name {
			worst = max(worst, class.TTFT.P95)
		}
	}
	return worst
}

func (report *Report) shortGap() float64 {
	for _, class := range report.Classes {
		if class.Class == classes[0].name {
			return class.Gap.P95
		}
	}
	return 0
}

func (report *Report) slowdown() float64 {
	var worst float64
	for _, row := range report.Slowdown {
		worst = max(worst, row.P95)
	}
	return worst
}

func (report *Report) inTimeShare() float64 {
	inTime := 0
	for _, class := range report.Classes {
		inTime += class.InTime
	}
	return float64(inTime) / float64(max(report.Sent, 1))
}

func (report *Report) refusedShare() float64 {
	refused := 0
	for _, class := range report.Classes {
		refused += class.Refused
	}
	return float64(refused) / float64(max(report.Sent, 1))
}

// Write prints a Markdown table: for each policy the median over its runs and,
// in brackets, the smallest and the largest value.
func (c *Comparison) Write(out io.Writer) error {
	var text strings.Builder
	text.WriteString("| policy | runs |")
	for _, m := range measures {
		text.WriteString(" " + m.name + " |")
	}
	text.WriteString("\n|---|---|" + strings.Repeat("---|", len(measures)) + "\n")
	for _, policy := range c.order {
		reports := c.groups[policy]
		fmt.Fprintf(&text, "| %s | %d |", policy, len(reports))
		for _, m := range measures {
			text.WriteString(" " + spread(reports, m.read) + " |")
		}
		if slices.ContainsFunc(reports, func(r *Report) bool { return r.Machine.Limited }) {
			text.WriteString(" machine was the limit")
		}
		text.WriteString("\n")
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func spread(reports []*Report, read func(*Report) float64) string {
	values := make([]float64, 0, len(reports))
	for _, r := range reports {
		values = append(values, read(r))
	}
	slices.SortFunc(values, cmp.Compare[float64])
	median := values[len(values)/2]
	return fmt.Sprintf("%.4g (%.4g–%.4g)", median, values[0], values[len(values)-1])
}
