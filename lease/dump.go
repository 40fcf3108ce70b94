package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/upstream"
)

// OwnerDump is the state of an Owner for operators. Sizes are in tokens.
type OwnerDump struct {
	Engine            upstream.Name
	Settling          bool
	Leaving           bool
	CapacityTokens    uint64
	ChargedTokens     uint64
	ShortReserve      uint64
	ReportAge         time.Duration
	RefusedAsMisdated uint64
	Accounts          []AccountDump
}

// AccountDump is the state of the account of one holder and class.
type AccountDump struct {
	Holder  Holder
	Class   string
	Leased  uint64
	Pending uint64
	Used    uint64
	EndsIn  time.Duration // of the lease; negative once it has ended
}

// Dump returns the state of all accounts of the engine.
func (o *Owner) Dump(now time.Time) OwnerDump {
	dump := OwnerDump{
		Engine:            o.engine,
		Settling:          o.Settling(now),
		Leaving:           o.report.Leaving,
		CapacityTokens:    o.report.CapacityTokens,
		ChargedTokens:     o.charged,
		ShortReserve:      o.shortReserve(),
		ReportAge:         now.Sub(o.report.AsOf),
		RefusedAsMisdated: o.refusedAsMisdated,
	}
	for key, a := range o.accounts {
		dump.Accounts = append(dump.Accounts, AccountDump{
			Holder:  key.holder,
			Class:   key.class.String(),
			Leased:  a.leased,
			Pending: a.pending,
			Used:    a.used,
			EndsIn:  a.expires.Sub(now),
		})
	}
	slices.SortFunc(dump.Accounts, func(a, b AccountDump) int {
		return cmp.Or(cmp.Compare(a.Holder.Host, b.Holder.Host),
			cmp.Compare(a.Holder.Incarnation, b.Holder.Incarnation), cmp.Compare(a.Class, b.Class))
	})
	return dump
}

// HeldLeaseDump is the state of one lease of a holder. Sizes are in tokens.
type HeldLeaseDump struct {
	Engine      upstream.Name
	Class       balancer.Class
	Limit       uint64
	InUse       uint64
	EndsIn      time.Duration // negative once the lease has ended
	Outstanding bool          // a request awaits its response
}

// Dump returns the leases of the host.
func (t *Table) Dump(now time.Time) []HeldLeaseDump {
	leases := make([]HeldLeaseDump, 0, len(t.leases))
	for key, s := range t.leases {
		leases = append(leases, HeldLeaseDump{
			Engine:      key.Engine,
			Class:       key.Class,
			Limit:       s.limit,
			InUse:       s.inUse,
			EndsIn:      s.expires.Sub(now),
			Outstanding: s.sequence != 0,
		})
	}
	slices.SortFunc(leases, func(a, b HeldLeaseDump) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Class, b.Class))
	})
	return leases
}
