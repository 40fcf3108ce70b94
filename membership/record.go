package membership

import (
	"cmp"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

// entry is the table's knowledge of one host.
type entry struct {
	host        ident.Host
	incarnation ident.Incarnation
	version     uint64
	state       State
	address     string
	domain      string
	revision    uint64
	digest      uint64
	usage       []*peerv1.TeamUsage

	wasReady      bool      // the host itself last reported that it is ready
	lastContactAt time.Time // last direct contact
	probedAt      time.Time // last probe sent to the host
	doubtAt       time.Time // a probe failed and third hosts were asked; zero if not
	changeAt      time.Time // last change of state as seen here
	hasFacts      bool      // address and domain are those of this incarnation
	sends         int       // messages that may still carry the record
	facts         int       // of these, messages that carry the facts
	sum           uint64    // digest of the record; zero if the host failed
	part          int       // bucket of the roster
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
// reports. The facts that one incarnation never changes are left out on demand.
func (e *entry) record(withFacts bool) *peerv1.HostRecord {
	r := &peerv1.HostRecord{
		Host:        string(e.host),
		Incarnation: uint64(e.incarnation),
		Version:     e.version,
		State:       e.state,
	}
	if withFacts && e.hasFacts {
		r.PeerAddress = e.address
		r.FailureDomain = e.domain
	}
	return r
}

// setFacts takes the facts of an incarnation from a record that has them. A new
// incarnation without facts keeps the address of the last one as a guess.
func (e *entry) setFacts(r *peerv1.HostRecord) {
	if uint64(e.incarnation) != r.GetIncarnation() {
		e.hasFacts = false
	}
	if r.GetPeerAddress() == "" {
		return
	}
	e.address = r.GetPeerAddress()
	e.domain = r.GetFailureDomain()
	e.hasFacts = true
}

// validRecord reports whether a record from the network can enter the table.
func validRecord(r *peerv1.HostRecord) bool {
	return ident.ValidName(r.GetHost()) &&
		r.GetIncarnation() != 0 &&
		r.GetState() >= Starting && r.GetState() <= Failed
}

// responsive reports whether a host in the state is probed in turn.
func responsive(s State) bool {
	return s != Failed
}
