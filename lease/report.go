package lease

import (
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/upstream"
)

// ReportOf returns the part of an engine's report that its owner needs. Held
// memory belongs to prompts that run on several engines and need no leases.
func ReportOf(report *upstream.Report) *EngineReport {
	r := &EngineReport{
		AsOf:           report.AsOf,
		CapacityTokens: report.CapacityTokens,
		Leaving:        report.Leaving,
	}
	for _, work := range report.Running {
		r.add(work, balancer.ClassOfPriority(work.Priority))
	}
	for _, work := range report.Waiting {
		r.add(work, balancer.ClassOfPriority(work.Priority))
	}
	for _, work := range report.Held {
		r.add(work, Unleased)
	}
	return r
}

func (r *EngineReport) add(work upstream.Work, class balancer.Class) {
	request := work.Attempt.Request
	holder := Holder{Host: request.Host, Incarnation: request.Incarnation}
	r.Uses = append(r.Uses, Use{Holder: holder, Class: class, Tokens: uint64(work.Tokens)})
}
