package lease

import (
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/ident"
)

// Holder is one incarnation of a host that holds leases.
type Holder struct {
	Host        ident.Host
	Incarnation ident.Incarnation
}

// Unleased is the class of memory that is held without a lease: parts of prompts
// that run on several engines. Lease requests do not cover it, so every report
// counts.
const Unleased balancer.Class = 0

// Use is the memory that the work of one holder and class occupies on an engine.
type Use struct {
	Holder Holder
	Class  balancer.Class
	Tokens uint64 // upper bound: prompt plus largest answer
}

// EngineReport is the part of an engine's report that its owner needs.
type EngineReport struct {
	AsOf           time.Time
	CapacityTokens uint64
	Uses           []Use
	Leaving        bool
}

// accountKey identifies an account.
type accountKey struct {
	holder Holder
	class  balancer.Class
}

// account is the owner's record of the tokens of one holder and class.
type account struct {
	leased       uint64    // under a lease that has not ended; at least what is in use
	expires      time.Time // end of the lease
	pending      uint64    // of an ended lease, until a later report shows the use
	reportsAfter time.Time // only reports taken after this time count
	used         uint64    // in the last report that counts
	sequence     uint64    // of the newest request handled
	granted      uint32    // in the response to that request
	renewed      bool      // in the response to that request
	requestedAt  time.Time // when that request was handled
}

// charge returns the tokens that must not be granted to another holder.
func (a *account) charge() uint64 {
	return max(a.leased, a.pending, a.used)
}

// end ends the lease. Its tokens stay charged until a report taken after
// reportsAfter shows how many are still in use.
func (a *account) end(reportsAfter time.Time) {
	if a.leased == 0 {
		return
	}
	a.pending = a.leased
	a.leased = 0
	a.reportsAfter = reportsAfter
}

// claim sets the tokens that the holder has from now on and discards what earlier
// reports showed. Reports taken until reportsAfter are ignored.
func (a *account) claim(tokens uint64, expires, reportsAfter time.Time) {
	a.leased = tokens
	a.expires = expires
	a.pending = 0
	a.used = 0
	a.reportsAfter = reportsAfter
}

// report records the tokens in use, if the report was taken late enough to count.
// They exceed a lease only if the holder used the engine without a lease.
func (a *account) report(asOf time.Time, used uint64) {
	if !asOf.After(a.reportsAfter) {
		return
	}
	a.pending = 0
	a.used = used
}

// idleSince reports whether nothing is charged and no request arrived after t.
func (a *account) idleSince(t time.Time) bool {
	return a.charge() == 0 && a.requestedAt.Before(t)
}
