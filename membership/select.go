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
	// number of messages in which a host passes a change on.
	sendFactor = 2
	// factInterval is the mean number of messages until one repeats addresses
	// and failure domains that a peer may have missed.
	factInterval = 4
	// recentTime is the age up to which a change is repeated first.
	recentTime = time.Minute
	// recordOverhead is the size of the tag and length of one record.
	recordOverhead = 3
	// allBuckets selects the whole roster.
	allBuckets uint64 = math.MaxUint64
)

func (t *Table) sendLimit() int {
	return sendFactor * bits.Len(uint(len(t.entries)))
}

func (t *Table) ownRecord() *peerv1.HostRecord {
	r := t.self.record(true)
	r.ConfigRevision = t.self.revision
	r.ConfigDigest = t.self.digest
	r.Usage = t.self.usage
	return r
}

// selectRecords chooses the records of one message: what this host believes of
// the receiver if the receiver may have to refute it, then the changes that
// were sent least often, then the buckets of the roster that differ. While
// there are such buckets the changes take half of the message.
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
		if !s.add(e, e.facts > 0) {
			return
		}
		e.sends--
		e.facts--
	}
}

// pendingChanges returns the records that still have to be passed on, those
// sent least often first.
func (t *Table) pendingChanges() []*entry {
	var pending []*entry
	for _, e := range t.order {
		if e.sends > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortStableFunc(pending, func(a, b *entry) int { return cmp.Compare(b.sends, a.sends) })
	return pending
}

// selectBuckets adds the records of the given buckets, those that changed lately
// first, as a peer most likely lacks these. A new host is not told of failed
// ones.
func (t *Table) selectBuckets(s *selection, buckets uint64) {
	if buckets == 0 || len(t.order) == 0 {
		return
	}
	withFacts := buckets == allBuckets || t.rng.IntN(factInterval) == 0
	start := t.rng.IntN(len(t.order))
	for _, recent := range []bool{true, false} {
		for i := range t.order {
			e := t.order[(start+i)%len(t.order)]
			if buckets>>e.part&1 == 0 || e.state == Failed && buckets == allBuckets {
				continue
			}
			if t.changedLately(e) == recent && !s.add(e, withFacts) {
				return
			}
		}
	}
}

func (t *Table) changedLately(e *entry) bool {
	return t.lastTick.Sub(e.changeAt) < recentTime
}

// selection gathers records up to a size limit in bytes.
type selection struct {
	limit   int
	size    int
	chosen  map[ident.Host]bool
	records []*peerv1.HostRecord
}

// add reports false if the record does not fit any more.
func (s *selection) add(e *entry, withFacts bool) bool {
	if s.chosen[e.host] {
		return true
	}
	r := e.record(withFacts)
	size := proto.Size(r) + recordOverhead
	if s.size+size > s.limit {
		return false
	}
	s.size += size
	s.chosen[e.host] = true
	s.records = append(s.records, r)
	return true
}
