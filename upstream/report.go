package upstream

import (
	"time"

	"github.com/citronscale/citronscale/ident"
)

// Roles of engines.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Report is the load of an engine. It describes the engine as it was at AsOf,
// which lies before the time of reading by the report lag of the engine.
type Report struct {
	Name           Name
	Model          string
	Version        string // of the model that is loaded; empty while none is
	LoadingVersion string // of the model that is being loaded; empty if none
	Role           string
	Incarnation    uint64 // increases at each start of the engine
	AsOf           time.Time
	CapacityTokens uint64 // KV memory
	UsedTokens     uint64 // of running and held work, reservations included
	ReservedTokens uint64 // reserved and not yet computed
	MaxRunning     uint32 // streams that fit into the batch; zero if the engine does not say
	Running        []Work // streams in the batch
	Waiting        []Work // streams without memory yet
	Held           []Work // reservations and exported parts
	Leaving        bool
	Fence          uint64 // highest fencing number obeyed
	Adapters       []string
	CacheSequence  uint64 // of the newest cache event that exists
	CacheEvents    []CacheEvent
}

// Work is one attempt that an engine holds memory or a place in its queue for.
type Work struct {
	Attempt  ident.Attempt
	Tokens   uint32 // memory it holds or waits for
	Priority int
}

// CacheEvent tells that the prefix cache took up or evicted a prefix. Events
// come late and some are missing, which shows as a gap in the sequence.
type CacheEvent struct {
	Sequence uint64
	Digest   uint64 // as PrefixDigests computes it
	Tokens   uint32 // length of the prefix
	Evicted  bool
}

// Order is the state that an engine should reach. Orders are level-triggered:
// the same order may be given any number of times.
type Order struct {
	Fence     uint64 // revision of the configuration that asks for the state
	Model     string
	Version   string
	Role      string
	Adapters  []string
	Withdrawn []string // versions that must not be served
}
