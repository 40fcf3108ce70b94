package mirror

import (
	"math"
	"time"
)

const (
	// rankShare, a share of the validity of a confirmation, is added to the age of a
	// takeover for each further rank, so that hosts start one by one and the confirmation
	// of the first reaches the others before they start.
	rankShare = 0.035
	// lastShare is the age from which any host reads the source.
	lastShare = 0.78
	// relieveShare is the age of a confirmation by a host with a lower rank that ends
	// a takeover.
	relieveShare = 0.4
)

// Readers returns how many hosts of a group always read the source if changes have to
// be in force within the given time. A host that takes over from one that is cut off or
// suspended learns of a change up to two and a half seconds late. Where that is too
// long, another host has to read the source all the time.
func Readers(changeLimit time.Duration) int {
	const (
		oneReader    = 3500 * time.Millisecond
		step         = 750 * time.Millisecond
		mostReaders  = 3
		leastReaders = 1
	)
	missing := float64(oneReader-changeLimit) / float64(step)
	return min(max(leastReaders+int(math.Ceil(missing)), leastReaders), mostReaders)
}

// Duty decides whether a host reads the source itself. Hosts of a group are ranked,
// and the first ones always read. The others take over if confirmations stay away,
// until a host with a lower rank confirms again. A Duty is not safe for concurrent
// use.
type Duty struct {
	// Validity is how long a confirmation is valid.
	Validity time.Duration
	// Readers is the number of hosts that always read.
	Readers int
	// Takeover is the age of the confirmation from which the first host that doesn't
	// always read starts to. It must be above the age that confirmations reach while
	// the readers read.
	Takeover time.Duration

	acting bool
}

// Reads reports whether a host with this rank, whose confirmation has this age, has
// to read the source.
func (d *Duty) Reads(rank int, age time.Duration) bool {
	if d.Always(rank) {
		return true
	}
	if age > min(d.Takeover+d.share(rankShare*float64(rank-d.Readers)), d.share(lastShare)) {
		d.acting = true
	}
	return d.acting
}

// Always reports whether a host with this rank reads the source all the time.
func (d *Duty) Always(rank int) bool {
	return rank < max(d.Readers, 1)
}

// Vouched records the confirmation of a peer with the given rank.
func (d *Duty) Vouched(rank, peerRank int, age time.Duration) {
	if peerRank < rank && age <= d.share(relieveShare) {
		d.acting = false
	}
}

func (d *Duty) share(share float64) time.Duration {
	return time.Duration(share * float64(d.Validity))
}
