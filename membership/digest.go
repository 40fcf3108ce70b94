package membership

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// rosterBuckets is the number of parts of the roster that two hosts compare in
// one message, with one bit each.
const rosterBuckets = 64

// refresh brings the digests in line with a changed entry.
func (t *Table) refresh(e *entry) {
	t.digest ^= e.sum
	e.sum = e.hash()
	t.digest ^= e.sum
}

// hash returns the digest of the entry's record. Failed hosts have none, so
// that hosts which forgot a failed host agree with those which did not.
func (e *entry) hash() uint64 {
	if e.state == Failed {
		return 0
	}
	var numbers [25]byte
	binary.LittleEndian.PutUint64(numbers[0:], uint64(e.incarnation))
	binary.LittleEndian.PutUint64(numbers[8:], e.version)
	binary.LittleEndian.PutUint64(numbers[16:], uint64(e.state))
	if e.hasFacts {
		numbers[24] = 1
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(e.host))
	_, _ = digest.Write(numbers[:])
	return digest.Sum64()
}

// bucket returns the part of the roster that the host belongs to.
func (e *entry) bucket() int {
	return int(xxhash.Sum64String(string(e.host)) % rosterBuckets)
}

// compareBits returns one bit per bucket: the parity of its records under the
// salt. Two rosters that differ in a bucket show the same bit for it under half
// of the salts, so a difference is found after two exchanges on average.
func (t *Table) compareBits(salt uint64) uint64 {
	result := saltedBit(t.self, salt)
	for _, e := range t.order {
		result ^= saltedBit(e, salt)
	}
	return result
}

func saltedBit(e *entry, salt uint64) uint64 {
	const first, second = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9
	if e.sum == 0 {
		return 0
	}
	x := e.sum ^ bits.RotateLeft64((salt+1)*first, 17)
	x ^= x >> 29
	x *= second
	x ^= x >> 32
	return x & 1 << e.part
}
