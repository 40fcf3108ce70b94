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

// Report is the load of an engine at the time AsOf, which precedes the time of
// the request by the report lag of the engine.
type Report struct {
	Name           Name
	Model          string
	Version        string // of the loaded model; empty if none is loaded
	LoadingVersion string // of the model that is being loaded; empty if none is
	Role           string
	Incarnation    uint64 // increases at each start of the engine
	AsOf           time.Time
	CapacityTokens uint64 // size of the KV memory
	UsedTokens     uint64 // by Running and Held, including reservations
	ReservedTokens uint64 // reserved, but not computed yet
	MaxRunning     uint32 // maximum number of streams in the batch; zero if the engine does not report it
	Running        []Work // streams in the batch
	Waiting        []Work // streams that wait for memory
	Held           []Work // reservations and exported parts
	Leaving        bool
	Fence          uint64 // highest fencing number of an accepted order
	Adapters       []string
	CacheSequence  uint64 // of the newest cache event that exists
	CacheEvents    []CacheEvent
}

// Work is one attempt that uses memory of an engine or waits in its queue.
type Work struct {
	Attempt  ident.Attempt
	Tokens   uint32 // memory that it uses or waits for
	Priority int
}

// CacheEvent is the insertion of a prefix into the prefix cache or its eviction.
// Events are delayed and can be lost, which leaves a gap in the sequence.
type CacheEvent struct {
	Sequence uint64
	Digest   uint64 // computed as by PrefixDigests
	Tokens   uint32 // length of the prefix
	Evicted  bool
}

// Order is the desired state of an engine. Orders are level-triggered: the same
// order can be sent any number of times.
type Order struct {
	Fence     uint64 // revision of the configuration that defines the state
	Model     string
	Version   string
	Role      string
	Adapters  []string
	Withdrawn []string // versions that must not be served
}
