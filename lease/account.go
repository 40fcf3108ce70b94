package lease

import (
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/ident"
)

// Holder is one life of a host that holds leases.
type Holder struct {
	Host        ident.Host
	Incarnation ident.Incarnation
}

// Unleased is the class of memory that is held without a lease: parts of prompts
// over several engines. Requests for leases say nothing about it, so every report
// counts.
const Unleased balancer.Class = 0

// Use is the memory that the work of one holder and class occupies on an engine.
type Use struct {
	Holder Holder
	Class  balancer.Class
	Tokens uint64 // what the work may grow to: prompt and largest answer
}

// EngineReport is the part of an engine's report that the account needs.
type EngineReport struct {
	AsOf           time.Time
	CapacityTokens uint64
	Uses           []Use
	Leaving        bool
}

// accountKey names one account.
type accountKey struct {
	holder Holder
	class  balancer.Class
}

// account is what the owner knows about the work of one holder and class.
type account struct {
	leased   uint64    // under a lease that has not ended; at least what is in use
	expires  time.Time // end of the lease
	pending  uint64    // of a lease that ended and that no later report has confirmed
	confirm  time.Time // a report must be taken after this time to count
	used     uint64    // by the last report that counts
	sequence uint64    // of the newest request handled
	granted  uint32    // in the answer to it
	renewed  bool      // in the answer to it
	asked    time.Time // when it was handled
}

// charge returns the tokens that nobody else may be given.
func (a *account) charge() uint64 {
	return max(a.leased, a.pending, a.used)
}

// end ends the lease. A report taken after confirm tells how much of it is
// still in use.
func (a *account) end(confirm time.Time) {
	if a.leased == 0 {
		return
	}
	a.pending = a.leased
	a.leased = 0
	a.confirm = confirm
}

// claim books the tokens that the holder has from now on. They replace what
// earlier reports said; confirm is when later reports count again.
func (a *account) claim(tokens uint64, expires, confirm time.Time) {
	a.leased = tokens
	a.expires = expires
	a.pending = 0
	a.used = 0
	a.confirm = confirm
}

// report books the tokens in use by a report, if the report is late enough.
// They exceed a lease only if the holder used the engine without asking.
func (a *account) report(asOf time.Time, used uint64) {
	if !asOf.After(a.confirm) {
		return
	}
	a.pending = 0
	a.used = used
}

// idleSince reports whether nothing is charged and no request came after t.
func (a *account) idleSince(t time.Time) bool {
	return a.charge() == 0 && a.asked.Before(t)
}
