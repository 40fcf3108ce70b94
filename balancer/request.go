package balancer

import (
	"slices"
	"time"

	"github.com/citronscale/citronscale/upstream"
)

// Request is the input of a placement decision about one request.
type Request struct {
	Model         string
	PromptTokens  uint32
	MaxTokens     uint32 // upper limit of the answer length
	ReserveTokens uint32 // memory reserved beyond prompt and answer
	Class         Class
	PrefixDigests []uint64 // as upstream.PrefixDigests computes them, shortest first
	Team          string
	Deadline      time.Time
	Avoid         []upstream.Name // engines that must not be chosen
	// MayHaveRun tells that an earlier attempt may have run. A refusal would not be one
	// that the caller can rely on, so the request waits for capacity while it has time.
	MayHaveRun bool
}

// Memory returns the KV memory that the request asks for, in tokens.
func (r *Request) Memory() uint64 {
	return uint64(r.PromptTokens) + uint64(r.MaxTokens) + uint64(r.ReserveTokens)
}

func (r *Request) avoids(name upstream.Name) bool {
	return slices.Contains(r.Avoid, name)
}

// Load is the load of one engine as known to this host. All sizes are in tokens.
type Load struct {
	Name             upstream.Name
	FailureDomain    string
	CapacityTokens   uint64
	UsedTokens       uint64    // of running and held work, by the last report
	QueuedTokens     uint64    // of waiting work, by the last report
	OwnTokens        uint64    // of work in flight from this host
	OwnRequests      uint32    // requests in flight from this host
	UnreportedTokens uint64    // of work that this host sent after the last report was taken
	ByClass          ByClass   // running, waiting and not yet reported work
	AsOf             time.Time // when the last report was taken
	Leaving          bool
	Failed           bool // does not answer, or is struck
}

// ByClass holds tokens by the class of the work they belong to.
type ByClass [Classes + 1]uint64

func (b *ByClass) add(other *ByClass) {
	for i := range b {
		b[i] += other[i]
	}
}

func (b *ByClass) subtract(other *ByClass) {
	for i := range b {
		b[i] -= other[i]
	}
}

// longerClassWeight is the weight of the work of longer classes in the delay of a
// request. Engines serve by priority, so longer work delays the request only by
// sharing batches with it.
const longerClassWeight = 0.1

// ahead returns the tokens that delay a request of the given class.
func (b *ByClass) ahead(class Class) float64 {
	var sum float64
	for c := ClassShort; c <= ClassLong; c++ {
		if c <= class {
			sum += float64(b[c])
		} else {
			sum += longerClassWeight * float64(b[c])
		}
	}
	return sum
}

// memoryLoad returns the memory of running, held and waiting work as a share of
// the capacity, including work of this host that is not yet reported.
func (l *Load) memoryLoad() float64 {
	return float64(l.UsedTokens+l.QueuedTokens+l.UnreportedTokens) / float64(max(l.CapacityTokens, 1))
}

func (l *Load) usable(req *Request) bool {
	return !l.Leaving && !l.Failed && !req.avoids(l.Name)
}
