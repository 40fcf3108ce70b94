package strike

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
)

// MaxMerge is the largest number of strikes taken from one heartbeat.
const MaxMerge = 512

// Merge adds the strikes that a peer sent.
func (r *Registry) Merge(now time.Time, strikes []*peerv1.StrikeRecord) {
	r.expire(now)
	for _, strike := range strikes[:min(len(strikes), MaxMerge)] {
		crashTime := time.UnixMilli(int64(strike.GetTimeMs()))
		if crashTime.After(now) {
			crashTime = now // the clock of the peer is ahead
		}
		if r.decayed(now, crashTime) {
			continue
		}
		key := recordKey{Digest(strike.GetContentDigest()), crashDigest(strike.GetCrashDigest())}
		r.put(key, record{time: crashTime, suspects: strike.GetSuspects(), cleared: strike.GetCleared()})
	}
	r.evictExcess()
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
		stored := r.records[key]
		stored.sent++
		strikes = append(strikes, &peerv1.StrikeRecord{
			ContentDigest: uint64(key.content),
			CrashDigest:   uint64(key.crash),
			TimeMs:        uint64(stored.time.UnixMilli()),
			Suspects:      stored.suspects,
			Cleared:       stored.cleared,
		})
	}
	return strikes
}

// put merges one strike into the registry.
func (r *Registry) put(key recordKey, update record) {
	update.time = update.time.Truncate(time.Millisecond) // the resolution of heartbeats
	stored, ok := r.records[key]
	if !ok {
		r.add(key, update)
		return
	}
	merged := record{
		time:     earlier(stored.time, update.time),
		suspects: max(stored.suspects, update.suspects),
		cleared:  stored.cleared || update.cleared,
		sent:     stored.sent,
	}
	if !merged.time.Equal(stored.time) || merged.suspects != stored.suspects || merged.cleared != stored.cleared {
		merged.sent = 0
	}
	*stored = merged
}

func (r *Registry) add(key recordKey, added record) {
	r.records[key] = &added
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

// expire removes strikes that are older than the decay time.
func (r *Registry) expire(now time.Time) {
	for key, stored := range r.records {
		if r.decayed(now, stored.time) {
			r.remove(key)
		}
	}
}

// evictExcess removes the least useful strikes above MaxRecords: cleared ones,
// then those with the most suspects, then the oldest.
func (r *Registry) evictExcess() {
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

// sorted returns the keys of all strikes in the given order, with ties broken by
// key.
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
