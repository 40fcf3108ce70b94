package membership

import (
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

// Options are the timing and size limits of a table.
type Options struct {
	Period          time.Duration // between two calls of Tick; also the timeout of a probe
	SuspectTime     time.Duration // a suspect host is marked failed after this time
	PauseTime       time.Duration // a longer gap between ticks counts as a pause
	FailedRetention time.Duration // a failed host is removed from the table after this time
	Fanout          int           // probes per period
	Partners        int           // hosts probed in turn before one of them is replaced
	IndirectProbes  int           // third hosts that probe a host which did not answer
	IndirectLimit   int           // indirect probes per period; beyond it one failed probe makes a host suspect
	LeavingFanout   int           // probes in the period after the host begins to leave
	MaxRecordBytes  int           // encoded records per message, sender excluded
	MaxJoinBytes    int           // encoded records in the response to a new host
}

// DefaultOptions returns the limits for a heartbeat period and a suspect time.
func DefaultOptions(period, suspectTime time.Duration) Options {
	return Options{
		Period:          period,
		SuspectTime:     suspectTime,
		PauseTime:       4 * period,
		FailedRetention: 15 * time.Minute,
		Fanout:          1,
		Partners:        16,
		IndirectProbes:  2,
		IndirectLimit:   2,
		LeavingFanout:   16,
		MaxRecordBytes:  1_000,
		MaxJoinBytes:    16_000,
	}
}

// State is the state of a host.
type State = peerv1.HostState

// States in ascending order; at equal incarnation and version the greater wins.
const (
	Starting = peerv1.HostState_HOST_STATE_STARTING
	Ready    = peerv1.HostState_HOST_STATE_READY
	Leaving  = peerv1.HostState_HOST_STATE_LEAVING
	Suspect  = peerv1.HostState_HOST_STATE_SUSPECT
	Failed   = peerv1.HostState_HOST_STATE_FAILED
)

// Self identifies the host that owns the table.
type Self struct {
	Host          ident.Host
	Incarnation   ident.Incarnation
	PeerAddress   string // IP:port of the peer listener
	FailureDomain string
}

// Seed is an entry host as the platform's host list shows it.
type Seed struct {
	Host          ident.Host
	PeerAddress   string
	FailureDomain string
	Leaving       bool
}

// Member is the state of one host in the table.
type Member struct {
	Host           ident.Host
	Incarnation    ident.Incarnation
	State          State
	PeerAddress    string
	FailureDomain  string
	ConfigRevision uint64 // as last reported
	ConfigDigest   uint64
	LastContactAt  time.Time // last direct answer or probe; zero if never
	Usage          []*peerv1.TeamUsage
	Self           bool
}

// Change is a state transition of one member.
type Change struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	From        State // HOST_STATE_UNSPECIFIED if the host was unknown
	To          State
}

// Probe is a heartbeat to send. The sender reports its outcome with Response or
// Failed.
type Probe struct {
	Host    ident.Host
	Address string // IP:port
	Message *peerv1.HeartbeatRequest
}
