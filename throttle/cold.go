package throttle

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldWindow is the time over which requests to a cold upstream are counted.
	coldWindow = time.Second
	// meetTime is how long a host hears its peers until it knows most of them and hears of
	// their requests. settleTime is the time until it has also heard of those that were sent
	// before: all hosts repeat their whole state within 1.5 s.
	meetTime   = 500 * time.Millisecond
	settleTime = 2 * time.Second
	// contactTime is the time after which a silent peer counts as out of contact. It is little
	// more than the interval of the repeats, because a peer that is missed by mistake costs
	// only its part of the rate, and a partition that is noticed late costs the bound.
	contactTime = 1800 * time.Millisecond
	// contactMemory is how long a silent peer counts as one that may still send requests.
	contactMemory = 2 * time.Minute
	// contactInterval is the interval in which peers are counted.
	contactInterval = 100 * time.Millisecond
	// promptPeers is the number of peers up to which news of each request arrives at once.
	// With more of them, hosts send requests to the same idle upstream before they hear of each
	// other's. So each host prefers others to a cold upstream in a part of its time slots.
	promptPeers = 22
	slotTime    = 50 * time.Millisecond
	slotShare   = 1.0 / 3
	// loneHosts is more than the number of hosts of a deployment. The hosts that know
	// nothing of each other share the excess as if there were that many.
	loneHosts = 1000
)

// Options bound the requests to cold upstreams of hosts that know nothing of each other.
type Options struct {
	// Excess and Slack are the bound on the requests of all hosts to a cold upstream in a
	// second: its published rate times the excess, plus the slack.
	Excess, Slack float64
	// Alone tells that there is no other host.
	Alone bool
	// Seed differs between hosts. It selects the cold upstreams that a lone host uses.
	Seed uint64
}

// coldLimit is the bound on the requests of all hosts to one upstream.
type coldLimit struct {
	perSecond float64
	until     time.Duration
}

// contacts are the peers that a host hears.
type contacts struct {
	heard     map[string]time.Duration // newest message of each
	since     time.Duration            // of the first message
	countedAt time.Duration
	live      int // at countedAt
}

// Cold records that an upstream is cold until a time, in which it handles a number of
// requests a second. A time in the past ends that.
func (b *Book) Cold(key uint32, perSecond float64, until, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until <= now {
		delete(b.cold, key)
		return
	}
	b.cold[key] = coldLimit{perSecond, until}
}

// AnyCold reports whether the book holds an upstream that was cold.
func (b *Book) AnyCold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.cold) > 0
}

// Restricted reports whether an upstream names a rate or is cold.
func (b *Book) Restricted(key uint32, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rates[key].Limited || b.isCold(key, now)
}

// TakeBack removes a request of this host to a cold upstream that was sent at a time and
// turned out to be for another process.
func (b *Book) TakeBack(key uint32, sent, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rates[key].Limited || !b.isCold(key, now) {
		return
	}
	s := b.own[key]
	if i := slices.Index(s.requests, sent); i >= 0 {
		s.requests = slices.Delete(slices.Clone(s.requests), i, i+1)
		b.own[key] = s
	}
}

// ColdRequests returns the bound of an upstream that is cold, and the requests of all hosts
// to it in the last second, as far as known.
func (b *Book) ColdRequests(key uint32, now time.Duration) (perSecond float64, requests int, cold bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cold[key].perSecond, len(within(b.all(key, now).requests, coldWindow, now)), b.isCold(key, now)
}

func (b *Book) isCold(key uint32, now time.Duration) bool {
	return now < b.cold[key].until
}

// coldWait returns the time until a cold upstream takes another request of this host.
func (b *Book) coldWait(key uint32, now time.Duration) time.Duration {
	if !b.isCold(key, now) {
		return 0
	}
	cold := b.cold[key]
	share, known := b.coldShare(cold.perSecond, now)
	sent := b.own[key].requests
	if known {
		sent = b.all(key, now).requests
	}
	sent = within(sent, coldWindow, now)
	places := b.round(share, key)
	left := cold.until - now
	switch {
	case len(sent) < places:
		return 0
	case places == 0:
		return min(coldWindow, left)
	}
	slices.Sort(sent)
	return min(sent[len(sent)-places]+coldWindow-now, left)
}

// coldShare returns the requests a second to a cold upstream of the hosts that hear each
// other, of which this host knows, or of this host alone.
func (b *Book) coldShare(perSecond float64, now time.Duration) (share float64, known bool) {
	live, all := b.countContacts(now)
	bound := b.options.Excess*perSecond + b.options.Slack
	excess := max(bound-perSecond, 0)
	perSecond = min(perSecond, bound)
	switch {
	case b.options.Alone:
		return max(perSecond, 1), true
	case all == 0 || now-b.contacts.since < meetTime:
		return min(excess/loneHosts, perSecond), false
	case now-b.contacts.since < settleTime:
		// The other half of the excess is for late news.
		return min(excess/2, perSecond), true
	case live == all:
		return max(perSecond, 1), true
	default:
		// The hosts out of contact may use their part of the rate.
		return perSecond * float64(live+1) / float64(all+1), true
	}
}

// countContacts returns the number of peers that this host hears, and of those that may
// still send requests.
func (b *Book) countContacts(now time.Duration) (live, all int) {
	c := &b.contacts
	if now-c.countedAt >= contactInterval || c.countedAt == 0 {
		c.countedAt, c.live = now, 0
		for peer, at := range c.heard {
			switch age := now - at; {
			case age > contactMemory:
				delete(c.heard, peer)
			case age <= contactTime:
				c.live++
			}
		}
	}
	return min(c.live, len(c.heard)), len(c.heard)
}

// hear records a message of a peer.
func (b *Book) hear(peer string, now time.Duration) {
	c := &b.contacts
	if len(c.heard) == 0 {
		c.since = now
	}
	if _, ok := c.heard[peer]; !ok {
		c.countedAt = 0
	}
	c.heard[peer] = now
}

// Defers reports whether this host uses a cold upstream at present only if no other one takes
// the request.
func (b *Book) Defers(key uint32, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isCold(key, now) && b.contacts.live > promptPeers && b.fraction(key, uint32(now/slotTime)) >= slotShare
}

// round rounds a number up or down so that the hosts together come close to the sum of
// their numbers: a fixed part of the hosts, different for each upstream, rounds up.
func (b *Book) round(share float64, key uint32) int {
	whole, fraction := math.Modf(min(share, maxSends*maxSends))
	if b.fraction(key, 0) < fraction {
		whole++
	}
	return int(whole)
}

// fraction returns a number from 0 to 1 that differs between hosts, upstreams and slots.
func (b *Book) fraction(key, slot uint32) float64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:], b.options.Seed)
	binary.LittleEndian.PutUint32(buffer[8:], key)
	binary.LittleEndian.PutUint32(buffer[12:], slot)
	return float64(xxhash.Sum64(buffer[:])) / math.MaxUint64
}

// within returns the times that are within a window, in no order.
func within(times []time.Duration, window, now time.Duration) []time.Duration {
	return slices.DeleteFunc(slices.Clone(times), func(at time.Duration) bool { return now-at >= window })
}
