package peering

import (
	"maps"
	"math"
	"slices"
	"time"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
	"github.com/citronscale/citronscale/pace"
)

const (
	// paceRepeat is the interval in which a report on an engine is repeated. Reports that are a
	// second older than others don't count any more.
	paceRepeat = 700 * time.Millisecond
	// paceChange is the factor by which an estimate must have changed to be told at once.
	paceChange = 1.3
	// paceMemory is how long a report is passed on.
	paceMemory = 4 * time.Second
)

// sentPaces are the reports that were told last, by engine. Each announcement of a stream
// would carry them otherwise.
type sentPaces map[uint32]sentPace

type sentPace struct {
	factor float64
	at     time.Duration
}

// due returns the reports to tell now.
func (t sentPaces) due(reports []pace.Report, now time.Duration) []pace.Report {
	maps.DeleteFunc(t, func(_ uint32, told sentPace) bool { return now-told.at > paceMemory })
	var due []pace.Report
	for _, report := range reports {
		told, known := t[report.Engine]
		change := max(told.factor/report.Factor, report.Factor/told.factor)
		if !known || change >= paceChange || now-told.at >= paceRepeat && report.At > told.at {
			t[report.Engine] = sentPace{report.Factor, now}
			due = append(due, report)
		}
	}
	return due
}

// mergePaces adds reports to those of one host and drops old ones.
func mergePaces(known, reports []pace.Report, now time.Duration) []pace.Report {
	merged := slices.DeleteFunc(known, func(old pace.Report) bool {
		return now-old.At > paceMemory || slices.ContainsFunc(reports, func(w pace.Report) bool { return w.Engine == old.Engine })
	})
	return append(merged, reports...)
}

// ownPaces returns what this host has observed of slow engines.
func (n *Node) ownPaces(now time.Duration) []pace.Report {
	if n.parts.Paces == nil {
		return nil
	}
	return n.parts.Paces.Reports(now)
}

// setPaces records what a peer has observed of slow engines.
func (n *Node) setPaces(peer string, reports []pace.Report, now time.Duration) {
	if n.parts.Paces != nil && len(reports) > 0 {
		n.parts.Paces.SetPeer(peer, reports, now)
	}
}

const percent = 100

func packPaces(reports []pace.Report, now time.Duration) []*loadv1.Pace {
	list := make([]*loadv1.Pace, 0, len(reports))
	for _, report := range reports {
		list = append(list, &loadv1.Pace{
			Engine: report.Engine, Percent: uint32(math.Round(percent * report.Factor)), AgeMs: millis(now - report.At),
		})
	}
	return list
}

func unpackPaces(list []*loadv1.Pace, now time.Duration) []pace.Report {
	reports := make([]pace.Report, 0, len(list))
	for _, p := range list {
		reports = append(reports, pace.Report{
			Engine: p.GetEngine(), Factor: float64(p.GetPercent()) / percent, At: now - time.Duration(p.GetAgeMs())*time.Millisecond,
		})
	}
	return reports
}
