package membership

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// rosterBuckets is the number of buckets of the roster. Two hosts compare them
// with one bit each per message.
const rosterBuckets = 64

// refresh updates the digests after a change of the entry.
func (t *Table) refresh(e *entry) {
	t.rosterDigest ^= e.recordDigest
	e.recordDigest = e.hash()
	t.rosterDigest ^= e.recordDigest
}

// hash returns the digest of the entry's record. It is zero for a failed host, so
// that tables agree whether or not they still contain the failed host.
func (e *entry) hash() uint64 {
	if e.state == Failed {
		return 0
	}
	var numbers [25]byte
	binary.LittleEndian.PutUint64(numbers[0:], uint64(e.incarnation))
	binary.LittleEndian.PutUint64(numbers[8:], e.version)
	binary.LittleEndian.PutUint64(numbers[16:], uint64(e.state))
	if e.hasLocation {
		numbers[24] = 1
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(e.host))
	_, _ = digest.Write(numbers[:])
	return digest.Sum64()
}

// bucket returns the index of the roster bucket of the host.
func (e *entry) bucket() int {
	return int(xxhash.Sum64String(string(e.host)) % rosterBuckets)
}

// compareBits returns one bit per bucket: the parity of the salted digests of its
// records. If two rosters differ in a bucket, its bits are still equal for half of
// the salts, so a difference is detected after two exchanges on average.
func (t *Table) compareBits(salt uint64) uint64 {
	result := saltedBit(t.self, salt)
	for _, e := range t.order {
		result ^= saltedBit(e, salt)
	}
	return result
}

func saltedBit(e *entry, salt uint64) uint64 {
	const first, second = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9
	if e.recordDigest == 0 {
		return 0
	}
	x := e.recordDigest ^ bits.RotateLeft64((salt+1)*first, 17)
	x ^= x >> 29
	x *= second
	x ^= x >> 32
	return x & 1 << e.bucketIndex
}
