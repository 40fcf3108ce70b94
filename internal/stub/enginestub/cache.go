package enginestub

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

// maxCacheEvents bounds the cache events that are kept for reports.
const maxCacheEvents = 512

// prefixCache holds the digests of prefixes in least-recently-used order. Each
// entry is charged with the tokens by which it exceeds the next shorter one.
type prefixCache struct {
	capacity uint64
	used     uint64
	order    *list.List // of cacheEntry, most recently used first
	entries  map[uint64]*list.Element
	events   []datedEvent
	sequence uint64
	loss     float64
	rng      *rand.Rand
}

type cacheEntry struct {
	digest uint64
	tokens uint32 // length of the prefix
	charge uint64
}

type datedEvent struct {
	at    time.Time
	event enginewire.CacheEvent
}

func newPrefixCache(options Options) *prefixCache {
	return &prefixCache{
		capacity: options.CacheTokens,
		order:    list.New(),
		entries:  make(map[uint64]*list.Element),
		loss:     options.CacheEventLoss,
		rng:      rand.New(rand.NewPCG(options.Seed, options.Seed)),
	}
}

// lookup returns the length of the longest cached prefix.
func (c *prefixCache) lookup(prefixes []uint64) uint32 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if element, ok := c.entries[prefixes[i]]; ok {
			c.order.MoveToFront(element)
			return upstream.PrefixTokens(i)
		}
	}
	return 0
}

// insert takes the prefixes up, shortest first.
func (c *prefixCache) insert(now time.Time, prefixes []uint64) {
	shorter := uint32(0)
	for i, digest := range prefixes {
		tokens := upstream.PrefixTokens(i)
		c.insertOne(now, cacheEntry{digest: digest, tokens: tokens, charge: uint64(tokens - shorter)})
		shorter = tokens
	}
}

func (c *prefixCache) insertOne(now time.Time, entry cacheEntry) {
	if element, ok := c.entries[entry.digest]; ok {
		c.order.MoveToFront(element)
		return
	}
	if entry.charge > c.capacity {
		return
	}
	for c.used+entry.charge > c.capacity {
		c.evict(now)
	}
	c.entries[entry.digest] = c.order.PushFront(entry)
	c.used += entry.charge
	c.record(now, entry, false)
}

func (c *prefixCache) evict(now time.Time) {
	element := c.order.Back()
	entry := c.order.Remove(element).(cacheEntry)
	delete(c.entries, entry.digest)
	c.used -= entry.charge
	c.record(now, entry, true)
}

func (c *prefixCache) record(now time.Time, entry cacheEntry, evicted bool) {
	c.sequence++
	if c.rng.Float64() < c.loss {
		return
	}
	event := enginewire.CacheEvent{Sequence: c.sequence, Digest: entry.digest, Tokens: entry.tokens, Evicted: evicted}
	c.events = append(c.events, datedEvent{at: now, event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// published returns the events after the given sequence number that are older
// than before, and the sequence number of the last of them. A reader that
// knows more than there is read an earlier incarnation and starts again.
func (c *prefixCache) published(after uint64, before time.Time) ([]enginewire.CacheEvent, uint64) {
	if after > c.sequence {
		after = 0
	}
	var events []enginewire.CacheEvent
	last := after
	for _, dated := range c.events {
		if dated.at.After(before) {
			break
		}
		last = max(last, dated.event.Sequence)
		if dated.event.Sequence > after {
			events = append(events, dated.event)
		}
	}
	return events, last
}
