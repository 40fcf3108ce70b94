package mirror

// Reaction is what a host does with the confirmation of a peer.
type Reaction int

// Reactions.
const (
	Ignore  Reaction = iota + 1 // the peer is of an earlier era
	Fetch                       // the peer has newer entries
	Believe                     // the host has all entries of the peer
)

// React returns the reaction of a host at a position to the confirmation of a peer that has
// applied all changes up to a position, and the last one at a revision.
func React(own, peer Position, changed uint64) Reaction {
	switch {
	case peer.Era < own.Era:
		return Ignore
	case peer.Era > own.Era || changed > own.Revision:
		return Fetch
	default:
		return Believe
	}
}
