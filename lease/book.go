package lease

import (
	"math"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/upstream"
)

// BookOptions are the lease settings of a holder.
type BookOptions struct {
	Margin      time.Duration // the holder ends a lease this long before the owner
	RenewBefore time.Duration // a lease in use is renewed this long before its end
	WantAhead   time.Duration // a request covers the demand expected in this time
	MaxWant     uint64        // largest grant requested above the need, in tokens
}

// DefaultBookOptions returns the settings used unless the configuration overrides
// them.
func DefaultBookOptions() BookOptions {
	return BookOptions{
		Margin:      500 * time.Millisecond,
		RenewBefore: 750 * time.Millisecond,
		WantAhead:   time.Second,
		MaxWant:     1 << 20,
	}
}

// Line identifies a lease of a holder.
type Line struct {
	Engine upstream.Name
	Class  balancer.Class
}

// Permit is the right to run one piece of work on an engine. The host keeps it
// until the engine has certainly freed the memory: after the end of the stream,
// or after Cancel was acknowledged.
type Permit struct {
	Line    Line
	Tokens  uint64
	Expires time.Time // the work must be sent before this time; zero without a lease
}

// lineState is the holder's state of one lease.
type lineState struct {
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

// Book holds the leases of one host.
type Book struct {
	options  BookOptions
	holder   Holder
	sequence uint64
	lines    map[Line]*lineState
}

// NewBook returns a book without leases.
func NewBook(options BookOptions, holder Holder) *Book {
	return &Book{options: options, holder: holder, lines: make(map[Line]*lineState)}
}

// SetMaxWant changes the largest grant requested above the need, in tokens. It
// applies to requests built from now on.
func (b *Book) SetMaxWant(tokens uint64) {
	b.options.MaxWant = tokens
}

// Take admits work of the given size if the lease covers it at this moment.
func (b *Book) Take(now time.Time, line Line, tokens uint64) (Permit, bool) {
	s := b.line(line)
	if !now.Before(s.expires) || s.inUse+tokens > s.limit {
		return Permit{}, false
	}
	s.inUse += tokens
	b.observe(now, s, tokens)
	return Permit{Line: line, Tokens: tokens, Expires: s.expires}, true
}

// Force admits work without a lease. The host uses it only if the owner of the
// engine can't be reached; the engine's own admission then is the only limit.
func (b *Book) Force(line Line, tokens uint64) Permit {
	b.line(line).inUse += tokens
	return Permit{Line: line, Tokens: tokens}
}

// Return returns the tokens of a permit. They can be taken again at once until
// the lease expires.
func (b *Book) Return(permit Permit) {
	s := b.line(permit.Line)
	s.inUse = saturatingSub(s.inUse, permit.Tokens)
}

// Free returns the tokens that Take would admit now.
func (b *Book) Free(now time.Time, line Line) uint64 {
	s := b.lines[line]
	if s == nil || !now.Before(s.expires) {
		return 0
	}
	return saturatingSub(s.limit, s.inUse)
}

// InUse returns the tokens of all permits that were not returned.
func (b *Book) InUse(line Line) uint64 {
	if s := b.lines[line]; s != nil {
		return s.inUse
	}
	return 0
}

// Request builds the request for a lease that covers work of need tokens on top
// of what is in use. With need zero it renews what the recent demand justifies
// and returns the rest. A newer request replaces an outstanding one. The sequence
// number is the time of sending in microseconds, so that the owner can refuse a
// request that was delayed for too long.
func (b *Book) Request(now time.Time, line Line, need uint64) *peerv1.LeaseRequest {
	s := b.line(line)
	want := b.expectedDemand(now, s)
	s.limit = max(s.inUse, min(b.usableLimit(now, s), s.inUse+max(want, need)))
	b.sequence = max(b.sequence+1, uint64(now.UnixMicro()))
	s.sequence = b.sequence
	s.claimed = s.limit
	s.sent = now
	idle := s.limit - s.inUse
	return &peerv1.LeaseRequest{
		Host:        string(b.holder.Host),
		Incarnation: uint64(b.holder.Incarnation),
		Upstream:    string(line.Engine),
		Class:       line.Class.Wire(),
		NeedTokens:  clamp32(saturatingSub(need, idle)),
		WantTokens:  clamp32(saturatingSub(max(want, need), idle)),
		Sequence:    s.sequence,
		HeldTokens:  clamp32(s.claimed),
	}
}

// usableLimit returns the tokens that the lease allows to be in use now.
func (b *Book) usableLimit(now time.Time, s *lineState) uint64 {
	if !now.Before(s.expires) {
		return s.inUse
	}
	return s.limit
}

// Response applies the response to a request. Responses to any but the newest
// request of the line are ignored.
func (b *Book) Response(line Line, sequence uint64, response *peerv1.LeaseResponse) {
	s := b.lines[line]
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
	s.expires = s.sent.Add(ttl - b.options.Margin)
}

// Outstanding reports whether a request of the line awaits its response. Further
// work of the host then waits for that response instead of sending a request.
func (b *Book) Outstanding(line Line) bool {
	s := b.lines[line]
	return s != nil && s.sequence != 0
}

// Failed records that a request got no response.
func (b *Book) Failed(line Line, sequence uint64) {
	if s := b.lines[line]; s != nil && s.sequence == sequence {
		s.sequence = 0
	}
}

// Due returns the leases that the host should renew or return now, by sending a
// Request with need zero, and removes lines without tokens.
func (b *Book) Due(now time.Time) []Line {
	var due []Line
	for line, s := range b.lines {
		expired := !now.Before(s.expires)
		switch {
		case expired && s.inUse == 0 && s.sequence == 0:
			delete(b.lines, line)
		case s.sequence != 0:
			continue
		case expired && s.inUse > 0 && !now.Before(s.sent.Add(b.options.RenewBefore)):
			due = append(due, line)
		case !expired && s.expires.Sub(now) <= b.options.RenewBefore && s.limit > 0:
			due = append(due, line)
		}
	}
	return due
}

func (b *Book) line(line Line) *lineState {
	s := b.lines[line]
	if s == nil {
		s = &lineState{}
		b.lines[line] = s
	}
	return s
}

// observe counts tokens taken, in periods of WantAhead.
func (b *Book) observe(now time.Time, s *lineState, tokens uint64) {
	b.advancePeriod(now, s)
	s.taken += float64(tokens)
}

func (b *Book) advancePeriod(now time.Time, s *lineState) {
	elapsed := now.Sub(s.period)
	switch {
	case elapsed >= 2*b.options.WantAhead:
		s.takenBefore, s.taken, s.period = 0, 0, now
	case elapsed >= b.options.WantAhead:
		s.takenBefore, s.taken, s.period = s.taken, 0, now
	}
}

// expectedDemand returns the tokens to hold above those in use: the demand expected
// within WantAhead.
func (b *Book) expectedDemand(now time.Time, s *lineState) uint64 {
	b.advancePeriod(now, s)
	return min(uint64(max(s.taken, s.takenBefore)), b.options.MaxWant)
}

func clamp32(tokens uint64) uint32 {
	return uint32(min(tokens, math.MaxUint32))
}
