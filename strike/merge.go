package strike

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
)

// MaxMerge is the largest number of strikes taken from one heartbeat.
const MaxMerge = 512

// Merge takes over strikes that a peer sent.
func (r *Registry) Merge(now time.Time, strikes []*peerv1.StrikeRecord) {
	r.expire(now)
	for _, strike := range strikes[:min(len(strikes), MaxMerge)] {
		at := time.UnixMilli(int64(strike.GetTimeMs()))
		if at.After(now) {
			at = now // the clock of the peer is ahead
		}
		if r.decayed(now, at) {
			continue
		}
		key := recordKey{Digest(strike.GetContentDigest()), crashDigest(strike.GetCrashDigest())}
		r.put(key, record{time: at, suspects: strike.GetSuspects(), cleared: strike.GetCleared()})
	}
	r.shrink()
}

// Gossip returns up to n strikes for a heartbeat, those sent least often first.
func (r *Registry) Gossip(now time.Time, n int) []*peerv1.StrikeRecord {
	r.expire(now)
	keys := r.sorted(func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), b.time.Compare(a.time))
	})
	keys = keys[:min(n, len(keys))]
	strikes := make([]*peerv1.StrikeRecord, 0, len(keys))
	for _, key := range keys {
		known := r.records[key]
		known.sent++
		strikes = append(strikes, &peerv1.StrikeRecord{
			ContentDigest: uint64(key.content),
			CrashDigest:   uint64(key.crash),
			TimeMs:        uint64(known.time.UnixMilli()),
			Suspects:      known.suspects,
			Cleared:       known.cleared,
		})
	}
	return strikes
}

// put merges one strike into the registry.
func (r *Registry) put(key recordKey, news record) {
	news.time = news.time.Truncate(time.Millisecond) // as heartbeats carry it
	known, ok := r.records[key]
	if !ok {
		r.add(key, news)
		return
	}
	merged := record{
		time:     earlier(known.time, news.time),
		suspects: max(known.suspects, news.suspects),
		cleared:  known.cleared || news.cleared,
		sent:     known.sent,
	}
	if !merged.time.Equal(known.time) || merged.suspects != known.suspects || merged.cleared != known.cleared {
		merged.sent = 0
	}
	*known = merged
}

func (r *Registry) add(key recordKey, news record) {
	r.records[key] = &news
	if r.byContent[key.content] == nil {
		r.byContent[key.content] = make(map[crashDigest]bool)
	}
	r.byContent[key.content][key.crash] = true
	if r.byCrash[key.crash] == nil {
		r.byCrash[key.crash] = make(map[Digest]bool)
	}
	r.byCrash[key.crash][key.content] = true
}

func (r *Registry) remove(key recordKey) {
	delete(r.records, key)
	delete(r.byContent[key.content], key.crash)
	if len(r.byContent[key.content]) == 0 {
		delete(r.byContent, key.content)
	}
	delete(r.byCrash[key.crash], key.content)
	if len(r.byCrash[key.crash]) == 0 {
		delete(r.byCrash, key.crash)
	}
}

// expire forgets strikes that no longer count.
func (r *Registry) expire(now time.Time) {
	for key, known := range r.records {
		if r.decayed(now, known.time) {
			r.remove(key)
		}
	}
}

// shrink forgets the least useful strikes over the bound: cleared ones, then
// those shared by many suspects, then old ones.
func (r *Registry) shrink() {
	excess := len(r.records) - r.options.MaxRecords
	if excess <= 0 {
		return
	}
	keys := r.sorted(func(a, b *record) int {
		return cmp.Or(clearedFirst(a, b), cmp.Compare(b.suspects, a.suspects), a.time.Compare(b.time))
	})
	for _, key := range keys[:excess] {
		r.remove(key)
	}
}

func clearedFirst(a, b *record) int {
	switch {
	case a.cleared == b.cleared:
		return 0
	case a.cleared:
		return -1
	default:
		return 1
	}
}

// sorted returns the keys of all strikes by the given order, ties by key.
func (r *Registry) sorted(compare func(a, b *record) int) []recordKey {
	keys := make([]recordKey, 0, len(r.records))
	for key := range r.records {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b recordKey) int {
		return cmp.Or(compare(r.records[a], r.records[b]), cmp.Compare(a.content, b.content), cmp.Compare(a.crash, b.crash))
	})
	return keys
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
