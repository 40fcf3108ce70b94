package lease

import (
	"math"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/upstream"
)

// TableOptions are the lease settings of a holder.
type TableOptions struct {
	Margin      time.Duration // the holder ends a lease this long before the owner
	RenewBefore time.Duration // a lease in use is renewed this long before its end
	WantAhead   time.Duration // a request covers the demand expected in this time
	MaxWant     uint64        // largest grant requested above the need, in tokens
}

// DefaultTableOptions returns the settings used unless the configuration overrides
// them.
func DefaultTableOptions() TableOptions {
	return TableOptions{
		Margin:      500 * time.Millisecond,
		RenewBefore: 750 * time.Millisecond,
		WantAhead:   time.Second,
		MaxWant:     1 << 20,
	}
}

// Key identifies a lease of a holder.
type Key struct {
	Engine upstream.Name
	Class  balancer.Class
}

// Permit is the right to run one piece of work on an engine. The host keeps it
// until the engine has certainly freed the memory: after the end of the stream,
// or after Cancel was acknowledged.
type Permit struct {
	Key     Key
	Tokens  uint64
	Expires time.Time // the work must be sent before this time; zero without a lease
}

// leaseState is the holder's state of one lease.
type leaseState struct {
	limit       uint64    // tokens that may be in use until expires
	expires     time.Time // on the holder's clock
	inUse       uint64
	sequence    uint64    // of the outstanding request; zero if it was answered or failed
	claimed     uint64    // held_tokens of the newest request
	sent        time.Time // when the newest request was sent
	taken       float64   // tokens taken in the current period
	period      time.Time // start of the current period
	takenBefore float64   // tokens taken in the last period
}

// Table holds the leases of one host.
type Table struct {
	options  TableOptions
	holder   Holder
	sequence uint64
	leases   map[Key]*leaseState
}

// NewTable returns a table without leases.
func NewTable(options TableOptions, holder Holder) *Table {
	return &Table{options: options, holder: holder, leases: make(map[Key]*leaseState)}
}

// SetMaxWant changes the largest grant requested above the need, in tokens. It
// applies to requests built from now on.
func (t *Table) SetMaxWant(tokens uint64) {
	t.options.MaxWant = tokens
}

// Take admits work of the given size if the lease covers it at this moment.
func (t *Table) Take(now time.Time, key Key, tokens uint64) (Permit, bool) {
	s := t.lease(key)
	if !now.Before(s.expires) || s.inUse+tokens > s.limit {
		return Permit{}, false
	}
	s.inUse += tokens
	t.observe(now, s, tokens)
	return Permit{Key: key, Tokens: tokens, Expires: s.expires}, true
}

// TakeUnleased admits work without a lease. The host uses it only if the owner of
// the engine can't be reached; the engine's own admission then is the only limit.
func (t *Table) TakeUnleased(key Key, tokens uint64) Permit {
	t.lease(key).inUse += tokens
	return Permit{Key: key, Tokens: tokens}
}

// Return returns the tokens of a permit. They can be taken again at once until
// the lease expires.
func (t *Table) Return(permit Permit) {
	s := t.lease(permit.Key)
	s.inUse = saturatingSub(s.inUse, permit.Tokens)
}

// Free returns the tokens that Take would admit now.
func (t *Table) Free(now time.Time, key Key) uint64 {
	s := t.leases[key]
	if s == nil || !now.Before(s.expires) {
		return 0
	}
	return saturatingSub(s.limit, s.inUse)
}

// InUse returns the tokens of all permits that were not returned.
func (t *Table) InUse(key Key) uint64 {
	if s := t.leases[key]; s != nil {
		return s.inUse
	}
	return 0
}

// Request builds the request for a lease that covers work of need tokens on top
// of what is in use. With need zero it renews what the recent demand justifies
// and returns the rest. A newer request replaces an outstanding one. The sequence
// number is the time of sending in microseconds, so that the owner can refuse a
// request that was delayed for too long.
func (t *Table) Request(now time.Time, key Key, need uint64) *peerv1.LeaseRequest {
	s := t.lease(key)
	want := t.expectedDemand(now, s)
	s.limit = max(s.inUse, min(t.usableLimit(now, s), s.inUse+max(want, need)))
	t.sequence = max(t.sequence+1, uint64(now.UnixMicro()))
	s.sequence = t.sequence
	s.claimed = s.limit
	s.sent = now
	idle := s.limit - s.inUse
	return &peerv1.LeaseRequest{
		Host:        string(t.holder.Host),
		Incarnation: uint64(t.holder.Incarnation),
		Upstream:    string(key.Engine),
		Class:       key.Class.Wire(),
		NeedTokens:  clamp32(saturatingSub(need, idle)),
		WantTokens:  clamp32(saturatingSub(max(want, need), idle)),
		Sequence:    s.sequence,
		HeldTokens:  clamp32(s.claimed),
	}
}

// usableLimit returns the tokens that the lease allows to be in use now.
func (t *Table) usableLimit(now time.Time, s *leaseState) uint64 {
	if !now.Before(s.expires) {
		return s.inUse
	}
	return s.limit
}

// HandleResponse applies the response to a request. Responses to any but the
// newest request for the lease are ignored.
func (t *Table) HandleResponse(key Key, sequence uint64, response *peerv1.LeaseResponse) {
	s := t.leases[key]
	if s == nil || s.sequence == 0 || s.sequence != sequence {
		return
	}
	s.sequence = 0
	if response.GetLeaving() {
		s.limit = s.inUse
	}
	if response.GetTtlMs() == 0 || response.GetNotOwner() || response.GetLeaving() {
		return
	}
	s.limit = s.claimed + uint64(response.GetGrantedTokens())
	ttl := time.Duration(response.GetTtlMs()) * time.Millisecond
	s.expires = s.sent.Add(ttl - t.options.Margin)
}

// Outstanding reports whether a request for the lease awaits its response. Further
// work of the host then waits for that response instead of sending a request.
func (t *Table) Outstanding(key Key) bool {
	s := t.leases[key]
	return s != nil && s.sequence != 0
}

// RequestFailed records that a request got no response.
func (t *Table) RequestFailed(key Key, sequence uint64) {
	if s := t.leases[key]; s != nil && s.sequence == sequence {
		s.sequence = 0
	}
}

// Due returns the leases that the host should renew or return now, by sending a
// Request with need zero, and removes leases without tokens.
func (t *Table) Due(now time.Time) []Key {
	var due []Key
	for key, s := range t.leases {
		expired := !now.Before(s.expires)
		switch {
		case expired && s.inUse == 0 && s.sequence == 0:
			delete(t.leases, key)
		case s.sequence != 0:
			continue
		case expired && s.inUse > 0 && !now.Before(s.sent.Add(t.options.RenewBefore)):
			due = append(due, key)
		case !expired && s.expires.Sub(now) <= t.options.RenewBefore && s.limit > 0:
			due = append(due, key)
		}
	}
	return due
}

func (t *Table) lease(key Key) *leaseState {
	s := t.leases[key]
	if s == nil {
		s = &leaseState{}
		t.leases[key] = s
	}
	return s
}

// observe counts tokens taken, in periods of WantAhead.
func (t *Table) observe(now time.Time, s *leaseState, tokens uint64) {
	t.advancePeriod(now, s)
	s.taken += float64(tokens)
}

func (t *Table) advancePeriod(now time.Time, s *leaseState) {
	elapsed := now.Sub(s.period)
	switch {
	case elapsed >= 2*t.options.WantAhead:
		s.takenBefore, s.taken, s.period = 0, 0, now
	case elapsed >= t.options.WantAhead:
		s.takenBefore, s.taken, s.period = s.taken, 0, now
	}
}

// expectedDemand returns the tokens to hold above those in use: the demand expected
// within WantAhead.
func (t *Table) expectedDemand(now time.Time, s *leaseState) uint64 {
	t.advancePeriod(now, s)
	return min(uint64(max(s.taken, s.takenBefore)), t.options.MaxWant)
}

func clamp32(tokens uint64) uint32 {
	return uint32(min(tokens, math.MaxUint32))
}
