package load

import (
	"image/color"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	percent    = 100
)

// WritePlots draws the results into PNG files in the directory and returns
// their paths.
func WritePlots(directory string, w *Workload, results []Result) ([]string, error) {
	plots := []struct {
		file string
		draw func(*Workload, []Result) (*plot.Plot, error)
	}{
		{"ttft.png", plotFirstTokens},
		{"gaps.png", plotGaps},
		{"timeline.png", plotTimeline},
	}
	var paths []string
	for _, entry := range plots {
		drawn, err := entry.draw(w, results)
		if err != nil {
			return paths, err
		}
		path := filepath.Join(directory, entry.file)
		if err := drawn.Save(plotWidth, plotHeight, path); err != nil {
			return paths, err
		}
		paths = append(paths, path)
	}
	return paths, nil
}

func plotFirstTokens(_ *Workload, results []Result) (*plot.Plot, error) {
	byClass := make([][]time.Duration, len(classes))
	for i := range results {
		if results[i].Whole {
			class := classOf(results[i].Arrival.PromptTokens)
			byClass[class] = append(byClass[class], results[i].Answer.FirstToken)
		}
	}
	return plotDistributions("Time to first token by prompt length", byClass)
}

func plotGaps(_ *Workload, results []Result) (*plot.Plot, error) {
	byClass := make([][]time.Duration, len(classes))
	for i := range results {
		class := classOf(results[i].Arrival.PromptTokens)
		byClass[class] = append(byClass[class], results[i].Answer.Gaps...)
	}
	return plotDistributions("Time between tokens by prompt length", byClass)
}

// plotDistributions draws a cumulative distribution per length class.
func plotDistributions(title string, byClass [][]time.Duration) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "ms"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "percent of requests"
	drawn := false
	for i, durations := range byClass {
		if len(durations) == 0 {
			continue
		}
		line, err := plotter.NewLine(distribution(durations))
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(classes[i].name, line)
		drawn = true
	}
	if !drawn {
		p.X.Scale = plot.LinearScale{}
		p.X.Tick.Marker = plot.DefaultTicks{}
		return p, nil
	}
	widen(&p.X)
	return p, nil
}

// widen gives an axis whose values are all equal a range. The plot would widen it
// by one on either side, which leaves a logarithmic scale without a place for a
// value below one.
func widen(axis *plot.Axis) {
	if axis.Min == axis.Max {
		axis.Min /= 2
		axis.Max *= 2
	}
}

// distribution returns the values at each percent.
func distribution(durations []time.Duration) plotter.XYs {
	sorted := slices.Sorted(slices.Values(durations))
	points := make(plotter.XYs, 0, percent+1)
	for i := range percent + 1 {
		value := sorted[i*(len(sorted)-1)/percent]
		points = append(points, plotter.XY{X: max(value.Seconds()*1000, 0.001), Y: float64(i)})
	}
	return points
}

func plotTimeline(w *Workload, results []Result) (*plot.Plot, error) {
	seconds := int(time.Duration(w.Duration)/time.Second) + 1
	sent := make(plotter.XYs, seconds)
	inTime := make(plotter.XYs, seconds)
	refused := make(plotter.XYs, seconds)
	for i := range seconds {
		sent[i].X, inTime[i].X, refused[i].X = float64(i), float64(i), float64(i)
	}
	for i := range results {
		result := &results[i]
		second := int(result.Arrival.At / time.Second)
		sent[second].Y++
		if result.InTime(time.Duration(w.Streams[result.Arrival.Stream].Timeout)) {
			inTime[second].Y++
		}
		if isRefusal(result.Answer.Code) {
			refused[second].Y++
		}
	}
	p := plot.New()
	p.Title.Text = "Requests by second of arrival"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests"
	for i, entry := range []struct {
		name   string
		points plotter.XYs
	}{{"sent", sent}, {"whole in time", inTime}, {"refused", refused}} {
		if err := addLine(p, entry.name, plotutil.Color(i), entry.points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func addLine(p *plot.Plot, name string, c color.Color, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
