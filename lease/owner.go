package lease

import (
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/rate"
	"github.com/citronscale/citronscale/upstream"
)

// OwnerOptions are the rules of the accounts of one host.
type OwnerOptions struct {
	TTL             time.Duration // of a lease, counted from when the request was handled
	Margin          time.Duration // the same as the holders' Margin
	MaxSkew         time.Duration // between the clocks of the owner and any holder or engine
	MaxRequestAge   time.Duration // older requests are refused
	MaxReportAge    time.Duration // nothing is lent on older reports
	MaxTickGap      time.Duration // a longer time without Tick counts as a pause
	SettleShare     float64       // of the free tokens, lent while a new account settles
	ShortShare      float64       // of the capacity, kept for short requests while they need it
	ShortFloor      float64       // of the capacity, always kept for short requests
	ShortHalfLife   time.Duration // in which a share that is not needed is lent out
	Patience        time.Duration // after which an unmet need holds back other requests
	MinQuantum      uint64        // tokens
	QuantumFraction float64       // of the free tokens, divided among the recent holders
}

// DefaultOwnerOptions returns the rules in use unless the configuration says
// otherwise.
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
		Patience:        500 * time.Millisecond,
		MinQuantum:      4096,
		QuantumFraction: 0.5,
	}
}

// settleTime is the time in which all leases and requests from before it are
// over, and any report taken after it says so.
func (o *OwnerOptions) settleTime() time.Duration {
	return max(o.TTL, o.MaxRequestAge+2*o.MaxSkew) + o.MaxSkew
}

// Owner keeps the account of one engine.
type Owner struct {
	options  OwnerOptions
	engine   upstream.Name
	accounts map[accountKey]*account
	newest   map[ident.Host]ident.Incarnation
	report   EngineReport // without Uses
	ticked   time.Time
	swept    time.Time // when all accounts were looked at
	settled  time.Time // from then on the account is complete

	charged      uint64 // sum over all accounts
	chargedShort uint64 // sum over the accounts of the short class
	holders      int    // accounts that asked within the last TTL
	short        demand
	unmet        unmetNeed
	drain        rate.Drain

	refusedAsMisdated uint64
}

// NewOwner returns the account of an engine that this host owns from now on.
func NewOwner(options OwnerOptions, engine upstream.Name, now time.Time) *Owner {
	o := &Owner{options: options, engine: engine}
	o.restart(now)
	return o
}

// SetOptions changes the rules of leases granted from now on. Leases that were
// granted before keep their end.
func (o *Owner) SetOptions(options OwnerOptions) {
	o.options = options
}

// restart forgets the account. Leases of a former owner, or of this one before
// a pause, have all ended once the account has settled.
func (o *Owner) restart(now time.Time) {
	o.accounts = make(map[accountKey]*account)
	o.newest = make(map[ident.Host]ident.Incarnation)
	o.report = EngineReport{}
	o.ticked = now
	o.settled = now.Add(o.options.settleTime())
	o.charged = 0
	o.chargedShort = 0
	o.holders = 0
	o.unmet = unmetNeed{}
}

// Settling reports whether leases of a former owner can still be in use.
func (o *Owner) Settling(now time.Time) bool {
	return now.Before(o.settled) || !o.report.AsOf.After(o.settled)
}

// Tick ends leases that have run out. The host calls it at least every half
// MaxTickGap; after a longer gap the process was paused and the account starts
// anew, because another host may have owned the engine meanwhile.
func (o *Owner) Tick(now time.Time) {
	if now.Sub(o.ticked) > o.options.MaxTickGap {
		o.restart(now)
		return
	}
	o.ticked = now
	o.drain.Advance(now, o.charged > 0)
	if now.Sub(o.swept) < sweepPeriod {
		return
	}
	o.swept = now
	o.short.observe(now, o.chargedShort, o.options.ShortHalfLife)
	o.endLeases(now)
	o.forgetHosts()
}

// sweepPeriod is the shortest time between two looks at all accounts. A lease
// that is ended late stays charged meanwhile.
const sweepPeriod = 20 * time.Millisecond

func (o *Owner) endLeases(now time.Time) {
	o.holders = 0
	recent := now.Add(-o.options.TTL)
	for key, a := range o.accounts {
		if a.leased > 0 && !now.Before(a.expires) {
			o.change(key, a, func() { a.end(a.expires.Add(o.options.MaxSkew)) })
		}
		if a.asked.After(recent) {
			o.holders++
		}
		if a.idleSince(now.Add(-o.options.settleTime())) {
			delete(o.accounts, key)
		}
	}
}

// forgetHosts bounds the memory for hosts that are gone.
func (o *Owner) forgetHosts() {
	if len(o.newest) <= 2*len(o.accounts)+keptHosts {
		return
	}
	o.newest = make(map[ident.Host]ident.Incarnation)
	for key := range o.accounts {
		host := key.holder.Host
		o.newest[host] = max(o.newest[host], key.holder.Incarnation)
	}
}

// keptHosts is the number of hosts without account that are remembered.
const keptHosts = 64

// Report books what the engine reports. Reports older than the last are ignored.
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
		o.change(key, a, func() { a.report(report.AsOf, uses[key]) })
	}
	o.report = EngineReport{AsOf: report.AsOf, CapacityTokens: report.CapacityTokens, Leaving: report.Leaving}
}

// HolderReplaced ends the leases of all earlier incarnations of a host.
func (o *Owner) HolderReplaced(now time.Time, host ident.Host, incarnation ident.Incarnation) {
	if incarnation <= o.newest[host] {
		return
	}
	o.newest[host] = incarnation
	confirm := now.Add(o.options.Margin + o.options.MaxSkew)
	for key, a := range o.accounts {
		if key.holder.Host == host && key.holder.Incarnation < incarnation {
			o.change(key, a, func() { a.end(confirm) })
		}
	}
}

// account returns the account of key, which it creates if needed.
func (o *Owner) account(key accountKey) *account {
	a := o.accounts[key]
	if a == nil {
		a = &account{}
		o.accounts[key] = a
	}
	return a
}

// change runs update on an account and keeps the sums.
func (o *Owner) change(key accountKey, a *account, update func()) {
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
		return o.answer(key, 0, false)
	}
	a := o.account(key)
	switch {
	case req.GetSequence() < a.sequence:
		return o.answer(key, 0, false)
	case req.GetSequence() == a.sequence && a.granted > 0:
		return o.answer(key, a.granted, a.renewed)
	case o.misdated(now, req):
		o.refusedAsMisdated++
		return o.answer(key, 0, false)
	}
	return o.book(now, key, a, req)
}

// Retry answers once more a request that was answered without a grant, and
// whose caller still waits on its connection.
func (o *Owner) Retry(now time.Time, req *peerv1.LeaseRequest) *peerv1.LeaseResponse {
	o.Tick(now)
	key := keyOf(req)
	a := o.accounts[key]
	if a == nil || a.sequence != req.GetSequence() || a.granted > 0 {
		return o.answer(key, 0, false)
	}
	return o.book(now, key, a, req)
}

func keyOf(req *peerv1.LeaseRequest) accountKey {
	holder := Holder{ident.Host(req.GetHost()), ident.Incarnation(req.GetIncarnation())}
	return accountKey{holder, balancer.ClassOf(req.GetClass())}
}

// misdated reports whether a request was under way for too long, or whether the
// clock of its holder is wrong. The sequence number carries the time of sending.
func (o *Owner) misdated(now time.Time, req *peerv1.LeaseRequest) bool {
	age := now.Sub(time.UnixMicro(int64(req.GetSequence())))
	return age > o.options.MaxRequestAge+o.options.MaxSkew || age < -o.options.MaxSkew
}

// RefusedAsMisdated returns the number of requests refused because of their
// age. It grows steadily if the clock of a holder is wrong.
func (o *Owner) RefusedAsMisdated() uint64 {
	return o.refusedAsMisdated
}

// book books the claim of the request and what can be granted on top of it.
func (o *Owner) book(now time.Time, key accountKey, a *account, req *peerv1.LeaseRequest) *peerv1.LeaseResponse {
	held := uint64(req.GetHeldTokens())
	need := uint64(req.GetNeedTokens())
	a.sequence = req.GetSequence()
	a.asked = now
	if key.class == balancer.ClassShort {
		o.short.observe(now, o.chargedShort+need, o.options.ShortHalfLife)
	}
	available := o.available(now, key)
	excess := saturatingSub(held, o.booked(now, a))
	if excess > 0 && excess > available {
		a.granted, a.renewed = 0, false
		return o.refuse(now, key, need)
	}
	granted := o.size(need, uint64(req.GetWantTokens()), available-excess)
	if o.report.Leaving {
		granted = 0
	}
	expires := now.Add(o.options.TTL)
	o.change(key, a, func() { a.claim(held+granted, expires, now.Add(o.options.MaxSkew)) })
	a.granted, a.renewed = uint32(granted), true
	if granted == 0 && need > 0 {
		return o.refuse(now, key, need)
	}
	o.unmet.met(key)
	return o.answer(key, a.granted, a.renewed)
}

// booked returns the tokens that a claim may renew without being free. While
// the account settles, reports may be older than what a former owner lent.
func (o *Owner) booked(now time.Time, a *account) uint64 {
	if o.Settling(now) {
		return a.leased
	}
	return a.charge()
}

// size returns the tokens to grant: at least need, at most want, and no more
// than a quantum above need.
func (o *Owner) size(need, want, available uint64) uint64 {
	if need == 0 || need > available {
		return 0
	}
	quantum := uint64(o.options.QuantumFraction * float64(available) / float64(o.holders+1))
	quantum = max(quantum, o.options.MinQuantum, need)
	return min(max(want, need), quantum, available)
}

// refuse answers a request that nothing is granted to.
func (o *Owner) refuse(now time.Time, key accountKey, need uint64) *peerv1.LeaseResponse {
	if need > 0 && !o.report.Leaving {
		o.unmet.note(now, key, need, o.options.TTL)
	}
	a := o.accounts[key]
	response := o.answer(key, 0, a.renewed)
	free := o.free(key.class)
	if need > free {
		response.WaitEstimateMs = uint32(o.drain.Time(float64(need-free), maxWaitEstimate).Milliseconds())
	}
	return response
}

// answer builds a response. A lease that is not renewed has no time to live;
// the holder then keeps the end of the lease it has.
func (o *Owner) answer(key accountKey, granted uint32, renewed bool) *peerv1.LeaseResponse {
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
