package mirror

import "cmp"

// Position is a point in the history of the source. A source that comes back from an older
// copy begins a new era and gives out the same revisions again, so revisions of different eras
// tell nothing about which is newer.
type Position struct {
	Era      uint64 // 0 if the source doesn't tell eras
	Revision uint64
}

// Compare returns a negative number if p is before q, zero if they are equal, and a positive
// number if p is after q. The era counts first.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}
