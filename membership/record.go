package membership

import (
	"cmp"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

// entry is the record and the local probe state of one host.
type entry struct {
	host           ident.Host
	incarnation    ident.Incarnation
	version        uint64
	state          State
	address        string
	failureDomain  string
	configRevision uint64
	configDigest   uint64
	usage          []*peerv1.TeamUsage

	wasReady          bool      // the host itself last reported that it is ready
	lastContactAt     time.Time // last direct contact
	probedAt          time.Time // last probe sent to the host
	indirectSince     time.Time // start of the indirect probes after a failed probe; zero if none
	changedAt         time.Time // last state transition in this table
	hasLocation       bool      // address and failure domain are those of this incarnation
	sendsLeft         int       // remaining messages that carry the record
	locationSendsLeft int       // of these, messages that include address and failure domain
	recordDigest      uint64    // digest of the record; zero if the host failed
	bucketIndex       int       // bucket of the roster
}

// compareRecords orders two records of one host by incarnation, version and
// state.
func compareRecords(e *entry, r *peerv1.HostRecord) int {
	return cmp.Or(
		cmp.Compare(uint64(e.incarnation), r.GetIncarnation()),
		cmp.Compare(e.version, r.GetVersion()),
		cmp.Compare(e.state, r.GetState()),
	)
}

// record returns the message form without the usage, which only the host itself
// reports. Address and failure domain, which are constant within an incarnation,
// are included only if requested.
func (e *entry) record(withLocation bool) *peerv1.HostRecord {
	r := &peerv1.HostRecord{
		Host:        string(e.host),
		Incarnation: uint64(e.incarnation),
		Version:     e.version,
		State:       e.state,
	}
	if withLocation && e.hasLocation {
		r.PeerAddress = e.address
		r.FailureDomain = e.failureDomain
	}
	return r
}

// setLocation copies the address and failure domain from a record that has them.
// A new incarnation without them keeps those of the previous one, which may still
// be valid.
func (e *entry) setLocation(r *peerv1.HostRecord) {
	if uint64(e.incarnation) != r.GetIncarnation() {
		e.hasLocation = false
	}
	if r.GetPeerAddress() == "" {
		return
	}
	e.address = r.GetPeerAddress()
	e.failureDomain = r.GetFailureDomain()
	e.hasLocation = true
}

// validRecord reports whether a received record may enter the table.
func validRecord(r *peerv1.HostRecord) bool {
	return ident.ValidName(r.GetHost()) &&
		r.GetIncarnation() != 0 &&
		r.GetState() >= Starting && r.GetState() <= Failed
}

// responsive reports whether a host in the state is probed in turn.
func responsive(s State) bool {
	return s != Failed
}
