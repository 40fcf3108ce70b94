package throttle

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// window is the time over which requests are counted. A limit below one a second
	// still allows a request in each window, whose answer tells whether the limit holds.
	window = 4 * time.Second
	// maxSpread is the longest random wait of a request for an upstream that is free again.
	// Hosts in different groups hear of each other's requests after about that time.
	maxSpread = 100 * time.Millisecond
	// partShare and extraParts bound the parts of prompts that an upstream prefills for
	// others, next to its requests: a share of the rate, and a few more in the window. Parts
	// come from other upstreams and not from hosts, but are work as well.
	partShare  = 0.5
	extraParts = 3
	// rateMemory is how long the rate of an upstream that gets no requests is known.
	rateMemory = 10 * time.Minute
	// maxSends bounds the requests to one upstream that one host remembers.
	maxSends = 256
)

// Rate is what the latest answer of an upstream says of the requests that it takes.
// Times are readings of the clock of this host.
type Rate struct {
	Limited   bool
	PerSecond float64
	NamedAt   time.Duration
}

// Use is what one host knows of an upstream and sent to it within the window.
type Use struct {
	Key   uint32 // of the upstream
	Rate  Rate
	Cold  bool            // the upstream is cold; Rate says nothing unless it is limited
	Sent  []time.Duration // requests, by time
	Parts []time.Duration // parts of prompts that it prefilled for other upstreams
}

// sends is what one host sent to an upstream, by time.
type sends struct {
	requests []time.Duration
	parts    []time.Duration
}

func (s sends) recent(now time.Duration) sends {
	return sends{recent(s.requests, now), recent(s.parts, now)}
}

func (s sends) empty() bool {
	return len(s.requests)+len(s.parts) == 0
}

// Book holds the rates that upstreams name or may get while they are cold, and the
// requests of all hosts to them. It is safe for concurrent use.
type Book struct {
	options Options

	mu    sync.Mutex
	cold  map[uint32]coldLimit
	rates map[uint32]Rate
	heard map[uint32]time.Duration    // latest answer to this host that named a rate, or no longer did
	own   map[uint32]sends            // requests of this host, by time
	peers map[uint32]map[string]sends // requests of others to upstreams with a limit

	contacts  contacts
	expiredAt time.Duration
}

// NewBook returns an empty book of the only host.
func NewBook() *Book {
	return NewBookWith(Options{Excess: 1.5, Slack: 5, Alone: true})
}

// NewBookWith returns an empty book.
func NewBookWith(options Options) *Book {
	return &Book{options: options, cold: map[uint32]coldLimit{}, contacts: contacts{heard: map[string]time.Duration{}}, rates: map[uint32]Rate{}, heard: map[uint32]time.Duration{}, own: map[uint32]sends{}, peers: map[uint32]map[string]sends{}}
}

// Named records the rate in an answer of an upstream, or that it names none. It reports
// whether that is a change.
func (b *Book) Named(key uint32, rate Rate) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rate.Limited || b.rates[key].Limited {
		b.heard[key] = rate.NamedAt
	}
	return b.named(key, rate)
}

func (b *Book) named(key uint32, rate Rate) bool {
	before := b.rates[key]
	if rate.NamedAt < before.NamedAt || !before.Limited && !rate.Limited {
		return false
	}
	b.rates[key] = rate
	return rate.Limited != before.Limited || rate.Limited && rate.PerSecond != before.PerSecond
}

// Take records a request of this host to an upstream if it takes one now.
func (b *Book) Take(key uint32, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wait(key, now) > 0 {
		return false
	}
	b.sent(key, now)
	return true
}

// Sent records a request of this host to an upstream.
func (b *Book) Sent(key uint32, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent(key, now)
}

func (b *Book) sent(key uint32, now time.Duration) {
	b.expire(now)
	s := b.own[key].recent(now)
	s.requests = appendBounded(s.requests, now)
	b.own[key] = s
}

// SentPart records a part of a prompt that an upstream prefills for another one.
func (b *Book) SentPart(key uint32, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.own[key].recent(now)
	s.parts = appendBounded(s.parts, now)
	b.own[key] = s
}

func appendBounded(times []time.Duration, now time.Duration) []time.Duration {
	return append(times[max(len(times)-maxSends+1, 0):], now)
}

// Rate returns what an upstream names, and the requests of all hosts to it within the
// window, as far as known.
func (b *Book) Rate(key uint32, now time.Duration) (rate Rate, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rates[key], len(b.all(key, now).requests)
}

// Limited reports whether an upstream names a rate.
func (b *Book) Limited(key uint32) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rates[key].Limited
}

// Wait returns the time until an upstream takes another request, 0 if it takes one now.
func (b *Book) Wait(key uint32, now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wait(key, now)
}

func (b *Book) wait(key uint32, now time.Duration) time.Duration {
	return max(b.rateWait(key, now), b.coldWait(key, now))
}

func (b *Book) rateWait(key uint32, now time.Duration) time.Duration {
	rate := b.rates[key]
	if !rate.Limited {
		return 0
	}
	sent := b.all(key, now).requests
	excess := len(sent) - allowed(rate.PerSecond)
	if excess < 0 {
		return 0
	}
	slices.Sort(sent)
	return max(sent[excess]+window-now, 0)
}

// TakesPart reports whether an upstream takes a part of a prompt for another one now. A
// cold one takes none: parts are work as well, and others are warm.
func (b *Book) TakesPart(key uint32, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isCold(key, now) {
		return false
	}
	rate := b.rates[key]
	if !rate.Limited {
		return true
	}
	return len(b.all(key, now).parts) < allowed(partShare*rate.PerSecond)+extraParts
}

// all returns what all hosts sent to an upstream within the window, as far as known.
func (b *Book) all(key uint32, now time.Duration) sends {
	all := b.own[key].recent(now)
	all = sends{slices.Clone(all.requests), slices.Clone(all.parts)}
	for _, s := range b.peers[key] {
		all.requests = append(all.requests, recent(s.requests, now)...)
		all.parts = append(all.parts, recent(s.parts, now)...)
	}
	return all
}

// allowed returns the requests that an upstream takes in a window.
func allowed(perSecond float64) int {
	return max(int(math.Min(perSecond*window.Seconds(), maxSends*maxSends)), 1)
}

// Delay returns how long a request waits for an upstream that is free after the given
// time, if it has longer than that. The requests of all hosts wait for the same upstream,
// and hosts hear of each other's requests late. So each waits for a random time more.
func Delay(wait, left time.Duration, rng *rand.Rand) (time.Duration, bool) {
	if wait >= left {
		return 0, false
	}
	return wait + time.Duration(rng.Int64N(int64(min(left-wait, maxSpread)))), true
}

// Uses returns what other hosts should know: what upstreams have named to this host
// within the window, and its requests to those that name a rate or are cold. What others
// have said is not repeated: it would grow with the number of upstreams for each host.
func (b *Book) Uses(now time.Duration) []Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	var uses []Use
	for key, rate := range b.rates {
		own := b.own[key].recent(now)
		at, heard := b.heard[key]
		fresh := heard && now-at < window
		if !fresh && (!rate.Limited || own.empty()) {
			continue
		}
		use := Use{Key: key, Rate: rate}
		if rate.Limited {
			use.Sent, use.Parts = slices.Clone(own.requests), slices.Clone(own.parts)
		}
		use.Cold = rate.Limited && b.isCold(key, now)
		uses = append(uses, use)
	}
	for key := range b.cold {
		sent := within(b.own[key].requests, coldWindow, now)
		if b.isCold(key, now) && !b.rates[key].Limited && len(sent) > 0 {
			uses = append(uses, Use{Key: key, Cold: true, Sent: sent})
		}
	}
	return uses
}

// SetPeer records what a peer knows and has sent. The uses replace what was known of the
// same upstreams.
func (b *Book) SetPeer(peer string, uses []Use, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.hear(peer, now)
	for _, use := range uses {
		if !use.Cold || use.Rate.Limited {
			b.named(use.Key, use.Rate)
		}
		if b.peers[use.Key] == nil {
			b.peers[use.Key] = map[string]sends{}
		}
		b.peers[use.Key][peer] = sends{newest(use.Sent), newest(use.Parts)}.recent(now)
	}
}

// expire drops what doesn't count any more.
func (b *Book) expire(now time.Duration) {
	if now-b.expiredAt < window {
		return
	}
	b.expiredAt = now
	b.countContacts(now) // forgets the peers of long ago
	maps.DeleteFunc(b.own, func(_ uint32, s sends) bool { return s.recent(now).empty() })
	maps.DeleteFunc(b.peers, func(_ uint32, peers map[string]sends) bool {
		maps.DeleteFunc(peers, func(_ string, s sends) bool { return s.recent(now).empty() })
		return len(peers) == 0
	})
	maps.DeleteFunc(b.heard, func(_ uint32, at time.Duration) bool { return now-at >= window })
	maps.DeleteFunc(b.cold, func(_ uint32, cold coldLimit) bool { return now >= cold.until })
	maps.DeleteFunc(b.rates, func(_ uint32, rate Rate) bool { return now-rate.NamedAt > rateMemory })
}

// newest returns the newest times of a peer, sorted.
func newest(times []time.Duration) []time.Duration {
	times = slices.Sorted(slices.Values(times))
	return times[max(len(times)-maxSends, 0):]
}

// recent returns the times within the window.
func recent(times []time.Duration, now time.Duration) []time.Duration {
	first := 0
	for first < len(times) && now-times[first] >= window {
		first++
	}
	return times[first:]
}
