package membership

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

const (
	// sendFactor times the binary logarithm of the number of hosts is the
	// number of messages in which a host repeats a change.
	sendFactor = 2
	// locationInterval is the mean number of messages between two that repeat
	// addresses and failure domains, which a peer may have missed.
	locationInterval = 4
	// recentAge is the age up to which a change is sent before older ones.
	recentAge = time.Minute
	// recordOverhead is the encoded size of the tag and length of one record.
	recordOverhead = 3
	// allBuckets selects the whole roster.
	allBuckets uint64 = math.MaxUint64
)

func (t *Table) sendLimit() int {
	return sendFactor * bits.Len(uint(len(t.entries)))
}

func (t *Table) ownRecord() *peerv1.HostRecord {
	r := t.self.record(true)
	r.ConfigRevision = t.self.configRevision
	r.ConfigDigest = t.self.configDigest
	r.Usage = t.self.usage
	return r
}

// selectRecords chooses the records of one message: first the record of the
// receiver if it is suspect or failed and may have to be refuted, then the changes
// that were sent least often, then the buckets of the roster that differ. If any
// bucket differs, the changes get half of the message.
func (t *Table) selectRecords(to ident.Host, limit int, differing uint64) []*peerv1.HostRecord {
	s := selection{limit: limit, chosen: make(map[ident.Host]bool)}
	if e, ok := t.entries[to]; ok && e.state >= Suspect {
		s.add(e, false)
	}
	if differing != 0 {
		s.limit = limit / 2
	}
	t.selectChanges(&s)
	s.limit = limit
	t.selectBuckets(&s, differing)
	return s.records
}

func (t *Table) selectChanges(s *selection) {
	for _, e := range t.pendingChanges() {
		if !s.add(e, e.locationSendsLeft > 0) {
			return
		}
		e.sendsLeft--
		e.locationSendsLeft--
	}
}

// pendingChanges returns the records with remaining sends, least often sent
// first.
func (t *Table) pendingChanges() []*entry {
	var pending []*entry
	for _, e := range t.order {
		if e.sendsLeft > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortStableFunc(pending, func(a, b *entry) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	return pending
}

// selectBuckets adds the records of the given buckets, recent changes first, as
// a peer most likely lacks these. A new host gets no records of failed hosts.
func (t *Table) selectBuckets(s *selection, buckets uint64) {
	if buckets == 0 || len(t.order) == 0 {
		return
	}
	withLocation := buckets == allBuckets || t.rng.IntN(locationInterval) == 0
	start := t.rng.IntN(len(t.order))
	for _, recent := range []bool{true, false} {
		for i := range t.order {
			e := t.order[(start+i)%len(t.order)]
			if buckets>>e.bucketIndex&1 == 0 || e.state == Failed && buckets == allBuckets {
				continue
			}
			if t.changedRecently(e) == recent && !s.add(e, withLocation) {
				return
			}
		}
	}
}

func (t *Table) changedRecently(e *entry) bool {
	return t.lastTick.Sub(e.changedAt) < recentAge
}

// selection collects records up to a size limit in bytes.
type selection struct {
	limit   int
	size    int
	chosen  map[ident.Host]bool
	records []*peerv1.HostRecord
}

// add appends the record of the entry once. It returns false if the record
// exceeds the size limit.
func (s *selection) add(e *entry, withLocation bool) bool {
	if s.chosen[e.host] {
		return true
	}
	r := e.record(withLocation)
	size := proto.Size(r) + recordOverhead
	if s.size+size > s.limit {
		return false
	}
	s.size += size
	s.chosen[e.host] = true
	s.records = append(s.records, r)
	return true
}
