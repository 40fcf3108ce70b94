package enginewire

import (
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Report is the answer to a request to PathReport.
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

// Upstream returns the report as the upstream package knows it.
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
		Running:        workList(r.Running),
		Waiting:        workList(r.Waiting),
		Held:           workList(r.Held),
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

func workList(rows []Work) []upstream.Work {
	list := make([]upstream.Work, 0, len(rows))
	for _, row := range rows {
		list = append(list, upstream.Work{Attempt: ident.Attempt(row.Attempt), Tokens: row.Tokens, Priority: row.Priority})
	}
	return list
}
