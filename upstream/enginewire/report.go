package enginewire

import (
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Report is the response to a request to PathReport.
type Report struct {
	Name           string       `json:"name"`
	Model          string       `json:"model"`
	Version        string       `json:"version"`
	LoadingVersion string       `json:"loading_version,omitempty"`
	Role           string       `json:"role"`
	Incarnation    uint64       `json:"incarnation"`
	AsOfMS         int64        `json:"as_of_ms"` // Unix milliseconds
	CapacityTokens uint64       `json:"capacity_tokens"`
	UsedTokens     uint64       `json:"used_tokens"`
	ReservedTokens uint64       `json:"reserved_tokens"`
	MaxRunning     uint32       `json:"max_running,omitempty"`
	Running        []Work       `json:"running,omitempty"`
	Waiting        []Work       `json:"waiting,omitempty"`
	Held           []Work       `json:"held,omitempty"`
	Leaving        bool         `json:"leaving"`
	Fence          uint64       `json:"fence"`
	Adapters       []string     `json:"adapters,omitempty"`
	CacheSequence  uint64       `json:"cache_sequence"`
	CacheEvents    []CacheEvent `json:"cache_events,omitempty"`
}

// Work is one attempt in a report.
type Work struct {
	Attempt  Attempt `json:"attempt"`
	Tokens   uint32  `json:"tokens"`
	Priority int     `json:"priority"`
}

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Digest   uint64 `json:"digest"`
	Tokens   uint32 `json:"tokens"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// Upstream converts the report to the type of the upstream package.
func (r *Report) Upstream() *upstream.Report {
	report := &upstream.Report{
		Name:           upstream.Name(r.Name),
		Model:          r.Model,
		Version:        r.Version,
		LoadingVersion: r.LoadingVersion,
		Role:           r.Role,
		Incarnation:    r.Incarnation,
		AsOf:           time.UnixMilli(r.AsOfMS),
		CapacityTokens: r.CapacityTokens,
		UsedTokens:     r.UsedTokens,
		ReservedTokens: r.ReservedTokens,
		MaxRunning:     r.MaxRunning,
		Running:        toUpstreamWork(r.Running),
		Waiting:        toUpstreamWork(r.Waiting),
		Held:           toUpstreamWork(r.Held),
		Leaving:        r.Leaving,
		Fence:          r.Fence,
		Adapters:       r.Adapters,
		CacheSequence:  r.CacheSequence,
	}
	for _, event := range r.CacheEvents {
		report.CacheEvents = append(report.CacheEvents, upstream.CacheEvent(event))
	}
	return report
}

func toUpstreamWork(items []Work) []upstream.Work {
	works := make([]upstream.Work, 0, len(items))
	for _, item := range items {
		works = append(works, upstream.Work{Attempt: ident.Attempt(item.Attempt), Tokens: item.Tokens, Priority: item.Priority})
	}
	return works
}
