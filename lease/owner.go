package lease

import (
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/rate"
	"github.com/citronscale/citronscale/upstream"
)

// OwnerOptions are the settings of the leases that a host grants as an owner.
type OwnerOptions struct {
	TTL             time.Duration // of a lease, counted from when the request was handled
	Margin          time.Duration // the same as the holders' Margin
	MaxSkew         time.Duration // between the clocks of the owner and any holder or engine
	MaxRequestAge   time.Duration // older requests are refused
	MaxReportAge    time.Duration // nothing is granted on older reports
	MaxTickGap      time.Duration // a longer time without Tick counts as a pause
	SettleShare     float64       // of the free tokens, granted while a new owner settles
	ShortShare      float64       // of the capacity, reserved for short requests while needed
	ShortFloor      float64       // of the capacity, always reserved for short requests
	ShortHalfLife   time.Duration // of the recent demand of short requests
	StarvationDelay time.Duration // after which an unmet request blocks others
	MinQuantum      uint64        // smallest quantum of a grant, in tokens
	QuantumFraction float64       // of the free tokens, divided among the recent holders
}

// DefaultOwnerOptions returns the settings used unless the configuration overrides
// them.
func DefaultOwnerOptions() OwnerOptions {
	return OwnerOptions{
		TTL:             2 * time.Second,
		Margin:          500 * time.Millisecond,
		MaxSkew:         250 * time.Millisecond,
		MaxRequestAge:   time.Second,
		MaxReportAge:    10 * time.Second,
		MaxTickGap:      2 * time.Second,
		SettleShare:     0.25,
		ShortShare:      0.2,
		ShortFloor:      0.05,
		ShortHalfLife:   10 * time.Second,
		StarvationDelay: 500 * time.Millisecond,
		MinQuantum:      4096,
		QuantumFraction: 0.5,
	}
}

// settleTime returns the time after which all earlier leases and requests have
// expired; a report taken later shows what remains in use.
func (o *OwnerOptions) settleTime() time.Duration {
	return max(o.TTL, o.MaxRequestAge+2*o.MaxSkew) + o.MaxSkew
}

// Owner grants the leases on one engine and accounts for them.
type Owner struct {
	options   OwnerOptions
	engine    upstream.Name
	accounts  map[accountKey]*account
	newest    map[ident.Host]ident.Incarnation
	report    EngineReport // without Uses
	tickedAt  time.Time
	sweptAt   time.Time // when expired leases were last ended
	settledAt time.Time // when the accounts are complete

	charged      uint64 // sum over all accounts
	chargedShort uint64 // sum over the accounts of the short class
	holders      int    // accounts with a request within the last TTL
	short        demand
	unmet        unmetRequest
	drain        rate.Drain

	refusedAsMisdated uint64
}

// NewOwner returns the Owner of an engine that this host owns from now on.
func NewOwner(options OwnerOptions, engine upstream.Name, now time.Time) *Owner {
	o := &Owner{options: options, engine: engine}
	o.restart(now)
	return o
}

// SetOptions changes the settings of leases granted from now on. Earlier leases
// keep their expiry.
func (o *Owner) SetOptions(options OwnerOptions) {
	o.options = options
}

// restart discards all accounts. Leases of a former owner, or of this one before
// a pause, have all expired once the owner has settled.
func (o *Owner) restart(now time.Time) {
	o.accounts = make(map[accountKey]*account)
	o.newest = make(map[ident.Host]ident.Incarnation)
	o.report = EngineReport{}
	o.tickedAt = now
	o.settledAt = now.Add(o.options.settleTime())
	o.charged = 0
	o.chargedShort = 0
	o.holders = 0
	o.unmet = unmetRequest{}
}

// Settling reports whether leases of a former owner can still be in use.
func (o *Owner) Settling(now time.Time) bool {
	return now.Before(o.settledAt) || !o.report.AsOf.After(o.settledAt)
}

// Tick ends expired leases. The host calls it at least every half MaxTickGap. A
// gap longer than MaxTickGap means that the process was paused; the Owner then
// restarts, because another host may have owned the engine meanwhile.
func (o *Owner) Tick(now time.Time) {
	if now.Sub(o.tickedAt) > o.options.MaxTickGap {
		o.restart(now)
		return
	}
	o.tickedAt = now
	o.drain.Advance(now, o.charged > 0)
	if now.Sub(o.sweptAt) < sweepPeriod {
		return
	}
	o.sweptAt = now
	o.short.observe(now, o.chargedShort, o.options.ShortHalfLife)
	o.endLeases(now)
	o.forgetHosts()
}

// sweepPeriod is the shortest time between two passes over all accounts. An
// expired lease stays charged until the next pass.
const sweepPeriod = 20 * time.Millisecond

func (o *Owner) endLeases(now time.Time) {
	o.holders = 0
	recent := now.Add(-o.options.TTL)
	for key, a := range o.accounts {
		if a.leased > 0 && !now.Before(a.expires) {
			o.updateAccount(key, a, func() { a.end(a.expires.Add(o.options.MaxSkew)) })
		}
		if a.requestedAt.After(recent) {
			o.holders++
		}
		if a.idleSince(now.Add(-o.options.settleTime())) {
			delete(o.accounts, key)
		}
	}
}

// forgetHosts bounds the memory used for hosts without an account.
func (o *Owner) forgetHosts() {
	if len(o.newest) <= 2*len(o.accounts)+retainedHosts {
		return
	}
	o.newest = make(map[ident.Host]ident.Incarnation)
	for key := range o.accounts {
		host := key.holder.Host
		o.newest[host] = max(o.newest[host], key.holder.Incarnation)
	}
}

// retainedHosts is the number of hosts without an account that may be retained.
const retainedHosts = 64

// Report records the use that the engine reports. Reports that are not newer than
// the last are ignored.
func (o *Owner) Report(now time.Time, report *EngineReport) {
	o.Tick(now)
	if !report.AsOf.After(o.report.AsOf) {
		return
	}
	uses := make(map[accountKey]uint64, len(report.Uses))
	for _, use := range report.Uses {
		uses[accountKey{use.Holder, use.Class}] += use.Tokens
	}
	for key := range uses {
		o.account(key)
	}
	for key, a := range o.accounts {
		o.updateAccount(key, a, func() { a.report(report.AsOf, uses[key]) })
	}
	o.report = EngineReport{AsOf: report.AsOf, CapacityTokens: report.CapacityTokens, Leaving: report.Leaving}
}

// HolderReplaced ends the leases of all earlier incarnations of a host.
func (o *Owner) HolderReplaced(now time.Time, host ident.Host, incarnation ident.Incarnation) {
	if incarnation <= o.newest[host] {
		return
	}
	o.newest[host] = incarnation
	reportsAfter := now.Add(o.options.Margin + o.options.MaxSkew)
	for key, a := range o.accounts {
		if key.holder.Host == host && key.holder.Incarnation < incarnation {
			o.updateAccount(key, a, func() { a.end(reportsAfter) })
		}
	}
}

// account returns the account of key and creates it if needed.
func (o *Owner) account(key accountKey) *account {
	a := o.accounts[key]
	if a == nil {
		a = &account{}
		o.accounts[key] = a
	}
	return a
}

// updateAccount runs update on an account and adjusts the sums.
func (o *Owner) updateAccount(key accountKey, a *account, update func()) {
	before := a.charge()
	update()
	after := a.charge()
	o.charged += after - before
	o.drain.Add(float64(saturatingSub(before, after)))
	if key.class == balancer.ClassShort {
		o.chargedShort += after - before
	}
}

// Handle answers a request for a lease.
func (o *Owner) Handle(now time.Time, req *peerv1.LeaseRequest) *peerv1.LeaseResponse {
	o.Tick(now)
	key := keyOf(req)
	o.HolderReplaced(now, key.holder.Host, key.holder.Incarnation)
	if key.holder.Incarnation < o.newest[key.holder.Host] {
		return o.newResponse(key, 0, false)
	}
	a := o.account(key)
	switch {
	case req.GetSequence() < a.sequence:
		return o.newResponse(key, 0, false)
	case req.GetSequence() == a.sequence && a.granted > 0:
		return o.newResponse(key, a.granted, a.renewed)
	case o.misdated(now, req):
		o.refusedAsMisdated++
		return o.newResponse(key, 0, false)
	}
	return o.recordAndGrant(now, key, a, req)
}

// Retry handles again a request that got no grant and whose caller still waits
// for the response.
func (o *Owner) Retry(now time.Time, req *peerv1.LeaseRequest) *peerv1.LeaseResponse {
	o.Tick(now)
	key := keyOf(req)
	a := o.accounts[key]
	if a == nil || a.sequence != req.GetSequence() || a.granted > 0 {
		return o.newResponse(key, 0, false)
	}
	return o.recordAndGrant(now, key, a, req)
}

func keyOf(req *peerv1.LeaseRequest) accountKey {
	holder := Holder{ident.Host(req.GetHost()), ident.Incarnation(req.GetIncarnation())}
	return accountKey{holder, balancer.ClassOf(req.GetClass())}
}

// misdated reports whether a request was delayed for too long, or whether the
// clock of its holder is wrong. The sequence number is the time of sending.
func (o *Owner) misdated(now time.Time, req *peerv1.LeaseRequest) bool {
	age := now.Sub(time.UnixMicro(int64(req.GetSequence())))
	return age > o.options.MaxRequestAge+o.options.MaxSkew || age < -o.options.MaxSkew
}

// RefusedAsMisdated returns the number of requests refused because of their time
// of sending. It grows steadily if the clock of a holder is wrong.
func (o *Owner) RefusedAsMisdated() uint64 {
	return o.refusedAsMisdated
}

// recordAndGrant records the tokens that the request claims as held and what can
// be granted on top of them.
func (o *Owner) recordAndGrant(now time.Time, key accountKey, a *account, req *peerv1.LeaseRequest) *peerv1.LeaseResponse {
	held := uint64(req.GetHeldTokens())
	need := uint64(req.GetNeedTokens())
	a.sequence = req.GetSequence()
	a.requestedAt = now
	if key.class == balancer.ClassShort {
		o.short.observe(now, o.chargedShort+need, o.options.ShortHalfLife)
	}
	available := o.available(now, key)
	excess := saturatingSub(held, o.renewable(now, a))
	if excess > 0 && excess > available {
		a.granted, a.renewed = 0, false
		return o.refuse(now, key, need)
	}
	granted := o.grantSize(need, uint64(req.GetWantTokens()), available-excess)
	if o.report.Leaving {
		granted = 0
	}
	expires := now.Add(o.options.TTL)
	o.updateAccount(key, a, func() { a.claim(held+granted, expires, now.Add(o.options.MaxSkew)) })
	a.granted, a.renewed = uint32(granted), true
	if granted == 0 && need > 0 {
		return o.refuse(now, key, need)
	}
	o.unmet.resolve(key)
	return o.newResponse(key, a.granted, a.renewed)
}

// renewable returns the tokens that a claim may renew even if none are free. While
// the owner settles, reports may be older than grants of a former owner.
func (o *Owner) renewable(now time.Time, a *account) uint64 {
	if o.Settling(now) {
		return a.leased
	}
	return a.charge()
}

// grantSize returns the tokens to grant: none if need is not available, otherwise
// at least need, and at most want or a quantum.
func (o *Owner) grantSize(need, want, available uint64) uint64 {
	if need == 0 || need > available {
		return 0
	}
	quantum := uint64(o.options.QuantumFraction * float64(available) / float64(o.holders+1))
	quantum = max(quantum, o.options.MinQuantum, need)
	return min(max(want, need), quantum, available)
}

// refuse returns the response to a request without a grant.
func (o *Owner) refuse(now time.Time, key accountKey, need uint64) *peerv1.LeaseResponse {
	if need > 0 && !o.report.Leaving {
		o.unmet.record(now, key, need, o.options.TTL)
	}
	a := o.accounts[key]
	response := o.newResponse(key, 0, a.renewed)
	free := o.free(key.class)
	if need > free {
		response.WaitEstimateMs = uint32(o.drain.Time(float64(need-free), maxWaitEstimate).Milliseconds())
	}
	return response
}

// newResponse builds a response. Without renewal it carries no time to live, and
// the expiry of the holder's lease stays as it was.
func (o *Owner) newResponse(key accountKey, granted uint32, renewed bool) *peerv1.LeaseResponse {
	response := &peerv1.LeaseResponse{
		GrantedTokens: granted,
		FreeTokens:    uint32(o.free(key.class)),
		Leaving:       o.report.Leaving,
	}
	if renewed {
		response.TtlMs = uint32(o.options.TTL.Milliseconds())
	}
	return response
}
