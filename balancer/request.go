package balancer

import (
	"slices"
	"time"

	"github.com/citronscale/citronscale/upstream"
)

// Request is what a placement decision knows about a request.
type Request struct {
	Model         string
	PromptTokens  uint32
	MaxTokens     uint32 // largest length of the answer
	Class         Class
	PrefixDigests []uint64 // as upstream.PrefixDigests computes them, shortest first
	Team          string
	Deadline      time.Time
	Avoid         []upstream.Name // engines that must not be chosen
}

// Memory returns the KV memory that the request can grow to, in tokens.
func (r *Request) Memory() uint64 {
	return uint64(r.PromptTokens) + uint64(r.MaxTokens)
}

func (r *Request) avoids(name upstream.Name) bool {
	return slices.Contains(r.Avoid, name)
}

// Load is what this host knows about one engine. All sizes are in tokens.
type Load struct {
	Name           upstream.Name
	FailureDomain  string
	CapacityTokens uint64
	UsedTokens     uint64    // of running and held work, by the last report
	QueuedTokens   uint64    // of waiting work, by the last report
	OwnTokens      uint64    // of the own work in flight
	OwnRequests    uint32    // own requests in flight
	UnseenTokens   uint64    // of the own work sent after the last report was taken
	LeasedFree     uint64    // held under a lease and not in use
	AsOf           time.Time // when the last report was taken
	Leaving        bool
	Failed         bool // does not answer, or is struck
}

// ratio is the load as a share of the capacity, own unreported work included.
func (l *Load) ratio() float64 {
	return float64(l.UsedTokens+l.QueuedTokens+l.UnseenTokens) / float64(max(l.CapacityTokens, 1))
}

func (l *Load) usable(req *Request) bool {
	return !l.Leaving && !l.Failed && !req.avoids(l.Name)
}
